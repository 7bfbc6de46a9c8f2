//! What a gateway keeps for callers and targets, and the memory that it takes for it.

use std::time::Duration;

use grebedeck::gateway::buffer::{Buffer, SharedMemory};

const LARGE_BYTES: usize = 100_000;

#[test]
fn bytes_are_kept_as_they_came_and_their_memory_is_given_back() {
    let shared = SharedMemory::new(400_000);
    let mut kept = Buffer::new(&shared);
    let whole: Vec<u8> = (0..LARGE_BYTES).map(|n| n as u8).collect();

    for part in whole.chunks(4096) {
        assert!(kept.push(part));
        assert!(shared.used_bytes() >= kept.len(), "all that is kept is counted");
    }

    assert!(*kept == *whole);
    kept.discard_bytes();
    assert!(shared.used_bytes() >= LARGE_BYTES, "a copy of it is still to be sent");
    drop(kept);
    assert_eq!(shared.used_bytes(), 0);
}

#[test]
fn a_part_for_which_there_is_no_memory_is_not_taken() {
    let shared = SharedMemory::new(LARGE_BYTES);
    let mut kept = Buffer::new(&shared);

    while kept.push(&[b'x'; 1000]) {}

    let before = shared.used_bytes();
    assert!((LARGE_BYTES / 2..=LARGE_BYTES * 3 / 4).contains(&before), "{before}");
    assert_eq!(kept.len() % 1000, 0);
    assert!(Buffer::new(&shared).push(&[b'x'; 1000]), "a small one still gets some");
}

#[test]
fn a_large_answer_waits_until_others_have_been_read() {
    async_io::block_on(async {
        let shared = SharedMemory::new(2 * LARGE_BYTES);
        let mut first = Buffer::new(&shared);
        assert!(first.reserve(LARGE_BYTES, Duration::ZERO).await);
        let mut second = Buffer::new(&shared);
        assert!(!second.reserve(LARGE_BYTES, Duration::from_millis(1)).await);

        let waiting = second.reserve(LARGE_BYTES, Duration::from_secs(20));
        let reading = async {
            async_std::task::yield_now().await;
            drop(first);
        };
        let (is_got, ()) = futures::join!(waiting, reading);
        assert!(is_got);
        assert!(!second.reserve(4 * LARGE_BYTES, Duration::from_secs(20)).await, "it never fits");
    });
}

#[test]
fn bytes_that_are_kept_elsewhere_are_counted_up_and_down() {
    let shared = SharedMemory::new(LARGE_BYTES);
    let mut kept = Buffer::new(&shared);

    assert!(kept.set_external_len(30_000) && shared.used_bytes() == 30_000);
    assert!(kept.set_external_len(10) && shared.used_bytes() == 10);
    assert!(!kept.set_external_len(LARGE_BYTES));
}
