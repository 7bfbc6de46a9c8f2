//! Evacuated halls: which changes apply, and when their targets leave and return.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::evacuation::{DEFAULT_EVACUATION_BOUND, MAX_HALL_NAME_BYTES, MAX_HALLS};
use grebedeck_gateway::{
    Evacuations, HallEvent, HallStatus, HallStatuses, ListedTarget, TargetEntry, TargetList,
    TargetState,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn target(id: &str, hall: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "plain".into(),
        address: ([127, 0, 0, 1], 1 + id.len() as u16).into(),
        hall: hall.into(),
        slots: 4,
        state: TargetState::Serving,
        born_ms: None,
        cold: Duration::ZERO,
    }
}

fn halls(halls: &Evacuations) -> Vec<String> {
    halls.halls().map(|(hall, _)| hall.clone()).collect()
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Number of a hall's 100 targets that get no new requests at a moment.
fn excluded(halls: &Evacuations, hall: &str, now: Moment) -> usize {
    (0..100).filter(|n| halls.excludes(&target(&format!("i-{n}"), hall), now)).count()
}

fn evacuated_at(at: Moment) -> Evacuations {
    let mut all = Evacuations::default();
    all.apply_change(5, &"north".into(), true, at);
    all.advance_to(5);
    all
}

#[test]
fn targets_leave_one_after_another_and_well_before_the_bound() {
    let all = evacuated_at(MS(1000));
    let at = |ms: u64| excluded(&all, "north", MS(1000 + ms));

    assert!(at(0) <= 2, "{}", at(0));
    assert!((30..70).contains(&at(833)), "{}", at(833));
    assert_eq!(at(1700), 100);
    assert_eq!(excluded(&all, "south", MS(9000)), 0);
    let mut before = 0;

    for ms in (0..1700).step_by(100) {
        assert!(at(ms) >= before, "no target returns during the ramp");
        assert!(at(ms) <= before + 20, "targets leave gradually");
        before = at(ms);
    }
}

#[test]
fn a_shorter_bound_shortens_the_ramp() {
    let mut all = evacuated_at(MS(1000));
    all.set_bound(MS(600));

    assert_eq!(excluded(&all, "north", MS(1201)), 100);
}

#[test]
fn an_evacuation_read_at_the_start_applies_at_once() {
    let mut all = Evacuations::default();
    let events = all.apply_snapshot(9, &names(&["north"]), None, MS(3));

    assert_eq!(events, [HallEvent::Evacuated { hall: "north".into(), version: 9 }]);
    assert_eq!(excluded(&all, "north", MS(3)), 100);
}

/// A change that arrives late, through a peer or after an outage of the store, leaves less time.
#[test]
fn the_age_of_a_change_counts() {
    let statuses = evacuated_at(MS(4000)).statuses(MS(5000));
    let mut other = Evacuations::default();
    other.merge(&statuses, MS(90_000));
    assert_eq!(
        excluded(&other, "north", MS(90_000)),
        excluded(&evacuated_at(MS(0)), "north", MS(1000))
    );
    assert_eq!(excluded(&other, "north", MS(90_700)), 100);

    let mut young = Evacuations::default();
    young.merge(&statuses, MS(10));
    assert_eq!(excluded(&young, "north", MS(10)), 100, "the change is older than the process");

    let mut after_trouble = Evacuations::default();
    after_trouble.apply_snapshot(1, &[], None, MS(0));
    after_trouble.apply_snapshot(7, &names(&["north"]), Some(MS(100)), MS(9000));
    assert_eq!(excluded(&after_trouble, "north", MS(9000)), 100);
}

#[test]
fn a_reopened_hall_returns_target_by_target() {
    let mut all = evacuated_at(MS(1000));
    assert_eq!(all.reopened_at("north"), None);
    let event = all.apply_change(8, &"north".into(), false, MS(9000));
    assert_eq!(event, Some(HallEvent::Reopened { hall: "north".into(), version: 8 }));

    assert_eq!(all.reopened_at("north"), Some(MS(9000)));
    assert_eq!(all.reopened_at("south"), None);
    assert!(excluded(&all, "north", MS(9000)) >= 98);
    assert!((30..70).contains(&excluded(&all, "north", MS(9833))));
    assert_eq!(excluded(&all, "north", MS(10_700)), 0);
    assert!(all.has_transition_between(MS(9500), MS(9600)));
    assert!(!all.has_transition_between(MS(10_700), MS(99_000)));
}

#[test]
fn reopening_a_hall_during_the_ramp_removes_no_further_target() {
    let mut all = evacuated_at(MS(1000));
    let before = excluded(&all, "north", MS(1400));
    all.apply_change(8, &"north".into(), false, MS(1400));

    assert!(excluded(&all, "north", MS(1400)) <= before);
    assert!((1400..3200).all(|ms| excluded(&all, "north", MS(ms)) <= before));
    assert_eq!(excluded(&all, "north", MS(3200)), 0);
}

#[test]
fn targets_that_have_not_returned_stay_out_when_the_hall_is_evacuated_again() {
    let mut all = evacuated_at(MS(1000));
    all.apply_change(8, &"north".into(), false, MS(9000));
    all.apply_change(9, &"north".into(), true, MS(9400));

    assert_eq!(excluded(&all, "north", MS(9400)), 100);
    assert_eq!(all.reopened_at("north"), None);
}

#[test]
fn a_change_that_arrives_twice_has_no_effect() {
    let mut all = evacuated_at(MS(1000));
    let north = "north".to_string();

    assert_eq!(all.apply_change(5, &north, true, MS(2500)), None);
    assert_eq!(all.apply_change(6, &north, true, MS(2600)), None, "written once more");
    assert_eq!(excluded(&all, "north", MS(2700)), 100, "the ramp continues from the first change");
    assert_eq!(all.apply_change(4, &north, false, MS(2800)), None, "an older change");
    assert_eq!(halls(&all), ["north"]);
}

#[test]
fn stale_statuses_of_a_peer_undo_nothing() {
    let cut_off = evacuated_at(MS(0)).statuses(MS(500));
    let mut current = evacuated_at(MS(0));
    current.apply_change(8, &"north".into(), false, MS(9000));
    current.advance_to(8);

    assert!(current.merge(&cut_off, MS(9100)).is_empty());
    assert!(halls(&current).is_empty());

    let mut late = evacuated_at(MS(0));
    let statuses = current.statuses(MS(9500));
    assert_eq!(
        late.merge(&statuses, MS(9500)),
        [HallEvent::Reopened { hall: "north".into(), version: 8 }]
    );
    assert_eq!(late.reopened_at("north"), Some(MS(9000)));
}

#[test]
fn halls_that_a_snapshot_does_not_contain_are_reopened() {
    let mut all = Evacuations::default();
    all.apply_snapshot(5, &names(&["north", "south"]), None, MS(0));
    let events = all.apply_snapshot(9, &names(&["south"]), Some(MS(50)), MS(100));

    assert_eq!(events, [HallEvent::Reopened { hall: "north".into(), version: 9 }]);
    assert!(
        all.apply_snapshot(6, &names(&["north"]), None, MS(200)).is_empty(),
        "an older snapshot"
    );
    assert_eq!(halls(&all), ["south"]);
}

#[test]
fn evacuating_an_unknown_hall_affects_no_other_target() {
    let mut all = Evacuations::default();
    all.apply_change(5, &"a%20hall/\u{2603}".into(), true, MS(0));

    assert_eq!(halls(&all).len(), 1);
    assert_eq!(excluded(&all, "north", MS(9000)), 0);
    assert_eq!(excluded(&all, "a%20hall/\u{2603}", MS(9000)), 100);
}

#[test]
fn statuses_are_bounded() {
    let mut all = Evacuations::default();
    let long = "x".repeat(MAX_HALL_NAME_BYTES + 1);
    let dropped = all.apply_change(1, &long, true, MS(0));
    assert_eq!(dropped, Some(HallEvent::Dropped { hall: long, version: 1 }));

    for number in 0..MAX_HALLS as u64 {
        all.apply_change(2 + number, &format!("hall-{number}"), true, MS(0));
        all.advance_to(2 + number);
    }

    let next = 3 + MAX_HALLS as u64;
    let one_more = all.apply_change(next, &"one-more".into(), true, MS(0));
    assert!(matches!(one_more, Some(HallEvent::Dropped { .. })), "{one_more:?}");
    assert!(!all.statuses(MS(0)).is_complete, "peers must not reopen a hall that was dropped here");

    // A reopened hall is evicted to make room, and an older change of it has no effect afterwards.
    all.apply_change(next + 1, &"hall-7".into(), false, MS(0));
    all.advance_to(next + 1);
    let room = all.apply_change(next + 2, &"one-more".into(), true, MS(0));
    assert!(matches!(room, Some(HallEvent::Evacuated { .. })), "{room:?}");
    let old = HallStatus { hall: "hall-7".into(), version: 9, is_evacuated: true, age_ms: Some(9) };
    let statuses = HallStatuses { version: 9, is_complete: true, statuses: vec![old] };
    assert!(all.merge(&statuses, MS(100)).is_empty());
}

fn list_of(entries: &[(&str, &str)]) -> TargetList {
    let mut list = TargetList::default();
    let listed = entries.iter().enumerate().map(|(at, (id, hall))| {
        let mut entry = target(id, hall);
        entry.address.set_port(100 + at as u16);
        ListedTarget { version: 1 + at as u64, entry }
    });
    list.apply_snapshot(50, listed.collect::<Vec<_>>(), MS(0));
    list
}

fn serving(list: &TargetList) -> Vec<String> {
    list.serving("plain").map_or(Vec::new(), |all| all.iter().map(|t| t.id.clone()).collect())
}

#[test]
fn targets_of_evacuated_halls_are_not_serving_but_stay_listed() {
    let mut list = list_of(&[("a", "north"), ("b", "south"), ("c", "north")]);
    let evacuate =
        |halls: &mut Evacuations| halls.apply_snapshot(60, &names(&["north"]), None, MS(9));
    list.update_evacuations(evacuate, MS(9));

    assert_eq!(serving(&list), ["b"]);
    assert!(!list.is_evacuated("plain"));
    assert_eq!(list.all().count(), 3, "running requests may finish there");
    assert!(list.get("a").is_some());

    let both = |halls: &mut Evacuations| halls.apply_change(61, &"south".into(), true, MS(10));
    list.update_evacuations(both, MS(10));
    list.tick(MS(10) + DEFAULT_EVACUATION_BOUND / 2);
    assert!(serving(&list).is_empty());
    assert!(list.is_evacuated("plain"));
    assert!(!list.is_evacuated("other"), "a service without targets");

    let reopen = |halls: &mut Evacuations| halls.apply_change(62, &"south".into(), false, MS(9000));
    list.update_evacuations(reopen, MS(9000));
    list.tick(MS(9000) + DEFAULT_EVACUATION_BOUND / 2);
    assert_eq!(serving(&list), ["b"]);
    assert!(!list.is_evacuated("plain"));
}

#[test]
fn targets_added_to_an_evacuated_hall_are_not_serving() {
    let mut list = list_of(&[("a", "south")]);
    let evacuate =
        |halls: &mut Evacuations| halls.apply_snapshot(60, &names(&["north"]), None, MS(9));
    list.update_evacuations(evacuate, MS(9));
    let entry = target("new-one", "north");
    let new = grebedeck_gateway::TargetChange::Set(ListedTarget { version: 70, entry });
    list.apply_changes(70, vec![new], MS(20));

    assert_eq!(serving(&list), ["a"]);
}

#[test]
fn a_list_detects_that_its_index_is_outdated() {
    let mut list = list_of(&[("a", "north")]);
    let evacuate =
        |halls: &mut Evacuations| halls.apply_change(60, &"north".into(), true, MS(1000));
    list.update_evacuations(evacuate, MS(1000));

    assert!(!list.is_index_stale(MS(250), MS(1200)));
    assert!(list.is_index_stale(MS(250), MS(9000)), "the process was frozen during the ramp");
    list.tick(MS(9000));
    assert!(serving(&list).is_empty());
    assert!(!list.is_index_stale(MS(250), MS(99_000)));
}

/// Event in a run with several gateways.
#[derive(Clone, Debug)]
enum Step {
    /// Operators write or remove a hall's key.
    Write { hall: usize, is_set: bool },
    /// A gateway reads the whole state as of some versions ago.
    Read { gateway: usize, versions_back: u64 },
    /// A gateway's watch returns all changes since the last, or only the newest of each hall.
    Watch { gateway: usize, is_compacted: bool },
    /// A gateway receives an old change again.
    Repeat { gateway: usize, versions_back: u64 },
    /// A gateway merges the statuses of another.
    Merge { gateway: usize, other: usize },
    /// A gateway restarts.
    Restart { gateway: usize },
}

const GATEWAYS: usize = 3;
const HALLS: [&str; 3] = ["north", "south", "no hall%"];

fn step() -> impl Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;

    prop_oneof![
        4 => (0..HALLS.len(), any::<bool>())
            .prop_map(|(hall, is_set)| Step::Write { hall, is_set }),
        1 => (gateway.clone(), 0..6u64)
            .prop_map(|(gateway, versions_back)| Step::Read { gateway, versions_back }),
        3 => (gateway.clone(), any::<bool>())
            .prop_map(|(gateway, is_compacted)| Step::Watch { gateway, is_compacted }),
        1 => (gateway.clone(), 0..9u64)
            .prop_map(|(gateway, versions_back)| Step::Repeat { gateway, versions_back }),
        3 => (gateway.clone(), 0..GATEWAYS)
            .prop_map(|(gateway, other)| Step::Merge { gateway, other }),
        1 => gateway.prop_map(|gateway| Step::Restart { gateway }),
    ]
}

