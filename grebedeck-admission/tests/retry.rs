//! Retry times of refused callers.

use std::time::Duration;

use grebedeck_admission::{ExpectedCapacity, RetrySlots};
use grebedeck_core::random::SeededSource;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn expected_capacity() -> ExpectedCapacity {
    ExpectedCapacity { first_slot_in: MS(100), rate_per_s: 50.0, time_left: MS(6000) }
}

/// Callers refused at the same time are told to retry one after another, at the grant rate.
#[test]
fn callers_refused_together_retry_one_after_another() {
    let (mut retry_slots, mut random) = (RetrySlots::default(), SeededSource::new(1));
    let mut waits: Vec<Duration> = (0..50)
        .map(|_| retry_slots.retry_after((1, 1), expected_capacity(), MS(0), &mut random))
        .collect();
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
fn less_urgent_callers_retry_after_more_urgent_ones() {
    let (mut retry_slots, mut random) = (RetrySlots::default(), SeededSource::new(2));

    for _ in 0..20 {
        retry_slots.retry_after((1, 0), expected_capacity(), MS(0), &mut random);
    }

    let later = retry_slots.retry_after((1, 2), expected_capacity(), MS(0), &mut random);
    let soon = retry_slots.retry_after((1, 0), expected_capacity(), MS(0), &mut random);
    assert!(later >= MS(500) && soon >= MS(500) && soon < MS(530), "{later:?} {soon:?}");

    for _ in 0..50 {
        retry_slots.retry_after((1, 2), expected_capacity(), MS(0), &mut random);
    }

    let urgent = retry_slots.retry_after((1, 0), expected_capacity(), MS(0), &mut random);
    assert!(urgent < MS(550), "less urgent callers do not delay it: {urgent:?}");
}

/// The retry delay is at most a third of the remaining time. Callers without a retry slot are
/// spread over the second half of that.
#[test]
fn retry_delay_is_bounded() {
    let (mut retry_slots, mut random) = (RetrySlots::default(), SeededSource::new(3));
    let waits: Vec<Duration> = (0..500)
        .map(|_| retry_slots.retry_after((1, 1), expected_capacity(), MS(0), &mut random))
        .collect();
    assert!(waits.iter().all(|wait| *wait <= MS(2000)), "{waits:?}");

    let last: Vec<_> = waits[300..].iter().collect();
    let early = last.iter().filter(|wait| ***wait < MS(1500)).count();
    assert!((60..140).contains(&early), "{early} of 200 in the first half of the spread");

    // Retry slots in the past no longer delay anyone.
    let later = retry_slots.retry_after((1, 1), expected_capacity(), MS(9000), &mut random);
    assert!(later < MS(130), "{later:?}");
}

#[test]
fn zero_rate_still_gives_a_bounded_delay() {
    let (mut retry_slots, mut random) = (RetrySlots::default(), SeededSource::new(4));
    let expected = ExpectedCapacity { rate_per_s: 0.0, ..expected_capacity() };

    assert!(retry_slots.retry_after((1, 0), expected, MS(0), &mut random) <= MS(2000));
}
