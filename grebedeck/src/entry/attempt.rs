//! Sends one attempt of a request to one target's agent and reads the beginning of the answer.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;
use bytes::BytesMut;
use futures::future::Either;
use grebedeck_config::Route;
use grebedeck_core::time::unix_ms;
use grebedeck_core::{AttemptId, Incarnation, Moment, Reason, Result};
use grebedeck_net::codec::encode_into;
use grebedeck_net::{FrameReader, Link, Stream};
use grebedeck_routing::{AttemptEnd, Fingerprints, LoadReport};
use http_types::Response;

use super::answer::{AnswerStream, TargetRun, complete_response, stream_response};
use super::request::CallerRequest;
use super::service::{AdmissionPermit, EntryService};
use crate::message::{
    AnswerHead, BODY_PART_BYTES, BodyDigest, FromAgent, PeerHello, ToAgent, WORK_PATH, WorkStart,
    WorkVerdict,
};

/// Maximum length of an answer that is read completely before the caller receives its head.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 64 << 10;

/// Agent that an attempt was sent to.
#[derive(Clone, Copy, Debug)]
pub struct SentTo {
    /// Address.
    pub agent_address: SocketAddr,
    /// Incarnation.
    pub incarnation: Incarnation,
}

/// One attempt.
pub struct Attempt {
    /// The entry.
    pub entry: Arc<EntryService>,
    /// Route to the target.
    pub route: Arc<Route>,
    /// Id of the attempt.
    pub id: AttemptId,
    /// Fingerprints of the request.
    pub fingerprints: Arc<Fingerprints>,
    /// Revision under which the request was admitted.
    pub revision: u64,
    /// Whether it may wait in the target.
    pub may_wait: bool,
    /// When the caller stops waiting.
    pub deadline: Moment,
}

/// An answer that has begun.
pub enum StartedAnswer {
    /// A complete answer.
    Complete(AnswerHead, Vec<u8>),
    /// An answer that is still arriving.
    Streaming(AnswerHead, Box<AnswerStream>),
}

impl StartedAnswer {
    /// Returns the response. The permit is released when the answer has ended.
    pub fn into_response(self, permit: AdmissionPermit) -> Response {
        match self {
            StartedAnswer::Complete(head, body) => complete_response(head, body),
            StartedAnswer::Streaming(head, stream) => stream_response(head, *stream, permit),
        }
    }
}

/// Counts a request as in flight at a target until it is dropped.
pub struct InFlight {
    entry: Arc<EntryService>,
    target: String,
    success: Option<bool>,
}

impl InFlight {
    fn new(entry: Arc<EntryService>, target: &str) -> Self {
        entry.state().chooser.record_sent(target);

        InFlight { entry, target: target.to_string(), success: None }
    }

    /// Sets what the request shows of the target's health; without a call it shows nothing.
    pub fn set_success(&mut self, success: bool) {
        self.success = Some(success);
    }

    /// Records the target's load.
    pub fn record_report(&self, report: LoadReport) {
        let now = self.entry.now();

        self.entry.state().chooser.record_report(&self.target, report, now);
    }

    /// The entry.
    pub fn entry(&self) -> &Arc<EntryService> {
        &self.entry
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.entry.now();
        let ejected = self.entry.state().chooser.record_end(&self.target, self.success, now);

        if ejected {
            self.entry.counters.ejections.add("failures");
        }
    }
}

impl Attempt {
    /// Sends the request and waits until the answer begins. `sent_to` is set once the agent may
    /// receive the request.
    pub async fn run(
        &self,
        request: &CallerRequest,
        sent_to: &mut Option<SentTo>,
    ) -> std::result::Result<StartedAnswer, AttemptEnd> {
        let in_flight = InFlight::new(self.entry.clone(), &self.route.name);
        let remaining = self.deadline.saturating_sub(self.entry.now());
        let result = timeout(remaining, self.exchange(request, sent_to, in_flight)).await;
        let result = result.unwrap_or(Err(AttemptEnd::Lost));
        self.entry.counters.attempts.add(end_label(&result));

        result
    }

    async fn exchange(
        &self,
        request: &CallerRequest,
        sent_to: &mut Option<SentTo>,
        mut in_flight: InFlight,
    ) -> std::result::Result<StartedAnswer, AttemptEnd> {
        let opened = self.open().await;

        let Ok((mut stream, hello)) = opened else {
            in_flight.set_success(false);
            return Err(AttemptEnd::NotSent);
        };

        let agent_address = self.route.agent_address;
        *sent_to = Some(SentTo { agent_address, incarnation: hello.incarnation });

        let first_frame = {
            let sending = self.send_request(request, &hello, &mut stream);
            let unresponsive = self.entry.directory.wait_until_unresponsive(agent_address);
            futures::pin_mut!(sending, unresponsive);

            match futures::future::select(sending, unresponsive).await {
                Either::Left((first_frame, _)) => first_frame.ok(),
                Either::Right(_) => None,
            }
        };

        match first_frame {
            Some((first, reader)) => {
                let run = TargetRun {
                    suspects: self.entry.suspects.clone(),
                    target: self.route.name.clone(),
                    incarnation: hello.incarnation,
                    fingerprints: self.fingerprints.clone(),
                    is_success: false,
                };
                self.handle_first_frame(first, reader, stream, in_flight, run).await
            }
            None => {
                in_flight.set_success(false);
                Err(AttemptEnd::Lost)
            }
        }
    }

