//! Settings of a rank process.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use grebedeck_core::Faults;
use serde::{Deserialize, Serialize};

use crate::settings::Check;

/// How often the engine is read while no plan is under way.
pub const IDLE_POLL: Duration = Duration::from_millis(130);
/// How often the engine is read while a plan is under way: a fraction of a pass.
pub const BUSY_POLL: Duration = Duration::from_millis(20);
/// How often the engine is read while its group forms, and chosen experts are counted until the first placement of a
/// group is in use: less than a pass, as streams run at the skew of the dealt experts until then.
pub const OPENING_POLL: Duration = Duration::from_millis(40);
/// How long a call to an engine may take before it counts as unanswered; usually it takes a
/// millisecond or two.
pub const ENGINE_LIMIT: Duration = Duration::from_millis(150);
/// How often a rank of a small group tells its load: gateways send a request or two to it meanwhile.
const LOAD_PERIOD: Duration = Duration::from_millis(125);
/// Least time between two loads that a gateway hears, where it deals with all ranks of a group. Older loads leave requests
/// waiting behind others while places are free.
const LOAD_SPACING: Duration = Duration::from_millis(1);
/// How long a gateway is told the load after it asked.
pub const WATCH_LIFETIME: Duration = Duration::from_millis(3500);
/// Pause between two readings of the list of targets while some nodes are not known.
pub const LIST_PAUSE: Duration = Duration::from_millis(1000);
/// Longest time that a stopping process goes on with a plan that is under way.
pub const STOP_LIMIT: Duration = Duration::from_secs(2);

/// Gets how often a rank of a group of this size tells its load.
pub fn load_period(ranks: u16) -> Duration {
    LOAD_PERIOD.max(LOAD_SPACING * u32::from(ranks))
}

/// Settings of a rank process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSettings {
    /// The process's name.
    pub name: String,
    /// The data hall that it stands in.
    pub hall: String,
    /// The address of this instance.
    pub ip: IpAddr,
    /// The target beside which it stands.
    pub target_address: SocketAddr,
    /// The target's service.
    pub service: String,
    /// The port on which the rank processes of all instances take datagrams.
    pub group_port: u16,
    /// Where it shows its metrics and its state.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// How long the store may be silent, before an answer and within it.
    #[serde(default = "defaults::store_limit_ms")]
    pub store_limit_ms: u64,
    /// When placements are changed.
    #[serde(default)]
    pub balance: BalanceSettings,
}

/// When placements are changed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceSettings {
    /// How often chosen experts are counted.
    pub count_ms: u64,
    /// How often a new placement is considered.
    pub plan_ms: u64,
    /// Least time between two changes.
    pub pause_ms: u64,
    /// Load of the busiest rank, relative to the mean, above which the placement is changed.
    pub trigger_skew: f32,
    /// Load of the busiest rank, relative to the mean, that is good enough.
    pub target_skew: f32,
    /// Least gain in skew that is worth the copy of one expert.
    pub min_gain_per_copy: f32,
    /// How long a rank may copy for one placement, over all sets; one expert is always allowed. All ranks
    /// wait for the one that copies most, and passes are longer meanwhile.
    pub copy_limit_ms: u64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        // A group that is far from its limits gains little from a lower skew, and copies cost.
        BalanceSettings {
            count_ms: 150,
            plan_ms: 50,
            pause_ms: 300,
            trigger_skew: 2.0,
            target_skew: 1.4,
            min_gain_per_copy: 0.05,
            copy_limit_ms: 40,
        }
    }
}

impl Check for RankSettings {
    fn check(&self, faults: &mut Faults) {
        if self.name.is_empty() {
            faults.add("name", "", "a name");
        }

        if self.group_port == 0 {
            faults.add("group_port", "0", "a port that all instances share");
        }

        for (field, value) in [
            ("store_limit_ms", self.store_limit_ms),
            ("balance.count_ms", self.balance.count_ms),
            ("balance.plan_ms", self.balance.plan_ms),
            ("balance.copy_limit_ms", self.balance.copy_limit_ms),
        ] {
            if value == 0 {
                faults.add(field, "0", "at least 1");
            }
        }

        for (field, value) in [
            ("balance.trigger_skew", self.balance.trigger_skew),
            ("balance.target_skew", self.balance.target_skew),
        ] {
            if value.is_nan() || value < 1.0 {
                faults.add(field, value.to_string(), "at least 1");
            }
        }
    }
}

mod defaults {
    pub fn store_limit_ms() -> u64 {
        400
    }
}
