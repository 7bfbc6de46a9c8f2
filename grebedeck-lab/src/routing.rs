//! A model of many entries that choose among targets, in virtual time.
//!
//! A target runs as many requests at the same time as it has places, and the others wait in line.
//! Entries see their own requests at once, and everybody's only in reports that are old. The
//! product's own [`Chooser`] decides for the policy `ours`. There is no model of a network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use grebedeck_config::Route;
use grebedeck_core::random::SeededSource;
use grebedeck_core::{RandomSource, TargetName};
use grebedeck_routing::attempt::MAX_ATTEMPTS;
use grebedeck_routing::{Admission, Chooser, ChooserOptions, LoadReport};

use crate::balance::trace::normal;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Any.
    Random,
    /// One after another, each entry for itself.
    RoundRobin,
    /// The one with the least load in the last report.
    LeastReported,
    /// The less loaded of two, by the last report.
    TwoChoices,
    /// The product's own.
    Ours,
    /// The shortest queue, known without lag.
    Omniscient,
}

impl SelectionPolicy {
    /// All policies, in the order of reports.
    pub const ALL: [SelectionPolicy; 6] = [
        SelectionPolicy::Random,
        SelectionPolicy::RoundRobin,
        SelectionPolicy::LeastReported,
        SelectionPolicy::TwoChoices,
        SelectionPolicy::Ours,
        SelectionPolicy::Omniscient,
    ];

    /// Gets the policy's name.
    pub fn name(self) -> &'static str {
        match self {
            SelectionPolicy::Random => "random",
            SelectionPolicy::RoundRobin => "round-robin",
            SelectionPolicy::LeastReported => "least-reported",
            SelectionPolicy::TwoChoices => "two-choices",
            SelectionPolicy::Ours => "ours",
            SelectionPolicy::Omniscient => "omniscient",
        }
    }
}

/// Parameters of the model.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Entries.
    pub entries: usize,
    /// Targets.
    pub targets: usize,
    /// Places of each target.
    pub slots: usize,
    /// Offered load, as a part of all places.
    pub load: f64,
    /// Organisations; the first is the loud one.
    pub organisations: usize,
    /// Part of the requests that the loud organisation sends.
    pub noisy_share: f64,
    /// Age of reports when they arrive, and time between two of them.
    pub report_lag: Duration,
    /// Mean time of a request in its place.
    pub mean_service_time: Duration,
    /// Spread of that time: the deviation of its logarithm.
    pub service_time_sigma: f64,
    /// Time of a run.
    pub duration: Duration,
    /// Settings of the product's choice.
    pub chooser: ChooserOptions,
}

/// Results of a run; waits for a slot are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct RunReport {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Mean.
    pub mean: f64,
    /// Attempts for each request.
    pub attempts: f64,
    /// Work done, as a part of what all places can do.
    pub goodput: f64,
    /// 99th percentile of the wait of organisations that are not loud.
    pub small_p99: f64,
    /// Part of the requests of organisations that are not loud that were refused.
    pub small_refused: f64,
}

/// A request's way through the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    entry: usize,
    organisation: usize,
    arrived: Us,
}

/// Time in microseconds.
type Us = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Report,
    End { target: usize, request: Request },
}

#[derive(Clone, Debug, Default)]
struct Target {
    busy: usize,
    waiting: VecDeque<Request>,
}

impl Target {
    fn load(&self) -> usize {
        self.busy + self.waiting.len()
    }
}

/// How many may wait in a target, in multiples of its places.
const QUEUE_OF_PLACES: usize = 1;

fn organisation_name(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

struct Sim<'a> {
    setup: &'a Setup,
    choice: SelectionPolicy,
    routes: Vec<Arc<Route>>,
    targets: Vec<Target>,
    choosers: Vec<Chooser>,
    admissions: Vec<Admission>,
    turns: Vec<usize>,
    /// Loads as entries see them, and those that are on their way.
    reported: Vec<usize>,
    reports_sent: VecDeque<Vec<usize>>,
    events: BinaryHeap<Reverse<(Us, Event)>>,
    random: SeededSource,
    waits_ms: Vec<f64>,
    small_waits_ms: Vec<f64>,
    small: u64,
    small_refused: u64,
    work_us: f64,
    first_attempts: u64,
    attempts: u64,
}

