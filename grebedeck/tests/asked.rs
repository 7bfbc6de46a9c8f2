//! Which gateways are asked while the store is away.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use grebedeck::gateway::peers::sample_peers;
use grebedeck_core::random::SeededSource;

fn peers(count: u16) -> BTreeSet<SocketAddr> {
    (0..count).map(|at| SocketAddr::from(([127, 0, 0, 1], 1000 + at))).collect()
}

/// 53 gateways that asked all others each 0.4 s had their links full of answers.
#[test]
fn a_few_are_asked_at_a_time_and_all_of_them_in_turn() {
    let mut random = SeededSource::new(5);
    let all = peers(52);
    let mut asked = BTreeSet::new();

    for round in 0..150 {
        let some = sample_peers(all.clone(), 3, &mut random);
        let different: BTreeSet<SocketAddr> = some.iter().copied().collect();
        assert_eq!(different.len(), 3, "round {round}: {some:?}");
        asked.extend(different);
    }

    assert_eq!(asked, all);
}

#[test]
fn all_are_asked_where_there_are_few() {
    let mut random = SeededSource::new(5);
    let some: BTreeSet<SocketAddr> = sample_peers(peers(2), 3, &mut random).into_iter().collect();

    assert_eq!(some, peers(2));
    assert!(sample_peers(peers(0), 3, &mut random).is_empty());
}
