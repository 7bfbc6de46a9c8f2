//! Replicas that hear of revisions late, twice, out of order and from stale peers.

use std::collections::{BTreeMap, HashMap};

use grebedeck_config::{ApplyResult, CatchUp, Change, LogEntry, Organisation, Replica};
use proptest::prelude::*;

const REVISIONS: u64 = 12;

fn log() -> Vec<LogEntry> {
    let mut replica = Replica::default();
    let mut log = Vec::new();

    for revision in 1..=REVISIONS {
        // Some organisations come, some go, and some come again.
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
    /// One process reads the store up to some revision; the read may be stale.
    ReadStore { process: usize, until: u64 },
    /// One process tells another what it had lacked when they last spoke, if that was ever.
    Tell { from: usize, to: usize, lacked: u64 },
    /// A message that was sent before arrives, perhaps again.
    Deliver { message: usize, to: usize },
    /// A process is replaced and knows nothing.
    Replace { process: usize },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let process = 0usize..5;
    let one = prop_oneof![
        2 => (process.clone(), 0..=REVISIONS)
            .prop_map(|(process, until)| Event::ReadStore { process, until }),
        4 => (process.clone(), process.clone(), 0..=REVISIONS)
            .prop_map(|(from, to, lacked)| Event::Tell { from, to, lacked }),
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
    fn replicas_only_move_forward_and_agree_on_each_revision(events in events()) {
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
                Event::Tell { from, to, lacked } => {
                    if let Some(catch_up) = replicas[from].catch_up(lacked) {
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
                let kept = replaced == Some(process) || replica.revision() >= before[process];
                prop_assert!(kept, "process {process} went back");
                let known = *digests.entry(replica.revision()).or_insert(replica.digest());
                prop_assert_eq!(known, replica.digest());
                prop_assert_eq!(replica.document().digest(), replica.digest());
            }
        }

        // Whatever was lost before, one more round brings everybody to the newest revision.
        for replica in &mut replicas {
            replica.apply(CatchUp::Entries(log.clone()));
            prop_assert_eq!(replica.revision(), REVISIONS);
        }
    }
}

#[test]
fn a_snapshot_that_does_not_fit_its_digest_is_not_adopted() {
    let mut source = Replica::default();
    source.apply(CatchUp::Entries(log()));
    let mut snapshot = source.snapshot();
    snapshot.document.organisations.insert("smuggled".to_string(), Organisation::default());
    let mut replica = Replica::default();

    assert_eq!(replica.apply_snapshot(snapshot), ApplyResult::Corrupt);
    assert_eq!(replica.revision(), 0);
    assert_eq!(replica.apply_snapshot(source.snapshot()), ApplyResult::Applied);
    assert_eq!(replica.digest(), source.digest());
}
