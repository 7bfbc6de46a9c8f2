//! Telling a group's nodes what their leader wants.
//!
//! A leader's link is small: 6 Mbit/s beside a rank. What it tells all nodes again and again is therefore
//! short. Names go only to the nodes that may have to reach all others and do not know them yet, and what a
//! plan changes is passed on by some nodes, each to a part of the group. A node that such a word did not
//! reach gets it from the leader itself, with the next repetition.

use grebedeck_core::{Moment, Rank};

use super::message::{Directive, Message, Stage};
use super::node::{Action, Node};

/// Ranks that are told of all nodes beforehand: the first ones take the lead when the leader is gone. With
/// names in each word to each of 192 ranks, words came later than others claim the lead, and it went from hand to
/// hand 72 times in 31 calm seconds; no placement was ever changed.
const NAMED_RANKS: Rank = 3;
/// Nodes that one node tells what a plan changes, before others pass it on: at 7 KB, as with 650 ranks, they take 75 ms
/// of a link of 6 Mbit/s, and three steps reach 512.
const FAN_OUT: usize = 8;

impl<A: Clone + PartialEq> Node<A> {
    /// Sends the leader's word to all nodes, and takes it itself.
    pub(super) fn broadcast(
        &mut self,
        directive: Directive,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let others = self.roster.iter().filter(|(_, to)| **to != self.own_address);
        let known: Vec<(Rank, A)> = others.map(|(rank, to)| (*rank, to.clone())).collect();
        let tells_changes = self.may_tell_changes(now);
        let needs_changes =
            |(rank, _): &(Rank, A)| tells_changes && self.needs_changes(*rank, &directive);
        let (with_changes, without): (Vec<_>, Vec<_>) = known.into_iter().partition(needs_changes);

        if with_changes.len() > FAN_OUT {
            let to = with_changes.iter().map(|(_, to)| to.clone()).collect();
            self.pass_on(&self.own_address, &directive, to, actions);
        } else {
            for (_, to) in &with_changes {
                let message = Message::Lead { directive: directive.clone(), roster: Vec::new() };
                actions.push(Action::Send { to: to.clone(), message });
            }
        }

        for (rank, to) in without {
            let message = self.short_word(rank, &directive);
            actions.push(Action::Send { to, message });
        }

        for to in self.unknown_others() {
            let message = Message::Lead { directive: directive.clone(), roster: Vec::new() };
            actions.push(Action::Send { to: to.clone(), message });
        }

        if let Some(lead) = self.lead.as_mut().filter(|_| !with_changes.is_empty()) {
            lead.note_changes_told(now);
        }

        self.directive = Some(directive);
    }

    /// Passes a leader's word on: to a few nodes, or through some that pass it on in their turn.
    pub(super) fn pass_on(
        &self,
        leader: &A,
        directive: &Directive,
        to: Vec<A>,
        actions: &mut Vec<Action<A>>,
    ) {
        let part_size = to.len().div_ceil(FAN_OUT).max(1);

        for part in to.chunks(part_size) {
            let Some((next, others)) = part.split_first() else {
                continue;
            };
            let message = Message::Relay {
                leader: leader.clone(),
                directive: directive.clone(),
                to: others.to_vec(),
            };
            actions.push(Action::Send { to: next.clone(), message });
        }
    }

    /// Tells whether a plan's changes are to be told now, to those that need them: at once, and again when those
    /// that pass them on have had their time.
    fn may_tell_changes(&self, now: Moment) -> bool {
        let size = self.report.as_ref().map_or(1, |r| r.size);
        let pause = self.options.for_all(self.options.period, size);

        self.lead.as_ref().is_none_or(|lead| lead.may_tell_changes(now, pause))
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
    /// other groups, and telling them would fill the leader's link.
    fn unknown_others(&self) -> Vec<&A> {
        let size = self.report.as_ref().map_or(0, |r| usize::from(r.size));

        if self.roster.len() >= size {
            return Vec::new();
        }

        let is_known = |a: &&A| self.roster.values().any(|r| r == *a);
        self.others.iter().filter(|a| !is_known(a)).collect()
    }
}
