//! Leadership: how it is resigned, lost and taken, and what a leader may send.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_experts::Placement;
use grebedeck_experts::rollout::{
    Action, Directive, Message, Node, NodeOptions, Stage, Status, Term,
};

use super::group::{Defect, Group};
use super::{NO_FAULTS, RANKS, report, secs};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn initial() -> Placement {
    Placement::round_robin(RANKS, 1, 6)
}

/// Creates a node of rank 0 that knows the initial placement.
fn first_node() -> Node<u16> {
    let mut node = Node::new(0u16, 1, secs(0), NodeOptions::default());
    node.store_placement(0, Arc::new(initial()));
    node.on_report(report(0, None), secs(0));
    node
}

fn status(rank: u16, promised: Term) -> Status {
    Status {
        promised,
        report: report(rank, None),
        refused: None,
        is_engaged: false,
        known: RANKS,
        revision: 0,
        knows_placement: true,
    }
}

/// Has all nodes follow a leader and the leader propose a placement; returns the placement's
/// number.
fn propose(node: &mut Node<u16>, round: u64, now: Moment) -> Option<u64> {
    let promised = Term { round, rank: 0, life: 1 };

    for rank in 1..RANKS {
        node.on_message(rank, Message::Status(status(rank, promised)), now);
    }

    let mut next = initial();
    next.sets[0][0].push(1);
    assert!(node.can_plan(now));

    node.propose(next, now).iter().find_map(|action| match action {
        Action::Send { message: Message::Lead { directive, .. }, .. } => match directive.stage {
            Stage::Prepare { placement_no, .. } => Some(placement_no),
            _ => None,
        },
        _ => None,
    })
}

/// Makes a node lose the lead to rank 1.
fn lose_lead_to(node: &mut Node<u16>, round: u64, now: Moment) {
    let promised = Term { round, rank: 1, life: 9 };
    node.on_message(1, Message::Status(status(1, promised)), now);
    assert!(!node.is_leading());
}

/// A planned stop of a leader left its group without one for 0.57 s, until the election timeout.
#[test]
fn a_stopping_leader_hands_over_at_once() {
    for size in [2, 6, 63] {
        let mut group = Group::new(size, 5, NO_FAULTS, Defect::Nothing);
        group.run_until(secs(5));
        let before = group.leader().expect("the group has a leader");
        group.stop_leader(secs(2));
        group.run_until(ms(5_050));
        let after = group.leader();

        assert!(
            after.is_some_and(|at| at != before),
            "{size} ranks: leader {before}, then {after:?}"
        );
        assert_eq!(group.leaders(), 1, "{size} ranks: leaders");
    }
}

#[test]
fn a_resignation_from_an_earlier_term_is_ignored() {
    let mut node = Node::new(1u16, 1, secs(0), NodeOptions::default());
    node.on_report(report(1, None), secs(0));
    let term = Term { round: 2, rank: 0, life: 1 };
    let directive = Directive { term, revision: 0, epoch: 1, stage: Stage::Idle };
    node.on_message(0, Message::Lead { directive, roster: Vec::new() }, ms(100));
    let earlier = Term { round: 1, ..term };
    node.on_message(2, Message::Resign { term: earlier, next: 1 }, ms(110));
    assert!(!node.is_leading());
    node.on_message(0, Message::Resign { term, next: 2 }, ms(120));
    assert!(!node.is_leading(), "another node is designated");
    node.on_message(0, Message::Resign { term, next: 1 }, ms(130));
    assert!(node.is_leading());
}

