//! How a leader's directives reach the nodes of its group.
//!
//! The link of an instance that runs a rank may be as small as 6 Mbit/s, so what a leader sends to
//! all nodes periodically is short. The roster goes only to nodes that may have to reach all others
//! and do not know them yet. The changes of a plan are relayed by some nodes, each to a part of the
//! group, and sent again to nodes that do not confirm them.

use std::collections::BTreeSet;
use std::time::Duration;

use grebedeck_core::{Moment, Rank};

use super::action::Action;
use super::bulk::{BULK_BURST_BYTES, BULK_BYTES_PER_S, directive_bytes};
use super::message::{Directive, Message, Stage};
use super::node::Node;

/// Ranks that receive the roster beforehand. The first ones take the lead when the leader is gone;
/// one of eight is available even while a sixth of all processes are away and the store cannot be
/// read. With the roster in each message to each of 192 ranks, heartbeats came later than the
/// election timeout: the lead changed hands 72 times in 31 s without any fault, and no placement
/// was ever changed.
pub(super) const EARLY_CANDIDATES: Rank = 8;
/// How long a node counts as one of another group after it has said so. Groups form anew, but
/// seldom with ranks of others.
const FOREIGN_LIFETIME: Duration = Duration::from_secs(5);
/// Nodes to which one node sends a plan's changes, before others relay them: at 7 KB, as with 650
/// ranks, they take 75 ms of a link of 6 Mbit/s, and three steps reach 512 nodes.
pub(super) const FAN_OUT: usize = 8;
/// Minimum fan-out, however long the changes are: with fewer, the number of steps grows faster than
/// each gets shorter.
const MIN_FAN_OUT: usize = 3;

impl<A: Clone + Ord> Node<A> {
    /// Sends the leader's directive to all nodes, and applies it to the leader itself.
    pub(super) fn broadcast(
        &mut self,
        directive: Directive,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        for (rank, to) in self.known_peers() {
            let message = self.heartbeat_for(rank, &directive);
            actions.push(Action::Send { to: to.clone(), message });
        }

        for to in self.unidentified_peers(now) {
            let message = Message::Lead { directive: directive.clone(), roster: Vec::new() };
            actions.push(Action::Send { to: to.clone(), message });
        }

        // Heartbeats go first.
        self.send_changes(&directive, now);
        self.directive = Some(directive);
    }

    /// Sends a plan's changes to the nodes that lack them, unless they were sent recently.
    pub(super) fn send_changes(&mut self, directive: &Directive, now: Moment) {
        if !self.may_send_changes(now) {
            return;
        }

        let absent = self.absent(now);
        // An absent node would neither apply nor relay them.
        let needs_changes =
            |rank: &Rank| Some(*rank) != absent && self.needs_changes(*rank, directive);
        let recipients = self.known_peers().filter(|(rank, _)| needs_changes(rank));
        let to: Vec<A> = recipients.map(|(_, to)| to.clone()).collect();
        let due_at = now + self.propagation_time(directive, to.len());

        if let Some(lead) = self.lead.as_mut().filter(|_| !to.is_empty()) {
            lead.record_changes_sent(due_at);
        }

        let own_address = self.own_address.clone();
        self.relay(&own_address, directive, to);
    }

    /// Returns the other nodes of the group that are known.
    pub(super) fn known_peers(&self) -> impl Iterator<Item = (Rank, &A)> {
        let others = self.roster.iter().filter(|(_, to)| **to != self.own_address);

        others.map(|(rank, to)| (*rank, to))
    }

