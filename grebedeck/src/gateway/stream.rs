//! Requests whose answers are streams of events.
//!
//! Whole events are passed on as they come. Where the route allows it, another target goes on with a
//! stream that broke, behind the last event that the caller has; the caller keeps the head that it got
//! first. A stream that cannot go on ends with its connection, so that it never looks whole.

use std::rc::Rc;

use async_std::future::timeout;
use bytes::Bytes;
use futures::FutureExt;
use grebedeck_core::Moment;
use grebedeck_gateway::answer::may_send_again;
use grebedeck_gateway::{EventBuffer, Kind, RunState, TargetId, Verdict};
use grebedeck_http::{Connection, ResponseHead, write_chunk};

use super::attempt::{self, FailureCause, Opened};
use super::caller::{After, write_whole};
use super::options::READ_AHEAD_BYTES;
use super::place::{self, NoPlace};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::whole::WholeAnswer;

/// How one target's part of a stream ended.
enum Part {
    /// The stream is whole.
    Whole,
    /// The target broke off.
    Broken,
    /// The caller has gone, or takes nothing more.
    CallerGone,
    /// The time is over.
    TimedOut,
}

/// A stream on its way to a caller.
struct Relay<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a RoutedRequest,
    connection: &'a mut Connection,
    after: After,
    head_sent: bool,
    last_id: Option<u64>,
    tried: Vec<TargetId>,
    may_have_run: bool,
}

/// Serves a request; the answer is written to the caller as it comes.
pub async fn serve(
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
    connection: &mut Connection,
    after: After,
) -> After {
    gateway.earn_repeat(&request.service);
    let relay = Relay {
        gateway,
        request,
        connection,
        after,
        head_sent: false,
        last_id: None,
        tried: Vec::new(),
        may_have_run: false,
    };

    relay.run().await
}

