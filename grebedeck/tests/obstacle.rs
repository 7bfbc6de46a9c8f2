//! Reports of a leader that can make no plan.

use std::time::Duration;

use grebedeck::rank::obstacle::{Obstacle, ObstacleChange, ObstacleTracker};
use grebedeck_experts::rollout::PlanBlock;

const PERIOD_MS: u64 = 50;

/// Records an obstacle every 50 ms within a time span; returns the reported changes.
fn record(
    tracker: &mut ObstacleTracker,
    obstacle: Option<Obstacle>,
    from_ms: u64,
    until_ms: u64,
) -> Vec<ObstacleChange> {
    let times = (from_ms..until_ms).step_by(PERIOD_MS as usize).map(Duration::from_millis);

    times.filter_map(|now| tracker.record(obstacle, now)).collect()
}

/// A leader without the engine's specification never made a plan, and nothing reported it.
#[test]
fn a_lasting_obstacle_and_its_end_are_reported_once() {
    let mut tracker = ObstacleTracker::default();
    let engine_unknown = Some(Obstacle::EngineUnknown);

    assert_eq!(
        record(&mut tracker, engine_unknown, 0, 1000),
        [],
        "expected at the start of a leadership"
    );
    let reported = record(&mut tracker, engine_unknown, 1000, 20_000);
    assert_eq!(reported, [ObstacleChange::Blocked(Obstacle::EngineUnknown)]);
    let cleared = record(&mut tracker, None, 20_000, 25_000);
    assert_eq!(cleared, [ObstacleChange::Cleared(Duration::from_secs(20))]);
}

#[test]
fn another_reason_is_reported_but_the_same_one_at_another_rank_is_not() {
    let mut tracker = ObstacleTracker::default();
    let not_following = |rank| Some(Obstacle::Rollout(PlanBlock::NotFollowing { rank }));
    record(&mut tracker, Some(Obstacle::EngineUnknown), 0, 2000);

    let reported = record(&mut tracker, not_following(3), 2000, 3000);
    assert_eq!(reported.len(), 1);
    assert_eq!(
        record(&mut tracker, not_following(4), 3000, 9000),
        [],
        "same reason, so no second report"
    );
}

/// Rollouts run several times in ten seconds.
#[test]
fn a_rollout_in_progress_is_not_reported() {
    let mut tracker = ObstacleTracker::default();
    let under_way = Some(Obstacle::Rollout(PlanBlock::UnderWay));

    for at_ms in (0..10_000).step_by(1000) {
        assert_eq!(record(&mut tracker, under_way, at_ms, at_ms + 500), []);
        assert_eq!(record(&mut tracker, None, at_ms + 500, at_ms + 1000), []);
    }
}
