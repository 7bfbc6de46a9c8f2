//! How a node gets to know placements: from changes to one it knows, from the leader, or assembled
//! from the parts that the engines hold.

use std::sync::Arc;

use grebedeck_core::{Expert, Moment, Rank};

use super::action::Action;
use super::bulk::placement_bytes;
use super::changeover::HeldPass;
use super::message::{Message, RankPart};
use super::node::Node;
use crate::engine::{INITIAL_PLACEMENT, PlacementNo, RankReport};
use crate::placement::{Placement, RankChange};

/// Placements that a node keeps: the initial one, the one in use, the one before it, and one that
/// was given up.
const MAX_STORED_PLACEMENTS: usize = 4;

impl<A: Clone + Ord> Node<A> {
    /// Stores a placement, such as the initial one, and evicts the oldest ones beyond the limit.
    pub fn store_placement(&mut self, placement_no: PlacementNo, placement: Arc<Placement>) {
        self.placements.insert(placement_no, placement);
        let in_use = self.report.as_ref().map_or(0, |r| r.placement);

        while self.placements.len() > MAX_STORED_PLACEMENTS {
            let may_go = |no: &&PlacementNo| **no != INITIAL_PLACEMENT && **no != in_use;
            let oldest = self.placements.keys().find(may_go).copied();

            match oldest {
                Some(oldest) => self.placements.remove(&oldest),
                None => break,
            };
        }
    }

    /// Handles the part of a placement that a rank's engine holds.
    pub fn on_part(&mut self, rank: Rank, placement_no: PlacementNo, part: RankPart) {
        self.add_part(placement_no, rank, part);
    }

    /// Stores the placement that engines start with.
    pub(super) fn store_initial_placement(&mut self, (sets, experts): (u16, Expert)) {
        let size = self.report.as_ref().map_or(0, |r| r.size);

        if size > 0 && !self.placements.contains_key(&0) {
            let first = Placement::round_robin(size, usize::from(sets), experts);
            self.store_placement(INITIAL_PLACEMENT, Arc::new(first));
        }
    }

    /// Computes a planned placement from its changes, if the node knows the one they are relative
    /// to.
    pub(super) fn apply_changes(
        &mut self,
        placement_no: PlacementNo,
        base_no: PlacementNo,
        changes: &[RankChange],
    ) {
        let planned = self.placements.get(&base_no).and_then(|base| base.with(changes));

        match planned {
            Some(planned) => self.store_placement(placement_no, Arc::new(planned)),
            // Another placement that was stored under this number must not be mistaken for it.
            None => drop(self.placements.remove(&placement_no)),
        }
    }

    /// Requests a planned placement from the leader if the node does not know the one its changes
    /// are relative to.
    pub(super) fn request_placement(
        &mut self,
        placement_no: PlacementNo,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let delay = self.options.order_retry_delay;
        let is_due = self.placement_requested_at.is_none_or(|at| now >= at + delay);

        if let Some(to) = self.leader.clone().filter(|_| is_due) {
            self.placement_requested_at = Some(now);
            actions.push(Action::Send { to, message: Message::AskPlacement { placement_no } });
        }
    }

    /// Sends a placement that was requested, unless the link is busy: the requester retries.
    pub(super) fn send_placement(
        &mut self,
        to: A,
        placement_no: PlacementNo,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(placement) = self.placements.get(&placement_no).cloned() else {
            return;
        };

        if self.bulk.try_reserve(placement_bytes(&placement), now) {
            let message = Message::Placement { placement_no, placement };
            actions.push(Action::Send { to, message });
        }
    }

    /// Reads which experts the node's own engine holds, if the node does not know the placement in
    /// use, so that the part is at hand when a leader requests it; a leader also requests the parts
    /// of all nodes.
    pub(super) fn request_parts(
        &mut self,
        report: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let is_known = self.placements.contains_key(&report.placement);
        let delay = self.options.order_retry_delay;
        let is_due = self.parts_requested_at.is_none_or(|at| now >= at + delay);

        if is_known || !is_due {
            return;
        }

        self.parts_requested_at = Some(now);
        let has_own_part =
            self.parts_placement_no == report.placement && self.parts.contains_key(&report.rank);

        if !has_own_part {
            actions.push(Action::ReadPart { rank: report.rank });
        }

        let is_missing = |rank: &Rank| {
            self.parts_placement_no != report.placement || !self.parts.contains_key(rank)
        };

        if self.held_pass.as_ref().is_some_and(HeldPass::needs_fence) {
            // The group stands still, and some nodes may be away.
            let others = (0..report.size).filter(|rank| *rank != report.rank && is_missing(rank));
            actions.extend(others.map(|rank| Action::ReadPart { rank }));
            return;
        }

        if self.lead.is_none() {
            return;
        }

        for (_, to) in self.known_peers().filter(|(rank, _)| is_missing(rank)) {
            let message = Message::AskPart { placement_no: report.placement };
            actions.push(Action::Send { to: to.clone(), message });
        }
    }

    pub(super) fn send_part(
        &mut self,
        to: A,
        placement_no: PlacementNo,
        actions: &mut Vec<Action<A>>,
    ) {
        let Some(rank) = self.report.as_ref().map(|r| r.rank) else {
            return;
        };
        let known = self.placements.get(&placement_no);
        let from_placement = || known.map(|p| p.part_of(rank));
        let from_engine =
            || self.parts.get(&rank).filter(|_| self.parts_placement_no == placement_no);

        match from_placement().or_else(|| from_engine().cloned()) {
            Some(part) => {
                let message = Message::Part { placement_no, rank, part };
                actions.push(Action::Send { to, message });
            }
            None => actions.push(Action::ReadPart { rank }),
        }
    }

    pub(super) fn add_part(&mut self, placement_no: PlacementNo, rank: Rank, part: RankPart) {
        if self.parts_placement_no != placement_no {
            self.parts.clear();
            self.parts_placement_no = placement_no;
        }

        self.parts.insert(rank, part);
        let size = self.report.as_ref().map_or(0, |r| usize::from(r.size));

        if size > 0 && self.parts.len() == size && !self.placements.contains_key(&placement_no) {
            let placement = Placement::from_parts(self.parts.values());
            self.store_placement(placement_no, Arc::new(placement));
        }
    }
}
