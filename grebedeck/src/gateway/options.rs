//! Settings of a gateway, and the constants that it works with.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use grebedeck_core::Faults;
use grebedeck_gateway::chooser_options;
use grebedeck_gateway::targets::SubsetView;
use grebedeck_routing::ChooserOptions;
use grebedeck_routing::subset::SubsetOptions;
use serde::{Deserialize, Serialize};

use super::mechanism::Mechanism;
use crate::settings::{Check, millis};

/// How often rested connections and lapsed targets are looked for: well below the two seconds within
/// which a lapsed target is to be listed again.
pub const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(250);
/// How long a connection to a target may take to be made: some round trips between halls, and less
/// than the second after which a lost first packet is sent again.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Longest head of a target's answer, in bytes.
pub const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;
/// Longest answer that is read whole before the caller gets it, in bytes.
pub const MAX_BUFFERED_ANSWER_BYTES: usize = 8 << 20;
/// Longest event of a stream that another target may go on with, in bytes; an event holds some tokens.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// How long an answer waits for memory before it is given up. A target cuts off an answer that stays unread for
/// some seconds.
pub const ANSWER_MEMORY_WAIT: Duration = Duration::from_secs(1);
/// Time that a caller is told to wait where there is no memory for its body: slow callers' memory is back by then.
pub const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Unread bytes that the system keeps for each connection to a target, or to a caller in each direction; it takes
/// twice as many. Some hundred events, or several whole answers; a target is held up beyond them. With no limit the
/// system goes on to 6 MB for each connection.
pub const SOCKET_BUFFER_BYTES: usize = 32 << 10;
/// Bytes that are read ahead from a caller while its request is served: one read's worth, as up to
/// `max_callers` may send some.
pub const READ_AHEAD_BYTES: usize = 4 << 10;
/// How long a caller is told to wait while no target of a service is known: the list of targets is read
/// again within it.
pub const NO_TARGETS_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Callers that find all places taken and are told to come back are spread over this time at the least:
/// some passes, so that they do not begin in the same one.
pub const MIN_RETRY_SPREAD: Duration = Duration::from_millis(200);
/// How long answers are taken to need where none was seen.
pub const UNKNOWN_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Failures in a row after which a service is taken for out: more than one bad target has in a row.
pub const OUTAGE_FAILURES: u32 = 4;
/// How long a group's own word on whether it is open outweighs what requests show: some times as long as
/// ranks are silent between two words.
pub const GROUP_REPORT_LIFETIME: Duration = Duration::from_millis(500);
/// Pause between two requests that find out whether a service is back.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// What is told of a service that is out for longer than was expected.
pub const OVERDUE_ESTIMATE: Duration = Duration::from_millis(1000);
/// Time that a machine needs to start this process, which an outage found at its start has lasted.
pub const PROCESS_START_TIME: Duration = Duration::from_millis(600);
/// A service that is expected back within this time is waited for; a caller that is told to come back
/// later than that loses more time than it saves.
pub const HOLD_LIMIT: Duration = Duration::from_millis(600);
/// How much longer than expected a request is held.
pub const HOLD_MARGIN: Duration = Duration::from_millis(800);
/// Part of its objective that a request waits for although it is late anyhow, where less urgent ones are refused before
/// it: callers lose little by a refusal that comes within it.
pub const URGENT_WAIT_FRACTION: f64 = 0.25;
/// Longest time that a request is held for a service that is out: callers leave a stream that says nothing
/// for two seconds.
pub const MAX_HOLD: Duration = Duration::from_millis(1800);
/// How often a place is looked for while all are taken and somebody waits, as shorter pauses of a model's group make
/// room and nothing tells it: a tenth of a pass, so that no pass goes by with room that was not given.
pub const SLOT_POLL_PERIOD: Duration = Duration::from_millis(10);
/// Shortest wait before a place is looked for again.
pub const MIN_SLOT_WAIT: Duration = Duration::from_millis(1);
/// Part of a group's time that may go into reading prompts. Half of it is what skew takes while experts
/// are not placed well; twice the usual arrivals fit.
pub const PROMPT_FRACTION: f64 = 0.15;
/// Time's worth of prompts that may begin at once, so that usual arrivals do not wait for each other.
pub const PROMPT_BURST: Duration = Duration::from_millis(100);
/// Targets of a service that a gateway deals with. Of a group of ranks that is a twelfth of the service it has some in
/// its subset, so it knows whether the group is open; three are drawn for each request.
const SUBSET: SubsetOptions = SubsetOptions { size: 64, in_other_halls: 16 };
/// How often ranks are asked to tell their load.
pub const SUBSCRIBE_PERIOD: Duration = Duration::from_millis(1000);
/// The same while no rank has told anything yet, such as at the start.
pub const FIRST_SUBSCRIBE_PERIOD: Duration = Duration::from_millis(50);
/// How long requests for a model wait at the start until a rank has told whether its group is open: some
/// of the pauses above. Without processes beside ranks nobody ever tells, and requests are sent then.
pub const FIRST_REPORT_WAIT: Duration = Duration::from_millis(250);
/// Callers that are told to come back are spread over this time: twice the usual arrivals for as long as an
/// outage lasts would fill a group at once.
pub const RETRY_SPREAD: Duration = Duration::from_millis(800);
/// How much later than a model's group is expected back callers are told to come: its experts lie as they
/// were dealt, and it takes half of the usual requests until its first placement is in use.
pub const PLACEMENT_LAG: Duration = Duration::from_millis(600);
/// How long a caller is told to wait while all targets of a service stand in evacuated halls: operators take a hall
/// back after seconds at the soonest.
pub const EVACUATED_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// How long a request is held at the start of the process, until the configuration is known.
pub const CONFIGURATION_WAIT: Duration = Duration::from_millis(300);
/// How much later than asked the store may answer before it is taken for away: more than an answer takes
/// when the store is slow.
const STORE_GRACE: Duration = Duration::from_millis(600);
/// Time left to a request below which it is not sent to a target any more.
pub const MIN_ATTEMPT: Duration = Duration::from_millis(5);

