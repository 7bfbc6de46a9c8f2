//! Costs of those who wait for a place.

use std::hint::black_box;
use std::time::Duration;

use grebedeck_admission::{Order, Queue, QueueOptions, Ticket, Waiter};

use super::{held, least_s};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn waiter(at: u64) -> Waiter {
    // Spread over urgencies, organisations and moments, in no order.
    let drawn = at.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;

    Waiter {
        urgency: (1, (drawn % 3) as u8),
        organisation: format!("organisation-{}", drawn % 24),
        weight: 1,
        tokens: 200 + drawn % 4000,
        start_by: MS(1000 + drawn % 800),
        expires_at: MS(1000 + drawn % 900),
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

/// One that comes, one that gets a place, and one that leaves.
pub fn order_us(waiting: usize) -> f64 {
    const ROUNDS: usize = 500;
    let (mut queue, tickets) = queue(waiting);
    let mut at = waiting as u64;

    least_s(5, || {
        for round in 0..ROUNDS {
            at += 1;
            black_box(queue.push(waiter(at), at, MS(1)).is_ok());
            black_box(queue.pop(MS(1)));
            let leaves = tickets[round.wrapping_mul(7919) % tickets.len()];

            if queue.remove(leaves, MS(1)).is_some() {
                black_box(queue.push(waiter(at), at, MS(1)).is_ok());
            }
        }
    }) * 1e6
        / ROUNDS as f64
}

/// Memory of those who wait, without their requests.
pub fn order_bytes(waiting: usize) -> f64 {
    held(|| queue(waiting).0)
}
