//! What a node wants done, and what it has found.

use std::time::Duration;

use grebedeck_core::Rank;

use super::message::{Message, Term};
use crate::engine::{PassNo, PlacementNo, RankOrder};

/// What a node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Send a message.
    Send {
        /// The node that gets it.
        to: A,
        /// The message.
        message: Message<A>,
    },
    /// Give an order to a rank's engine, the node's own or another's.
    Order {
        /// The rank.
        rank: Rank,
        /// The order.
        order: RankOrder,
    },
    /// Read what another rank's engine says.
    ReadReport {
        /// The rank.
        rank: Rank,
    },
    /// Read which experts the own engine holds.
    ReadPart,
    /// Something that operators may want to know.
    Event(RankEvent),
}

/// What a node has decided or found, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum RankEvent {
    /// It takes the lead.
    LeadershipTaken(Term),
    /// It gives the lead up, as the process is to stop.
    Resigned {
        /// The rank that it calls on.
        next: Rank,
    },
    /// It goes on with what the leader before it wanted.
    PlanResumed {
        /// The placement.
        placement_no: PlacementNo,
    },
    /// It has a rank's engine read and prepared from afar, as its process is away.
    RemoteAccessStarted {
        /// The rank.
        rank: Rank,
    },
    /// It does so no more.
    RemoteAccessEnded {
        /// The rank.
        rank: Rank,
    },
    /// It follows a leader.
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
    /// A plan was given up before any rank was armed.
    PlanAbandoned {
        /// The placement.
        placement_no: PlacementNo,
        /// Why.
        reason: &'static str,
    },
    /// The own engine holds a pass that the node has no memory of.
    HeldPassFound {
        /// The pass.
        pass: PassNo,
    },
    /// A held pass was let go.
    PassReleased {
        /// The pass.
        pass: PassNo,
        /// The placement that every rank was armed for, if any.
        placement_no: Option<PlacementNo>,
        /// Time since all were asked.
        held_for: Duration,
    },
}
