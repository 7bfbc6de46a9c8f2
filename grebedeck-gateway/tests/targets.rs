//! The list of targets: late, lapsed and replaced entries.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_gateway::targets::{ListEvent, SubsetView};
use grebedeck_gateway::{
    ListedTarget, TargetChange, TargetEntry, TargetList, TargetListing, TargetState,
};
use grebedeck_routing::subset::SubsetOptions;
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn entry(id: &str, port: u16, state: TargetState) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "plain".into(),
        address: ([127, 0, 0, 1], port).into(),
        hall: "north".into(),
        slots: 4,
        state,
        born_ms: None,
        cold: MS(0),
    }
}

fn listed(version: u64, id: &str, port: u16) -> ListedTarget {
    ListedTarget { version, entry: entry(id, port, TargetState::Serving) }
}

fn in_hall(at: usize, hall: &str) -> ListedTarget {
    let target = entry(&format!("t-{at}"), at as u16 + 1, TargetState::Serving);

    ListedTarget { version: 1, entry: TargetEntry { hall: hall.into(), ..target } }
}

fn leaving(version: u64, id: &str, port: u16) -> TargetChange {
    TargetChange::Set(ListedTarget { version, entry: entry(id, port, TargetState::Leaving) })
}

fn removed(version: u64, id: &str) -> TargetChange {
    TargetChange::Removed { version, id: id.into() }
}

fn serving(list: &TargetList) -> Vec<String> {
    list.serving("plain").map_or(Vec::new(), |all| all.iter().map(|t| t.id.clone()).collect())
}

#[test]
fn a_leaving_target_takes_no_new_work() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    let events = list.apply_changes(11, vec![leaving(11, "a", 1)], MS(10));

    assert_eq!(events, [ListEvent::Leaving("a".into())]);
    assert_eq!(serving(&list), ["b"]);
    assert!(list.get("a").is_some(), "it is still known");
}

#[test]
fn a_late_entry_does_not_bring_a_leaving_target_back() {
    let mut list = TargetList::default();
    list.apply_changes(12, vec![leaving(12, "a", 1)], MS(0));
    // A peer that is behind tells of the time before.
    list.apply_snapshot(12, vec![listed(8, "a", 1)], MS(1));

    assert!(serving(&list).is_empty());
}

#[test]
fn an_older_list_is_not_taken() {
    let mut list = TargetList::default();
    list.apply_snapshot(20, vec![listed(19, "a", 1)], MS(0));
    list.apply_snapshot(15, Vec::new(), MS(1));

    assert_eq!(serving(&list), ["a"]);
}

#[test]
fn a_target_that_lapsed_while_the_store_was_away_is_kept_until_it_would_be_listed_again() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    list.record_store_failure();
    let events = list.apply_snapshot(30, vec![listed(30, "b", 2)], MS(1500));

    assert_eq!(events, [ListEvent::Lapsed("a".into())]);
    assert_eq!(serving(&list), ["a", "b"]);
    // Two seconds count from the store's return, not from the last call that failed.
    assert!(list.tick(MS(3499)).is_empty());
    assert_eq!(list.tick(MS(3500)), [ListEvent::Removed("a".into())]);
    assert_eq!(serving(&list), ["b"]);
}

#[test]
fn a_lapsed_target_that_is_listed_again_stays() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(10, "a", 1)], MS(0));
    list.record_store_failure();
    list.apply_snapshot(30, Vec::new(), MS(1500));
    list.apply_changes(31, vec![TargetChange::Set(listed(31, "a", 1))], MS(2000));

    assert!(list.tick(MS(9000)).is_empty());
    assert_eq!(serving(&list), ["a"]);
}

#[test]
fn a_target_that_is_removed_while_the_store_is_well_is_gone_at_once() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(10, "a", 1)], MS(0));
    let events = list.apply_changes(11, vec![removed(11, "a")], MS(10));

    assert_eq!(events, [ListEvent::Removed("a".into())]);
    assert!(serving(&list).is_empty());
}

/// After all machines had lost power the list held each target's old and new start for two seconds;
/// requests for the old ones were refused as misdirected.
#[test]
fn of_two_targets_at_one_address_the_newest_is_used() {
    let mut list = TargetList::default();
    list.apply_snapshot(40, vec![listed(21, "old", 1), listed(38, "new", 1)], MS(0));

    assert_eq!(serving(&list), ["new"]);
}