/// Runs a policy; the same seed gives the same arrivals.
pub fn run(choice: SelectionPolicy, setup: &Setup, seed: u64) -> RunReport {
    let route = |n: usize| Route {
        name: format!("target-{n:03}"),
        hall: "hall".to_string(),
        agent_address: ([127, 0, 0, 1], 1 + n as u16).into(),
        group: None,
        ranks: Vec::new(),
        checks_orders: false,
    };
    let chooser = || Chooser::new("hall", setup.chooser.clone());
    let mut random = SeededSource::new(seed);
    let turns = (0..setup.entries).map(|_| random.below(setup.targets)).collect();
    let mut sim = Sim {
        setup,
        choice,
        routes: (0..setup.targets).map(route).map(Arc::new).collect(),
        targets: vec![Target::default(); setup.targets],
        choosers: (0..setup.entries).map(|_| chooser()).collect(),
        admissions: (0..setup.entries).map(|_| Admission::new(Default::default())).collect(),
        turns,
        reported: vec![0; setup.targets],
        reports_sent: VecDeque::new(),
        events: BinaryHeap::from([Reverse((0, Event::Arrival)), Reverse((0, Event::Report))]),
        random,
        waits_ms: Vec::new(),
        small_waits_ms: Vec::new(),
        small: 0,
        small_refused: 0,
        work_us: 0.0,
        first_attempts: 0,
        attempts: 0,
    };

    sim.run();
    sim.waits()
}

