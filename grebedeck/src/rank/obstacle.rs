//! Why a leader makes no plans, for whoever asks afterwards why streams were late.

use std::time::Duration;

use grebedeck_core::{Moment, Rank};
use grebedeck_experts::rollout::PlanBlock;

/// How long a leader has to be without the possibility of a plan before it says so: a rollout takes some 0.3 s, and a
/// leadership begins with nobody following.
const TOLD_AFTER: Duration = Duration::from_secs(1);

/// Why a leader may not plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The engine's figures are not known.
    EngineUnknown,
    /// The placement in use is not known.
    PlacementUnknown,
    /// The rollout is not ready for a plan.
    Rollout(PlanBlock),
}

impl Obstacle {
    /// Gets a short word for logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            Obstacle::EngineUnknown => "engine_unknown",
            Obstacle::PlacementUnknown => "placement_unknown",
            Obstacle::Rollout(PlanBlock::UnderWay) => "plan_under_way",
            Obstacle::Rollout(PlanBlock::NotFollowing { .. }) => "rank_not_following",
            Obstacle::Rollout(PlanBlock::Bound { .. }) => "rank_bound",
        }
    }

    /// Gets the rank that it lies with, where it is one.
    pub fn rank(self) -> Option<Rank> {
        match self {
            Obstacle::Rollout(PlanBlock::NotFollowing { rank } | PlanBlock::Bound { rank }) => {
                Some(rank)
            }
            _ => None,
        }
    }
}

/// What is to be told of obstacles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObstacleNews {
    /// For some time no plan has been possible, now for this reason.
    Blocked(Obstacle),
    /// Plans are possible again, after this time without.
    Cleared(Duration),
}

/// Follows whether plans are possible, and says what is worth telling.
#[derive(Clone, Copy, Debug, Default)]
pub struct ObstacleWatch {
    since: Option<Moment>,
    told: Option<&'static str>,
}

impl ObstacleWatch {
    /// Notes why no plan is possible now, or that one is; gives what is to be told.
    pub fn note(&mut self, obstacle: Option<Obstacle>, now: Moment) -> Option<ObstacleNews> {
        let Some(obstacle) = obstacle else {
            let since = self.since.take();
            let was_told = self.told.take().is_some();

            return since.filter(|_| was_told).map(|at| ObstacleNews::Cleared(now - at));
        };
        let since = *self.since.get_or_insert(now);

        if now < since + TOLD_AFTER || self.told == Some(obstacle.word()) {
            return None;
        }

        self.told = Some(obstacle.word());
        Some(ObstacleNews::Blocked(obstacle))
    }

    /// Gets the word for what is in the way, once it has been told.
    pub fn told(&self) -> Option<&'static str> {
        self.told
    }

    /// Forgets all, as the node leads no more.
    pub fn forget(&mut self) {
        *self = ObstacleWatch::default();
    }
}
