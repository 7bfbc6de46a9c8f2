//! Handling of one attempt by the agent: from the work stream through the gate to the target, and
//! the answer back to the entry.

use std::str::FromStr;

use async_std::future::timeout;
use bytes::BytesMut;
use grebedeck_core::error::{limit_error, protocol_error};
use grebedeck_core::{Moment, Reason, Result};
use grebedeck_net::codec::encode_into;
use grebedeck_net::http::client::{SendError, StreamedResponse};
use grebedeck_net::http::end_to_end_headers;
use grebedeck_net::{FrameReader, FrameWriter};
use grebedeck_routing::{StartRequest, Verdict};
use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Method, Request, Url};

use super::service::{AgentService, RunningAttempt};
use crate::message::{
    AnswerHead, BODY_PART_BYTES, BodyDigest, FromAgent, ToAgent, WorkStart, WorkVerdict,
};
use crate::settings::millis;

/// Maximum time for receiving a request from an entry.
const REQUEST_TIMEOUT_MS: u64 = 30_000;

/// An answer whose head has arrived.
struct StartedAnswer<'a> {
    head: AnswerHead,
    answer: StreamedResponse,
    running: RunningAttempt<'a>,
    sent_at: Moment,
}

/// A request that has arrived completely.
struct CompleteRequest {
    start: WorkStart,
    body: Vec<u8>,
}

impl AgentService {
    /// Handles a work stream to its end.
    pub async fn handle_work(
        &self,
        mut reader: FrameReader,
        mut writer: FrameWriter,
    ) -> Result<()> {
        let reading = read_request(&mut reader, self.max_body_bytes);

        // Until the request is complete nothing of it has run, and nothing will.
        let Ok(request) = timeout(millis(REQUEST_TIMEOUT_MS), reading).await else {
            return Ok(());
        };
        let request = request?;

        let running = match self.admit(&to_start_request(&request.start, self.now())) {
            Ok(running) => running,
            Err(verdict) => return self.send_verdict(to_work_verdict(verdict), writer).await,
        };
        self.verdicts.add("run");

        // If the entry resets the stream, the connection to the target is closed, which cancels the
        // request there.
        let outcome = {
            let answering = self.run(request, running);
            let cancelled = writer.cancelled();
            futures::pin_mut!(answering, cancelled);

            match futures::future::select(answering, cancelled).await {
                futures::future::Either::Left((outcome, _)) => outcome,
                futures::future::Either::Right(_) => {
                    self.verdicts.add("cancelled");
                    return Ok(());
                }
            }
        };

        match outcome {
            Ok(started) => self.forward_answer(started, writer).await,
            Err(verdict) => self.send_verdict(verdict, writer).await,
        }
    }

