//! Order of a queue by urgency, organisation and start deadline; expiry, removal and estimated
//! waits.

use std::collections::HashMap;
use std::time::Duration;

use grebedeck_admission::share::MIN_SHARE;
use grebedeck_admission::{Order, Queue, QueueOptions, Ticket, Waiter};
use grebedeck_core::Moment;
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
const TURN: u64 = 1000;

fn options(order: Order) -> QueueOptions {
    QueueOptions { order, turn_tokens: TURN, ..QueueOptions::default() }
}

fn queue() -> Queue<u32> {
    Queue::new(options(Order::Urgency))
}

fn waiter(urgency: u8, organisation: &str, start_by_ms: u64) -> Waiter {
    Waiter {
        urgency: (1, urgency),
        organisation: organisation.to_string(),
        weight: 1,
        tokens: TURN,
        start_by: MS(start_by_ms),
        expires_at: MS(start_by_ms),
        is_resumed: false,
    }
}

fn pop_all(queue: &mut Queue<u32>, now: Moment) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(now).map(|(_, item)| item)).collect()
}

#[test]
fn resumed_streams_precede_requests_in_order_of_urgency() {
    let mut queue = queue();

    for (item, urgency) in [(1, 2), (2, 0), (3, 1), (4, 0)] {
        queue
            .push(waiter(urgency, "a", 100 + u64::from(item)), item, MS(0))
            .expect("queue not full");
    }

    let resumed = Waiter { is_resumed: true, ..waiter(2, "a", 900) };
    queue.push(resumed, 5, MS(0)).expect("queue not full");

    assert_eq!(pop_all(&mut queue, MS(1)), [5, 2, 4, 3, 1]);
    assert!(queue.is_empty() && queue.next_expiry().is_none());
}

/// The rank of the key decides first, and the rank of the route among keys of equal rank.
#[test]
fn key_rank_precedes_route_rank() {
    let mut queue = queue();

    for (item, urgency) in [(1, (1, 2)), (2, (1, 0)), (3, (0, 2)), (4, (1, 1))] {
        queue.push(Waiter { urgency, ..waiter(0, "a", 100) }, item, MS(0)).expect("queue not full");
    }

    assert_eq!(pop_all(&mut queue, MS(1)), [3, 2, 4, 1]);
}

#[test]
fn arrival_order_ignores_organisation_and_deadline() {
    let mut queue = Queue::new(options(Order::Arrival));

    for (item, organisation, start_by_ms) in [(1, "a", 900), (2, "b", 100), (3, "a", 500)] {
        queue.push(waiter(1, organisation, start_by_ms), item, MS(0)).expect("queue not full");
    }

    assert_eq!(pop_all(&mut queue, MS(200)), [1, 2, 3], "even if a start deadline has passed");
}

#[test]
fn requests_that_can_still_start_in_time_come_first() {
    let mut queue = queue();

    for (item, start_by_ms) in [(1, 300), (2, 100), (3, 50), (4, 200)] {
        queue.push(waiter(0, "a", start_by_ms), item, MS(0)).expect("queue not full");
    }

    assert_eq!(
        pop_all(&mut queue, MS(120)),
        [4, 1, 3, 2],
        "late requests last, earliest deadline first"
    );
}

#[test]
fn a_small_organisation_alternates_with_a_large_one() {
    let mut queue = queue();

    for item in 0..50 {
        queue.push(waiter(0, "large", 1000), item, MS(0)).expect("queue not full");
    }

    for item in 100..103 {
        queue.push(waiter(0, "small", 1000), item, MS(0)).expect("queue not full");
    }

    let first: Vec<u32> = pop_all(&mut queue, MS(1));
    let small: Vec<usize> = (0..first.len()).filter(|at| first[*at] >= 100).collect();
    assert!(small[2] <= 6, "{small:?}");
    assert_eq!(first.len(), 53, "the other organisation uses the share of an idle one");
}

