//! What a rank's engine says of itself, and what it can be told.
//!
//! All ranks of a group begin each pass together. A rank takes a prepared placement at the pass that
//! it was armed for; a pass that some rank holds begins for none of them. Nothing lapses by itself, and
//! an order may get no answer and yet be carried out, seconds later and after newer ones. All of it is
//! forgotten when the group forms anew, in a higher epoch.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use grebedeck_core::{Expert, GroupId, Rank, Result};
use serde::{Deserialize, Serialize};

use crate::placement::Placement;

/// Number of a group's pass.
pub type PassNo = u64;
/// Number of a placement; an engine takes only higher ones than it has had.
pub type PlacementNo = u64;
/// The placement that every formation of a group starts with, whose experts are dealt in turn.
pub const INITIAL_PLACEMENT: PlacementNo = 0;
/// Number of the group's formation.
pub type GroupEpoch = u64;

/// A placement that a rank takes as a pass begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Armed {
    /// The placement.
    pub placement_no: PlacementNo,
    /// The pass.
    pub pass: PassNo,
}

/// What a rank's engine says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// The group; a service may have several.
    pub group: GroupId,
    /// The group's formation.
    pub epoch: GroupEpoch,
    /// Its rank in the group.
    pub rank: Rank,
    /// The group's ranks.
    pub size: Rank,
    /// Whether the group makes passes.
    pub is_open: bool,
    /// The last pass that has begun.
    pub pass: PassNo,
    /// The placement in use.
    pub placement: PlacementNo,
    /// The placement whose weights have been copied.
    pub prepared: Option<PlacementNo>,
    /// The placement that it will take.
    pub armed: Option<Armed>,
    /// The pass that does not begin before it is let go.
    pub held: Option<PassNo>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Time that it takes, relative to a normal rank.
    pub pace: f32,
    /// Unix milliseconds of its start by its own clock, where it tells them.
    pub born_ms: Option<u64>,
}

/// An order to a rank's engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankOrder {
    /// The formation that the order is for; in another one it is refused.
    pub epoch: GroupEpoch,
    /// What to do.
    pub action: RankAction,
}

/// What a rank's engine can be told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RankAction {
    /// Copy the weights that a placement needs.
    Prepare {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The placement.
        placement: Arc<Placement>,
    },
    /// Take a prepared placement as a pass begins.
    Arm {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The first pass with it.
        pass: PassNo,
    },
    /// Do not begin a pass.
    Hold {
        /// The pass.
        pass: PassNo,
    },
    /// Begin a pass that was held.
    Release {
        /// The pass.
        pass: PassNo,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It was taken, or is in effect already.
    Taken,
    /// The engine's state does not allow it; it will not be carried out.
    Refused,
    /// There was no answer: it may have been carried out, or may be later.
    Unknown,
}

/// How often a rank's requests have chosen each expert since the engine started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankCounts {
    /// The group's formation.
    pub epoch: GroupEpoch,
    /// The last pass that was counted.
    pub pass: PassNo,
    /// Counts, set by set.
    pub chosen: Vec<u64>,
    /// Unix milliseconds of the engine's start by its own clock, where it tells them.
    pub born_ms: Option<u64>,
}

/// A rank's engine.
pub trait RankEngine: Clone + 'static {
    /// Gets the engine at another address.
    fn at(&self, address: SocketAddr) -> Self;

    /// Reads what it says of itself.
    fn report(&self) -> impl Future<Output = Result<RankReport>>;

    /// Reads how often experts were chosen.
    fn counts(&self) -> impl Future<Output = Result<RankCounts>>;

    /// Reads which experts it holds, by set, and of which placement.
    fn part(&self) -> impl Future<Output = Result<(PlacementNo, Vec<Vec<Expert>>)>>;

    /// Gives an order. Fails where the engine has certainly not taken it, as it wants to be left alone.
    fn order(&self, order: &RankOrder) -> impl Future<Output = Result<OrderOutcome>>;
}
