//! Settings of entries and agents, in JSON. A settings file is checked completely before the
//! process starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use grebedeck_core::{Faults, Incarnation};
use grebedeck_net::platform::{Instance, InstanceState, Role};
use serde::{Deserialize, Serialize};

/// Settings that entries and agents share.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommonSettings {
    /// Name of the process; an agent has the name of its target.
    pub name: String,
    /// Data hall of the process.
    pub hall: String,
    /// Address for streams from peers.
    pub peer_address: SocketAddr,
    /// Address of the operator port.
    pub operator_address: SocketAddr,
    /// Address of the platform's table service.
    pub table_address: SocketAddr,
    /// Address of the platform's list of instances.
    pub instances_address: SocketAddr,
    /// Timeout of a call to the platform.
    #[serde(default = "defaults::platform_limit_ms")]
    pub platform_limit_ms: u64,
    /// Reads of the table's head per second, by all processes of the fleet together.
    #[serde(default = "defaults::fleet_reads_per_s")]
    pub fleet_reads_per_s: f64,
    /// Interval at which peers exchange their revisions.
    #[serde(default = "defaults::heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Number of peers with which a process exchanges its revision.
    #[serde(default = "defaults::peers")]
    pub peers: usize,
    /// Peers to use while the list of instances cannot be read, such as in a partitioned site.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// How long work in flight may continue after a signal to stop.
    #[serde(default = "defaults::drain_limit_ms")]
    pub drain_limit_ms: u64,
}

/// Settings of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings that entries and agents share.
    pub common: CommonSettings,
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Maximum number of requests in flight.
    #[serde(default = "defaults::entry_in_flight")]
    pub max_in_flight: usize,
    /// Maximum number of callers' connections.
    #[serde(default = "defaults::max_connections")]
    pub max_connections: usize,
    /// Maximum size of a request body.
    #[serde(default = "defaults::max_body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum total size of the request bodies in memory.
    #[serde(default = "defaults::max_buffered_bytes")]
    pub max_buffered_bytes: usize,
    /// Timeout of receiving a request's body.
    #[serde(default = "defaults::body_limit_ms")]
    pub body_limit_ms: u64,
    /// Timeout of the head of an answer if the caller sets no deadline.
    #[serde(default = "defaults::answer_limit_ms")]
    pub answer_limit_ms: u64,
    /// Timeout of connecting to an agent.
    #[serde(default = "defaults::connect_limit_ms")]
    pub connect_limit_ms: u64,
    /// Maximum number of targets of a service among which the entry distributes its requests.
    #[serde(default = "defaults::subset_targets")]
    pub subset_targets: usize,
    /// Maximum time until a revision is in force everywhere, including clock skew.
    #[serde(default = "defaults::spread_limit_ms")]
    pub spread_limit_ms: u64,
}

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Settings that entries and agents share.
    pub common: CommonSettings,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Control interface of the engine, for a rank of a group.
    #[serde(default)]
    pub engine_address: Option<SocketAddr>,
    /// Slots of the target: requests that it runs at the same time.
    #[serde(default = "defaults::places")]
    pub places: usize,
    /// Maximum number of requests in flight on the target, including those waiting there.
    #[serde(default = "defaults::target_in_flight")]
    pub max_in_flight: usize,
    /// Maximum size of a request body.
    #[serde(default = "defaults::max_body_bytes")]
    pub max_body_bytes: usize,
    /// How long a used idempotency key is remembered.
    #[serde(default = "defaults::key_memory_ms")]
    pub key_memory_ms: u64,
    /// Maximum number of remembered keys.
    #[serde(default = "defaults::max_keys")]
    pub max_keys: usize,
    /// Maximum difference between the wall clocks of two processes.
    #[serde(default = "defaults::clock_margin_ms")]
    pub clock_margin_ms: u64,
    /// Balancing of a group's experts.
    #[serde(default)]
    pub balance: BalanceSettings,
}

/// Trade-off between a group's step time and the cost of moving expert weights.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalanceSettings {
    /// Weight of the step time.
    #[serde(default = "defaults::skew_weight")]
    pub skew_weight: f32,
    /// Weight of the cost of moving experts and switching maps.
    #[serde(default = "defaults::cost_weight")]
    pub cost_weight: f32,
    /// Time to load one expert of one layer.
    #[serde(default = "defaults::move_cost_ms")]
    pub move_cost_ms: f32,
    /// Time that a layer's tokens would take on a single rank.
    #[serde(default = "defaults::layer_work_ms")]
    pub layer_work_ms: f32,
    /// Interval at which the engine's counters are read.
    #[serde(default = "defaults::counts_ms")]
    pub counts_ms: u64,
    /// Interval at which a new map is considered.
    #[serde(default = "defaults::plan_ms")]
    pub plan_ms: u64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        BalanceSettings {
            skew_weight: defaults::skew_weight(),
            cost_weight: defaults::cost_weight(),
            move_cost_ms: defaults::move_cost_ms(),
            layer_work_ms: defaults::layer_work_ms(),
            counts_ms: defaults::counts_ms(),
            plan_ms: defaults::plan_ms(),
        }
    }
}

