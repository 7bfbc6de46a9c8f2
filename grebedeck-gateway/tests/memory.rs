//! Memory budget for unread data, and peers that stop reading.

use std::time::Duration;

use grebedeck_gateway::memory::{MemoryBudget, SMALL_BYTES};
use grebedeck_gateway::stall::{WriteTimeouts, WriteWait};
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const MAX_BYTES: usize = 1 << 20;

#[test]
fn large_holders_leave_memory_for_small_ones() {
    let mut memory = MemoryBudget::new(MAX_BYTES);
    let mut large = 0;

    while memory.try_reserve(large, SMALL_BYTES) {
        large += SMALL_BYTES;
    }

    assert_eq!(large, MAX_BYTES / 4 * 3, "one holder alone");
    assert!(!memory.try_reserve(0, SMALL_BYTES + 1), "another large holder");
    assert!(memory.try_reserve(0, SMALL_BYTES), "a small holder");
    memory.release(large);
    assert!(memory.try_reserve(0, SMALL_BYTES + 1), "after the first has released its memory");
}

#[test]
fn a_holding_that_never_fits_is_detected_beforehand() {
    let memory = MemoryBudget::new(MAX_BYTES);

    assert!(memory.can_hold(MAX_BYTES / 2));
    assert!(!memory.can_hold(MAX_BYTES));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_limit_applies_and_all_reservations_are_released(
        steps in proptest::collection::vec((0usize..40, 0usize..200_000), 1..300),
    ) {
        let mut memory = MemoryBudget::new(MAX_BYTES);
        let mut held = [0; 40];

        for (holder, bytes) in steps {
            if memory.try_reserve(held[holder], bytes) {
                held[holder] += bytes;
            } else {
                memory.release(std::mem::take(&mut held[holder]));
            }

            prop_assert_eq!(memory.used_bytes(), held.iter().sum::<usize>());
            prop_assert!(memory.used_bytes() <= MAX_BYTES);
        }

        prop_assert!(memory.peak_bytes() <= MAX_BYTES);
        held.into_iter().for_each(|bytes| memory.release(bytes));
        prop_assert_eq!(memory.used_bytes(), 0);
    }
}

#[test]
fn a_peer_that_reads_nothing_counts_as_stalled() {
    let reader = WriteTimeouts::new(MS(2000), MS(9000), MS(1000));

    assert_eq!(reader.remaining(MS(1500)), WriteWait::For(MS(1500)));
    assert_eq!(reader.remaining(MS(3000)), WriteWait::Stalled);
}

#[test]
fn a_peer_that_reads_slowly_has_until_the_deadline() {
    let mut reader = WriteTimeouts::new(MS(2000), MS(9000), MS(1000));

    for at in (2..9).map(|s| MS(s * 1000)) {
        assert!(matches!(reader.remaining(at), WriteWait::For(_)), "{at:?}");
        reader.record_progress(at);
    }

    assert_eq!(reader.remaining(MS(8500)), WriteWait::For(MS(500)));
    assert_eq!(reader.remaining(MS(9000)), WriteWait::TimedOut);
}
