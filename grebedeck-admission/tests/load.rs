//! Played loads beyond the room, without a network: who is served in time.
//!
//! Targets have so many places, and each request takes one for a while. Callers leave the queue when they can't be in
//! time any more, and come back once after a refusal. The same load is played with the order of arrival, so that each
//! claim is a comparison.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use grebedeck_admission::{
    ExpectedCapacity, Order, Queue, QueueOptions, RetrySlots, Ticket, Urgency, Waiter,
};
use grebedeck_core::random::SeededSource;
use grebedeck_core::{Moment, RandomSource};

const MS: fn(u64) -> Duration = Duration::from_millis;
const PLACES: usize = 100;
/// Mean time that a request takes a place.
const MEAN_MS: f64 = 400.0;
/// Requests that end in a second with all places taken.
const CAPACITY: f64 = PLACES as f64 * 1000.0 / MEAN_MS;
const LENGTH_MS: u64 = 20_000;
/// Time from a place to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(100);

/// One kind of requests.
#[derive(Clone, Copy)]
struct Kind {
    urgency: Urgency,
    part: f64,
    objective: Duration,
}

const KINDS: [Kind; 3] = [
    Kind { urgency: (1, 0), part: 0.36, objective: MS_400 },
    Kind { urgency: (1, 1), part: 0.48, objective: MS_400 },
    Kind { urgency: (1, 2), part: 0.16, objective: Duration::from_millis(800) },
];
const MS_400: Duration = Duration::from_millis(400);

struct Load {
    order: Order,
    /// Arrivals, as a part of the capacity.
    factor: f64,
    seed: u64,
    /// Part of the requests that come from one organisation among 24.
    large: f64,
    /// Part of the requests that come back at once after a refusal, three times.
    abusers: f64,
    /// When all places are out, and for how long.
    outage_ms: Option<(u64, u64)>,
    /// How long callers are held beyond the last start that is in time.
    hold_ms: u64,
    /// When the configuration begins to name several urgencies.
    ranked_from_ms: u64,
}

