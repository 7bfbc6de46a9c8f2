//! Choice of a target among those that the selectors allow.
//!
//! A few targets are drawn at random and the least loaded of them is taken. Drawing keeps many
//! entries from running to the same target after the same report. A target's load is what it
//! reported last, corrected by what this entry itself has sent and seen end since, over the number
//! of places it has; another hall counts as a little more load.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_config::routes::Route;
use grebedeck_core::{Moment, RandomSource, TargetName};
use serde::{Deserialize, Serialize};

use crate::health::{Health, HealthOptions};

/// What the choice has to know of a target.
pub trait Candidate {
    /// Gets the name that its load and health are noted under.
    fn name(&self) -> &str;

    /// Gets the hall that it stands in.
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

/// Settings of the choice.
#[derive(Clone, Debug)]
pub struct ChooserOptions {
    /// How many targets are drawn.
    pub draws: usize,
    /// How much more a request counts that has not begun than one that runs. A target that reads prompts
    /// one after the other makes a new request wait for those, and hardly for the ones that run.
    pub waiting_weight: f64,
    /// Load that another hall counts as, in places.
    pub other_hall_penalty_slots: f64,
    /// Age after which a report is no longer believed.
    pub report_lifetime: Duration,
    /// Slowdown from which a target is left out while enough others are well.
    pub slow_threshold: f32,
    /// Part of the targets that must look well; below it all are used.
    pub min_usable: f64,
    /// Part of all places that is kept for organisations with little in flight.
    pub headroom: f64,
    /// How long a target's word that it is leaving is believed.
    pub leaving_lifetime: Duration,
    /// How health is judged.
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

/// What an agent says of its target's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in flight, from all entries.
    pub in_flight: u32,
    /// Those of them that have not begun to run.
    pub waiting: u32,
    /// Places for requests.
    #[serde(rename = "places")]
    pub slots: u32,
}

/// Which start of a target something is about, as the target tells it; `None` where it does not. Two of them are
/// compared only for being the same.
pub type StartId = Option<u64>;

/// What is known of a target's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// Requests that it is expected to have.
    pub in_flight: f64,
    /// Places for requests.
    pub slots: f64,
    /// Age of its own word on it, if there was one.
    pub report_age: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct View {
    /// The start that all else here is about.
    birth: StartId,
    own_in_flight: u32,
    /// Places that the target has by the platform's list, for as long as it has not reported.
    listed_places: Option<u32>,
    report: Option<(Moment, LoadReport)>,
    /// Own requests sent minus ended since the report.
    since_report: i64,
    /// Own requests sent since the report, which wait for all that is known.
    sent_since_report: u32,
    leaving_until: Option<Moment>,
    /// How much slower than usual the target says that it is, and until when that is believed.
    slowdown: Option<(f32, Moment)>,
    health: Health,
}

/// An entry's view of its targets.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    options: ChooserOptions,
    own_hall: String,
    views: HashMap<TargetName, View>,
}

impl Chooser {
    /// Makes a chooser for an entry in the given hall.
    pub fn new(own_hall: &str, options: ChooserOptions) -> Self {
        Chooser { options, own_hall: own_hall.to_string(), views: HashMap::new() }
    }

