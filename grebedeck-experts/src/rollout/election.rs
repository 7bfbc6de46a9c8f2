//! Leader election: when a node takes the lead, hands it over, and gives way to another leader.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Expert, Moment, Rank};

use super::action::{Action, RankEvent};
use super::broadcast::EARLY_CANDIDATES;
use super::lead::{Leadership, Plan};
use super::message::{Message, Stage, Term};
use super::node::Node;
use super::options::NodeOptions;
use crate::engine::{INITIAL_PLACEMENT, PlacementNo, RankReport};
use crate::placement::{Placement, RankChange};

/// Maximum doublings of the election timeout of a node that lost the lead repeatedly. A leader with
/// a poor connection then has four times as long for its messages to arrive, and other nodes of the
/// group still claim the lead first.
const MAX_DOUBLINGS: u32 = 2;

impl Leadership {
    /// Resumes a placement that the previous leader planned, expressed as changes to the initial
    /// one.
    fn resume_plan(
        &mut self,
        placement_no: PlacementNo,
        shape: (u16, Expert),
        changes: Vec<RankChange>,
        now: Moment,
    ) {
        let (base_no, changes) = (INITIAL_PLACEMENT, Arc::new(changes));
        self.set_plan(Plan::Prepare { placement_no, base_no, shape, changes }, now);
    }

    /// Returns the first other rank whose node was heard from recently.
    fn first_live(&self, own: &RankReport, now: Moment, options: &NodeOptions) -> Option<Rank> {
        let is_live = |(rank, at): &(&Rank, &Moment)| {
            **rank != own.rank && now < **at + options.status_lifetime
        };

        self.heard_at.iter().find(is_live).map(|(rank, _)| *rank)
    }
}

impl<A: Clone + Ord> Node<A> {
    /// Gives up the lead before the process stops, and designates the next live rank as leader.
    pub fn resign(&mut self, now: Moment) -> Vec<Action<A>> {
        let (Some(lead), Some(own)) = (self.lead.take(), &self.report) else {
            return Vec::new();
        };
        let next = lead.first_live(own, now, &self.options);
        self.leader_heard_at = now;

        let (Some(next), term) = (next, self.promised) else {
            return Vec::new();
        };
        let resign =
            |to: &A| Action::Send { to: to.clone(), message: Message::Resign { term, next } };
        let mut actions: Vec<Action<A>> = self.known_peers().map(|(_, to)| resign(to)).collect();
        actions.push(Action::Event(RankEvent::Resigned { next }));

        actions
    }

    /// Handles the notice that the leader stops.
    pub(super) fn handle_resign(&mut self, term: Term, next: Rank, now: Moment) {
        if term != self.promised || self.lead.is_some() {
            return;
        }

        self.is_designated = self.report.as_ref().is_some_and(|r| r.rank == next);
        // The designated node gets the usual election timeout to be heard from.
        self.leader_heard_at = now;
    }

    /// Whether a node of this rank would take the lead at a moment, as far as is known now.
    pub(super) fn may_claim(&self, rank: Rank, now: Moment) -> bool {
        self.lead.is_none()
            && (self.is_designated || now >= self.leader_heard_at + self.claim_timeout(rank))
    }

    /// Whether no other node would learn that this node leads.
    fn lacks_peers(&self, report: &RankReport) -> bool {
        self.awaits_peers && report.size > 1 && self.roster.len() <= 1
    }

    fn claim_timeout(&self, rank: Rank) -> Duration {
        let doublings = (f64::from(rank) + 1.0).log2();
        let wait = self.options.election_timeout
            + self.options.election_timeout_per_doubling.mul_f64(doublings);
        // A leader that does not know its group's nodes yet sends to all nodes of the service; the
        // first candidate gets the time for that.
        let nodes = self.peers.len().max(self.roster.len());
        let wait =
            if rank == 0 { wait } else { wait + self.options.round_trip_per_rank * nodes as u32 };
        let is_late_candidate = rank >= EARLY_CANDIDATES && self.awaits_peers;
        let wait = if is_late_candidate { wait + self.options.late_candidate_delay } else { wait };
        // A single loss does not count: every leader that was cut off or frozen loses the lead
        // once.
        let backoff = self.lost_leaderships.saturating_sub(1).min(MAX_DOUBLINGS);

        wait * 2u32.pow(backoff)
    }

    /// Takes the lead if no leader has been heard from for the election timeout.
    pub(super) fn claim(&mut self, report: &RankReport, now: Moment, actions: &mut Vec<Action<A>>) {
        if !self.may_claim(report.rank, now) || self.lacks_peers(report) {
            return;
        }

        let term =
            Term { round: self.promised.round + 1, rank: report.rank, life: self.incarnation };
        let mut lead = Leadership::new(term, now);

        if let Some(placement_no) = self.resumable_placement(report)
            && let Some(placement) = self.placements.get(&placement_no)
        {
            let shape = placement.shape();
            let first = Placement::round_robin(report.size, usize::from(shape.0), shape.1);
            lead.resume_plan(placement_no, shape, first.changes_to(placement), now);
            actions.push(Action::Event(RankEvent::PlanResumed { placement_no }));
        }

        self.promised = term;
        self.leader = None;
        self.directive = None;
        self.is_designated = false;
        self.lead = Some(lead);
        self.parts_requested_at = None;
        actions.push(Action::Event(RankEvent::LeadershipTaken(term)));
    }

    /// Returns the placement that the previous leader planned, if it may still come into use. This
    /// is safe: its number stands for one content only, and no pass is held for it before all ranks
    /// report that they take part in nothing else.
    fn resumable_placement(&self, report: &RankReport) -> Option<PlacementNo> {
        let directive = self.directive.as_ref().filter(|d| d.epoch == report.epoch)?;
        let placement_no = match directive.stage {
            Stage::Idle => return None,
            Stage::Prepare { placement_no, .. } | Stage::Hold { placement_no, .. } => placement_no,
        };
        let is_open = report.placement < placement_no && self.refused != Some(placement_no);

        is_open.then_some(placement_no)
    }

    /// Follows the leader of a later term.
    pub(super) fn follow(&mut self, term: Term, actions: &mut Vec<Action<A>>) {
        if self.lead.take().is_some() {
            self.lost_leaderships += 1;
        }

        self.promised = term;
        self.directive = None;
        self.is_designated = false;
        actions.push(Action::Event(RankEvent::LeaderFollowed(term)));
    }
}
