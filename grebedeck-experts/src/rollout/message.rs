//! Messages between the nodes of a group.
//!
//! They tell states, not steps: each of them may be lost, doubled or late.

use std::sync::Arc;

use grebedeck_core::Rank;
use serde::{Deserialize, Serialize};

use crate::engine::{GroupEpoch, PassNo, PlacementNo, RankReport};
use crate::placement::Placement;

/// Number of a leadership; a later one has a higher number, and no two are equal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    /// Count of leaderships.
    pub round: u64,
    /// The leader's rank, which tells leaders of the same round apart.
    pub rank: Rank,
}

/// What a leader wants of every node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directive {
    /// The leadership.
    pub term: Term,
    /// Count of what this leadership has wanted so far, so that a late message is recognised.
    pub revision: u64,
    /// The group's formation.
    pub epoch: GroupEpoch,
    /// How far the plan is.
    pub stage: Stage,
}

/// How far a plan is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// There is no plan.
    Idle,
    /// Every rank is to copy the weights of a placement.
    Prepare {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The placement.
        placement: Arc<Placement>,
    },
    /// The pass is held, and every rank is to take the placement as it begins.
    Arm {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The first pass with it.
        pass: PassNo,
        /// The rank whose engine holds the pass.
        holder: Rank,
    },
}

/// A node's state, as its leader needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The highest leadership that the node has promised to follow.
    pub promised: Term,
    /// What its engine says.
    pub report: RankReport,
    /// A placement that its engine has refused to prepare.
    pub refused: Option<PlacementNo>,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message<A> {
    /// From a leader to all, with the nodes that it knows.
    Lead {
        /// What it wants.
        directive: Directive,
        /// Nodes by rank.
        roster: Vec<(Rank, A)>,
    },
    /// From a node to its leader.
    Status(Status),
    /// Asks for a placement that the sender does not know.
    AskPlacement {
        /// The placement's number.
        placement_no: PlacementNo,
    },
    /// A placement that was asked for.
    Placement {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The placement.
        placement: Arc<Placement>,
    },
}
