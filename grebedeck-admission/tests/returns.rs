//! When callers that were refused come back.

use std::time::Duration;

use grebedeck_admission::{ExpectedCapacity, RetrySlots};
use grebedeck_core::random::SeededSource;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn schedule() -> ExpectedCapacity {
    ExpectedCapacity { first_place_in: MS(100), rate_per_s: 50.0, time_left: MS(6000) }
}

/// Callers that are refused in the same moment come back one after another, as fast as places are given.
#[test]
fn those_refused_together_do_not_come_back_together() {
    let (mut returns, mut random) = (RetrySlots::default(), SeededSource::new(1));
    let mut waits: Vec<Duration> =
        (0..50).map(|_| returns.retry_after((1, 1), schedule(), MS(0), &mut random)).collect();
    waits.sort();

    assert!(waits[0] >= MS(100), "{waits:?}");
    assert!(waits[49] < MS(1150), "{waits:?}");

    for window in 0..8 {
        let range = MS(100 + window * 100)..MS(200 + window * 100);
        let count = waits.iter().filter(|wait| range.contains(wait)).count();
        assert!((3..=7).contains(&count), "{count} from {range:?}");
    }
}

#[test]
fn the_less_urgent_come_back_behind_the_more_urgent() {
    let (mut returns, mut random) = (RetrySlots::default(), SeededSource::new(2));

    for _ in 0..20 {
        returns.retry_after((1, 0), schedule(), MS(0), &mut random);
    }

    let later = returns.retry_after((1, 2), schedule(), MS(0), &mut random);
    let soon = returns.retry_after((1, 0), schedule(), MS(0), &mut random);
    assert!(later >= MS(500) && soon >= MS(500) && soon < MS(530), "{later:?} {soon:?}");

    for _ in 0..50 {
        returns.retry_after((1, 2), schedule(), MS(0), &mut random);
    }

    let urgent = returns.retry_after((1, 0), schedule(), MS(0), &mut random);
    assert!(urgent < MS(550), "it does not stand behind the less urgent: {urgent:?}");
}

/// Callers do not wait for longer than a third of their time; those beyond are spread.
#[test]
fn nobody_is_told_to_wait_for_longer_than_callers_do() {
    let (mut returns, mut random) = (RetrySlots::default(), SeededSource::new(3));
    let waits: Vec<Duration> =
        (0..500).map(|_| returns.retry_after((1, 1), schedule(), MS(0), &mut random)).collect();
    assert!(waits.iter().all(|wait| *wait <= MS(2000)), "{waits:?}");

    let last: Vec<_> = waits[300..].iter().collect();
    let early = last.iter().filter(|wait| ***wait < MS(1500)).count();
    assert!((60..140).contains(&early), "{early} of 200 in the first half of the spread");

    // Slots that have passed are free again.
    let later = returns.retry_after((1, 1), schedule(), MS(9000), &mut random);
    assert!(later < MS(130), "{later:?}");
}

#[test]
fn a_rate_of_nothing_does_no_harm() {
    let (mut returns, mut random) = (RetrySlots::default(), SeededSource::new(4));
    let schedule = ExpectedCapacity { rate_per_s: 0.0, ..schedule() };

    assert!(returns.retry_after((1, 0), schedule, MS(0), &mut random) <= MS(2000));
}
