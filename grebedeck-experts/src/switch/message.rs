//! Messages of the switch protocol.

use grebedeck_core::{Epoch, Incarnation, Step};
use serde::{Deserialize, Serialize};

/// Index of a member (an agent with its ranks) within its group.
pub type MemberNo = u16;

/// Unique identifier of a map of a group. The version of an aborted map is never used again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct MapVersion {
    /// Epoch of the proposing coordinator, used as a fencing token.
    pub epoch: Epoch,
    /// Member of the proposing coordinator, so that two coordinators never use the same version.
    pub proposer: MemberNo,
    /// Number of the proposal, counted by the coordinator.
    pub number: u32,
}

/// State of a version at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// The member holds before the version's first step and waits for the outcome.
    Armed,
    /// The member has committed the version.
    Committed,
    /// The member will never arm the version.
    Refused,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver to load the weights that the version needs.
    Prepare {
        /// The proposed version.
        version: MapVersion,
        /// The version that it builds on.
        base: MapVersion,
    },
    /// Answers `Prepare`: the weights are loaded.
    Prepared {
        /// The prepared version.
        version: MapVersion,
        /// The sender's next step.
        step: Step,
    },
    /// Asks the receiver to hold before `at_step` until the outcome is known.
    Arm {
        /// The version to arm.
        version: MapVersion,
        /// The version that it builds on.
        base: MapVersion,
        /// First step that uses the version.
        at_step: Step,
        /// Incarnation of each member whose answer is required.
        roster: Vec<Incarnation>,
    },
    /// Tells that every member of the roster has armed the version.
    Commit {
        /// The committed version.
        version: MapVersion,
        /// The roster that armed it.
        roster: Vec<Incarnation>,
    },
    /// Asks for the state of a version; a receiver that has not armed it refuses it for good.
    Query {
        /// The version asked about.
        version: MapVersion,
    },
    /// Answers `Arm` and `Query`, and a `Prepare` that the sender does not follow.
    Report {
        /// The version asked about.
        version: MapVersion,
        /// State of the version at the sender.
        standing: Standing,
        /// Highest epoch that the sender has seen, by which a stale coordinator learns of it.
        seen_epoch: Epoch,
    },
    /// Asks for the group's state on behalf of a replacement.
    Join {
        /// Known incarnation of each member; 0 where none is.
        roster: Vec<Incarnation>,
    },
    /// Answers `Join`.
    JoinAck {
        /// Incarnation of the replacement that the sender has recorded.
        joined: Incarnation,
        /// The sender's view of the group.
        known: GroupView,
    },
}

/// A member's view of its group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupView {
    /// Known incarnation of each member; 0 where none is.
    pub roster: Vec<Incarnation>,
    /// The newest committed map.
    pub current: MapVersion,
    /// First step that uses the newest map; may be in the future.
    pub current_from: Step,
    /// The map used before that step.
    pub previous: MapVersion,
    /// Highest version whose outcome is decided; versions up to it are not armed any more.
    pub settled: MapVersion,
    /// Highest epoch seen.
    pub seen_epoch: Epoch,
}

/// Message between members; a coordinator sends as the member of its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberNo,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The receiver.
    pub to: MemberNo,
    /// Content.
    pub body: Body,
}
