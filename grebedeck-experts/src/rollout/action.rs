//! Actions that a node requests, and events that it reports.

use std::time::Duration;

use grebedeck_core::Rank;

use super::message::{Message, Term};
use crate::engine::{PassNo, PlacementNo, RankOrder};

/// An action that a node requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Send a message.
    Send {
        /// The receiving node.
        to: A,
        /// The message.
        message: Message<A>,
    },
    /// Send an order to a rank's engine, the node's own or another's.
    Order {
        /// The rank.
        rank: Rank,
        /// The order.
        order: RankOrder,
    },
    /// Read the report of another rank's engine.
    ReadReport {
        /// The rank.
        rank: Rank,
    },
    /// Read which experts a rank's engine holds.
    ReadPart {
        /// The rank.
        rank: Rank,
    },
    /// Log and count an event.
    Event(RankEvent),
}

/// A decision or finding of a node, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum RankEvent {
    /// The node has taken the lead.
    LeadershipTaken(Term),
    /// The node has given up the lead because its process is about to stop.
    Resigned {
        /// The rank that is to lead next.
        next: Rank,
    },
    /// A new leader has resumed the plan of the leader before it.
    PlanResumed {
        /// The placement.
        placement_no: PlacementNo,
    },
    /// The node has begun to read and order the engine of an absent rank.
    RemoteAccessStarted {
        /// The rank.
        rank: Rank,
    },
    /// Remote access to the rank has ended.
    RemoteAccessEnded {
        /// The rank.
        rank: Rank,
    },
    /// The node has started to follow a leader.
    LeaderFollowed(Term),
    /// The group has formed anew; all plans are void.
    EpochChanged(u64),
    /// All ranks have copied a placement's weights; a pass is to be held.
    HoldRequested {
        /// The placement.
        placement_no: PlacementNo,
        /// The pass.
        pass: PassNo,
        /// The rank whose engine holds it.
        holder: Rank,
    },
    /// The placement is in use.
    PlacementInUse {
        /// The placement.
        placement_no: PlacementNo,
        /// The first pass with it.
        pass: PassNo,
    },
    /// A plan was abandoned before any rank was armed.
    PlanAbandoned {
        /// The placement.
        placement_no: PlacementNo,
        /// The reason, as it is logged.
        reason: &'static str,
    },
    /// The node's engine holds a pass that the node does not know of, as after a restart.
    HeldPassFound {
        /// The pass.
        pass: PassNo,
    },
    /// The ranks are fenced, as a changeover could not be completed.
    RanksFenced {
        /// The held pass.
        pass: PassNo,
        /// The fence's number.
        placement_no: PlacementNo,
    },
    /// A held pass was released.
    PassReleased {
        /// The pass.
        pass: PassNo,
        /// The placement that every rank was armed for, if any.
        placement_no: Option<PlacementNo>,
        /// Time since the last phase of the changeover began.
        held_for: Duration,
    },
}
