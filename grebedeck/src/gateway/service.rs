//! A gateway's state, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use grebedeck_core::{Moment, ServiceName};
use grebedeck_gateway::answer::{self, RunState};
use grebedeck_gateway::targets::ListEvent;
use grebedeck_gateway::{
    Availability, HeaderNames, Outage, OutageOptions, Pacing, PacingOptions, PromptRate,
    RouteTable, Site, TargetEntry, TargetList, WindowBudget, WindowOptions,
};
use grebedeck_kernel::log::LineBudget;
use grebedeck_kernel::{Clock, Metrics, log};
use grebedeck_routing::{Chooser, ChooserOptions, LoadReport};
use serde_json::json;

use super::Tasks;
use super::body::BodyBudget;
use super::counters::Counters;
use super::options::{
    FIRST_LOAD_WAIT, FIRST_WATCH_PERIOD, GatewaySettings, MIN_ATTEMPT, OUTAGE_FAILURES, OVERDUE,
    PROMPT_BURST, PROMPT_PART, START_LAG, TRIAL_PAUSE,
};
use super::pool::Pool;
use super::request::RoutedRequest;
use super::stop::StopState;
use super::story::{Decision, End, STORIES_PER_S, Story};
use crate::rank::message::RankLoad;

/// Age after which a target's word on its load is no longer believed: much longer and a target that
/// others have filled since would be taken for a free one.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Part of a process's memory that callers' bodies may take together.
const BODY_MEMORY_PART: usize = 4;

