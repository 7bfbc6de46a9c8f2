//! Who leads: when a node takes the lead, hands it on, and gives way.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Expert, Moment, Rank};

use super::action::{Action, RankEvent};
use super::lead::{Lead, Plan};
use super::message::{Message, Stage, Term};
use super::node::Node;
use super::options::NodeOptions;
use super::tell::NAMED_RANKS;
use crate::engine::{INITIAL_PLACEMENT, PlacementNo, RankReport};
use crate::placement::{Placement, RankChange};

/// Doublings of the wait of a node that lost the lead again and again: the words of a leader that is heard badly then
/// have four times as long to come through, and others of the group still claim before.
const MAX_DOUBLINGS: u32 = 2;

impl Lead {
    /// Goes on with a placement that the leader before wanted, told as what differs from the first one.
    fn carry_on(
        &mut self,
        placement_no: PlacementNo,
        shape: (u16, Expert),
        changes: Vec<RankChange>,
        now: Moment,
    ) {
        let (base_no, changes) = (INITIAL_PLACEMENT, Arc::new(changes));
        self.set_plan(Plan::Prepare { placement_no, base_no, shape, changes }, now);
    }

    /// Gets the first other rank whose node was heard of lately.
    fn first_heard(&self, own: &RankReport, now: Moment, options: &NodeOptions) -> Option<Rank> {
        let is_heard = |(rank, at): &(&Rank, &Moment)| {
            **rank != own.rank && now < **at + options.status_lifetime
        };

        self.heard_at.iter().find(is_heard).map(|(rank, _)| *rank)
    }
}

impl<A: Clone + Ord> Node<A> {
    /// Gives the lead up, as the process is to stop, and calls on the next rank that is there.
    pub fn resign(&mut self, now: Moment) -> Vec<Action<A>> {
        let (Some(lead), Some(own)) = (self.lead.take(), &self.report) else {
            return Vec::new();
        };
        let next = lead.first_heard(own, now, &self.options);
        self.heard_at = now;

        let (Some(next), term) = (next, self.promised) else {
            return Vec::new();
        };
        let resign =
            |to: &A| Action::Send { to: to.clone(), message: Message::Resign { term, next } };
        let mut actions: Vec<Action<A>> = self.known_others().map(|(_, to)| resign(to)).collect();
        actions.push(Action::Event(RankEvent::Resigned { next }));

        actions
    }

    /// Takes in that the leader stops.
    pub(super) fn take_resign(&mut self, term: Term, next: Rank, now: Moment) {
        if term != self.promised || self.lead.is_some() {
            return;
        }

        self.is_called = self.report.as_ref().is_some_and(|r| r.rank == next);
        // Whoever was called on has the usual time to be heard of.
        self.heard_at = now;
    }

    /// Tells whether a node of this rank would take the lead at a moment, as far as is known now.
    pub(super) fn may_claim(&self, rank: Rank, now: Moment) -> bool {
        self.lead.is_none() && (self.is_called || now >= self.heard_at + self.claim_wait(rank))
    }

    /// Tells whether nobody would hear of the node's lead.
    fn lacks_others(&self, report: &RankReport) -> bool {
        self.awaits_others && report.size > 1 && self.roster.len() <= 1
    }

    fn claim_wait(&self, rank: Rank) -> Duration {
        let doublings = (f64::from(rank) + 1.0).log2();
        let wait = self.options.election_timeout
            + self.options.election_timeout_per_doubling.mul_f64(doublings);
        // A leader that does not know its group's nodes yet tells all of the service, and the first has the time for that.
        let to_tell = self.others.len().max(self.roster.len());
        let wait =
            if rank == 0 { wait } else { wait + self.options.round_trip_per_rank * to_tell as u32 };
        let is_unnamed = rank >= NAMED_RANKS && self.awaits_others;
        let wait = if is_unnamed { wait + self.options.late_candidate_delay } else { wait };
        // A single loss is no reason: so does each leader lose that was cut off or frozen.
        let backoff = self.lost_leads.saturating_sub(1).min(MAX_DOUBLINGS);

        wait * 2u32.pow(backoff)
    }

    /// Takes the lead where no leader has been heard of for long enough.
    pub(super) fn claim(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        if !self.may_claim(report.rank, now) || self.lacks_others(report) {
            return;
        }

        let term = Term { round: self.promised.round + 1, rank: report.rank, life: self.life };
        let mut lead = Lead::new(term, now);

        if let Some(placement_no) = self.round_under_way(report)
            && let Some(placement) = self.placements.get(&placement_no)
        {
            let shape = placement.shape();
            let first = Placement::round_robin(report.size, usize::from(shape.0), shape.1);
            lead.carry_on(placement_no, shape, first.changes_to(placement), now);
            actions.push(Action::Event(RankEvent::PlanResumed { placement_no }));
        }

        self.promised = term;
        self.leader = None;
        self.directive = None;
        self.is_called = false;
        self.lead = Some(lead);
        self.asked_parts_at = None;
        actions.push(Action::Event(RankEvent::LeadershipTaken(term)));
    }

    /// Gets the placement that the leader before wanted, where it may still come into use. Its number stands for
    /// one content only, and no pass is held for it before all say that they take part in nothing else.
    fn round_under_way(&self, report: &RankReport) -> Option<PlacementNo> {
        let directive = self.directive.as_ref().filter(|d| d.epoch == report.epoch)?;
        let placement_no = match directive.stage {
            Stage::Idle => return None,
            Stage::Prepare { placement_no, .. } | Stage::Hold { placement_no, .. } => placement_no,
        };
        let is_open = report.placement < placement_no && self.refused != Some(placement_no);

        is_open.then_some(placement_no)
    }

    /// Follows a later leadership.
    pub(super) fn follow(&mut self, term: Term, actions: &mut Vec<Action<A>>) {
        if self.lead.take().is_some() {
            self.lost_leads += 1;
        }

        self.promised = term;
        self.directive = None;
        self.is_called = false;
        actions.push(Action::Event(RankEvent::LeaderFollowed(term)));
    }
}
