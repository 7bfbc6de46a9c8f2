//! Choice of the peers that processes exchange configurations with: each has few, and changes still
//! reach the whole fleet.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use grebedeck::config::sync::select_peers;
use grebedeck_net::platform::{Instance, InstanceState, Role};

const PEERS: usize = 4;

fn fleet(size: usize, halls: usize) -> Vec<Instance> {
    let instance = |n: usize| Instance {
        name: format!("process-{n:04}"),
        role: Role::Agent,
        hall: format!("hall-{}", n % halls),
        peer_address: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7001)),
        incarnation: 1,
        state: InstanceState::Live,
    };

    (0..size).map(instance).collect()
}

/// Returns the number of processes that a change of the first one reaches, and the rounds that it
/// takes. An exchange of revisions with a peer updates whichever of the two is behind.
fn reach(instances: &[Instance]) -> (usize, usize) {
    let indices: HashMap<SocketAddr, usize> =
        instances.iter().enumerate().map(|(n, i)| (i.peer_address, n)).collect();
    let mut linked: Vec<HashSet<usize>> = vec![HashSet::new(); instances.len()];

    for (at, own) in instances.iter().enumerate() {
        let peers = select_peers(&own.name, &own.hall, PEERS, instances);
        assert!(peers.len() <= PEERS && !peers.contains(&own.peer_address));

        for peer in peers {
            linked[at].insert(indices[&peer]);
            linked[indices[&peer]].insert(at);
        }
    }

    let (mut reached, mut rounds) = (HashSet::from([0]), 0);

    loop {
        let next: HashSet<usize> =
            reached.iter().flat_map(|n| linked[*n].iter().copied().chain([*n])).collect();

        if next.len() == reached.len() {
            return (reached.len(), rounds);
        }

        reached = next;
        rounds += 1;
    }
}

#[test]
fn a_change_reaches_every_process_in_a_few_rounds() {
    for (size, halls) in [(2, 1), (5, 3), (13, 3), (50, 12), (200, 12), (1_050, 12)] {
        let (reached, rounds) = reach(&fleet(size, halls));

        assert_eq!(reached, size, "{size} processes in {halls} halls");
        assert!(rounds <= 9, "{size} processes took {rounds} rounds");
    }
}

#[test]
fn a_change_reaches_all_of_a_hall_that_is_cut_off() {
    let hall: Vec<Instance> = fleet(1_050, 12).into_iter().filter(|i| i.hall == "hall-3").collect();

    assert_eq!(reach(&hall).0, hall.len());
}

#[test]
fn some_but_not_all_peers_are_in_other_halls() {
    let instances = fleet(60, 3);

    for own in &instances {
        let peers = select_peers(&own.name, &own.hall, PEERS, &instances);
        let in_other_halls = instances
            .iter()
            .filter(|i| peers.contains(&i.peer_address) && i.hall != own.hall)
            .count();
        assert!((1..PEERS).contains(&in_other_halls), "{}: {in_other_halls}", own.name);
    }
}