/// Largest part of the memory for what is kept. The process itself takes some 10 MB at rest, of 112 MB on the
/// smallest machine.
const MAX_KEPT_FRACTION: f64 = 0.75;

/// Settings of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The process's name.
    pub name: String,
    /// The data hall that it stands in.
    pub hall: String,
    /// Where it takes callers' requests.
    pub caller_address: SocketAddr,
    /// Where it tells the platform's balancer whether it is ready.
    pub ready_address: SocketAddr,
    /// Where it answers other processes of grebedeck.
    pub peer_address: SocketAddr,
    /// The address of this instance.
    pub ip: IpAddr,
    /// The port on which processes of all instances take datagrams.
    pub group_port: u16,
    /// Where it shows its metrics and its state.
    pub metrics_address: SocketAddr,
    /// Other gateways to ask while the store is away; some may be gone.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// How long the store may be silent beyond what it is asked to wait, before an answer and within it.
    #[serde(default = "defaults::store_limit_ms")]
    pub store_limit_ms: u64,
    /// How long a target goes on after it has said that it leaves.
    #[serde(default = "defaults::leaving_ms")]
    pub leaving_ms: u64,
    /// How soon after trouble with the store the process has to know again what the store has.
    #[serde(default = "defaults::catch_up_ms")]
    pub catch_up_ms: u64,
    /// How long after the operators' request nothing new may reach a hall that they evacuate.
    #[serde(default = "defaults::evacuate_ms")]
    pub evacuate_ms: u64,
    /// How long the process goes on after a signal to stop.
    pub stop_limit_ms: u64,
    /// How long the platform's balancer may go on to send connections to a process that is not ready.
    #[serde(default = "defaults::leave_ms")]
    pub leave_ms: u64,
    /// Limits on requests that are sent to more than one target.
    pub retry: RetrySettings,
    /// How long a model's engines wait for a rank that is lost before they refuse.
    #[serde(default = "defaults::engine_stall_ms")]
    pub engine_stall_ms: u64,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: usize,
    /// Rate of the instance's link, in megabits a second; 0 where that is not known. A gateway with a large link reads the
    /// store for others.
    #[serde(default)]
    pub link_mbps: f64,
    /// Parts of it for what is kept until it is read.
    #[serde(default)]
    pub kept: KeptSettings,
    /// Most callers' connections.
    #[serde(default = "defaults::max_callers")]
    pub max_callers: usize,
    /// Requests that a target may have, as a multiple of those that it works on at the same time.
    #[serde(default)]
    pub load: LoadSettings,
    /// Mechanisms that are left out, to measure what they are worth.
    #[serde(default)]
    pub without: Vec<Mechanism>,
}

