//! The target list: late, expired, replaced and unreadable entries.

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
    assert!(list.get("a").is_some(), "the target is still known");
}

#[test]
fn a_late_entry_does_not_bring_a_leaving_target_back() {
    let mut list = TargetList::default();
    list.apply_changes(12, vec![leaving(12, "a", 1)], MS(0));
    // A peer that lags behind sends the earlier entry.
    list.apply_snapshot(12, vec![listed(8, "a", 1)], MS(1));

    assert!(serving(&list).is_empty());
}

#[test]
fn an_older_list_is_ignored() {
    let mut list = TargetList::default();
    list.apply_snapshot(20, vec![listed(19, "a", 1)], MS(0));
    list.apply_snapshot(15, Vec::new(), MS(1));

    assert_eq!(serving(&list), ["a"]);
}

#[test]
fn a_target_that_expired_during_a_store_failure_is_kept_until_the_relist_limit() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    list.record_store_failure(MS(4000));
    let events = list.apply_snapshot(30, vec![listed(30, "b", 2)], MS(1500));

    assert_eq!(events, [ListEvent::Lapsed("a".into())]);
    assert_eq!(serving(&list), ["a", "b"]);
    // The two seconds count from the store's recovery, not from the last failed call.
    assert!(list.tick(MS(3499)).is_empty());
    assert_eq!(list.tick(MS(3500)), [ListEvent::Removed("a".into())]);
    assert_eq!(serving(&list), ["b"]);
}

/// Failure: one call to the store got no answer and was noticed late. The store had been back for
/// seconds, and the target that had left was kept for two more.
#[test]
fn a_target_that_left_is_removed_by_the_time_to_catch_up() {
    let before = vec![listed(9, "a", 1), listed(10, "b", 2), listed(10, "c", 3)];
    let mut list = TargetList::default();
    list.apply_snapshot(10, before, MS(0));
    list.record_store_failure(MS(3000));
    let events = list.apply_snapshot(30, vec![listed(30, "b", 2), listed(10, "c", 3)], MS(2500));

    assert_eq!(events, [ListEvent::Lapsed("a".into())]);
    assert_eq!(list.removal_due_at("a"), Some(MS(3000)));
    assert!(!list.has_due_removal(MS(2999)) && list.has_due_removal(MS(3000)));
    assert_eq!(list.tick(MS(3000)), [ListEvent::Removed("a".into())]);
    // One that leaves later is removed at once.
    assert_eq!(list.apply_changes(31, vec![removed(31, "c")], MS(3001)).len(), 1);
    assert_eq!(serving(&list), ["b"]);
}

proptest! {
    /// Whatever the calls to the store meet: a target whose entry lapsed and is back within two
    /// seconds of the store's return is never removed, and one that left is gone in time.
    #[test]
    fn targets_are_kept_while_they_may_be_listed_again_and_no_longer(
        away_ms in 1200..8000u64,
        backoff_ms in 100..500u64,
        call_ms in 50..400u64,
        is_alive in any::<bool>(),
        back_ms in 0..2000u64,
    ) {
        const CATCH_UP_MS: u64 = 3000;
        let mut list = TargetList::default();
        list.apply_snapshot(10, vec![listed(10, "a", 1)], MS(0));
        let mut call_at = 0;

        // Calls fail one after the other until the store is back.
        while call_at < away_ms {
            list.record_store_failure(MS(call_at + CATCH_UP_MS));
            call_at += call_ms + backoff_ms;
        }

        let mut now = call_at;

        while now < away_ms + 3000 {
            let is_back = is_alive && now >= away_ms + back_ms;
            let entries = if is_back { vec![listed(20, "a", 1)] } else { Vec::new() };
            list.apply_snapshot(now, entries, MS(now));
            list.tick(MS(now));
            prop_assert!(!is_alive || serving(&list) == ["a"], "removed at {}", now);
            now += 20;
        }

        prop_assert_eq!(serving(&list).is_empty(), !is_alive);
    }
}

#[test]
fn an_expired_target_that_is_listed_again_is_kept() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(10, "a", 1)], MS(0));
    list.record_store_failure(MS(4000));
    list.apply_snapshot(30, Vec::new(), MS(1500));
    list.apply_changes(31, vec![TargetChange::Set(listed(31, "a", 1))], MS(2000));

    assert!(list.tick(MS(9000)).is_empty());
    assert_eq!(serving(&list), ["a"]);
}

