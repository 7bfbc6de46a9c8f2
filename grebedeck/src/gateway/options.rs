//! Settings and constants of a gateway.

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

/// Interval between removals of idle connections and lapsed targets: well below the two seconds
/// within which a lapsed target must be listed again.
pub const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(250);
/// First backoff after a failed call to the store.
pub const STORE_MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Minimum time that the store is asked to wait for a change of the list of targets, however short
/// the time to catch up is.
const MIN_STORE_WAIT: Duration = Duration::from_millis(100);
/// Timeout of connecting to a target: a few round trips between halls, and less than the second
/// after which a lost SYN is retransmitted.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum length of the head of a target's response.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// Maximum length of a response that is read completely before it is sent to the caller.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum length of an event in a resumable stream; an event contains a few tokens.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// How long a response waits for memory before it is abandoned. Targets cut off responses that stay
/// unread for some seconds.
pub const RESPONSE_MEMORY_WAIT: Duration = Duration::from_secs(1);
/// Retry time given to a caller if there is no memory for its body; the memory of slow callers has
/// been released by then.
pub const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Size of the socket buffers: receive buffers of connections to targets, send and receive buffers
/// of callers' connections. The kernel allocates twice as much. It holds about a hundred events, or
/// several complete responses; a target that sends more is blocked. Without a limit the kernel
/// buffers up to 6 MB per connection.
pub const SOCKET_BUFFER_BYTES: usize = 32 << 10;
/// Bytes read ahead from a caller while its request is served: a single read, as up to
/// `max_callers` callers may send at once.
pub const READ_AHEAD_BYTES: usize = 4 << 10;
/// Retry time given to callers while no target of a service is known; the list of targets is read
/// again within it.
pub const NO_TARGETS_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Minimum interval over which the retries of callers that found all slots taken are spread:
/// several forward passes, so that they do not all start in the same one.
pub const MIN_RETRY_SPREAD: Duration = Duration::from_millis(200);
/// Assumed time until a response while none has been observed.
pub const UNKNOWN_RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Consecutive failures after which a service counts as out: more than a single bad target causes.
pub const OUTAGE_FAILURES: u32 = 4;
/// How long a group's own report on whether it is open takes precedence over the outcomes of
/// requests: several intervals between the ranks' reports.
pub const GROUP_REPORT_LIFETIME: Duration = Duration::from_millis(500);
/// Interval between probes of a service that is out.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// Estimated remaining time of an outage that has lasted longer than expected.
pub const OVERDUE_ESTIMATE: Duration = Duration::from_millis(1000);
/// Time that a machine needs to start this process; an outage found at startup has lasted at least
/// this long.
pub const PROCESS_START_TIME: Duration = Duration::from_millis(600);
/// Requests are held for a service that is expected back within this time. For a shorter outage, a
/// caller that is told to retry loses more time than it saves.
pub const HOLD_LIMIT: Duration = Duration::from_millis(600);
/// Time beyond the expected end of an outage for which a request is held.
pub const HOLD_MARGIN: Duration = Duration::from_millis(800);
/// Fraction of its objective for which a request that will be late anyway waits, if less urgent
/// requests are refused before it. A refusal within that time costs the caller little.
pub const URGENT_WAIT_FRACTION: f64 = 0.25;
/// Maximum time for which a request is held for a service that is out. Callers abandon a stream
/// that is silent for two seconds.
pub const MAX_HOLD: Duration = Duration::from_millis(1800);
/// Interval between checks for a free slot while requests wait. Shorter pauses of a model's group
/// free capacity without any notification. A tenth of a forward pass, so that no pass runs with
/// unused capacity.
pub const SLOT_POLL_PERIOD: Duration = Duration::from_millis(10);
/// Minimum wait before the next check for a free slot.
pub const MIN_SLOT_WAIT: Duration = Duration::from_millis(1);
/// Fraction of a group's time that may be spent on reading prompts. Skew takes half of it while
/// experts are not placed well. Twice the usual number of arrivals fits.
pub const PROMPT_FRACTION: f64 = 0.15;
/// Burst of prompts that may start at once, as time at the limited rate, so that usual arrivals do
/// not wait for each other.
pub const PROMPT_BURST: Duration = Duration::from_millis(100);
/// Subset of a service's targets that a gateway uses. The subset includes some ranks of a group
/// that has a twelfth of the service's targets, so the gateway knows whether that group is open.
/// Three targets are drawn for each request.
const SUBSET: SubsetOptions = SubsetOptions { size: 64, in_other_halls: 16 };
/// Interval between subscriptions to the ranks' load reports.
pub const SUBSCRIBE_PERIOD: Duration = Duration::from_millis(1000);
/// Interval between subscriptions until the first report arrives, such as at startup.
pub const FIRST_SUBSCRIBE_PERIOD: Duration = Duration::from_millis(50);
/// How long requests for a model wait at startup for a rank to report whether its group is open: a
/// few [`FIRST_SUBSCRIBE_PERIOD`]s. Without processes beside the ranks no report ever arrives, and
/// requests are sent after this time.
pub const FIRST_REPORT_WAIT: Duration = Duration::from_millis(250);
/// Interval over which the retries of refused callers are spread. Twice the usual arrivals during
/// an outage would fill a group at once.
pub const RETRY_SPREAD: Duration = Duration::from_millis(800);
/// Time after the expected return of a model's group at which callers are told to retry. Its
/// experts are in their initial layout, and until its first placement is in use the group can serve
/// half of the usual requests.
pub const PLACEMENT_LAG: Duration = Duration::from_millis(600);
/// Retry time given to callers while all targets of a service are in evacuated halls. Operators
/// reopen a hall after some seconds at the earliest.
pub const EVACUATED_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// How long a request is held at startup until the configuration is known.
pub const CONFIGURATION_WAIT: Duration = Duration::from_millis(300);
/// How much later than requested the store may respond before it counts as unavailable: more than a
/// response takes when the store is slow.
const STORE_GRACE: Duration = Duration::from_millis(600);
/// Remaining time below which a request is no longer sent to a target.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// Maximum fraction of the memory for buffered bodies and responses. The process itself takes some
/// 10 MB when idle, of 112 MB on the smallest machine.
const MAX_KEPT_FRACTION: f64 = 0.75;

