//! A gateway's state, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use grebedeck_core::{GroupId, Moment, ServiceName};
use grebedeck_gateway::answer;
use grebedeck_gateway::targets::ListEvent;
use grebedeck_gateway::{
    ColdLimiter, HeaderNames, Outage, Pacing, PromptLimiter, Refusals, RouteTable, Site,
    TargetEntry, TargetId, TargetList, WaitLimit, WaitLimitOptions, WindowedRetryBudget,
    WindowedRetryOptions,
};
use grebedeck_kernel::log::LineBudget;
use grebedeck_kernel::{Clock, Metrics, log};
use grebedeck_routing::{Chooser, CrashCooldown, LoadReport, Quarantine};

use super::Tasks;
use super::attempt_history::AttemptHistory;
use super::buffer::SharedMemory;
use super::counters::Counters;
use super::halls::OperatorView;
use super::limits::LimitState;
use super::mechanism::Mechanism;
use super::options::{GatewaySettings, MIN_ATTEMPT};
use super::pool::ConnectionPool;
use super::quota::QuotaState;
use super::refusing::REFUSING_LINES_PER_S;
use super::relay::RelayState;
use super::request::RoutedRequest;
use super::starts::ENTRY_LINES_PER_S;
use super::stop::StopState;
use super::suspects::SUSPECT_LINES_PER_S;
use super::trace::{Decision, Outcome, TRACES_PER_S, Trace};
use super::wait_queues::WaitQueues;

