//! Predicts when the group's passes begin, from the reports of the node's own engine.

use std::collections::VecDeque;
use std::time::Duration;

use grebedeck_core::Moment;

use crate::engine::{GroupEpoch, PassNo, RankReport};

/// Maximum number of passes that a hold is ordered ahead. A group that makes more of them while its
/// ranks are armed stalls for part of that time instead.
const MAX_PASSES_AHEAD: PassNo = 16;

/// Observed starts of passes from which their length is computed. Each is observed late by up to
/// the interval between two readings of the engine: measured from one pass to the next, passes of
/// 60 ms looked like 20 ms, and a hold was ordered four of them ahead.
const MAX_OBSERVED: usize = 4;

/// Tracks the passes of a group.
#[derive(Clone, Debug, Default)]
pub(super) struct PassClock {
    epoch: GroupEpoch,
    pass: PassNo,
    /// The newest passes whose start was observed, with the time, oldest first.
    observed: VecDeque<(PassNo, Moment)>,
}

impl PassClock {
    /// Records a report of the engine.
    pub(super) fn record(&mut self, report: &RankReport, now: Moment) {
        if report.epoch != self.epoch || report.pass < self.pass {
            *self = PassClock { epoch: report.epoch, pass: report.pass, ..PassClock::default() };
            return;
        }

        if report.pass == self.pass {
            return;
        }

        if self.observed.len() == MAX_OBSERVED {
            self.observed.pop_front();
        }

        self.observed.push_back((report.pass, now));
        self.pass = report.pass;
    }

    /// Returns the mean length of a pass, once two were observed.
    fn length(&self) -> Option<Duration> {
        let (first, first_at) = self.observed.front()?;
        let (last, last_at) = self.observed.back()?;
        let passed = u32::try_from(last - first).ok().filter(|passed| *passed > 0)?;

        Some(last_at.saturating_sub(*first_at) / passed)
    }

    /// Returns how many passes after the newest one the first begins that is at least `lead_time`
    /// away; 2 while the length of a pass is not known.
    pub(super) fn passes_ahead(&self, lead_time: Duration, now: Moment) -> PassNo {
        let (Some(length), Some((_, started_at))) = (self.length(), self.observed.back()) else {
            return 2;
        };
        let age = now.saturating_sub(*started_at);
        let is_in_time = |passes_ahead: &PassNo| length * *passes_ahead as u32 >= age + lead_time;

        (1..MAX_PASSES_AHEAD).find(is_in_time).unwrap_or(MAX_PASSES_AHEAD)
    }
}