#[test]
fn turns_are_measured_in_tokens_and_scaled_by_weight() {
    let mut queue = queue();

    for item in 0..60 {
        let long = Waiter { tokens: 4 * TURN, ..waiter(0, "long", 1000) };
        let heavy = Waiter { weight: 2, ..waiter(0, "heavy", 1000) };
        queue.push(long, item, MS(0)).expect("queue not full");
        queue.push(heavy, 100 + item, MS(0)).expect("queue not full");
        queue.push(waiter(0, "usual", 1000), 200 + item, MS(0)).expect("queue not full");
    }

    let first: Vec<u32> = pop_all(&mut queue, MS(1)).into_iter().take(52).collect();
    let count = |from: u32| first.iter().filter(|item| (from..from + 100).contains(item)).count();
    assert_eq!((count(0), count(100), count(200)), (4, 32, 16));
}

/// A request with an absurd number of tokens does not block its organisation for long.
#[test]
fn the_cost_of_a_request_is_bounded() {
    let mut queue = queue();
    let absurd = Waiter { tokens: u64::MAX, ..waiter(0, "a", 1000) };
    queue.push(absurd, 1, MS(0)).expect("queue not full");

    for item in 100..200 {
        queue.push(waiter(0, "b", 1000), item, MS(0)).expect("queue not full");
    }

    let at = pop_all(&mut queue, MS(1)).iter().position(|item| *item == 1);
    assert!(at.expect("served") <= 17, "{at:?}");
}

/// With capacity for two thirds of the load, the served fraction of the least urgent requests is
/// about half of the overall one.
#[test]
fn the_least_urgent_requests_get_their_share() {
    let mut queue = queue();
    let mut asked: HashMap<u8, u32> = HashMap::new();
    let mut served: HashMap<u8, u32> = HashMap::new();

    for step in 0..6000u64 {
        let now = MS(step * 10);
        let urgency = [0, 1, 0, 1, 1, 2][(step % 6) as usize];
        let start_by_ms = step * 10 + 400;
        queue.push(waiter(urgency, "a", start_by_ms), 0, now).expect("queue not full");
        *asked.entry(urgency).or_default() += 1;
        queue.remove_expired(now);

        if step % 3 != 0
            && let Some((waiter, _)) = queue.pop(now)
        {
            *served.entry(waiter.urgency.1).or_default() += 1;
        }
    }

    let part = |urgency: u8| f64::from(served[&urgency]) / f64::from(asked[&urgency]);
    let all = f64::from(served.values().sum::<u32>()) / f64::from(asked.values().sum::<u32>());
    assert!((0.64..0.68).contains(&all), "{all}");
    assert!(part(2) >= 0.95 * MIN_SHARE * all, "{} of {all}", part(2));
    assert!(part(2) <= 1.15 * MIN_SHARE * all, "{} of {all}", part(2));
    assert!(part(0) > 0.95, "{}", part(0));
}

#[test]
fn removed_and_expired_requests_leave_the_queue() {
    let mut queue = queue();
    let tickets: Vec<Ticket> = (0..4u32)
        .map(|item| {
            queue.push(waiter(1, "a", 100 + u64::from(item)), item, MS(0)).expect("queue not full")
        })
        .collect();

    assert!(queue.remove(tickets[1], MS(1)).is_some());
    assert!(queue.remove(tickets[1], MS(1)).is_none(), "only once");
    queue.set_expiry(tickets[0], MS(500));
    let expired: Vec<Ticket> = queue.remove_expired(MS(102)).into_iter().map(|(t, ..)| t).collect();
    assert_eq!(expired, [tickets[2]]);
    assert_eq!(queue.next_expiry(), Some(MS(103)));
    assert_eq!(pop_all(&mut queue, MS(102)), [3, 0], "the one that can still start in time first");
}

#[test]
fn a_full_queue_rejects_requests_and_offers_a_less_urgent_one_for_eviction() {
    let mut queue: Queue<u32> =
        Queue::new(QueueOptions { max_waiting: 2, ..options(Order::Urgency) });
    queue.push(waiter(1, "a", 100), 1, MS(0)).expect("queue not full");
    let last = queue.push(waiter(2, "a", 100), 2, MS(0)).expect("queue not full");

    assert_eq!(queue.push(waiter(1, "a", 100), 3, MS(0)), Err(3));
    assert_eq!(queue.eviction_candidate((1, 2)), None, "no request is less urgent");
    assert_eq!(queue.eviction_candidate((1, 1)), Some(last));
}

