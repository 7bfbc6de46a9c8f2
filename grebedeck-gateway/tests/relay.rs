//! Selection of relays for the store's contents, and the feeds that relays serve to followers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_gateway::{
    Feed, FeedSize, FeedState, HeldBytes, ListedTarget, OperatorChange, OperatorState,
    RelayOptions, RelaySelector, RequestKind, RouteRule, Site, Snapshot, Source, TargetChange,
    TargetEntry, TargetListing, TargetState, Watched, WeightedService,
};
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const HALLS: usize = 5;

/// Selectors of all gateways of a hall, each with the same list.
fn hall_of(size: usize) -> Vec<RelaySelector<String>> {
    hall_with_links(size, |_| 100)
}

fn hall_with_links(size: usize, link_mbps: impl Fn(usize) -> u32) -> Vec<RelaySelector<String>> {
    let names: Vec<String> = (0..size).map(name).collect();

    let gateway = |own: &String| {
        let mut relays = RelaySelector::new(own.clone(), RelayOptions::default());
        let links = names.iter().enumerate().map(|(at, name)| (name.clone(), link_mbps(at)));
        relays.set_gateways("north", links);
        relays
    };

    names.iter().map(gateway).collect()
}

fn name(at: usize) -> String {
    format!("gateway-{at}")
}

fn readers(hall: &[RelaySelector<String>], now: Duration) -> Vec<usize> {
    let reads = |at: &usize| hall[*at].source(now) == Source::Store;

    (0..hall.len()).filter(reads).collect()
}

/// Number of followers of each relay.
fn followers(hall: &[RelaySelector<String>], now: Duration) -> HashMap<String, usize> {
    let mut followers = HashMap::new();

    for relays in hall {
        if let Source::Relay(relay) = relays.source(now) {
            *followers.entry(relay).or_default() += 1;
        }
    }

    followers
}

/// Load: four sizes of a fleet in five halls. The number of gateways that read the store must not
/// grow with the fleet.
#[test]
fn the_number_of_store_readers_does_not_grow_with_the_gateways() {
    let counts = [20, 40, 80, 160].map(|size| {
        let hall = hall_of(size);
        let readers = readers(&hall, MS(0)).len();
        let followers = followers(&hall, MS(0));

        assert_eq!(followers.len(), 1, "all follow the same relay");
        assert_eq!(followers.values().sum::<usize>(), size - readers);
        readers * HALLS
    });

    assert_eq!(counts, [HALLS; 4]);
}

/// Load: a relay sends a configuration to all followers at once over the link that carries callers'
/// streams.
#[test]
fn a_gateway_with_the_largest_link_is_the_relay() {
    let hall = hall_with_links(40, |at| if at % 10 == 3 { 1000 } else { 40 });

    assert!(readers(&hall, MS(0)).iter().all(|at| at % 10 == 3));
    assert_eq!(readers(&hall, MS(0)).len(), 1);
}

#[test]
fn the_gateways_of_a_small_hall_read_the_store_themselves() {
    let hall = hall_of(4);

    assert_eq!(readers(&hall, MS(0)).len(), 4);
    assert!(!hall[0].uses_relays());
}

#[test]
fn the_next_gateway_replaces_a_relay_that_is_gone() {
    let mut hall = hall_of(20);
    let gone = readers(&hall, MS(0))[0];

    for gateway in &mut hall {
        gateway.record_relay_failure(&name(gone), MS(0));
    }

    let staying: Vec<usize> = (0..hall.len()).filter(|at| *at != gone).collect();
    let sources = staying.iter().map(|at| hall[*at].source(MS(1)));
    let next: Vec<Source<String>> = sources.filter(|s| *s != Source::Store).collect();

    assert_eq!(next.len(), staying.len() - 1, "one other gateway reads the store");
    assert!(next.iter().all(|s| *s == next[0] && *s != Source::Relay(name(gone))));
    // The relay is tried again after the backoff.
    let is_gone = |s: Source<String>| s == Source::Relay(name(gone));
    assert!(staying.iter().map(|at| hall[*at].source(MS(11_000))).all(is_gone));
}

#[test]
fn a_gateway_with_a_follower_reads_the_store_until_its_lease_ends() {
    let mut hall = hall_of(20);
    let readers = readers(&hall, MS(0));
    let asked = (0..20).find(|at| !readers.contains(at)).expect("a follower");
    hall[asked].record_follower(MS(100));

    assert_eq!(hall[asked].source(MS(4_000)), Source::Store);
    assert_ne!(hall[asked].source(MS(4_200)), Source::Store);
}

/// Failure: the store refuses some gateways, relays among them, and serves the others.
#[test]
fn a_relay_that_the_store_refuses_follows_another_gateway() {
    let mut hall = hall_of(20);
    let relay = readers(&hall, MS(0))[0];
    hall[relay].record_store_failure(MS(0));

    assert!(matches!(hall[relay].source(MS(1)), Source::Relay(other) if other != name(relay)));
    assert!(hall[relay].is_store_failing(MS(1)));
    assert_eq!(hall[relay].source(MS(2_500)), Source::Store, "it tries the store again");
}

