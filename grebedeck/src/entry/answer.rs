//! Passing a target's answer on to the caller.
//!
//! An answer is whole only with its end mark. Where the mark is missing or does not fit, the
//! caller's connection is closed before the end of the HTTP body, so that no cut answer looks like
//! a whole one.

use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use futures::TryStreamExt;
use futures::future::Either;
use grebedeck_core::error::{protocol_error, timeout_error};
use grebedeck_core::{AttemptId, Incarnation, Outcome, Reason, Result, TargetName};
use grebedeck_net::{FrameReader, Stream};
use grebedeck_routing::Fingerprint;
use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Body, Response, StatusCode};
use serde_json::json;

use super::attempt::InFlight;
use super::service::Place;
use super::suspects::Suspects;
use crate::message::{AnswerHead, BodyDigest, FromAgent, WorkVerdict};

/// Header that tells the caller what became of the request.
pub const OUTCOME_HEADER: &str = "grebedeck-outcome";
/// Parts of an answer that may wait for a slow caller.
const PARTS_WAITING: usize = 4;

/// A request at one target, as crashes concern it.
pub struct Run {
    /// What the entry knows of crashes.
    pub suspects: Arc<Suspects>,
    /// The target.
    pub target: TargetName,
    /// The life of its agent.
    pub incarnation: Incarnation,
    /// What the request has in common with its caller's other tries.
    pub fingerprint: Fingerprint,
}

impl Run {
    /// Notes that the target crashed under the request.
    pub fn crashed(&self, crash: u64) {
        self.suspects.note_crash(&self.target, self.incarnation, crash, self.fingerprint);
    }
}

/// The part of an answer that is still to come.
pub struct AnswerStream {
    agent_address: SocketAddr,
    digest: BodyDigest,
    reader: FrameReader,
    // Dropping the stream before its end tells the agent that nobody waits any more.
    _stream: Stream,
    in_flight: InFlight,
    run: Run,
}

impl AnswerStream {
    /// Makes the stream of an attempt's answer.
    pub fn new(
        attempt: AttemptId,
        agent_address: SocketAddr,
        reader: FrameReader,
        stream: Stream,
        in_flight: InFlight,
        run: Run,
    ) -> Self {
        let digest = BodyDigest::new(attempt);

        AnswerStream { agent_address, digest, reader, _stream: stream, in_flight, run }
    }

    /// Reads the next part, or `None` at the end of a whole answer.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>> {
        let next = self.next_checked().await;

        match &next {
            Ok(Some(_)) => {}
            Ok(None) => {
                self.in_flight.judge(true);
                self.run.suspects.note_answered(self.run.fingerprint);
            }
            Err(_) => self.in_flight.judge(false),
        }

        next
    }

    async fn next_checked(&mut self) -> Result<Option<Vec<u8>>> {
        match self.next_frame().await? {
            FromAgent::Body(part) => {
                self.digest.update(&part);
                Ok(Some(part))
            }
            FromAgent::End(mark, report) => {
                self.in_flight.reported(report);

                if mark != self.digest.end_mark() {
                    return protocol_error("an answer's end mark does not fit its body");
                }

                Ok(None)
            }
            FromAgent::Verdict(WorkVerdict::TargetCrashed { crash }, _) => {
                self.run.crashed(crash);
                protocol_error("an answer was cut off by its target's crash")
            }
            FromAgent::Verdict(..) | FromAgent::Head(_) => {
                protocol_error("an answer was cut off by its target")
            }
        }
    }

    /// Reads the next frame, as long as the agent shows that it is there.
    async fn next_frame(&mut self) -> Result<FromAgent> {
        let reading = self.reader.next_required();
        let silent = self.in_flight.entry().directory.wait_until_unresponsive(self.agent_address);
        futures::pin_mut!(reading, silent);

        match futures::future::select(reading, silent).await {
            Either::Left((frame, _)) => frame,
            Either::Right(_) => timeout_error("the agent's next frame"),
        }
    }

    /// Reads all parts.
    pub async fn read_whole(&mut self) -> Result<Vec<u8>> {
        let mut body = Vec::new();

        while let Some(part) = self.next().await? {
            body.extend_from_slice(&part);
        }

        self.in_flight.entry().counters.outcomes.add("done");
        Ok(body)
    }
}

/// Makes the response for an answer that is here whole.
pub fn whole_response(head: AnswerHead, body: Vec<u8>) -> Response {
    let mut response = response_head(&head);
    response.set_body(body);
    // Setting a body sets a content type, which is the target's to say.
    pass_headers(&head, &mut response);

    response
}

/// Makes the response for an answer that is still coming.
pub fn stream_response(head: AnswerHead, stream: AnswerStream, place: Place) -> Response {
    let (sender, receiver) = async_channel::bounded(PARTS_WAITING);
    async_std::task::spawn(pump(stream, sender, place));

    let reader = Box::pin(receiver).into_async_read();
    let len = head.len_bytes.and_then(|len| usize::try_from(len).ok());
    let mut response = response_head(&head);
    response.set_body(Body::from_reader(reader, len));
    pass_headers(&head, &mut response);

    response
}

/// Moves parts to the caller until the answer ends or the caller has gone.
async fn pump(
    mut stream: AnswerStream,
    sender: async_channel::Sender<io::Result<Vec<u8>>>,
    place: Place,
) {
    let outcomes = stream.in_flight.entry().counters.outcomes.clone();

    let word = loop {
        let part = async { Some(stream.next().await) };
        // A caller that goes away between two parts frees its place at once.
        let gone = async {
            sender.closed().await;
            None
        };

        match first_of(part, gone).await {
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

    outcomes.add(word);
    drop(place);
}

/// Completes with whichever future is first.
async fn first_of<T>(
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

fn pass_headers(head: &AnswerHead, response: &mut Response) {
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

/// Makes the response for a request that has no answer from a target.
pub fn refusal(outcome: &Outcome) -> Response {
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

    // A body that was too large is not read to its end, so the connection cannot be used again.
    if matches!(reason, Reason::TooLarge(_) | Reason::Draining) {
        response.insert_header("connection", "close");
    }

    response
}