#[test]
fn a_removal_while_the_store_is_healthy_takes_effect_at_once() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(10, "a", 1)], MS(0));
    let events = list.apply_changes(11, vec![removed(11, "a")], MS(10));

    assert_eq!(events, [ListEvent::Removed("a".into())]);
    assert!(serving(&list).is_empty());
}

/// After a power loss of all machines, the list held the old and the new start of each target for
/// two seconds, and requests to the old ones were refused as misdirected.
#[test]
fn of_two_targets_at_one_address_the_newest_is_used() {
    let mut list = TargetList::default();
    list.apply_snapshot(40, vec![listed(21, "old", 1), listed(38, "new", 1)], MS(0));

    assert_eq!(serving(&list), ["new"]);
}

/// An entry that reports its start time.
fn with_start_time(version: u64, id: &str, port: u16, born_ms: u64) -> ListedTarget {
    let mut listed = listed(version, id, port);
    listed.entry.born_ms = Some(born_ms);
    listed
}

fn unreadable(version: u64, id: &str) -> TargetChange {
    TargetChange::Unreadable { version, id: id.into(), reason: "no entry".into() }
}

#[test]
fn a_restart_under_the_same_id_is_reported() {
    let mut list = TargetList::default();
    let first = with_start_time(10, "a", 1, 500);
    list.apply_snapshot(10, vec![first.clone()], MS(0));
    assert!(!list.is_earlier_start(&first.entry));

    let next = with_start_time(11, "a", 2, 900);
    let events = list.apply_changes(11, vec![TargetChange::Set(next.clone())], MS(10));

    assert_eq!(events, [ListEvent::Restarted(Arc::new(next.entry.clone()))]);
    assert!(list.is_earlier_start(&first.entry));
    // The clock of the target's instance may go back: the entry that was written later counts.
    let back = with_start_time(12, "a", 2, 300);
    let events = list.apply_changes(12, vec![TargetChange::Set(back.clone())], MS(20));
    assert_eq!(events, [ListEvent::Restarted(Arc::new(back.entry))]);
}

#[test]
fn a_start_that_leaves_at_once_is_both_new_and_leaving() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![with_start_time(10, "a", 1, 500)], MS(0));
    let mut next = with_start_time(11, "a", 1, 900);
    next.entry.state = TargetState::Leaving;
    let events = list.apply_changes(11, vec![TargetChange::Set(next.clone())], MS(10));

    assert_eq!(
        events,
        [ListEvent::Restarted(Arc::new(next.entry)), ListEvent::Leaving("a".into())]
    );
    assert!(serving(&list).is_empty());
}

/// Another target has answered at the address of the earlier start; the next start is at another
/// address.
#[test]
fn removing_an_earlier_start_keeps_the_next_one() {
    let mut list = TargetList::default();
    let first = with_start_time(10, "a", 1, 500);
    list.apply_snapshot(10, vec![first.clone()], MS(0));
    list.apply_changes(11, vec![TargetChange::Set(with_start_time(11, "a", 2, 900))], MS(10));
    list.remove(&first.entry);
    assert_eq!(serving(&list), ["a"]);

    list.remove(&with_start_time(11, "a", 2, 900).entry);
    assert!(serving(&list).is_empty());
}

#[test]
fn an_unreadable_entry_does_not_affect_others() {
    let mut list = TargetList::default();
    let unreadable = vec![("x".to_string(), 12, "no entry".to_string())];
    let listing =
        TargetListing { targets: vec![listed(10, "a", 1), listed(11, "b", 2)], unreadable };
    let events = list.apply_snapshot(12, listing.clone(), MS(0));

    assert_eq!(serving(&list), ["a", "b"]);
    assert_eq!(events.len(), 3);
    assert!(list.apply_snapshot(12, listing, MS(1)).is_empty(), "it is reported once");
}

#[test]
fn a_target_with_an_unreadable_entry_gets_no_new_work_until_a_readable_one_arrives() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    let events = list.apply_changes(11, vec![unreadable(11, "a")], MS(10));
    let unreadable_event = ListEvent::Unreadable { id: "a".into(), reason: "no entry".into() };
    assert_eq!(events, [unreadable_event]);
    assert_eq!(serving(&list), ["b"]);
    assert!(list.get("a").is_some(), "running requests continue");

    assert!(list.apply_changes(12, vec![unreadable(12, "a")], MS(20)).is_empty(), "reported once");
    // An older readable entry, such as from a peer that lags behind, does not restore it.
    list.apply_changes(12, vec![TargetChange::Set(listed(9, "a", 1))], MS(30));
    assert_eq!(serving(&list), ["b"]);

    let events = list.apply_changes(13, vec![TargetChange::Set(listed(13, "a", 1))], MS(40));
    assert_eq!(events.len(), 1);
    assert_eq!(serving(&list), ["a", "b"]);
}

