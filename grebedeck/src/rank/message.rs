//! Datagrams between rank processes.

use std::net::SocketAddr;

use grebedeck_core::{GroupId, Result};
use grebedeck_experts::CountReport;
use grebedeck_experts::rollout::Message;
use grebedeck_net::codec::{PREFIX_BYTES, decode, encode};
use serde::{Deserialize, Serialize};

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// One datagram. Rank processes are known by their targets' addresses, which the platform lists; of a
/// gateway only the instance's address counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The target beside which the sender stands.
    pub from: SocketAddr,
    /// The group that it concerns; a gateway's concerns whoever gets it.
    pub group: Option<GroupId>,
    /// What it says.
    pub body: Body,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the rollout.
    Rollout(Message<SocketAddr>),
    /// What a rank counted since its last report.
    Counts(CountReport),
    /// From a gateway: the sender wants to be told the rank's load for a while.
    Watch,
    /// To those that want it: the rank's load.
    Load(RankLoad),
}

/// A rank's load, as its engine says.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankLoad {
    /// The rank's group.
    pub group: GroupId,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How often the group has formed.
    pub formation: u64,
    /// Whether the group makes passes.
    pub is_open: bool,
    /// Time that the engine takes for its work, relative to what is usual.
    pub slowdown: f32,
}

impl Datagram {
    /// Gets the bytes to send.
    pub fn to_bytes(&self) -> Result<bytes::Bytes> {
        // A datagram has its own length, so the prefix of a stream's frames is left out.
        Ok(encode(self)?.slice(PREFIX_BYTES..))
    }

    /// Tells whether it concerns a rank of this group. Ranks of other groups of the same service have the
    /// same numbers, and what they say must not be taken for what the own group's ranks say.
    pub fn concerns(&self, own: Option<GroupId>) -> bool {
        self.group.is_none() || self.group == own
    }

    /// Reads a datagram's bytes.
    pub fn parse(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}
