//! Keeping ranks from being armed, whatever orders are still on their way.
//!
//! An engine accepts a placement only if its number is above all that it has had, and only while it
//! is not armed; from then on it refuses to be armed for an earlier one. A fence makes use of that:
//! it is a placement that every engine can copy at no cost, as it is the one in use, and that is
//! never brought into use itself.
//!
//! An armed rank has to be disarmed first. An order to disarm may be carried out late as well, when a
//! later start of the holder has found all ranks armed. So none is sent before one rank has accepted
//! the fence: that rank can never be armed again, and no holder that sees it arms the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use grebedeck_core::Rank;

use crate::engine::{PassNo, PlacementNo, RankAction, RankReport};
use crate::placement::Placement;

/// A placement that fences ranks off from earlier ones.
#[derive(Clone, Debug)]
pub(super) struct Fence {
    /// Its number, above all others.
    pub(super) placement_no: PlacementNo,
    /// The placement in use.
    pub(super) placement: Arc<Placement>,
}

/// Progress of fencing all ranks.
#[derive(Clone, Debug, Default)]
pub(super) struct Fencing {
    /// Highest number that any engine had reported at the beginning.
    highest_no: PlacementNo,
    /// Ranks whose engines have accepted the fence.
    fenced: BTreeSet<Rank>,
}

impl Fencing {
    pub(super) fn new(highest_no: PlacementNo) -> Self {
        Fencing { highest_no, fenced: BTreeSet::new() }
    }

    /// Records that a rank's engine has accepted the fence.
    pub(super) fn record_fenced(&mut self, rank: Rank) {
        self.fenced.insert(rank);
    }

    /// Whether a rank can still be armed for an earlier placement.
    pub(super) fn is_open(&self, rank: Rank, reports: &BTreeMap<Rank, RankReport>) -> bool {
        let has_later = reports.get(&rank).is_some_and(|r| r.has_prepared_later(self.highest_no));

        !self.fenced.contains(&rank) && !has_later
    }

    /// Whether no rank can be armed any more.
    pub(super) fn is_complete(&self, size: Rank, reports: &BTreeMap<Rank, RankReport>) -> bool {
        (0..size).all(|rank| !self.is_open(rank, reports))
    }

    /// Whether all ranks turn out to be armed for one placement, and none of them may have been ordered
    /// to disarm.
    pub(super) fn are_all_armed(
        &self,
        size: Rank,
        pass: PassNo,
        reports: &BTreeMap<Rank, RankReport>,
    ) -> bool {
        let armed = |rank: Rank| reports.get(&rank)?.armed.filter(|armed| armed.pass == pass);
        let first = armed(0);
        let is_same = first.is_some() && (0..size).all(|rank| armed(rank) == first);

        is_same && !self.may_disarm(size, reports)
    }

    /// The order that a rank needs next; `None` if it needs none, or has to wait.
    pub(super) fn next_action(
        &self,
        rank: Rank,
        size: Rank,
        reports: &BTreeMap<Rank, RankReport>,
        fence: &Fence,
    ) -> Option<RankAction> {
        if !self.is_open(rank, reports) {
            return None;
        }

        match reports.get(&rank).and_then(|report| report.armed) {
            Some(armed) if self.may_disarm(size, reports) => {
                Some(RankAction::Disarm { placement_no: armed.placement_no })
            }
            Some(_) => None,
            None => Some(RankAction::Prepare {
                placement_no: fence.placement_no,
                placement: fence.placement.clone(),
            }),
        }
    }

    /// Whether a rank can never be armed again, so that the others may be disarmed.
    fn may_disarm(&self, size: Rank, reports: &BTreeMap<Rank, RankReport>) -> bool {
        (0..size).any(|rank| !self.is_open(rank, reports))
    }
}