/// Limits on requests that are sent to more than one target.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats for each request of a service, by all gateways together.
    pub ratio: f64,
    /// Length of the window in which they are counted, in seconds.
    pub window_s: f64,
    /// Repeats on top of that, by all gateways together.
    pub allowance: f64,
    /// Gateways that the allowance is divided among at the least, with some to spare for replaced ones;
    /// where more are known, it is divided among those.
    #[serde(default = "defaults::gateways")]
    pub gateways: f64,
}

/// Requests that a target may have, as a multiple of those that it works on at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// For a model's ranks: those that wait only make the passes of the whole group longer.
    pub model: f64,
    /// For plain targets, where some may wait for a short while.
    pub plain: f64,
    /// Mean deviations that a model's pauses are kept below the longest wanted one by.
    pub pause_deviations: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        LoadSettings { model: 1.0, plain: 2.0, pause_deviations: 2.0 }
    }
}

/// Parts of a process's memory for what is kept until it is read.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeptSettings {
    /// For bodies of requests, until their targets have read them.
    pub bodies: f64,
    /// For answers, until their callers have read them.
    pub answers: f64,
}

impl Default for KeptSettings {
    fn default() -> Self {
        // The other half is for the process itself and for what the system keeps of each connection.
        KeptSettings { bodies: 0.25, answers: 0.25 }
    }
}

impl GatewaySettings {
    /// Gets the bytes of a part of the process's memory.
    pub fn memory_bytes(&self, part: f64) -> usize {
        ((self.memory_mb << 20) as f64 * part) as usize
    }

    /// Tells whether a mechanism is in use.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    /// Gets which part of each service's targets the gateway deals with.
    pub fn subset_view(&self) -> SubsetView {
        SubsetView { process: self.name.clone(), hall: self.hall.clone(), options: SUBSET }
    }

    /// Gets how targets are chosen.
    pub fn chooser_options(&self) -> ChooserOptions {
        let mut options = chooser_options();

        if !self.uses(Mechanism::DrawnTargets) {
            options.draws = usize::MAX;
        }

        if !self.uses(Mechanism::WaitingWeight) {
            options.waiting_weight = 0.0;
        }

        if !self.uses(Mechanism::SlowExclusion) {
            options.slow_threshold = f32::INFINITY;
        }

        options
    }

    /// Gets the names of the settings that are used only at the start and differ from others.
    pub fn changed_fixed_fields(&self, others: &GatewaySettings) -> Vec<&'static str> {
        let fields = [
            ("name", self.name != others.name),
            ("hall", self.hall != others.hall),
            ("caller_address", self.caller_address != others.caller_address),
            ("ready_address", self.ready_address != others.ready_address),
            ("peer_address", self.peer_address != others.peer_address),
            ("metrics_address", self.metrics_address != others.metrics_address),
            ("store_address", self.store_address != others.store_address),
            ("store_limit_ms", self.store_limit_ms != others.store_limit_ms),
            ("memory_mb", self.memory_mb != others.memory_mb),
            ("link_mbps", self.link_mbps != others.link_mbps),
            ("kept", self.kept != others.kept),
            ("max_callers", self.max_callers != others.max_callers),
            ("without", self.without != others.without),
        ];

        fields.into_iter().filter(|(_, differs)| *differs).map(|(field, _)| field).collect()
    }
}

impl GatewaySettings {
    /// Gets the age of the store's last answer beyond which it is taken for away: while it is there, it
    /// answers at least after each wait for a change of the configuration.
    pub fn max_store_silence(&self) -> Duration {
        self.store_wait() + STORE_GRACE
    }