impl Load {
    fn new(order: Order, factor: f64) -> Self {
        Load {
            order,
            factor,
            seed: 7,
            large: 1.0 / 24.0,
            abusers: 0.0,
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
    abuses: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    in_time: u32,
    served: u32,
}

impl Tally {
    fn in_time_part(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

#[derive(Default)]
struct Outcome {
    kinds: [Tally; 3],
    organisations: BTreeMap<usize, Tally>,
    abusers: Tally,
    others: Tally,
    /// Place-milliseconds that were free while somebody waited.
    idle_ms: usize,
    most_waiting: usize,
    left_waiting: usize,
}

struct Play {
    load: Load,
    queue: Queue<Call>,
    returns: RetrySlots,
    random: SeededSource,
    /// Ends of the requests that have a place.
    ends: BinaryHeap<Reverse<Moment>>,
    /// Callers that come at a moment.
    coming: BTreeMap<(Moment, u64), Call>,
    number: u64,
    outcome: Outcome,
}

fn play(load: Load) -> Outcome {
    let options = QueueOptions { order: load.order, turn_tokens: 1, ..QueueOptions::default() };
    let mut play = Play {
        random: SeededSource::new(load.seed),
        queue: Queue::new(QueueOptions {
            order: if load.ranked_from_ms > 0 { Order::Arrival } else { load.order },
            ..options
        }),
        load,
        returns: RetrySlots::default(),
        ends: BinaryHeap::new(),
        coming: BTreeMap::new(),
        number: 0,
        outcome: Outcome::default(),
    };
    play.draw_callers();

    for ms in 0..LENGTH_MS + 5000 {
        if ms == play.load.ranked_from_ms && ms > 0 {
            play.queue.set_options(options);
        }

        play.step(MS(ms));
    }

    play.outcome.left_waiting = play.queue.len();

    play.outcome
}

impl Play {
    fn draw_callers(&mut self) {
        let per_ms = self.load.factor * CAPACITY / 1000.0;

        for ms in 0..LENGTH_MS {
            let count = per_ms as usize + usize::from(self.random.unit() < per_ms.fract());

            for _ in 0..count {
                let drawn = self.random.unit();
                let kind = if drawn < KINDS[0].part {
                    0
                } else if drawn < KINDS[0].part + KINDS[1].part {
                    1
                } else {
                    2
                };
                let is_large = self.random.unit() < self.load.large;
                let organisation = if is_large { 0 } else { 1 + self.random.below(23) };
                let abuses = self.random.unit() < self.load.abusers;
                self.come(Call { kind, organisation, first_try: MS(ms), tries: 0, abuses }, MS(ms));
            }
        }
    }

    fn come(&mut self, call: Call, at: Moment) {
        self.number += 1;
        self.coming.insert((at, self.number), call);
    }

    fn is_out(&self, now: Moment) -> bool {
        self.load.outage_ms.is_some_and(|(at, long)| (MS(at)..MS(at + long)).contains(&now))
    }

    fn step(&mut self, now: Moment) {
        while self.ends.peek().is_some_and(|end| end.0 <= now) {
            self.ends.pop();
        }

        self.give_places(now);

        while let Some(entry) = self.coming.first_entry().filter(|e| e.key().0 <= now) {
            let call = entry.remove();
            self.take_call(call, now);
        }

        self.give_places(now);

        for (_, waiter, call) in self.queue.remove_expired(now) {
            self.refuse(call, waiter.urgency, now);
        }

        self.outcome.most_waiting = self.outcome.most_waiting.max(self.queue.len());

        if !self.queue.is_empty() && !self.is_out(now) {
            self.outcome.idle_ms += PLACES - self.ends.len();
        }
    }

    fn give_places(&mut self, now: Moment) {
        while self.ends.len() < PLACES && !self.is_out(now) {
            let Some((_, call)) = self.queue.pop(now) else { return };
            self.serve(call, now);
        }
    }

    fn serve(&mut self, call: Call, now: Moment) {
        let long_ms = -MEAN_MS * (1.0 - self.random.unit()).ln();
        self.ends.push(Reverse(now + MS(long_ms.max(1.0) as u64)));
        let took = now + FIRST_EVENT - call.first_try;
        let is_in_time = took <= KINDS[call.kind].objective;
        self.note(call, is_in_time, true);
    }

    fn note(&mut self, call: Call, is_in_time: bool, is_served: bool) {
        let by_habit =
            if call.abuses { &mut self.outcome.abusers } else { &mut self.outcome.others };
        let by_organisation = self.outcome.organisations.entry(call.organisation).or_default();

        for tally in [&mut self.outcome.kinds[call.kind], by_habit, by_organisation] {
            tally.asked += 1;
            tally.in_time += u32::from(is_in_time);
            tally.served += u32::from(is_served);
        }
    }

    fn take_call(&mut self, call: Call, now: Moment) {
        let kind = KINDS[call.kind];
        let start_by = now + kind.objective - FIRST_EVENT;
        let waiter = Waiter {
            urgency: kind.urgency,
            organisation: format!("o{}", call.organisation),
            weight: 1,
            tokens: 1,
            start_by,
            expires_at: start_by + MS(self.load.hold_ms),
            is_resumed: false,
        };

        if self.queue.is_empty() && self.ends.len() < PLACES && !self.is_out(now) {
            self.queue.record_immediate(kind.urgency, now);
            return self.serve(call, now);
        }

        let is_ranked = self.queue.order() == Order::Urgency && !self.is_out(now);
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
            self.turn_out(ticket, now);
        }
    }

    fn turn_out(&mut self, ticket: Ticket, now: Moment) {
        let (waiter, call) = self.queue.remove(ticket, now).expect("it waits");
        self.refuse(call, waiter.urgency, now);
    }

    fn refuse(&mut self, call: Call, urgency: Urgency, now: Moment) {
        let most = if call.abuses { 4 } else { 1 };

        if call.tries >= most {
            return self.note(call, false, false);
        }

        let time_left = (call.first_try + MS(8000)).saturating_sub(now);
        let rate_per_s = self.queue.grants_per_s().unwrap_or(CAPACITY);
        let schedule = ExpectedCapacity { first_place_in: MS(50), rate_per_s, time_left };
        let wait = self.returns.retry_after(urgency, schedule, now, &mut self.random);
        let wait = if call.abuses { MS(5) } else { wait };
        self.come(Call { tries: call.tries + 1, ..call }, now + wait);
    }
}

fn parts(outcome: &Outcome) -> [f64; 3] {
    outcome.kinds.map(Tally::in_time_part)
}

/// Half as many again as there is room for: what is short falls on the least urgent, which keep their share.
#[test]
fn beyond_the_room_what_is_short_falls_on_the_least_urgent() {
    let race = play(Load::new(Order::Arrival, 1.5));
    let ranked = play(Load::new(Order::Urgency, 1.5));
    let (before, after) = (parts(&race), parts(&ranked));
    println!("1.5 times the room, in time: {before:.3?} by arrival, {after:.3?} by urgency");

    assert!(after[0] > 0.95, "{after:?}");
    assert!(after[0] > before[0] + 0.2, "{before:?} {after:?}");
    assert!(after[1] > 0.35 && after[2] > 0.25, "{after:?}");
    assert!(after[0] > after[1] && after[1] > after[2], "{after:?}");
    assert_eq!(ranked.idle_ms, 0, "no place is free while somebody waits");
    assert_eq!(ranked.left_waiting, 0);

    // All in all as many come in time: the order costs nothing.
    let all = |outcome: &Outcome| outcome.kinds.iter().map(|t| t.in_time).sum::<u32>();
    println!("{} by arrival, {} by urgency in time", all(&race), all(&ranked));
    assert!(f64::from(all(&ranked)) > 0.95 * f64::from(all(&race)));
}

#[test]
fn with_room_for_all_nobody_is_refused() {
    let ranked = play(Load::new(Order::Urgency, 0.8));

    assert!(ranked.kinds.iter().all(|t| t.served == t.asked), "{:?}", ranked.kinds);
    assert!(parts(&ranked).iter().all(|part| *part > 0.99), "{:?}", ranked.kinds);
}

/// A large organisation takes what the others leave over, and no more.
#[test]
fn a_small_organisation_is_served_beside_a_large_one() {
    let heavy = |order| Load { large: 0.7, ..Load::new(order, 1.5) };
    let (race, ranked) = (play(heavy(Order::Arrival)), play(heavy(Order::Urgency)));
    let small = |outcome: &Outcome| {
        let mut sum = Tally::default();

        for (_, tally) in outcome.organisations.iter().filter(|(o, _)| **o > 0) {
            sum.asked += tally.asked;
            sum.in_time += tally.in_time;
        }

        sum.in_time_part()
    };
    let large = ranked.organisations[&0].in_time_part();
    println!(
        "small ones in time: {:.3} by arrival, {:.3}; large {large:.3}",
        small(&race),
        small(&ranked)
    );

    assert!(small(&ranked) > 0.9, "{}", small(&ranked));
    assert!(small(&ranked) > small(&race) + 0.2);
    assert!(large > 0.4, "what the others leave over is not left free: {large}");
}

/// Callers that come back at once, and often, take nothing from the others.
#[test]
fn callers_that_repeat_at_once_gain_little() {
    let calm = play(Load::new(Order::Urgency, 1.3));
    let abused = play(Load { abusers: 0.3, ..Load::new(Order::Urgency, 1.3) });
    let (calm, others) = (calm.others.in_time_part(), abused.others.in_time_part());
    println!("others in time: {calm:.3} without, {others:.3} with callers that repeat at once");

    assert!(others > calm - 0.12, "{calm} {others}");
    assert_eq!(abused.idle_ms, 0);
}

/// A quarter of all requests ask for one subject: each of them is a request as any other.
#[test]
fn a_hot_subject_leaves_the_others_their_part() {
    let ranked = play(Load { large: 0.25, ..Load::new(Order::Urgency, 1.3) });
    let parts: Vec<f64> =
        ranked.organisations.iter().skip(1).map(|(_, t)| t.in_time_part()).collect();
    let least = parts.iter().copied().fold(1.0, f64::min);

    assert!(least > 0.6, "{parts:?}");
}

/// A group that is out for a second with hundreds waiting: all of them get a place or a word, and service goes on.
#[test]
fn nobody_hangs_when_all_places_go_out() {
    let outage =
        Load { outage_ms: Some((8000, 1800)), hold_ms: 1500, ..Load::new(Order::Urgency, 1.3) };
    let out = play(outage);
    println!("{} waited at the most, in time {:.3?}", out.most_waiting, parts(&out));

    assert!(out.most_waiting > 500, "{}", out.most_waiting);
    assert_eq!((out.left_waiting, out.idle_ms), (0, 0));
    assert!(out.kinds[0].in_time_part() > 0.8, "{:?}", out.kinds);
}

/// Urgencies that are named while hundreds wait hold for those who wait.
#[test]
fn urgencies_that_change_while_some_wait_lose_nobody() {
    let changed = play(Load { ranked_from_ms: 10_000, ..Load::new(Order::Urgency, 1.5) });

    let never = play(Load::new(Order::Arrival, 1.5));
    assert_eq!((changed.left_waiting, changed.idle_ms), (0, 0));
    let (changed, never) = (parts(&changed)[0], parts(&never)[0]);
    assert!(changed > never + 0.25, "the second half is served by urgency: {never} {changed}");
}