impl Relay<'_> {
    async fn run(mut self) -> After {
        loop {
            let found = {
                let finding = place::find(self.gateway, self.request, &self.tried);
                futures::select! {
                    found = finding.fuse() => found,
                    () = self.connection.closed(READ_AHEAD_BYTES).fuse() => return After::Close,
                }
            };
            let target = match found {
                Ok(target) => target,
                Err(reason) => return self.give_up(false, Some(reason)).await,
            };

            let before = std::mem::replace(&mut self.may_have_run, true);
            self.tried.push(target.id.clone());
            let opened = {
                let opening = attempt::open(self.gateway, self.request, &target, self.last_id);
                futures::select! {
                    opened = opening.fuse() => opened,
                    () = self.connection.closed(READ_AHEAD_BYTES).fuse() => return After::Close,
                }
            };

            match opened {
                Ok(opened) if opened.verdict == Verdict::Pass && opened.head.is_success() => {
                    match self.pass_on(opened).await {
                        Part::Whole => return self.after,
                        Part::Broken => {}
                        Part::CallerGone => return After::Close,
                        Part::TimedOut => return self.give_up(true, None).await,
                    }
                }
                Ok(opened) if !self.head_sent => return self.pass_failure(opened).await,
                Ok(opened) => opened.broken(),
                Err(failure) => {
                    self.may_have_run = before || failure.run == RunState::MayHaveRun;

                    if failure.cause == FailureCause::OtherTarget {
                        self.gateway.change_targets(|targets, _| {
                            targets.remove(&target.id);
                            Vec::new()
                        });
                    }
                }
            }

            if !self.may_go_on() {
                let is_late = self.request.deadline <= self.gateway.now();
                return self.give_up(is_late, None).await;
            }
        }
    }

    fn may_go_on(&self) -> bool {
        let rule = &self.request.admitted.rule;
        let run = if self.may_have_run { RunState::MayHaveRun } else { RunState::NotRun };

        may_send_again(rule.kind, run)
            && (self.tried.len() as u32) < rule.max_targets
            && attempt::has_time(self.request, self.gateway.now())
            && self.gateway.take_repeat(&self.request.service)
    }

    /// Passes events on until this target's part ends.
    async fn pass_on(&mut self, mut opened: Opened) -> Part {
        let mut events = EventBuffer::default();
        let mut event_at = None;

        loop {
            let left = self.request.deadline.saturating_sub(self.gateway.now());
            let next = {
                let reading = timeout(left, opened.next_part());
                futures::select! {
                    next = reading.fuse() => next,
                    () = self.connection.closed(READ_AHEAD_BYTES).fuse() => return Part::CallerGone,
                }
            };

            let sent = match next {
                Err(_) => return Part::TimedOut,
                Ok(Ok(Some(part))) => {
                    self.note_pause(&mut event_at);
                    self.pass_part(&opened.head, &mut events, &part).await
                }
                Ok(Ok(None)) => {
                    let rest = Bytes::copy_from_slice(events.rest());
                    let head = opened.head.clone();
                    // An answer that ends within an event was cut, whatever its framing says.
                    if !rest.is_empty() && self.is_resumable() {
                        opened.broken();
                        return Part::Broken;
                    }
                    opened.finish(true);
                    return self.finish(&head, rest).await;
                }
                Ok(Err(_)) => {
                    opened.broken();
                    return Part::Broken;
                }
            };

            if !sent {
                return Part::CallerGone;
            }
        }
    }

    /// Notes the pause since the last part of a stream.
    fn note_pause(&self, event_at: &mut Option<Moment>) {
        let now = self.gateway.now();
        let limit = self.request.admitted.rule.pause_limit;

        if let (Some(before), Some(limit)) = (event_at.replace(now), limit) {
            self.gateway.note_pause(&self.request.service, now - before, limit);
        }
    }

    fn is_resumable(&self) -> bool {
        self.request.admitted.rule.kind == Kind::Stream { is_resumable: true }
    }

    /// Passes the whole events on that a part completes; tells whether the caller takes them.
    async fn pass_part(
        &mut self,
        head: &ResponseHead,
        events: &mut EventBuffer,
        part: &[u8],
    ) -> bool {
        if !self.is_resumable() {
            return self.write_body(head, part).await;
        }

        events.push(part);
        let mut data = Vec::new();

        while let Some(event) = events.next_event() {
            // A target that goes on with a stream may begin with an event that the caller has.
            let is_old = event.id.is_some() && event.id <= self.last_id;

            if !is_old {
                data.extend_from_slice(&event.bytes);
                self.last_id = event.id.or(self.last_id);
            }
        }

        data.is_empty() || self.write_body(head, &data).await
    }

    async fn finish(&mut self, head: &ResponseHead, rest: Bytes) -> Part {
        let mut bytes = self.head_bytes(head);
        write_chunk(&rest, &mut bytes);
        bytes.extend_from_slice(b"0\r\n\r\n");

        match self.write(&bytes).await {
            true => Part::Whole,
            false => Part::CallerGone,
        }
    }

    async fn write_body(&mut self, head: &ResponseHead, data: &[u8]) -> bool {
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

    async fn write(&self, bytes: &[u8]) -> bool {
        let left = self.request.deadline.saturating_sub(self.gateway.now());

        matches!(timeout(left, self.connection.write_all(bytes)).await, Ok(Ok(())))
    }

    /// Passes a target's own failure on.
    async fn pass_failure(&mut self, opened: Opened) -> After {
        let left = self.request.deadline.saturating_sub(self.gateway.now());

        match timeout(left, opened.read_whole()).await {
            Ok(Ok((head, body))) => {
                write_whole(self.connection, WholeAnswer::of_target(head, body), self.after).await
            }
            Ok(Err(_)) => self.give_up(false, None).await,
            Err(_) => self.give_up(true, None).await,
        }
    }

    /// Ends the request without an answer, or cuts the stream that has begun.
    async fn give_up(&mut self, is_late: bool, reason: Option<NoPlace>) -> After {
        if self.head_sent {
            return After::Close;
        }

        let run = if self.may_have_run { RunState::MayHaveRun } else { RunState::NotRun };
        let answer = WholeAnswer::given_up(run, is_late, reason, self.request, &self.gateway.names);
        write_whole(self.connection, answer, self.after).await
    }
}
