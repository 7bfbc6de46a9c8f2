//! A gateway's state, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use grebedeck_core::{Moment, ServiceName};
use grebedeck_gateway::targets::ListEvent;
use grebedeck_gateway::{
    Availability, HeaderNames, Outage, OutageOptions, Pacing, PacingOptions, RouteTable, Site,
    TargetEntry, TargetList, WindowBudget, WindowOptions,
};
use grebedeck_kernel::{Clock, log};
use grebedeck_routing::{Chooser, ChooserOptions, LoadReport};

use super::Tasks;
use super::body::BodyBudget;
use super::options::{GatewaySettings, OUTAGE_FAILURES, OVERDUE, START_LAG, TRIAL_PAUSE};
use super::pool::Pool;
use super::stop::StopState;

/// Age after which a target's word on its load is no longer believed: much longer and a target that
/// others have filled since would be taken for a free one.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Part of a process's memory that callers' bodies may take together.
const BODY_MEMORY_PART: usize = 4;

/// A gateway.
pub struct Gateway {
    /// Its settings, with the ports that it got.
    pub settings: GatewaySettings,
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
    targets_known: Cell<bool>,
    budgets: RefCell<HashMap<ServiceName, WindowBudget>>,
    outages: RefCell<HashMap<ServiceName, Outage>>,
    paces: RefCell<HashMap<ServiceName, Pacing>>,
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
        let body_bytes = (settings.memory_mb << 20) / BODY_MEMORY_PART;

        Gateway {
            chooser: RefCell::new(Chooser::new(&settings.hall, options)),
            bodies: Rc::new(BodyBudget::new(body_bytes)),
            settings,
            names,
            tasks,
            pool: Pool::default(),
            stop: StopState::default(),
            freed: Event::new(),
            clock: Clock::default(),
            table: RefCell::default(),
            targets: RefCell::default(),
            targets_known: Cell::new(false),
            budgets: RefCell::default(),
            outages: RefCell::default(),
            paces: RefCell::default(),
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
        self.freed.notify(usize::MAX);
        log::info!("configuration in force", kv: { version = site.version, before, from });
        true
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
        self.targets_known.set(true);
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
        self.table.borrow().version() > 0 && self.targets_known.get() && !self.stop.is_stopping()
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
        let is_model = self.table().service(service).is_some_and(|s| s.engine.is_some());

        if !is_model {
            return self.settings.load.plain;
        }

        let paces = self.paces.borrow();
        let load = self.chooser.borrow().mean_load(targets, now);
        let paced = paces.get(service).map(|pace| pace.allowed_load(load, now));

        paced.unwrap_or(f64::INFINITY).min(self.settings.load.model)
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
        let stall = Duration::from_millis(self.settings.engine_stall_ms);
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
        let retry = &self.settings.retry;
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
