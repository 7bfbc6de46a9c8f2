//! Simulated overload, without a network: which requests are served in time.
//!
//! The targets have a fixed number of slots, and each request occupies one for a random time.
//! Requests leave the queue when they can no longer start in time, and are retried once after a
//! refusal. Where a test compares orders, the same load is run with the order of arrival.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use grebedeck_admission::{
    ExpectedCapacity, Order, Queue, QueueOptions, RetrySlots, Ticket, Urgency, Waiter,
};
use grebedeck_core::random::SeededSource;
use grebedeck_core::{Moment, RandomSource};

const MS: fn(u64) -> Duration = Duration::from_millis;
const SLOTS: usize = 100;
/// Mean service time of a request.
const MEAN_SERVICE_MS: f64 = 400.0;
/// Requests that complete per second with all slots occupied.
const CAPACITY_PER_S: f64 = SLOTS as f64 * 1000.0 / MEAN_SERVICE_MS;
const ARRIVALS_MS: u64 = 20_000;
/// Time from the grant of a slot to the first event.
const TIME_TO_FIRST_EVENT: Duration = Duration::from_millis(100);

/// A kind of request.
#[derive(Clone, Copy)]
struct Kind {
    urgency: Urgency,
    fraction: f64,
    objective: Duration,
}

const KINDS: [Kind; 3] = [
    Kind { urgency: (1, 0), fraction: 0.36, objective: MS_400 },
    Kind { urgency: (1, 1), fraction: 0.48, objective: MS_400 },
    Kind { urgency: (1, 2), fraction: 0.16, objective: Duration::from_millis(800) },
];
const MS_400: Duration = Duration::from_millis(400);

struct Load {
    order: Order,
    /// Arrival rate, relative to the capacity.
    factor: f64,
    seed: u64,
    /// Fraction of the requests that come from one organisation among 24.
    large_fraction: f64,
    /// Fraction of the requests that are retried at once after a refusal, up to four times.
    immediate_retriers: f64,
    /// Start and duration of an outage of all slots.
    outage_ms: Option<(u64, u64)>,
    /// How long requests stay queued beyond their start deadline.
    hold_ms: u64,
    /// When the configuration introduces several urgencies.
    ranked_from_ms: u64,
}

impl Load {
    fn new(order: Order, factor: f64) -> Self {
        Load {
            order,
            factor,
            seed: 7,
            large_fraction: 1.0 / 24.0,
            immediate_retriers: 0.0,
            outage_ms: None,
            hold_ms: 0,
            ranked_from_ms: 0,
        }
    }
}

#[derive(Clone, Copy)]
struct Call {
    kind: usize,
    organisation: usize,
    first_try: Moment,
    tries: u32,
    retries_at_once: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requested: u32,
    in_time: u32,
    served: u32,
}

impl Tally {
    fn in_time_fraction(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requested.max(1))
    }
}

#[derive(Default)]
struct Outcome {
    kinds: [Tally; 3],
    organisations: BTreeMap<usize, Tally>,
    immediate_retriers: Tally,
    others: Tally,
    /// Sum over all milliseconds of the slots that were free while requests waited.
    idle_ms: usize,
    most_waiting: usize,
    left_waiting: usize,
}

struct Simulation {
    load: Load,
    queue: Queue<Call>,
    retry_slots: RetrySlots,
    random: SeededSource,
    /// End times of the running requests.
    end_times: BinaryHeap<Reverse<Moment>>,
    /// Future arrivals, by time and number.
    arrivals: BTreeMap<(Moment, u64), Call>,
    number: u64,
    outcome: Outcome,
}

