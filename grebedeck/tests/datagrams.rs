//! Datagrams between rank processes and gateways.

use std::net::SocketAddr;
use std::time::Duration;

use grebedeck::rank::message::{Body, Datagram, DatagramReader, RankLoad};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn datagram(group: Option<u64>) -> Datagram {
    let from: SocketAddr = ([127, 0, 0, 1], 80).into();

    Datagram { from, group, body: Body::Watch }
}

/// Two groups of one service have the same rank numbers. Taken for its own, another group's answer that it is
/// armed would have let a pass go with two placements.
#[test]
fn a_rank_hears_its_own_group_and_gateways_only() {
    assert!(datagram(Some(1)).concerns(Some(1)));
    assert!(datagram(None).concerns(Some(1)), "gateways are in no group");
    assert!(!datagram(Some(2)).concerns(Some(1)));
    assert!(!datagram(Some(2)).concerns(None), "the own group is not known yet");
}

#[test]
fn a_datagram_is_read_as_it_was_written() {
    let load = RankLoad {
        group: 7,
        running: 3,
        waiting: 1,
        formation: 2,
        is_open: true,
        slowdown: 1.5,
        born_ms: None,
    };
    let written = Datagram { body: Body::Load(load), ..datagram(Some(7)) };
    let bytes = written.to_bytes().expect("it always serializes");

    assert_eq!(Datagram::parse(&bytes).expect("its own bytes"), written);
    assert!(Datagram::parse(&bytes[..3]).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Any host can send to the port.
    #[test]
    fn bytes_of_strangers_are_dropped_or_read_and_never_stop_the_process(
        bytes in prop::collection::vec(any::<u8>(), 0..2000),
    ) {
        let mut reader = DatagramReader::default();
        let _ = reader.read(&bytes, Duration::ZERO);
    }

    #[test]
    fn a_datagram_that_was_cut_is_dropped(cut in 1..20usize) {
        let load = RankLoad {
            group: 7, running: 3, waiting: 1, formation: 2, is_open: true, slowdown: 1.5,
            born_ms: Some(5),
        };
        let written = Datagram { body: Body::Load(load), ..datagram(Some(7)) };
        let bytes = written.to_bytes().expect("it always serializes");
        let kept = bytes.len().saturating_sub(cut);

        prop_assert!(DatagramReader::default().read(&bytes[..kept], Duration::ZERO).is_none());
    }
}