#[test]
fn unreadable_entries_are_passed_on_to_peers() {
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
fn an_unreadable_entry_that_is_removed_leaves_no_trace() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1)], MS(0));
    list.apply_changes(12, vec![unreadable(11, "a"), unreadable(12, "x")], MS(10));
    let events = list.apply_changes(14, vec![removed(13, "a"), removed(14, "x")], MS(20));

    assert_eq!(events, [ListEvent::Removed("a".into())]);
    assert_eq!(list.listed(), TargetListing::default());
}

/// Two cases: another writer's entry at a target's address, and an entry without the target's start
/// time.
#[test]
fn entries_of_other_writers_hide_no_target() {
    let mut list = TargetList::default();
    list.set_services(["plain".to_string()].into());
    list.apply_snapshot(10, vec![with_start_time(10, "a", 1, 500)], MS(0));
    let mut other = listed(11, "x", 1);
    other.entry.service = "never-named".into();
    list.apply_changes(11, vec![TargetChange::Set(other)], MS(10));
    assert_eq!(serving(&list), ["a"]);
    assert!(list.serving("never-named").is_none());

    // An unreadable entry at the same address hides no target, either.
    list.apply_changes(12, vec![TargetChange::Set(listed(12, "y", 1))], MS(20));
    assert_eq!(serving(&list), ["y"]);
    list.apply_changes(13, vec![unreadable(13, "y")], MS(30));
    assert_eq!(serving(&list), ["a"]);

    list.apply_changes(14, vec![TargetChange::Set(listed(14, "a", 1))], MS(40));
    assert!(serving(&list).is_empty(), "a target that reports its start time always does");
}

#[test]
fn updated_entries_are_returned_once() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    assert_eq!(list.take_updated().len(), 2);
    list.apply_snapshot(11, vec![listed(9, "a", 1), listed(11, "b", 2)], MS(10));
    let updated: Vec<String> = list.take_updated().iter().map(|t| t.id.clone()).collect();

    assert_eq!(updated, ["b"], "the entry of a has not changed");
    assert!(list.take_updated().is_empty());
}

/// A change with a version, of one of three targets: set, leaving, removed or unreadable.
fn any_change() -> impl Strategy<Value = (u64, usize, u8)> {
    (1..40u64, 0..3usize, 0..6u8)
}

fn change(version: u64, target: usize, kind: u8) -> TargetChange {
    let id = ["a", "b", "c"][target];

    match kind {
        0 => removed(version, id),
        1 => unreadable(version, id),
        2 => leaving(version, id, target as u16),
        _ => TargetChange::Set(with_start_time(version, id, target as u16, u64::from(kind))),
    }
}

proptest! {
    /// In any order of arrival, the newest change of a target wins.
    #[test]
    fn the_newest_change_of_each_target_wins(
        changes in prop::collection::vec(any_change(), 0..40),
    ) {
        // The store has one change of a target at each version.
        let change_at = |version: u64, target: usize| {
            let found = changes.iter().find(|(v, t, _)| (*v, *t) == (version, target));
            found.map(|(v, t, kind)| change(*v, *t, *kind))
        };
        let mut list = TargetList::default();

        for (version, target, _) in &changes {
            list.apply_changes(*version, change_at(*version, *target).into_iter().collect(), MS(0));
        }

        for target in 0..3 {
            let id = ["a", "b", "c"][target].to_string();
            let newest = changes.iter().filter(|(_, t, _)| *t == target).map(|(v, ..)| *v).max();
            let last = newest.and_then(|version| change_at(version, target));
            let is_removed = matches!(last, Some(TargetChange::Removed { .. }));

            // A removed entry leaves no trace, so an older change may be applied after it.
            if is_removed {
                continue;
            }

            let has_start_time = |l: &ListedTarget| l.entry.born_ms.is_some();
            let is_serving = matches!(
                &last,
                Some(TargetChange::Set(l))
                    if l.entry.state == TargetState::Serving && has_start_time(l)
            );
            prop_assert_eq!(serving(&list).contains(&id), is_serving, "{} of {:?}", id, changes);
        }
    }
}

