//! Telling a group's nodes what their leader wants.
//!
//! A leader's link is small: 6 Mbit/s beside a rank. What it tells all nodes again and again is therefore
//! short. Names go only to the nodes that may have to reach all others and do not know them yet, and what a
//! plan changes is passed on by some nodes, each to a part of the group. A node that does not say that it has
//! them is told again.

use std::collections::BTreeSet;
use std::time::Duration;

use grebedeck_core::{Moment, Rank};

use super::action::Action;
use super::bulk::{BULK_BURST_BYTES, BULK_BYTES_PER_S, directive_bytes};
use super::message::{Directive, Message, Stage};
use super::node::Node;

/// Ranks that are told of all nodes beforehand: the first ones take the lead when the leader is gone, and one of
/// eight is there also while a sixth of all processes is away and the store cannot be asked. With names in each word
/// to each of 192 ranks, words came later than others claim the lead, and it went from hand to hand 72 times in 31
/// calm seconds; no placement was ever changed.
pub(super) const NAMED_RANKS: Rank = 8;
/// How long a node is taken for one of another group after it has said so. Groups form anew, but seldom with ranks of
/// others.
const ELSEWHERE_LIFETIME: Duration = Duration::from_secs(5);
/// Nodes that one node tells what a plan changes, before others pass it on: at 7 KB, as with 650 ranks, they take 75 ms
/// of a link of 6 Mbit/s, and three steps reach 512.
pub(super) const FAN_OUT: usize = 8;
/// Least number of them, however long what is passed on: steps then grow faster in number than they get shorter.
const LEAST_FAN_OUT: usize = 3;

impl<A: Clone + Ord> Node<A> {
    /// Sends the leader's word to all nodes, and takes it itself.
    pub(super) fn broadcast(
        &mut self,
        directive: Directive,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        for (rank, to) in self.known_others() {
            let message = self.short_word(rank, &directive);
            actions.push(Action::Send { to: to.clone(), message });
        }

        for to in self.unknown_others(now) {
            let message = Message::Lead { directive: directive.clone(), roster: Vec::new() };
            actions.push(Action::Send { to: to.clone(), message });
        }

        // Signs of life go first.
        self.tell_changes(&directive, now);
        self.directive = Some(directive);
    }

    /// Tells what a plan changes to the nodes that are yet to learn it, unless they were told a moment ago.
    pub(super) fn tell_changes(&mut self, directive: &Directive, now: Moment) {
        if !self.may_tell_changes(now) {
            return;
        }

        let absent = self.absent(now);
        // Where nobody is, nobody takes it or passes it on.
        let is_wanting =
            |rank: &Rank| Some(*rank) != absent && self.needs_changes(*rank, directive);
        let wanting = self.known_others().filter(|(rank, _)| is_wanting(rank));
        let to: Vec<A> = wanting.map(|(_, to)| to.clone()).collect();
        let due_at = now + self.spread_time(directive, to.len());

        if let Some(lead) = self.lead.as_mut().filter(|_| !to.is_empty()) {
            lead.note_changes_told(due_at);
        }

        let own_address = self.own_address.clone();
        self.pass_on(&own_address, directive, to);
    }

    /// Gets the other nodes of the group that are known.
    pub(super) fn known_others(&self) -> impl Iterator<Item = (Rank, &A)> {
        let others = self.roster.iter().filter(|(_, to)| **to != self.own_address);

        others.map(|(rank, to)| (*rank, to))
    }

    /// Passes a leader's word on: to a few nodes, or through some that pass it on in their turn.
    pub(super) fn pass_on(&mut self, leader: &A, directive: &Directive, to: Vec<A>) {
        let part_size = to.len().div_ceil(fan_out(directive)).max(1);

        for part in to.chunks(part_size) {
            let Some((next, others)) = part.split_first() else {
                continue;
            };
            let directive = directive.clone();
            let message = if others.is_empty() && *leader == self.own_address {
                Message::Lead { directive, roster: Vec::new() }
            } else {
                Message::Relay { leader: leader.clone(), directive, to: others.to_vec() }
            };
            self.bulk.push(next.clone(), message);
        }
    }

