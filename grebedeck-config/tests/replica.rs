//! Replicas that receive revisions late, repeatedly, out of order and from stale peers.

use std::collections::{BTreeMap, HashMap};

use grebedeck_config::{ApplyResult, CatchUp, Change, LogEntry, Organisation, Replica};
use proptest::prelude::*;

const REVISIONS: u64 = 12;

fn log() -> Vec<LogEntry> {
    let mut replica = Replica::default();
    let mut log = Vec::new();

    for revision in 1..=REVISIONS {
        // Organisations are added, removed and added again.
        let organisation = (!revision.is_multiple_of(4)).then(Organisation::default);
        let name = format!("org-{}", revision % 4 % 3);
        let change = Change {
            id: format!("change-{revision}"),
            organisations: BTreeMap::from([(name, organisation)]),
            ..Change::default()
        };
        let digest = change.apply(replica.document()).digest();
        let entry = LogEntry { revision, digest, accepted_unix_ms: revision, change };
        assert_eq!(replica.apply_entry(entry.clone()), ApplyResult::Applied);
        log.push(entry);
    }

    log
}

#[derive(Clone, Debug)]
enum Event {
    /// A process reads the store up to some revision; the read may be stale.
    ReadStore { process: usize, until: u64 },
    /// A process sends another one an update from the revision at which it last knew it, or from 0.
    Send { from: usize, to: usize, revision: u64 },
    /// A message that was sent earlier arrives, possibly again.
    Deliver { message: usize, to: usize },
    /// A process is replaced by one without a configuration.
    Replace { process: usize },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let process = 0usize..5;
    let one = prop_oneof![
        2 => (process.clone(), 0..=REVISIONS)
            .prop_map(|(process, until)| Event::ReadStore { process, until }),
        4 => (process.clone(), process.clone(), 0..=REVISIONS)
            .prop_map(|(from, to, revision)| Event::Send { from, to, revision }),
        4 => (any::<usize>(), process.clone())
            .prop_map(|(message, to)| Event::Deliver { message, to }),
        1 => process.prop_map(|process| Event::Replace { process }),
    ];

    prop::collection::vec(one, 10..150)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() })]

    #[test]
    fn replica_revisions_never_decrease_and_digests_agree(events in events()) {
        let log = log();
        let mut replicas = vec![Replica::default(); 5];
        let mut sent: Vec<CatchUp> = Vec::new();
        let mut digests: HashMap<u64, u64> = HashMap::new();

        for event in events {
            let before: Vec<u64> = replicas.iter().map(Replica::revision).collect();
            let mut replaced = None;

            match event {
                Event::ReadStore { process, until } => {
                    let entries = log.iter().filter(|e| e.revision <= until).cloned().collect();
                    replicas[process].apply(CatchUp::Entries(entries));
                }
                Event::Send { from, to, revision } => {
                    if let Some(catch_up) = replicas[from].catch_up(revision) {
                        sent.push(catch_up.clone());
                        prop_assert!(replicas[to].apply(catch_up) != ApplyResult::Corrupt);
                    }
                }
                Event::Deliver { message, to } => {
                    if !sent.is_empty() {
                        let message = sent[message % sent.len()].clone();
                        prop_assert!(replicas[to].apply(message) != ApplyResult::Corrupt);
                    }
                }
                Event::Replace { process } => {
                    replicas[process] = Replica::default();
                    replaced = Some(process);
                }
            }

            for (process, replica) in replicas.iter().enumerate() {
                let is_monotonic = replaced == Some(process) || replica.revision() >= before[process];
                prop_assert!(is_monotonic, "revision of process {process} decreased");
                let expected = *digests.entry(replica.revision()).or_insert(replica.digest());
                prop_assert_eq!(expected, replica.digest());
                prop_assert_eq!(replica.document().digest(), replica.digest());
            }
        }

        // Whatever was lost, one complete log brings every replica to the newest revision.
        for replica in &mut replicas {
            replica.apply(CatchUp::Entries(log.clone()));
            prop_assert_eq!(replica.revision(), REVISIONS);
        }
    }
}

#[test]
fn a_snapshot_with_a_wrong_digest_is_not_applied() {
    let mut source = Replica::default();
    source.apply(CatchUp::Entries(log()));
    let mut snapshot = source.snapshot();
    snapshot.document.organisations.insert("extra".to_string(), Organisation::default());
    let mut replica = Replica::default();

    assert_eq!(replica.apply_snapshot(snapshot), ApplyResult::Corrupt);
    assert_eq!(replica.revision(), 0);
    assert_eq!(replica.apply_snapshot(source.snapshot()), ApplyResult::Applied);
    assert_eq!(replica.digest(), source.digest());
}
