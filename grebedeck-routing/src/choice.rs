//! Load balancing: choice of a target among those that the selectors allow.
//!
//! The chooser draws a few targets at random and takes the least loaded of them. Random draws keep
//! many entries from sending to the same target after the same report. The load of a target is its
//! last reported number of requests in flight, corrected by the requests that this entry has sent
//! and seen end since, divided by its number of slots (requests it runs concurrently). A target in
//! another hall gets a small penalty.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_config::routes::Route;
use grebedeck_core::{Moment, RandomSource, TargetName};
use serde::{Deserialize, Serialize};

use crate::health::{Health, HealthOptions};

/// Properties of a target that the chooser needs.
pub trait Candidate {
    /// Returns the name under which the target's load and health are recorded.
    fn name(&self) -> &str;

    /// Returns the target's hall.
    fn hall(&self) -> &str;
}

impl Candidate for Route {
    fn name(&self) -> &str {
        &self.name
    }

    fn hall(&self) -> &str {
        &self.hall
    }
}

/// Settings of a [`Chooser`].
#[derive(Clone, Debug)]
pub struct ChooserOptions {
    /// Number of targets drawn for each choice.
    pub draws: usize,
    /// Extra load of a request that has not begun to run, relative to a running one. A target that
    /// reads prompts one at a time makes a new request wait for those, but hardly for running ones.
    pub waiting_weight: f64,
    /// Load added to a target in another hall, in slots.
    pub other_hall_penalty_slots: f64,
    /// Age at which a load or slowdown report expires.
    pub report_lifetime: Duration,
    /// Slowdown from which a target is avoided while enough others are not slow.
    pub slow_threshold: f32,
    /// Fraction of the targets that must be usable; below it, all are used.
    pub min_usable: f64,
    /// Fraction of all slots kept free for organisations with few requests in flight.
    pub headroom: f64,
    /// Time for which a target that announced its shutdown is not used.
    pub leaving_lifetime: Duration,
    /// Settings of passive health checking.
    pub health: HealthOptions,
}

impl Default for ChooserOptions {
    fn default() -> Self {
        ChooserOptions {
            draws: 3,
            waiting_weight: 0.0,
            other_hall_penalty_slots: 0.5,
            report_lifetime: Duration::from_secs(10),
            slow_threshold: f32::INFINITY,
            min_usable: 0.3,
            headroom: 0.03,
            leaving_lifetime: Duration::from_secs(5),
            health: HealthOptions::default(),
        }
    }
}

/// Load of a target as its agent reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in flight from all entries.
    pub in_flight: u32,
    /// Requests in flight that have not begun to run.
    pub waiting: u32,
    /// Requests that the target runs concurrently.
    #[serde(rename = "places")]
    pub slots: u32,
}

/// Identifies one start of a target; `None` if unknown. Only equality of two values has a meaning.
pub type StartId = Option<u64>;

/// Estimated load of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// Estimated requests in flight.
    pub in_flight: f64,
    /// Requests that the target runs concurrently.
    pub slots: f64,
    /// Age of the target's last report, if there was one.
    pub report_age: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct View {
    /// The start of the target that all other fields describe.
    start_id: StartId,
    own_in_flight: u32,
    /// Slots according to the platform's list, used without a recent report.
    listed_slots: Option<u32>,
    report: Option<(Moment, LoadReport)>,
    /// Own requests sent minus own requests ended since the report.
    in_flight_change: i64,
    /// Own requests sent since the report, assumed to be waiting.
    sent_since_report: u32,
    leaving_until: Option<Moment>,
    /// Reported slowdown against the usual speed, and when it expires.
    slowdown: Option<(f32, Moment)>,
    health: Health,
}

/// Load balancer with an entry's view of its targets.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    options: ChooserOptions,
    own_hall: String,
    views: HashMap<TargetName, View>,
}