/// The store's changes; the change of version n is at index n - 1.
#[derive(Default)]
struct StoreHistory(Vec<(usize, bool)>);

impl StoreHistory {
    fn version(&self) -> u64 {
        self.0.len() as u64
    }

    fn at(&self, version: u64) -> BTreeSet<String> {
        let mut halls = BTreeMap::new();

        for (hall, is_set) in &self.0[..version as usize] {
            halls.insert(HALLS[*hall].to_string(), *is_set);
        }

        halls.into_iter().filter(|(_, is_set)| *is_set).map(|(hall, _)| hall).collect()
    }

    /// Changes after a version; only the newest of each hall if `is_compacted`.
    fn after(&self, version: u64, is_compacted: bool) -> Vec<(u64, usize, bool)> {
        let numbered = self.0.iter().enumerate().skip(version as usize);
        let all: Vec<_> = numbered.map(|(at, (hall, set))| (at as u64 + 1, *hall, *set)).collect();
        let is_last = |(version, hall, _): &(u64, usize, bool)| {
            !all.iter().any(|(v, h, _)| v > version && h == hall)
        };

        all.iter().filter(|change| !is_compacted || is_last(change)).copied().collect()
    }
}

#[derive(Default)]
struct Gateway {
    halls: Evacuations,
    /// Version that its watch continues from; `None` before its first read.
    after: Option<u64>,
}

