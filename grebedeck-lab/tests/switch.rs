//! Switches of expert maps under loss, duplication, reordering, replacement and stale members.

use std::panic::{AssertUnwindSafe, catch_unwind};

use grebedeck_core::random::SeededSource;
use grebedeck_lab::switch_model::{Bounds, ProtocolFault, explore, random_run};

/// Number of random runs per test; `grebedeck-lab switch` takes many more and longer ones.
const RUNS: u64 = 150;
const ACTIONS_PER_RUN: usize = 400;

fn random_run_bounds(fault: ProtocolFault) -> Bounds {
    Bounds { steps: 40, replacements: 3, proposals: 8, fault, ..Bounds::default() }
}

/// Whether random runs detect the fault, by the invariant or by a panic of a member.
fn is_detected(fault: ProtocolFault) -> bool {
    (0..RUNS).any(|seed| {
        let mut random = SeededSource::new(seed);
        let run = || random_run(random_run_bounds(fault), ACTIONS_PER_RUN, &mut random);

        !matches!(catch_unwind(AssertUnwindSafe(run)), Ok(Ok(_)))
    })
}

#[test]
fn no_state_within_a_few_actions_mixes_maps() {
    let seen = explore(Bounds { replacements: 0, proposals: 1, ..Bounds::default() }, 13).unwrap();

    assert!(seen.commits > 0, "{seen:?}");
}

#[test]
fn no_state_mixes_maps_with_a_replacement_and_two_coordinators() {
    let seen = explore(Bounds::default(), 6).unwrap();

    assert!(seen.states > 10_000, "{seen:?}");
}

#[test]
fn random_runs_commit_and_never_mix_maps() {
    let mut commits = 0;

    for seed in 0..RUNS {
        let mut random = SeededSource::new(seed);
        commits += random_run(random_run_bounds(ProtocolFault::None), ACTIONS_PER_RUN, &mut random)
            .unwrap()
            .commits;
    }

    assert!(commits > 100, "{commits}");
}

#[test]
fn a_commit_without_all_members_is_detected() {
    assert!(is_detected(ProtocolFault::CommitWithoutAll));
    let bounds = Bounds {
        fault: ProtocolFault::CommitWithoutAll,
        proposals: 1,
        replacements: 0,
        ..Bounds::default()
    };
    let explored = catch_unwind(AssertUnwindSafe(|| explore(bounds, 10)));
    assert!(!matches!(explored, Ok(Ok(_))));
}

#[test]
fn a_replacement_without_a_join_is_detected() {
    assert!(is_detected(ProtocolFault::NoJoin));
}

#[test]
fn engines_that_do_not_hold_are_detected() {
    assert!(is_detected(ProtocolFault::NoHold));
    let bounds =
        Bounds { fault: ProtocolFault::NoHold, proposals: 1, replacements: 0, ..Bounds::default() };
    assert!(explore(bounds, 13).is_err());
}
