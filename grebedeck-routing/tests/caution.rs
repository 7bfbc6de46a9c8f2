//! Who is held back after a single crash.

use std::time::Duration;

use grebedeck_routing::caution::{COOLDOWN, CrashCooldown};
use grebedeck_routing::quarantine::ProbeResult;
use grebedeck_routing::{Quarantine, TargetStart};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Lets requests run under the crash of a target.
fn crash(quarantine: &mut Quarantine, target: &str, runs: &[u128], now: Duration) {
    let start = TargetStart::listed(target, Some(1));

    for request in runs {
        quarantine.record_broken_attempt(&start, *request, now, now);
    }

    quarantine.record_probe(&start, ProbeResult::Crashed, now);
}

#[test]
fn what_ran_under_a_crash_is_held_back_for_a_while() {
    let (mut quarantine, caution) = (Quarantine::default(), CrashCooldown::default());
    crash(&mut quarantine, "t0", &[1, 2], ms(0));
    let left = |request, now| caution.remaining(request, quarantine.suspicion(request), now);

    assert_eq!(left(1, ms(0)), Some(COOLDOWN));
    assert_eq!(left(2, ms(10_000)), Some(COOLDOWN - ms(10_000)));
    assert_eq!(left(3, ms(0)), None, "it did not run there");
    assert_eq!(left(1, COOLDOWN), None);
}

#[test]
fn what_is_asked_often_and_answered_is_not_held_back() {
    let (mut quarantine, mut caution) = (Quarantine::default(), CrashCooldown::default());
    caution.record_answer(2);
    crash(&mut quarantine, "t0", &[1, 2], ms(0));

    assert_eq!(caution.remaining(2, quarantine.suspicion(2), ms(1)), None);
    assert!(caution.remaining(1, quarantine.suspicion(1), ms(1)).is_some());
}

/// One failure: several targets lose their power in the same moment.
#[test]
fn a_loss_of_power_holds_nobody_back() {
    let (mut quarantine, caution) = (Quarantine::default(), CrashCooldown::default());
    crash(&mut quarantine, "t0", &[1], ms(0));
    crash(&mut quarantine, "t1", &[2], ms(40));

    for request in [1, 2] {
        assert_eq!(caution.remaining(request, quarantine.suspicion(request), ms(100)), None);
    }
}

#[test]
fn only_what_was_answered_lately_is_remembered() {
    let mut caution = CrashCooldown::default();
    (0..10_000).for_each(|request| caution.record_answer(request));

    assert!(caution.was_answered_recently(9_999) && !caution.was_answered_recently(0));
}
