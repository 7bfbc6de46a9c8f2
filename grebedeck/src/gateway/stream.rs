//! Serves requests whose responses are streams of events.
//!
//! Complete events are forwarded as they arrive. If the route allows it, a stream that broke is
//! resumed on another target after the last event that the caller has; the caller keeps the head
//! that it got first. A stream that cannot be resumed ends with its connection, so that it never
//! looks complete.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use bytes::Bytes;
use futures::FutureExt;
use grebedeck_core::Moment;
use grebedeck_gateway::{EventBuffer, EventTracker, RequestKind, TargetEntry};
use grebedeck_http::{Connection, ResponseHead, write_chunk};

use super::attempt;
use super::buffer::Buffer;
use super::buffered::BufferedResponse;
use super::caller::{Reuse, write_buffered};
use super::history::AttemptHistory;
use super::options::{MAX_EVENT_BYTES, READ_AHEAD_BYTES};
use super::request::RoutedRequest;
use super::response::OpenResponse;
use super::retries::RetryPermit;
use super::service::Gateway;
use super::slot::{self, NoSlot};
use super::timing::EventTiming;
use super::trace::{Decision, Outcome};
use super::writer::{self, WriteOutcome};

/// Duration of a write after which the end of the target's connection is attributed to the caller:
/// targets cut off responses that stay unread for some seconds, and no write to a caller that reads
/// takes as long as this.
const BLOCKED_WRITE: Duration = Duration::from_millis(500);

/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// How one target's part of a stream ended.
enum PartEnd {
    /// The stream is complete; its status.
    Complete(u16),
    /// The target's connection broke.
    Broken,
    /// The stream moves to another target because this one is slow.
    Moved,
    /// The caller has left.
    CallerGone,
    /// The caller accepts no more data.
    CallerStalled,
    /// The deadline has passed.
    TimedOut,
}

/// A stream on its way to a caller.
struct StreamForwarder<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a Rc<RoutedRequest>,
    connection: &'a mut Connection,
    reuse: Reuse,
    head_sent: bool,
    history: AttemptHistory,
    /// Permit of the retry that comes next.
    retry: Option<RetryPermit>,
    /// Whether the stream may not move, as it was denied a retry; this is not checked again.
    is_pinned: bool,
    /// When the request acquired its latest slot.
    acquired_at: Option<Moment>,
    timing: EventTiming,
    /// Whether the latest write to the caller blocked for [`BLOCKED_WRITE`] or longer.
    write_blocked: bool,
}

/// Serves a request; writes the response to the caller as it arrives.
pub async fn serve(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    connection: &mut Connection,
    reuse: Reuse,
) -> Reuse {
    gateway.record_first_attempt(&request.service);
    let mut forwarder = StreamForwarder {
        gateway,
        request,
        connection,
        reuse,
        head_sent: false,
        history: AttemptHistory::default(),
        retry: None,
        is_pinned: false,
        acquired_at: None,
        timing: EventTiming::default(),
        write_blocked: false,
    };
    let (outcome, reuse) = forwarder.run().await;
    let is_late = forwarder.timing.is_late;

    if is_late {
        request.trace.add(gateway.now(), forwarder.timing.decision(request.request.arrived));
    }

    gateway.record_end(&request.trace, outcome, is_late);

    reuse
}