fn simulate(load: Load) -> Outcome {
    let options = QueueOptions { order: load.order, turn_tokens: 1, ..QueueOptions::default() };
    let mut simulation = Simulation {
        random: SeededSource::new(load.seed),
        queue: Queue::new(QueueOptions {
            order: if load.ranked_from_ms > 0 { Order::Arrival } else { load.order },
            ..options
        }),
        load,
        retry_slots: RetrySlots::default(),
        end_times: BinaryHeap::new(),
        arrivals: BTreeMap::new(),
        number: 0,
        outcome: Outcome::default(),
    };
    simulation.generate_arrivals();

    for ms in 0..ARRIVALS_MS + 5000 {
        if ms == simulation.load.ranked_from_ms && ms > 0 {
            simulation.queue.set_options(options);
        }

        simulation.step(MS(ms));
    }

    simulation.outcome.left_waiting = simulation.queue.len();

    simulation.outcome
}

impl Simulation {
    fn generate_arrivals(&mut self) {
        let per_ms = self.load.factor * CAPACITY_PER_S / 1000.0;

        for ms in 0..ARRIVALS_MS {
            let count = per_ms as usize + usize::from(self.random.unit() < per_ms.fract());

            for _ in 0..count {
                let drawn = self.random.unit();
                let kind = if drawn < KINDS[0].fraction {
                    0
                } else if drawn < KINDS[0].fraction + KINDS[1].fraction {
                    1
                } else {
                    2
                };
                let is_large = self.random.unit() < self.load.large_fraction;
                let organisation = if is_large { 0 } else { 1 + self.random.below(23) };
                let retries_at_once = self.random.unit() < self.load.immediate_retriers;
                self.arrive(
                    Call { kind, organisation, first_try: MS(ms), tries: 0, retries_at_once },
                    MS(ms),
                );
            }
        }
    }

    fn arrive(&mut self, call: Call, at: Moment) {
        self.number += 1;
        self.arrivals.insert((at, self.number), call);
    }

    fn is_outage(&self, now: Moment) -> bool {
        self.load.outage_ms.is_some_and(|(at, long)| (MS(at)..MS(at + long)).contains(&now))
    }

    fn step(&mut self, now: Moment) {
        while self.end_times.peek().is_some_and(|end| end.0 <= now) {
            self.end_times.pop();
        }

        self.grant_slots(now);

        while let Some(entry) = self.arrivals.first_entry().filter(|e| e.key().0 <= now) {
            let call = entry.remove();
            self.admit(call, now);
        }

        self.grant_slots(now);

        for (_, waiter, call) in self.queue.remove_expired(now) {
            self.refuse(call, waiter.urgency, now);
        }

        self.outcome.most_waiting = self.outcome.most_waiting.max(self.queue.len());

        if !self.queue.is_empty() && !self.is_outage(now) {
            self.outcome.idle_ms += SLOTS - self.end_times.len();
        }
    }

    fn grant_slots(&mut self, now: Moment) {
        while self.end_times.len() < SLOTS && !self.is_outage(now) {
            let Some((_, call)) = self.queue.pop(now) else { return };
            self.serve(call, now);
        }
    }

    fn serve(&mut self, call: Call, now: Moment) {
        let long_ms = -MEAN_SERVICE_MS * (1.0 - self.random.unit()).ln();
        self.end_times.push(Reverse(now + MS(long_ms.max(1.0) as u64)));
        let took = now + TIME_TO_FIRST_EVENT - call.first_try;
        let is_in_time = took <= KINDS[call.kind].objective;
        self.record(call, is_in_time, true);
    }

    fn record(&mut self, call: Call, is_in_time: bool, is_served: bool) {
        let by_behaviour = if call.retries_at_once {
            &mut self.outcome.immediate_retriers
        } else {
            &mut self.outcome.others
        };
        let by_organisation = self.outcome.organisations.entry(call.organisation).or_default();

        for tally in [&mut self.outcome.kinds[call.kind], by_behaviour, by_organisation] {
            tally.requested += 1;
            tally.in_time += u32::from(is_in_time);
            tally.served += u32::from(is_served);
        }
    }