/// A gateway.
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    /// Its metrics.
    pub metrics: Metrics,
    /// What it counts.
    pub counters: Counters,
    stories: RefCell<LineBudget>,
    /// The platform's header names.
    pub names: HeaderNames,
    /// Runs its tasks.
    pub tasks: Tasks,
    /// Kept connections to targets.
    pub pool: Pool,
    /// Memory for callers' bodies.
    pub bodies: Rc<BodyBudget>,
    /// Whether it is stopping.
    pub stop: StopState,
    /// Told whenever a place on a target may have become free.
    pub freed: Event,
    /// The view of the targets' load and health.
    pub chooser: RefCell<Chooser>,
    clock: Clock,
    table: RefCell<Rc<RouteTable>>,
    targets: RefCell<TargetList>,
    targets_known_at: Cell<Option<Moment>>,
    hears_ranks: Cell<bool>,
    budgets: RefCell<HashMap<ServiceName, WindowBudget>>,
    site: RefCell<Option<Site>>,
    peers: RefCell<BTreeSet<SocketAddr>>,
    store_answered_at: Cell<Option<Moment>>,
    outages: RefCell<HashMap<ServiceName, Outage>>,
    paces: RefCell<HashMap<ServiceName, Pacing>>,
    prompts: RefCell<HashMap<ServiceName, PromptRate>>,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet.
    pub fn new(settings: GatewaySettings, names: HeaderNames, tasks: Tasks) -> Self {
        let options = ChooserOptions {
            // All targets are looked at: a few dozen cost little beside a request.
            draws: usize::MAX,
            report_lifetime: REPORT_LIFETIME,
            ..ChooserOptions::default()
        };
        let metrics = Metrics::default();
        let body_bytes = (settings.memory_mb << 20) / BODY_MEMORY_PART;

        Gateway {
            chooser: RefCell::new(Chooser::new(&settings.hall, options)),
            bodies: Rc::new(BodyBudget::new(body_bytes)),
            settings: RefCell::new(Rc::new(settings)),
            counters: Counters::new(&metrics),
            metrics,
            stories: RefCell::new(LineBudget::new(STORIES_PER_S)),
            names,
            tasks,
            pool: Pool::default(),
            stop: StopState::default(),
            freed: Event::new(),
            clock: Clock::default(),
            table: RefCell::default(),
            targets: RefCell::default(),
            targets_known_at: Cell::default(),
            hears_ranks: Cell::new(false),
            budgets: RefCell::default(),
            site: RefCell::default(),
            peers: RefCell::default(),
            store_answered_at: Cell::default(),
            outages: RefCell::default(),
            paces: RefCell::default(),
            prompts: RefCell::default(),
        }
    }

    /// Gets the time.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Gets the routes in force.
    pub fn table(&self) -> Rc<RouteTable> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force if it is newer; tells whether it was.
    pub fn take_site(&self, site: &Site, from: &str) -> bool {
        let before = self.table.borrow().version();

        if site.version <= before {
            return false;
        }

        *self.table.borrow_mut() = Rc::new(RouteTable::new(site));
        *self.site.borrow_mut() = Some(site.clone());
        self.freed.notify(usize::MAX);
        log::info!("configuration in force", kv: { version = site.version, before, from });
        true
    }

    /// Gets the configuration in force.
    pub fn site(&self) -> Option<Site> {
        self.site.borrow().clone()
    }

    /// Sets the gateways that the store names.
    pub fn set_peers(&self, peers: BTreeSet<SocketAddr>) {
        *self.peers.borrow_mut() = peers;
    }

    /// Gets the other gateways that are known.
    pub fn peers(&self) -> BTreeSet<SocketAddr> {
        let settings = self.settings();
        let mut peers = self.peers.borrow().clone();
        peers.extend(&settings.seed_peers);
        peers.remove(&settings.peer_address);

        peers
    }

    /// Notes that the store has answered.
    pub fn store_answered(&self) {
        self.store_answered_at.set(Some(self.now()));
    }

    /// Notes that the store did not answer as it should.
    pub fn store_failed(&self) {
        self.store_answered_at.set(None);
    }

    /// Tells whether the store is away: it failed, or has not answered for a while.
    pub fn is_store_away(&self, silence: Duration) -> bool {
        self.store_answered_at.get().is_none_or(|at| self.now() >= at + silence)
    }

    /// Changes the list of targets and notes what follows.
    pub fn change_targets(&self, change: impl FnOnce(&mut TargetList, Moment) -> Vec<ListEvent>) {
        let now = self.now();
        let events = change(&mut self.targets.borrow_mut(), now);

        for event in &events {
            self.note_list_event(event);
        }

        if !events.is_empty() {
            self.freed.notify(usize::MAX);
        }
    }

    /// Notes that the list of targets was read whole.
    pub fn set_targets_known(&self) {
        if self.targets_known_at.get().is_none() {
            self.targets_known_at.set(Some(self.now()));
        }
    }

    /// Drops targets that have lapsed.
    pub fn drop_lapsed(&self) {
        self.change_targets(TargetList::tick);
    }

    /// Looks at the list of targets.
    pub fn with_targets<T>(&self, look: impl FnOnce(&TargetList) -> T) -> T {
        look(&self.targets.borrow())
    }

    /// Gets the targets of a service that take work.
    pub fn serving(&self, service: &str) -> Option<Arc<[Arc<TargetEntry>]>> {
        self.targets.borrow().serving(service).cloned()
    }

    /// Tells whether the process can serve requests.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().version() > 0
            && self.targets_known_at.get().is_some()
            && !self.stop.is_stopping()
    }

    /// Notes the first attempt of a request for a service.
    pub fn earn_repeat(&self, service: &str) {
        let now = self.now();

        self.with_budget(service, |budget| budget.earn(now));
    }

    /// Takes one repeat of a service's budget, where there is one left.
    pub fn take_repeat(&self, service: &str) -> bool {
        let now = self.now();

        self.with_budget(service, |budget| budget.take(now))
    }

    /// Tells whether a request may be sent to another target, and takes the repeat for it.
    pub fn may_send_again(&self, request: &RoutedRequest, run: RunState, sent: usize) -> bool {
        let rule = &request.admitted.rule;
        let now = self.now();
        let refused = if !answer::may_send_again(rule.kind, run) {
            Some("may have run")
        } else if sent >= rule.max_targets as usize {
            Some("sent often enough")
        } else if request.deadline <= now + MIN_ATTEMPT {
            Some("no time left")
        } else if !self.take_repeat(&request.service) {
            Some("no budget left")
        } else {
            None
        };

        self.counters.repeats.add(refused.unwrap_or("allowed"));

        if let Some(reason) = refused {
            request.story.add(now, Decision::NotRepeated { reason });
        }

        refused.is_none()
    }

    /// Counts how a request ended, and logs its story if it is of interest.
    pub fn note_end(&self, story: &Story, end: End, is_late: bool) {
        let now = self.now();
        self.counters.requests.add(if is_late && end.word() == "served" {
            "served_late"
        } else {
            end.word()
        });

        if !story.is_wanted(end, is_late) {
            return;
        }

        if self.stories.borrow_mut().take(now) {
            story.log(end, now);
        } else {
            self.counters.left_out.add("story");
        }
    }

    /// Tells how many stories were not logged since this was done last.
    pub fn log_left_out(&self) {
        let count = self.stories.borrow_mut().take_left_out();

        if count > 0 {
            log::warn!("requests not logged", kv: { count });
        }
    }

    /// Gets the mean pause between the events of a service's streams, where it was seen lately.
    pub fn pause(&self, service: &str) -> Option<Duration> {
        self.paces.borrow().get(service)?.pause(self.now())
    }

    /// Gets the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.now();
        let table = self.table();
        let targets = self.targets.borrow();
        let chooser = self.chooser.borrow();
        let target = |entry: &Arc<TargetEntry>| {
            let load = chooser.load_view(&entry.id, now);
            json!({
                "id": entry.id, "service": entry.service, "hall": entry.hall,
                "address": entry.address, "state": entry.state, "in_flight": load.in_flight,
                "places": load.places,
            })
        };
        let services: Vec<serde_json::Value> = table
            .services()
            .map(|service| {
                json!({
                    "name": service.name,
                    "out_ms": match self.availability(&service.name) {
                        Availability::Up => None,
                        Availability::Out(left) => Some(left.as_millis() as u64),
                    },
                    "pause_ms": self.pause(&service.name).map(|p| p.as_millis() as u64),
                })
            })
            .collect();

        json!({
            "name": self.settings().name,
            "ready": self.is_ready(),
            "stopping": self.stop.is_stopping(),
            "in_flight": self.stop.in_flight(),
            "config_version": table.version(),
            "targets_version": targets.version(),
            "buffered_bytes": self.bodies.used_bytes(),
            "targets": targets.all().map(target).collect::<Vec<_>>(),
            "services": services,
        })
    }

    /// Gets the settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Puts new settings in force. What is used only at the start stays as it was.
    pub fn set_settings(&self, settings: GatewaySettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Gets the time until the next prompt may go to a service's group.
    pub fn prompt_wait(&self, service: &str, now: Moment) -> Duration {
        if self.waits_for_ranks(service, now) {
            return FIRST_WATCH_PERIOD;
        }

        self.prompts.borrow().get(service).map_or(Duration::ZERO, |rate| rate.wait(now))
    }

    /// Gets this gateway's share of the requests for some targets: what it has in flight itself, and at
    /// least an equal part.
    fn share(&self, targets: &[Arc<TargetEntry>], now: Moment) -> f64 {
        let chooser = self.chooser.borrow();
        let own: f64 = targets.iter().map(|t| f64::from(chooser.own_in_flight(&t.id))).sum();
        let all: f64 = targets.iter().map(|t| chooser.load_view(&t.id, now).in_flight).sum();
        let equal = 1.0 / (self.peers().len() + 1) as f64;

        (own / all.max(1.0)).clamp(equal, 1.0)
    }

    /// Notes that a request's prompt goes to its service's group.
    pub fn take_prompt(&self, request: &RoutedRequest, now: Moment) {
        let table = self.table();
        let service = &request.service;
        let Some(engine) = table.service(service).and_then(|s| s.engine.as_ref()) else {
            return;
        };
        let serving = self.serving(service).unwrap_or_default();
        let group_tokens_per_s = serving.len() as f64 * engine.read_tokens_per_s * PROMPT_PART;
        let tokens_per_s = group_tokens_per_s * self.share(&serving, now);
        let tokens = request.request.prompt_tokens(&self.names).unwrap_or(engine.usual_prompt);
        let mut prompts = self.prompts.borrow_mut();
        let first = PromptRate::new(tokens_per_s, PROMPT_BURST);
        let rate = prompts.entry(service.clone()).or_insert(first);
        rate.set_rate(tokens_per_s);
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
        let report = LoadReport { in_flight: load.running + load.waiting, places: target.slots };
        self.note_load(&target.id, report);

        if load.is_open {
            self.note_open(&target.service, &target.id);
        } else if self.with_outage(&target.service, Outage::closed) {
            log::warn!("service out", kv: { service = target.service.as_str(), cause = "closed" });
        }
    }

    /// Notes that a rank says its group makes passes; where the service was out, it is back.
    fn note_open(&self, service: &str, target: &str) {
        if self.availability(service) != Availability::Up {
            log::info!("group open", kv: { service, target });
            self.note_taken(service);
        }
    }

    /// Notes a target's load.
    pub fn note_load(&self, target: &str, report: LoadReport) {
        let now = self.now();

        self.chooser.borrow_mut().reported(target, report, now);
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
    pub fn note_not_taken(&self, service: &str) {
        if self.with_outage(service, Outage::failed) {
            log::warn!("service out", kv: { service });
        }
    }

    /// Notes the pause between two events of one stream.
    pub fn note_pause(&self, service: &str, pause: Duration, limit: Duration) {
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
        let mut pace = Pacing::new(PacingOptions::new(base, limit));
        pace.note_pause(pause, now);
        paces.insert(service.to_string(), pace);
    }

    /// Gets the load that a service's targets may have, in requests for each place.
    pub fn allowed_load(&self, service: &str, targets: &[Arc<TargetEntry>], now: Moment) -> f64 {
        if !self.is_model(service) {
            return self.settings().load.plain;
        }

        let paces = self.paces.borrow();
        let load = self.chooser.borrow().mean_load(targets, now);
        let paced = paces.get(service).map(|pace| pace.allowed_load(load, now));

        paced.unwrap_or(f64::INFINITY).min(self.settings().load.model)
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
            trial_pause: TRIAL_PAUSE,
        }
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut WindowBudget) -> T) -> T {
        let retry = self.settings().retry;
        let options = WindowOptions {
            window: Duration::from_secs_f64(retry.window_s),
            ratio: retry.ratio,
            allowance: retry.allowance / retry.gateways,
        };
        let mut budgets = self.budgets.borrow_mut();

        match budgets.get_mut(service) {
            Some(budget) => act(budget),
            None => act(budgets.entry(service.to_string()).or_insert(WindowBudget::new(options))),
        }
    }

    fn note_list_event(&self, event: &ListEvent) {
        match event {
            ListEvent::Listed(entry) => {
                log::info!("target listed", kv: {
                    target = entry.id.as_str(), service = entry.service.as_str(),
                });
                self.chooser.borrow_mut().listed(&entry.id, entry.slots);
            }
            ListEvent::Leaving(id) => {
                log::info!("target leaving", kv: { target = id.as_str() });
            }
            ListEvent::Lapsed(id) => {
                log::warn!("target lapsed", kv: { target = id.as_str() });
            }
            ListEvent::Gone(id) => {
                log::info!("target gone", kv: { target = id.as_str() });
                let targets = &self.targets;
                let keep = |name: &str| targets.try_borrow().is_ok_and(|t| t.get(name).is_some());
                self.chooser.borrow_mut().retain(keep);
            }
        }
    }
}
