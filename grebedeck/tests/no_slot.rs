//! When a wait for a slot is pointless.

use std::time::Duration;

use grebedeck::gateway::slot::NoSlot;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Callers of a service whose outage was overdue waited for their whole objective before they were
/// refused.
#[test]
fn no_wait_for_a_service_expected_back_too_late() {
    let (give_up, now) = (MS(1400), MS(1000));

    assert!(NoSlot::Out(MS(401)).is_wait_futile(true, give_up, now));
    assert!(
        !NoSlot::Out(MS(400)).is_wait_futile(true, give_up, now),
        "the service may be back just in time"
    );
    assert!(!NoSlot::Full.is_wait_futile(true, give_up, now), "a slot may become free at any time");
    assert!(!NoSlot::NoTargets.is_wait_futile(true, give_up, now));
    assert!(
        !NoSlot::Out(MS(900)).is_wait_futile(false, give_up, now),
        "an outage that is not overdue may end sooner"
    );
}

/// Operators take a hall back at a time that no caller can predict.
#[test]
fn no_wait_for_a_service_in_evacuated_halls() {
    assert!(NoSlot::Evacuated.is_wait_futile(false, MS(9000), MS(0)));
    assert_eq!(NoSlot::Evacuated.word(), "evacuated");
}