    /// Sends a leader's directive on: directly to a few nodes, or through some that relay it in
    /// turn.
    pub(super) fn relay(&mut self, leader: &A, directive: &Directive, to: Vec<A>) {
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

    /// Whether a plan's changes may be sent now: at once, and again after the time that relaying
    /// and confirming them takes. Among 192 nodes one message is usually lost; sent again only
    /// after 0.3 s, it made a plan ready after 0.26 s instead of 0.09 s.
    fn may_send_changes(&self, now: Moment) -> bool {
        self.bulk.is_empty() && self.lead.as_ref().is_none_or(|lead| lead.may_send_changes(now))
    }

    /// Returns how long a plan's changes take to reach this many nodes, with their confirmations.
    fn propagation_time(&self, directive: &Directive, nodes: usize) -> Duration {
        let size = self.report.as_ref().map_or(1, |r| r.size);
        let fan_out = fan_out(directive);
        let steps = ((nodes + 1) as f64).log(fan_out as f64).ceil();
        let step_bytes = (directive_bytes(directive) * fan_out.min(nodes)) as f64;
        let waiting_bytes = (step_bytes - BULK_BURST_BYTES).max(0.0);
        let spread = Duration::from_secs_f64(steps * waiting_bytes / BULK_BYTES_PER_S);

        self.options.for_all(self.options.changeover_retry_delay, size) + spread
    }

    /// Returns the leader's message to one node, without the plan's changes.
    fn heartbeat_for(&self, rank: Rank, directive: &Directive) -> Message<A> {
        let full_roster = || self.roster.iter().map(|(rank, to)| (*rank, to.clone())).collect();
        let roster = if self.needs_roster(rank, directive) { full_roster() } else { Vec::new() };
        let mut directive = directive.clone();

        if let Stage::Prepare { changes, .. } = &mut directive.stage {
            *changes = None;
        }

        Message::Lead { directive, roster }
    }

    /// Whether a node may have to reach all others, and does not know them. The holder has to, and
    /// may have joined the group a moment ago. The early candidates get the roster while there is
    /// no plan.
    fn needs_roster(&self, rank: Rank, directive: &Directive) -> bool {
        let known = self.lead.as_ref().map_or(0, |lead| lead.known_to(rank));
        let may_need = match directive.stage {
            Stage::Idle => rank < EARLY_CANDIDATES,
            Stage::Hold { holder, .. } => rank == holder,
            Stage::Prepare { .. } => false,
        };

        may_need && usize::from(known) < self.roster.len()
    }

    /// Whether a node lacks the plan's changes: with many ranks, those are longer than all else
    /// that a leader sends. Sent again to each of 650 nodes that were still copying, they filled
    /// the leader's link, and other nodes took the lead 67 times in 10 s.
    fn needs_changes(&self, rank: Rank, directive: &Directive) -> bool {
        let Stage::Prepare { placement_no, .. } = directive.stage else {
            return false;
        };
        let Some(lead) = &self.lead else {
            return true;
        };

        !lead.has_applied(rank, directive.revision) && !lead.has_prepared(rank, placement_no)
    }

    /// Returns further nodes that may belong to the group. Once each rank's node is known, the rest
    /// belong to other groups. While one is missing, as its process is away, nodes that have said
    /// that they are of another group are left out: sending to them all would fill the leader's
    /// link, in proportion to the size of the service.
    fn unidentified_peers(&self, now: Moment) -> Vec<&A> {
        let size = self.report.as_ref().map_or(0, |r| usize::from(r.size));

        if self.roster.len() >= size {
            return Vec::new();
        }

        let known: BTreeSet<&A> = self.roster.values().collect();
        let is_foreign = |other: &&A| {
            self.foreign.get(*other).is_some_and(|since| now < *since + FOREIGN_LIFETIME)
        };

        self.peers.iter().filter(|other| !known.contains(other) && !is_foreign(other)).collect()
    }
}

/// Returns the number of nodes to which one node sends a plan's changes: as many as fit into a
/// burst.
fn fan_out(directive: &Directive) -> usize {
    let fitting = BULK_BURST_BYTES as usize / directive_bytes(directive);

    fitting.clamp(MIN_FAN_OUT, FAN_OUT)
}