#[test]
fn changing_the_order_keeps_all_waiting_requests() {
    let mut queue = Queue::new(options(Order::Arrival));

    for (item, urgency) in [(1, 2), (2, 1), (3, 0)] {
        queue.push(waiter(urgency, "a", 100), item, MS(0)).expect("queue not full");
    }

    queue.set_options(options(Order::Urgency));
    assert_eq!(queue.pop(MS(1)).map(|(_, item)| item), Some(3));
    queue.set_options(options(Order::Arrival));
    assert_eq!(pop_all(&mut queue, MS(1)), [1, 2]);
}

/// A request behind more requests than can be served in time is found to be too late, except the
/// first of its urgency.
#[test]
fn late_requests_are_found_by_the_recent_grant_rate() {
    let mut queue = queue();
    assert_eq!(queue.expected_wait(&waiter(0, "a", 400)), Some(MS(0)));

    for item in 0..40 {
        queue.push(waiter(0, "a", 5000), item, MS(0)).expect("queue not full");
    }

    assert_eq!(queue.expected_wait(&waiter(0, "a", 400)), None, "no slot was granted yet");

    // 20 slots per second.
    for step in 1..=20 {
        queue.pop(MS(step * 50)).expect("a request waits");
    }

    let wait = queue.expected_wait(&waiter(0, "a", 1400)).expect("known").as_secs_f64();
    assert!((0.9..1.1).contains(&wait), "{wait}");
    let small = queue.expected_wait(&waiter(0, "small", 1400)).expect("known").as_secs_f64();
    assert!(small < 0.1, "the other organisation has its turn soon: {small}");
    assert_eq!(queue.expected_wait(&waiter(2, "a", 1400)), Some(MS(0)), "the first of its urgency");

    let first = queue.push(waiter(2, "a", 1400), 100, MS(1000)).expect("queue not full");
    assert_eq!(queue.newest_too_late((1, 0), MS(1000)), None);
    let second = queue.push(waiter(2, "a", 1400), 101, MS(1000)).expect("queue not full");
    let too_late = queue.newest_too_late((1, 0), MS(1000)).map(|(ticket, _)| ticket);
    assert_eq!(too_late, Some(second));
    assert_eq!(queue.newest_too_late((1, 2), MS(1000)), None, "no request is less urgent");
    queue.remove(second, MS(1000));
    assert_eq!(
        queue.newest_too_late((1, 0), MS(1000)),
        None,
        "{first} keeps the share of its urgency"
    );
}

/// Grants without a backlog reflect the demand, not the capacity, and must not cause refusals.
#[test]
fn grants_without_backlog_give_no_estimate() {
    let mut queue = queue();

    for second in 0..10 {
        queue
            .push(waiter(0, "a", second * 1000 + 400), 0, MS(second * 1000))
            .expect("queue not full");
        queue.pop(MS(second * 1000));
    }

    for item in 0..20 {
        queue.push(waiter(0, "a", 10_400), item, MS(10_000)).expect("queue not full");
    }

    assert_eq!(queue.expected_wait(&waiter(0, "a", 10_400)), None);
}

