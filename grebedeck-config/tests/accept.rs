//! Acceptance of changes under races, lost responses and writes that take effect late.

use std::collections::BTreeMap;

use grebedeck_config::{
    AcceptAction, AcceptResult, Acceptor, ApplyResult, CatchUp, Change, LogEntry, Organisation,
    Replica, SelectorRule, StoreResponse, Target,
};
use proptest::prelude::*;

/// A store that confirms a write, loses the response to one that took effect, or delays a write.
#[derive(Default)]
struct Store {
    log: Vec<LogEntry>,
    ids: BTreeMap<String, u64>,
    delayed: Vec<LogEntry>,
}

impl Store {
    fn write(&mut self, entry: &LogEntry) -> bool {
        let fits = entry.revision == self.log.len() as u64 + 1;

        if !fits || self.ids.contains_key(&entry.change.id) {
            return false;
        }

        self.ids.insert(entry.change.id.clone(), entry.revision);
        self.log.push(entry.clone());
        true
    }

    fn apply_delayed_writes(&mut self) {
        for entry in std::mem::take(&mut self.delayed) {
            self.write(&entry);
        }
    }
}

struct Operator {
    acceptor: Acceptor,
    action: AcceptAction,
    id: String,
    replica: Replica,
}

impl Operator {
    fn new(change: Change) -> Self {
        let id = change.id.clone();
        let (acceptor, action) = Acceptor::new(change);

        Operator { acceptor, action, id, replica: Replica::default() }
    }

    fn step(&mut self, store: &mut Store, fault: u8) {
        self.action = match self.action.clone() {
            AcceptAction::CatchUp => {
                let before = self.replica.revision();
                self.replica.apply(CatchUp::Entries(store.log.clone()));
                assert!(self.replica.revision() >= before);
                let stored = store.ids.get(&self.id).copied();
                let document = self.replica.document().clone();
                self.acceptor.on_caught_up(self.replica.revision(), &document, stored, 0)
            }
            AcceptAction::Write(entry) => self.acceptor.on_response(match fault % 4 {
                0 => {
                    store.delayed.push(*entry);
                    StoreResponse::Lost
                }
                1 => {
                    store.write(&entry);
                    StoreResponse::Lost
                }
                _ if store.write(&entry) => StoreResponse::Written,
                _ => StoreResponse::Conflict,
            }),
            AcceptAction::ReadBack => {
                self.acceptor.on_response(match (fault % 3, store.ids.get(&self.id)) {
                    (0, _) => StoreResponse::Lost,
                    (_, Some(revision)) => StoreResponse::Found(*revision),
                    (_, None) => StoreResponse::Absent,
                })
            }
            finish => finish,
        };

        if fault.is_multiple_of(5) {
            store.apply_delayed_writes();
        }
    }

    fn result(&self) -> Option<&AcceptResult> {
        match &self.action {
            AcceptAction::Finish(result) => Some(result),
            _ => None,
        }
    }
}

fn change(number: usize) -> Change {
    let organisation = Organisation::default();

    Change {
        id: format!("change-{number}"),
        allow_no_capacity: true,
        organisations: BTreeMap::from([(format!("org-{number}"), Some(organisation))]),
        ..Change::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn results_reported_to_operators_stay_true(
        steps in prop::collection::vec((0usize..4, any::<u8>()), 40..400),
    ) {
        let mut store = Store::default();
        let mut operators: Vec<_> = (0..4).map(|n| Operator::new(change(n))).collect();

        for (operator, fault) in steps {
            operators[operator].step(&mut store, fault);
        }

        store.apply_delayed_writes();

        for operator in &operators {
            let stored = store.ids.get(&operator.id);
            let count = store.log.iter().filter(|e| e.change.id == operator.id).count();
            prop_assert!(count <= 1, "applied twice");

            match operator.result() {
                Some(AcceptResult::Accepted(revision)) => prop_assert_eq!(stored, Some(revision)),
                Some(AcceptResult::Refused(_)) => prop_assert_eq!(stored, None),
                _ => {}
            }
        }

        let mut replica = Replica::default();
        let result = replica.apply(CatchUp::Entries(store.log.clone()));
        prop_assert!(store.log.is_empty() || result == ApplyResult::Applied);
        prop_assert_eq!(replica.revision(), store.log.len() as u64);
    }
}

#[test]
fn a_refused_change_reports_every_fault() {
    let target = Target {
        labels: BTreeMap::from([("tier".into(), "not valid!".into())]),
        hall: String::new(),
        agent_address: "127.0.0.1:1".parse().unwrap(),
        group: Some("nowhere".into()),
        ranks: vec![],
        checks_orders: false,
    };
    let rule = SelectorRule { traffic: "tier in (gold".into(), capacity: "hall=none".into() };
    let mut change = change(1);
    change.targets.insert("t".into(), Some(target));
    change.selectors.insert("s".into(), Some(rule));
    change.selectors.insert("gone".into(), None);

    let faults = change.check(&Default::default()).unwrap_err();
    let fields: Vec<&str> = faults.0.iter().map(|f| f.field.as_str()).collect();

    for field in [
        "selectors.gone",
        "targets.t.labels.tier",
        "targets.t.hall",
        "targets.t.group",
        "targets.t.ranks",
        "selectors.s.traffic",
        "selectors.s.capacity",
    ] {
        assert!(fields.contains(&field), "{field} is not among {fields:?}");
    }
}

#[test]
fn an_organisation_without_capacity_needs_explicit_permission() {
    let mut change = change(1);
    change.allow_no_capacity = false;
    assert_eq!(change.check(&Default::default()).unwrap_err().0[0].field, "organisations.org-1");

    change.allow_no_capacity = true;
    assert!(change.check(&Default::default()).is_ok());
}

#[test]
fn a_replica_rejects_stale_gapped_and_corrupt_updates() {
    let entry = |revision, number| {
        let change = change(number);
        let digest = change.apply(&Default::default()).digest();
        LogEntry { revision, digest, accepted_unix_ms: 0, change }
    };
    let mut replica = Replica::default();

    assert_eq!(replica.apply_entry(entry(2, 1)), ApplyResult::Gap);
    let mut corrupt = entry(1, 1);
    corrupt.digest ^= 1;
    assert_eq!(replica.apply_entry(corrupt), ApplyResult::Corrupt);
    assert_eq!(replica.apply_entry(entry(1, 1)), ApplyResult::Applied);
    assert_eq!(replica.apply_entry(entry(1, 2)), ApplyResult::Stale);
    assert_eq!(replica.apply_snapshot(Default::default()), ApplyResult::Stale);
    assert!(replica.document().organisations.contains_key("org-1"));
}
