//! Telling a group's nodes what their leader wants.
//!
//! A leader's link is small: 6 Mbit/s beside a rank. What it tells all nodes again and again is therefore
//! short. Names go only to the nodes that may have to reach all others and do not know them yet, and what a
//! plan changes is passed on by some nodes, each to a part of the group. A node that such a word did not
//! reach gets it from the leader itself, with the next repetition.

use grebedeck_core::Rank;

use super::message::{Directive, Message, Stage};
use super::node::{Action, Node};

/// Ranks that are told of all nodes beforehand: the first ones take the lead when the leader is gone. With
/// names in each word to each of 192 ranks, words came later than others claim the lead, and it went from hand to
/// hand 72 times in 31 calm seconds; no placement was ever changed.
const NAMED_RANKS: Rank = 3;
/// Nodes from which on a plan's changes are passed on. Below it, a leader that tells all of them itself is done within
/// a tenth of a second, at 3 KB each.
const RELAYED_FROM: usize = 24;

impl<A: Clone + PartialEq> Node<A> {
    /// Sends the leader's word to all nodes, and takes it itself; `is_first` is false where it was told before.
    pub(super) fn broadcast(
        &mut self,
        directive: Directive,
        is_first: bool,
        actions: &mut Vec<Action<A>>,
    ) {
        let others = self.roster.iter().filter(|(_, to)| **to != self.own_address);
        let known: Vec<(Rank, A)> = others.map(|(rank, to)| (*rank, to.clone())).collect();
        let has_changes = matches!(directive.stage, Stage::Prepare { .. });

        if is_first && has_changes && known.len() >= RELAYED_FROM {
            self.relay(&directive, &known, actions);
        } else {
            for (rank, to) in known {
                let message = self.word_for(rank, &directive);
                actions.push(Action::Send { to, message });
            }
        }

        for to in self.unknown_others() {
            let message = Message::Lead { directive: directive.clone(), roster: Vec::new() };
            actions.push(Action::Send { to: to.clone(), message });
        }

        self.directive = Some(directive);
    }

    /// Has some nodes pass the word on, each to as many as there are of them.
    fn relay(&self, directive: &Directive, known: &[(Rank, A)], actions: &mut Vec<Action<A>>) {
        let part_size = (known.len() as f64).sqrt().ceil() as usize;

        for part in known.chunks(part_size) {
            let Some(((_, relay), others)) = part.split_first() else {
                continue;
            };
            let to = others.iter().map(|(_, to)| to.clone()).collect();
            let message = Message::Relay { directive: directive.clone(), to };
            actions.push(Action::Send { to: relay.clone(), message });
        }
    }

    /// Passes a leader's word on.
    pub(super) fn pass_on(
        &self,
        leader: &A,
        directive: &Directive,
        to: Vec<A>,
        actions: &mut Vec<Action<A>>,
    ) {
        for to in to {
            let message = Message::Relayed { leader: leader.clone(), directive: directive.clone() };
            actions.push(Action::Send { to, message });
        }
    }

    /// Gets the leader's word for one node.
    fn word_for(&self, rank: Rank, directive: &Directive) -> Message<A> {
        let names = || self.roster.iter().map(|(rank, to)| (*rank, to.clone())).collect();
        let roster = if self.wants_names(rank, directive) { names() } else { Vec::new() };

        Message::Lead { directive: self.directive_for(rank, directive), roster }
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

    /// Gets the directive for one node, without changes that it has taken: with many ranks they are longer
    /// than all else that a leader sends.
    fn directive_for(&self, rank: Rank, directive: &Directive) -> Directive {
        let mut directive = directive.clone();

        if let (Some(lead), Stage::Prepare { placement_no, changes, .. }) =
            (&self.lead, &mut directive.stage)
            && lead.has_prepared(rank, *placement_no)
        {
            *changes = None;
        }

        directive
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
