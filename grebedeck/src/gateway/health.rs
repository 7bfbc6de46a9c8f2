//! What a gateway knows of services as a whole: whether they are out, how long their pauses are, and how
//! many prompts their groups read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{
    Availability, EngineSpec, GroupWord, InFlightCounts, Outage, OutageOptions, PROMPT_PART,
    Pacing, PacingOptions, PromptRate, RouteRule, TargetEntry, Urgency,
};
use grebedeck_kernel::log;
use grebedeck_routing::LoadReport;

use super::attempt::FailureCause;
use super::mechanism::Mechanism;
use super::options::{
    FIRST_LOAD_WAIT, FIRST_WATCH_PERIOD, GROUP_WORD_LIFETIME, OUTAGE_FAILURES, OVERDUE,
    PROMPT_BURST, START_LAG, TRIAL_PAUSE, UNKNOWN_ANSWER_TIME, UNKNOWN_FIRST_EVENT, max_hold,
};
use super::pool::MAX_KEPT;
use super::request::RoutedRequest;
use super::service::Gateway;
use crate::rank::message::RankLoad;

impl Gateway {
    /// Gets how many connections may rest to one target of a service: half of this gateway's part of those
    /// that the target takes from all callers together.
    pub fn max_kept(&self, service: &str) -> usize {
        let table = self.table();
        let cap = table.service(service).map_or(MAX_KEPT, |s| s.max_connections);
        let part = cap / self.gateways() / 2;

        part.clamp(1, MAX_KEPT)
    }

    /// Gets the mean pause between the events of a service's streams, where it was seen lately.
    pub fn pause(&self, service: &str) -> Option<Duration> {
        self.paces.borrow().get(service)?.pause(self.now())
    }

    /// Judges whether a request for a model can still be answered in time. Requests for plain services are not told
    /// apart: their answers take as long as they take, and nothing is read before them.
    pub fn urgency(&self, request: &RoutedRequest, now: Moment) -> Urgency {
        if !self.is_model(&request.service) || !self.uses(Mechanism::Urgency) {
            return Urgency::InTime;
        }

        request.urgency(self.usual_answer_time(&request.service).unwrap_or_default(), now)
    }

    /// Gets the longest time that a request of a service is held while there is no place for it.
    pub fn max_hold(&self, service: &str) -> Duration {
        max_hold(self.usual_answer_time(service).unwrap_or(UNKNOWN_FIRST_EVENT))
    }

    /// Tells whether a request for a model is held where others are refused, as its caller has come back once already.
    pub fn holds_returned(&self, request: &RoutedRequest) -> bool {
        let is_model = self.is_model(&request.service);

        is_model && self.uses(Mechanism::Urgency) && request.has_come_back(&self.names)
    }

    /// Gets the time until a request's prompt may go to its service's group.
    pub fn prompt_wait(&self, request: &RoutedRequest, now: Moment) -> Duration {
        let service = &request.service;
        let pause = self.urgency(request, now).prompt_pause();

        if self.waits_for_ranks(service, now) {
            return FIRST_WATCH_PERIOD;
        }

        if !self.uses(Mechanism::PromptRate) {
            return Duration::ZERO;
        }

        self.prompts.borrow().get(service).map_or(Duration::ZERO, |rate| rate.wait(pause, now))
    }

    /// Gets the part of the time of a service's groups that may go into reading prompts.
    fn prompt_part(&self, service: &str, now: Moment) -> f64 {
        let openings = self.openings.borrow();

        openings.get(service).map_or(PROMPT_PART, |openings| openings.prompt_part(now))
    }

    /// Gets the requests in flight on some targets.
    fn in_flight_counts(&self, targets: &[Arc<TargetEntry>], now: Moment) -> InFlightCounts {
        let chooser = self.chooser.borrow();

        InFlightCounts {
            own: targets.iter().map(|t| f64::from(chooser.own_in_flight(&t.id))).sum(),
            all: targets.iter().map(|t| chooser.load_view(&t.id, now).in_flight).sum(),
        }
    }

    /// Notes that a request's prompt goes to its service's group.
    pub fn take_prompt(&self, request: &RoutedRequest, now: Moment) {
        let table = self.table();
        let service = &request.service;
        let Some(engine) = table.service(service).and_then(|s| s.engine.as_ref()) else {
            return;
        };
        let serving = self.serving(service).unwrap_or_default();
        let part = self.prompt_part(service, now);
        let group_tokens_per_s = serving.len() as f64 * engine.read_tokens_per_s * part;
        let tokens = request.request.prompt_tokens(&self.names).unwrap_or(engine.usual_prompt);
        let counts = self.in_flight_counts(&serving, now);
        let mut prompts = self.prompts.borrow_mut();
        let rate = prompts.entry(service.clone()).or_insert(PromptRate::new(PROMPT_BURST));
        rate.observe(group_tokens_per_s, counts, self.gateways(), now);
        rate.take(tokens, now);
    }

