//! Requests whose answers are streams of events.
//!
//! Whole events are passed on as they come. Where the route allows it, another target goes on with a
//! stream that broke, behind the last event that the caller has; the caller keeps the head that it got
//! first. A stream that cannot go on ends with its connection, so that it never looks whole.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use bytes::Bytes;
use futures::FutureExt;
use grebedeck_core::Moment;
use grebedeck_gateway::{EventBuffer, RequestKind, TargetEntry};
use grebedeck_http::{Connection, ResponseHead, write_chunk};

use super::attempt;
use super::buffer::Buffer;
use super::caller::{After, write_whole};
use super::opened::Opened;
use super::options::{MAX_EVENT_BYTES, READ_AHEAD_BYTES};
use super::place::{self, NoPlace};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::tempo::Tempo;
use super::trace::{Decision, End};
use super::tried::Tried;
use super::whole::WholeAnswer;
use super::writer::{self, Written};

/// How long a caller may hold a target up before a break is taken to be the caller's fault: targets cut off what
/// stays unread for some seconds, and no write to a caller that reads takes as long.
const HELD_UP: Duration = Duration::from_millis(500);

/// How one target's part of a stream ended.
enum Part {
    /// The stream is whole; its status.
    Whole(u16),
    /// The target broke off.
    Broken,
    /// The stream goes on at another target, as this one is slow.
    Moved,
    /// The caller has gone.
    CallerGone,
    /// The caller takes nothing more.
    CallerStalled,
    /// The time is over.
    TimedOut,
}

/// A stream on its way to a caller.
struct Relay<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a Rc<RoutedRequest>,
    connection: &'a mut Connection,
    after: After,
    head_sent: bool,
    tried: Tried,
    /// Whether it was found that the stream cannot go on elsewhere, so that it is not asked at each event.
    stays: bool,
    /// When the request got its newest place.
    placed_at: Option<Moment>,
    tempo: Tempo,
    /// Whether the caller held its target up with what was written last.
    held_up: bool,
}

/// Serves a request; the answer is written to the caller as it comes.
pub async fn serve(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    connection: &mut Connection,
    after: After,
) -> After {
    gateway.earn_repeat(&request.service);
    let mut relay = Relay {
        gateway,
        request,
        connection,
        after,
        head_sent: false,
        tried: Tried::default(),
        stays: false,
        placed_at: None,
        tempo: Tempo::default(),
        held_up: false,
    };
    let (end, after) = relay.run().await;
    let is_late = relay.tempo.is_late;

    if is_late {
        request.trace.add(gateway.now(), relay.tempo.decision(request.request.arrived));
    }

    gateway.note_end(&request.trace, end, is_late);

    after
}

