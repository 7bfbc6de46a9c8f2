//! Which requests get a cooldown after a single crash.

use std::time::Duration;

use grebedeck_routing::cooldown::{COOLDOWN, CrashCooldown};
use grebedeck_routing::quarantine::ProbeResult;
use grebedeck_routing::{Quarantine, TargetStart};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Crashes a target while the given requests run on it.
fn crash(quarantine: &mut Quarantine, target: &str, runs: &[u128], now: Duration) {
    let start = TargetStart::listed(target, Some(1));

    for request in runs {
        quarantine.record_broken_attempt(&start, &(*request).into(), now, now);
    }

    quarantine.record_probe(&start, ProbeResult::Crashed, now);
}

#[test]
fn requests_running_during_a_crash_get_a_cooldown() {
    let (mut quarantine, cooldown) = (Quarantine::default(), CrashCooldown::default());
    crash(&mut quarantine, "t0", &[1, 2], ms(0));
    let remaining = |request, now| cooldown.remaining(request, quarantine.suspicion(request), now);

    assert_eq!(remaining(1, ms(0)), Some(COOLDOWN));
    assert_eq!(remaining(2, ms(10_000)), Some(COOLDOWN - ms(10_000)));
    assert_eq!(remaining(3, ms(0)), None, "request 3 was not running on the target");
    assert_eq!(remaining(1, COOLDOWN), None);
}

#[test]
fn recently_answered_requests_get_no_cooldown() {
    let (mut quarantine, mut cooldown) = (Quarantine::default(), CrashCooldown::default());
    cooldown.record_answer(2);
    crash(&mut quarantine, "t0", &[1, 2], ms(0));

    assert_eq!(cooldown.remaining(2, quarantine.suspicion(2), ms(1)), None);
    assert!(cooldown.remaining(1, quarantine.suspicion(1), ms(1)).is_some());
}

/// Several targets lose power within 100 ms: the crash of one explains the crash of the other.
#[test]
fn a_loss_of_power_causes_no_cooldown() {
    let (mut quarantine, cooldown) = (Quarantine::default(), CrashCooldown::default());
    crash(&mut quarantine, "t0", &[1], ms(0));
    crash(&mut quarantine, "t1", &[2], ms(40));

    for request in [1, 2] {
        assert_eq!(cooldown.remaining(request, quarantine.suspicion(request), ms(100)), None);
    }
}

#[test]
fn only_recent_answers_are_remembered() {
    let mut cooldown = CrashCooldown::default();
    (0..10_000).for_each(|request| cooldown.record_answer(request));

    assert!(cooldown.was_answered_recently(9_999) && !cooldown.was_answered_recently(0));
}
