//! Datagrams between rank processes and gateways.

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

/// Maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A datagram. Rank processes are identified by the addresses of their targets, which the platform
/// lists; gateways only by the address of their instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Address of the sender's target; of a gateway its own address.
    pub from: SocketAddr,
    /// Group of the sender; `None` if a gateway sent it, or a rank process that does not know its
    /// group yet.
    pub group: Option<GroupId>,
    /// Content.
    pub body: Body,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Message of the rollout protocol.
    Rollout(Message<SocketAddr>),
    /// Token counts of a rank since its previous report, for the leader.
    Counts(CountReport),
    /// From a gateway: a request to receive the rank's load for the next seconds.
    Watch,
    /// Load of a rank, for the gateways that requested it.
    Load(RankLoad),
    /// Between gateways: crashes of targets and requests in quarantine.
    Suspects(SuspectMessage),
    /// To a leader that takes the sender for a rank of its group: the sender belongs to the group
    /// of this datagram.
    Elsewhere,
    /// Between gateways: permits for targets with a limit.
    Quota(QuotaMessage),
}

/// Load of a rank as its engine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankLoad {
    /// Group of the rank.
    pub group: GroupId,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Epoch of the group, which increases each time that the group forms.
    #[serde(rename = "formation")]
    pub epoch: u64,
    /// Whether the group makes passes.
    pub is_open: bool,
    /// Duration of the engine's work relative to its usual duration.
    pub slowdown: f32,
    /// Start of the engine in Unix milliseconds by the engine's clock, if the engine reports it.
    pub born_ms: Option<u64>,
}

/// Maximum rate of log lines on invalid datagrams: enough to identify a sender, whatever arrives.
const INVALID_LINES_PER_S: f64 = 1.0;

/// Parses datagrams, and logs those that are not valid in this version of the protocol.
#[derive(Debug)]
pub struct DatagramReader {
    lines: LineRateLimiter,
}

impl Default for DatagramReader {
    fn default() -> Self {
        DatagramReader { lines: LineRateLimiter::new(INVALID_LINES_PER_S) }
    }
}

impl DatagramReader {
    /// Parses a datagram; returns `None` for bytes to drop.
    pub fn read(&mut self, bytes: &[u8], now: Moment) -> Option<Datagram> {
        match Datagram::parse(bytes) {
            Ok(datagram) => Some(datagram),
            Err(error) => {
                self.log_invalid(bytes.len(), &error, now);
                None
            }
        }
    }

    fn log_invalid(&mut self, length_bytes: usize, error: &Error, now: Moment) {
        if let Some(left_out) = self.lines.try_acquire_line(now) {
            log::warn!("invalid datagram dropped", kv: {
                length_bytes, left_out, error = error.to_string(),
            });
        }
    }
}

impl Datagram {
    /// Encodes the datagram.
    pub fn to_bytes(&self) -> Result<bytes::Bytes> {
        // A datagram has a length of its own, so the length prefix of stream frames is omitted.
        Ok(encode(self)?.slice(PREFIX_BYTES..))
    }

    /// Whether a rank of this group accepts the datagram. Ranks of other groups of the same service
    /// have the same numbers, and their messages must not be taken for those of the own group.
    pub fn is_for_group(&self, own: Option<GroupId>) -> bool {
        self.group.is_none() || self.group == own
    }

    /// Decodes a datagram.
    pub fn parse(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}
