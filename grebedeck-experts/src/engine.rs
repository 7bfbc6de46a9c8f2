//! The interface to a rank's engine: its reports, and the orders that it accepts.
//!
//! All ranks of a group begin each pass together. A rank switches to a prepared placement at the
//! pass that it was armed for; a pass that any rank holds begins at none of them. Nothing expires,
//! and an order without an answer may still be carried out, seconds later and after newer ones. All
//! of this state is lost when the group forms anew, in a higher epoch.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use grebedeck_core::{Expert, GroupId, Rank, Result};
use serde::{Deserialize, Serialize};

use crate::placement::Placement;

/// Number of a group's pass.
pub type PassNo = u64;
/// Number of a placement; an engine accepts only higher ones than it has had.
pub type PlacementNo = u64;
/// The placement that a group starts with in every epoch, with the experts dealt to the ranks in
/// turn.
pub const INITIAL_PLACEMENT: PlacementNo = 0;
/// Number of the group's formation.
pub type GroupEpoch = u64;

/// A placement that a rank switches to when a pass begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Armed {
    /// The placement.
    pub placement_no: PlacementNo,
    /// The first pass with it.
    pub pass: PassNo,
}

/// State of a rank's engine, as it reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// The group; a service may have several.
    pub group: GroupId,
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// Its rank in the group.
    pub rank: Rank,
    /// Number of ranks in the group.
    pub size: Rank,
    /// Whether the group makes passes.
    pub is_open: bool,
    /// The last pass that has begun.
    pub pass: PassNo,
    /// The placement in use.
    pub placement: PlacementNo,
    /// The placement whose weights have been copied, if any.
    pub prepared: Option<PlacementNo>,
    /// The placement that it is armed for, if any.
    pub armed: Option<Armed>,
    /// The pass that does not begin before it is released, if any.
    pub held: Option<PassNo>,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Time that it needs for the same work, relative to a normal rank; above 1 is slower.
    pub pace: f32,
    /// Start of the engine in Unix milliseconds by its own clock, if it reports one.
    pub born_ms: Option<u64>,
}

impl RankReport {
    /// Highest number of a placement that the report names.
    pub fn highest_placement_no(&self) -> PlacementNo {
        let armed = self.armed.map(|armed| armed.placement_no);

        self.placement.max(self.prepared.unwrap_or_default()).max(armed.unwrap_or_default())
    }

    /// Whether the engine has copied a later placement, and refuses to be armed for this one.
    pub fn has_prepared_later(&self, placement_no: PlacementNo) -> bool {
        self.prepared > Some(placement_no)
    }

    /// Whether the engine has copied a later placement, or uses one.
    pub fn is_overtaken(&self, placement_no: PlacementNo) -> bool {
        self.has_prepared_later(placement_no) || self.placement > placement_no
    }
}

/// An order to a rank's engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankOrder {
    /// The epoch that the order is for; in another one it is refused.
    pub epoch: GroupEpoch,
    /// The action to take.
    pub action: RankAction,
}

/// An action that a rank's engine can be ordered to take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RankAction {
    /// Copy the weights that a placement needs.
    Prepare {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The placement.
        placement: Arc<Placement>,
    },
    /// Switch to a prepared placement when a pass begins.
    Arm {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The first pass with it.
        pass: PassNo,
    },
    /// Do not switch to a placement that the rank is armed for.
    Disarm {
        /// The placement's number.
        placement_no: PlacementNo,
    },
    /// Keep a pass from beginning.
    Hold {
        /// The pass.
        pass: PassNo,
    },
    /// Let a held pass begin.
    Release {
        /// The pass.
        pass: PassNo,
    },
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It was accepted, or is in effect already.
    Taken,
    /// The engine's state does not allow it; it will not be carried out.
    Refused,
    /// There was no answer: it may have been carried out, or may be later.
    Unknown,
}

/// How often each expert was chosen for a rank's requests since its engine started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankCounts {
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The last pass that was counted.
    pub pass: PassNo,
    /// Counts per expert, set by set.
    pub chosen: Vec<u64>,
    /// Start of the engine in Unix milliseconds by its own clock, if it reports one.
    pub born_ms: Option<u64>,
}

/// A client of a rank's engine.
pub trait RankEngine: Clone + 'static {
    /// Returns a client of the engine at another address.
    fn at(&self, address: SocketAddr) -> Self;

    /// Reads its state.
    fn report(&self) -> impl Future<Output = Result<RankReport>>;

    /// Reads how often each expert was chosen.
    fn counts(&self) -> impl Future<Output = Result<RankCounts>>;

    /// Reads which experts it holds, by set, and the number of their placement.
    fn part(&self) -> impl Future<Output = Result<(PlacementNo, Vec<Vec<Expert>>)>>;

    /// Sends an order. Fails if the engine has certainly not accepted it, as it asked for a pause
    /// between calls.
    fn order(&self, order: &RankOrder) -> impl Future<Output = Result<OrderOutcome>>;
}
