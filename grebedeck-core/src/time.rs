//! Clock types that pass time into the deciders.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time on a process's monotonic clock, counted from a start that only that process knows.
///
/// The deciders take it as an argument, so that a bench can run them in virtual time. It is never
/// sent to another process.
pub type Moment = Duration;

/// Wall-clock time in milliseconds since the Unix epoch. Compared only with a margin for skew.
pub type UnixMs = u64;

/// Gets the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> UnixMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();

    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
