//! Settings of the processes, in JSON, checked whole before anything starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use grebedeck_core::{Faults, Incarnation};
use grebedeck_net::platform::{Instance, InstanceState, Role};
use serde::{Deserialize, Serialize};

/// Settings that every process has.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommonSettings {
    /// The process's name; an agent has the name of its target.
    pub name: String,
    /// The data hall that it stands in.
    pub hall: String,
    /// Where it takes streams from its peers.
    pub peer_address: SocketAddr,
    /// Where it answers operators.
    pub operator_address: SocketAddr,
    /// The platform's table service.
    pub table_address: SocketAddr,
    /// The platform's list of instances.
    pub instances_address: SocketAddr,
    /// How long a call to the platform may take.
    #[serde(default = "defaults::platform_limit_ms")]
    pub platform_limit_ms: u64,
    /// How often the table's head is read, by all processes of the fleet together.
    #[serde(default = "defaults::fleet_reads_per_s")]
    pub fleet_reads_per_s: f64,
    /// How often peers exchange their revisions.
    #[serde(default = "defaults::heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// How many peers a process exchanges its revision with.
    #[serde(default = "defaults::peers")]
    pub peers: usize,
    /// Peers to ask while the list of instances cannot be read, such as in a cut-off site.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// How long work in flight may go on after a signal to stop.
    #[serde(default = "defaults::drain_limit_ms")]
    pub drain_limit_ms: u64,
}

/// Settings of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// What every process has.
    pub common: CommonSettings,
    /// Where it takes callers' requests.
    pub caller_address: SocketAddr,
    /// Most requests in flight.
    #[serde(default = "defaults::entry_in_flight")]
    pub max_in_flight: usize,
    /// Most callers' connections.
    #[serde(default = "defaults::max_connections")]
    pub max_connections: usize,
    /// Largest request body.
    #[serde(default = "defaults::max_body_bytes")]
    pub max_body_bytes: usize,
    /// Bytes of request bodies that may be held in memory together.
    #[serde(default = "defaults::max_buffered_bytes")]
    pub max_buffered_bytes: usize,
    /// How long a request's body may take to arrive.
    #[serde(default = "defaults::body_limit_ms")]
    pub body_limit_ms: u64,
    /// How long the head of an answer may take, where the caller sets no deadline.
    #[serde(default = "defaults::answer_limit_ms")]
    pub answer_limit_ms: u64,
    /// How long a connection to an agent may take to be made.
    #[serde(default = "defaults::connect_limit_ms")]
    pub connect_limit_ms: u64,
    /// Most targets of one service that the entry spreads its requests over.
    #[serde(default = "defaults::subset_targets")]
    pub subset_targets: usize,
    /// Time that a revision may take until it is in force everywhere, with the skew of clocks.
    #[serde(default = "defaults::spread_limit_ms")]
    pub spread_limit_ms: u64,
}

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// What every process has.
    pub common: CommonSettings,
    /// The target's own address.
    pub target_address: SocketAddr,
    /// The engine's control interface, for a rank of a group.
    #[serde(default)]
    pub engine_address: Option<SocketAddr>,
    /// Requests that the target runs at the same time.
    #[serde(default = "defaults::places")]
    pub places: usize,
    /// Most requests in flight on the target, with those that wait in it.
    #[serde(default = "defaults::target_in_flight")]
    pub max_in_flight: usize,
    /// Largest request body.
    #[serde(default = "defaults::max_body_bytes")]
    pub max_body_bytes: usize,
    /// How long a used key is remembered.
    #[serde(default = "defaults::key_memory_ms")]
    pub key_memory_ms: u64,
    /// Most keys remembered.
    #[serde(default = "defaults::max_keys")]
    pub max_keys: usize,
    /// Most that two processes' wall clocks may differ.
    #[serde(default = "defaults::clock_margin_ms")]
    pub clock_margin_ms: u64,
    /// How a group weighs step time against the cost of moving weights.
    #[serde(default)]
    pub balance: BalanceSettings,
}

/// How a group weighs step time against the cost of moving weights.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalanceSettings {
    /// Weight of step time.
    #[serde(default = "defaults::skew_weight")]
    pub skew_weight: f32,
    /// Weight of moved weights and of switches.
    #[serde(default = "defaults::cost_weight")]
    pub cost_weight: f32,
    /// Time to load one expert of one layer.
    #[serde(default = "defaults::move_cost_ms")]
    pub move_cost_ms: f32,
    /// Time that a layer's tokens would take on a single rank.
    #[serde(default = "defaults::layer_work_ms")]
    pub layer_work_ms: f32,
    /// How often the engine's counters are read.
    #[serde(default = "defaults::counts_ms")]
    pub counts_ms: u64,
    /// How often a new map is considered.
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

/// Settings that can be checked as a whole.
pub trait Check {
    /// Adds every fault.
    fn check(&self, faults: &mut Faults);
}

impl CommonSettings {
    /// Gets the process as the platform would list it while it is live.
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

/// Parses settings and checks them whole.
pub fn parse<S: for<'a> Deserialize<'a> + Check>(text: &str) -> Result<S, Faults> {
    let mut faults = Faults::default();

    match serde_json::from_str::<S>(text) {
        Ok(settings) => {
            settings.check(&mut faults);
            faults.into_result(settings)
        }
        Err(error) => {
            let place = format!("line {}, column {}", error.line(), error.column());
            faults.add(place, "", error.to_string());
            Err(faults)
        }
    }
}

/// Reads and parses a settings file.
pub fn read<S: for<'a> Deserialize<'a> + Check>(path: &Path) -> anyhow::Result<S> {
    let text =
        std::fs::read_to_string(path).map_err(|e| anyhow::anyhow!("{}: {e}", path.display()))?;

    parse(&text).map_err(|faults| anyhow::anyhow!("{}:\n{faults}", path.display()))
}

/// Gets a duration from a setting in milliseconds.
pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
