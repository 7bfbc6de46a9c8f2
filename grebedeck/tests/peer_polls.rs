//! Random selection of the peers that a gateway polls while the store is unavailable.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use grebedeck::gateway::peers::sample_peers;
use grebedeck_core::random::SeededSource;

fn peers(count: u16) -> BTreeSet<SocketAddr> {
    (0..count).map(|at| SocketAddr::from(([127, 0, 0, 1], 1000 + at))).collect()
}

/// 53 gateways that each polled all others every 0.4 s saturated their links with the responses.
#[test]
fn each_poll_selects_a_few_peers_and_many_polls_reach_all() {
    let mut random = SeededSource::new(5);
    let all = peers(52);
    let mut polled = BTreeSet::new();

    for round in 0..150 {
        let selected = sample_peers(all.clone(), 3, &mut random);
        let distinct: BTreeSet<SocketAddr> = selected.iter().copied().collect();
        assert_eq!(distinct.len(), 3, "round {round}: {selected:?}");
        polled.extend(distinct);
    }

    assert_eq!(polled, all);
}

#[test]
fn all_peers_are_selected_if_there_are_few() {
    let mut random = SeededSource::new(5);
    let selected: BTreeSet<SocketAddr> =
        sample_peers(peers(2), 3, &mut random).into_iter().collect();

    assert_eq!(selected, peers(2));
    assert!(sample_peers(peers(0), 3, &mut random).is_empty());
}
