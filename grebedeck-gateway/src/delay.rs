//! The time for which a target asks to be left alone when it refuses a request (`Retry-After`): how
//! it is parsed, and until when it holds.

use std::time::Duration;

use grebedeck_core::Moment;

/// Statuses with which a target may ask for a delay.
const RETRY_AFTER_STATUSES: [u16; 2] = [429, 503];
/// Longest delay that is honoured. A target that asks for more is tried once per such interval, so
/// a value sent by mistake does not exclude it for good; targets that shed load ask for seconds.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);
/// Delay for a header that cannot be parsed: what targets with a readable header usually ask for.
pub const UNREADABLE_RETRY_AFTER: Duration = Duration::from_secs(3);

/// End of the delay that a target asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfter {
    until: Moment,
}

impl RetryAfter {
    /// Applies a requested delay. A shorter one does not end a longer one, as responses on
    /// different connections overtake each other.
    pub fn extend(&mut self, requested: Duration, now: Moment) {
        self.until = self.until.max(now + requested);
    }

    /// Whether the delay has not yet passed.
    pub fn is_active(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Remaining delay.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.until.saturating_sub(now)
    }

    /// End of the delay.
    pub fn until(&self) -> Moment {
        self.until
    }
}

/// Longest delay in a response's header values; `None` for other statuses, with which the header
/// has other meanings.
pub fn requested_retry_after<'a>(
    status: u16,
    values: impl Iterator<Item = &'a [u8]>,
) -> Option<Duration> {
    if !RETRY_AFTER_STATUSES.contains(&status) {
        return None;
    }

    values.map(parse_retry_after).max()
}

/// Parses a header value in seconds, with fractions. A value that cannot be parsed still asks for a
/// delay, so it never counts as zero.
pub fn parse_retry_after(value: &[u8]) -> Duration {
    let seconds = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse::<f64>().ok());

    match seconds {
        Some(seconds) if seconds >= MAX_RETRY_AFTER.as_secs_f64() => MAX_RETRY_AFTER,
        Some(seconds) if seconds >= 0.0 => Duration::from_secs_f64(seconds),
        // An HTTP date, a negative number or no number at all.
        _ => UNREADABLE_RETRY_AFTER,
    }
}
