//! Levelling of shares.

use grebedeck_experts::map::{ExpertMap, LayerMap, Replica};
use grebedeck_experts::share::{DEFAULT_PASSES, balance};
use proptest::prelude::*;

fn slowest(loads: &[f32], costs: &[f32]) -> f32 {
    loads.iter().zip(costs).map(|(l, c)| l * c).fold(0.0, f32::max)
}

#[test]
fn two_ranks_end_level() {
    let replica = |rank| Replica { rank, share: 0.5 };
    let mut layer = LayerMap {
        experts: vec![vec![Replica { rank: 0, share: 1.0 }], vec![replica(0), replica(1)]],
    };

    let loads = balance(&mut layer, &[0.3, 0.7], &[1.0, 1.0], DEFAULT_PASSES);

    assert!((loads[0] - 0.5).abs() < 1e-3, "{loads:?}");
    assert!((loads[1] - 0.5).abs() < 1e-3, "{loads:?}");
}

#[test]
fn a_load_that_vanishes_beside_the_others_terminates_with_whole_shares() {
    // Rounding once kept the search for the level going for ever on nearly equal ranks, and a load
    // that was too small to show made its shares not a number.
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
    fn never_slower_and_always_valid(
        weights in prop::collection::vec(prop_oneof![0.0f32..1.0, 0.0f32..1e-9], 32),
        costs in prop::collection::vec(0.5f32..3.0, 8),
    ) {
        let sum: f32 = weights.iter().sum::<f32>().max(1e-9);
        let loads: Vec<f32> = weights.iter().map(|w| w / sum).collect();
        let mut map = ExpertMap::spread(8, 32, 1, 6);
        let before = slowest(&map.layers[0].rank_loads(&loads, 8), &costs);

        let after = balance(&mut map.layers[0], &loads, &costs, DEFAULT_PASSES);

        map.assert_valid();
        prop_assert!(slowest(&after, &costs) <= before * 1.001);
    }
}