    /// Sends a request to the target and waits for the head of the answer.
    async fn run<'a>(
        &self,
        request: CompleteRequest,
        mut running: RunningAttempt<'a>,
    ) -> std::result::Result<StartedAnswer<'a>, WorkVerdict> {
        let attempt = request.start.attempt;

        let Some(http_request) = to_http_request(request, self) else {
            running.mark_not_sent();
            return Err(WorkVerdict::Refused(Reason::BadRequest("method or path".into())));
        };

        if let Some(remaining) = self.remaining_delay() {
            running.mark_not_sent();
            return Err(WorkVerdict::Refused(Reason::Overloaded(remaining)));
        }

        let sent_at = self.now();

        match self.target.send(http_request).await {
            Ok(answer) => {
                self.record_delay(&answer.response);
                let len_bytes = answer.response.len().map(|len| len as u64);
                let head = AnswerHead {
                    attempt,
                    status: answer.response.status() as u16,
                    headers: end_to_end_headers(answer.response.as_ref()),
                    len_bytes,
                };

                Ok(StartedAnswer { head, answer, running, sent_at })
            }
            Err(SendError::NotSent(_)) => {
                running.mark_not_sent();
                Err(WorkVerdict::Refused(Reason::Unreachable))
            }
            Err(SendError::MaybeSent(_)) => Err(self.failure_verdict(sent_at).await),
        }
    }

    /// Forwards the target's answer as it arrives.
    async fn forward_answer(
        &self,
        started: StartedAnswer<'_>,
        mut writer: FrameWriter,
    ) -> Result<()> {
        let StartedAnswer { head, mut answer, running, sent_at } = started;
        let mut digest = BodyDigest::new(head.attempt);
        let expected = head.len_bytes;
        let mut frames = BytesMut::new();
        let mut part = vec![0; BODY_PART_BYTES];
        encode_into(&FromAgent::Head(head), &mut frames)?;

        // An answer that is known to be short is sent in one piece.
        let is_buffered = expected.is_some_and(|len| len <= BODY_PART_BYTES as u64);

        if !is_buffered {
            writer.send_encoded(frames.split().freeze()).await?;
        }

        loop {
            let read = {
                let reading = answer.read(&mut part);
                let cancelled = writer.cancelled();
                futures::pin_mut!(reading, cancelled);

                match futures::future::select(reading, cancelled).await {
                    futures::future::Either::Left((read, _)) => read,
                    futures::future::Either::Right(_) => {
                        self.verdicts.add("cancelled");
                        return Ok(());
                    }
                }
            };

            let read = match read {
                Ok(0) => break,
                Ok(read) => read,
                // The entry gets the reason why the answer ends here, as it does if there is no
                // answer at all.
                Err(_) => {
                    drop(running);
                    return self.send_verdict(self.failure_verdict(sent_at).await, writer).await;
                }
            };

            digest.update(&part[..read]);
            encode_into(&FromAgent::Body(part[..read].to_vec()), &mut frames)?;

            if !is_buffered {
                writer.send_encoded(frames.split().freeze()).await?;
            }
        }

        // Frees the slot before the caller can send its next request.
        drop(running);
        let end_mark = digest.end_mark();

        if expected.is_some_and(|len| len != end_mark.len_bytes) {
            return self.send_verdict(self.failure_verdict(sent_at).await, writer).await;
        }

        answer.finish();
        encode_into(&FromAgent::End(end_mark, self.load()), &mut frames)?;
        writer.send_encoded_last(frames.freeze()).await
    }

    async fn send_verdict(&self, verdict: WorkVerdict, mut writer: FrameWriter) -> Result<()> {
        self.verdicts.add(match verdict {
            WorkVerdict::Refused(_) => "refused",
            WorkVerdict::InDoubt(_) => "in_doubt",
            WorkVerdict::TargetFailed => "target_failed",
            WorkVerdict::TargetCrashed { .. } => "target_crashed",
        });

        writer.send_last(&FromAgent::Verdict(verdict, self.load())).await
    }
}

async fn read_request(reader: &mut FrameReader, max_body_bytes: usize) -> Result<CompleteRequest> {
    let start = match reader.next_required().await? {
        ToAgent::Start(start) => *start,
        _ => return protocol_error("work stream does not begin with `Start`"),
    };

    let mut digest = BodyDigest::new(start.attempt);
    let mut body = Vec::new();

    loop {
        match reader.next_required().await? {
            ToAgent::Body(part) => {
                if body.len() + part.len() > max_body_bytes {
                    return limit_error(format!("request body larger than {max_body_bytes} bytes"));
                }

                digest.update(&part);
                body.extend_from_slice(&part);
            }
            ToAgent::End(end_mark) if end_mark == digest.end_mark() => {
                return Ok(CompleteRequest { start, body });
            }
            _ => return protocol_error("end mark does not match the request body"),
        }
    }
}

fn to_start_request(start: &WorkStart, now: grebedeck_core::Moment) -> StartRequest {
    StartRequest {
        attempt: start.attempt,
        incarnation: start.incarnation,
        may_wait: start.may_wait,
        key: start.key,
        sent_unix_ms: start.sent_unix_ms,
        deadline: start.deadline_ms.map(|ms| now + millis(ms)),
    }
}

fn to_work_verdict(verdict: Verdict) -> WorkVerdict {
    match verdict {
        Verdict::InDoubt(reason) => WorkVerdict::InDoubt(reason),
        Verdict::Refuse(reason) => WorkVerdict::Refused(reason),
        Verdict::Run => unreachable!("an attempt that runs has no verdict"),
    }
}

fn to_http_request(request: CompleteRequest, agent: &AgentService) -> Option<Request> {
    let method = Method::from_str(&request.start.method).ok()?;
    let url = format!("http://{}{}", agent.target.address(), request.start.path);
    let mut http_request = Request::new(method, Url::parse(&url).ok()?);

    if !request.body.is_empty() {
        http_request.set_body(request.body);
        // `set_body` sets a content type, but only the caller's own may be sent.
        http_request.remove_header("content-type");
    }

    for (name, value) in &request.start.headers {
        if name.eq_ignore_ascii_case("content-length") || name.eq_ignore_ascii_case("expect") {
            continue;
        }

        let name = HeaderName::from_str(name).ok()?;
        let value = HeaderValue::from_str(value).ok()?;
        http_request.append_header(name, value);
    }

    Some(http_request)
}
