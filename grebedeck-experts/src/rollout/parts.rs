//! Knowing placements: from what a wanted one differs in, from the leader, or put together from what each
//! engine holds.

use std::sync::Arc;

use grebedeck_core::{Expert, Moment, Rank};

use super::action::Action;
use super::bulk::placement_bytes;
use super::message::{Message, RankPart};
use super::node::Node;
use crate::engine::{INITIAL_PLACEMENT, PlacementNo, RankReport};
use crate::placement::{Placement, RankChange};

/// Placements that a node remembers: the one in use, the one before it, and one that was given up.
const KEPT_PLACEMENTS: usize = 4;

impl<A: Clone + Ord> Node<A> {
    /// Notes a placement, such as the one that engines start with.
    pub fn store_placement(&mut self, placement_no: PlacementNo, placement: Arc<Placement>) {
        self.placements.insert(placement_no, placement);
        let in_use = self.report.as_ref().map_or(0, |r| r.placement);

        while self.placements.len() > KEPT_PLACEMENTS {
            let may_go = |no: &&PlacementNo| **no != INITIAL_PLACEMENT && **no != in_use;
            let oldest = self.placements.keys().find(may_go).copied();

            match oldest {
                Some(oldest) => self.placements.remove(&oldest),
                None => break,
            };
        }
    }

    /// Takes in which experts the own engine holds of a placement.
    pub fn on_own_part(&mut self, placement_no: PlacementNo, part: RankPart) {
        if let Some(rank) = self.report.as_ref().map(|r| r.rank) {
            self.take_part(placement_no, rank, part);
        }
    }

    /// Notes the placement that engines start with.
    pub(super) fn keep_first_placement(&mut self, (sets, experts): (u16, Expert)) {
        let size = self.report.as_ref().map_or(0, |r| r.size);

        if size > 0 && !self.placements.contains_key(&0) {
            let first = Placement::round_robin(size, usize::from(sets), experts);
            self.store_placement(INITIAL_PLACEMENT, Arc::new(first));
        }
    }

    /// Puts a wanted placement together from what it differs from, where the node knows that.
    pub(super) fn take_changes(
        &mut self,
        placement_no: PlacementNo,
        base_no: PlacementNo,
        changes: &[RankChange],
    ) {
        let wanted = self.placements.get(&base_no).and_then(|base| base.with(changes));

        match wanted {
            Some(wanted) => self.store_placement(placement_no, Arc::new(wanted)),
            // What was kept under this number before is not to be taken for it.
            None => drop(self.placements.remove(&placement_no)),
        }
    }

    /// Asks the leader for a wanted placement whose base the node does not know.
    pub(super) fn ask_placement(
        &mut self,
        placement_no: PlacementNo,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let pause = self.options.order_retry_delay;
        let is_due = self.asked_placement_at.is_none_or(|at| now >= at + pause);

        if let Some(to) = self.leader.clone().filter(|_| is_due) {
            self.asked_placement_at = Some(now);
            actions.push(Action::Send { to, message: Message::AskPlacement { placement_no } });
        }
    }

    /// Sends a placement that was asked for, unless the link has no time for it: whoever asked asks again.
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

        if self.bulk.take_time(placement_bytes(&placement), now) {
            let message = Message::Placement { placement_no, placement };
            actions.push(Action::Send { to, message });
        }
    }

    /// Reads what the own engine holds, where the node does not know the placement in use, so that it is at
    /// hand when a leader asks; a leader asks all nodes.
    pub(super) fn ask_parts(
        &mut self,
        report: &RankReport,
        now: Moment,
        actions: &mut Vec<Action<A>>,
    ) {
        let is_known = self.placements.contains_key(&report.placement);
        let pause = self.options.order_retry_delay;
        let is_due = self.asked_parts_at.is_none_or(|at| now >= at + pause);

        if is_known || !is_due {
            return;
        }

        self.asked_parts_at = Some(now);
        let has_own_part =
            self.parts_of == report.placement && self.parts.contains_key(&report.rank);

        if !has_own_part {
            actions.push(Action::ReadPart);
        }

        if self.lead.is_none() {
            return;
        }

        let is_missing =
            |rank: &Rank| self.parts_of != report.placement || !self.parts.contains_key(rank);

        for (_, to) in self.known_others().filter(|(rank, _)| is_missing(rank)) {
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
        let from_engine = || self.parts.get(&rank).filter(|_| self.parts_of == placement_no);

        match from_placement().or_else(|| from_engine().cloned()) {
            Some(part) => {
                let message = Message::Part { placement_no, rank, part };
                actions.push(Action::Send { to, message });
            }
            None => actions.push(Action::ReadPart),
        }
    }

    pub(super) fn take_part(&mut self, placement_no: PlacementNo, rank: Rank, part: RankPart) {
        if self.parts_of != placement_no {
            self.parts.clear();
            self.parts_of = placement_no;
        }

        self.parts.insert(rank, part);
        let size = self.report.as_ref().map_or(0, |r| usize::from(r.size));

        if size > 0 && self.parts.len() == size && !self.placements.contains_key(&placement_no) {
            let placement = Placement::from_parts(self.parts.values());
            self.store_placement(placement_no, Arc::new(placement));
        }
    }
}
