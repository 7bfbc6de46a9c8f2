//! Planner: plans are worth their cost, stable when nothing changes, and valid for any input.

use std::time::Duration;

use grebedeck_experts::plan::{GroupState, PlanOptions};
use grebedeck_experts::popularity::LayerCounts;
use grebedeck_experts::{ChangeBudget, ExpertMap, Planner, Popularity, PopularityOptions};
use proptest::prelude::*;

fn popularity(tokens: &[f32], reports: u64) -> Popularity {
    let mut popularity = Popularity::new(1, tokens.len() as u16, PopularityOptions::default());

    for report in 1..=reports {
        popularity.observe(&LayerCounts { layer: 0, until_step: report * 160, tokens });
    }

    popularity
}

fn state<'a>(
    map: &'a ExpertMap,
    popularity: &'a Popularity,
    rank_costs: &'a [f32],
) -> GroupState<'a> {
    GroupState { map, popularity, layer_work_ms: 12.0, rank_costs, max_changed_experts: usize::MAX }
}

#[test]
fn a_plan_is_not_made_again_once_applied() {
    let map = ExpertMap::spread(8, 32, 1, 6);
    let mut tokens = vec![100.0; 32];
    tokens[3] = 4_000.0;
    let popularity = popularity(&tokens, 20);
    let planner = Planner::default();

    let plan =
        planner.plan(&state(&map, &popularity, &[1.0; 8])).expect("a plan for the popular expert");
    plan.map.assert_valid();
    assert!(!plan.moves.is_empty());
    assert_eq!(plan.moves.len(), map.moves_to(&plan.map).len());

    assert!(planner.plan(&state(&plan.map, &popularity, &[1.0; 8])).is_none());
}

#[test]
fn equal_popularity_needs_no_moves() {
    let map = ExpertMap::spread(8, 32, 1, 6);
    let popularity = popularity(&[500.0; 32], 20);

    if let Some(plan) = Planner::default().plan(&state(&map, &popularity, &[1.0; 8])) {
        assert!(plan.moves.is_empty(), "{:?}", plan.moves);
    }
}

#[test]
fn a_slow_rank_gets_less_load() {
    let map = ExpertMap::spread(8, 32, 1, 6);
    let popularity = popularity(&[500.0; 32], 20);
    let mut costs = [1.0; 8];
    costs[2] = 2.0;

    let plan = Planner::default()
        .plan(&state(&map, &popularity, &costs))
        .expect("a plan for the slow rank");
    let loads = plan.map.layers[0].rank_loads(popularity.fractions(0), 8);

    assert!(loads[2] < 0.75 / 8.0, "{loads:?}");
}

#[test]
fn moves_that_cost_too_much_are_not_made() {
    let map = ExpertMap::spread(8, 32, 1, 6);
    let mut tokens = vec![100.0; 32];
    tokens[3] = 4_000.0;
    let popularity = popularity(&tokens, 20);
    let options = PlanOptions { move_cost_ms: 1e9, ..PlanOptions::default() };

    if let Some(plan) = Planner::new(options).plan(&state(&map, &popularity, &[1.0; 8])) {
        assert!(plan.moves.is_empty(), "{:?}", plan.moves);
    }
}

#[test]
fn changes_are_limited_by_the_budget() {
    let map = ExpertMap::spread(8, 32, 1, 6);
    let mut tokens = vec![100.0; 32];
    tokens[3] = 4_000.0;
    let popularity = popularity(&tokens, 20);
    let group = GroupState { max_changed_experts: 3, ..state(&map, &popularity, &[1.0; 8]) };

    assert!(Planner::default().plan(&group).is_none());

    let mut budget = ChangeBudget::default();
    let all = budget.available(Duration::ZERO);
    budget.spend(all);
    assert_eq!(budget.available(Duration::ZERO), 0);
    assert!((190..=210).contains(&budget.available(Duration::from_secs(1))));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn plans_are_valid_and_expect_a_gain(
        tokens in prop::collection::vec(prop_oneof![Just(0.0f32), 1.0f32..5_000.0], 24),
        costs in prop::collection::vec(0.8f32..3.0, 6),
    ) {
        let map = ExpertMap::spread(6, 24, 1, 6);
        let popularity = popularity(&tokens, 6);

        if let Some(plan) = Planner::default().plan(&state(&map, &popularity, &costs)) {
            plan.map.assert_valid();
            prop_assert!(plan.gain_ms_per_step > 0.0);
            prop_assert_eq!(plan.moves.len(), map.moves_to(&plan.map).len());
        }
    }
}
