//! Rate at which slots are granted to waiting requests.
//!
//! The queue estimates waiting times from this rate under overload. Only time during which requests
//! waited counts: without a backlog, the grants reflect the demand and not the capacity.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use grebedeck_core::Moment;

use crate::queue::Urgency;

/// Time constant of the exponential decay, after which a count is worth about a third. The capacity
/// of a model's rank group changes within seconds.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Backlogged time required for an estimate: several forward passes of a rank group, each of which
/// frees slots.
const MIN_BACKLOGGED: Duration = Duration::from_millis(200);
/// Grants required for an estimate: where requests take seconds, a short observation is not
/// conclusive.
const MIN_GRANTS: f64 = 3.0;

/// Decayed counts of granted slots by urgency, and of the time with a backlog.
#[derive(Clone, Debug, Default)]
pub struct GrantRate {
    grants: BTreeMap<Urgency, f64>,
    backlogged_s: f64,
    updated_at: Moment,
}

impl GrantRate {
    /// Advances the time; `has_waiting` tells whether requests have waited since the last call.
    pub fn advance(&mut self, has_waiting: bool, now: Moment) {
        let passed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let factor = (-passed_s / DECAY_TIME.as_secs_f64()).exp();
        self.backlogged_s *= factor;

        if has_waiting {
            self.backlogged_s += DECAY_TIME.as_secs_f64() * (1.0 - factor);
        }

        for grants in self.grants.values_mut() {
            *grants *= factor;
        }

        self.grants.retain(|_, grants| *grants > 1e-3);
    }

    /// Records a slot granted to a request that had waited.
    pub fn record_grant(&mut self, urgency: Urgency) {
        *self.grants.entry(urgency).or_default() += 1.0;
    }

    /// Returns the recent grant rate; `None` if there are too few observations.
    pub fn grants_per_s(&self) -> Option<f64> {
        self.per_second(self.total())
    }

    /// Returns the recent grant rate of an urgency; `None` if there are too few observations.
    pub fn grants_per_s_of(&self, urgency: Urgency) -> Option<f64> {
        self.per_second(self.grants.get(&urgency).copied().unwrap_or_default())
    }

    /// Returns the fraction of recent grants that went to requests less urgent than `urgency`.
    pub fn fraction_behind(&self, urgency: Urgency) -> f64 {
        let behind = (Bound::Excluded(urgency), Bound::Unbounded);
        let grants: f64 = self.grants.range(behind).map(|(_, grants)| grants).sum();

        grants / self.total().max(f64::MIN_POSITIVE)
    }

    fn per_second(&self, grants: f64) -> Option<f64> {
        let is_known =
            self.backlogged_s >= MIN_BACKLOGGED.as_secs_f64() && self.total() >= MIN_GRANTS;

        is_known.then(|| grants / self.backlogged_s)
    }

    fn total(&self) -> f64 {
        self.grants.values().sum()
    }
}
