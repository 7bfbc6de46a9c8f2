//! Differences between expert maps, and the encoding of token counts.

use grebedeck_experts::counter::{decode_count, encode_count};
use grebedeck_experts::map::{ExpertDelta, ExpertMap, MapDelta};
use grebedeck_experts::share::{DEFAULT_PASSES, balance};

#[test]
fn applying_a_difference_rebuilds_the_map_up_to_rounding_and_it_lists_only_changes() {
    let map = ExpertMap::spread(8, 32, 2, 6);
    let mut loads = vec![0.02; 32];
    loads[4] = 0.3;
    let mut next = map.clone();
    balance(&mut next.layers[1], &loads, &[1.0; 8], DEFAULT_PASSES);

    let delta = map.delta_to(&next);
    let rebuilt = map.apply_delta(&delta).unwrap();

    rebuilt.assert_valid();
    assert!(delta.experts.iter().all(|e| e.layer == 1));
    let (exact, rounded) =
        (next.layers[1].rank_loads(&loads, 8), rebuilt.layers[1].rank_loads(&loads, 8));
    assert!(
        exact.iter().zip(&rounded).all(|(e, r)| (e - r).abs() < 0.003),
        "{exact:?} {rounded:?}"
    );
    assert!(map.delta_to(&map).experts.is_empty());
}

#[test]
fn a_difference_that_does_not_fit_is_rejected() {
    let map = ExpertMap::spread(4, 8, 1, 4);
    let apply = |layer, expert, replicas| {
        map.apply_delta(&MapDelta { experts: vec![ExpertDelta { layer, expert, replicas }] })
    };

    assert!(apply(0, 0, vec![(1, 255)]).is_some());
    assert!(apply(3, 0, vec![(1, 255)]).is_none());
    assert!(apply(0, 99, vec![(1, 255)]).is_none());
    assert!(apply(0, 0, vec![(9, 255)]).is_none());
    assert!(apply(0, 0, vec![]).is_none());
}

#[test]
fn encoded_counts_are_accurate_to_within_three_percent() {
    for count in [0u64, 1, 10, 100, 1_234, 98_765, 2_000_000] {
        let decoded = f64::from(decode_count(encode_count(count)));
        let error = (decoded - count as f64).abs();
        assert!(error <= 0.6_f64.max(count as f64 * 0.031), "{count} {decoded}");
    }
}
