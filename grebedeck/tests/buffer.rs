//! Buffers and the memory budget that they share.

use std::time::Duration;

use grebedeck::gateway::buffer::{Buffer, SharedMemory};

const LARGE_BYTES: usize = 100_000;

#[test]
fn a_buffer_keeps_its_bytes_and_releases_their_memory() {
    let shared = SharedMemory::new(400_000);
    let mut buffer = Buffer::new(&shared);
    let whole: Vec<u8> = (0..LARGE_BYTES).map(|n| n as u8).collect();

    for part in whole.chunks(4096) {
        assert!(buffer.push(part));
        assert!(shared.used_bytes() >= buffer.len(), "the reservation covers all buffered bytes");
    }

    assert!(*buffer == *whole);
    buffer.discard_bytes();
    assert!(shared.used_bytes() >= LARGE_BYTES, "the reservation stays while a copy is sent");
    drop(buffer);
    assert_eq!(shared.used_bytes(), 0);
}

#[test]
fn a_part_without_memory_is_rejected() {
    let shared = SharedMemory::new(LARGE_BYTES);
    let mut buffer = Buffer::new(&shared);

    while buffer.push(&[b'x'; 1000]) {}

    let before = shared.used_bytes();
    assert!((LARGE_BYTES / 2..=LARGE_BYTES * 3 / 4).contains(&before), "{before}");
    assert_eq!(buffer.len() % 1000, 0);
    assert!(Buffer::new(&shared).push(&[b'x'; 1000]), "a small buffer still gets memory");
}

#[test]
fn a_large_reservation_waits_until_others_are_released() {
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
        let (is_reserved, ()) = futures::join!(waiting, reading);
        assert!(is_reserved);
        assert!(
            !second.reserve(4 * LARGE_BYTES, Duration::from_secs(20)).await,
            "it exceeds the budget, so it fails at once"
        );
    });
}

#[test]
fn external_bytes_are_counted_up_and_down() {
    let shared = SharedMemory::new(LARGE_BYTES);
    let mut buffer = Buffer::new(&shared);

    assert!(buffer.set_external_len(30_000) && shared.used_bytes() == 30_000);
    assert!(buffer.set_external_len(10) && shared.used_bytes() == 10);
    assert!(!buffer.set_external_len(LARGE_BYTES));
}