    fn admit(&mut self, call: Call, now: Moment) {
        let kind = KINDS[call.kind];
        let start_by = now + kind.objective - TIME_TO_FIRST_EVENT;
        let waiter = Waiter {
            urgency: kind.urgency,
            organisation: format!("o{}", call.organisation),
            weight: 1,
            tokens: 1,
            start_by,
            expires_at: start_by + MS(self.load.hold_ms),
            is_resumed: false,
        };

        if self.queue.is_empty() && self.end_times.len() < SLOTS && !self.is_outage(now) {
            self.queue.record_immediate(kind.urgency, now);
            return self.serve(call, now);
        }

        let is_ranked = self.queue.order() == Order::Urgency && !self.is_outage(now);
        let wait = self.queue.expected_wait(&waiter).filter(|_| is_ranked);

        if wait.is_some_and(|wait| now + wait > start_by) {
            self.queue.record_refused(kind.urgency, now);
            return self.refuse(call, kind.urgency, now);
        }

        if let Err(call) = self.queue.push(waiter, call, now) {
            return self.refuse(call, kind.urgency, now);
        }

        while let Some((ticket, _)) =
            self.queue.newest_too_late(kind.urgency, now).filter(|_| is_ranked)
        {
            self.evict(ticket, now);
        }
    }

    fn evict(&mut self, ticket: Ticket, now: Moment) {
        let (waiter, call) = self.queue.remove(ticket, now).expect("the request waits");
        self.refuse(call, waiter.urgency, now);
    }

    fn refuse(&mut self, call: Call, urgency: Urgency, now: Moment) {
        let max_retries = if call.retries_at_once { 4 } else { 1 };

        if call.tries >= max_retries {
            return self.record(call, false, false);
        }

        let time_left = (call.first_try + MS(8000)).saturating_sub(now);
        let rate_per_s = self.queue.grants_per_s().unwrap_or(CAPACITY_PER_S);
        let expected = ExpectedCapacity { first_slot_in: MS(50), rate_per_s, time_left };
        let wait = self.retry_slots.retry_after(urgency, expected, now, &mut self.random);
        let wait = if call.retries_at_once { MS(5) } else { wait };
        self.arrive(Call { tries: call.tries + 1, ..call }, now + wait);
    }
}

fn in_time_fractions(outcome: &Outcome) -> [f64; 3] {
    outcome.kinds.map(Tally::in_time_fraction)
}

/// At 1.5 times the capacity, the shortage falls on the less urgent requests, which keep their
/// share.
#[test]
fn overload_falls_on_the_least_urgent_requests() {
    let by_arrival = simulate(Load::new(Order::Arrival, 1.5));
    let by_urgency = simulate(Load::new(Order::Urgency, 1.5));
    let (before, after) = (in_time_fractions(&by_arrival), in_time_fractions(&by_urgency));
    println!("1.5 times the capacity, in time: {before:.3?} by arrival, {after:.3?} by urgency");

    assert!(after[0] > 0.95, "{after:?}");
    assert!(after[0] > before[0] + 0.2, "{before:?} {after:?}");
    assert!(after[1] > 0.35 && after[2] > 0.25, "{after:?}");
    assert!(after[0] > after[1] && after[1] > after[2], "{after:?}");
    assert_eq!(by_urgency.idle_ms, 0, "no slot is free while requests wait");
    assert_eq!(by_urgency.left_waiting, 0);

    // The order by urgency serves about as many requests in time overall.
    let all = |outcome: &Outcome| outcome.kinds.iter().map(|t| t.in_time).sum::<u32>();
    println!("{} by arrival, {} by urgency in time", all(&by_arrival), all(&by_urgency));
    assert!(f64::from(all(&by_urgency)) > 0.95 * f64::from(all(&by_arrival)));
}

