//! When those who are refused are told to come back.
//!
//! It answers callers that come back together and find the targets full again: each gets a slot of the room to come,
//! one after another at the rate at which places are given, the more urgent first. A slot holds nothing back: whoever
//! comes without one, or never comes back, changes nothing, and the schedule may be lost.
//!
//! A caller that comes back is not known as such. By its organisation and prompt it would be, but it comes to another
//! gateway mostly, and nothing that it carries says more.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck_core::{Moment, RandomSource};

use crate::queue::Urgency;

/// Part of the time that is left to a caller beyond which it does not wait for a second try: what remains has to do
/// for the wait there and the answer.
pub const LONGEST_PART: f64 = 1.0 / 3.0;
/// Part of that over which those are spread for whom no slot is left.
const SPREAD: f64 = 0.5;

/// The room to come.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedCapacity {
    /// Time until the next place for one that is refused.
    pub first_place_in: Duration,
    /// Places that are given in a second.
    pub rate_per_s: f64,
    /// Time that is left to the caller.
    pub time_left: Duration,
}

/// Slots that were told, by urgency.
#[derive(Clone, Debug, Default)]
pub struct RetrySlots {
    free_from: BTreeMap<Urgency, Moment>,
}

impl RetrySlots {
    /// Gets how long a caller should wait before it asks again, and takes its slot.
    pub fn retry_after(
        &mut self,
        urgency: Urgency,
        schedule: ExpectedCapacity,
        now: Moment,
        random: &mut impl RandomSource,
    ) -> Duration {
        self.free_from.retain(|_, from| *from > now);
        let taken = self.free_from.range(..=urgency).map(|(_, from)| *from).max();
        let from = taken.unwrap_or_default().max(now + schedule.first_place_in);
        let slot =
            Duration::from_secs_f64(1.0 / schedule.rate_per_s.max(f64::MIN_POSITIVE).max(1e-3));
        let wait = (from - now) + slot.mul_f64(random.unit());
        let longest = schedule.time_left.mul_f64(LONGEST_PART);

        if wait > longest {
            // Who is told to wait for longer gives up, or comes when it likes.
            return longest.mul_f64(1.0 - SPREAD * random.unit());
        }

        self.free_from.insert(urgency, from + slot);

        wait
    }
}