proptest! {
    /// No gateway follows itself, whichever failures it has recorded.
    #[test]
    fn no_gateway_follows_itself(
        size in 1..30usize,
        failed in prop::collection::vec(0..30usize, 0..40),
    ) {
        let mut hall = hall_of(size);

        for (step, failed) in failed.iter().enumerate() {
            let at = step % size;
            hall[at].record_relay_failure(&name(*failed), MS(0));
            hall[at].record_store_failure(MS(0));
            let source = hall[at].source(MS(1));
            prop_assert_ne!(source, Source::Relay(name(at)));
        }
    }
}

fn entry(id: u8, slots: u32) -> TargetEntry {
    TargetEntry {
        id: format!("t-{id}"),
        service: "plain".into(),
        address: ([127, 0, 0, 1], u16::from(id) + 1).into(),
        hall: "north".into(),
        slots,
        state: TargetState::Serving,
        born_ms: None,
        cold: MS(0),
    }
}

fn set(version: u64, id: u8, slots: u32) -> TargetChange {
    TargetChange::Set(ListedTarget { version, entry: entry(id, slots) })
}

fn removed(version: u64, id: u8) -> TargetChange {
    TargetChange::Removed { version, id: format!("t-{id}") }
}

fn empty_snapshot(version: u64) -> Snapshot<TargetListing> {
    Snapshot { version, value: TargetListing::default() }
}

fn changed(version: u64, changes: Vec<TargetChange>) -> Watched<TargetChange> {
    Watched::Changed { version, changes }
}

#[test]
fn a_feed_returns_the_changes_after_any_version_since_its_first_read() {
    let mut feed: Feed<TargetListing> = Feed::default();
    assert_eq!(feed.changes_after(0), Watched::HistoryGone, "nothing was read");

    feed.replace(empty_snapshot(10), MS(0));
    feed.extend(&changed(12, vec![set(11, 1, 4), set(12, 2, 4)]), MS(5));
    feed.extend(&changed(14, vec![removed(14, 1)]), MS(9));

    assert_eq!(feed.changes_after(9), Watched::HistoryGone);
    let all = vec![set(11, 1, 4), set(12, 2, 4), removed(14, 1)];
    assert_eq!(feed.changes_after(10), changed(14, all));
    assert_eq!(feed.changes_after(12), changed(14, vec![removed(14, 1)]));
    assert_eq!(feed.changes_after(14), Watched::Quiet);
    // A relay that is behind its follower has no changes for it.
    assert_eq!(feed.changes_after(20), Watched::Quiet);
    assert_eq!(feed.age(MS(20)), MS(11));
}

#[test]
fn a_feed_is_stale_from_a_failed_call_until_the_next_answer() {
    let mut feed: Feed<TargetListing> = Feed::default();
    assert_eq!(feed.state(), FeedState::Empty);
    feed.replace(empty_snapshot(1), MS(0));
    assert_eq!(feed.state(), FeedState::Fresh);
    feed.mark_stale();
    assert_eq!(feed.state(), FeedState::Stale);
    feed.extend(&Watched::Quiet, MS(30));
    assert_eq!((feed.state(), feed.age(MS(30))), (FeedState::Fresh, MS(0)));
}

fn site(version: u64, routes: usize) -> Arc<Site> {
    let rule = |at: usize| RouteRule {
        name: format!("route-{at}"),
        host: "a.example".into(),
        path_prefix: format!("/{at}/"),
        kind: RequestKind::Safe,
        time_limit: MS(1000),
        objective: MS(100),
        pause_limit: None,
        priority: 1,
        services: vec![WeightedService { service: "plain".into(), weight: 1 }],
        max_targets: 2,
        is_public: false,
    };

    Arc::new(Site { version, routes: (0..routes).map(rule).collect(), ..Site::default() })
}

/// Failure: a feed kept every version of a large configuration until the process was killed for
/// its memory.
#[test]
fn a_feed_keeps_one_version_of_the_configuration() {
    let mut feed: Feed<OperatorState> = Feed::default();
    feed.replace(Snapshot { version: 1, value: OperatorState::default() }, MS(0));
    let largest_bytes = site(0, 500).held_bytes();

    for version in 2..1000 {
        let change = OperatorChange::Site(site(version, 500));
        feed.extend(&Watched::Changed { version, changes: vec![change] }, MS(version));
        let FeedSize { changes, changes_bytes, state_bytes } = feed.size();
        assert_eq!(changes, 1, "version {version}");
        assert!(changes_bytes + state_bytes < 3 * largest_bytes, "version {version}");
    }

    // A follower gets the newest version from any version that it had.
    for after in [1, 500, 998] {
        let changes = vec![OperatorChange::Site(site(999, 500))];
        assert_eq!(feed.changes_after(after), Watched::Changed { version: 999, changes });
    }

    assert_eq!(feed.changes_after(999), Watched::Quiet);
}

