//! How fast places are given while requests wait for them.
//!
//! It answers a load beyond the room: from the rate follows how long those at the end of a queue would wait. Only time in
//! which somebody waited counts, as places that were given when there was room tell how many asked, and not how much
//! room there is.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use grebedeck_core::Moment;

use crate::queue::Urgency;

/// Time after which what was seen is worth a third: the room of a model's group changes within seconds.
const MEMORY: Duration = Duration::from_secs(2);
/// Time with somebody waiting before a rate is told: some passes of a group, in each of which places become free.
const LEAST_SEEN: Duration = Duration::from_millis(200);
/// Places given before a rate is told: of a service whose requests take seconds nothing follows from some moments.
const LEAST_GIVEN: f64 = 3.0;

/// Places given, by urgency, and the time in which somebody waited for them.
#[derive(Clone, Debug, Default)]
pub struct GrantRate {
    given: BTreeMap<Urgency, f64>,
    waited_s: f64,
    at: Moment,
}

impl GrantRate {
    /// Notes the time that has passed; `is_waited_for` tells whether somebody has waited since the last call.
    pub fn advance(&mut self, is_waited_for: bool, now: Moment) {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let factor = (-passed_s / MEMORY.as_secs_f64()).exp();
        self.waited_s *= factor;

        if is_waited_for {
            self.waited_s += MEMORY.as_secs_f64() * (1.0 - factor);
        }

        for given in self.given.values_mut() {
            *given *= factor;
        }

        self.given.retain(|_, given| *given > 1e-3);
    }

    /// Notes that a place was given to a request that had waited.
    pub fn record_grant(&mut self, urgency: Urgency) {
        *self.given.entry(urgency).or_default() += 1.0;
    }

    /// Gets the places that are given in a second, where that was seen lately.
    pub fn grants_per_s(&self) -> Option<f64> {
        self.per_second(self.all())
    }

    /// Gets the places that are given to an urgency in a second, where that was seen lately.
    pub fn grants_per_s_of(&self, urgency: Urgency) -> Option<f64> {
        self.per_second(self.given.get(&urgency).copied().unwrap_or_default())
    }

    /// Gets the part of the places that lately went to those less urgent than `urgency`.
    pub fn fraction_behind(&self, urgency: Urgency) -> f64 {
        let behind = (Bound::Excluded(urgency), Bound::Unbounded);
        let given: f64 = self.given.range(behind).map(|(_, given)| given).sum();

        given / self.all().max(f64::MIN_POSITIVE)
    }

    fn per_second(&self, given: f64) -> Option<f64> {
        let is_known = self.waited_s >= LEAST_SEEN.as_secs_f64() && self.all() >= LEAST_GIVEN;

        is_known.then(|| given / self.waited_s)
    }

    fn all(&self) -> f64 {
        self.given.values().sum()
    }
}