    /// Tells whether a plan's changes may be told now: at once, and again when those that pass them on and those
    /// that say that they have taken them have had their time. Among 192 nodes one word is mostly lost; told
    /// again after 0.3 s it made a plan ready after 0.26 s in place of 0.09.
    fn may_tell_changes(&self, now: Moment) -> bool {
        self.bulk.is_empty() && self.lead.as_ref().is_none_or(|lead| lead.may_tell_changes(now))
    }

    /// Gets how long what a plan changes is on its way to this many nodes, and their answers.
    fn spread_time(&self, directive: &Directive, nodes: usize) -> Duration {
        let size = self.report.as_ref().map_or(1, |r| r.size);
        let fan_out = fan_out(directive);
        let steps = ((nodes + 1) as f64).log(fan_out as f64).ceil();
        let step_bytes = (directive_bytes(directive) * fan_out.min(nodes)) as f64;
        let waiting_bytes = (step_bytes - BULK_BURST_BYTES).max(0.0);
        let spread = Duration::from_secs_f64(steps * waiting_bytes / BULK_BYTES_PER_S);

        self.options.for_all(self.options.changeover_retry_delay, size) + spread
    }

    /// Gets the leader's word for one node, without what a plan changes.
    fn short_word(&self, rank: Rank, directive: &Directive) -> Message<A> {
        let names = || self.roster.iter().map(|(rank, to)| (*rank, to.clone())).collect();
        let roster = if self.wants_names(rank, directive) { names() } else { Vec::new() };
        let mut directive = directive.clone();

        if let Stage::Prepare { changes, .. } = &mut directive.stage {
            *changes = None;
        }

        Message::Lead { directive, roster }
    }

    /// Tells whether a node may have to reach all others, and does not know them. The holder has to, and
    /// may have formed the group a moment ago. For the first ranks names come with the words that want nothing.
    fn wants_names(&self, rank: Rank, directive: &Directive) -> bool {
        let known = self.lead.as_ref().map_or(0, |lead| lead.known_to(rank));
        let may_need = match directive.stage {
            Stage::Idle => rank < NAMED_RANKS,
            Stage::Hold { holder, .. } => rank == holder,
            Stage::Prepare { .. } => false,
        };

        may_need && usize::from(known) < self.roster.len()
    }

    /// Tells whether a node is yet to learn what a plan changes: with many ranks that is longer than all else that a
    /// leader sends. Told again to each of 650 nodes that were still copying, it filled the leader's link, and
    /// others took the lead 67 times in 10 s.
    fn needs_changes(&self, rank: Rank, directive: &Directive) -> bool {
        let Stage::Prepare { placement_no, .. } = directive.stage else {
            return false;
        };
        let Some(lead) = &self.lead else {
            return true;
        };

        !lead.has_taken(rank, directive.revision) && !lead.has_prepared(rank, placement_no)
    }

    /// Gets the nodes that may belong to the group. Once each rank's node is known, the others are those of
    /// other groups. While one is missing, as its process is away, those that have told that they are of another group
    /// are left out: telling them all would fill the leader's link, in proportion to the whole service.
    fn unknown_others(&self, now: Moment) -> Vec<&A> {
        let size = self.report.as_ref().map_or(0, |r| usize::from(r.size));

        if self.roster.len() >= size {
            return Vec::new();
        }

        let known: BTreeSet<&A> = self.roster.values().collect();
        let is_elsewhere = |other: &&A| {
            self.elsewhere.get(*other).is_some_and(|since| now < *since + ELSEWHERE_LIFETIME)
        };

        self.others.iter().filter(|other| !known.contains(other) && !is_elsewhere(other)).collect()
    }
}

/// Gets how many nodes one tells what a plan changes: as many as its link takes at once.
fn fan_out(directive: &Directive) -> usize {
    let fitting = BULK_BURST_BYTES as usize / directive_bytes(directive);

    fitting.clamp(LEAST_FAN_OUT, FAN_OUT)
}