/// Failure: several versions in one answer of the store, and evacuations between them.
#[test]
fn a_redundant_change_is_not_kept_and_the_others_are() {
    let hall = |version, hall: &str| OperatorChange::Evacuated { version, hall: hall.into() };
    let reopened = |version| OperatorChange::Reopened { version, hall: "north".into() };
    let mut feed: Feed<OperatorState> = Feed::default();
    feed.replace(Snapshot { version: 1, value: OperatorState::default() }, MS(0));
    let first = vec![OperatorChange::Site(site(1, 3)), hall(2, "north"), hall(3, "south")];
    feed.extend(&Watched::Changed { version: 3, changes: first }, MS(0));
    let second = vec![OperatorChange::Site(site(2, 3)), reopened(5)];
    feed.extend(&Watched::Changed { version: 5, changes: second }, MS(0));

    let kept = vec![hall(3, "south"), OperatorChange::Site(site(2, 3)), reopened(5)];
    assert_eq!(feed.changes_after(1), Watched::Changed { version: 5, changes: kept });
    let read = feed.read().expect("the feed was read").value;
    assert_eq!((read.site, read.evacuated), (Some(site(2, 3)), vec!["south".to_string()]));
}

/// Load: targets whose entries change all the time, and targets that come and go for good.
#[test]
fn the_memory_of_a_feed_is_bounded_under_churn() {
    let mut feed: Feed<TargetListing> = Feed::default();
    feed.replace(empty_snapshot(0), MS(0));
    let mut most_bytes = 0;

    for version in 1..12_000_u64 {
        let id = if version % 3 == 0 { version } else { version % 50 };
        let mut entry = entry(1, 4);
        entry.id = format!("target-{id:030}");
        let removed = TargetChange::Removed { version, id: entry.id.clone() };
        let set = TargetChange::Set(ListedTarget { version, entry });
        let changes = if version % 3 == 0 { vec![set, removed] } else { vec![set] };
        feed.extend(&changed(version, changes), MS(version));
        most_bytes = most_bytes.max(feed.size().changes_bytes);
    }

    assert!(most_bytes <= 1 << 20, "{most_bytes}");
    assert_eq!(feed.size().state_bytes, feed.read().expect("was read").value.held_bytes());
    assert_eq!(feed.changes_after(1), Watched::HistoryGone);
    assert_ne!(feed.changes_after(11_990), Watched::HistoryGone);
}

proptest! {
    /// The state of a follower equals that of its relay, from whichever version it continues.
    #[test]
    fn a_follower_of_a_feed_gets_the_same_state(
        steps in prop::collection::vec((0..6u8, 0..4u32), 1..100),
        followed_at in 0..100usize,
    ) {
        let mut feed: Feed<TargetListing> = Feed::default();
        feed.replace(empty_snapshot(0), MS(0));
        let mut follower = feed.clone();

        for (step, (id, slots)) in steps.into_iter().enumerate() {
            let version = step as u64 + 1;
            let change = if slots == 0 { removed(version, id) } else { set(version, id, slots) };
            feed.extend(&changed(version, vec![change]), MS(0));

            if step == followed_at {
                follower.extend(&feed.changes_after(0), MS(0));
            }
        }

        let version = follower.read().expect("was read").version;
        follower.extend(&feed.changes_after(version), MS(0));
        let listed = |feed: &Feed<TargetListing>| {
            let mut targets = feed.read().expect("was read").value.targets;
            targets.sort_by(|one, other| one.entry.id.cmp(&other.entry.id));
            targets
        };
        prop_assert_eq!(listed(&follower), listed(&feed));
    }

    /// The state of a feed equals that of the store after any sequence of changes.
    #[test]
    fn a_feed_equals_the_store(steps in prop::collection::vec((0..6u8, 0..4u32), 1..200)) {
        let mut feed: Feed<TargetListing> = Feed::default();
        feed.replace(empty_snapshot(0), MS(0));
        let mut store: HashMap<String, u32> = HashMap::new();

        for (step, (id, slots)) in steps.into_iter().enumerate() {
            let version = step as u64 + 1;
            let change = if slots == 0 { removed(version, id) } else { set(version, id, slots) };

            match slots {
                0 => drop(store.remove(&format!("t-{id}"))),
                _ => drop(store.insert(format!("t-{id}"), slots)),
            }

            feed.extend(&changed(version, vec![change]), MS(0));
        }

        let read = feed.read().expect("the feed was read");
        let listed = read.value.targets.iter().map(|t| (t.entry.id.clone(), t.entry.slots));
        prop_assert_eq!(listed.collect::<HashMap<_, _>>(), store);
    }
}