    /// Gets how long the store is asked to wait for a change. An answer that is lost leaves a watch waiting for
    /// this long, so a third of the time to catch up is left for the next call.
    pub fn store_wait(&self) -> Duration {
        millis(self.catch_up_ms) * 2 / 3
    }

    /// Gets how long a relay lets its followers wait for what operators write, and waits for the store itself: a relay
    /// that the store has stopped answering is noticed, and another one asked, within half of the time to catch up.
    pub fn operator_relay_wait(&self) -> Duration {
        millis(self.catch_up_ms) / 3
    }

    /// Gets the same for the list of targets. With the pause between two reads that is half of the time that a target
    /// goes on after it has said that it leaves.
    pub fn targets_relay_wait(&self) -> Duration {
        millis(self.leaving_ms) / 4
    }

    /// Gets the age from which a relay does not pass on what it has, as its next call to the store should have ended.
    pub fn max_relay_age(&self) -> Duration {
        self.store_wait() + self.targets_poll_interval() + STORE_GRACE
    }

    /// Gets the pause between two reads of the list of targets, which heartbeats change all the time. A target
    /// that leaves is known within a quarter of the time that it goes on; no more is needed, and calls add up.
    pub fn targets_poll_interval(&self) -> Duration {
        millis(self.leaving_ms) / 4
    }
}

impl Check for GatewaySettings {
    fn check(&self, faults: &mut Faults) {
        let mut positive = |field: &str, value: f64| {
            if value.is_nan() || value <= 0.0 {
                faults.add(field, value.to_string(), "a number above 0");
            }
        };

        positive("store_limit_ms", self.store_limit_ms as f64);
        positive("leaving_ms", self.leaving_ms as f64);
        positive("catch_up_ms", self.catch_up_ms as f64);
        positive("evacuate_ms", self.evacuate_ms as f64);
        positive("stop_limit_ms", self.stop_limit_ms as f64);
        positive("memory_mb", self.memory_mb as f64);
        positive("max_callers", self.max_callers as f64);
        positive("kept.bodies", self.kept.bodies);
        positive("kept.answers", self.kept.answers);
        positive("retry.window_s", self.retry.window_s);
        positive("retry.gateways", self.retry.gateways);
        positive("load.model", self.load.model);
        positive("load.plain", self.load.plain);

        if self.name.is_empty() {
            faults.add("name", "", "a name");
        }

        if self.link_mbps.is_nan() || self.link_mbps < 0.0 {
            faults.add("link_mbps", self.link_mbps.to_string(), "a number not below 0");
        }

        if self.load.pause_deviations.is_nan() || self.load.pause_deviations < 0.0 {
            let value = self.load.pause_deviations.to_string();
            faults.add("load.pause_deviations", value, "a number not below 0");
        }

        let kept = self.kept.bodies + self.kept.answers;

        if kept > MAX_KEPT_FRACTION {
            faults.add(
                "kept",
                kept.to_string(),
                "parts that leave a quarter to the process itself",
            );
        }

        if self.retry.ratio < 0.0 || self.retry.allowance < 0.0 {
            faults.add("retry", format!("{:?}", self.retry), "no negative numbers");
        }
    }
}

mod defaults {
    pub fn store_limit_ms() -> u64 {
        // Answers take some milliseconds; beyond this, asking a peer is faster.
        400
    }

    pub fn leaving_ms() -> u64 {
        // The shortest that is known of a platform.
        2000
    }

    pub fn catch_up_ms() -> u64 {
        // The shortest that is known of a platform.
        3000
    }

    pub fn evacuate_ms() -> u64 {
        grebedeck_gateway::evacuation::DEFAULT_EVACUATION_BOUND.as_millis() as u64
    }

    pub fn leave_ms() -> u64 {
        // The balancer asks each second and gives up after two misses.
        2300
    }

    pub fn engine_stall_ms() -> u64 {
        1500
    }

    pub fn max_callers() -> usize {
        3000
    }

    pub fn gateways() -> f64 {
        12.0
    }
}
