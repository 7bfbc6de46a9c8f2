//! Simulation of many entries that select targets, in virtual time, to compare selection policies.
//!
//! A target runs as many requests concurrently as it has slots; further requests wait in its queue.
//! An entry knows its own requests at once and the total load only from delayed reports. The policy
//! `ours` is grebedeck's [`Chooser`] with its [`Admission`]. Network latency is not modelled.

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

/// Policy for the selection of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Uniformly random target.
    Random,
    /// Round robin, separately in each entry.
    RoundRobin,
    /// Target with the lowest load in the last report.
    LeastReported,
    /// Less loaded of two random targets, by the last report.
    TwoChoices,
    /// Grebedeck's [`Chooser`].
    Ours,
    /// Target with the lowest current load, known without delay.
    Omniscient,
}

impl SelectionPolicy {
    /// All policies, in the order of the printed results.
    pub const ALL: [SelectionPolicy; 6] = [
        SelectionPolicy::Random,
        SelectionPolicy::RoundRobin,
        SelectionPolicy::LeastReported,
        SelectionPolicy::TwoChoices,
        SelectionPolicy::Ours,
        SelectionPolicy::Omniscient,
    ];

    /// Gets the policy's name in printed results.
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

/// Parameters of the simulation.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of entries.
    pub entries: usize,
    /// Number of targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: usize,
    /// Offered load, as a fraction of all slots.
    pub load: f64,
    /// Number of organisations; the first is the noisy neighbour.
    pub organisations: usize,
    /// Fraction of the requests that the noisy organisation sends.
    pub noisy_share: f64,
    /// Age of load reports on arrival, and interval between two of them.
    pub report_lag: Duration,
    /// Mean time that a request occupies its slot.
    pub mean_service_time: Duration,
    /// Standard deviation of the logarithm of that time.
    pub service_time_sigma: f64,
    /// Virtual duration of a run.
    pub duration: Duration,
    /// Options of grebedeck's chooser.
    pub chooser: ChooserOptions,
}

/// Results of a run; waits for a slot are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct RunReport {
    /// Median wait.
    pub p50: f64,
    /// 95th percentile of the waits.
    pub p95: f64,
    /// 99th percentile of the waits.
    pub p99: f64,
    /// Mean wait.
    pub mean: f64,
    /// Mean number of attempts per request; 0 for policies other than `ours`.
    pub attempts: f64,
    /// Work done, as a fraction of the capacity of all slots.
    pub goodput: f64,
    /// 99th percentile of the waits of all organisations but the noisy one.
    pub small_p99: f64,
    /// Fraction of refused requests of all organisations but the noisy one.
    pub small_refused: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    entry: usize,
    organisation: usize,
    arrived: Micros,
}

/// Virtual time in microseconds.
type Micros = u64;

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

/// Length of a target's queue, as a multiple of its slots.
const QUEUE_PER_SLOT: usize = 1;

fn organisation_name(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

struct Sim<'a> {
    setup: &'a Setup,
    policy: SelectionPolicy,
    routes: Vec<Arc<Route>>,
    targets: Vec<Target>,
    choosers: Vec<Chooser>,
    admissions: Vec<Admission>,
    next_round_robin: Vec<usize>,
    /// Loads by the last report that arrived.
    reported: Vec<usize>,
    /// Reports that have not arrived yet.
    reports_in_transit: VecDeque<Vec<usize>>,
    events: BinaryHeap<Reverse<(Micros, Event)>>,
    random: SeededSource,
    waits_ms: Vec<f64>,
    others_waits_ms: Vec<f64>,
    others_requests: u64,
    others_refused: u64,
    work_us: f64,
    first_attempts: u64,
    attempts: u64,
}

