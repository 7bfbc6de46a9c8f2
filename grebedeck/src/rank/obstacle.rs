//! Records why a leader can make no plans, which later explains skewed placements and slow streams.

use std::time::Duration;

use grebedeck_core::{Moment, Rank};
use grebedeck_experts::rollout::PlanBlock;

/// Time without a possible plan after which the reason is reported. A rollout takes about 0.3 s,
/// and at the start of a leadership no rank follows yet.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// Reason why a leader can make no plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The engine's specification has not been read from the configuration yet.
    EngineUnknown,
    /// The placement in use is not known.
    PlacementUnknown,
    /// The rollout cannot start a plan.
    Rollout(PlanBlock),
}

impl Obstacle {
    /// Short name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Obstacle::EngineUnknown => "engine_unknown",
            Obstacle::PlacementUnknown => "placement_unknown",
            Obstacle::Rollout(PlanBlock::UnderWay) => "plan_under_way",
            Obstacle::Rollout(PlanBlock::NotFollowing { .. }) => "rank_not_following",
            Obstacle::Rollout(PlanBlock::Bound { .. }) => "rank_bound",
            Obstacle::Rollout(PlanBlock::Paused) => "plans_paused",
        }
    }

    /// The rank that is the cause, if it is a single one.
    pub fn rank(self) -> Option<Rank> {
        match self {
            Obstacle::Rollout(PlanBlock::NotFollowing { rank } | PlanBlock::Bound { rank }) => {
                Some(rank)
            }
            _ => None,
        }
    }
}

/// Change to report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObstacleChange {
    /// No plan has been possible for some time; the current reason.
    Blocked(Obstacle),
    /// Plans are possible again; the time for which none was.
    Cleared(Duration),
}

/// Tracks whether plans are possible, and decides what to report.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObstacleTracker {
    since: Option<Moment>,
    reported: Option<&'static str>,
}

impl ObstacleTracker {
    /// Records the current obstacle, if any; returns the change to report. A reason is reported if
    /// it differs from the one reported last.
    pub fn record(&mut self, obstacle: Option<Obstacle>, now: Moment) -> Option<ObstacleChange> {
        let Some(obstacle) = obstacle else {
            let since = self.since.take();
            let was_reported = self.reported.take().is_some();

            return since.filter(|_| was_reported).map(|at| ObstacleChange::Cleared(now - at));
        };
        let since = *self.since.get_or_insert(now);

        if now < since + REPORT_DELAY || self.reported == Some(obstacle.label()) {
            return None;
        }

        self.reported = Some(obstacle.label());
        Some(ObstacleChange::Blocked(obstacle))
    }

    /// Label of the current obstacle, once it has been reported.
    pub fn reported(&self) -> Option<&'static str> {
        self.reported
    }

    /// Clears the state when the node no longer leads.
    pub fn reset(&mut self) {
        *self = ObstacleTracker::default();
    }
}
