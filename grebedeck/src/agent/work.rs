//! One attempt at the agent: from the gate to the target and back.

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

use super::service::{AgentService, Running};
use crate::message::{
    AnswerHead, BODY_PART_BYTES, BodyDigest, FromAgent, ToAgent, WorkStart, WorkVerdict,
};
use crate::settings::millis;

/// How long an entry may take to send a request.
const REQUEST_LIMIT_MS: u64 = 30_000;

/// An answer whose head is here.
struct Begun<'a> {
    head: AnswerHead,
    answer: StreamedResponse,
    running: Running<'a>,
    sent_at: Moment,
}

/// A request that arrived whole.
struct WholeRequest {
    start: WorkStart,
    body: Vec<u8>,
}

impl AgentService {
    /// Handles a work stream to its end.
    pub async fn work(&self, mut reader: FrameReader, mut writer: FrameWriter) -> Result<()> {
        let reading = read_request(&mut reader, self.max_body_bytes);

        // Before the request is whole nothing of it has run, and nothing will.
        let Ok(request) = timeout(millis(REQUEST_LIMIT_MS), reading).await else {
            return Ok(());
        };
        let request = request?;

        let running = match self.admit(&gate_start(&request.start, self.now())) {
            Ok(running) => running,
            Err(verdict) => return self.answer_verdict(to_wire(verdict), writer).await,
        };
        self.verdicts.add("run");

        // The entry's reset reaches the target by closing the connection to it.
        let outcome = {
            let running_request = self.run(request, running);
            let cancelled = writer.cancelled();
            futures::pin_mut!(running_request, cancelled);

            match futures::future::select(running_request, cancelled).await {
                futures::future::Either::Left((outcome, _)) => outcome,
                futures::future::Either::Right(_) => {
                    self.verdicts.add("cancelled");
                    return Ok(());
                }
            }
        };

        match outcome {
            Ok(begun) => self.pass_on(begun, writer).await,
            Err(verdict) => self.answer_verdict(verdict, writer).await,
        }
    }

    /// Hands a request to the target and waits for the head of its answer.
    async fn run<'a>(
        &self,
        request: WholeRequest,
        mut running: Running<'a>,
    ) -> std::result::Result<Begun<'a>, WorkVerdict> {
        let attempt = request.start.attempt;

        let Some(http_request) = to_http(request, self) else {
            running.not_sent();
            return Err(WorkVerdict::Refused(Reason::BadRequest("method or path".into())));
        };

        if let Some(left) = self.rest_left() {
            running.not_sent();
            return Err(WorkVerdict::Refused(Reason::Overloaded(left)));
        }

        let sent_at = self.now();

        match self.target.send(http_request).await {
            Ok(answer) => {
                self.note_rest(&answer.response);
                let len_bytes = answer.response.len().map(|len| len as u64);
                let head = AnswerHead {
                    attempt,
                    status: answer.response.status() as u16,
                    headers: end_to_end_headers(answer.response.as_ref()),
                    len_bytes,
                };

                Ok(Begun { head, answer, running, sent_at })
            }
            Err(SendError::NotSent(_)) => {
                running.not_sent();
                Err(WorkVerdict::Refused(Reason::Unreachable))
            }
            Err(SendError::MaybeSent(_)) => Err(self.failure(sent_at).await),
        }
    }

    /// Passes the target's answer on, part by part as it comes.
    async fn pass_on(&self, begun: Begun<'_>, mut writer: FrameWriter) -> Result<()> {
        let Begun { head, mut answer, running, sent_at } = begun;
        let mut digest = BodyDigest::new(head.attempt);
        let expected = head.len_bytes;
        let mut frames = BytesMut::new();
        let mut part = vec![0; BODY_PART_BYTES];
        encode_into(&FromAgent::Head(head), &mut frames)?;

        // With the length known to be small, everything leaves in one piece.
        let gather = expected.is_some_and(|len| len <= BODY_PART_BYTES as u64);

        if !gather {
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
                // The entry is told why the answer ends here, as it is where there is none.
                Err(_) => {
                    drop(running);
                    return self.answer_verdict(self.failure(sent_at).await, writer).await;
                }
            };

            digest.update(&part[..read]);
            encode_into(&FromAgent::Body(part[..read].to_vec()), &mut frames)?;

            if !gather {
                writer.send_encoded(frames.split().freeze()).await?;
            }
        }

        // The place is free before the caller can ask again.
        drop(running);
        let mark = digest.end_mark();

        if expected.is_some_and(|len| len != mark.len_bytes) {
            return self.answer_verdict(self.failure(sent_at).await, writer).await;
        }

        answer.finish();
        encode_into(&FromAgent::End(mark, self.load()), &mut frames)?;
        writer.send_encoded_last(frames.freeze()).await
    }

    async fn answer_verdict(&self, verdict: WorkVerdict, mut writer: FrameWriter) -> Result<()> {
        self.verdicts.add(match verdict {
            WorkVerdict::Refused(_) => "refused",
            WorkVerdict::InDoubt(_) => "in_doubt",
            WorkVerdict::TargetFailed => "target_failed",
            WorkVerdict::TargetCrashed { .. } => "target_crashed",
        });

        writer.send_last(&FromAgent::Verdict(verdict, self.load())).await
    }
}

async fn read_request(reader: &mut FrameReader, max_body_bytes: usize) -> Result<WholeRequest> {
    let start = match reader.next_required().await? {
        ToAgent::Start(start) => *start,
        _ => return protocol_error("a work stream begins with its start"),
    };

    let mut digest = BodyDigest::new(start.attempt);
    let mut body = Vec::new();

    loop {
        match reader.next_required().await? {
            ToAgent::Body(part) => {
                if body.len() + part.len() > max_body_bytes {
                    return limit_error(format!("a request body over {max_body_bytes} bytes"));
                }

                digest.update(&part);
                body.extend_from_slice(&part);
            }
            ToAgent::End(mark) if mark == digest.end_mark() => {
                return Ok(WholeRequest { start, body });
            }
            _ => return protocol_error("a request's end mark does not fit its body"),
        }
    }
}

fn gate_start(start: &WorkStart, now: grebedeck_core::Moment) -> StartRequest {
    StartRequest {
        attempt: start.attempt,
        incarnation: start.incarnation,
        may_wait: start.may_wait,
        key: start.key,
        sent_unix_ms: start.sent_unix_ms,
        deadline: start.deadline_ms.map(|ms| now + millis(ms)),
    }
}

fn to_wire(verdict: Verdict) -> WorkVerdict {
    match verdict {
        Verdict::InDoubt(reason) => WorkVerdict::InDoubt(reason),
        Verdict::Refuse(reason) => WorkVerdict::Refused(reason),
        Verdict::Run => unreachable!("an attempt that runs has no verdict"),
    }
}

fn to_http(request: WholeRequest, agent: &AgentService) -> Option<Request> {
    let method = Method::from_str(&request.start.method).ok()?;
    let url = format!("http://{}{}", agent.target.address(), request.start.path);
    let mut http_request = Request::new(method, Url::parse(&url).ok()?);

    if !request.body.is_empty() {
        http_request.set_body(request.body);
        // Setting a body sets a content type, which is the caller's to say.
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
