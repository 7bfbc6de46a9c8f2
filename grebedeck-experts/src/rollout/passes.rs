//! When the group's passes begin, as the own engine shows it.

use std::time::Duration;

use grebedeck_core::Moment;

use crate::engine::{GroupEpoch, PassNo, RankReport};

/// Most passes ahead of the newest that a hold is ordered: a group that makes more of them in the time
/// that arming takes stands still for a part of one instead.
const MAX_AHEAD: PassNo = 16;

/// Follows the passes of a group.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PassClock {
    epoch: GroupEpoch,
    pass: PassNo,
    began_at: Option<Moment>,
    length: Option<Duration>,
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

        let passed = (report.pass - self.pass).min(u64::from(u32::MAX)) as u32;
        self.length = self.began_at.map(|at| now.saturating_sub(at) / passed);
        self.began_at = Some(now);
        self.pass = report.pass;
    }

    /// Gets how many passes after the newest the first one begins that is at least `lead_time` away; two
    /// where the length of a pass is not known.
    pub(super) fn ahead(&self, lead_time: Duration, now: Moment) -> PassNo {
        let (Some(began_at), Some(length)) = (self.began_at, self.length) else {
            return 2;
        };
        let age = now.saturating_sub(began_at);
        let is_in_time = |ahead: &PassNo| length * *ahead as u32 >= age + lead_time;

        (1..MAX_AHEAD).find(is_in_time).unwrap_or(MAX_AHEAD)
    }
}