impl Relay<'_> {
    async fn run(&mut self) -> (End, After) {
        loop {
            let found = {
                let finding = place::find(self.gateway, self.request, self.tried.targets());
                futures::select! {
                    found = finding.fuse() => Some(found),
                    () = self.connection.wait_closed(READ_AHEAD_BYTES).fuse() => None,
                }
            };
            let place = match found {
                Some(Ok(place)) => place,
                Some(Err(reason)) => return self.give_up(Some(reason)).await,
                None => return (End::CallerGone, After::Close),
            };

            let target = place.target.clone();
            self.tried.begin(&target);
            self.placed_at = Some(self.gateway.now());
            let opened = {
                let opening = attempt::open(self.gateway, self.request, place);
                futures::select! {
                    opened = opening.fuse() => Some(opened),
                    () = self.connection.wait_closed(READ_AHEAD_BYTES).fuse() => None,
                }
            };

            match opened {
                None => return (End::CallerGone, After::Close),
                Some(Ok(opened)) if opened.head.is_success() => {
                    match self.pass_on(opened, &target).await {
                        Part::Whole(status) => return (End::Answered(status), self.after),
                        Part::Broken => {}
                        Part::Moved => continue,
                        Part::CallerGone => return (End::CallerGone, After::Close),
                        Part::CallerStalled => return (End::CallerStalled, After::Close),
                        Part::TimedOut => return self.give_up(None).await,
                    }
                }
                Some(Ok(opened)) if !self.head_sent => return self.pass_failure(opened).await,
                Some(Ok(opened)) => opened.broken(),
                Some(Err(failure)) => {
                    if !self.tried.failed(&failure) {
                        continue;
                    }
                }
            }

            if !self.gateway.may_send_again(self.request, &self.tried) {
                return self.give_up(None).await;
            }
        }
    }

    /// Passes events on until this target's part ends.
    async fn pass_on(&mut self, mut opened: Opened<'_>, target: &TargetEntry) -> Part {
        let mut events = EventBuffer::default();
        let mut kept = Buffer::new(&self.gateway.answers);

        loop {
            let left = self.request.deadline.saturating_sub(self.gateway.now());
            let next = {
                let reading = timeout(left, opened.next_part());
                futures::select! {
                    next = reading.fuse() => next,
                    () = self.connection.wait_closed(READ_AHEAD_BYTES).fuse() => return Part::CallerGone,
                }
            };

            match next {
                Err(_) => return Part::TimedOut,
                Ok(Ok(Some(part))) => {
                    let written = self.pass_part(&opened.head, &mut events, &part).await;

                    if let Some(end) = self.after_write(written) {
                        return end;
                    }

                    if !kept.note_len(events.remainder().len())
                        || events.remainder().len() > MAX_EVENT_BYTES
                    {
                        return self.break_off(opened, target);
                    }

                    if self.moves_from(target) {
                        return Part::Moved;
                    }
                }
                // An answer that ends within an event was cut, whatever its framing says.
                Ok(Ok(None)) if events.remainder().is_empty() || !self.is_resumable() => {
                    let rest = Bytes::copy_from_slice(events.remainder());
                    let head = opened.head.clone();
                    opened.finish(true);
                    return self.finish(&head, rest).await;
                }
                // A target that was held up by its caller has cut off what was not read.
                Ok(Ok(None) | Err(_)) if self.held_up => {
                    return self.note_stalled(Written::Stalled);
                }
                Ok(Ok(None) | Err(_)) => return self.break_off(opened, target),
            }
        }
    }

    fn break_off(&mut self, opened: Opened<'_>, target: &TargetEntry) -> Part {
        opened.broken();
        let (target, last_event_id) = (target.id.clone(), self.request.last_event_id.get());
        let decision = Decision::Broke { target, last_event_id };
        self.request.trace.add(self.gateway.now(), decision);

        Part::Broken
    }

    /// Gets how a part ends whose caller did not take what was written.
    fn after_write(&mut self, written: Written) -> Option<Part> {
        match written {
            Written::Whole => None,
            Written::Gone => Some(Part::CallerGone),
            Written::Stalled | Written::TimedOut => Some(self.note_stalled(written)),
        }
    }

    fn note_stalled(&mut self, written: Written) -> Part {
        self.gateway.counters.unread.add("stream_stalled");
        let last_event_id = self.request.last_event_id.get();
        self.request.trace.add(self.gateway.now(), Decision::Unread { written, last_event_id });

        Part::CallerStalled
    }

    /// Tells whether the stream is to go on at another target; takes the repeat for it.
    fn moves_from(&mut self, target: &TargetEntry) -> bool {
        let Some(limit) = self.request.admitted.rule.pause_limit.filter(|_| self.is_resumable())
        else {
            return false;
        };
        let wants_to = !self.stays
            && self.gateway.should_leave(target, limit)
            && place::has_place(self.gateway, self.request, self.tried.targets());

        if !wants_to {
            return false;
        }

        if !self.gateway.may_send_again(self.request, &self.tried) {
            self.stays = true;
            return false;
        }

        let (target, last_event_id) = (target.id.clone(), self.request.last_event_id.get());
        let decision = Decision::Moved { target, last_event_id };
        self.request.trace.add(self.gateway.now(), decision);
        self.gateway.counters.attempts.add("moved");
        true
    }

    /// Notes the time until the first event, or the pause since the one before.
    fn note_event(&mut self) {
        let now = self.gateway.now();
        let rule = &self.request.admitted.rule;
        let counters = &self.gateway.counters;

        let arrived = self.request.request.arrived;

        match self.tempo.note_event(arrived, now) {
            None => {
                let first = now - arrived;
                counters.first_event_times.note(first, "stream");

                if let Some(placed_at) = self.placed_at {
                    self.gateway.note_answer_time(&self.request.service, now - placed_at);
                }

                self.tempo.is_late |= first > rule.objective;
            }
            Some(pause) => {
                counters.pauses.note(pause, "stream");

                self.gateway.note_pause(&self.request.service, pause, rule);
                self.tempo.is_late |= rule.pause_limit.is_some_and(|limit| pause > limit);
            }
        }
    }

    fn is_resumable(&self) -> bool {
        self.request.admitted.rule.kind == RequestKind::Stream { is_resumable: true }
    }

    /// Passes the whole events on that a part completes; tells whether the caller takes them.
    async fn pass_part(
        &mut self,
        head: &ResponseHead,
        events: &mut EventBuffer,
        part: &[u8],
    ) -> Written {
        self.note_event();

        if !self.is_resumable() {
            return self.write_body(head, part).await;
        }

        events.push(part);
        let last_id = &self.request.last_event_id;
        let mut data = Vec::new();

        while let Some(event) = events.next_event() {
            // A target that goes on with a stream may begin with an event that the caller has.
            let is_old = event.id.is_some() && event.id <= last_id.get();

            if !is_old {
                data.extend_from_slice(&event.bytes);
                last_id.set(event.id.or(last_id.get()));
            }
        }

        if data.is_empty() {
            return Written::Whole;
        }

        self.write_body(head, &data).await
    }

    async fn finish(&mut self, head: &ResponseHead, rest: Bytes) -> Part {
        let mut bytes = self.head_bytes(head);
        write_chunk(&rest, &mut bytes);
        bytes.extend_from_slice(b"0\r\n\r\n");

        let written = self.write(&bytes).await;

        self.after_write(written).unwrap_or(Part::Whole(head.status))
    }

    async fn write_body(&mut self, head: &ResponseHead, data: &[u8]) -> Written {
        let mut bytes = self.head_bytes(head);
        write_chunk(data, &mut bytes);

        self.write(&bytes).await
    }

    /// Gets the bytes of the answer's head where it has not been sent yet.
    fn head_bytes(&mut self, head: &ResponseHead) -> Vec<u8> {
        let mut bytes = Vec::new();

        if std::mem::replace(&mut self.head_sent, true) {
            return bytes;
        }

        let mut headers = head.headers.end_to_end();
        headers.push("transfer-encoding", "chunked");

        if self.after == After::Close {
            headers.push("connection", "close");
        }

        ResponseHead { status: head.status, minor_version: 1, headers }.write(&mut bytes);
        bytes
    }

    async fn write(&mut self, bytes: &[u8]) -> Written {
        let began = self.gateway.now();
        let written =
            writer::write(self.gateway, self.connection, bytes, self.request.deadline).await;
        self.held_up = self.gateway.now() - began >= HELD_UP;

        written
    }

    /// Passes a target's own failure on.
    async fn pass_failure(&mut self, opened: Opened<'_>) -> (End, After) {
        let left = self.request.deadline.saturating_sub(self.gateway.now());

        match timeout(left, opened.read_whole()).await {
            Ok(Ok((head, body))) => self.answer(WholeAnswer::of_target(head, body)).await,
            Ok(Err(_)) | Err(_) => self.give_up(None).await,
        }
    }

    async fn answer(&mut self, answer: WholeAnswer) -> (End, After) {
        let end = answer.end();

        (end, write_whole(self.gateway, self.connection, answer, self.after).await)
    }

    /// Ends the request without an answer, or cuts the stream that has begun.
    async fn give_up(&mut self, reason: Option<NoPlace>) -> (End, After) {
        if self.head_sent {
            return (End::Cut, After::Close);
        }

        let is_late = self.request.is_late(self.gateway.now());
        let reason =
            reason.unwrap_or_else(|| NoPlace::after_attempts(self.gateway, &self.request.service));
        let run = self.tried.run_state();
        self.answer(WholeAnswer::given_up(run, is_late, reason, self.request, self.gateway)).await
    }
}