    /// Tells whether some rank has told its load.
    pub fn hears_ranks(&self) -> bool {
        self.hears_ranks.get()
    }

    /// Tells whether a request for a model should wait for the ranks' first word on their group.
    fn waits_for_ranks(&self, service: &str, now: Moment) -> bool {
        let is_early = self.targets_known_at.get().is_none_or(|at| now < at + FIRST_LOAD_WAIT);

        !self.hears_ranks() && is_early && self.is_model(service)
    }

    fn is_model(&self, service: &str) -> bool {
        self.table().service(service).is_some_and(|s| s.engine.is_some())
    }

    /// Takes in what the process beside a rank says of it.
    pub fn note_rank(&self, address: SocketAddr, load: &RankLoad) {
        self.hears_ranks.set(true);
        let found = self.targets.borrow().newest_at(address);
        let Some(target) = found else {
            return;
        };
        let report = LoadReport {
            in_flight: load.running + load.waiting,
            waiting: load.waiting,
            places: target.slots,
        };
        self.note_load(&target.id, report);
        self.note_slowdown(&target.id, load.slowdown);

        self.groups.borrow_mut().insert(target.id.clone(), load.group);
        self.note_group_word(&target.service, load);

        if load.is_open {
            self.note_open(&target, load);
        } else if self.note_closed(&target.service, load) {
            log::warn!("service out", kv: { service = target.service.as_str(), cause = "closed" });
        }
    }

    /// Takes in what a rank says of its group's opening.
    fn note_group_word(&self, service: &str, load: &RankLoad) {
        let now = self.now();
        let word = GroupWord {
            group: load.group,
            formation: load.formation,
            is_open: load.is_open,
            has_placement: load.has_placement,
        };
        let mut openings = self.openings.borrow_mut();

        match openings.get_mut(service) {
            Some(openings) => openings.note(word, now),
            None => openings.entry(service.to_string()).or_default().note(word, now),
        }
    }

    /// Tells whether a stream should go on at another rank: pauses are too long for it, and its own rank is
    /// slow while others are well. All ranks wait in each pass for a slow one that has streams of its own: with
    /// a rank twelve times slower passes took 0.3 s until its eight streams had ended, eight seconds later.
    /// Over 8 seeds of a day with such a rank the service was worth 0.035 more.
    pub fn should_leave(&self, target: &TargetEntry, pause_limit: Duration) -> bool {
        let now = self.now();
        let is_late = self.pause(&target.service).is_some_and(|pause| pause > pause_limit);

        if !is_late || !self.uses(Mechanism::SlowMoves) {
            return false;
        }

        let serving = self.serving(&target.service).unwrap_or_default();
        let chooser = self.chooser.borrow();
        let steady = chooser.without_slow(&serving, now);

        serving.iter().any(|t| t.id == target.id) && steady.iter().all(|t| t.id != target.id)
    }

    /// Notes how slow a rank says that it is.
    fn note_slowdown(&self, target: &str, slowdown: f32) {
        let now = self.now();

        if self.chooser.borrow_mut().set_slowdown(target, slowdown, now) {
            log::info!("target's speed changed", kv: { target, slowdown = f64::from(slowdown) });
        }
    }

    /// Notes that a rank says its group makes passes; where the service was out, it is back.
    fn note_open(&self, target: &TargetEntry, load: &RankLoad) {
        let now = self.now();
        let service = target.service.as_str();

        if self.with_outage(service, |outage| outage.opened(load.group, load.formation, now)) {
            log::info!("group open", kv: { service, target = target.id.as_str() });
            self.freed.notify(usize::MAX);
        }
    }

    /// Notes that a rank says its group makes no passes; tells whether the service is out since then.
    fn note_closed(&self, service: &str, load: &RankLoad) -> bool {
        let now = self.now();

        self.with_outage(service, |outage| outage.closed(load.group, load.formation, now))
    }

    /// Tells whether a target's group has said lately that it makes no passes.
    pub fn is_group_closed(&self, target: &TargetEntry, now: Moment) -> bool {
        let Some(group) = self.groups.borrow().get(&target.id).copied() else {
            return false;
        };

        self.with_outage(&target.service, |outage| outage.is_closed(group, now))
    }

    /// Gets whether a service is expected to take requests.
    pub fn availability(&self, service: &str) -> Availability {
        let now = self.now();

        self.with_outage(service, |outage| outage.availability(now))
    }

    /// Takes the trial of a service that is out, where one is due.
    pub fn take_trial(&self, service: &str) -> bool {
        let now = self.now();

        self.with_outage(service, |outage| outage.take_trial(now))
    }

    /// Notes that a target of a service took a request.
    pub fn note_taken(&self, service: &str) {
        let now = self.now();

        if self.with_outage(service, |outage| outage.succeeded(now)) {
            log::info!("service back", kv: { service });
            self.freed.notify(usize::MAX);
        }
    }