#[test]
fn below_capacity_no_request_is_refused() {
    let by_urgency = simulate(Load::new(Order::Urgency, 0.8));

    assert!(by_urgency.kinds.iter().all(|t| t.served == t.requested), "{:?}", by_urgency.kinds);
    assert!(
        in_time_fractions(&by_urgency).iter().all(|fraction| *fraction > 0.99),
        "{:?}",
        by_urgency.kinds
    );
}

/// A large organisation gets what the others leave unused, and no more.
#[test]
fn a_large_organisation_does_not_starve_small_ones() {
    let heavy = |order| Load { large_fraction: 0.7, ..Load::new(order, 1.5) };
    let (by_arrival, by_urgency) =
        (simulate(heavy(Order::Arrival)), simulate(heavy(Order::Urgency)));
    let small = |outcome: &Outcome| {
        let mut sum = Tally::default();

        for (_, tally) in outcome.organisations.iter().filter(|(o, _)| **o > 0) {
            sum.requested += tally.requested;
            sum.in_time += tally.in_time;
        }

        sum.in_time_fraction()
    };
    let large = by_urgency.organisations[&0].in_time_fraction();
    println!(
        "small organisations in time: {:.3} by arrival, {:.3}; large {large:.3}",
        small(&by_arrival),
        small(&by_urgency)
    );

    assert!(small(&by_urgency) > 0.9, "{}", small(&by_urgency));
    assert!(small(&by_urgency) > small(&by_arrival) + 0.2);
    assert!(large > 0.4, "the large organisation uses the rest of the capacity: {large}");
}

/// Callers that retry at once, and several times, take little from the others.
#[test]
fn immediate_retries_gain_little() {
    let calm = simulate(Load::new(Order::Urgency, 1.3));
    let with_retriers =
        simulate(Load { immediate_retriers: 0.3, ..Load::new(Order::Urgency, 1.3) });
    let (calm, others) = (calm.others.in_time_fraction(), with_retriers.others.in_time_fraction());
    println!("others in time: {calm:.3} without, {others:.3} with callers that retry at once");

    assert!(others > calm - 0.12, "{calm} {others}");
    assert_eq!(with_retriers.idle_ms, 0);
}

/// A quarter of all requests come from one organisation; the others still get their share.
#[test]
fn a_hot_organisation_leaves_the_others_their_share() {
    let by_urgency = simulate(Load { large_fraction: 0.25, ..Load::new(Order::Urgency, 1.3) });
    let fractions: Vec<f64> =
        by_urgency.organisations.iter().skip(1).map(|(_, t)| t.in_time_fraction()).collect();
    let min = fractions.iter().copied().fold(1.0, f64::min);

    assert!(min > 0.6, "{fractions:?}");
}

/// After an outage of 1.8 s with hundreds of waiting requests, each of them has been served or
/// refused, and service continues.
#[test]
fn no_request_hangs_after_an_outage_of_all_slots() {
    let outage =
        Load { outage_ms: Some((8000, 1800)), hold_ms: 1500, ..Load::new(Order::Urgency, 1.3) };
    let out = simulate(outage);
    println!("at most {} waited, in time {:.3?}", out.most_waiting, in_time_fractions(&out));

    assert!(out.most_waiting > 500, "{}", out.most_waiting);
    assert_eq!((out.left_waiting, out.idle_ms), (0, 0));
    assert!(out.kinds[0].in_time_fraction() > 0.8, "{:?}", out.kinds);
}

/// Urgencies that are introduced while hundreds of requests wait apply to the waiting requests.
#[test]
fn introducing_urgencies_loses_no_waiting_request() {
    let changed = simulate(Load { ranked_from_ms: 10_000, ..Load::new(Order::Urgency, 1.5) });

    let never = simulate(Load::new(Order::Arrival, 1.5));
    assert_eq!((changed.left_waiting, changed.idle_ms), (0, 0));
    let (changed, never) = (in_time_fractions(&changed)[0], in_time_fractions(&never)[0]);
    assert!(changed > never + 0.25, "the second half is served by urgency: {never} {changed}");
}