impl StreamForwarder<'_> {
    async fn run(&mut self) -> (Outcome, Reuse) {
        loop {
            let found = {
                let finding = slot::acquire(self.gateway, self.request, self.history.targets());
                futures::select! {
                    found = finding.fuse() => Some(found),
                    () = self.connection.wait_closed(READ_AHEAD_BYTES).fuse() => None,
                }
            };
            let slot = match found {
                Some(Ok(slot)) => slot,
                Some(Err(reason)) => return self.give_up(Some(reason)).await,
                None => return (Outcome::CallerGone, Reuse::Close),
            };

            let target = slot.target.clone();
            self.history.record_start(&target);
            self.acquired_at = Some(self.gateway.now());
            let opened = {
                let opening = attempt::open(self.gateway, self.request, slot, &mut self.retry);
                futures::select! {
                    opened = opening.fuse() => Some(opened),
                    () = self.connection.wait_closed(READ_AHEAD_BYTES).fuse() => None,
                }
            };

            match opened {
                None => return (Outcome::CallerGone, Reuse::Close),
                Some(Ok(opened)) if opened.head.is_success() => {
                    match self.forward(opened, &target).await {
                        PartEnd::Complete(status) => {
                            return (Outcome::FromTarget(status), self.reuse);
                        }
                        PartEnd::Broken => {}
                        PartEnd::Moved => continue,
                        PartEnd::CallerGone => return (Outcome::CallerGone, Reuse::Close),
                        PartEnd::CallerStalled => return (Outcome::CallerStalled, Reuse::Close),
                        PartEnd::TimedOut => return self.give_up(None).await,
                    }
                }
                Some(Ok(opened)) if !self.head_sent => return self.forward_failure(opened).await,
                Some(Ok(opened)) => opened.record_broken(),
                Some(Err(failure)) => {
                    if !self.history.record_failure(&failure) {
                        continue;
                    }
                }
            }

            self.retry = self.gateway.authorize_retry(self.request, &self.history);

            if self.retry.is_none() {
                return self.give_up(None).await;
            }
        }
    }

    /// Forwards events until this target's part ends.
    async fn forward(&mut self, mut opened: OpenResponse<'_>, target: &TargetEntry) -> PartEnd {
        let mut events = EventBuffer::default();
        let mut tracker = EventTracker::default();
        let mut reserved = Buffer::new(&self.gateway.responses);

        loop {
            let left = self.request.deadline.saturating_sub(self.gateway.now());
            let next = {
                let reading = timeout(left, opened.next_part());
                futures::select! {
                    next = reading.fuse() => next,
                    () = self.connection.wait_closed(READ_AHEAD_BYTES).fuse() =>
                        return PartEnd::CallerGone,
                }
            };

            match next {
                Err(_) => return PartEnd::TimedOut,
                Ok(Ok(Some(part))) => {
                    tracker.push(&part);
                    let written = self.forward_part(&opened.head, &mut events, &part).await;

                    if let Some(end) = self.part_end_after_write(written) {
                        return end;
                    }

                    if !reserved.set_external_len(events.remainder().len())
                        || events.remainder().len() > MAX_EVENT_BYTES
                    {
                        return self.record_break(opened, target);
                    }

                    if self.try_move(target) {
                        return PartEnd::Moved;
                    }
                }
                Ok(Ok(None)) if self.is_whole(&mut opened, &tracker).await => {
                    let rest = Bytes::copy_from_slice(events.remainder());
                    let head = opened.head.clone();
                    opened.finish(true);
                    return self.finish(&head, rest).await;
                }
                // The target was blocked by a slow caller, and has cut off the unread response.
                Ok(Ok(None) | Err(_)) if self.write_blocked => {
                    return self.record_stalled(WriteOutcome::Stalled);
                }
                Ok(Ok(None) | Err(_)) => return self.record_break(opened, target),
            }
        }
    }

    /// Whether a stream that has ended is whole. One that ends within an event was truncated,
    /// whatever its framing says; one that ends with its connection, also if it has no event or its
    /// target is gone.
    async fn is_whole(&self, opened: &mut OpenResponse<'_>, tracker: &EventTracker) -> bool {
        let content_type = opened.head.headers.text("content-type").unwrap_or_default();
        let has_events = self.is_resumable() || content_type.starts_with(EVENT_STREAM);
        let is_cut = !tracker.is_between_events() || (tracker.is_empty() && opened.is_unframed());

        if has_events && is_cut {
            return false;
        }

        !opened.ended_by_crash().await
    }

    fn record_break(&mut self, opened: OpenResponse<'_>, target: &TargetEntry) -> PartEnd {
        opened.record_broken();
        let (target, last_event_id) = (target.id.clone(), self.request.last_event_id.get());
        let decision = Decision::StreamBroke { target, last_event_id };
        self.request.trace.add(self.gateway.now(), decision);

        PartEnd::Broken
    }

    /// End of the part if the caller did not accept a write.
    fn part_end_after_write(&mut self, written: WriteOutcome) -> Option<PartEnd> {
        match written {
            WriteOutcome::Complete => None,
            WriteOutcome::Gone => Some(PartEnd::CallerGone),
            WriteOutcome::Stalled | WriteOutcome::TimedOut => Some(self.record_stalled(written)),
        }
    }

    fn record_stalled(&mut self, written: WriteOutcome) -> PartEnd {
        self.gateway.counters.unread.add("stream_stalled");
        let last_event_id = self.request.last_event_id.get();
        self.request
            .trace
            .add(self.gateway.now(), Decision::ResponseUnread { written, last_event_id });

        PartEnd::CallerStalled
    }

    /// Whether the stream should move to another target; takes the retry for it.
    fn try_move(&mut self, target: &TargetEntry) -> bool {
        let Some(limit) = self.request.admitted.rule.pause_limit.filter(|_| self.is_resumable())
        else {
            return false;
        };
        let wants_to = !self.is_pinned
            && self.gateway.should_move_stream(target, limit)
            && slot::has_free_slot(self.gateway, self.request, self.history.targets());

        if !wants_to {
            return false;
        }

        self.retry = self.gateway.authorize_retry(self.request, &self.history);

        if self.retry.is_none() {
            self.is_pinned = true;
            return false;
        }

        let (target, last_event_id) = (target.id.clone(), self.request.last_event_id.get());
        let decision = Decision::StreamMoved { target, last_event_id };
        self.request.trace.add(self.gateway.now(), decision);
        self.gateway.counters.attempts.add("moved");
        true
    }

    /// Records the time to the first event, or the pause since the previous one.
    fn record_event(&mut self) {
        let now = self.gateway.now();
        let rule = &self.request.admitted.rule;
        let counters = &self.gateway.counters;

        let arrived = self.request.request.arrived;

        match self.timing.record_event(arrived, now) {
            None => {
                let first = now - arrived;
                counters.first_event_times.record(first, "stream");

                if let Some(acquired_at) = self.acquired_at {
                    self.gateway.record_response_time(&self.request.service, now - acquired_at);
                }

                self.timing.is_late |= first > rule.objective;
            }
            Some(pause) => {
                counters.pauses.record(pause, "stream");

                self.gateway.record_pause(&self.request.service, pause, rule);
                self.timing.is_late |= rule.pause_limit.is_some_and(|limit| pause > limit);
            }
        }
    }

    fn is_resumable(&self) -> bool {
        self.request.admitted.rule.kind == RequestKind::Stream { is_resumable: true }
    }

    /// Forwards the events that `part` completes; returns whether the caller accepted them.
    async fn forward_part(
        &mut self,
        head: &ResponseHead,
        events: &mut EventBuffer,
        part: &[u8],
    ) -> WriteOutcome {
        self.record_event();

        if !self.is_resumable() {
            return self.write_body(head, part).await;
        }

        events.push(part);
        let last_id = &self.request.last_event_id;
        let mut data = Vec::new();

        while let Some(event) = events.next_event() {
            // The target that resumes a stream may start with an event that the caller already has.
            let is_old = event.id.is_some() && event.id <= last_id.get();

            if !is_old {
                data.extend_from_slice(&event.bytes);
                last_id.set(event.id.or(last_id.get()));
            }
        }

        if data.is_empty() {
            return WriteOutcome::Complete;
        }

        self.write_body(head, &data).await
    }

    async fn finish(&mut self, head: &ResponseHead, rest: Bytes) -> PartEnd {
        let mut bytes = self.head_bytes(head);
        write_chunk(&rest, &mut bytes);
        bytes.extend_from_slice(b"0\r\n\r\n");

        let written = self.write(&bytes).await;

        self.part_end_after_write(written).unwrap_or(PartEnd::Complete(head.status))
    }

    async fn write_body(&mut self, head: &ResponseHead, data: &[u8]) -> WriteOutcome {
        let mut bytes = self.head_bytes(head);
        write_chunk(data, &mut bytes);

        self.write(&bytes).await
    }

    /// Encoded response head; empty if it has already been returned.
    fn head_bytes(&mut self, head: &ResponseHead) -> Vec<u8> {
        let mut bytes = Vec::new();

        if std::mem::replace(&mut self.head_sent, true) {
            return bytes;
        }

        let mut headers = head.headers.end_to_end();
        headers.push("transfer-encoding", "chunked");

        if self.reuse == Reuse::Close {
            headers.push("connection", "close");
        }

        ResponseHead { status: head.status, minor_version: 1, headers }.write(&mut bytes);
        bytes
    }

    async fn write(&mut self, bytes: &[u8]) -> WriteOutcome {
        let began = self.gateway.now();
        let written =
            writer::write(self.gateway, self.connection, bytes, self.request.deadline).await;
        self.write_blocked = self.gateway.now() - began >= BLOCKED_WRITE;

        written
    }

    /// Forwards a failure reported by the target itself.
    async fn forward_failure(&mut self, opened: OpenResponse<'_>) -> (Outcome, Reuse) {
        let left = self.request.deadline.saturating_sub(self.gateway.now());

        match timeout(left, opened.read_whole()).await {
            Ok(Ok((head, body))) => self.respond(BufferedResponse::from_target(head, body)).await,
            Ok(Err(_)) | Err(_) => self.give_up(None).await,
        }
    }

    async fn respond(&mut self, response: BufferedResponse) -> (Outcome, Reuse) {
        let outcome = response.outcome();

        (outcome, write_buffered(self.gateway, self.connection, response, self.reuse).await)
    }

    /// Ends the request without a target's response, or truncates a stream that has started.
    async fn give_up(&mut self, reason: Option<NoSlot>) -> (Outcome, Reuse) {
        if self.head_sent {
            return (Outcome::Truncated, Reuse::Close);
        }

        let is_late = self.request.is_past_deadline(self.gateway.now());
        let reason =
            reason.unwrap_or_else(|| NoSlot::after_attempts(self.gateway, &self.request.service));
        let run = self.history.run_state();
        self.respond(BufferedResponse::given_up(run, is_late, reason, self.request, self.gateway))
            .await
    }
}
