//! Restarted engines: counts and reports of an earlier start are not mixed with those of the next.

use std::time::Duration;

use grebedeck_experts::balancer::CountTracker;
use grebedeck_experts::rollout::{Action, Message, Node, NodeOptions, RankEvent, Status, Term};
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

/// The restarted engine has the same epoch and higher counts, so only its start time shows that the
/// counts are not comparable.
#[test]
fn counts_of_different_starts_are_not_subtracted() {
    let mut tracker = CountTracker::default();
    assert!(tracker.record(0, counts(1, &[5, 5])).is_none());
    assert!(tracker.record(0, counts(1, &[7, 9])).is_some());
    assert!(tracker.record(0, counts(2, &[8, 9])).is_none());

    let report = tracker.record(0, counts(2, &[9, 9])).expect("one token was counted");
    assert_eq!(report.born_ms, Some(2));
}

#[test]
fn a_node_begins_a_new_epoch_when_its_engine_has_restarted() {
    let mut node: Node<u16> = Node::new(0, 1, MS(0), NodeOptions::default());
    node.on_report(report(0, Some(1)), MS(0));
    let is_new = |actions: Vec<Action<u16>>| {
        actions.iter().any(|a| matches!(a, Action::Event(RankEvent::EpochChanged(_))))
    };

    assert!(!is_new(node.on_report(report(0, Some(1)), MS(20))));
    assert!(is_new(node.on_report(report(0, Some(2)), MS(40))));
}

#[test]
fn the_leader_ignores_late_reports_of_an_earlier_start() {
    let mut node: Node<u16> = Node::new(0, 1, MS(0), NodeOptions::default());
    node.on_report(report(0, Some(1)), MS(0));
    let leads = |action: Action<u16>| match action {
        Action::Event(RankEvent::LeadershipTaken(term)) => Some(term),
        _ => None,
    };
    let mut ticks = (1..1000).map(|tick| MS(50 * tick));
    let (promised, now) = ticks
        .find_map(|at| Some((node.tick(at).into_iter().find_map(leads)?, at)))
        .expect("the node becomes leader, as no other rank leads");
    let send_status = |node: &mut Node<u16>, born_ms, now| {
        let message = status(promised, report(1, Some(born_ms)));
        node.on_message(1, Message::Status(message), now);
    };
    send_status(&mut node, 20, now);
    send_status(&mut node, 10, now + MS(100));
    assert!(node.is_of_other_start(1, Some(10)));
    assert!(!node.is_of_other_start(1, Some(20)));
    assert!(!node.is_of_other_start(1, None), "an engine that does not report its start");

    // The clock of the instance went back. Reports that keep arriving with the earlier start are
    // accepted.
    send_status(&mut node, 10, now + MS(1500));
    assert!(!node.is_of_other_start(1, Some(10)));
}
