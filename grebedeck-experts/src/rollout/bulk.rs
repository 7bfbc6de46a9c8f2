//! Rate-limited sending of bulk messages.
//!
//! The changes of a plan, and whole placements, are thousands of times as long as a heartbeat. A
//! link whose queue is full drops every message that comes next. Short messages are therefore sent
//! at once, and bulk messages at a fraction of the smallest link's rate; those that are outdated by
//! then are dropped.

use std::collections::VecDeque;

use grebedeck_core::{Expert, Moment};

use super::action::Action;
use super::message::{Directive, Message, Stage};
use super::node::Node;
use crate::placement::Placement;

/// Rate of bulk messages: half of the smallest link known, 6 Mbit/s. The other half is for short
/// messages.
pub(super) const BULK_BYTES_PER_S: f64 = 375_000.0;
/// Bulk bytes that may be sent at once after a pause: half of what a link queues before it drops
/// messages, 60 KB on one of 8 Mbit/s.
pub(super) const BULK_BURST_BYTES: f64 = 32_000.0;
/// Bytes of a bulk message apart from its experts: numbers, addresses, network headers.
const FRAME_BYTES: usize = 120;
/// Bytes of a node's address in a message to be relayed.
const ADDRESS_BYTES: usize = 8;
/// Largest number that the encoding of datagrams writes as one byte; larger ones take three.
const ONE_BYTE_MAX: Expert = 250;

/// Queue of bulk messages with a token bucket.
#[derive(Clone, Debug)]
pub(super) struct BulkQueue<A> {
    waiting: VecDeque<(A, Message<A>)>,
    credit_bytes: f64,
    refilled_at: Moment,
}

impl<A> BulkQueue<A> {
    pub(super) fn new(now: Moment) -> Self {
        BulkQueue { waiting: VecDeque::new(), credit_bytes: BULK_BURST_BYTES, refilled_at: now }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn push(&mut self, to: A, message: Message<A>) {
        self.waiting.push_back((to, message));
    }

    /// Spends the credit for a message that is sent now or not at all; returns whether it may be
    /// sent.
    pub(super) fn try_reserve(&mut self, len_bytes: usize, now: Moment) -> bool {
        self.refill(now);
        let may_send = self.waiting.is_empty() && self.credit_bytes > 0.0;

        if may_send {
            self.credit_bytes -= len_bytes as f64;
        }

        may_send
    }

    /// Removes the outdated messages and returns those that may be sent now.
    fn pop_due(
        &mut self,
        now: Moment,
        is_current: impl Fn(&Message<A>) -> bool,
    ) -> Vec<(A, Message<A>)> {
        self.refill(now);
        self.waiting.retain(|(_, message)| is_current(message));
        let mut due = Vec::new();

        while self.credit_bytes > 0.0
            && let Some((to, message)) = self.waiting.pop_front()
        {
            self.credit_bytes -= message_bytes(&message) as f64;
            due.push((to, message));
        }

        due
    }

    fn refill(&mut self, now: Moment) {
        let passed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        let credit_bytes = self.credit_bytes + passed_s * BULK_BYTES_PER_S;
        self.credit_bytes = credit_bytes.min(BULK_BURST_BYTES);
        self.refilled_at = now;
    }
}

impl<A: Clone + Ord> Node<A> {
    /// Sends queued bulk messages as far as the rate allows.
    pub(super) fn send_bulk(&mut self, now: Moment, actions: &mut Vec<Action<A>>) {
        if self.bulk.is_empty() {
            return;
        }

        let promised = self.promised;
        let newest = self.directive.as_ref().map_or(0, |d| d.revision);
        let is_current = |message: &Message<A>| {
            directive_of(message).is_none_or(|d| d.term == promised && d.revision >= newest)
        };

        for (to, message) in self.bulk.pop_due(now, is_current) {
            actions.push(Action::Send { to, message });
        }
    }
}

fn directive_of<A>(message: &Message<A>) -> Option<&Directive> {
    match message {
        Message::Lead { directive, .. } | Message::Relay { directive, .. } => Some(directive),
        _ => None,
    }
}

fn message_bytes<A>(message: &Message<A>) -> usize {
    let relay_bytes = match message {
        Message::Relay { to, .. } => to.len() * ADDRESS_BYTES,
        _ => 0,
    };

    relay_bytes + directive_of(message).map_or(FRAME_BYTES, directive_bytes)
}

/// Estimated length of a directive with the changes of its plan, in bytes.
pub(super) fn directive_bytes(directive: &Directive) -> usize {
    let Stage::Prepare { changes: Some(changes), .. } = &directive.stage else {
        return FRAME_BYTES;
    };
    // The set, the rank in up to three bytes, and the number of experts.
    let held: usize = changes.iter().map(|c| 5 + experts_bytes(&c.experts)).sum();

    FRAME_BYTES + held
}

/// Estimated length of a message with a whole placement, in bytes.
pub(super) fn placement_bytes(placement: &Placement) -> usize {
    let held = placement.sets.iter().flatten();

    FRAME_BYTES + held.map(|experts| 1 + experts_bytes(experts)).sum::<usize>()
}

fn experts_bytes(experts: &[Expert]) -> usize {
    experts.iter().map(|e| if *e <= ONE_BYTE_MAX { 1 } else { 3 }).sum()
}