    /// Chooses a target among the allowed ones, without those in `avoid` where others are left.
    pub fn choose<'a, T: Candidate>(
        &self,
        allowed: &'a [Arc<T>],
        avoid: &[TargetName],
        now: Moment,
        random: &mut impl RandomSource,
    ) -> Option<&'a Arc<T>> {
        let staying: Vec<_> = allowed.iter().filter(|r| !self.is_leaving(r.name(), now)).collect();
        let fresh = |r: &&Arc<T>| !avoid.iter().any(|name| name == r.name());
        let usable = |r: &&Arc<T>| self.view(r.name()).is_none_or(|v| v.health.is_usable(now));

        let well: Vec<_> = staying.iter().copied().filter(usable).collect();
        let enough = well.len() as f64 >= staying.len() as f64 * self.options.min_usable;
        let pool = if enough { well } else { staying };

        let untried: Vec<_> = pool.iter().copied().filter(fresh).collect();
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
            // Where all of them are looked at, none may be missed by drawing another twice.
            let at = if draws == pool.len() { draw } else { random.below(pool.len()) };
            let route = pool[at];
            let score = self.score(route.as_ref(), now) + random.unit() * 1e-6;

            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, route));
            }
        }

        best.map(|(_, route)| route)
    }

    fn score(&self, target: &impl Candidate, now: Moment) -> f64 {
        let distance = if target.hall() == self.own_hall {
            0.0
        } else {
            self.options.other_hall_penalty_slots
        };

        let Some(view) = self.view(target.name()) else {
            return distance;
        };

        let (in_flight, places) = self.load_or_own(view, now);
        let waiting = self.options.waiting_weight * self.waiting(view, now);

        (in_flight + waiting + distance + 1.0) / places / view.health.weight(&self.options.health)
    }

    /// Gets the estimated requests on a target that have not begun to run.
    fn waiting(&self, view: &View, now: Moment) -> f64 {
        match view.report {
            Some((at, report)) if now < at + self.options.report_lifetime => {
                f64::from(report.waiting + view.sent_since_report)
            }
            // Without its own word nobody knows which requests have begun.
            _ => 0.0,
        }
    }

    /// Tells whether, for all that is known, some target that was not tried has a free place.
    pub fn expects_free_slot<T: Candidate>(
        &self,
        allowed: &[Arc<T>],
        tried: &[TargetName],
        now: Moment,
    ) -> bool {
        let is_free = |target: &Arc<T>| match self.view(target.name()) {
            Some(view) if !view.health.is_usable(now) => false,
            Some(view) => self.load(view, now).is_none_or(|(used, places)| used < places),
            None => true,
        };
        let untried = |name: &str| !tried.iter().any(|t| t == name);
        let fresh = |r: &&Arc<T>| untried(r.name()) && !self.is_leaving(r.name(), now);

        allowed.iter().filter(fresh).any(is_free)
    }

    /// Tells whether, for all that is known, fewer places are free than must be kept for whoever has
    /// little in flight.
    pub fn is_crowded<T: Candidate>(&self, allowed: &[Arc<T>], now: Moment) -> bool {
        let (mut free, mut all) = (0.0, 0.0);

        for target in allowed.iter().filter(|r| !self.is_leaving(r.name(), now)) {
            let view = self.view(target.name()).filter(|v| v.health.is_usable(now));

            // A target that nothing is known of is taken for a free one, or it would never be tried.
            match view.and_then(|v| self.load(v, now)) {
                Some((used, places)) => {
                    free += (places - used).max(0.0);
                    all += places;
                }
                None => {
                    free += 1.0;
                    all += 1.0;
                }
            }
        }

        free < all * self.options.headroom
    }

    /// Gets the estimated requests in flight on a target and its places, if it was heard of lately.
    fn load(&self, view: &View, now: Moment) -> Option<(f64, f64)> {
        let (at, report) = view.report?;

        if at + self.options.report_lifetime <= now {
            return None;
        }

        let corrected = i64::from(report.in_flight) + view.since_report;
        let in_flight = corrected.max(i64::from(view.own_in_flight)) as f64;
        Some((in_flight, f64::from(report.slots.max(1))))
    }

    /// Gets the estimated load, or what this entry itself has in flight where nothing was heard.
    fn load_or_own(&self, view: &View, now: Moment) -> (f64, f64) {
        let places = f64::from(view.listed_places.unwrap_or(1).max(1));

        self.load(view, now).unwrap_or((f64::from(view.own_in_flight), places))
    }

    /// Tells whether a target has less in flight than a multiple of its places.
    pub fn has_room(&self, target: &str, per_place: f64, now: Moment) -> bool {
        let Some(view) = self.view(target) else {
            return true;
        };
        let (in_flight, places) = self.load_or_own(view, now);

        in_flight < places * per_place
    }

    /// Gets what is known of a target's load.
    pub fn load_view(&self, target: &str, now: Moment) -> LoadView {
        let Some(view) = self.view(target) else {
            return LoadView { in_flight: 0.0, slots: 1.0, report_age: None };
        };
        let (in_flight, places) = self.load_or_own(view, now);

        LoadView {
            in_flight,
            slots: places,
            report_age: view.report.map(|(at, _)| now.saturating_sub(at)),
        }
    }

    /// Gets what this entry itself has in flight on a target.
    pub fn own_in_flight(&self, target: &str) -> u32 {
        self.view(target).map_or(0, |v| v.own_in_flight)
    }

    /// Gets the mean load of some targets, in requests for each place.
    pub fn mean_load<T: Candidate>(&self, targets: &[Arc<T>], now: Moment) -> f64 {
        let load = |target: &Arc<T>| {
            let view = self.view(target.name());
            view.map_or(0.0, |v| {
                let (in_flight, places) = self.load_or_own(v, now);
                in_flight / places
            })
        };

        targets.iter().map(load).sum::<f64>() / targets.len().max(1) as f64
    }

    /// Notes how many places a start of a target has by the platform's list. What was known of an earlier start is
    /// forgotten: that it was full, slow or failing says nothing of the next one, and its requests have ended.
    pub fn record_listing(&mut self, target: &str, birth: StartId, places: u32) {
        let view = self.views.entry(target.to_string()).or_default();

        if view.birth != birth {
            *view = View { birth, ..View::default() };
        }

        view.listed_places = Some(places);
    }

    /// Gets the start that a target's view is about.
    pub fn start_id(&self, target: &str) -> StartId {
        self.view(target).and_then(|view| view.birth)
    }

    fn view(&self, target: &str) -> Option<&View> {
        self.views.get(target)
    }

    /// Tells whether the target is known to be leaving.
    pub fn is_leaving(&self, target: &str, now: Moment) -> bool {
        self.view(target).and_then(|v| v.leaving_until).is_some_and(|until| now < until)
    }

    /// Gets the number of targets that a view is kept of.
    pub fn view_count(&self) -> usize {
        self.views.len()
    }

    /// Notes that a request was sent to the target.
    pub fn record_sent(&mut self, target: &str) {
        let view = self.views.entry(target.to_string()).or_default();

        view.own_in_flight += 1;
        view.since_report += 1;
        view.sent_since_report += 1;
        view.health.record_sent();
    }

    /// Notes that a request ended that was sent to a start of the target, as [`Chooser::record_end`] does. What it showed
    /// of an earlier start is dropped.
    pub fn record_end_at_start(
        &mut self,
        target: &str,
        birth: StartId,
        success: Option<bool>,
        now: Moment,
    ) -> bool {
        self.start_id(target) == birth && self.record_end(target, success, now)
    }

    /// Notes that a request was sent to a start of the target; one to an earlier start is no load of the next.
    pub fn record_sent_to_start(&mut self, target: &str, birth: StartId) {
        let view = self.views.entry(target.to_string());

        if view.or_insert_with(|| View { birth, ..View::default() }).birth == birth {
            self.record_sent(target);
        }
    }

    /// Notes that a request ended. `success` is `None` where it says nothing of the target's
    /// health, such as a refusal for lack of room. Tells whether the target was put aside.
    pub fn record_end(&mut self, target: &str, success: Option<bool>, now: Moment) -> bool {
        let Some(view) = self.views.get_mut(target) else {
            return false;
        };

        view.own_in_flight = view.own_in_flight.saturating_sub(1);
        view.since_report -= 1;

        match success {
            Some(true) => view.health.record_success(&self.options.health),
            Some(false) => return view.health.record_failure(now, &self.options.health),
            None => view.health.record_neutral(),
        }

        false
    }

    /// Takes in a load report.
    pub fn record_report(&mut self, target: &str, report: LoadReport, now: Moment) {
        let view = self.views.entry(target.to_string()).or_default();

        view.report = Some((now, report));
        view.since_report = 0;
        view.sent_since_report = 0;
    }

    /// Notes that a target said it is leaving; it is asked again after a while, as its place may
    /// have been taken by a replacement.
    pub fn set_leaving(&mut self, target: &str, now: Moment) {
        let until = now + self.options.leaving_lifetime;

        self.views.entry(target.to_string()).or_default().leaving_until = Some(until);
    }

    /// Notes how much slower than usual a target says that it is; tells whether it is slow since then, or
    /// no longer. Like its reports this is believed for a while.
    pub fn set_slowdown(&mut self, target: &str, slowdown: f32, now: Moment) -> bool {
        let until = now + self.options.report_lifetime;
        let was_slow = self.is_slow(target, now);
        self.views.entry(target.to_string()).or_default().slowdown = Some((slowdown, until));

        self.is_slow(target, now) != was_slow
    }

    /// Gets the slowdown of the slowest of some targets; 1 is the usual speed.
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

    /// Gets those of some targets that are not slow, or all of them where too few would be left.
    pub fn without_slow<'a, T: Candidate>(
        &self,
        targets: &'a [Arc<T>],
        now: Moment,
    ) -> Vec<&'a Arc<T>> {
        let steady: Vec<_> = targets.iter().filter(|t| !self.is_slow(t.name(), now)).collect();
        let is_enough = steady.len() as f64 >= targets.len() as f64 * self.options.min_usable;

        if is_enough { steady } else { targets.iter().collect() }
    }

    /// Drops the views of targets that are gone and have nothing in flight.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.views.retain(|name, view| view.own_in_flight > 0 || keep(name));
    }
}