#[derive(Clone, Debug)]
enum Step {
    Push { urgency: u8, organisation: u8, tokens: u64, start_within_ms: u64, is_resumed: bool },
    Pop,
    Remove(usize),
    Expire,
    Reorder(bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4u8, 0..5u8, 0..9000u64, 0..900u64, prop::bool::weighted(0.1)).prop_map(
            |(urgency, organisation, tokens, start_within_ms, is_resumed)| Step::Push {
                urgency, organisation, tokens, start_within_ms, is_resumed
            }
        ),
        3 => Just(Step::Pop),
        1 => (0..40usize).prop_map(Step::Remove),
        1 => Just(Step::Expire),
        1 => any::<bool>().prop_map(Step::Reorder),
        2 => (0..200u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// For any sequence of operations: no request is lost or served twice, `peek` changes nothing,
    /// resumed streams come first, and arrival order is first in, first out.
    #[test]
    fn no_request_is_lost_or_served_twice(steps in prop::collection::vec(step(), 1..200)) {
        let mut queue: Queue<u32> = queue();
        let mut present: HashMap<Ticket, (Waiter, u32)> = HashMap::new();
        let mut now = MS(0);

        for (item, step) in steps.into_iter().enumerate() {
            let item = item as u32;

            match step {
                Step::Push { urgency, organisation, tokens, start_within_ms, is_resumed } => {
                    let start_by = now + MS(start_within_ms);
                    let waiter = Waiter {
                        urgency: (urgency / 2, urgency),
                        organisation: format!("o{organisation}"),
                        weight: 1,
                        tokens,
                        start_by,
                        expires_at: start_by,
                        is_resumed,
                    };
                    let ticket = queue.push(waiter.clone(), item, now).expect("queue not full");
                    prop_assert!(present.insert(ticket, (waiter, item)).is_none());
                }
                Step::Pop => {
                    let next = queue.peek(now).map(|(ticket, item)| (ticket, *item));
                    prop_assert_eq!(queue.peek(now).map(|(ticket, item)| (ticket, *item)), next);
                    let got = queue.pop(now).map(|(_, item)| item);
                    prop_assert_eq!(got, next.map(|(_, item)| item));
                    prop_assert_eq!(got.is_none(), present.is_empty());

                    if let Some((ticket, _)) = next {
                        let (waiter, _) = present.remove(&ticket).expect("not served before");
                        let is_resumed = present.values().filter(|(w, _)| w.is_resumed).count();
                        prop_assert!(waiter.is_resumed || is_resumed == 0);
                        let older =
                            present.iter().filter(|(t, (w, _))| **t < ticket && !w.is_resumed);
                        let by_arrival = queue.order() == Order::Arrival && !waiter.is_resumed;
                        prop_assert!(!by_arrival || older.count() == 0);
                    }
                }
                Step::Remove(at) => {
                    let ticket = at as Ticket;
                    let expected = present.remove(&ticket).map(|(_, item)| item);
                    prop_assert_eq!(queue.remove(ticket, now).map(|(_, item)| item), expected);
                }
                Step::Expire => {
                    for (ticket, waiter, _) in queue.remove_expired(now) {
                        prop_assert!(waiter.expires_at <= now);
                        prop_assert!(present.remove(&ticket).is_some());
                    }
                    prop_assert!(present.values().all(|(w, _)| w.expires_at > now));
                }
                Step::Reorder(by_arrival) => {
                    let order = if by_arrival { Order::Arrival } else { Order::Urgency };
                    queue.set_options(options(order));
                }
                Step::Wait(ms) => now += MS(ms),
            }

            prop_assert_eq!(queue.len(), present.len());
            prop_assert_eq!(queue.waiting_by_urgency().values().sum::<usize>(), present.len());
        }
    }

    /// Two organisations with a constant backlog get the same number of tokens, to within two turns
    /// and one request.
    #[test]
    fn organisations_with_backlog_get_equal_tokens(
        sizes in prop::collection::vec((1..5000u64, 1..5000u64), 100..200),
    ) {
        let mut queue: Queue<u32> = queue();

        for (a, b) in &sizes {
            queue
                .push(Waiter { tokens: *a, ..waiter(0, "a", 9000) }, 0, MS(0))
                .expect("queue not full");
            queue
                .push(Waiter { tokens: *b, ..waiter(0, "b", 9000) }, 1, MS(0))
                .expect("queue not full");
        }

        let mut taken = [0u64; 2];
        let mut left = [sizes.len(); 2];

        while left.iter().all(|n| *n > 0) {
            let (waiter, item) = queue.pop(MS(1)).expect("requests wait");
            taken[item as usize] += waiter.tokens;
            left[item as usize] -= 1;
            let bound = 5000 + 2 * TURN;
            prop_assert!(taken[0].abs_diff(taken[1]) <= bound, "{taken:?}");
        }
    }
}