/// An entry of a start that tells when it was.
fn born(version: u64, id: &str, port: u16, born_ms: u64) -> ListedTarget {
    let mut listed = listed(version, id, port);
    listed.entry.born_ms = Some(born_ms);
    listed
}

fn unreadable(version: u64, id: &str) -> TargetChange {
    TargetChange::Unreadable { version, id: id.into(), reason: "no entry".into() }
}

#[test]
fn a_target_that_starts_again_under_its_id_is_told_of() {
    let mut list = TargetList::default();
    let first = born(10, "a", 1, 500);
    list.apply_snapshot(10, vec![first.clone()], MS(0));
    assert!(!list.is_earlier_start(&first.entry));

    let next = born(11, "a", 2, 900);
    let events = list.apply_changes(11, vec![TargetChange::Set(next.clone())], MS(10));

    assert_eq!(events, [ListEvent::Restarted(Arc::new(next.entry.clone()))]);
    assert!(list.is_earlier_start(&first.entry));
    // The clock of its instance may go back: what was written later counts.
    let back = born(12, "a", 2, 300);
    let events = list.apply_changes(12, vec![TargetChange::Set(back.clone())], MS(20));
    assert_eq!(events, [ListEvent::Restarted(Arc::new(back.entry))]);
}

#[test]
fn a_start_that_leaves_at_once_is_both_new_and_leaving() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![born(10, "a", 1, 500)], MS(0));
    let mut next = born(11, "a", 1, 900);
    next.entry.state = TargetState::Leaving;
    let events = list.apply_changes(11, vec![TargetChange::Set(next.clone())], MS(10));

    assert_eq!(
        events,
        [ListEvent::Restarted(Arc::new(next.entry)), ListEvent::Leaving("a".into())]
    );
    assert!(serving(&list).is_empty());
}

/// Another target answered where the earlier start was; the next one is elsewhere.
#[test]
fn an_earlier_start_that_is_gone_does_not_take_the_next_one_along() {
    let mut list = TargetList::default();
    let first = born(10, "a", 1, 500);
    list.apply_snapshot(10, vec![first.clone()], MS(0));
    list.apply_changes(11, vec![TargetChange::Set(born(11, "a", 2, 900))], MS(10));
    list.remove(&first.entry);
    assert_eq!(serving(&list), ["a"]);

    list.remove(&born(11, "a", 2, 900).entry);
    assert!(serving(&list).is_empty());
}

#[test]
fn one_entry_that_cannot_be_read_hides_no_other() {
    let mut list = TargetList::default();
    let unreadable = vec![("x".to_string(), 12, "no entry".to_string())];
    let listing =
        TargetListing { targets: vec![listed(10, "a", 1), listed(11, "b", 2)], unreadable };
    let events = list.apply_snapshot(12, listing.clone(), MS(0));

    assert_eq!(serving(&list), ["a", "b"]);
    assert_eq!(events.len(), 3);
    assert!(list.apply_snapshot(12, listing, MS(1)).is_empty(), "it is told once");
}

#[test]
fn a_known_target_gets_no_new_work_until_a_good_entry_comes() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    let events = list.apply_changes(11, vec![unreadable(11, "a")], MS(10));
    let told = ListEvent::Unreadable { id: "a".into(), reason: "no entry".into() };
    assert_eq!(events, [told]);
    assert_eq!(serving(&list), ["b"]);
    assert!(list.get("a").is_some(), "what runs there goes on");

    assert!(list.apply_changes(12, vec![unreadable(12, "a")], MS(20)).is_empty(), "told once");
    // An older good one, such as a peer has that is behind, does not bring it back.
    list.apply_changes(12, vec![TargetChange::Set(listed(9, "a", 1))], MS(30));
    assert_eq!(serving(&list), ["b"]);

    let events = list.apply_changes(13, vec![TargetChange::Set(listed(13, "a", 1))], MS(40));
    assert_eq!(events.len(), 1);
    assert_eq!(serving(&list), ["a", "b"]);
}

#[test]
fn a_peer_hears_which_entries_cannot_be_read() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    list.apply_changes(11, vec![unreadable(11, "a"), unreadable(11, "x")], MS(10));
    let mut peer = TargetList::default();
    peer.apply_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    peer.apply_snapshot(list.version(), list.listed(), MS(20));

    assert_eq!(serving(&peer), ["b"]);
    assert_eq!(peer.listed(), list.listed());
}

