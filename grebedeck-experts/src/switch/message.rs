//! Messages of the switch protocol.

use grebedeck_core::{Epoch, Incarnation, Step};
use serde::{Deserialize, Serialize};

/// Index of a member (one agent with its ranks) within its group.
pub type MemberNo = u16;

/// Names one map of a group for good. A version that was given up is never used again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct MapVersion {
    /// Fencing token of the coordinator that proposed it.
    pub epoch: Epoch,
    /// The member that proposed it, so that two coordinators never share a version.
    pub proposer: MemberNo,
    /// Count of the coordinator's proposals.
    pub number: u32,
}

/// What a member knows of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It holds at the version's step and waits for the outcome.
    Armed,
    /// It uses the version, or has used it.
    Committed,
    /// It will never arm the version.
    Refused,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Load the weights that the version needs; `moves` are the receiver's own.
    Prepare {
        /// The proposed version.
        version: MapVersion,
        /// The version that it builds on.
        base: MapVersion,
    },
    /// The weights are loaded; the sender's ranks are about to make `step`.
    Prepared {
        /// The prepared version.
        version: MapVersion,
        /// The sender's next step.
        step: Step,
    },
    /// Hold before `at_step` until the outcome is known.
    Arm {
        /// The version to arm.
        version: MapVersion,
        /// The version that it builds on.
        base: MapVersion,
        /// First step that uses the version.
        at_step: Step,
        /// Incarnation of each member that the outcome depends on.
        roster: Vec<Incarnation>,
    },
    /// Every member of the roster has armed the version.
    Commit {
        /// The committed version.
        version: MapVersion,
        /// The roster that armed it.
        roster: Vec<Incarnation>,
    },
    /// Asks how the receiver stands; a receiver that has not armed the version vows never to.
    Query {
        /// The version asked about.
        version: MapVersion,
    },
    /// Answers `Arm` and `Query`.
    Report {
        /// The version asked about.
        version: MapVersion,
        /// How the sender stands.
        standing: Standing,
        /// The highest fencing token that the sender has seen, so that a stale coordinator learns
        /// of it.
        seen_epoch: Epoch,
    },
    /// A replaced member asks for the group's state.
    Join {
        /// Known incarnation of each member; 0 where none is.
        roster: Vec<Incarnation>,
    },
    /// Answers `Join`.
    JoinAck {
        /// The incarnation that was noted.
        joined: Incarnation,
        /// What the sender knows of the group.
        known: GroupView,
    },
}

/// What a member knows of its group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupView {
    /// Known incarnation of each member; 0 where none is.
    pub roster: Vec<Incarnation>,
    /// The newest map.
    pub current: MapVersion,
    /// First step that uses the newest map; it may lie ahead.
    pub current_from: Step,
    /// The map that is used before that step.
    pub previous: MapVersion,
    /// No version up to this one will be armed any more.
    pub settled: MapVersion,
    /// The highest fencing token seen.
    pub seen_epoch: Epoch,
}

/// A message from one member to another; the coordinator speaks as the member beside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberNo,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The receiver.
    pub to: MemberNo,
    /// What it says.
    pub body: Body,
}