/// A gateway.
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    /// Its metrics.
    pub metrics: Metrics,
    /// What it counts.
    pub counters: Counters,
    traces: RefCell<LineBudget>,
    /// The platform's header names.
    pub names: HeaderNames,
    /// Runs its tasks.
    pub tasks: Tasks,
    /// Buffer connections to targets.
    pub pool: ConnectionPool,
    /// Memory for callers' bodies.
    pub bodies: Rc<SharedMemory>,
    /// Memory for targets' answers.
    pub answers: Rc<SharedMemory>,
    /// Whether it is stopping.
    pub stop: StopState,
    /// Told whenever a place on a target may have become free.
    pub freed: Event,
    /// The view of the targets' load and health.
    pub chooser: RefCell<Chooser>,
    clock: Clock,
    table: RefCell<Rc<RouteTable>>,
    pub(super) targets: RefCell<TargetList>,
    pub(super) targets_known_at: Cell<Option<Moment>>,
    /// What is known of what operators have written.
    pub(super) operator: OperatorView,
    pub(super) hears_ranks: Cell<bool>,
    budgets: RefCell<HashMap<ServiceName, WindowedRetryBudget>>,
    site: RefCell<Option<Site>>,
    /// Whom this gateway follows, and what it has for those that follow it.
    pub(super) relay: RelayState,
    peers: RefCell<BTreeSet<SocketAddr>>,
    /// Gateways that are known, this one included.
    gateways: Cell<usize>,
    store_answered_at: Cell<Option<Moment>>,
    pub(super) outages: RefCell<HashMap<ServiceName, Outage>>,
    /// Groups of the models' ranks, as those told.
    pub(super) groups: RefCell<HashMap<TargetId, GroupId>>,
    pub(super) paces: RefCell<HashMap<ServiceName, Pacing>>,
    pub(super) prompts: RefCell<HashMap<ServiceName, PromptLimiter>>,
    patience: RefCell<HashMap<ServiceName, WaitLimit>>,
    /// This gateway's part in targets that are cold.
    pub(super) cold: RefCell<ColdLimiter>,
    /// Targets that refuse requests or want rest.
    pub(super) refusals: RefCell<Refusals>,
    /// Lines on targets that refuse.
    pub(super) refusing_lines: RefCell<LineBudget>,
    /// Limits that targets name.
    pub(super) limits: LimitState,
    /// Its part in giving out permits.
    pub(super) quota: QuotaState,
    /// Lines on entries that cannot be read.
    pub(super) entry_lines: RefCell<LineBudget>,
    /// Requests that are not sent any more, and those that may have to be among them.
    pub(super) quarantine: RefCell<Quarantine>,
    /// Requests that were answered lately, of services whose targets' crashes stop others.
    pub(super) answered: RefCell<CrashCooldown>,
    /// Told when it is known of a request whether it may be sent.
    pub(super) suspects_changed: Event,
    /// Told when there is something to tell other gateways, or to store.
    pub(super) suspects_news: Event,
    /// Lines on targets that crash.
    pub(super) suspect_lines: RefCell<LineBudget>,
    /// Requests that wait for a place.
    pub waiting: WaitQueues,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet.
    pub fn new(settings: GatewaySettings, names: HeaderNames, tasks: Tasks) -> Self {
        let metrics = Metrics::default();

        let gateway = Gateway {
            relay: RelayState::new(settings.peer_address),
            limits: LimitState::default(),
            quota: QuotaState::new(settings.ip),
            chooser: RefCell::new(Chooser::new(&settings.hall, settings.chooser_options())),
            bodies: SharedMemory::new(settings.memory_bytes(settings.kept.bodies)),
            answers: SharedMemory::new(settings.memory_bytes(settings.kept.answers)),
            settings: RefCell::new(Rc::new(settings)),
            counters: Counters::new(&metrics),
            metrics,
            traces: RefCell::new(LineBudget::new(TRACES_PER_S)),
            names,
            tasks,
            pool: ConnectionPool::default(),
            stop: StopState::default(),
            freed: Event::new(),
            clock: Clock::default(),
            table: RefCell::default(),
            targets: RefCell::default(),
            targets_known_at: Cell::default(),
            operator: OperatorView::default(),
            hears_ranks: Cell::new(false),
            budgets: RefCell::default(),
            site: RefCell::default(),
            peers: RefCell::default(),
            gateways: Cell::new(1),
            store_answered_at: Cell::default(),
            outages: RefCell::default(),
            groups: RefCell::default(),
            paces: RefCell::default(),
            prompts: RefCell::default(),
            patience: RefCell::default(),
            cold: RefCell::default(),
            refusals: RefCell::default(),
            refusing_lines: RefCell::new(LineBudget::new(REFUSING_LINES_PER_S)),
            entry_lines: RefCell::new(LineBudget::new(ENTRY_LINES_PER_S)),
            quarantine: RefCell::default(),
            answered: RefCell::default(),
            suspects_changed: Event::new(),
            suspects_news: Event::new(),
            suspect_lines: RefCell::new(LineBudget::new(SUSPECT_LINES_PER_S)),
            waiting: WaitQueues::default(),
        };
        gateway.count_gateways();
        gateway.set_evacuation_bound();
        gateway.targets.borrow_mut().set_subset_view(gateway.settings().subset_view());

        gateway
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

        let table = RouteTable::new(site);
        self.waiting.apply_table(&table, self.uses(Mechanism::UrgencyOrder));
        *self.table.borrow_mut() = Rc::new(table);
        *self.site.borrow_mut() = Some(site.clone());
        let services = site.services.iter().map(|service| service.name.clone()).collect();
        self.targets.borrow_mut().set_services(services);
        self.freed.notify(usize::MAX);
        log::info!("configuration in force", kv: { version = site.version, before, from });
        true
    }

    /// Tells whether requests for a service are served by urgency.
    pub fn is_ranked(&self, service: &str) -> bool {
        self.uses(Mechanism::UrgencyOrder) && self.table.borrow().has_urgency_levels(service)
    }

    /// Gets the configuration in force.
    pub fn site(&self) -> Option<Site> {
        self.site.borrow().clone()
    }

    /// Sets the gateways that the store names.
    pub fn set_peers(&self, peers: BTreeSet<SocketAddr>) {
        *self.peers.borrow_mut() = peers;
        self.count_gateways();
    }

    fn count_gateways(&self) {
        self.gateways.set(self.peers().len() + 1);
    }

    /// Gets the number of gateways that are known, this one included.
    pub fn gateways(&self) -> usize {
        self.gateways.get()
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

        self.note_heard();

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
        self.refresh_halls();
        self.targets.borrow().serving(service).cloned()
    }

    /// Tells whether the process can serve requests.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().version() > 0
            && self.targets_known_at.get().is_some()
            && self.operator.knows_halls()
            && !self.stop.is_stopping()
    }

    /// Gets the targets of a service that take work and that this gateway hears the loads of.
    pub fn candidates(&self, service: &str) -> Arc<[Arc<TargetEntry>]> {
        self.refresh_halls();
        self.targets.borrow().candidates(service).cloned().unwrap_or_default()
    }

    /// Notes the first attempt of a request for a service.
    pub fn earn_repeat(&self, service: &str) {
        let now = self.now();

        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one repeat of a service's budget, where there is one left.
    pub fn take_repeat(&self, service: &str) -> bool {
        let now = self.now();

        self.with_budget(service, |budget| budget.try_acquire(now))
    }

    /// Tells whether a request may be sent to another target, and takes the repeat for it.
    pub fn may_send_again(&self, request: &RoutedRequest, tried: &AttemptHistory) -> bool {
        let rule = &request.admitted.rule;
        let now = self.now();
        let refused = if !answer::may_retry(rule.kind, tried.run_state()) {
            Some("may have run")
        } else if tried.targets().len() >= rule.max_targets as usize {
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
            request.trace.add(now, Decision::NotRetried { reason });
        }

        refused.is_none()
    }

    /// Notes how long a target took for an answer or its first event.
    pub fn note_answer_time(&self, service: &str, took: Duration) {
        let mut patience = self.patience.borrow_mut();

        match patience.get_mut(service) {
            Some(patience) => patience.record_answer(took),
            None => {
                let mut first = WaitLimit::new(WaitLimitOptions::default());
                first.record_answer(took);
                patience.insert(service.to_string(), first);
            }
        }
    }

    /// Gets how long a request of a service may wait for a place and still be answered in time.
    pub fn patience(&self, service: &str, objective: Duration) -> Duration {
        if !self.uses(Mechanism::Patience) {
            return WaitLimitOptions::default().min_wait;
        }

        let patience = self.patience.borrow();

        patience.get(service).map_or(objective, |patience| patience.max_wait(objective))
    }

    /// Gets the time that a service's targets usually take for an answer or its first event.
    pub fn usual_answer_time(&self, service: &str) -> Option<Duration> {
        self.patience.borrow().get(service).map(WaitLimit::mean)
    }

    /// Counts how a request ended, and logs its trace if it is of interest.
    pub fn note_end(&self, trace: &Trace, end: Outcome, is_late: bool) {
        let now = self.now();
        self.counters.requests.add(if is_late && end.word() == "served" {
            "served_late"
        } else {
            end.word()
        });

        if !trace.should_log(end, is_late) {
            return;
        }

        if self.traces.borrow_mut().take(now) {
            trace.log(end, now);
        } else {
            self.counters.left_out.add("story");
        }
    }

    /// Tells how many traces were not logged since this was done last.
    pub fn log_left_out(&self) {
        let count = self.traces.borrow_mut().take_left_out();

        if count > 0 {
            log::warn!("requests not logged", kv: { count });
        }
    }

    /// Tells whether a mechanism is in use.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.borrow().uses(mechanism)
    }

    /// Gets the settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Puts new settings in force. What is used only at the start stays as it was.
    pub fn set_settings(&self, settings: GatewaySettings) {
        // Paces are made with the settings' figures. Learning them anew admits too many for some passes.
        if settings.load != self.settings().load || settings.without != self.settings().without {
            self.paces.borrow_mut().clear();
        }

        *self.settings.borrow_mut() = Rc::new(settings);
        self.count_gateways();
        self.set_evacuation_bound();
    }

    /// Notes a target's load.
    pub fn note_load(&self, target: &str, report: LoadReport) {
        let now = self.now();

        self.chooser.borrow_mut().record_report(target, report, now);
        self.freed.notify(usize::MAX);
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut WindowedRetryBudget) -> T) -> T {
        let retry = self.settings().retry;
        let all = WindowedRetryOptions {
            window: Duration::from_secs_f64(retry.window_s),
            ratio: retry.ratio,
            allowance: retry.allowance,
        };
        let own = all.share_of(self.gateways(), retry.gateways);
        let mut budgets = self.budgets.borrow_mut();

        match budgets.get_mut(service) {
            Some(budget) => {
                budget.set_options(own);
                act(budget)
            }
            None => {
                act(budgets.entry(service.to_string()).or_insert(WindowedRetryBudget::new(own)))
            }
        }
    }

    fn note_list_event(&self, event: &ListEvent) {
        match event {
            ListEvent::Listed(entry) => {
                log::info!("target listed", kv: {
                    target = entry.id.as_str(), service = entry.service.as_str(),
                });
                self.chooser.borrow_mut().record_listing(&entry.id, entry.born_ms, entry.slots);
            }
            ListEvent::Restarted(entry) => {
                self.note_ended(&entry.id);
                self.note_restart(entry);
            }
            ListEvent::Unreadable { id, reason } => self.note_unreadable(id, reason),
            ListEvent::Leaving(id) => {
                log::info!("target leaving", kv: { target = id.as_str(), from = "list" });
            }
            ListEvent::AnnouncedLeaving(id) => {
                self.counters.refusing.add("leaves");
                log::info!("target leaving", kv: { target = id.as_str(), from = "target" });
            }
            ListEvent::Lapsed(id) => {
                log::warn!("target lapsed", kv: { target = id.as_str() });
            }
            ListEvent::Removed(id) => {
                log::info!("target gone", kv: { target = id.as_str() });
                self.note_ended(id);
                let targets = &self.targets;
                let keep = |name: &str| targets.try_borrow().is_ok_and(|t| t.get(name).is_some());
                self.chooser.borrow_mut().retain(keep);
                self.limits.retain(keep);
                self.groups.borrow_mut().remove(id);
            }
        }
    }
}