    async fn open(&self) -> Result<(Stream, PeerHello)> {
        let (link, hello): (Link, PeerHello) =
            self.entry.directory.peer(self.route.agent_address).await?;

        if hello.name != self.route.name {
            return grebedeck_core::error::protocol_error("address belongs to another target");
        }

        Ok((link.open(WORK_PATH).await?, hello))
    }

    async fn send_request(
        &self,
        request: &CallerRequest,
        hello: &PeerHello,
        stream: &mut Stream,
    ) -> Result<(FromAgent, FrameReader)> {
        let frames = self.encode(request, hello)?;
        stream.writer.send_encoded_last(frames.freeze()).await?;

        let mut reader = stream.reader().await?;
        let first = reader.next_required().await?;

        Ok((first, reader))
    }

    /// Encodes the complete request, so that a small one is sent in one piece.
    fn encode(&self, request: &CallerRequest, hello: &PeerHello) -> Result<BytesMut> {
        let remaining = self.deadline.saturating_sub(self.entry.now());
        let start = WorkStart {
            attempt: self.id,
            incarnation: hello.incarnation,
            organisation: request.organisation.clone(),
            service: request.service.clone(),
            revision: self.revision,
            may_wait: self.may_wait,
            key: request.key,
            sent_unix_ms: unix_ms(),
            deadline_ms: Some(remaining.as_millis() as u64),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
        };

        let mut frames = BytesMut::with_capacity(1024 + request.body.len());
        let mut digest = BodyDigest::new(self.id);
        encode_into(&ToAgent::Start(Box::new(start)), &mut frames)?;

        for part in request.body.chunks(BODY_PART_BYTES) {
            digest.update(part);
            encode_into(&ToAgent::Body(part.to_vec()), &mut frames)?;
        }

        encode_into(&ToAgent::End(digest.end_mark()), &mut frames)?;
        Ok(frames)
    }

    async fn handle_first_frame(
        &self,
        first: FromAgent,
        reader: FrameReader,
        stream: Stream,
        mut in_flight: InFlight,
        mut run: TargetRun,
    ) -> std::result::Result<StartedAnswer, AttemptEnd> {
        let head = match first {
            FromAgent::Verdict(verdict, report) => {
                in_flight.record_report(report);
                return Err(self.handle_verdict(verdict, in_flight, &run));
            }
            FromAgent::Head(head) if head.attempt == self.id => head,
            // Any other first frame is of no use to this caller.
            _ => {
                in_flight.set_success(false);
                return Err(AttemptEnd::Lost);
            }
        };

        run.record_head(&head);
        let is_short = head.len_bytes.is_some_and(|len| len <= MAX_BUFFERED_ANSWER_BYTES);
        let mut answer =
            AnswerStream::new(self.id, self.route.agent_address, reader, stream, in_flight, run);

        if !is_short {
            return Ok(StartedAnswer::Streaming(head, Box::new(answer)));
        }

        match answer.read_to_end().await {
            Ok(body) => Ok(StartedAnswer::Complete(head, body)),
            Err(_) => Err(AttemptEnd::Lost),
        }
    }

    fn handle_verdict(
        &self,
        verdict: WorkVerdict,
        mut in_flight: InFlight,
        run: &TargetRun,
    ) -> AttemptEnd {
        match verdict {
            WorkVerdict::Refused(reason) => {
                if reason == Reason::Draining {
                    let now = self.entry.now();
                    self.entry.state().chooser.set_leaving(&self.route.name, now);
                }

                if reason == Reason::Unreachable {
                    in_flight.set_success(false);
                }

                AttemptEnd::Refused(reason)
            }
            WorkVerdict::InDoubt(reason) => AttemptEnd::InDoubt(reason),
            WorkVerdict::TargetFailed => {
                in_flight.set_success(false);
                AttemptEnd::TargetFailed
            }
            WorkVerdict::TargetCrashed { crash } => {
                in_flight.set_success(false);
                run.record_crash(crash);
                AttemptEnd::TargetFailed
            }
        }
    }
}

fn end_label(end: &std::result::Result<StartedAnswer, AttemptEnd>) -> &'static str {
    match end {
        Ok(_) => "begun",
        Err(AttemptEnd::NotSent) => "not_sent",
        Err(AttemptEnd::Refused(_)) => "refused",
        Err(AttemptEnd::InDoubt(_)) => "in_doubt",
        Err(AttemptEnd::Lost) => "lost",
        Err(AttemptEnd::Struck) => "struck",
        Err(AttemptEnd::NotStruck) => "not_struck",
        Err(AttemptEnd::TargetFailed) => "target_failed",
    }
}
