//! Datagrams between rank processes.

use std::net::SocketAddr;

use grebedeck_core::{Error, GroupId, Moment, Result};
use grebedeck_experts::CountReport;
use grebedeck_experts::rollout::Message;
use grebedeck_gateway::QuotaMessage;
use grebedeck_kernel::log;
use grebedeck_kernel::log::LineRateLimiter;
use grebedeck_net::codec::{PREFIX_BYTES, decode, encode};
use serde::{Deserialize, Serialize};

use crate::message::SuspectMessage;

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
    /// Between gateways: crashes of targets.
    Suspects(SuspectMessage),
    /// To a leader of another group that takes the sender for one of its own: the sender's group is this datagram's.
    Elsewhere,
    /// Between gateways: permits for targets that name a limit.
    Quota(QuotaMessage),
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
    /// Unix milliseconds of the engine's start by its own clock, where it tells them.
    pub born_ms: Option<u64>,
}

/// Lines a second on datagrams that are not understood: enough to see who sends them, whatever comes.
const UNREAD_LINES_PER_S: f64 = 1.0;

/// Reads datagrams, and tells of those that are no datagram of this version.
#[derive(Debug)]
pub struct DatagramReader {
    lines: LineRateLimiter,
}

impl Default for DatagramReader {
    fn default() -> Self {
        DatagramReader { lines: LineRateLimiter::new(UNREAD_LINES_PER_S) }
    }
}

impl DatagramReader {
    /// Reads a datagram's bytes, or gives `None` for bytes that are to be dropped.
    pub fn read(&mut self, bytes: &[u8], now: Moment) -> Option<Datagram> {
        match Datagram::parse(bytes) {
            Ok(datagram) => Some(datagram),
            Err(error) => {
                self.note_unread(bytes.len(), &error, now);
                None
            }
        }
    }

    fn note_unread(&mut self, length_bytes: usize, error: &Error, now: Moment) {
        if let Some(left_out) = self.lines.try_acquire_line(now) {
            log::warn!("datagram not understood", kv: {
                length_bytes, left_out, error = error.to_string(),
            });
        }
    }
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
