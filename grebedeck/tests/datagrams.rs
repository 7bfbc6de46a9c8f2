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

/// Two groups of one service use the same rank numbers. If a holder took another group's
/// confirmation that a rank is armed for one of its own group, it would release a pass that begins
/// with two placements.
#[test]
fn a_rank_accepts_datagrams_of_its_own_group_and_of_gateways_only() {
    assert!(datagram(Some(1)).is_for_group(Some(1)));
    assert!(datagram(None).is_for_group(Some(1)), "gateways belong to no group");
    assert!(!datagram(Some(2)).is_for_group(Some(1)));
    assert!(!datagram(Some(2)).is_for_group(None), "own group not known yet");
}

#[test]
fn an_encoded_datagram_decodes_to_the_same_value() {
    let load = RankLoad {
        group: 7,
        running: 3,
        waiting: 1,
        epoch: 2,
        is_open: true,
        slowdown: 1.5,
        born_ms: None,
    };
    let sent = Datagram { body: Body::Load(load), ..datagram(Some(7)) };
    let bytes = sent.to_bytes().expect("a datagram always serializes");

    assert_eq!(Datagram::parse(&bytes).expect("bytes of an encoded datagram"), sent);
    assert!(Datagram::parse(&bytes[..3]).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Any host can send to the port.
    #[test]
    fn arbitrary_bytes_never_cause_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..2000),
    ) {
        let mut reader = DatagramReader::default();
        let _ = reader.read(&bytes, Duration::ZERO);
    }

    #[test]
    fn a_truncated_datagram_is_dropped(cut in 1..20usize) {
        let load = RankLoad {
            group: 7, running: 3, waiting: 1, epoch: 2, is_open: true, slowdown: 1.5,
            born_ms: Some(5),
        };
        let sent = Datagram { body: Body::Load(load), ..datagram(Some(7)) };
        let bytes = sent.to_bytes().expect("a datagram always serializes");
        let kept = bytes.len().saturating_sub(cut);

        prop_assert!(DatagramReader::default().read(&bytes[..kept], Duration::ZERO).is_none());
    }
}
