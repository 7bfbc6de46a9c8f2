//! When waiting for a place is of no use.

use std::time::Duration;

use grebedeck::gateway::place::NoSlot;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Callers of a service that had been out for longer than outages last were held for their whole objective, and refused then.
#[test]
fn nobody_waits_for_a_service_that_is_back_too_late() {
    let (give_up, now) = (MS(1400), MS(1000));

    assert!(NoSlot::Out(MS(401)).is_wait_futile(true, give_up, now));
    assert!(
        !NoSlot::Out(MS(400)).is_wait_futile(true, give_up, now),
        "it may be back just in time"
    );
    assert!(
        !NoSlot::Full.is_wait_futile(true, give_up, now),
        "a place may become free at any time"
    );
    assert!(!NoSlot::NoTargets.is_wait_futile(true, give_up, now));
    assert!(!NoSlot::Out(MS(900)).is_wait_futile(false, give_up, now), "it may be back sooner");
}

/// Operators take a hall back when they wish, which no caller can wait for.
#[test]
fn nobody_waits_for_a_service_whose_halls_are_evacuated() {
    assert!(NoSlot::Evacuated.is_wait_futile(false, MS(9000), MS(0)));
    assert_eq!(NoSlot::Evacuated.word(), "evacuated");
}
