//! The clock includes the time during which the instance was suspended.

use std::time::Duration;

use grebedeck_kernel::Clock;
use grebedeck_kernel::clock::since_boot;

/// Resolution of `/proc/uptime`.
const RESOLUTION: Duration = Duration::from_millis(10);

fn uptime() -> Duration {
    let text = std::fs::read_to_string("/proc/uptime").expect("readable /proc/uptime");
    let seconds = text.split(' ').next().expect("a first field");

    Duration::from_secs_f64(seconds.parse().expect("uptime in seconds"))
}

#[test]
fn clock_matches_system_uptime() {
    // The boot-time clock is the only monotonic system clock that includes suspensions.
    let (before, measured, after) = (uptime(), since_boot(), uptime());

    assert!(
        before <= measured + RESOLUTION && measured <= after + RESOLUTION,
        "{before:?} {measured:?} {after:?}"
    );
}

#[test]
fn clock_advances() {
    let clock = Clock::default();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));

    assert!(clock.now() >= before + Duration::from_millis(20));
}
