//! Types that pass time into the decision logic.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time on a process's monotonic clock, since an origin that is specific to the process.
///
/// Decision logic takes it as an argument, so that tests and benchmarks can run in virtual time. It
/// is never sent to another process, where it would have no meaning.
pub type Moment = Duration;

/// Wall-clock time in milliseconds since the Unix epoch. Comparisons allow a margin for clock skew.
pub type UnixMs = u64;

/// Returns the current wall-clock time.
pub fn unix_ms() -> UnixMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();

    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
