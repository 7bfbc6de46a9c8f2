//! Placements keep changing while the process of one rank is away and its engine still runs.

use std::time::Duration;

use super::group::{Defect, Faults, Group};
use super::{ALL_FAULTS, NO_FAULTS, secs, seeds};

/// Longer than any run.
const FOREVER: Duration = Duration::from_secs(1_000);

/// Asserts that placements keep changing from 2 to 10 s after a fault at 5 s, and that passes are
/// not delayed much. Observed: 8 to 14 changes in 8 s with 6 ranks and 7 with 63, and at most 155
/// ms from one pass to the next, where a pass takes 50 ms.
fn assert_placements_continue(size: usize, seed: u64, fault: impl Fn(&mut Group)) {
    let mut group = Group::new(size, seed, NO_FAULTS, Defect::Nothing);
    group.run_until(secs(5));
    group.run_until_proposal();
    fault(&mut group);
    group.run_until(secs(7));
    let changes = group.placement_changes;
    group.max_pass_gap = Duration::ZERO;
    group.run_until(secs(15));
    let (changes, pause) = (group.placement_changes - changes, group.max_pass_gap);

    assert!(changes >= 6, "{size} ranks, seed {seed}: {changes} changes in 8 s");
    assert!(
        pause < Duration::from_millis(250),
        "{size} ranks, seed {seed}: longest pass gap {pause:?}"
    );
}

/// A process that was killed and did not restart stopped all placements of its group.
#[test]
fn placements_continue_while_one_node_is_down() {
    for seed in 0..6 {
        for at in [0, 3, 5] {
            assert_placements_continue(6, seed, |group| group.kill_node(at, FOREVER));
        }
    }
}

#[test]
fn placements_continue_while_one_node_is_isolated() {
    for seed in 0..6 {
        for at in [0, 3, 5] {
            assert_placements_continue(6, seed, |group| group.isolate_node(at, FOREVER));
        }
    }
}

/// Isolates one node for 12 s, next to a run's other faults: kills of nodes, lost messages, late
/// orders and frozen machines.
fn run_with_isolated_node(size: usize, seed: u64, faults: Faults) {
    let faults = Faults { until: secs(14), ..faults };
    let mut group = Group::new(size, seed, faults, Defect::Nothing);
    group.run_until(secs(2));
    let absent = 2 + (seed as usize) % (size - 2);
    group.isolate_node(absent, secs(12));
    group.run_until(secs(28));
    let changes = group.placement_changes;
    group.run_until(secs(31));

    assert!(
        group.placement_changes > changes,
        "seed {seed}: no placement changed after the faults"
    );
}

#[test]
fn an_absent_node_and_all_faults_keep_the_invariant() {
    for seed in 0..seeds() {
        run_with_isolated_node(3 + (seed % 5) as usize, seed, ALL_FAULTS);
    }
}

#[test]
fn isolated_nodes_and_all_faults_keep_the_invariant() {
    for seed in 0..seeds() {
        run_with_isolated_node(
            3 + (seed % 5) as usize,
            seed,
            Faults { isolations: 0.1, ..ALL_FAULTS },
        );
    }
}

#[test]
fn placements_continue_in_a_large_group_without_one_node() {
    assert_placements_continue(63, 1, |group| group.kill_node(40, FOREVER));
}
