//! Forwards a target's answer to the caller.
//!
//! An answer is complete only with its end mark. If the mark is missing or does not match, the
//! caller's connection is closed before the end of the HTTP body, so that a truncated answer never
//! looks complete.

use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use futures::TryStreamExt;
use futures::future::Either;
use grebedeck_core::error::{protocol_error, timeout_error};
use grebedeck_core::{AttemptId, Incarnation, Outcome, Reason, Result, TargetName};
use grebedeck_net::{FrameReader, Stream};
use grebedeck_routing::Fingerprints;
use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Body, Response, StatusCode};
use serde_json::json;

use super::attempt::InFlight;
use super::service::AdmissionPermit;
use super::suspects::Suspects;
use crate::message::{AnswerHead, BodyDigest, FromAgent, WorkVerdict};

/// Header with the outcome of the request.
pub const OUTCOME_HEADER: &str = "grebedeck-outcome";
/// Number of parts of an answer that are buffered for a slow caller.
const MAX_PENDING_PARTS: usize = 4;

/// A request at one target, for the records of crashes.
pub struct TargetRun {
    /// The entry's records of crashes.
    pub suspects: Arc<Suspects>,
    /// Name of the target.
    pub target: TargetName,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Fingerprints of the request.
    pub fingerprints: Arc<Fingerprints>,
    /// Whether its answer is a success.
    pub is_success: bool,
}

impl TargetRun {
    /// Records that the target has begun to answer.
    pub fn record_head(&mut self, head: &AnswerHead) {
        self.is_success = (200..300).contains(&head.status);
        self.suspects.record_run(&self.fingerprints);
    }

    /// Records that the target crashed under the request.
    pub fn record_crash(&self, crash: u64) {
        self.suspects.record_crash(&self.target, self.incarnation, crash, &self.fingerprints);
    }

    /// Records that the answer is complete.
    fn record_answer(&self) {
        self.suspects.record_answer(&self.fingerprints, self.is_success);
    }
}

/// The rest of an answer, read part by part.
pub struct AnswerStream {
    agent_address: SocketAddr,
    digest: BodyDigest,
    reader: FrameReader,
    // Dropping the stream before its end cancels the request at the agent.
    _stream: Stream,
    in_flight: InFlight,
    run: TargetRun,
}

impl AnswerStream {
    /// Creates the stream for the answer to an attempt.
    pub fn new(
        attempt: AttemptId,
        agent_address: SocketAddr,
        reader: FrameReader,
        stream: Stream,
        in_flight: InFlight,
        run: TargetRun,
    ) -> Self {
        let digest = BodyDigest::new(attempt);

        AnswerStream { agent_address, digest, reader, _stream: stream, in_flight, run }
    }

    /// Reads the next part; `None` at the end of a complete answer.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>> {
        let next = self.read_next().await;

        match &next {
            Ok(Some(_)) => {}
            Ok(None) => {
                self.in_flight.set_success(true);
                self.run.record_answer();
            }
            Err(_) => self.in_flight.set_success(false),
        }

        next
    }

    async fn read_next(&mut self) -> Result<Option<Vec<u8>>> {
        match self.next_frame().await? {
            FromAgent::Body(part) => {
                self.digest.update(&part);
                Ok(Some(part))
            }
            FromAgent::End(end_mark, report) => {
                self.in_flight.record_report(report);

                if end_mark != self.digest.end_mark() {
                    return protocol_error("an answer's end mark does not fit its body");
                }

                Ok(None)
            }
            FromAgent::Verdict(WorkVerdict::TargetCrashed { crash }, _) => {
                self.run.record_crash(crash);
                protocol_error("an answer was cut off by its target's crash")
            }
            FromAgent::Verdict(..) | FromAgent::Head(_) => {
                protocol_error("an answer was cut off by its target")
            }
        }
    }

    /// Reads the next frame; fails if the agent becomes unresponsive meanwhile.
    async fn next_frame(&mut self) -> Result<FromAgent> {
        let reading = self.reader.next_required();
        let unresponsive =
            self.in_flight.entry().directory.wait_until_unresponsive(self.agent_address);
        futures::pin_mut!(reading, unresponsive);

        match futures::future::select(reading, unresponsive).await {
            Either::Left((frame, _)) => frame,
            Either::Right(_) => timeout_error("the agent's next frame"),
        }
    }

    /// Reads all parts.
    pub async fn read_to_end(&mut self) -> Result<Vec<u8>> {
        let mut body = Vec::new();

        while let Some(part) = self.next().await? {
            body.extend_from_slice(&part);
        }

        self.in_flight.entry().counters.outcomes.add("done");
        Ok(body)
    }
}

