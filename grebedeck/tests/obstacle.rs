//! What a leader that can make no plan tells, and how often.

use std::time::Duration;

use grebedeck::rank::obstacle::{Obstacle, ObstacleNews, ObstacleWatch};
use grebedeck_experts::rollout::PlanBlock;

const PERIOD_MS: u64 = 50;

/// Notes an obstacle every 50 ms from one time to another; gives what was told.
fn note(
    watch: &mut ObstacleWatch,
    obstacle: Option<Obstacle>,
    from_ms: u64,
    until_ms: u64,
) -> Vec<ObstacleNews> {
    let times = (from_ms..until_ms).step_by(PERIOD_MS as usize).map(Duration::from_millis);

    times.filter_map(|now| watch.note(obstacle, now)).collect()
}

/// A leader that could not read the engine's figures planned nothing for good, and nothing told so.
#[test]
fn a_lasting_obstacle_is_told_once_and_so_is_its_end() {
    let mut watch = ObstacleWatch::default();
    let unknown = Some(Obstacle::EngineUnknown);

    assert_eq!(note(&mut watch, unknown, 0, 1000), [], "leaders begin so");
    let told = note(&mut watch, unknown, 1000, 20_000);
    assert_eq!(told, [ObstacleNews::Blocked(Obstacle::EngineUnknown)]);
    let cleared = note(&mut watch, None, 20_000, 25_000);
    assert_eq!(cleared, [ObstacleNews::Cleared(Duration::from_secs(20))]);
}

#[test]
fn another_reason_is_told_and_another_rank_with_the_same_one_is_not() {
    let mut watch = ObstacleWatch::default();
    let silent = |rank| Some(Obstacle::Rollout(PlanBlock::NotFollowing { rank }));
    note(&mut watch, Some(Obstacle::EngineUnknown), 0, 2000);

    let told = note(&mut watch, silent(3), 2000, 3000);
    assert_eq!(told.len(), 1);
    assert_eq!(note(&mut watch, silent(4), 3000, 9000), [], "lines are bounded");
}

/// Rollouts are under way several times in ten seconds.
#[test]
fn a_rollout_is_no_obstacle_worth_telling() {
    let mut watch = ObstacleWatch::default();
    let under_way = Some(Obstacle::Rollout(PlanBlock::UnderWay));

    for at_ms in (0..10_000).step_by(1000) {
        assert_eq!(note(&mut watch, under_way, at_ms, at_ms + 500), []);
        assert_eq!(note(&mut watch, None, at_ms + 500, at_ms + 1000), []);
    }
}
