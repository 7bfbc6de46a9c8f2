//! Messages between the nodes of a group.
//!
//! They carry states, not steps: any of them may be lost, duplicated or late.

use std::sync::Arc;

use grebedeck_core::{Expert, Rank};
use serde::{Deserialize, Serialize};

use crate::engine::{GroupEpoch, PassNo, PlacementNo, RankReport};
use crate::placement::{Placement, RankChange};

/// Number of a leadership. A later one compares greater, and no two are equal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    /// Count of leaderships.
    pub round: u64,
    /// The leader's rank, which tells leaders of the same round apart.
    pub rank: Rank,
    /// Random number of the leader's process start: after a restart the leader may not know which
    /// rounds it has led.
    pub life: u64,
}

/// What a leader requests of every node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directive {
    /// The leader's term.
    pub term: Term,
    /// Count of the term's directives, by which a late message is recognised.
    pub revision: u64,
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The stage of the plan.
    pub stage: Stage,
}

/// Stage of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// There is no plan.
    Idle,
    /// Every rank is to copy the weights of a placement.
    Prepare {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The placement that the changes are relative to.
        base_no: PlacementNo,
        /// Sets, and experts in each, from which a node computes the initial placement.
        shape: (u16, Expert),
        /// The changes; left out for nodes that have prepared the placement.
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
        /// The rank whose node is absent, and whose engine is read and ordered remotely.
        absent: Option<Rank>,
    },
}

/// What a holder requests of the other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changeover {
    /// The term of the leader that had the pass held.
    pub term: Term,
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The holder's rank.
    pub holder: Rank,
    /// Identifies the changeover: counted from the random number of the holder's process start, so
    /// that messages from before a restart of the holder are recognised.
    pub round: u64,
    /// The pass that is held.
    pub pass: PassNo,
    /// The step of the changeover.
    pub step: ChangeoverStep,
}

/// Step of a changeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeoverStep {
    /// Each node is to answer whether it is ready for a placement.
    Ready {
        /// The placement's number.
        placement_no: PlacementNo,
    },
    /// Each node is to send its engine's report; the holder has lost its state.
    Recover,
    /// Each rank is to be armed.
    Arm {
        /// The placement's number.
        placement_no: PlacementNo,
    },
    /// The changeover has ended.
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
    /// The report of the node's engine.
    pub report: RankReport,
}

/// A node's state, as its leader needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The highest term that the node has promised to follow.
    pub promised: Term,
    /// The report of the node's engine.
    pub report: RankReport,
    /// A placement that its engine has refused to prepare.
    pub refused: Option<PlacementNo>,
    /// Whether the node takes part in a changeover.
    pub is_engaged: bool,
    /// Number of ranks whose nodes it knows; the leader sends it the roster only if some are
    /// missing.
    pub known: Rank,
    /// Revision of the last directive it has applied in the promised term; 0 if none.
    pub revision: u64,
    /// Whether it knows the placement in use, to which a plan's changes may be relative.
    pub knows_placement: bool,
}

/// Experts of one rank by set.
pub type RankPart = Vec<Vec<Expert>>;

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message<A> {
    /// From a leader to all, with the nodes that it knows.
    Lead {
        /// The directive.
        directive: Directive,
        /// Nodes by rank.
        roster: Vec<(Rank, A)>,
    },
    /// A leader's directive, to be relayed: with many ranks, a plan's changes are more than the
    /// leader's link can send to all of them within a pass.
    Relay {
        /// The leader.
        leader: A,
        /// The directive.
        directive: Directive,
        /// The nodes to relay the directive to.
        to: Vec<A>,
    },
    /// From a leader that is about to stop, to all.
    Resign {
        /// The term that ends.
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
    /// From a node that does not know the placement to which a plan's changes are relative.
    AskPlacement {
        /// The placement's number.
        placement_no: PlacementNo,
    },
    /// A whole placement that was requested.
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
    /// A rank's part of a placement.
    Part {
        /// The placement's number.
        placement_no: PlacementNo,
        /// The rank.
        rank: Rank,
        /// Its experts.
        part: RankPart,
    },
}