fn run_step(gateways: &mut [Gateway], store: &mut StoreHistory, step: &Step, now: Moment) {
    match *step {
        Step::Write { hall, is_set } => store.0.push((hall, is_set)),
        Step::Read { gateway, versions_back } => {
            let version = store.version().saturating_sub(versions_back);
            let halls: Vec<String> = store.at(version).into_iter().collect();
            gateways[gateway].halls.apply_snapshot(version, &halls, None, now);
            gateways[gateway].after = Some(version);
        }
        Step::Watch { gateway, is_compacted } => {
            let gateway = &mut gateways[gateway];
            let changes =
                gateway.after.map(|after| store.after(after, is_compacted)).unwrap_or_default();

            for (version, hall, is_set) in &changes {
                gateway.halls.apply_change(*version, &HALLS[*hall].into(), *is_set, now);
            }

            if let Some((newest, ..)) = changes.last() {
                gateway.halls.advance_to(*newest);
                gateway.after = Some(*newest);
            }
        }
        Step::Repeat { gateway, versions_back } => {
            let halls = &mut gateways[gateway].halls;
            let version = halls.version().saturating_sub(versions_back);

            if version > 0 {
                let (hall, is_set) = store.0[version as usize - 1];
                halls.apply_change(version, &HALLS[hall].into(), is_set, now);
            }
        }
        Step::Merge { gateway, other } => {
            let statuses = gateways[other].halls.statuses(now);
            gateways[gateway].halls.merge(&statuses, now);
        }
        Step::Restart { gateway } => gateways[gateway] = Gateway::default(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default() })]

    /// In any order of events, a gateway's evacuated halls are those of one version of the store,
    /// and that version decreases only at a restart.
    #[test]
    fn halls_match_one_store_version_that_never_decreases(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut store = StoreHistory::default();
        let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|_| Gateway::default()).collect();

        for (at, step) in steps.iter().enumerate() {
            let before: Vec<u64> = gateways.iter().map(|g| g.halls.version()).collect();
            run_step(&mut gateways, &mut store, step, MS(at as u64 * 100));

            for (number, gateway) in gateways.iter().enumerate() {
                let version = gateway.halls.version();
                let has_restarted = matches!(step, Step::Restart { gateway } if *gateway == number);
                let known: BTreeSet<String> = halls(&gateway.halls).into_iter().collect();
                prop_assert!(has_restarted || version >= before[number]);
                prop_assert_eq!(known, store.at(version), "gateway {} at {}", number, version);
            }
        }

        // After merging from an up-to-date gateway, a gateway is up to date.
        gateways[0].halls.apply_snapshot(
            store.version(),
            &Vec::from_iter(store.at(store.version())),
            None,
            MS(0),
        );
        let statuses = gateways[0].halls.statuses(MS(0));
        gateways[1].halls.merge(&statuses, MS(0));
        prop_assert_eq!(BTreeSet::from_iter(halls(&gateways[1].halls)), store.at(store.version()));
    }
}