/// Simulates a policy; a seed makes a run repeatable.
pub fn run(policy: SelectionPolicy, setup: &Setup, seed: u64) -> RunReport {
    let route = |n: usize| Route {
        name: format!("target-{n:03}"),
        hall: "hall".to_string(),
        agent_address: ([127, 0, 0, 1], 1 + n as u16).into(),
        group: None,
        ranks: Vec::new(),
        checks_orders: false,
    };
    let new_chooser = || Chooser::new("hall", setup.chooser.clone());
    let mut random = SeededSource::new(seed);
    let next_round_robin = (0..setup.entries).map(|_| random.below(setup.targets)).collect();
    let mut sim = Sim {
        setup,
        policy,
        routes: (0..setup.targets).map(route).map(Arc::new).collect(),
        targets: vec![Target::default(); setup.targets],
        choosers: (0..setup.entries).map(|_| new_chooser()).collect(),
        admissions: (0..setup.entries).map(|_| Admission::new(Default::default())).collect(),
        next_round_robin,
        reported: vec![0; setup.targets],
        reports_in_transit: VecDeque::new(),
        events: BinaryHeap::from([Reverse((0, Event::Arrival)), Reverse((0, Event::Report))]),
        random,
        waits_ms: Vec::new(),
        others_waits_ms: Vec::new(),
        others_requests: 0,
        others_refused: 0,
        work_us: 0.0,
        first_attempts: 0,
        attempts: 0,
    };

    sim.run();
    sim.into_report()
}