mod defaults {
    pub fn platform_limit_ms() -> u64 {
        2_000
    }
    pub fn fleet_reads_per_s() -> f64 {
        20.0
    }
    pub fn heartbeat_ms() -> u64 {
        1_000
    }
    pub fn peers() -> usize {
        4
    }
    pub fn drain_limit_ms() -> u64 {
        600_000
    }
    pub fn entry_in_flight() -> usize {
        4_096
    }
    pub fn max_connections() -> usize {
        8_192
    }
    pub fn max_body_bytes() -> usize {
        4 << 20
    }
    pub fn max_buffered_bytes() -> usize {
        256 << 20
    }
    pub fn body_limit_ms() -> u64 {
        30_000
    }
    pub fn answer_limit_ms() -> u64 {
        120_000
    }
    pub fn connect_limit_ms() -> u64 {
        500
    }
    pub fn subset_targets() -> usize {
        24
    }
    pub fn spread_limit_ms() -> u64 {
        20_000
    }
    pub fn places() -> usize {
        32
    }
    pub fn target_in_flight() -> usize {
        64
    }
    pub fn key_memory_ms() -> u64 {
        24 * 3_600_000
    }
    pub fn max_keys() -> usize {
        200_000
    }
    pub fn clock_margin_ms() -> u64 {
        2_000
    }
    pub fn skew_weight() -> f32 {
        3.0
    }
    pub fn cost_weight() -> f32 {
        1.0
    }
    pub fn move_cost_ms() -> f32 {
        44.0
    }
    pub fn layer_work_ms() -> f32 {
        48.0
    }
    pub fn counts_ms() -> u64 {
        1_000
    }
    pub fn plan_ms() -> u64 {
        2_000
    }
}

/// Validation of settings.
pub trait Check {
    /// Adds every fault to `faults`.
    fn check(&self, faults: &mut Faults);
}

impl CommonSettings {
    /// Entry of the process in the platform's list while it is live.
    pub fn instance(&self, role: Role, incarnation: Incarnation) -> Instance {
        Instance {
            name: self.name.clone(),
            role,
            hall: self.hall.clone(),
            peer_address: self.peer_address,
            incarnation,
            state: InstanceState::Live,
        }
    }
}

impl Check for CommonSettings {
    fn check(&self, faults: &mut Faults) {
        for (field, value) in [("common.name", &self.name), ("common.hall", &self.hall)] {
            if value.is_empty() || !grebedeck_config::label::is_label_text(value) {
                faults.add(field, value, "1 to 63 letters, digits or `-_./`");
            }
        }

        at_least("common.platform_limit_ms", self.platform_limit_ms, 10, faults);
        at_least("common.heartbeat_ms", self.heartbeat_ms, 10, faults);
        at_least("common.peers", self.peers as u64, 1, faults);

        if !(self.fleet_reads_per_s > 0.0 && self.fleet_reads_per_s <= 2_000.0) {
            let value = self.fleet_reads_per_s.to_string();
            faults.add("common.fleet_reads_per_s", value, "more than 0 and at most 2000");
        }
    }
}

impl Check for EntrySettings {
    fn check(&self, faults: &mut Faults) {
        self.common.check(faults);

        at_least("max_in_flight", self.max_in_flight as u64, 1, faults);
        at_least("max_connections", self.max_connections as u64, 1, faults);
        at_least("max_body_bytes", self.max_body_bytes as u64, 1, faults);
        at_least(
            "max_buffered_bytes",
            self.max_buffered_bytes as u64,
            self.max_body_bytes as u64,
            faults,
        );
        at_least("body_limit_ms", self.body_limit_ms, 1, faults);
        at_least("answer_limit_ms", self.answer_limit_ms, 1, faults);
        at_least("connect_limit_ms", self.connect_limit_ms, 1, faults);
        at_least("subset_targets", self.subset_targets as u64, 1, faults);
    }
}

impl Check for AgentSettings {
    fn check(&self, faults: &mut Faults) {
        self.common.check(faults);

        at_least("places", self.places as u64, 1, faults);
        at_least("max_in_flight", self.max_in_flight as u64, self.places as u64, faults);
        at_least("max_body_bytes", self.max_body_bytes as u64, 1, faults);
        at_least("max_keys", self.max_keys as u64, 1, faults);
        at_least("balance.counts_ms", self.balance.counts_ms, 10, faults);
        at_least("balance.plan_ms", self.balance.plan_ms, 10, faults);

        for (field, value) in [
            ("balance.skew_weight", self.balance.skew_weight),
            ("balance.cost_weight", self.balance.cost_weight),
            ("balance.move_cost_ms", self.balance.move_cost_ms),
            ("balance.layer_work_ms", self.balance.layer_work_ms),
        ] {
            if !value.is_finite() || value < 0.0 {
                faults.add(field, value.to_string(), "a number of at least 0");
            }
        }
    }
}

fn at_least(field: &str, value: u64, least: u64, faults: &mut Faults) {
    if value < least {
        faults.add(field, value.to_string(), format!("at least {least}"));
    }
}

/// Parses settings and checks them; returns either the settings or all faults.
pub fn parse<S: for<'a> Deserialize<'a> + Check>(text: &str) -> Result<S, Faults> {
    let mut faults = Faults::default();

    match serde_json::from_str::<S>(text) {
        Ok(settings) => {
            settings.check(&mut faults);
            faults.into_result(settings)
        }
        Err(error) => {
            let position = format!("line {}, column {}", error.line(), error.column());
            faults.add(position, "", error.to_string());
            Err(faults)
        }
    }
}

/// Reads, parses and checks a settings file.
pub fn read<S: for<'a> Deserialize<'a> + Check>(path: &Path) -> anyhow::Result<S> {
    let text =
        std::fs::read_to_string(path).map_err(|e| anyhow::anyhow!("{}: {e}", path.display()))?;

    parse(&text).map_err(|faults| anyhow::anyhow!("{}:\n{faults}", path.display()))
}

/// Converts a setting in milliseconds.
pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
