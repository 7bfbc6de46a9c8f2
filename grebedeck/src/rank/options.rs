//! Settings of a rank process.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use grebedeck_core::Faults;
use serde::{Deserialize, Serialize};

use crate::settings::Check;

/// Interval between reads of the engine while no plan is in progress.
pub const IDLE_POLL: Duration = Duration::from_millis(130);
/// Interval between reads of the engine while a plan is in progress: a fraction of a pass.
pub const BUSY_POLL: Duration = Duration::from_millis(20);
/// Interval between reads of the engine while its group forms, and between reads of its counts
/// until the group uses its first planned placement. Shorter than a pass, because streams run at
/// the skew of the initial placement until then.
pub const FORMING_POLL: Duration = Duration::from_millis(40);
/// Timeout of a call to an engine. A call usually takes a millisecond or two.
pub const ENGINE_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a rank of a small group sends its load; a gateway sends it one or two requests
/// in that time.
const LOAD_PERIOD: Duration = Duration::from_millis(125);
/// Minimum time between two loads that a gateway receives if it uses all ranks of a group. With
/// staler loads, requests wait behind others although slots are free elsewhere.
const MIN_LOAD_SPACING: Duration = Duration::from_millis(1);
/// Time for which a gateway receives the load after each request for it.
pub const WATCH_DURATION: Duration = Duration::from_millis(3500);
/// Pause between two reads of the target list or the configuration while something is missing.
pub const STORE_READ_PAUSE: Duration = Duration::from_millis(1000);
/// Maximum time for which a stopping process continues a plan that is in progress.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a rank of a group of this size sends its load.
pub fn load_period(ranks: u16) -> Duration {
    LOAD_PERIOD.max(MIN_LOAD_SPACING * u32::from(ranks))
}

/// Settings of a rank process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSettings {
    /// Name of the process.
    pub name: String,
    /// Data hall of the process.
    pub hall: String,
    /// Address of this instance.
    pub ip: IpAddr,
    /// Address of the target that the process runs beside.
    pub target_address: SocketAddr,
    /// Service of the target.
    pub service: String,
    /// Port on which the rank processes of all instances receive datagrams.
    pub group_port: u16,
    /// Address of the pages with its metrics and its state.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Maximum time without data from the store, before and within a response, in milliseconds.
    #[serde(default = "defaults::store_limit_ms")]
    pub store_limit_ms: u64,
    /// Conditions for a change of the placement.
    #[serde(default)]
    pub balance: BalanceSettings,
}

/// Conditions for a change of the placement.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceSettings {
    /// Interval between reads of the engine's token counts, in milliseconds.
    pub count_ms: u64,
    /// Interval between searches for a better placement, in milliseconds.
    pub plan_ms: u64,
    /// Minimum time between two changes, in milliseconds.
    pub pause_ms: u64,
    /// Load of the busiest rank relative to the mean above which the placement is changed.
    pub trigger_skew: f32,
    /// Load of the busiest rank relative to the mean at which the search for a better placement
    /// ends.
    pub target_skew: f32,
    /// Minimum gain in skew per copied expert.
    pub min_gain_per_copy: f32,
    /// Maximum time for which a rank copies weights for one placement, over all sets, in
    /// milliseconds; one expert is always allowed. All ranks wait for the one that copies most, and
    /// passes take longer meanwhile.
    pub copy_limit_ms: u64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        // A group far from its limits gains little from a lower skew, and copies have a cost.
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