/// Settings of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the process.
    pub name: String,
    /// Data hall of the instance.
    pub hall: String,
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Address of the readiness check for the platform's balancer.
    pub ready_address: SocketAddr,
    /// Address for requests of other grebedeck processes.
    pub peer_address: SocketAddr,
    /// IP address of this instance.
    pub ip: IpAddr,
    /// UDP port on which the processes of all instances receive datagrams.
    pub group_port: u16,
    /// Address of the metrics and the state dump.
    pub metrics_address: SocketAddr,
    /// Other gateways to ask while the store is unavailable; some may no longer exist.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// How long the store may be silent beyond the requested wait, before a response and within it.
    #[serde(default = "defaults::store_limit_ms")]
    pub store_limit_ms: u64,
    /// How long a target keeps running after it has announced that it is leaving.
    #[serde(default = "defaults::leaving_ms")]
    pub leaving_ms: u64,
    /// Time after a failure of the store within which the process must have caught up with it.
    #[serde(default = "defaults::catch_up_ms")]
    pub catch_up_ms: u64,
    /// Time after the operators' request from which nothing new may reach an evacuated hall.
    #[serde(default = "defaults::evacuate_ms")]
    pub evacuate_ms: u64,
    /// Maximum time from a signal to stop until the process ends.
    pub stop_limit_ms: u64,
    /// How long the platform's balancer may keep sending connections to a process that is not
    /// ready.
    #[serde(default = "defaults::leave_ms")]
    pub leave_ms: u64,
    /// Retry budget.
    pub retry: RetrySettings,
    /// How long a model's engines wait for a lost rank before they refuse requests.
    #[serde(default = "defaults::engine_stall_ms")]
    pub engine_stall_ms: u64,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: usize,
    /// Rate of the instance's network link, in megabits per second; 0 if unknown. A gateway with a
    /// fast link reads the store for others.
    #[serde(default)]
    pub link_mbps: f64,
    /// Fractions of `memory_mb` for bodies and responses that are buffered until they are read.
    #[serde(default)]
    pub kept: KeptSettings,
    /// Maximum number of callers' connections.
    #[serde(default = "defaults::max_callers")]
    pub max_callers: usize,
    /// Maximum load of targets.
    #[serde(default)]
    pub load: LoadSettings,
    /// Mechanisms to disable, so that their effect can be measured.
    #[serde(default)]
    pub without: Vec<Mechanism>,
}