/// Response for a complete answer.
pub fn complete_response(head: AnswerHead, body: Vec<u8>) -> Response {
    let mut response = response_head(&head);
    response.set_body(body);
    // `set_body` sets a content type, but only the target's own may be sent.
    copy_headers(&head, &mut response);

    response
}

/// Response for an answer that is still arriving.
pub fn stream_response(
    head: AnswerHead,
    stream: AnswerStream,
    permit: AdmissionPermit,
) -> Response {
    let (sender, receiver) = async_channel::bounded(MAX_PENDING_PARTS);
    async_std::task::spawn(forward_parts(stream, sender, permit));

    let reader = Box::pin(receiver).into_async_read();
    let len = head.len_bytes.and_then(|len| usize::try_from(len).ok());
    let mut response = response_head(&head);
    response.set_body(Body::from_reader(reader, len));
    copy_headers(&head, &mut response);

    response
}

/// Forwards parts to the caller until the answer ends or the caller disconnects.
async fn forward_parts(
    mut stream: AnswerStream,
    sender: async_channel::Sender<io::Result<Vec<u8>>>,
    permit: AdmissionPermit,
) {
    let outcomes = stream.in_flight.entry().counters.outcomes.clone();

    let outcome = loop {
        let part = async { Some(stream.next().await) };
        // If the caller disconnects between two parts, its permit is released at once.
        let disconnected = async {
            sender.closed().await;
            None
        };

        match race(part, disconnected).await {
            Some(Ok(Some(part))) => {
                if sender.send(Ok(part)).await.is_err() {
                    break "caller_gone";
                }
            }
            Some(Ok(None)) => break "done",
            Some(Err(error)) => {
                let cut = io::Error::new(io::ErrorKind::UnexpectedEof, error.to_string());
                let _ = sender.send(Err(cut)).await;
                break "cut";
            }
            None => break "caller_gone",
        }
    };

    outcomes.add(outcome);
    drop(permit);
}

/// Completes with whichever future is first.
async fn race<T>(
    first: impl std::future::Future<Output = T>,
    second: impl std::future::Future<Output = T>,
) -> T {
    futures::pin_mut!(first, second);

    futures::future::select(first, second).await.factor_first().0
}

fn response_head(head: &AnswerHead) -> Response {
    let status = StatusCode::try_from(head.status).unwrap_or(StatusCode::BadGateway);

    Response::new(status)
}

fn copy_headers(head: &AnswerHead, response: &mut Response) {
    response.remove_header("content-type");

    for (name, value) in &head.headers {
        // The length is set from the body itself.
        if name.eq_ignore_ascii_case("content-length") {
            continue;
        }

        let name = HeaderName::from_str(name);
        let value = HeaderValue::from_str(value);

        if let (Ok(name), Ok(value)) = (name, value) {
            response.append_header(name, value);
        }
    }

    response.insert_header(OUTCOME_HEADER, Outcome::Done.as_str());
}

/// Response for a request without an answer from a target.
pub fn error_response(outcome: &Outcome) -> Response {
    let reason = match outcome {
        Outcome::Done => return Response::new(StatusCode::Ok),
        Outcome::Refused(reason) | Outcome::NotRun(reason) | Outcome::Unknown(reason) => reason,
    };

    let status = StatusCode::try_from(reason.status()).unwrap_or(StatusCode::ServiceUnavailable);
    let mut response = Response::new(status);
    response.set_body(format!(
        "{}\n",
        json!({ "outcome": outcome.as_str(), "error": reason.to_string() })
    ));
    response.insert_header("content-type", "application/json");
    response.insert_header(OUTCOME_HEADER, outcome.as_str());

    if let Some(wait) = reason.retry_after() {
        response.insert_header("retry-after", wait.as_secs().max(1).to_string());
    }

    // A body that is too large is not read to its end, so the connection cannot be reused.
    if matches!(reason, Reason::TooLarge(_) | Reason::Draining) {
        response.insert_header("connection", "close");
    }

    response
}