#[test]
fn an_entry_that_cannot_be_read_and_goes_leaves_nothing() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1)], MS(0));
    list.apply_changes(12, vec![unreadable(11, "a"), unreadable(12, "x")], MS(10));
    let events = list.apply_changes(14, vec![removed(13, "a"), removed(14, "x")], MS(20));

    assert_eq!(events, [ListEvent::Removed("a".into())]);
    assert_eq!(list.listed(), TargetListing::default());
}

/// Another writer's entry at the address of a target, and one that takes the time of its start away.
#[test]
fn an_entry_of_another_writer_hides_no_target() {
    let mut list = TargetList::default();
    list.set_services(["plain".to_string()].into());
    list.apply_snapshot(10, vec![born(10, "a", 1, 500)], MS(0));
    let mut other = listed(11, "x", 1);
    other.entry.service = "never-named".into();
    list.apply_changes(11, vec![TargetChange::Set(other)], MS(10));
    assert_eq!(serving(&list), ["a"]);
    assert!(list.serving("never-named").is_none());

    // What cannot be read at the same address hides nothing, either.
    list.apply_changes(12, vec![TargetChange::Set(listed(12, "y", 1))], MS(20));
    assert_eq!(serving(&list), ["y"]);
    list.apply_changes(13, vec![unreadable(13, "y")], MS(30));
    assert_eq!(serving(&list), ["a"]);

    list.apply_changes(14, vec![TargetChange::Set(listed(14, "a", 1))], MS(40));
    assert!(serving(&list).is_empty(), "a target that tells its start always does");
}

#[test]
fn what_entries_say_anew_is_handed_on_once() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    assert_eq!(list.take_updated().len(), 2);
    list.apply_snapshot(11, vec![listed(9, "a", 1), listed(11, "b", 2)], MS(10));
    let heard: Vec<String> = list.take_updated().iter().map(|t| t.id.clone()).collect();

    assert_eq!(heard, ["b"], "the entry of the other is as old as before");
    assert!(list.take_updated().is_empty());
}

/// A change of one of three targets, or of what nobody can read, with a version.
fn any_change() -> impl Strategy<Value = (u64, usize, u8)> {
    (1..40u64, 0..3usize, 0..6u8)
}

fn change(version: u64, target: usize, kind: u8) -> TargetChange {
    let id = ["a", "b", "c"][target];

    match kind {
        0 => removed(version, id),
        1 => unreadable(version, id),
        2 => leaving(version, id, target as u16),
        _ => TargetChange::Set(born(version, id, target as u16, u64::from(kind))),
    }
}

proptest! {
    /// Whatever comes in whatever order, the newest word on a target holds.
    #[test]
    fn the_newest_word_on_each_target_holds(news in prop::collection::vec(any_change(), 0..40)) {
        // The store has one word on a target at each version.
        let word = |version: u64, target: usize| {
            let found = news.iter().find(|(v, t, _)| (*v, *t) == (version, target));
            found.map(|(v, t, kind)| change(*v, *t, *kind))
        };
        let mut list = TargetList::default();

        for (version, target, _) in &news {
            list.apply_changes(*version, word(*version, *target).into_iter().collect(), MS(0));
        }

        for target in 0..3 {
            let id = ["a", "b", "c"][target].to_string();
            let newest = news.iter().filter(|(_, t, _)| *t == target).map(|(v, ..)| *v).max();
            let last = newest.and_then(|version| word(version, target));
            let is_removed = matches!(last, Some(TargetChange::Removed { .. }));

            // What was removed leaves no trace, so an older word may come after it.
            if is_removed {
                continue;
            }

            let is_born = |l: &ListedTarget| l.entry.born_ms.is_some();
            let is_serving = matches!(
                &last,
                Some(TargetChange::Set(l)) if l.entry.state == TargetState::Serving && is_born(l)
            );
            prop_assert_eq!(serving(&list).contains(&id), is_serving, "{} of {:?}", id, news);
        }
    }
}

fn started(version: u64, id: &str, born_ms: u64) -> ListedTarget {
    let mut listed = listed(version, id, 1);
    listed.entry.born_ms = Some(born_ms);
    listed
}

