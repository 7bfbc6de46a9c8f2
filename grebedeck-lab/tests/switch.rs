//! The switch of expert maps under loss, doubling, reordering, replacement and pause.

use std::panic::{AssertUnwindSafe, catch_unwind};

use grebedeck_core::random::SeededSource;
use grebedeck_lab::switch_model::{Bounds, ProtocolFault, explore, random_run};

/// Random runs of each test; long runs are taken by `grebedeck-lab switch`.
const RUNS: u64 = 150;
const ACTIONS: usize = 400;

fn long_bounds(fault: ProtocolFault) -> Bounds {
    Bounds { steps: 40, replacements: 3, proposals: 8, fault, ..Bounds::default() }
}

/// Tells whether random runs of a broken protocol are noticed, by the check or by the members.
fn is_noticed(fault: ProtocolFault) -> bool {
    (0..RUNS).any(|seed| {
        let mut random = SeededSource::new(seed);
        let run = || random_run(long_bounds(fault), ACTIONS, &mut random);

        !matches!(catch_unwind(AssertUnwindSafe(run)), Ok(Ok(_)))
    })
}

#[test]
fn no_state_nearby_mixes_maps() {
    let seen = explore(Bounds { replacements: 0, proposals: 1, ..Bounds::default() }, 13).unwrap();

    assert!(seen.commits > 0, "{seen:?}");
}

#[test]
fn no_state_nearby_mixes_maps_with_a_replacement_and_two_coordinators() {
    let seen = explore(Bounds::default(), 6).unwrap();

    assert!(seen.states > 10_000, "{seen:?}");
}

#[test]
fn random_runs_never_mix_maps_and_do_commit() {
    let mut commits = 0;

    for seed in 0..RUNS {
        let mut random = SeededSource::new(seed);
        commits +=
            random_run(long_bounds(ProtocolFault::None), ACTIONS, &mut random).unwrap().commits;
    }

    assert!(commits > 100, "{commits}");
}

#[test]
fn a_commit_without_all_is_noticed() {
    assert!(is_noticed(ProtocolFault::CommitWithoutAll));
    let bounds = Bounds {
        fault: ProtocolFault::CommitWithoutAll,
        proposals: 1,
        replacements: 0,
        ..Bounds::default()
    };
    let walked = catch_unwind(AssertUnwindSafe(|| explore(bounds, 10)));
    assert!(!matches!(walked, Ok(Ok(_))));
}

#[test]
fn a_replacement_without_a_join_is_noticed() {
    assert!(is_noticed(ProtocolFault::NoJoin));
}

#[test]
fn engines_that_do_not_hold_are_noticed() {
    assert!(is_noticed(ProtocolFault::NoHold));
    let bounds =
        Bounds { fault: ProtocolFault::NoHold, proposals: 1, replacements: 0, ..Bounds::default() };
    assert!(explore(bounds, 13).is_err());
}
