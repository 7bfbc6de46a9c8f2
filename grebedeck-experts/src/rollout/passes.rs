//! When the group's passes begin, as the own engine shows it.

use std::collections::VecDeque;
use std::time::Duration;

use grebedeck_core::Moment;

use crate::engine::{GroupEpoch, PassNo, RankReport};

/// Most passes ahead of the newest that a hold is ordered: a group that makes more of them in the time
/// that arming takes stands still for a part of one instead.
const MAX_AHEAD: PassNo = 16;

/// Passes whose begin was seen that the length is taken from. Each is seen late by up to the pause between two
/// readings of the engine: from one to the next, passes of 60 ms looked like 20, and a hold was ordered four of
/// them ahead.
const SEEN: usize = 4;

/// Follows the passes of a group.
#[derive(Clone, Debug, Default)]
pub(super) struct PassClock {
    epoch: GroupEpoch,
    pass: PassNo,
    /// The newest passes whose begin was seen, with the time, oldest first.
    seen: VecDeque<(PassNo, Moment)>,
}

impl PassClock {
    /// Takes in what the engine says.
    pub(super) fn note(&mut self, report: &RankReport, now: Moment) {
        if report.epoch != self.epoch || report.pass < self.pass {
            *self = PassClock { epoch: report.epoch, pass: report.pass, ..PassClock::default() };
            return;
        }

        if report.pass == self.pass {
            return;
        }

        if self.seen.len() == SEEN {
            self.seen.pop_front();
        }

        self.seen.push_back((report.pass, now));
        self.pass = report.pass;
    }

    /// Gets the length of a pass, once two were seen.
    fn length(&self) -> Option<Duration> {
        let (first, first_at) = self.seen.front()?;
        let (last, last_at) = self.seen.back()?;
        let passed = u32::try_from(last - first).ok().filter(|passed| *passed > 0)?;

        Some(last_at.saturating_sub(*first_at) / passed)
    }

    /// Gets how many passes after the newest the first one begins that is at least `lead_time` away; two
    /// where the length of a pass is not known.
    pub(super) fn ahead(&self, lead_time: Duration, now: Moment) -> PassNo {
        let (Some(length), Some((_, began_at))) = (self.length(), self.seen.back()) else {
            return 2;
        };
        let age = now.saturating_sub(*began_at);
        let is_in_time = |ahead: &PassNo| length * *ahead as u32 >= age + lead_time;

        (1..MAX_AHEAD).find(is_in_time).unwrap_or(MAX_AHEAD)
    }
}
