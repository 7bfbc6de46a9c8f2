//! Timing of the events of one stream.

use std::time::Duration;

use grebedeck_core::Moment;

use super::trace::Decision;

/// Time to the first event, and the pauses between events, of one stream.
#[derive(Default)]
pub struct EventTiming {
    first_event: Option<Duration>,
    event_at: Option<Moment>,
    longest_pause: Duration,
    longest_pause_ended: Option<Moment>,
    /// Whether the first event or a pause took longer than the route allows.
    pub is_late: bool,
}

impl EventTiming {
    /// Records an event of a request that arrived at `arrived`; returns the pause since the
    /// previous event.
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

    /// Trace entry of a late stream.
    pub fn decision(&self, arrived: Moment) -> Decision {
        Decision::StreamSlow {
            first_event: self.first_event.unwrap_or_default(),
            longest_pause: self.longest_pause,
            pause_ended: self.longest_pause_ended.map_or(Duration::ZERO, |at| at - arrived),
        }
    }
}
