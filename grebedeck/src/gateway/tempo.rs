//! How fast the events of one stream come.

use std::time::Duration;

use grebedeck_core::Moment;

use super::trace::Decision;

/// How fast the events of a stream have come.
#[derive(Default)]
pub struct EventTiming {
    first_event: Option<Duration>,
    event_at: Option<Moment>,
    longest_pause: Duration,
    longest_pause_ended: Option<Moment>,
    /// Whether the first event or a pause took longer than the route wants.
    pub is_late: bool,
}

impl EventTiming {
    /// Takes in an event of a request that arrived then; gives the pause since the one before it.
    pub fn record_event(&mut self, arrived: Moment, now: Moment) -> Option<Duration> {
        let Some(before) = self.event_at.replace(now) else {
            self.first_event = Some(now - arrived);
            return None;
        };
        let pause = now - before;

        if pause > self.longest_pause {
            self.longest_pause = pause;
            self.longest_pause_ended = Some(now);
        }

        Some(pause)
    }

    /// Gets what the trace of a late stream tells.
    pub fn decision(&self, arrived: Moment) -> Decision {
        Decision::StreamSlow {
            first_event: self.first_event.unwrap_or_default(),
            longest_pause: self.longest_pause,
            pause_ended: self.longest_pause_ended.map_or(Duration::ZERO, |at| at - arrived),
        }
    }
}
