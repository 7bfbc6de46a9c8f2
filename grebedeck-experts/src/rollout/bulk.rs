//! Long words, which wait until the link has time for them.
//!
//! What a plan changes, and a whole placement, are thousands of times as long as a sign of life. A link that is
//! full drops what comes next, whatever it is. So a node sends short words at once and long ones at a part of
//! the smallest link's rate, and what is out of date by then not at all.

use std::collections::VecDeque;

use grebedeck_core::{Expert, Moment};

use super::action::Action;
use super::message::{Directive, Message, Stage};
use super::node::Node;
use crate::placement::Placement;

/// Bytes a second of long words: half of the smallest link that is known, 6 Mbit/s. The other half is for short ones.
pub(super) const BULK_BYTES_PER_S: f64 = 375_000.0;
/// Bytes of long words that may go at once after a pause: half of what waits at such a link before it drops,
/// 60 KB as seen on one of 8 Mbit/s.
pub(super) const BULK_BURST_BYTES: f64 = 32_000.0;
/// Bytes of a long word beside its experts: numbers, addresses, headers of the network.
const FRAME_BYTES: usize = 120;
/// Bytes of a node's address in a word that is to be passed on.
const ADDRESS_BYTES: usize = 8;
/// Highest number that the datagrams' encoding writes as a single byte; others take three.
const ONE_BYTE_MAX: Expert = 250;

/// Long words that wait, and what the link has time for.
#[derive(Clone, Debug)]
pub(super) struct BulkQueue<A> {
    waiting: VecDeque<(A, Message<A>)>,
    credit_bytes: f64,
    at: Moment,
}

impl<A> BulkQueue<A> {
    pub(super) fn new(now: Moment) -> Self {
        BulkQueue { waiting: VecDeque::new(), credit_bytes: BULK_BURST_BYTES, at: now }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn push(&mut self, to: A, message: Message<A>) {
        self.waiting.push_back((to, message));
    }

    /// Takes the time for a word that is sent now or never.
    pub(super) fn take_time(&mut self, len_bytes: usize, now: Moment) -> bool {
        self.refill(now);
        let may_send = self.waiting.is_empty() && self.credit_bytes > 0.0;

        if may_send {
            self.credit_bytes -= len_bytes as f64;
        }

        may_send
    }

    /// Gives the words that the link has time for now.
    fn take_due(
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
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        let credit_bytes = self.credit_bytes + passed_s * BULK_BYTES_PER_S;
        self.credit_bytes = credit_bytes.min(BULK_BURST_BYTES);
        self.at = now;
    }
}

impl<A: Clone + Ord> Node<A> {
    /// Sends what waits, as far as the link has time.
    pub(super) fn send_bulk(&mut self, now: Moment, actions: &mut Vec<Action<A>>) {
        if self.bulk.is_empty() {
            return;
        }

        let promised = self.promised;
        let newest = self.directive.as_ref().map_or(0, |d| d.revision);
        let is_current = |message: &Message<A>| {
            directive_of(message).is_none_or(|d| d.term == promised && d.revision >= newest)
        };

        for (to, message) in self.bulk.take_due(now, is_current) {
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
    let others = match message {
        Message::Relay { to, .. } => to.len() * ADDRESS_BYTES,
        _ => 0,
    };

    others + directive_of(message).map_or(FRAME_BYTES, directive_bytes)
}

/// Gets the length of a word with what a plan changes.
pub(super) fn directive_bytes(directive: &Directive) -> usize {
    let Stage::Prepare { changes: Some(changes), .. } = &directive.stage else {
        return FRAME_BYTES;
    };
    // The set, the rank in up to three bytes, and how many experts there are.
    let held: usize = changes.iter().map(|c| 5 + experts_bytes(&c.experts)).sum();

    FRAME_BYTES + held
}

/// Gets the length of a word with a whole placement.
pub(super) fn placement_bytes(placement: &Placement) -> usize {
    let held = placement.sets.iter().flatten();

    FRAME_BYTES + held.map(|experts| 1 + experts_bytes(experts)).sum::<usize>()
}

fn experts_bytes(experts: &[Expert]) -> usize {
    experts.iter().map(|e| if *e <= ONE_BYTE_MAX { 1 } else { 3 }).sum()
}
