//! A group recovers from any fault: it has one leader, and placements change again.

use std::time::Duration;

use grebedeck_core::Moment;

use super::group::{Defect, Faults, Group};
use super::shape::{SMALL_SHAPE, Shape};
use super::{NO_FAULTS, secs};

/// Links of 8 Mbit/s, as at machines that run ranks.
const LINK_BYTES_PER_S: f64 = 1_000_000.0;
/// Longest queue of such a link: some 60 KB.
const LINK_QUEUE_LIMIT: Duration = Duration::from_millis(60);
/// 252 experts for 63 ranks, in eight sets.
const LARGE_SHAPE: Shape = Shape { sets: 8, per_rank: 4 };
/// Limit from the last fault to one leader that keeps the lead.
const LEADER_WITHIN: Duration = Duration::from_secs(2);
/// Limit from the last fault to a new placement in use.
const IN_USE_WITHIN: Duration = Duration::from_secs(3);

/// Maximum number of ranks with the large shape. With 650 of them and every list of experts
/// changed, a plan is 42 KB, and is given up because it is not prepared in time; 400 ranks manage
/// it.
const LARGE_SHAPE_MAX_RANKS: usize = 400;

fn group(size: usize, seed: u64, faults: Faults) -> Group {
    let shape = if size <= LARGE_SHAPE_MAX_RANKS { LARGE_SHAPE } else { SMALL_SHAPE };
    let mut group = Group::with_shape(size, shape, seed, faults, Defect::Nothing);
    group.link_bytes_per_s = Some(LINK_BYTES_PER_S);
    group.link_queue = LINK_QUEUE_LIMIT;
    group.dropped_use_link = true;
    group.pass_length = Duration::from_millis(100);
    group
}

/// Continues from the end of the last fault, and asserts that the group recovers.
fn assert_recovers(group: &mut Group, size: usize, seed: u64, end: Moment) {
    let changes = group.placement_changes;
    group.run_until(end + LEADER_WITHIN);
    let claims = group.leaderships_taken;
    assert_eq!(group.leaders(), 1, "{size} ranks, seed {seed}: leaders");
    group.run_until(end + IN_USE_WITHIN);
    assert!(
        group.placement_changes > changes,
        "{size} ranks, seed {seed}: no new placement came into use"
    );
    group.run_until(end + IN_USE_WITHIN + secs(2));
    assert_eq!(group.leaderships_taken, claims, "{size} ranks, seed {seed}: the leader changed");
}

/// All processes were killed while engines kept a placement that no node knew. 62 of 63 nodes
/// requested it from the next leader every 0.1 s, and the answers of 2.7 KB filled its link; other
/// nodes heard nothing of it and claimed the lead, 29 times in 22 s, and none of 28 placements came
/// into use.
#[test]
fn nodes_without_state_recover_after_all_are_killed() {
    for size in [12, 63, 192] {
        for seed in 0..4 {
            let mut group = group(size, seed, NO_FAULTS);
            group.run_until(secs(5));
            assert!(
                group.placement_changes > 0,
                "{size} ranks, seed {seed}: no placement came into use before the fault"
            );
            group.kill_all_for(Duration::from_millis(500));
            assert_recovers(&mut group, size, seed, Duration::from_millis(5500));
        }
    }
}

/// All faults but late orders, which are carried out up to 11 s after the faults have ended.
const FAULTS: Faults =
    Faults { lost: 0.05, kills: 0.06, kills_all: 0.03, freezes: 0.04, until: secs(8), ..NO_FAULTS };

fn assert_recovers_after_faults(size: usize, seed: u64) {
    let mut group = group(size, seed, FAULTS);
    group.run_until(FAULTS.until);
    let end = group.recovered_at();
    assert_recovers(&mut group, size, seed, end);
}

#[test]
fn groups_of_all_sizes_recover() {
    for size in [12, 16, 24, 40, 72, 120, 192, 400, 650] {
        (0..2).for_each(|seed| assert_recovers_after_faults(size, seed));
    }
}

/// A common size, with more seeds.
#[test]
fn groups_of_63_recover() {
    (0..8 + super::seeds() / 10).for_each(|seed| assert_recovers_after_faults(63, seed));
}