/// Retry budget of each service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries per request of a service, of all gateways together.
    pub ratio: f64,
    /// Length of the window in which requests and retries are counted, in seconds.
    pub window_s: f64,
    /// Retries per window on top of the ratio, of all gateways together.
    pub allowance: f64,
    /// Minimum number of gateways among which the allowance is divided, with some spare for
    /// replaced ones; if more are known, it is divided among those.
    #[serde(default = "defaults::gateways")]
    pub gateways: f64,
}

/// Maximum load of targets, in requests per slot.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// For a model's ranks: requests that wait there only make the whole group's passes longer.
    pub model: f64,
    /// For plain targets, where some requests may wait for a short time.
    pub plain: f64,
    /// Mean deviations by which a model's mean pause is kept below the longest desired one.
    pub pause_deviations: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        LoadSettings { model: 1.0, plain: 2.0, pause_deviations: 2.0 }
    }
}

/// Fractions of a process's memory for buffered bodies and responses.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeptSettings {
    /// For request bodies, until the targets have read them.
    pub bodies: f64,
    /// For responses, until the callers have read them.
    pub answers: f64,
}

impl Default for KeptSettings {
    fn default() -> Self {
        // The other half is for the process itself and for the socket buffers.
        KeptSettings { bodies: 0.25, answers: 0.25 }
    }
}

impl GatewaySettings {
    /// Size of a fraction of the process's memory, in bytes.
    pub fn memory_bytes(&self, fraction: f64) -> usize {
        ((self.memory_mb << 20) as f64 * fraction) as usize
    }

    /// Whether a mechanism is enabled.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    /// Which subset of each service's targets the gateway uses.
    pub fn subset_view(&self) -> SubsetView {
        SubsetView { process: self.name.clone(), hall: self.hall.clone(), options: SUBSET }
    }

    /// Options for the choice of targets.
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

    /// Names of the settings that differ from `others` and take effect only after a restart.
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
    /// Age of the store's last response from which the store counts as unavailable. An available
    /// store responds at least after each wait for a change of the configuration.
    pub fn max_store_silence(&self) -> Duration {
        self.store_wait() + STORE_GRACE
    }

    /// How long the store is asked to wait for a change. If a response is lost, the watch waits for
    /// this long, so a third of the time to catch up remains for the next call.
    pub fn store_wait(&self) -> Duration {
        millis(self.catch_up_ms) * 2 / 3
    }

    /// How long the store is asked to wait for a change of the list of targets. If a response is
    /// lost, the pause before the watch, the watch and the next read fit into the time to catch up.
    pub fn targets_wait(&self) -> Duration {
        let timeouts = millis(self.store_limit_ms) * 2;
        let pauses = self.targets_poll_interval() + STORE_MIN_BACKOFF;
        let left = millis(self.catch_up_ms).saturating_sub(timeouts + pauses);

        left.min(self.store_wait()).max(MIN_STORE_WAIT)
    }

    /// How long a relay lets its followers wait for changes by operators, and itself waits for the
    /// store. A relay that the store has stopped answering is thus noticed, and another one asked,
    /// within half of the time to catch up.
    pub fn operator_relay_wait(&self) -> Duration {
        millis(self.catch_up_ms) / 3
    }

    /// How long a relay lets its followers wait for changes of the list of targets, and itself
    /// waits for the store. Together with the pause between two reads that is half of the time for
    /// which a target keeps running after it has announced that it is leaving.
    pub fn targets_relay_wait(&self) -> Duration {
        millis(self.leaving_ms) / 4
    }

    /// Age from which a relay no longer passes on its state, as its next call to the store should
    /// have ended by then.
    pub fn max_relay_age(&self) -> Duration {
        self.store_wait() + self.targets_poll_interval() + STORE_GRACE
    }

    /// Pause between two reads of the list of targets, which heartbeats change all the time. A
    /// target that is leaving is noticed within a quarter of the time for which it keeps running.
    /// Reading more often has no use, and the cost of the calls adds up.
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
        // Responses take some milliseconds; after this time, asking a peer is faster.
        400
    }

    pub fn leaving_ms() -> u64 {
        // The shortest time of any known platform.
        2000
    }

    pub fn catch_up_ms() -> u64 {
        // The shortest time of any known platform.
        3000
    }

    pub fn evacuate_ms() -> u64 {
        grebedeck_gateway::evacuation::DEFAULT_EVACUATION_BOUND.as_millis() as u64
    }

    pub fn leave_ms() -> u64 {
        // The balancer checks every second and stops sending after two failed checks.
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
