//! RetryAfter that a target asks for when it refuses: how it is read, and until when it holds.

use std::time::Duration;

use grebedeck_core::Moment;

/// Statuses with which a target may ask for rest.
const ASK_FOR_REST: [u16; 2] = [429, 503];
/// Longest rest that a target gets. One that asks for longer is tried once each time this has passed, which finds a
/// value that was never meant; targets that were seen to shed load ask for seconds.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);
/// RetryAfter of a target that asks for one in words that cannot be read: what those ask for who can be.
pub const UNREADABLE_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Until when a target wants nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfter {
    until: Moment,
}

impl RetryAfter {
    /// Notes that the target asks for rest. A shorter word does not end a longer one, as answers on different
    /// connections overtake each other.
    pub fn extend(&mut self, asked: Duration, now: Moment) {
        self.until = self.until.max(now + asked);
    }

    /// Tells whether the target rests.
    pub fn is_active(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Gets how much longer the target rests.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Gets when the rest is over.
    pub fn until(&self) -> Moment {
        self.until
    }
}

/// Gets the rest that an answer asks for, by its status and the values of its header: the longest of them. With other
/// statuses the header means other things.
pub fn requested_retry_after<'a>(
    status: u16,
    values: impl Iterator<Item = &'a [u8]>,
) -> Option<Duration> {
    if !ASK_FOR_REST.contains(&status) {
        return None;
    }

    values.map(parse_retry_after).max()
}

/// Reads for how long a target that refuses wants to be left alone, in seconds and parts of them. What cannot be read
/// still asks for rest, so none of it is taken for zero.
pub fn parse_retry_after(value: &[u8]) -> Duration {
    let seconds = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse::<f64>().ok());

    match seconds {
        Some(seconds) if seconds >= MAX_RETRY_AFTER.as_secs_f64() => MAX_RETRY_AFTER,
        Some(seconds) if seconds >= 0.0 => Duration::from_secs_f64(seconds),
        // A date, a negative number, or no number at all.
        _ => UNREADABLE_RETRY_AFTER,
    }
}