/// The list goes on to name a target that said in an answer that it leaves, loses it, and has it again when the store
/// comes back; none of that is news of its own.
#[test]
fn a_target_that_said_that_it_leaves_gets_no_work_until_its_next_start() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![started(9, "a", 5), listed(10, "b", 2)], MS(0));
    let first = started(9, "a", 5).entry;
    assert_eq!(list.record_leaving(&first, MS(1)), [ListEvent::AnnouncedLeaving("a".into())]);
    assert_eq!(list.record_leaving(&first, MS(2)), []);
    assert_eq!(serving(&list), ["b"]);

    list.apply_changes(11, vec![TargetChange::Set(started(11, "a", 5))], MS(3));
    assert_eq!(serving(&list), ["b"], "written anew");
    list.apply_changes(12, vec![removed(12, "a")], MS(4));
    list.apply_snapshot(14, vec![started(13, "a", 5), listed(10, "b", 2)], MS(5));
    assert_eq!(serving(&list), ["b"], "listed again");

    list.apply_changes(15, vec![], MS(1500));
    list.apply_changes(16, vec![TargetChange::Set(started(16, "a", 6))], MS(2000));
    assert_eq!(serving(&list), ["a", "b"]);
    // A late answer of the start before says nothing of this one.
    list.record_leaving(&first, MS(2001));
    assert_eq!(serving(&list), ["a", "b"]);
}

/// The store is away, the target starts again and its next start leaves; its answers do not tell which start it is.
#[test]
fn a_word_on_leaving_that_may_be_of_the_next_start_holds_for_it_for_a_while() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![started(9, "a", 5), listed(10, "b", 2)], MS(0));
    list.record_leaving(&started(9, "a", 5).entry, MS(9000));
    list.apply_snapshot(12, vec![started(12, "a", 6), listed(10, "b", 2)], MS(10_000));
    assert_eq!(serving(&list), ["b"]);

    // It did not mean the one that is there now.
    list.tick(MS(19_999));
    assert_eq!(serving(&list), ["b"]);
    list.tick(MS(20_000));
    assert_eq!(serving(&list), ["a", "b"]);
}

/// Load: a fleet of four sizes. What a gateway hears follows from the size of its subset, and each target is heard by
/// about as many gateways, as both grow.
#[test]
fn the_targets_that_a_gateway_deals_with_do_not_grow_with_the_fleet() {
    const SIZE: usize = 64;

    for (gateways, targets) in [(53, 192), (106, 384), (212, 768), (424, 1536)] {
        let listed: Vec<ListedTarget> =
            (0..targets).map(|at| in_hall(at, &format!("hall-{}", at % 5))).collect();
        let mut heard_by: HashMap<String, usize> = HashMap::new();

        for gateway in 0..gateways {
            let mut list = TargetList::default();
            let options = SubsetOptions { size: SIZE, elsewhere: 16 };
            let (process, hall) = (format!("gateway-{gateway}"), format!("hall-{}", gateway % 5));
            list.set_subset_view(SubsetView { process, hall: hall.clone(), options });
            list.apply_snapshot(1, listed.clone(), MS(0));
            let candidates = list.candidates("plain").expect("the service has targets");
            assert_eq!(candidates.len(), SIZE);
            let elsewhere = candidates.iter().filter(|t| t.hall != hall).count();
            assert!(elsewhere >= 16, "{elsewhere} in other halls");
            candidates.iter().for_each(|t| *heard_by.entry(t.id.clone()).or_default() += 1);
        }

        let most = heard_by.values().max().copied().unwrap_or(0);
        assert_eq!(heard_by.len(), targets, "each target is heard by somebody");
        assert!(most <= 40, "{targets} targets: one is heard by {most} gateways");
    }
}

#[test]
fn a_target_is_found_by_its_address_and_the_newest_one_there() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(8, "a", 1), listed(10, "b", 1), listed(9, "c", 2)], MS(0));
    let found = |list: &TargetList, port: u16| {
        list.newest_at(([127, 0, 0, 1], port).into()).map(|target| target.id.clone())
    };

    assert_eq!(found(&list, 1), Some("b".into()));
    assert_eq!(found(&list, 2), Some("c".into()));
    assert_eq!(found(&list, 3), None);
    list.apply_changes(11, vec![removed(11, "b")], MS(10));
    assert_eq!(found(&list, 1), Some("a".into()));
}