impl Sim<'_> {
    fn run(&mut self) {
        let until = self.setup.duration.as_micros() as Micros;

        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > until {
                return;
            }

            match event {
                Event::Arrival => self.on_arrival(now),
                Event::Report => self.send_report(now),
                Event::End { target, request } => self.end_service(target, request, now),
            }
        }
    }

    fn on_arrival(&mut self, now: Micros) {
        let entry = self.random.below(self.setup.entries);
        let is_noisy = self.random.unit() < self.setup.noisy_share;
        let others = self.setup.organisations.saturating_sub(1);
        let organisation = if is_noisy || others == 0 { 0 } else { 1 + self.random.below(others) };
        let request = Request { entry, organisation, arrived: now };
        self.others_requests += u64::from(organisation > 0);

        if !self.submit(request, now) {
            self.others_refused += u64::from(organisation > 0);
        }

        let total_slots = (self.setup.targets * self.setup.slots) as f64;
        let rate = total_slots * self.setup.load / self.setup.mean_service_time.as_secs_f64();
        let gap_s = -(1.0 - self.random.unit()).ln() / rate;
        self.events.push(Reverse((now + (gap_s * 1e6) as Micros, Event::Arrival)));
    }

    /// Sends a request to a target; returns whether it was accepted.
    fn submit(&mut self, request: Request, now: Micros) -> bool {
        let (entry, ours) = (request.entry, self.policy == SelectionPolicy::Ours);

        if ours && !self.admit(request, now) {
            return false;
        }

        let at =
            if ours { self.choose_with_retries(entry, now) } else { self.choose(entry, &[], now) };
        let capacity = self.setup.slots * (1 + QUEUE_PER_SLOT);

        if self.targets[at].load() >= capacity {
            self.admissions[entry].leave(&organisation_name(request.organisation));
            let report = self.load_report(self.targets[at].load());
            let name = &self.routes[at].name;
            self.choosers[entry].record_report(name, report, Duration::from_micros(now));
            return false;
        }

        self.choosers[entry].record_sent(&self.routes[at].name);

        if self.targets[at].busy < self.setup.slots {
            self.begin_service(at, request, now);
        } else {
            self.targets[at].waiting.push_back(request);
        }

        true
    }

    fn admit(&mut self, request: Request, now: Micros) -> bool {
        let now = Duration::from_micros(now);
        let is_crowded = self.choosers[request.entry].is_crowded(&self.routes, now);
        let name = organisation_name(request.organisation);

        self.admissions[request.entry].enter(&name, is_crowded).is_ok()
    }

    /// Selects a target as an entry does. A target without a free slot refuses the request, unless
    /// this is the last attempt or no other target is expected to have a free slot; then the
    /// request may wait.
    fn choose_with_retries(&mut self, entry: usize, now: Micros) -> usize {
        let mut tried = Vec::new();
        let time = Duration::from_micros(now);
        self.first_attempts += 1;

        loop {
            let at = self.choose(entry, &tried, now);
            self.attempts += 1;
            tried.push(self.routes[at].name.clone());

            let chooser = &mut self.choosers[entry];
            let may_wait = tried.len() >= MAX_ATTEMPTS as usize
                || !chooser.expects_free_slot(&self.routes, &tried, time);

            if may_wait || self.targets[at].busy < self.setup.slots {
                return at;
            }

            let report = LoadReport {
                in_flight: self.targets[at].load() as u32,
                waiting: 0,
                slots: self.setup.slots as u32,
            };
            chooser.record_report(&self.routes[at].name, report, time);
        }
    }

    fn begin_service(&mut self, at: usize, request: Request, now: Micros) {
        self.targets[at].busy += 1;

        // The first tenth of the run fills the targets and is not counted.
        if request.arrived > self.setup.duration.as_micros() as Micros / 10 {
            let wait_ms = (now - request.arrived) as f64 / 1e3;
            self.waits_ms.push(wait_ms);

            if request.organisation > 0 {
                self.others_waits_ms.push(wait_ms);
            }
        }

        let sigma = self.setup.service_time_sigma;
        let factor = (sigma * normal(&mut self.random) - sigma * sigma / 2.0).exp();
        let took_us = (self.setup.mean_service_time.as_secs_f64() * factor * 1e6) as Micros;
        let until = self.setup.duration.as_micros() as Micros;
        self.work_us += (now + took_us).min(until).saturating_sub(now) as f64;
        self.events.push(Reverse((now + took_us.max(1), Event::End { target: at, request })));
    }

    fn end_service(&mut self, at: usize, request: Request, now: Micros) {
        self.targets[at].busy -= 1;
        let entry = request.entry;
        self.admissions[entry].leave(&organisation_name(request.organisation));

        if let Some(next) = self.targets[at].waiting.pop_front() {
            self.begin_service(at, next, now);
        }

        // The end of an answer carries the target's load, as it does between agent and entry.
        let report = self.load_report(self.targets[at].load());
        let (name, now) = (&self.routes[at].name, Duration::from_micros(now));
        self.choosers[entry].record_end(name, Some(true), now);
        self.choosers[entry].record_report(name, report, now);
    }

    fn load_report(&self, load: usize) -> LoadReport {
        LoadReport { in_flight: load as u32, waiting: 0, slots: self.setup.slots as u32 }
    }

    /// Sends the loads of all targets to all entries, where they arrive one `report_lag` later.
    /// `ours` ignores them and uses the loads at the ends of answers.
    fn send_report(&mut self, now: Micros) {
        self.reports_in_transit.push_back(self.targets.iter().map(Target::load).collect());

        if self.reports_in_transit.len() > 1
            && let Some(arrived) = self.reports_in_transit.pop_front()
        {
            self.reported = arrived;
        }

        let next = now + self.setup.report_lag.as_micros() as Micros;
        self.events.push(Reverse((next.max(now + 1), Event::Report)));
    }

    fn choose(&mut self, entry: usize, tried: &[TargetName], now: Micros) -> usize {
        let count = self.setup.targets;

        match self.policy {
            SelectionPolicy::Random => self.random.below(count),
            SelectionPolicy::RoundRobin => {
                self.next_round_robin[entry] = (self.next_round_robin[entry] + 1) % count;
                self.next_round_robin[entry]
            }
            SelectionPolicy::LeastReported => {
                self.least_loaded((0..count).collect(), |s, t| s.reported[t])
            }
            SelectionPolicy::TwoChoices => {
                let two = vec![self.random.below(count), self.random.below(count)];
                self.least_loaded(two, |s, t| s.reported[t])
            }
            SelectionPolicy::Omniscient => {
                self.least_loaded((0..count).collect(), |s, t| s.targets[t].load())
            }
            SelectionPolicy::Ours => {
                let now = Duration::from_micros(now);
                let chosen =
                    self.choosers[entry].choose(&self.routes, tried, now, &mut self.random);
                let name = &chosen.expect("at least one target").name;
                self.routes.iter().position(|r| r.name == *name).unwrap_or(0)
            }
        }
    }

    /// Gets the target with the lowest load, with random selection among equal ones.
    fn least_loaded(&mut self, among: Vec<usize>, load: impl Fn(&Self, usize) -> usize) -> usize {
        let lowest = among.iter().map(|t| load(self, *t)).min().unwrap_or(0);
        let lowest: Vec<usize> = among.into_iter().filter(|t| load(self, *t) == lowest).collect();

        lowest[self.random.below(lowest.len())]
    }

    fn into_report(mut self) -> RunReport {
        self.waits_ms.sort_by(f64::total_cmp);
        self.others_waits_ms.sort_by(f64::total_cmp);
        let others_p99_index = (self.others_waits_ms.len() as f64 * 0.99) as usize;
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
            small_p99: self.others_waits_ms.get(others_p99_index).copied().unwrap_or(0.0),
            small_refused: self.others_refused as f64 / self.others_requests.max(1) as f64,
            attempts: self.attempts as f64 / self.first_attempts.max(1) as f64,
        }
    }
}
