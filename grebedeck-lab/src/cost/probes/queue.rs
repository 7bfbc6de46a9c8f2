//! Probes of the admission queue.

use std::hint::black_box;
use std::time::Duration;

use grebedeck_admission::{Order, Queue, QueueOptions, Ticket, Waiter};

use super::{min_time_s, retained_bytes};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn waiter(at: u64) -> Waiter {
    // A hash of the number spreads waiters over urgencies, organisations and deadlines.
    let hash = at.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;

    Waiter {
        urgency: (1, (hash % 3) as u8),
        organisation: format!("organisation-{}", hash % 24),
        weight: 1,
        tokens: 200 + hash % 4000,
        start_by: MS(1000 + hash % 800),
        expires_at: MS(1000 + hash % 900),
        is_resumed: false,
    }
}

fn queue(waiting: usize) -> (Queue<u64>, Vec<Ticket>) {
    let options =
        QueueOptions { order: Order::Urgency, turn_tokens: 1000, max_waiting: 2 * waiting + 1000 };
    let mut queue = Queue::new(options);
    let push = |at| queue.push(waiter(at), at, MS(0)).unwrap_or_default();
    let tickets = (0..waiting as u64).map(push).collect();

    (queue, tickets)
}

/// Time in which one request is queued, one gets a place and one is removed.
pub fn queue_us(waiting: usize) -> f64 {
    const ROUNDS: usize = 500;
    let (mut queue, tickets) = queue(waiting);
    let mut at = waiting as u64;

    min_time_s(5, || {
        for round in 0..ROUNDS {
            at += 1;
            black_box(queue.push(waiter(at), at, MS(1)).is_ok());
            black_box(queue.pop(MS(1)));
            let removed = tickets[round.wrapping_mul(7919) % tickets.len()];

            if queue.remove(removed, MS(1)).is_some() {
                black_box(queue.push(waiter(at), at, MS(1)).is_ok());
            }
        }
    }) * 1e6
        / ROUNDS as f64
}

/// Memory of the queue without the waiting requests themselves.
pub fn queue_bytes(waiting: usize) -> f64 {
    retained_bytes(|| queue(waiting).0)
}
