//! Guaranteed share of the less urgent requests.
//!
//! Under sustained overload, a strict order by urgency would starve the least urgent requests. The
//! arrivals and grants of each urgency are counted with exponential decay. An urgency whose served
//! fraction falls below [`MIN_SHARE`] times that of all requests comes first until it has caught
//! up.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck_core::Moment;

use crate::queue::Urgency;

/// Minimum served fraction of an urgency, relative to the served fraction of all requests.
///
/// Operators consider a kind of request starved below a served fraction of 0.25, and each kind has
/// to earn 0.3 to 0.5 of its value, nearly all of which is for responses in time. With capacity for
/// two thirds of the load, this share serves a third of an urgency's requests; with capacity for
/// nearly all, it excludes no urgency. A larger share would be at the expense of more urgent
/// requests.
pub const MIN_SHARE: f64 = 0.5;
/// Time constant of the exponential decay, after which a count is worth about a third.
///
/// Several times the longest wait, so that a burst of a second does not count as starvation, and
/// short compared with the minutes after which callers complain.
pub const DECAY_TIME: Duration = Duration::from_secs(5);
/// Minimum (decayed) number of requests for a conclusion about an urgency.
const MIN_REQUESTS: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requested: f64,
    served: f64,
}

impl Count {
    fn served_fraction(self) -> f64 {
        self.served / self.requested.max(f64::MIN_POSITIVE)
    }
}

/// Recent arrivals and grants, by urgency.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    counts: BTreeMap<Urgency, Count>,
    updated_at: Moment,
}

impl Shares {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, urgency: Urgency, now: Moment) {
        self.decay(now);
        self.counts.entry(urgency).or_default().requested += 1.0;
    }

    /// Records that a request got a slot.
    pub fn record_served(&mut self, urgency: Urgency, now: Moment) {
        self.decay(now);
        self.counts.entry(urgency).or_default().served += 1.0;
    }

    /// Returns how far the served fraction of an urgency is below its share, or 0 if it is not.
    pub fn shortfall(&self, urgency: Urgency) -> f64 {
        let count = self.counts.get(&urgency).copied().unwrap_or_default();

        if count.requested < MIN_REQUESTS {
            return 0.0;
        }

        let min_fraction = MIN_SHARE * self.total().served_fraction();

        (min_fraction - count.served_fraction()).max(0.0)
    }

    fn total(&self) -> Count {
        let add = |sum: Count, count: &Count| Count {
            requested: sum.requested + count.requested,
            served: sum.served + count.served,
        };

        self.counts.values().fold(Count::default(), add)
    }

    fn decay(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let factor = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();

        for count in self.counts.values_mut() {
            count.requested *= factor;
            count.served *= factor;
        }

        // Removes urgencies without recent requests.
        self.counts.retain(|_, count| count.requested > 1e-3);
    }
}