    /// Notes that a target of a service with room took no request.
    pub fn note_not_taken(&self, service: &str, cause: FailureCause) {
        let now = self.now();
        let is_out_now = self.with_outage(service, |outage| match cause {
            FailureCause::Refused => outage.refused(),
            _ => outage.failed(now),
        });

        if is_out_now {
            log::warn!("service out", kv: { service, cause = "failures" });
        }
    }

    /// Notes the pause between two events of one stream.
    pub fn note_pause(&self, service: &str, pause: Duration, rule: &RouteRule) {
        let Some(limit) = rule.pause_limit else {
            return;
        };
        let now = self.now();
        let mut paces = self.paces.borrow_mut();

        if let Some(pace) = paces.get_mut(service) {
            pace.note_pause(pause, now);
            return;
        }

        let table = self.table();
        let engine = table.service(service).and_then(|s| s.engine.as_ref());
        let base_ms = engine.map_or(0.0, |e| e.step_ms * f64::from(e.steps_per_pass));
        let base = Duration::from_secs_f64(base_ms / 1000.0);
        let load = self.settings().load;
        let options =
            PacingOptions { deviations: load.pause_deviations, ..PacingOptions::new(base, limit) };
        let passes = engine.and_then(EngineSpec::usual_passes);
        let passes = passes.filter(|_| self.uses(Mechanism::LateLimit));
        let options =
            passes.map_or(options, |passes| options.with_deadline(rule.time_limit, passes));
        let mut pace = Pacing::new(options);
        pace.note_pause(pause, now);
        paces.insert(service.to_string(), pace);
    }

    /// Gets the load that a service's targets may have, in requests for each place.
    pub fn allowed_load(&self, service: &str, targets: &[Arc<TargetEntry>], now: Moment) -> f64 {
        if !self.is_model(service) {
            return self.settings().load.plain;
        }

        let full = self.settings().load.model;

        if !self.uses(Mechanism::Pace) {
            return full;
        }

        let mut paces = self.paces.borrow_mut();
        let chooser = self.chooser.borrow();
        let load = chooser.mean_load(targets, now);
        // A rank without requests of its own keeps nobody waiting, but for its experts.
        let is_used = |t: &&Arc<TargetEntry>| chooser.load_view(&t.id, now).in_flight >= 1.0;
        let used: Vec<_> = targets.iter().filter(is_used).cloned().collect();
        let slowdown = f64::from(chooser.worst_slowdown(&used, now));

        paces.get_mut(service).map_or(full, |pace| {
            pace.note_load(load, now);
            pace.allowed_load(load, slowdown, full, now)
        })
    }

    /// Gets the time after which so many of the requests that run will have ended that the service's
    /// targets have room again.
    pub fn time_to_place(&self, service: &str) -> Duration {
        let now = self.now();
        let targets = self.serving(service).unwrap_or_default();
        let allowed = self.allowed_load(service, &targets, now);
        let load = self.chooser.borrow().mean_load(&targets, now);
        // Where the mean is low enough, the next request that ends makes room.
        let over = (1.0 - allowed / load.max(1e-3)).max(1.0 / targets.len().max(1) as f64);

        self.usual_time(service).mul_f64(over.min(1.0))
    }

    /// Gets the time that a request of a service usually takes.
    fn usual_time(&self, service: &str) -> Duration {
        let table = self.table();
        let engine = table.service(service).and_then(|s| s.engine.as_ref());

        match (engine.and_then(EngineSpec::usual_passes), self.pause(service)) {
            (Some(passes), Some(pause)) => pause.mul_f64(passes),
            _ => self.usual_answer_time(service).unwrap_or(UNKNOWN_ANSWER_TIME),
        }
    }

    fn with_outage<T>(&self, service: &str, act: impl FnOnce(&mut Outage) -> T) -> T {
        let mut outages = self.outages.borrow_mut();

        match outages.get_mut(service) {
            Some(outage) => act(outage),
            None => {
                let first = Outage::new(self.outage_options(service), Duration::ZERO);
                act(outages.entry(service.to_string()).or_insert(first))
            }
        }
    }

    fn outage_options(&self, service: &str) -> OutageOptions {
        let table = self.table();
        let form = table.service(service).and_then(|s| s.engine.as_ref()).map(|e| e.form);
        let stall = Duration::from_millis(self.settings().engine_stall_ms);
        // The first request of a process may find an outage that is as old as the start took.
        let expected = (stall + form.unwrap_or_default()).saturating_sub(START_LAG);

        OutageOptions {
            failures: OUTAGE_FAILURES,
            expected,
            overdue: OVERDUE,
            word_lifetime: GROUP_WORD_LIFETIME,
            trial_pause: TRIAL_PAUSE,
        }
    }
}
