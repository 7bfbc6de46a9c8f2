//! The process's monotonic clock, as the deciders take it.

use std::time::Instant;

use grebedeck_core::Moment;

/// Counts time since it was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { start: Instant::now() }
    }
}

impl Clock {
    /// Gets the time since the clock was made.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }
}
