//! Finishing a plan whose pass is held: arming whatever rank is not armed yet, then letting go.

use std::collections::{BTreeMap, BTreeSet};

use grebedeck_core::{Moment, Rank};

use crate::engine::{Armed, GroupEpoch, RankAction, RankOrder, RankReport};

/// What is known of a held pass, and what it still takes to let it go.
#[derive(Clone, Debug)]
pub(super) struct Finish {
    pub(super) target: Armed,
    epoch: GroupEpoch,
    size: Rank,
    holders: BTreeSet<Rank>,
    armed: BTreeSet<Rank>,
    ordered_at: BTreeMap<Rank, Moment>,
}

impl Finish {
    pub(super) fn new(epoch: GroupEpoch, size: Rank, target: Armed, holder: Rank) -> Self {
        Finish {
            target,
            epoch,
            size,
            holders: BTreeSet::from([holder]),
            armed: BTreeSet::new(),
            ordered_at: BTreeMap::new(),
        }
    }

    /// Takes in what a rank's engine says.
    pub(super) fn note(&mut self, report: &RankReport) {
        if report.epoch != self.epoch {
            return;
        }

        if report.armed == Some(self.target) || report.placement == self.target.placement_no {
            self.armed.insert(report.rank);
        }

        if report.held == Some(self.target.pass) {
            self.holders.insert(report.rank);
        }
    }

    /// Tells whether every rank is armed.
    pub(super) fn is_armed(&self) -> bool {
        self.armed.len() == usize::from(self.size)
    }

    /// Tells whether some rank other than one may be armed, so that nobody can go back any more.
    pub(super) fn may_be_armed_beside(&self, own: Rank) -> bool {
        let was_ordered = !self.ordered_at.is_empty();

        was_ordered || self.armed.iter().any(|rank| *rank != own)
    }

    /// Gets the ranks that are not known to be armed.
    pub(super) fn missing(&self) -> impl Iterator<Item = Rank> {
        (0..self.size).filter(|rank| !self.armed.contains(rank))
    }

    /// Gets the ranks that hold the pass, as far as is known.
    pub(super) fn holders(&self) -> impl Iterator<Item = Rank> {
        self.holders.iter().copied()
    }

    /// Gets the order that arms a rank.
    pub(super) fn arm(&self) -> RankOrder {
        let Armed { placement_no, pass } = self.target;
        let action = RankAction::Arm { placement_no, pass };

        RankOrder { epoch: self.epoch, action }
    }

    /// Gets the order that lets the pass go.
    pub(super) fn release(&self) -> RankOrder {
        RankOrder { epoch: self.epoch, action: RankAction::Release { pass: self.target.pass } }
    }

    /// Tells whether a rank may be given an order again, and notes that it is.
    pub(super) fn order_again(&mut self, rank: Rank, now: Moment, pause: Moment) -> bool {
        let is_due = self.ordered_at.get(&rank).is_none_or(|at| now >= *at + pause);

        if is_due {
            self.ordered_at.insert(rank, now);
        }

        is_due
    }
}