impl Sim<'_> {
    fn run(&mut self) {
        let until = self.setup.duration.as_micros() as Us;

        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > until {
                return;
            }

            match event {
                Event::Arrival => self.arrive(now),
                Event::Report => self.report(now),
                Event::End { target, request } => self.end(target, request, now),
            }
        }
    }

    fn arrive(&mut self, now: Us) {
        let entry = self.random.below(self.setup.entries);
        let is_loud = self.random.unit() < self.setup.noisy_share;
        let others = self.setup.organisations.saturating_sub(1);
        let organisation = if is_loud || others == 0 { 0 } else { 1 + self.random.below(others) };
        let request = Request { entry, organisation, arrived: now };
        self.small += u64::from(organisation > 0);

        if !self.admit(request, now) {
            self.small_refused += u64::from(organisation > 0);
        }

        let places = (self.setup.targets * self.setup.slots) as f64;
        let rate = places * self.setup.load / self.setup.mean_service_time.as_secs_f64();
        let gap_s = -(1.0 - self.random.unit()).ln() / rate;
        self.events.push(Reverse((now + (gap_s * 1e6) as Us, Event::Arrival)));
    }

    /// Gives a request to a target; tells whether there was room for it.
    fn admit(&mut self, request: Request, now: Us) -> bool {
        let (entry, ours) = (request.entry, self.choice == SelectionPolicy::Ours);

        if ours && !self.enter(request, now) {
            return false;
        }

        let at = if ours { self.dispatch(entry, now) } else { self.choose(entry, &[], now) };
        let room = self.setup.slots * (1 + QUEUE_OF_PLACES);

        if self.targets[at].load() >= room {
            self.admissions[entry].leave(&organisation_name(request.organisation));
            let report = self.load_report(self.targets[at].load());
            let name = &self.routes[at].name;
            self.choosers[entry].record_report(name, report, Duration::from_micros(now));
            return false;
        }

        self.choosers[entry].record_sent(&self.routes[at].name);

        if self.targets[at].busy < self.setup.slots {
            self.begin(at, request, now);
        } else {
            self.targets[at].waiting.push_back(request);
        }

        true
    }

    fn enter(&mut self, request: Request, now: Us) -> bool {
        let now = Duration::from_micros(now);
        let crowded = self.choosers[request.entry].is_crowded(&self.routes, now);
        let name = organisation_name(request.organisation);

        self.admissions[request.entry].enter(&name, crowded).is_ok()
    }

    /// Tries targets as an entry does: a full one refuses, unless the request may wait there.
    fn dispatch(&mut self, entry: usize, now: Us) -> usize {
        let mut tried = Vec::new();
        let at_time = Duration::from_micros(now);
        self.first_attempts += 1;

        loop {
            let at = self.choose(entry, &tried, now);
            self.attempts += 1;
            tried.push(self.routes[at].name.clone());

            let chooser = &mut self.choosers[entry];
            let may_wait = tried.len() >= MAX_ATTEMPTS as usize
                || !chooser.expects_free_slot(&self.routes, &tried, at_time);

            if may_wait || self.targets[at].busy < self.setup.slots {
                return at;
            }

            let report = LoadReport {
                in_flight: self.targets[at].load() as u32,
                waiting: 0,
                slots: self.setup.slots as u32,
            };
            chooser.record_report(&self.routes[at].name, report, at_time);
        }
    }

    fn begin(&mut self, at: usize, request: Request, now: Us) {
        self.targets[at].busy += 1;

        // The first tenth fills the targets and is not counted.
        if request.arrived > self.setup.duration.as_micros() as Us / 10 {
            let wait_ms = (now - request.arrived) as f64 / 1e3;
            self.waits_ms.push(wait_ms);

            if request.organisation > 0 {
                self.small_waits_ms.push(wait_ms);
            }
        }

        let tail = self.setup.service_time_sigma;
        let factor = (tail * normal(&mut self.random) - tail * tail / 2.0).exp();
        let took = (self.setup.mean_service_time.as_secs_f64() * factor * 1e6) as Us;
        let until = self.setup.duration.as_micros() as Us;
        self.work_us += (now + took).min(until).saturating_sub(now) as f64;
        self.events.push(Reverse((now + took.max(1), Event::End { target: at, request })));
    }

    fn end(&mut self, at: usize, request: Request, now: Us) {
        self.targets[at].busy -= 1;
        let entry = request.entry;
        self.admissions[entry].leave(&organisation_name(request.organisation));

        if let Some(next) = self.targets[at].waiting.pop_front() {
            self.begin(at, next, now);
        }

        // The end of an answer carries the target's load, as it does between real processes.
        let report = self.load_report(self.targets[at].load());
        let (name, now) = (&self.routes[at].name, Duration::from_micros(now));
        self.choosers[entry].record_end(name, Some(true), now);
        self.choosers[entry].record_report(name, report, now);
    }

    fn load_report(&self, load: usize) -> LoadReport {
        LoadReport { in_flight: load as u32, waiting: 0, slots: self.setup.slots as u32 }
    }

    /// Sends everybody's loads to all entries; they arrive one lag later. `ours` has no use for
    /// them: it goes by what the ends of answers say.
    fn report(&mut self, now: Us) {
        self.reports_sent.push_back(self.targets.iter().map(Target::load).collect());

        if self.reports_sent.len() > 1
            && let Some(arrived) = self.reports_sent.pop_front()
        {
            self.reported = arrived;
        }

        let next = now + self.setup.report_lag.as_micros() as Us;
        self.events.push(Reverse((next.max(now + 1), Event::Report)));
    }

    fn choose(&mut self, entry: usize, tried: &[TargetName], now: Us) -> usize {
        let count = self.setup.targets;

        match self.choice {
            SelectionPolicy::Random => self.random.below(count),
            SelectionPolicy::RoundRobin => {
                self.turns[entry] = (self.turns[entry] + 1) % count;
                self.turns[entry]
            }
            SelectionPolicy::LeastReported => {
                self.least((0..count).collect(), |s, t| s.reported[t])
            }
            SelectionPolicy::TwoChoices => {
                let two = vec![self.random.below(count), self.random.below(count)];
                self.least(two, |s, t| s.reported[t])
            }
            SelectionPolicy::Omniscient => {
                self.least((0..count).collect(), |s, t| s.targets[t].load())
            }
            SelectionPolicy::Ours => {
                let now = Duration::from_micros(now);
                let chosen =
                    self.choosers[entry].choose(&self.routes, tried, now, &mut self.random);
                let name = &chosen.expect("there are targets").name;
                self.routes.iter().position(|r| r.name == *name).unwrap_or(0)
            }
        }
    }

    /// Gets the target with the least load; equals are drawn.
    fn least(&mut self, among: Vec<usize>, load: impl Fn(&Self, usize) -> usize) -> usize {
        let lowest = among.iter().map(|t| load(self, *t)).min().unwrap_or(0);
        let lowest: Vec<usize> = among.into_iter().filter(|t| load(self, *t) == lowest).collect();

        lowest[self.random.below(lowest.len())]
    }

    fn waits(mut self) -> RunReport {
        self.waits_ms.sort_by(f64::total_cmp);
        self.small_waits_ms.sort_by(f64::total_cmp);
        let small_at = (self.small_waits_ms.len() as f64 * 0.99) as usize;
        let capacity_us =
            (self.setup.targets * self.setup.slots) as f64 * self.setup.duration.as_micros() as f64;
        let count = self.waits_ms.len().max(1);
        let at = |q: f64| {
            self.waits_ms.get(((count as f64 * q) as usize).min(count - 1)).copied().unwrap_or(0.0)
        };

        RunReport {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            mean: self.waits_ms.iter().sum::<f64>() / count as f64,
            goodput: self.work_us / capacity_us,
            small_p99: self.small_waits_ms.get(small_at).copied().unwrap_or(0.0),
            small_refused: self.small_refused as f64 / self.small.max(1) as f64,
            attempts: self.attempts as f64 / self.first_attempts.max(1) as f64,
        }
    }
}
