//! One attempt of a request at one target.

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
use grebedeck_routing::{AttemptEnd, Fingerprint, LoadReport};
use http_types::Response;

use super::answer::{AnswerStream, Run, stream_response, whole_response};
use super::request::CallerRequest;
use super::service::{EntryService, Place};
use crate::message::{
    AnswerHead, BODY_PART_BYTES, BodyDigest, FromAgent, PeerHello, ToAgent, WORK_PATH, WorkStart,
    WorkVerdict,
};

/// Answers up to this length are read whole before the caller gets their head, in bytes.
const MAX_WHOLE_BYTES: u64 = 64 << 10;

/// The agent that an attempt was sent to.
#[derive(Clone, Copy, Debug)]
pub struct SentTo {
    /// Its address.
    pub agent_address: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// One attempt.
pub struct Attempt {
    /// The entry.
    pub entry: Arc<EntryService>,
    /// The target.
    pub route: Arc<Route>,
    /// The attempt's id.
    pub id: AttemptId,
    /// What the request has in common with its caller's other tries.
    pub fingerprint: Fingerprint,
    /// The revision under which the request was admitted.
    pub revision: u64,
    /// Whether it may wait for a place on the target.
    pub may_wait: bool,
    /// When the caller stops waiting.
    pub deadline: Moment,
}

/// An answer that has begun.
pub enum Begun {
    /// It is here whole.
    Whole(AnswerHead, Vec<u8>),
    /// It is still coming.
    Streaming(AnswerHead, Box<AnswerStream>),
}

impl Begun {
    /// Makes the response to the caller; the place is given back when the answer has ended.
    pub fn into_response(self, place: Place) -> Response {
        match self {
            Begun::Whole(head, body) => whole_response(head, body),
            Begun::Streaming(head, stream) => stream_response(head, *stream, place),
        }
    }
}

/// Counts a request as in flight on a target until it is dropped.
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

    /// Notes what the request showed of the target's health.
    pub fn judge(&mut self, success: bool) {
        self.success = Some(success);
    }

    /// Notes the target's load.
    pub fn reported(&self, report: LoadReport) {
        let now = self.entry.now();

        self.entry.state().chooser.record_report(&self.target, report, now);
    }

    /// Gets the entry.
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
    /// Sends the request and waits until the answer begins.
    pub async fn run(
        &self,
        request: &CallerRequest,
        sent: &mut Option<SentTo>,
    ) -> std::result::Result<Begun, AttemptEnd> {
        let in_flight = InFlight::new(self.entry.clone(), &self.route.name);
        let left = self.deadline.saturating_sub(self.entry.now());
        let begun = timeout(left, self.exchange(request, sent, in_flight)).await;
        let begun = begun.unwrap_or(Err(AttemptEnd::Lost));
        self.entry.counters.attempts.add(end_word(&begun));

        begun
    }

    async fn exchange(
        &self,
        request: &CallerRequest,
        sent: &mut Option<SentTo>,
        mut in_flight: InFlight,
    ) -> std::result::Result<Begun, AttemptEnd> {
        let opened = self.open().await;

        let Ok((mut stream, hello)) = opened else {
            in_flight.judge(false);
            return Err(AttemptEnd::NotSent);
        };

        let agent_address = self.route.agent_address;
        *sent = Some(SentTo { agent_address, incarnation: hello.incarnation });

        let answered = {
            let talking = self.talk(request, &hello, &mut stream);
            let silent = self.entry.directory.wait_until_unresponsive(agent_address);
            futures::pin_mut!(talking, silent);

            match futures::future::select(talking, silent).await {
                Either::Left((answered, _)) => answered.ok(),
                Either::Right(_) => None,
            }
        };

        match answered {
            Some((first, reader)) => {
                let run = Run {
                    suspects: self.entry.suspects.clone(),
                    target: self.route.name.clone(),
                    incarnation: hello.incarnation,
                    fingerprint: self.fingerprint,
                };
                self.take_first(first, reader, stream, in_flight, run).await
            }
            None => {
                in_flight.judge(false);
                Err(AttemptEnd::Lost)
            }
        }
    }

    async fn open(&self) -> Result<(Stream, PeerHello)> {
        let (link, hello): (Link, PeerHello) =
            self.entry.directory.peer(self.route.agent_address).await?;

        if hello.name != self.route.name {
            return grebedeck_core::error::protocol_error("another target has the address");
        }

        Ok((link.open(WORK_PATH).await?, hello))
    }

    async fn talk(
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

    /// Encodes the whole request, so that a small one leaves in one piece.
    fn encode(&self, request: &CallerRequest, hello: &PeerHello) -> Result<BytesMut> {
        let left = self.deadline.saturating_sub(self.entry.now());
        let start = WorkStart {
            attempt: self.id,
            incarnation: hello.incarnation,
            organisation: request.organisation.clone(),
            service: request.service.clone(),
            revision: self.revision,
            may_wait: self.may_wait,
            key: request.key,
            sent_unix_ms: unix_ms(),
            deadline_ms: Some(left.as_millis() as u64),
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

    async fn take_first(
        &self,
        first: FromAgent,
        reader: FrameReader,
        stream: Stream,
        mut in_flight: InFlight,
        run: Run,
    ) -> std::result::Result<Begun, AttemptEnd> {
        let head = match first {
            FromAgent::Verdict(verdict, report) => {
                in_flight.reported(report);
                return Err(self.take_verdict(verdict, in_flight, &run));
            }
            FromAgent::Head(head) if head.attempt == self.id => head,
            // Whatever else comes first is of no use to this caller.
            _ => {
                in_flight.judge(false);
                return Err(AttemptEnd::Lost);
            }
        };

        let whole = head.len_bytes.is_some_and(|len| len <= MAX_WHOLE_BYTES);
        let mut answer =
            AnswerStream::new(self.id, self.route.agent_address, reader, stream, in_flight, run);

        if !whole {
            return Ok(Begun::Streaming(head, Box::new(answer)));
        }

        match answer.read_whole().await {
            Ok(body) => Ok(Begun::Whole(head, body)),
            Err(_) => Err(AttemptEnd::Lost),
        }
    }

    fn take_verdict(&self, verdict: WorkVerdict, mut in_flight: InFlight, run: &Run) -> AttemptEnd {
        match verdict {
            WorkVerdict::Refused(reason) => {
                if reason == Reason::Draining {
                    let now = self.entry.now();
                    self.entry.state().chooser.set_leaving(&self.route.name, now);
                }

                if reason == Reason::Unreachable {
                    in_flight.judge(false);
                }

                AttemptEnd::Refused(reason)
            }
            WorkVerdict::InDoubt(reason) => AttemptEnd::InDoubt(reason),
            WorkVerdict::TargetFailed => {
                in_flight.judge(false);
                AttemptEnd::TargetFailed
            }
            WorkVerdict::TargetCrashed { crash } => {
                in_flight.judge(false);
                run.crashed(crash);
                AttemptEnd::TargetFailed
            }
        }
    }
}

fn end_word(end: &std::result::Result<Begun, AttemptEnd>) -> &'static str {
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
