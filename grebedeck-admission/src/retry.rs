//! Retry times for refused callers.
//!
//! Keeps callers that are refused together from retrying together and finding the targets full
//! again. Each caller is assigned a retry slot, the interval in which it should retry. Retry slots
//! follow one another at the rate at which slots on targets are granted, the more urgent callers
//! first. A retry slot reserves nothing: a caller that retries without one or never retries has no
//! effect, and the retry slots may be lost.
//!
//! A retry is not recognised as such. Organisation and prompt would identify it, but it mostly
//! arrives at another gateway, and the request carries nothing else that would.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck_core::{Moment, RandomSource};

use crate::queue::Urgency;

/// Maximum retry delay, as a fraction of the caller's remaining time. The rest is needed for the
/// wait after the retry and for the response.
pub const MAX_DELAY_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the maximum delay over which callers without a retry slot are spread.
const SPREAD_FRACTION: f64 = 0.5;

/// Expected capacity for retries.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedCapacity {
    /// Time until the first slot on a target for a refused caller.
    pub first_slot_in: Duration,
    /// Slots on targets granted per second.
    pub rate_per_s: f64,
    /// Remaining time of the caller.
    pub time_left: Duration,
}

/// Retry slots already assigned, by urgency.
#[derive(Clone, Debug, Default)]
pub struct RetrySlots {
    next_slot_at: BTreeMap<Urgency, Moment>,
}

impl RetrySlots {
    /// Assigns a retry slot to a caller and returns the delay after which it should retry.
    pub fn retry_after(
        &mut self,
        urgency: Urgency,
        expected: ExpectedCapacity,
        now: Moment,
        random: &mut impl RandomSource,
    ) -> Duration {
        self.next_slot_at.retain(|_, from| *from > now);
        let taken = self.next_slot_at.range(..=urgency).map(|(_, from)| *from).max();
        let from = taken.unwrap_or_default().max(now + expected.first_slot_in);
        let retry_slot =
            Duration::from_secs_f64(1.0 / expected.rate_per_s.max(f64::MIN_POSITIVE).max(1e-3));
        let wait = (from - now) + retry_slot.mul_f64(random.unit());
        let max_wait = expected.time_left.mul_f64(MAX_DELAY_FRACTION);

        if wait > max_wait {
            // With a longer delay, callers give up or retry at a time of their own.
            return max_wait.mul_f64(1.0 - SPREAD_FRACTION * random.unit());
        }

        self.next_slot_at.insert(urgency, from + retry_slot);

        wait
    }
}
