//! Messages between the nodes of a group.
//!
//! They tell states, not steps: each of them may be lost, doubled or late.

use std::sync::Arc;

use grebedeck_core::{Expert, Rank};
use serde::{Deserialize, Serialize};

use crate::engine::{GroupEpoch, PassNo, PlacementNo, RankReport};
use crate::placement::{Placement, RankChange};

/// Number of a leadership; a later one has a higher number, and no two are equal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    /// Count of leaderships.
    pub round: u64,
    /// The leader's rank, which tells leaders of the same round apart.
    pub rank: Rank,
    /// Drawn for each start of the leader, which may forget the rounds that it has led.
    pub life: u64,
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
        /// The placement that it differs from.
        base_no: PlacementNo,
        /// Sets, and experts in each, from which a node knows the placement that engines start with.
        shape: (u16, Expert),
        /// What differs; left out for nodes that have prepared it.
        changes: Option<Arc<Vec<RankChange>>>,
    },
    /// A pass is to be held at one rank, whose node then brings all ranks to the placement.
    Hold {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The first pass with it.
        pass: PassNo,
        /// The rank whose engine holds the pass.
        holder: Rank,
        /// The rank whose node is away, and whose engine is spoken to from afar.
        absent: Option<Rank>,
    },
}

/// What the node beside the engine that holds a pass wants of the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changeover {
    /// The leadership that wanted the pass held.
    pub term: Term,
    /// The group's formation.
    pub epoch: GroupEpoch,
    /// The holder's rank.
    pub holder: Rank,
    /// Drawn for each changeover, so that messages of an earlier life of the holder are recognised.
    pub round: u64,
    /// The pass that is held.
    pub pass: PassNo,
    /// How far it is.
    pub step: ChangeoverStep,
}

/// How far a changeover is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeoverStep {
    /// Each node is to say whether it is ready for a placement.
    Ready {
        /// The placement's number.
        placement_no: PlacementNo,
    },
    /// Each node is to say what its engine says; the holder has lost its memory.
    Recover,
    /// Each rank is to be armed.
    Arm {
        /// The placement's number.
        placement_no: PlacementNo,
    },
    /// It has ended.
    Over,
}

/// A node's answer to a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeoverAnswer {
    /// The changeover.
    pub round: u64,
    /// The pass that is held.
    pub pass: PassNo,
    /// Whether the node takes part.
    pub accepts: bool,
    /// What its engine says.
    pub report: RankReport,
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
    /// Whether it takes part in a changeover.
    pub is_engaged: bool,
    /// Ranks whose nodes it knows, so that its leader tells it of the others only where some are missing.
    pub known: Rank,
    /// The last word of the leadership it has promised to follow that it has taken, counted as the
    /// leader does; 0 where it has taken none.
    pub revision: u64,
    /// Whether it knows the placement in use, from which a plan may differ.
    pub knows_placement: bool,
}

/// Experts of one rank by set.
pub type RankPart = Vec<Vec<Expert>>;

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
    /// A leader's word, to be passed on: with many ranks, what a plan changes is longer than the leader's link
    /// takes for all of them in the time of a pass.
    Relay {
        /// The leader.
        leader: A,
        /// What it wants.
        directive: Directive,
        /// The nodes that are to hear of it.
        to: Vec<A>,
    },
    /// From a leader that is to stop, to all.
    Resign {
        /// The leadership that ends.
        term: Term,
        /// The rank whose node is to take the lead at once.
        next: Rank,
    },
    /// From a node to its leader.
    Status(Status),
    /// From a holder to all.
    Changeover(Changeover),
    /// From a node to a holder.
    Answer(ChangeoverAnswer),
    /// From a node that does not know what a wanted placement differs from.
    AskPlacement {
        /// The placement's number.
        placement_no: PlacementNo,
    },
    /// A whole placement that was asked for.
    Placement {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The placement.
        placement: Arc<Placement>,
    },
    /// From a leader that does not know the placement in use.
    AskPart {
        /// The placement's number.
        placement_no: PlacementNo,
    },
    /// What a rank holds of a placement.
    Part {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The rank.
        rank: Rank,
        /// Its experts.
        part: RankPart,
    },
}
