//! Which requests go first where not all can be served at once.

use std::collections::VecDeque;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{CallerWaits, InFlightCounts, PromptRate, Urgency};

const MS: fn(u64) -> Moment = Duration::from_millis;
const OBJECTIVE: Duration = Duration::from_millis(400);
const ANSWER_TIME: Duration = Duration::from_millis(180);
const DEADLINE: Duration = Duration::from_secs(8);

#[test]
fn a_request_is_late_once_an_answer_would_come_after_its_objective() {
    let urgency = |asked_ms, now_ms| Urgency::of(MS(asked_ms), OBJECTIVE, ANSWER_TIME, MS(now_ms));

    assert_eq!(urgency(1000, 1220), Urgency::InTime);
    assert_eq!(urgency(1000, 1221), Urgency::Late);
}

#[test]
fn what_is_missing_from_the_longest_wait_is_the_time_since_the_first_attempt() {
    let mut waits = CallerWaits::default();
    assert_eq!(waits.note("a", MS(8000), DEADLINE), MS(0));
    let since = waits.note("a", MS(6500), DEADLINE);
    assert!(since.abs_diff(MS(1500)) < MS(5), "{since:?}");
    assert_eq!(waits.note("a", MS(7990), DEADLINE), MS(0), "too little to say anything");
    assert_eq!(waits.note("b", MS(2000), DEADLINE), MS(0), "another route");
}

/// An operator shortens a route's limit, or the callers who waited longest are gone.
#[test]
fn a_longest_wait_that_nobody_says_any_more_is_forgotten() {
    let mut waits = CallerWaits::default();
    waits.note("a", MS(8000), DEADLINE);
    assert_eq!(waits.note("a", MS(2000), MS(2000)), MS(0), "the route's limit is shorter now");

    waits.note("a", MS(8000), DEADLINE);
    for _ in 0..2500 {
        waits.note("a", MS(5000), DEADLINE);
    }

    assert_eq!(waits.note("a", MS(5000), DEADLINE), MS(0));
    let back = waits.note("a", MS(3000), DEADLINE);
    assert!(back.abs_diff(MS(2000)) < MS(100), "{back:?}");
}

/// A group of 640 places that has just opened: what it does with its callers.
struct Group {
    running: Vec<Moment>,
    waiting: VecDeque<Moment>,
    rate: PromptRate,
    in_time: usize,
    late: usize,
}

const ALLOWED: usize = 560;
const STREAM: u64 = 1900;
const TOKENS_PER_S: f64 = 600_000.0;
const PROMPT_TOKENS: u64 = 830;

impl Group {
    /// Begins all requests that may begin now, those that are late last where `knows_urgency`, and else the oldest
    /// first.
    fn begin(&mut self, knows_urgency: bool, now: Moment) {
        self.running.retain(|end| *end > now);

        while let Some((at, urgency)) = self.next(knows_urgency, now) {
            let limit =
                if knows_urgency { urgency.load_limit(ALLOWED as f64) } else { ALLOWED as f64 };
            let pause = if knows_urgency { urgency.prompt_pause() } else { Duration::ZERO };

            if self.running.len() as f64 >= limit || !self.rate.wait(pause, now).is_zero() {
                return;
            }

            let counts = InFlightCounts { own: 1.0, all: 1.0 };
            self.rate.observe(TOKENS_PER_S, counts, 1, now);
            self.rate.take(PROMPT_TOKENS, now);
            self.waiting.remove(at);
            // Lengths differ: each second one of them is half as long.
            let length = if self.running.len().is_multiple_of(2) { STREAM } else { STREAM / 2 };
            self.running.push(now + MS(length));

            match urgency {
                Urgency::InTime => self.in_time += 1,
                Urgency::Late => self.late += 1,
            }
        }
    }

    fn next(&self, knows_urgency: bool, now: Moment) -> Option<(usize, Urgency)> {
        let urgency = |asked_at: &Moment| Urgency::of(*asked_at, OBJECTIVE, ANSWER_TIME, now);
        let in_time = self.waiting.iter().position(|at| urgency(at) == Urgency::InTime);
        let at = if knows_urgency { in_time.unwrap_or(0) } else { 0 };

        self.waiting.get(at).map(|asked_at| (at, urgency(asked_at)))
    }
}

/// Plays 2 s after an outage of 2.2 s that 490 callers waited through, with 224 new ones in a second. Gives how many were
/// taken in time and late.
fn play(knows_urgency: bool) -> (usize, usize) {
    let mut group = Group {
        running: Vec::new(),
        waiting: (0..490).map(|at| MS(800 + at * 4)).collect(),
        rate: PromptRate::new(MS(100)),
        in_time: 0,
        late: 0,
    };

    for now_ms in 3000..5000u64 {
        if now_ms * 224 / 1000 > (now_ms - 1) * 224 / 1000 {
            group.waiting.push_back(MS(now_ms));
        }

        group.begin(knows_urgency, MS(now_ms));
    }

    (group.in_time, group.late)
}

/// The load of a loss of all power: what its callers get, by both ways of queueing.
#[test]
fn callers_that_come_after_an_outage_are_not_late_for_those_that_waited_through_it() {
    let (oldest_first, late_before) = play(false);
    let (in_time, late) = play(true);

    println!(
        "oldest first: {oldest_first} in time, {late_before} late; by urgency: {in_time}, {late}"
    );
    assert!(in_time > oldest_first * 2, "{in_time} in time, {oldest_first} with the oldest first");
    assert!(in_time > 400, "{in_time} of 448 in time");
    assert!(late > 250, "{late} of those that waited are served as well");
}
