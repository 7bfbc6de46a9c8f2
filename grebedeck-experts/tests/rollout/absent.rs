//! A rank whose process is away, while its engine goes on, stops no placements.

use std::time::Duration;

use super::group::{Broken, Faults, Group};
use super::{ALL_FAULTS, NO_FAULTS, secs, seeds};

/// Longer than any run.
const FOR_GOOD: Duration = Duration::from_secs(1_000);

/// Asserts that placements go on changing from 2 to 10 s after what is done to a group at 5 s, and that the group is not
/// kept waiting for long. 8 to 14 changes in 8 s were seen with 6 ranks and 7 with 63, and 155 ms at the longest from one pass to the
/// next, where one takes 50 ms.
fn goes_on(size: usize, seed: u64, what: impl Fn(&mut Group)) {
    let mut group = Group::new(size, seed, NO_FAULTS, Broken::Nothing);
    group.run_until(secs(5));
    group.run_to_proposal();
    what(&mut group);
    group.run_until(secs(7));
    let changes = group.changes;
    group.longest_pause = Duration::ZERO;
    group.run_until(secs(15));
    let (changes, pause) = (group.changes - changes, group.longest_pause);

    assert!(changes >= 6, "{size} ranks, seed {seed}: {changes} changes in 8 s");
    assert!(pause < Duration::from_millis(250), "{size} ranks, seed {seed}: {pause:?}");
}

/// A process that was killed and did not come back stopped all placements of its group.
#[test]
fn a_node_that_is_gone_stops_no_placements() {
    for seed in 0..6 {
        for at in [0, 3, 5] {
            goes_on(6, seed, |group| group.kill_node(at, FOR_GOOD));
        }
    }
}

#[test]
fn a_node_that_is_cut_off_stops_no_placements() {
    for seed in 0..6 {
        for at in [0, 3, 5] {
            goes_on(6, seed, |group| group.cut_node(at, FOR_GOOD));
        }
    }
}

/// Another one for a while beside the first, kills of it, lost messages, late orders and frozen machines.
fn with_one_gone(size: usize, seed: u64, faults: Faults) {
    let faults = Faults { until: secs(14), ..faults };
    let mut group = Group::new(size, seed, faults, Broken::Nothing);
    group.run_until(secs(2));
    let gone = 2 + (seed as usize) % (size - 2);
    group.cut_node(gone, secs(12));
    group.run_until(secs(28));
    let changes = group.changes;
    group.run_until(secs(31));

    assert!(group.changes > changes, "seed {seed}: placements change again after the faults");
}

#[test]
fn a_node_that_is_away_among_all_faults_breaks_nothing() {
    for seed in 0..seeds() {
        with_one_gone(3 + (seed % 5) as usize, seed, ALL_FAULTS);
    }
}

#[test]
fn cuts_among_all_faults_break_nothing() {
    for seed in 0..seeds() {
        with_one_gone(3 + (seed % 5) as usize, seed, Faults { cuts: 0.1, ..ALL_FAULTS });
    }
}

#[test]
fn a_large_group_goes_on_without_one_node() {
    goes_on(63, 1, |group| group.kill_node(40, FOR_GOOD));
}
