//! The list of targets: late, lapsed and replaced entries.

use std::time::Duration;

use grebedeck_gateway::targets::ListEvent;
use grebedeck_gateway::{ListedTarget, TargetChange, TargetEntry, TargetList, TargetState};

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
    list.take_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    let events = list.take_changes(11, vec![leaving(11, "a", 1)], MS(10));

    assert_eq!(events, [ListEvent::Leaving("a".into())]);
    assert_eq!(serving(&list), ["b"]);
    assert!(list.get("a").is_some(), "it is still known");
}

#[test]
fn a_late_entry_does_not_bring_a_leaving_target_back() {
    let mut list = TargetList::default();
    list.take_changes(12, vec![leaving(12, "a", 1)], MS(0));
    // A peer that is behind tells of the time before.
    list.take_snapshot(12, vec![listed(8, "a", 1)], MS(1));

    assert!(serving(&list).is_empty());
}

#[test]
fn an_older_list_is_not_taken() {
    let mut list = TargetList::default();
    list.take_snapshot(20, vec![listed(19, "a", 1)], MS(0));
    list.take_snapshot(15, Vec::new(), MS(1));

    assert_eq!(serving(&list), ["a"]);
}

#[test]
fn a_target_that_lapsed_while_the_store_was_away_is_kept_until_it_would_be_listed_again() {
    let mut list = TargetList::default();
    list.take_snapshot(10, vec![listed(9, "a", 1), listed(10, "b", 2)], MS(0));
    list.store_failed();
    let events = list.take_snapshot(30, vec![listed(30, "b", 2)], MS(1500));

    assert_eq!(events, [ListEvent::Lapsed("a".into())]);
    assert_eq!(serving(&list), ["a", "b"]);
    // Two seconds count from the store's return, not from the last call that failed.
    assert!(list.tick(MS(3499)).is_empty());
    assert_eq!(list.tick(MS(3500)), [ListEvent::Gone("a".into())]);
    assert_eq!(serving(&list), ["b"]);
}

#[test]
fn a_lapsed_target_that_is_listed_again_stays() {
    let mut list = TargetList::default();
    list.take_snapshot(10, vec![listed(10, "a", 1)], MS(0));
    list.store_failed();
    list.take_snapshot(30, Vec::new(), MS(1500));
    list.take_changes(31, vec![TargetChange::Set(listed(31, "a", 1))], MS(2000));

    assert!(list.tick(MS(9000)).is_empty());
    assert_eq!(serving(&list), ["a"]);
}

#[test]
fn a_target_that_is_removed_while_the_store_is_well_is_gone_at_once() {
    let mut list = TargetList::default();
    list.take_snapshot(10, vec![listed(10, "a", 1)], MS(0));
    let events = list.take_changes(11, vec![removed(11, "a")], MS(10));

    assert_eq!(events, [ListEvent::Gone("a".into())]);
    assert!(serving(&list).is_empty());
}

/// After all machines had lost power the list held each target's old and new start for two seconds;
/// requests for the old ones were refused as misdirected.
#[test]
fn of_two_targets_at_one_address_the_newest_is_used() {
    let mut list = TargetList::default();
    list.take_snapshot(40, vec![listed(21, "old", 1), listed(38, "new", 1)], MS(0));

    assert_eq!(serving(&list), ["new"]);
}
