//! Balancing of ranks by shares.

use grebedeck_experts::map::{ExpertMap, LayerMap, Replica};
use grebedeck_experts::share::{DEFAULT_PASSES, balance};
use proptest::prelude::*;

fn max_rank_time(loads: &[f32], costs: &[f32]) -> f32 {
    loads.iter().zip(costs).map(|(l, c)| l * c).fold(0.0, f32::max)
}

#[test]
fn two_ranks_end_with_equal_load() {
    let replica = |rank| Replica { rank, share: 0.5 };
    let mut layer = LayerMap {
        experts: vec![vec![Replica { rank: 0, share: 1.0 }], vec![replica(0), replica(1)]],
    };

    let loads = balance(&mut layer, &[0.3, 0.7], &[1.0, 1.0], DEFAULT_PASSES);

    assert!((loads[0] - 0.5).abs() < 1e-3, "{loads:?}");
    assert!((loads[1] - 0.5).abs() < 1e-3, "{loads:?}");
}

#[test]
fn a_negligible_load_terminates_with_shares_that_add_up_to_one() {
    // Rounding must not make the search for the water level loop forever on nearly equal ranks, and
    // a load too small to change the ranks' loads must not give NaN shares.
    let replica = |rank| Replica { rank, share: 0.5 };
    let mut layer = LayerMap {
        experts: vec![
            vec![Replica { rank: 0, share: 1.0 }],
            vec![Replica { rank: 1, share: 1.0 }],
            vec![replica(0), replica(1)],
        ],
    };

    balance(&mut layer, &[0.5, 0.500_000_06, 1e-12], &[1.0, 1.0], DEFAULT_PASSES);

    let total: f32 = layer.experts[2].iter().map(|r| r.share).sum();
    assert!((total - 1.0).abs() < 1e-3, "{:?}", layer.experts[2]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn balancing_is_never_slower_and_always_valid(
        weights in prop::collection::vec(prop_oneof![0.0f32..1.0, 0.0f32..1e-9], 32),
        costs in prop::collection::vec(0.5f32..3.0, 8),
    ) {
        let sum: f32 = weights.iter().sum::<f32>().max(1e-9);
        let loads: Vec<f32> = weights.iter().map(|w| w / sum).collect();
        let mut map = ExpertMap::spread(8, 32, 1, 6);
        let before = max_rank_time(&map.layers[0].rank_loads(&loads, 8), &costs);

        let after = balance(&mut map.layers[0], &loads, &costs, DEFAULT_PASSES);

        map.assert_valid();
        prop_assert!(max_rank_time(&after, &costs) <= before * 1.001);
    }
}
