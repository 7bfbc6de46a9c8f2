//! Engines that start again: what an earlier start counted or said is no part of the next one.

use std::time::Duration;

use grebedeck_experts::balancer::CountTracker;
use grebedeck_experts::rollout::{Action, Message, Node, NodeOptions, RankNote, Status, Term};
use grebedeck_experts::{RankCounts, RankReport};

const MS: fn(u64) -> Duration = Duration::from_millis;
const RANKS: u16 = 3;

fn counts(born_ms: u64, chosen: &[u64]) -> RankCounts {
    RankCounts { epoch: 1, pass: 9, chosen: chosen.to_vec(), born_ms: Some(born_ms) }
}

fn report(rank: u16, born_ms: Option<u64>) -> RankReport {
    RankReport {
        group: 1,
        epoch: 1,
        rank,
        size: RANKS,
        is_open: true,
        pass: 5,
        placement: 0,
        prepared: None,
        armed: None,
        held: None,
        running: 1,
        waiting: 0,
        pace: 1.0,
        born_ms,
    }
}

fn status(promised: Term, report: RankReport) -> Status {
    Status {
        promised,
        report,
        refused: None,
        is_engaged: false,
        known: RANKS,
        revision: 0,
        knows_placement: true,
    }
}

/// A start that has counted more than the one before, in the same formation by its number.
#[test]
fn counts_of_two_starts_are_not_taken_from_each_other() {
    let mut tracker = CountTracker::default();
    assert!(tracker.record(0, counts(1, &[5, 5])).is_none());
    assert!(tracker.record(0, counts(1, &[7, 9])).is_some());
    assert!(tracker.record(0, counts(2, &[8, 9])).is_none());

    let report = tracker.record(0, counts(2, &[9, 9])).expect("one was counted");
    assert_eq!(report.born_ms, Some(2));
}

#[test]
fn a_node_forgets_its_plans_when_its_engine_has_started_again() {
    let mut node: Node<u16> = Node::new(0, 1, MS(0), NodeOptions::default());
    node.on_report(report(0, Some(1)), MS(0));
    let is_new = |actions: Vec<Action<u16>>| {
        actions.iter().any(|a| matches!(a, Action::Note(RankNote::NewEpoch(_))))
    };

    assert!(!is_new(node.on_report(report(0, Some(1)), MS(20))));
    assert!(is_new(node.on_report(report(0, Some(2)), MS(40))));
}

#[test]
fn a_late_word_of_an_earlier_start_is_dropped_by_the_leader() {
    let mut node: Node<u16> = Node::new(0, 1, MS(0), NodeOptions::default());
    node.on_report(report(0, Some(1)), MS(0));
    let leads = |action: Action<u16>| match action {
        Action::Note(RankNote::Leads(term)) => Some(term),
        _ => None,
    };
    let mut ticks = (1..1000).map(|tick| MS(50 * tick));
    let (promised, now) = ticks
        .find_map(|at| Some((node.tick(at).into_iter().find_map(leads)?, at)))
        .expect("it leads where nobody else does");
    let tell = |node: &mut Node<u16>, born_ms, now| {
        let told = status(promised, report(1, Some(born_ms)));
        node.on_message(1, Message::Status(told), now);
    };
    tell(&mut node, 20, now);
    tell(&mut node, 10, now + MS(100));
    assert!(node.is_of_other_start(1, Some(10)));
    assert!(!node.is_of_other_start(1, Some(20)));
    assert!(!node.is_of_other_start(1, None), "an engine that does not tell its start");

    // The clock of its instance went back: what goes on is believed.
    tell(&mut node, 10, now + MS(1500));
    assert!(!node.is_of_other_start(1, Some(10)));
}
