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
    HeaderNames, RouteTable, Site, TargetEntry, TargetList, WindowBudget, WindowOptions,
};
use grebedeck_kernel::{Clock, log};
use grebedeck_routing::{Chooser, ChooserOptions, LoadReport};

use super::Tasks;
use super::body::BodyBudget;
use super::options::GatewaySettings;
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
