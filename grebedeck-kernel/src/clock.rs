//! Monotonic clock of a process, the time source of the decision logic.
//!
//! The clock includes the time during which the instance was suspended. After a resume, the state
//! of the process is older by that time, so deadlines, leases and backoffs must have run on.

use std::time::Duration;

use grebedeck_core::Moment;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that starts at zero when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { start: since_boot() }
    }
}

impl Clock {
    /// Returns the time since the clock was created.
    pub fn now(&self) -> Moment {
        since_boot().saturating_sub(self.start)
    }
}

/// Returns the time since the instance booted, including suspensions, which `Instant` excludes.
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();

    Duration::new(seconds, nanoseconds)
}
