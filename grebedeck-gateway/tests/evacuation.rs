//! Evacuated halls: which news hold, and when targets leave and return.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::evacuation::{DEFAULT_BOUND, MAX_HALL_BYTES, MAX_HALLS};
use grebedeck_gateway::{
    Evacuations, HallEvent, HallWord, HallWords, ListedTarget, TargetEntry, TargetList, TargetState,
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

fn halls(of: &Evacuations) -> Vec<String> {
    of.halls().map(|(hall, _)| hall.clone()).collect()
}

fn named(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Gets how many of a hall's targets are stopped at a moment.
fn stopped(of: &Evacuations, hall: &str, now: Moment) -> usize {
    (0..100).filter(|n| of.stops(&target(&format!("i-{n}"), hall), now)).count()
}

fn evacuated_at(at: Moment) -> Evacuations {
    let mut all = Evacuations::default();
    all.take_change(5, &"north".into(), true, at);
    all.known_up_to(5);
    all
}

#[test]
fn targets_leave_one_after_another_and_well_before_the_bound() {
    let all = evacuated_at(MS(1000));
    let at = |ms: u64| stopped(&all, "north", MS(1000 + ms));

    assert!(at(0) <= 2, "{}", at(0));
    assert!((30..70).contains(&at(833)), "{}", at(833));
    assert_eq!(at(1700), 100);
    assert_eq!(stopped(&all, "south", MS(9000)), 0);
    let mut before = 0;

    for ms in (0..1700).step_by(100) {
        assert!(at(ms) >= before, "none returns on the way");
        assert!(at(ms) <= before + 20, "not all in one moment");
        before = at(ms);
    }
}

#[test]
fn a_shorter_bound_is_kept() {
    let mut all = evacuated_at(MS(1000));
    all.set_bound(MS(600));

    assert_eq!(stopped(&all, "north", MS(1201)), 100);
}

#[test]
fn what_is_read_at_the_start_holds_at_once() {
    let mut all = Evacuations::default();
    let events = all.take_snapshot(9, &named(&["north"]), None, MS(3));

    assert_eq!(events, [HallEvent::Evacuated { hall: "north".into(), version: 9 }]);
    assert_eq!(stopped(&all, "north", MS(3)), 100);
}

/// News that come late, by a peer or after the store was away, leave less time.
#[test]
fn the_age_of_news_counts() {
    let told = evacuated_at(MS(4000)).words(MS(5000));
    let mut other = Evacuations::default();
    other.take_words(&told, MS(90_000));
    assert_eq!(
        stopped(&other, "north", MS(90_000)),
        stopped(&evacuated_at(MS(0)), "north", MS(1000))
    );
    assert_eq!(stopped(&other, "north", MS(90_700)), 100);

    let mut young = Evacuations::default();
    young.take_words(&told, MS(10));
    assert_eq!(stopped(&young, "north", MS(10)), 100, "older than the process");

    let mut after_trouble = Evacuations::default();
    after_trouble.take_snapshot(1, &[], None, MS(0));
    after_trouble.take_snapshot(7, &named(&["north"]), Some(MS(100)), MS(9000));
    assert_eq!(stopped(&after_trouble, "north", MS(9000)), 100);
}

#[test]
fn a_hall_that_is_taken_back_returns_target_by_target() {
    let mut all = evacuated_at(MS(1000));
    assert_eq!(all.returned_at("north"), None);
    let event = all.take_change(8, &"north".into(), false, MS(9000));
    assert_eq!(event, Some(HallEvent::TakenBack { hall: "north".into(), version: 8 }));

    assert_eq!(all.returned_at("north"), Some(MS(9000)));
    assert_eq!(all.returned_at("south"), None);
    assert!(stopped(&all, "north", MS(9000)) >= 98);
    assert!((30..70).contains(&stopped(&all, "north", MS(9833))));
    assert_eq!(stopped(&all, "north", MS(10_700)), 0);
    assert!(all.moves_between(MS(9500), MS(9600)));
    assert!(!all.moves_between(MS(10_700), MS(99_000)));
}

#[test]
fn a_hall_that_is_taken_back_soon_stops_nobody_else() {
    let mut all = evacuated_at(MS(1000));
    let before = stopped(&all, "north", MS(1400));
    all.take_change(8, &"north".into(), false, MS(1400));

    assert!(stopped(&all, "north", MS(1400)) <= before);
    assert!((1400..3200).all(|ms| stopped(&all, "north", MS(ms)) <= before));
    assert_eq!(stopped(&all, "north", MS(3200)), 0);
}

#[test]
fn targets_that_had_not_returned_stay_away_where_the_hall_is_evacuated_again() {
    let mut all = evacuated_at(MS(1000));
    all.take_change(8, &"north".into(), false, MS(9000));
    all.take_change(9, &"north".into(), true, MS(9400));

    assert_eq!(stopped(&all, "north", MS(9400)), 100);
    assert_eq!(all.returned_at("north"), None);
}

#[test]
fn a_word_that_comes_twice_changes_nothing() {
    let mut all = evacuated_at(MS(1000));
    let north = "north".to_string();

    assert_eq!(all.take_change(5, &north, true, MS(2500)), None);
    assert_eq!(all.take_change(6, &north, true, MS(2600)), None, "set once more");
    assert_eq!(stopped(&all, "north", MS(2700)), 100, "its time goes on from the first word");
    assert_eq!(all.take_change(4, &north, false, MS(2800)), None, "older");
    assert_eq!(halls(&all), ["north"]);
}

#[test]
fn a_gateway_that_was_cut_off_undoes_nothing() {
    let cut_off = evacuated_at(MS(0)).words(MS(500));
    let mut current = evacuated_at(MS(0));
    current.take_change(8, &"north".into(), false, MS(9000));
    current.known_up_to(8);

    assert!(current.take_words(&cut_off, MS(9100)).is_empty());
    assert!(halls(&current).is_empty());

    let mut late = evacuated_at(MS(0));
    let told = current.words(MS(9500));
    assert_eq!(
        late.take_words(&told, MS(9500)),
        [HallEvent::TakenBack { hall: "north".into(), version: 8 }]
    );
    assert_eq!(late.returned_at("north"), Some(MS(9000)));
}

#[test]
fn halls_that_a_whole_list_does_not_name_are_taken_back() {
    let mut all = Evacuations::default();
    all.take_snapshot(5, &named(&["north", "south"]), None, MS(0));
    let events = all.take_snapshot(9, &named(&["south"]), Some(MS(50)), MS(100));

    assert_eq!(events, [HallEvent::TakenBack { hall: "north".into(), version: 9 }]);
    assert!(all.take_snapshot(6, &named(&["north"]), None, MS(200)).is_empty(), "an older list");
    assert_eq!(halls(&all), ["south"]);
}

#[test]
fn a_hall_that_nobody_knows_stops_no_target() {
    let mut all = Evacuations::default();
    all.take_change(5, &"a%20hall/\u{2603}".into(), true, MS(0));

    assert_eq!(halls(&all).len(), 1);
    assert_eq!(stopped(&all, "north", MS(9000)), 0);
    assert_eq!(stopped(&all, "a%20hall/\u{2603}", MS(9000)), 100);
}

#[test]
fn words_are_bounded() {
    let mut all = Evacuations::default();
    let long = "x".repeat(MAX_HALL_BYTES + 1);
    let left_out = all.take_change(1, &long, true, MS(0));
    assert_eq!(left_out, Some(HallEvent::LeftOut { hall: long, version: 1 }));

    for number in 0..MAX_HALLS as u64 {
        all.take_change(2 + number, &format!("hall-{number}"), true, MS(0));
        all.known_up_to(2 + number);
    }

    let next = 3 + MAX_HALLS as u64;
    let one_more = all.take_change(next, &"one-more".into(), true, MS(0));
    assert!(matches!(one_more, Some(HallEvent::LeftOut { .. })), "{one_more:?}");
    assert!(!all.words(MS(0)).is_whole, "nobody takes back what was left out here");

    // Words on halls that were taken back make room, and their older words do not return.
    all.take_change(next + 1, &"hall-7".into(), false, MS(0));
    all.known_up_to(next + 1);
    let room = all.take_change(next + 2, &"one-more".into(), true, MS(0));
    assert!(matches!(room, Some(HallEvent::Evacuated { .. })), "{room:?}");
    let old = HallWord { hall: "hall-7".into(), version: 9, is_evacuated: true, age_ms: Some(9) };
    let told = HallWords { version: 9, is_whole: true, words: vec![old] };
    assert!(all.take_words(&told, MS(100)).is_empty());
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
fn the_list_leaves_out_targets_of_evacuated_halls_and_keeps_them_known() {
    let mut list = list_of(&[("a", "north"), ("b", "south"), ("c", "north")]);
    let evacuate =
        |halls: &mut Evacuations| halls.take_snapshot(60, &named(&["north"]), None, MS(9));
    list.update_evacuations(evacuate, MS(9));

    assert_eq!(serving(&list), ["b"]);
    assert!(!list.is_evacuated("plain"));
    assert_eq!(list.all().count(), 3, "what runs there ends in peace");
    assert!(list.get("a").is_some());

    let both = |halls: &mut Evacuations| halls.take_change(61, &"south".into(), true, MS(10));
    list.update_evacuations(both, MS(10));
    list.tick(MS(10) + DEFAULT_BOUND / 2);
    assert!(serving(&list).is_empty());
    assert!(list.is_evacuated("plain"));
    assert!(!list.is_evacuated("other"), "there is nothing to evacuate");

    let back = |halls: &mut Evacuations| halls.take_change(62, &"south".into(), false, MS(9000));
    list.update_evacuations(back, MS(9000));
    list.tick(MS(9000) + DEFAULT_BOUND / 2);
    assert_eq!(serving(&list), ["b"]);
    assert!(!list.is_evacuated("plain"));
}

#[test]
fn targets_that_are_listed_later_stay_out_of_an_evacuated_hall() {
    let mut list = list_of(&[("a", "south")]);
    let evacuate =
        |halls: &mut Evacuations| halls.take_snapshot(60, &named(&["north"]), None, MS(9));
    list.update_evacuations(evacuate, MS(9));
    let entry = target("new-one", "north");
    let new = grebedeck_gateway::TargetChange::Set(ListedTarget { version: 70, entry });
    list.apply_changes(70, vec![new], MS(20));

    assert_eq!(serving(&list), ["a"]);
}

#[test]
fn a_list_knows_when_it_is_to_be_made_anew() {
    let mut list = list_of(&[("a", "north")]);
    let evacuate = |halls: &mut Evacuations| halls.take_change(60, &"north".into(), true, MS(1000));
    list.update_evacuations(evacuate, MS(1000));

    assert!(!list.is_index_stale(MS(250), MS(1200)));
    assert!(list.is_index_stale(MS(250), MS(9000)), "a process that was frozen on the way");
    list.tick(MS(9000));
    assert!(serving(&list).is_empty());
    assert!(!list.is_index_stale(MS(250), MS(99_000)));
}

/// What happens to one of some gateways.
#[derive(Clone, Debug)]
enum Step {
    /// The operators write a key, or remove it.
    Write { hall: usize, is_set: bool },
    /// It reads whole, as the store was some versions ago.
    Read { gateway: usize, back: u64 },
    /// Its watch is answered: all changes since its last answer, or of each hall only the last.
    Watch { gateway: usize, is_brief: bool },
    /// Some old change comes once more.
    Again { gateway: usize, back: u64 },
    /// It asks another gateway.
    Ask { gateway: usize, other: usize },
    /// It starts anew.
    Restart { gateway: usize },
}

const GATEWAYS: usize = 3;
const HALLS: [&str; 3] = ["north", "south", "no hall%"];

fn step() -> impl Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;

    prop_oneof![
        4 => (0..HALLS.len(), any::<bool>()).prop_map(|(hall, is_set)| Step::Write { hall, is_set }),
        1 => (gateway.clone(), 0..6u64).prop_map(|(gateway, back)| Step::Read { gateway, back }),
        3 => (gateway.clone(), any::<bool>())
            .prop_map(|(gateway, is_brief)| Step::Watch { gateway, is_brief }),
        1 => (gateway.clone(), 0..9u64).prop_map(|(gateway, back)| Step::Again { gateway, back }),
        3 => (gateway.clone(), 0..GATEWAYS)
            .prop_map(|(gateway, other)| Step::Ask { gateway, other }),
        1 => gateway.prop_map(|gateway| Step::Restart { gateway }),
    ]
}

/// The store's changes: of version n the one at n - 1.
#[derive(Default)]
struct Truth(Vec<(usize, bool)>);

impl Truth {
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

    /// Gets the changes after a version, of each hall only the last where it is brief.
    fn after(&self, version: u64, is_brief: bool) -> Vec<(u64, usize, bool)> {
        let numbered = self.0.iter().enumerate().skip(version as usize);
        let all: Vec<_> = numbered.map(|(at, (hall, set))| (at as u64 + 1, *hall, *set)).collect();
        let is_last = |(version, hall, _): &(u64, usize, bool)| {
            !all.iter().any(|(v, h, _)| v > version && h == hall)
        };

        all.iter().filter(|change| !is_brief || is_last(change)).copied().collect()
    }
}

#[derive(Default)]
struct Gateway {
    halls: Evacuations,
    /// Where its watch goes on from, if it has read whole.
    after: Option<u64>,
}

fn take(gateways: &mut [Gateway], truth: &mut Truth, step: &Step, now: Moment) {
    match *step {
        Step::Write { hall, is_set } => truth.0.push((hall, is_set)),
        Step::Read { gateway, back } => {
            let version = truth.version().saturating_sub(back);
            let halls: Vec<String> = truth.at(version).into_iter().collect();
            gateways[gateway].halls.take_snapshot(version, &halls, None, now);
            gateways[gateway].after = Some(version);
        }
        Step::Watch { gateway, is_brief } => {
            let gateway = &mut gateways[gateway];
            let changes =
                gateway.after.map(|after| truth.after(after, is_brief)).unwrap_or_default();

            for (version, hall, is_set) in &changes {
                gateway.halls.take_change(*version, &HALLS[*hall].into(), *is_set, now);
            }

            if let Some((newest, ..)) = changes.last() {
                gateway.halls.known_up_to(*newest);
                gateway.after = Some(*newest);
            }
        }
        Step::Again { gateway, back } => {
            let halls = &mut gateways[gateway].halls;
            let version = halls.version().saturating_sub(back);

            if version > 0 {
                let (hall, is_set) = truth.0[version as usize - 1];
                halls.take_change(version, &HALLS[hall].into(), is_set, now);
            }
        }
        Step::Ask { gateway, other } => {
            let told = gateways[other].halls.words(now);
            gateways[gateway].halls.take_words(&told, now);
        }
        Step::Restart { gateway } => gateways[gateway] = Gateway::default(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default() })]

    /// Whatever the order of news, a gateway's halls are those of one version of the store, and that version never
    /// goes back in one life of it.
    #[test]
    fn halls_are_those_of_one_version_which_only_grows(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut truth = Truth::default();
        let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|_| Gateway::default()).collect();

        for (at, step) in steps.iter().enumerate() {
            let before: Vec<u64> = gateways.iter().map(|g| g.halls.version()).collect();
            take(&mut gateways, &mut truth, step, MS(at as u64 * 100));

            for (number, gateway) in gateways.iter().enumerate() {
                let version = gateway.halls.version();
                let has_restarted = matches!(step, Step::Restart { gateway } if *gateway == number);
                let known: BTreeSet<String> = halls(&gateway.halls).into_iter().collect();
                prop_assert!(has_restarted || version >= before[number]);
                prop_assert_eq!(known, truth.at(version), "gateway {} at {}", number, version);
            }
        }

        // Whoever asks somebody who knows all knows all.
        gateways[0].halls.take_snapshot(truth.version(), &Vec::from_iter(truth.at(truth.version())), None, MS(0));
        let told = gateways[0].halls.words(MS(0));
        gateways[1].halls.take_words(&told, MS(0));
        prop_assert_eq!(BTreeSet::from_iter(halls(&gateways[1].halls)), truth.at(truth.version()));
    }
}