/// Two nodes took the lead from each other 29 times in 22 s, so that neither could finish a plan.
#[test]
fn a_node_that_lost_the_lead_twice_backs_off() {
    let mut node = first_node();
    node.tick(ms(450));
    assert!(node.is_leading());
    lose_lead_to(&mut node, 5, secs(1));
    node.tick(ms(1_450));
    assert!(node.is_leading(), "one loss causes no backoff");
    lose_lead_to(&mut node, 10, secs(2));
    node.tick(ms(2_890));
    assert!(!node.is_leading(), "two losses cause a backoff");
    node.tick(ms(2_900));
    assert!(node.is_leading());

    // A placement that came into use resets the backoff.
    node.on_report(grebedeck_experts::RankReport { placement: 7, ..report(0, None) }, secs(3));
    lose_lead_to(&mut node, 15, secs(3));
    node.tick(ms(3_450));
    assert!(node.is_leading());
}

/// Two placements under one number: nodes that had prepared the first took a directive on the
/// second for theirs.
#[test]
fn one_process_start_never_reuses_a_placement_number() {
    let mut node = first_node();
    node.tick(ms(450));
    let first = propose(&mut node, 1, ms(500)).expect("a placement is proposed");
    lose_lead_to(&mut node, 5, secs(1));
    // The next leader has no plan, and no rank has prepared a placement.
    let term = Term { round: 5, rank: 1, life: 9 };
    let directive = Directive { term, revision: 0, epoch: 1, stage: Stage::Idle };
    node.on_message(1, Message::Lead { directive, roster: Vec::new() }, secs(1));
    node.tick(ms(1_450));
    let second = propose(&mut node, 6, ms(1_500)).expect("a placement is proposed");

    assert!(second > first, "number {second} was assigned after {first}");
}

/// Each epoch numbers its placements from the start, so a number stored before refers to another
/// placement.
#[test]
fn placements_of_an_earlier_epoch_are_dropped() {
    let mut node = first_node();
    let mut in_use = initial();
    in_use.sets[0][0].push(1);
    node.store_placement(9, Arc::new(in_use));
    node.on_report(grebedeck_experts::RankReport { placement: 9, ..report(0, None) }, ms(10));
    assert!(node.placement_in_use().is_some());
    let again = grebedeck_experts::RankReport { epoch: 2, ..report(0, None) };
    node.on_report(again.clone(), ms(20));
    assert!(node.placement_in_use().is_some(), "the initial placement is the same in each epoch");
    node.on_report(grebedeck_experts::RankReport { placement: 9, ..again }, ms(30));
    assert!(node.placement_in_use().is_none());
}

/// Answers of 2.7 KB to each of 62 nodes were 168 KB at once, where a link queues 60 KB.
#[test]
fn whole_placements_are_rate_limited() {
    let mut node = Node::new(0u16, 1, secs(0), NodeOptions::default());
    node.on_report(report(0, None), secs(0));
    node.store_placement(0, Arc::new(Placement::round_robin(63, 8, 252)));
    let mut requests_answered = |now: Moment| -> usize {
        let ask = |from| node.on_message(from, Message::AskPlacement { placement_no: 0 }, now);
        let actions = (1..63).flat_map(ask);
        let is_placement = |action: &Action<u16>| {
            matches!(action, Action::Send { message: Message::Placement { .. }, .. })
        };
        actions.filter(is_placement).count()
    };

    let at_once = requests_answered(secs(1));
    assert!((5..=20).contains(&at_once), "{at_once} placements sent at once");
    let later = requests_answered(ms(1_010));
    assert!((1..=4).contains(&later), "{later} placements sent after 10 ms");
}

/// Every new leader started a plan from scratch that was almost finished.
#[test]
fn the_next_leader_resumes_the_plan() {
    for seed in 0..10 {
        let mut group = Group::new(12, seed, NO_FAULTS, Defect::Nothing);
        group.run_until(secs(5));
        group.run_until_proposal();
        let at = group.now();
        // Engines are copying at this time.
        group.run_until(at + ms(30));
        let changes = group.placement_changes;
        group.kill_leader(ms(800));
        let resumed = group.plans_resumed;
        group.run_until(at + ms(1_500));

        assert!(group.plans_resumed > resumed, "seed {seed}: no plan was resumed");
        assert!(group.placement_changes > changes, "seed {seed}: no placement came into use");
    }
}