fn started(version: u64, id: &str, born_ms: u64) -> ListedTarget {
    let mut listed = listed(version, id, 1);
    listed.entry.born_ms = Some(born_ms);
    listed
}

/// The list still names a target that announced its shutdown, loses it, and has it again when the
/// store recovers. None of that cancels the notice.
#[test]
fn a_target_that_announced_leaving_gets_no_work_until_its_next_start() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![started(9, "a", 5), listed(10, "b", 2)], MS(0));
    let first = started(9, "a", 5).entry;
    assert_eq!(list.record_leaving(&first, MS(1)), [ListEvent::AnnouncedLeaving("a".into())]);
    assert_eq!(list.record_leaving(&first, MS(2)), []);
    assert_eq!(serving(&list), ["b"]);

    list.apply_changes(11, vec![TargetChange::Set(started(11, "a", 5))], MS(3));
    assert_eq!(serving(&list), ["b"], "entry rewritten");
    list.apply_changes(12, vec![removed(12, "a")], MS(4));
    list.apply_snapshot(14, vec![started(13, "a", 5), listed(10, "b", 2)], MS(5));
    assert_eq!(serving(&list), ["b"], "listed again");

    list.apply_changes(15, vec![], MS(1500));
    list.apply_changes(16, vec![TargetChange::Set(started(16, "a", 6))], MS(2000));
    assert_eq!(serving(&list), ["a", "b"]);
    // A late response of the earlier start does not apply to this one.
    list.record_leaving(&first, MS(2001));
    assert_eq!(serving(&list), ["a", "b"]);
}

/// While the store is unavailable, the target restarts and the new start shuts down. Its responses
/// do not show which start they come from.
#[test]
fn a_leaving_notice_that_may_be_from_the_next_start_applies_to_it_for_a_while() {
    let mut list = TargetList::default();
    list.apply_snapshot(10, vec![started(9, "a", 5), listed(10, "b", 2)], MS(0));
    list.record_leaving(&started(9, "a", 5).entry, MS(9000));
    list.apply_snapshot(12, vec![started(12, "a", 6), listed(10, "b", 2)], MS(10_000));
    assert_eq!(serving(&list), ["b"]);

    // The notice was not from the start that is there now.
    list.tick(MS(19_999));
    assert_eq!(serving(&list), ["b"]);
    list.tick(MS(20_000));
    assert_eq!(serving(&list), ["a", "b"]);
}

/// Load: a fleet in four sizes. The number of load reports that a gateway gets depends on the size
/// of its subset, and about as many gateways get those of each target as both numbers grow.
#[test]
fn the_subset_of_a_gateway_does_not_grow_with_the_fleet() {
    const SIZE: usize = 64;

    for (gateways, targets) in [(53, 192), (106, 384), (212, 768), (424, 1536)] {
        let listed: Vec<ListedTarget> =
            (0..targets).map(|at| in_hall(at, &format!("hall-{}", at % 5))).collect();
        let mut gateways_by_target: HashMap<String, usize> = HashMap::new();

        for gateway in 0..gateways {
            let mut list = TargetList::default();
            let options = SubsetOptions { size: SIZE, in_other_halls: 16 };
            let (process, hall) = (format!("gateway-{gateway}"), format!("hall-{}", gateway % 5));
            list.set_subset_view(SubsetView { process, hall: hall.clone(), options });
            list.apply_snapshot(1, listed.clone(), MS(0));
            let candidates = list.candidates("plain").expect("the service has targets");
            assert_eq!(candidates.len(), SIZE);
            let elsewhere = candidates.iter().filter(|t| t.hall != hall).count();
            assert!(elsewhere >= 16, "{elsewhere} targets in other halls");
            candidates
                .iter()
                .for_each(|t| *gateways_by_target.entry(t.id.clone()).or_default() += 1);
        }

        let most = gateways_by_target.values().max().copied().unwrap_or(0);
        assert_eq!(
            gateways_by_target.len(),
            targets,
            "each target is in the subset of some gateway"
        );
        assert!(most <= 40, "{targets} targets: one is in the subsets of {most} gateways");
    }
}

#[test]
fn the_newest_target_at_an_address_is_found() {
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
