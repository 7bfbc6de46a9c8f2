//! Messages between grebedeck processes.

use grebedeck_config::CatchUp;
use grebedeck_core::{
    AttemptId, Digest, DigestWriter, Incarnation, InstanceName, Layer, OrganisationName, Rank,
    Reason, Revision, ServiceName, Step, UnixMs,
};
use grebedeck_experts::switch::{MapVersion, Message as SwitchMessage};
use grebedeck_experts::{ExpertMap, MapDelta};
use grebedeck_net::platform::Role;
use grebedeck_routing::{Key, LoadReport, Report, StrikeAnswer};
use serde::{Deserialize, Serialize};

/// Version of the protocol; peers with different versions refuse each other.
pub const PROTOCOL_VERSION: u16 = 1;
/// Path of a stream that carries one attempt.
pub const WORK_PATH: &str = "/work";
/// Path of a stream that carries one control message and the answer to it.
pub const CONTROL_PATH: &str = "/control";
/// Maximum length of the body part in one frame.
pub const BODY_PART_BYTES: usize = 32 << 10;

/// Message from an entry to an agent on a work stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Starts the attempt.
    Start(Box<WorkStart>),
    /// Part of the request's body.
    Body(Vec<u8>),
    /// End of the request.
    End(EndMark),
}

/// Head of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkStart {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent for which the attempt is meant.
    pub incarnation: Incarnation,
    /// Organisation that the caller named.
    pub organisation: OrganisationName,
    /// Service that the caller named.
    pub service: ServiceName,
    /// Configuration revision under which the request was admitted.
    pub revision: Revision,
    /// Whether the attempt may wait for a slot on the target.
    pub may_wait: bool,
    /// Idempotency key of a request that must run at most once.
    pub key: Option<Key>,
    /// Send time by the entry's wall clock.
    pub sent_unix_ms: UnixMs,
    /// Remaining time until the caller's deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
}

/// End of a body, with a digest that binds the body to its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndMark {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Length of the body in bytes.
    pub len_bytes: u64,
    /// Digest of the attempt's id and the body.
    pub digest: Digest,
}

/// Running digest of a body, to create or to check its end mark.
pub struct BodyDigest {
    attempt: AttemptId,
    writer: DigestWriter,
    len_bytes: u64,
}

impl BodyDigest {
    /// Starts the digest of an attempt's body.
    pub fn new(attempt: AttemptId) -> Self {
        let mut writer = DigestWriter::default();
        // The digest covers the attempt's id, so the body of another attempt never matches.
        writer.update(&attempt.request.to_be_bytes());
        writer.update(&attempt.number.to_be_bytes());

        BodyDigest { attempt, writer, len_bytes: 0 }
    }

    /// Adds the next part of the body.
    pub fn update(&mut self, part: &[u8]) {
        self.writer.update(part);
        self.len_bytes += part.len() as u64;
    }

    /// End mark for all parts added so far.
    pub fn end_mark(&self) -> EndMark {
        let (attempt, len_bytes) = (self.attempt, self.len_bytes);

        EndMark { attempt, len_bytes, digest: self.writer.digest() }
    }
}

/// Message from an agent to an entry on a work stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromAgent {
    /// The attempt ends without an answer.
    Verdict(WorkVerdict, LoadReport),
    /// Head of the target's answer.
    Head(AnswerHead),
    /// Part of the answer's body.
    Body(Vec<u8>),
    /// End of the answer.
    End(EndMark, LoadReport),
}

/// Head of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Length of the body in bytes, if known in advance.
    pub len_bytes: Option<u64>,
}

/// Why an attempt ends without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkVerdict {
    /// The attempt did not run and will not run.
    Refused(Reason),
    /// Another attempt may have run the request.
    InDoubt(Reason),
    /// The target received the request and did not answer.
    TargetFailed,
    /// The target received the request and crashed.
    TargetCrashed {
        /// Sequence number of the crash since the agent started.
        crash: u64,
    },
}

/// Control message between peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Control {
    /// Requests the receiver's identity.
    Hello {
        /// Protocol version of the sender.
        protocol: u16,
    },
    /// Cancels an attempt that has not started.
    Strike {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Incarnation of the agent to which the attempt was sent.
        incarnation: Incarnation,
    },
    /// Announces the sender's configuration revision.
    Heartbeat {
        /// Revision in force at the sender.
        revision: Revision,
    },
    /// Updates the receiver's configuration to the sender's revision.
    CatchUp(CatchUp),
    /// Message of the switch protocol, with the proposed map.
    Switch {
        /// Protocol message.
        message: SwitchMessage,
        /// Difference from the base map; sent with
        /// [`Prepare`](grebedeck_experts::switch::Body::Prepare) only.
        map: Option<MapDelta>,
    },
    /// Token counts of the sender's ranks since its last report.
    Counts(GroupCounts),
    /// Requests the map of a version.
    MapOf(MapVersion),
    /// Crashes of targets, between entries.
    Suspects(SuspectMessage),
}

/// Message between gateways, or between entries, on crashes of targets and the requests that were
/// running at the time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SuspectMessage {
    /// Requests the receiver's full state if its digest differs from the sender's.
    Ask {
        /// Digest of the sender's state.
        digest: u64,
    },
    /// Update, or a part of the full state.
    Tell(Report),
}

/// Token counts of a group member's ranks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupCounts {
    /// First step that the counts do not include.
    pub until_step: Step,
    /// Ranks that were counted.
    pub ranks: Vec<Rank>,
    /// Time per token of each of these ranks, relative to a normal rank.
    pub rank_costs: Vec<f32>,
    /// Tokens sent to each expert, by layer, encoded by
    /// [`encode_count`](grebedeck_experts::counter::encode_count).
    pub layers: Vec<(Layer, Vec<u8>)>,
}

/// Answer to a control message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlAnswer {
    /// Identity of the answering process.
    Hello(PeerHello),
    /// Result of a [`Control::Strike`].
    Strike(StrikeAnswer),
    /// State of the answering process's configuration.
    Heartbeat {
        /// Revision in force.
        revision: Revision,
        /// Update to that revision, if the sender is behind.
        catch_up: Option<CatchUp>,
    },
    /// Requested map, if known.
    Map(Option<ExpertMap>),
    /// The message was received.
    Taken,
    /// The answering process does not support the message.
    NotSupported,
    /// Full state on crashes of the answering process, if it differs from the sender's.
    Suspects(Option<Report>),
}

/// Identity of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Protocol version.
    pub protocol: u16,
    /// Name of the process; an agent has the name of its target.
    pub name: InstanceName,
    /// Role of the process.
    pub role: Role,
    /// Incarnation of the process, which is new with each start.
    pub incarnation: Incarnation,
    /// Whether the process is stopping.
    pub leaving: bool,
}