impl Chooser {
    /// Creates a chooser for an entry in `own_hall`.
    pub fn new(own_hall: &str, options: ChooserOptions) -> Self {
        Chooser { options, own_hall: own_hall.to_string(), views: HashMap::new() }
    }

    /// Chooses one of the allowed targets; those in `avoid` only if no other is left.
    pub fn choose<'a, T: Candidate>(
        &self,
        allowed: &'a [Arc<T>],
        avoid: &[TargetName],
        now: Moment,
        random: &mut impl RandomSource,
    ) -> Option<&'a Arc<T>> {
        let staying: Vec<_> = allowed.iter().filter(|r| !self.is_leaving(r.name(), now)).collect();
        let is_untried = |r: &&Arc<T>| !avoid.iter().any(|name| name == r.name());
        let is_usable = |r: &&Arc<T>| self.view(r.name()).is_none_or(|v| v.health.is_usable(now));

        let usable: Vec<_> = staying.iter().copied().filter(is_usable).collect();
        let is_enough = usable.len() as f64 >= staying.len() as f64 * self.options.min_usable;
        let pool = if is_enough { usable } else { staying };

        let untried: Vec<_> = pool.iter().copied().filter(is_untried).collect();
        let pool = if untried.is_empty() { pool } else { untried };

        self.least_loaded(&pool, now, random)
    }

    fn least_loaded<'a, T: Candidate>(
        &self,
        pool: &[&'a Arc<T>],
        now: Moment,
        random: &mut impl RandomSource,
    ) -> Option<&'a Arc<T>> {
        let draws = self.options.draws.min(pool.len());
        let mut best: Option<(f64, &'a Arc<T>)> = None;

        for draw in 0..draws {
            // If there are no more targets than draws, each is scored once: none is drawn twice.
            let index = if draws == pool.len() { draw } else { random.below(pool.len()) };
            let target = pool[index];
            let score = self.score(target.as_ref(), now) + random.unit() * 1e-6;

            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, target));
            }
        }

        best.map(|(_, target)| target)
    }

    fn score(&self, target: &impl Candidate, now: Moment) -> f64 {
        let hall_penalty = if target.hall() == self.own_hall {
            0.0
        } else {
            self.options.other_hall_penalty_slots
        };

        let Some(view) = self.view(target.name()) else {
            return hall_penalty;
        };

        let (in_flight, slots) = self.load_or_own(view, now);
        let waiting = self.options.waiting_weight * self.waiting(view, now);

        (in_flight + waiting + hall_penalty + 1.0)
            / slots
            / view.health.weight(&self.options.health)
    }

    /// Returns the estimated number of requests on a target that have not begun to run.
    fn waiting(&self, view: &View, now: Moment) -> f64 {
        match view.report {
            Some((at, report)) if now < at + self.options.report_lifetime => {
                f64::from(report.waiting + view.sent_since_report)
            }
            // Only a report tells which requests have begun to run.
            _ => 0.0,
        }
    }

    /// Returns whether any target that was not tried is expected to have a free slot.
    pub fn expects_free_slot<T: Candidate>(
        &self,
        allowed: &[Arc<T>],
        tried: &[TargetName],
        now: Moment,
    ) -> bool {
        let is_free = |target: &Arc<T>| match self.view(target.name()) {
            Some(view) if !view.health.is_usable(now) => false,
            Some(view) => self.load(view, now).is_none_or(|(used, slots)| used < slots),
            None => true,
        };
        let is_untried = |name: &str| !tried.iter().any(|t| t == name);
        let is_candidate = |r: &&Arc<T>| is_untried(r.name()) && !self.is_leaving(r.name(), now);

        allowed.iter().filter(is_candidate).any(is_free)
    }

    /// Returns whether fewer slots are estimated free than the headroom kept for organisations with
    /// few requests in flight.
    pub fn is_crowded<T: Candidate>(&self, allowed: &[Arc<T>], now: Moment) -> bool {
        let (mut free, mut total) = (0.0, 0.0);

        for target in allowed.iter().filter(|r| !self.is_leaving(r.name(), now)) {
            let view = self.view(target.name()).filter(|v| v.health.is_usable(now));

            // A target without a known load counts as free, or it would never be tried.
            match view.and_then(|v| self.load(v, now)) {
                Some((used, slots)) => {
                    free += (slots - used).max(0.0);
                    total += slots;
                }
                None => {
                    free += 1.0;
                    total += 1.0;
                }
            }
        }

        free < total * self.options.headroom
    }

    /// Returns the estimated requests in flight and the slots, unless the report has expired.
    fn load(&self, view: &View, now: Moment) -> Option<(f64, f64)> {
        let (at, report) = view.report?;

        if at + self.options.report_lifetime <= now {
            return None;
        }

        let corrected = i64::from(report.in_flight) + view.in_flight_change;
        let in_flight = corrected.max(i64::from(view.own_in_flight)) as f64;
        Some((in_flight, f64::from(report.slots.max(1))))
    }

    /// Returns the estimated load, or this entry's own requests if there is no recent report.
    fn load_or_own(&self, view: &View, now: Moment) -> (f64, f64) {
        let slots = f64::from(view.listed_slots.unwrap_or(1).max(1));

        self.load(view, now).unwrap_or((f64::from(view.own_in_flight), slots))
    }

    /// Returns whether a target has fewer requests in flight than `per_slot` times its slots.
    pub fn has_room(&self, target: &str, per_slot: f64, now: Moment) -> bool {
        let Some(view) = self.view(target) else {
            return true;
        };
        let (in_flight, slots) = self.load_or_own(view, now);

        in_flight < slots * per_slot
    }

    /// Returns the estimated load of a target.
    pub fn load_view(&self, target: &str, now: Moment) -> LoadView {
        let Some(view) = self.view(target) else {
            return LoadView { in_flight: 0.0, slots: 1.0, report_age: None };
        };
        let (in_flight, slots) = self.load_or_own(view, now);

        LoadView { in_flight, slots, report_age: view.report.map(|(at, _)| now.saturating_sub(at)) }
    }

    /// Returns the number of this entry's own requests in flight on a target.
    pub fn own_in_flight(&self, target: &str) -> u32 {
        self.view(target).map_or(0, |v| v.own_in_flight)
    }

    /// Returns the mean load of some targets, in requests per slot.
    pub fn mean_load<T: Candidate>(&self, targets: &[Arc<T>], now: Moment) -> f64 {
        let load = |target: &Arc<T>| {
            let view = self.view(target.name());
            view.map_or(0.0, |v| {
                let (in_flight, slots) = self.load_or_own(v, now);
                in_flight / slots
            })
        };

        targets.iter().map(load).sum::<f64>() / targets.len().max(1) as f64
    }

    /// Records the slots of a target's start according to the platform's list.
    ///
    /// The view of an earlier start is dropped: its load, slowdown and failures say nothing about
    /// the new start, and its requests have ended.
    pub fn record_listing(&mut self, target: &str, start_id: StartId, slots: u32) {
        let view = self.views.entry(target.to_string()).or_default();

        if view.start_id != start_id {
            *view = View { start_id, ..View::default() };
        }

        view.listed_slots = Some(slots);
    }

    /// Returns the start that the view of a target describes.
    pub fn start_id(&self, target: &str) -> StartId {
        self.view(target).and_then(|view| view.start_id)
    }

    fn view(&self, target: &str) -> Option<&View> {
        self.views.get(target)
    }

    /// Returns whether the target is known to be shutting down.
    pub fn is_leaving(&self, target: &str, now: Moment) -> bool {
        self.view(target).and_then(|v| v.leaving_until).is_some_and(|until| now < until)
    }

    /// Returns the number of targets with a view.
    pub fn view_count(&self) -> usize {
        self.views.len()
    }

    /// Records that a request was sent to the target.
    pub fn record_sent(&mut self, target: &str) {
        let view = self.views.entry(target.to_string()).or_default();

        view.own_in_flight += 1;
        view.in_flight_change += 1;
        view.sent_since_report += 1;
        view.health.record_sent();
    }

    /// Records the end of a request to a start of the target, as [`Chooser::record_end`] does,
    /// unless the target has a newer start.
    pub fn record_end_at_start(
        &mut self,
        target: &str,
        start_id: StartId,
        success: Option<bool>,
        now: Moment,
    ) -> bool {
        self.start_id(target) == start_id && self.record_end(target, success, now)
    }

    /// Records that a request was sent to a start of the target, unless the target has a newer
    /// start.
    pub fn record_sent_to_start(&mut self, target: &str, start_id: StartId) {
        let view = self.views.entry(target.to_string());

        if view.or_insert_with(|| View { start_id, ..View::default() }).start_id == start_id {
            self.record_sent(target);
        }
    }

    /// Records the end of a request; returns whether the target was ejected.
    ///
    /// `success` is `None` if the end says nothing about the target's health, such as a refusal
    /// because the target is full.
    pub fn record_end(&mut self, target: &str, success: Option<bool>, now: Moment) -> bool {
        let Some(view) = self.views.get_mut(target) else {
            return false;
        };

        view.own_in_flight = view.own_in_flight.saturating_sub(1);
        view.in_flight_change -= 1;

        match success {
            Some(true) => view.health.record_success(&self.options.health),
            Some(false) => return view.health.record_failure(now, &self.options.health),
            None => view.health.record_neutral(),
        }

        false
    }

    /// Records a load report.
    pub fn record_report(&mut self, target: &str, report: LoadReport, now: Moment) {
        let view = self.views.entry(target.to_string()).or_default();

        view.report = Some((now, report));
        view.in_flight_change = 0;
        view.sent_since_report = 0;
    }

    /// Records that a target announced its shutdown. The target is used again after
    /// `leaving_lifetime`, because a replacement may have taken over its name.
    pub fn set_leaving(&mut self, target: &str, now: Moment) {
        let until = now + self.options.leaving_lifetime;

        self.views.entry(target.to_string()).or_default().leaving_until = Some(until);
    }

    /// Records a target's slowdown against its usual speed; returns whether the target became slow
    /// or stopped being slow. The value expires like a load report.
    pub fn set_slowdown(&mut self, target: &str, slowdown: f32, now: Moment) -> bool {
        let until = now + self.options.report_lifetime;
        let was_slow = self.is_slow(target, now);
        self.views.entry(target.to_string()).or_default().slowdown = Some((slowdown, until));

        self.is_slow(target, now) != was_slow
    }

    /// Returns the highest slowdown among some targets; 1 is the usual speed.
    pub fn worst_slowdown<T: Candidate>(&self, targets: &[Arc<T>], now: Moment) -> f32 {
        targets.iter().map(|t| self.slowdown(t.name(), now)).fold(1.0, f32::max)
    }

    fn slowdown(&self, target: &str, now: Moment) -> f32 {
        match self.view(target).and_then(|v| v.slowdown) {
            Some((slowdown, until)) if now < until => slowdown,
            _ => 1.0,
        }
    }

    fn is_slow(&self, target: &str, now: Moment) -> bool {
        self.slowdown(target, now) >= self.options.slow_threshold
    }

    /// Returns the targets that are not slow, or all of them if too few would be left.
    pub fn without_slow<'a, T: Candidate>(
        &self,
        targets: &'a [Arc<T>],
        now: Moment,
    ) -> Vec<&'a Arc<T>> {
        let steady: Vec<_> = targets.iter().filter(|t| !self.is_slow(t.name(), now)).collect();
        let is_enough = steady.len() as f64 >= targets.len() as f64 * self.options.min_usable;

        if is_enough { steady } else { targets.iter().collect() }
    }

    /// Drops the views of targets without own requests in flight for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.views.retain(|name, view| view.own_in_flight > 0 || keep(name));
    }
}
