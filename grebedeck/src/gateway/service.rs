//! State of a gateway, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use grebedeck_core::{GroupId, Moment, ServiceName};
use grebedeck_gateway::targets::ListEvent;
use grebedeck_gateway::{
    ColdLimiter, HeaderNames, Membership, Outage, Pacing, PromptLimiter, Refusals, RouteTable,
    Site, TargetEntry, TargetId, TargetList, WaitLimit, WaitLimitOptions,
};
use grebedeck_kernel::log::LineRateLimiter;
use grebedeck_kernel::{Clock, Metrics, log};
use grebedeck_routing::{Chooser, CrashCooldown, LoadReport, Quarantine};

use super::Tasks;
use super::buffer::SharedMemory;
use super::counters::Counters;
use super::halls::OperatorView;
use super::limits::LimitState;
use super::mechanism::Mechanism;
use super::options::GatewaySettings;
use super::pool::ConnectionPool;
use super::queues::WaitQueues;
use super::quota::QuotaState;
use super::refusing::REFUSAL_LINES_PER_S;
use super::relay::RelayState;
use super::retries::RetryState;
use super::starts::UNREADABLE_LINES_PER_S;
use super::stop::StopState;
use super::suspects::CRASH_LINES_PER_S;
use super::trace::{Outcome, TRACES_PER_S, Trace};

/// State of a gateway.
pub struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Counters and histograms of the process.
    pub counters: Counters,
    trace_lines: RefCell<LineRateLimiter>,
    /// Header names of the platform.
    pub names: HeaderNames,
    /// Executor of the gateway's tasks.
    pub tasks: Tasks,
    /// Idle connections to targets.
    pub pool: ConnectionPool,
    /// Memory for callers' request bodies.
    pub bodies: Rc<SharedMemory>,
    /// Memory for targets' responses.
    pub responses: Rc<SharedMemory>,
    /// Shutdown state, with the connections and requests in progress.
    pub stop: StopState,
    /// Notified whenever a slot on a target may have become free, or the configuration, the targets
    /// or a limit has changed.
    pub slot_freed: Event,
    /// Load and health of the targets.
    pub chooser: RefCell<Chooser>,
    clock: Clock,
    table: RefCell<Rc<RouteTable>>,
    pub(super) targets: RefCell<TargetList>,
    pub(super) targets_known_at: Cell<Option<Moment>>,
    /// State of what operators have written to the store.
    pub(super) operator: OperatorView,
    /// Whether any rank has reported its load yet.
    pub(super) receives_rank_loads: Cell<bool>,
    /// Retry budgets of the services.
    pub(super) retries: RetryState,
    site: RefCell<Option<Arc<Site>>>,
    /// The relay that this gateway follows, and the feeds for gateways that follow it.
    pub(super) relay: RelayState,
    peers: RefCell<BTreeSet<SocketAddr>>,
    /// Number of known gateways, including this one.
    gateway_count: Cell<usize>,
    /// Whether the other gateways know this one.
    membership: Cell<Membership>,
    store_responded_at: Cell<Option<Moment>>,
    pub(super) outages: RefCell<HashMap<ServiceName, Outage>>,
    /// Group of each model rank, as reported by the rank.
    pub(super) groups: RefCell<HashMap<TargetId, GroupId>>,
    pub(super) paces: RefCell<HashMap<ServiceName, Pacing>>,
    pub(super) prompts: RefCell<HashMap<ServiceName, PromptLimiter>>,
    wait_limits: RefCell<HashMap<ServiceName, WaitLimit>>,
    /// Limits on requests to cold targets, and this gateway's share in them.
    pub(super) cold: RefCell<ColdLimiter>,
    /// Targets that refuse requests or have requested a delay.
    pub(super) refusals: RefCell<Refusals>,
    /// Rate limit of log lines about refusing targets.
    pub(super) refusing_lines: RefCell<LineRateLimiter>,
    /// Rate limits announced by targets.
    pub(super) limits: LimitState,
    /// Permits for targets with a rate limit, granted and requested.
    pub(super) quota: QuotaState,
    /// Rate limit of log lines about unreadable entries.
    pub(super) entry_lines: RefCell<LineRateLimiter>,
    /// Quarantined requests, and those under suspicion after a crash.
    pub(super) quarantine: RefCell<Quarantine>,
    /// Recently answered requests of services where one crash stops many requests.
    pub(super) crash_cooldown: RefCell<CrashCooldown>,
    /// Notified when it is decided whether a suspected request may be sent.
    pub(super) suspects_changed: Event,
    /// Notified when there are crash reports to send to other gateways or to the store.
    pub(super) suspect_updates: Event,
    /// Rate limit of log lines about crashed targets.
    pub(super) suspect_lines: RefCell<LineRateLimiter>,
    /// Requests that wait for a slot.
    pub waiting: WaitQueues,
}

impl Gateway {
    /// Creates a gateway without a configuration or targets.
    pub fn new(settings: GatewaySettings, names: HeaderNames, tasks: Tasks) -> Self {
        let metrics = Metrics::default();

        let gateway = Gateway {
            relay: RelayState::new(settings.peer_address),
            limits: LimitState::default(),
            quota: QuotaState::new(settings.ip),
            chooser: RefCell::new(Chooser::new(&settings.hall, settings.chooser_options())),
            bodies: SharedMemory::new(settings.memory_bytes(settings.kept.bodies)),
            responses: SharedMemory::new(settings.memory_bytes(settings.kept.answers)),
            settings: RefCell::new(Rc::new(settings)),
            counters: Counters::new(&metrics),
            metrics,
            trace_lines: RefCell::new(LineRateLimiter::new(TRACES_PER_S)),
            names,
            tasks,
            pool: ConnectionPool::default(),
            stop: StopState::default(),
            slot_freed: Event::new(),
            clock: Clock::default(),
            table: RefCell::default(),
            targets: RefCell::default(),
            targets_known_at: Cell::default(),
            operator: OperatorView::default(),
            receives_rank_loads: Cell::new(false),
            retries: RetryState::default(),
            site: RefCell::default(),
            peers: RefCell::default(),
            gateway_count: Cell::new(1),
            membership: Cell::default(),
            store_responded_at: Cell::default(),
            outages: RefCell::default(),
            groups: RefCell::default(),
            paces: RefCell::default(),
            prompts: RefCell::default(),
            wait_limits: RefCell::default(),
            cold: RefCell::default(),
            refusals: RefCell::default(),
            refusing_lines: RefCell::new(LineRateLimiter::new(REFUSAL_LINES_PER_S)),
            entry_lines: RefCell::new(LineRateLimiter::new(UNREADABLE_LINES_PER_S)),
            quarantine: RefCell::default(),
            crash_cooldown: RefCell::default(),
            suspects_changed: Event::new(),
            suspect_updates: Event::new(),
            suspect_lines: RefCell::new(LineRateLimiter::new(CRASH_LINES_PER_S)),
            waiting: WaitQueues::default(),
        };
        gateway.update_gateway_count();
        gateway.set_evacuation_bound();
        gateway.targets.borrow_mut().set_subset_view(gateway.settings().subset_view());

        gateway
    }

    /// Current time of the process's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Routes in force.
    pub fn table(&self) -> Rc<RouteTable> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it was.
    pub fn apply_site(&self, site: &Arc<Site>, from: &str) -> bool {
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
        self.slot_freed.notify(usize::MAX);
        log::info!("configuration in force", kv: { version = site.version, before, from });
        true
    }

    /// Whether requests for a service are served by urgency.
    pub fn uses_urgency_order(&self, service: &str) -> bool {
        self.uses(Mechanism::UrgencyOrder) && self.table.borrow().has_urgency_levels(service)
    }

    /// Configuration in force.
    pub fn site(&self) -> Option<Arc<Site>> {
        self.site.borrow().clone()
    }

    /// Sets the gateways that the store lists.
    pub fn set_peers(&self, peers: BTreeSet<SocketAddr>) {
        let mut membership = self.membership.get();
        membership.apply_list(peers.contains(&self.settings().peer_address), self.now());
        self.membership.set(membership);
        *self.peers.borrow_mut() = peers;
        self.update_gateway_count();
    }

    fn update_gateway_count(&self) {
        let gateways = self.peers().len() + 1;
        let before = self.gateway_count.replace(gateways);

        if gateways != before {
            log::info!("number of gateways changed", kv: { gateways, before });
        }
    }

    /// Number of known gateways, including this one.
    pub fn gateway_count(&self) -> usize {
        self.gateway_count.get()
    }

    /// Whether an earlier start of this gateway may have sent requests since `period` ago.
    pub fn may_have_earlier_start(&self, period: Duration) -> bool {
        // The clock starts with the process.
        !self.membership.get().is_new() && self.now() < period
    }

    /// Whether this gateway has a share in a sum that is divided among all gateways, or among
    /// `least` where there are fewer: it knows how many there are, and the others count it too.
    pub fn has_share(&self, least: f64) -> bool {
        let membership = self.membership.get();
        let is_counted = self.gateway_count() as f64 <= least || membership.is_known(self.now());

        membership.has_list() && is_counted
    }

    /// Addresses of the other known gateways: those that the store lists and the seed peers.
    pub fn peers(&self) -> BTreeSet<SocketAddr> {
        let settings = self.settings();
        let mut peers = self.peers.borrow().clone();
        peers.extend(&settings.seed_peers);
        peers.remove(&settings.peer_address);

        peers
    }

    /// Records that the store has responded.
    pub fn record_store_response(&self) {
        self.store_responded_at.set(Some(self.now()));
    }

    /// Records a failed call to the store.
    pub fn record_store_failure(&self) {
        self.store_responded_at.set(None);
    }

    /// Whether the store is unavailable: the last call failed, or it has been silent for too long.
    pub fn is_store_unavailable(&self, silence: Duration) -> bool {
        self.store_responded_at.get().is_none_or(|at| self.now() >= at + silence)
    }

    /// Updates the list of targets and handles the events that result.
    pub fn update_targets(&self, change: impl FnOnce(&mut TargetList, Moment) -> Vec<ListEvent>) {
        let now = self.now();
        let events = change(&mut self.targets.borrow_mut(), now);

        for event in &events {
            self.handle_list_event(event);
        }

        self.record_updated_entries();

        if !events.is_empty() {
            self.slot_freed.notify(usize::MAX);
        }
    }

    /// Records that the whole list of targets has been read.
    pub fn record_targets_known(&self) {
        if self.targets_known_at.get().is_none() {
            self.targets_known_at.set(Some(self.now()));
        }
    }

    /// Removes targets that have been missing from the list for too long, and applies the changes
    /// that are due in evacuated halls.
    pub fn remove_lapsed_targets(&self) {
        self.update_targets(TargetList::tick);
    }

    /// Reads from the list of targets.
    pub fn with_targets<T>(&self, read: impl FnOnce(&TargetList) -> T) -> T {
        read(&self.targets.borrow())
    }

    /// Targets of a service that accept new work.
    pub fn serving(&self, service: &str) -> Option<Arc<[Arc<TargetEntry>]>> {
        self.refresh_if_stale();
        self.targets.borrow().serving(service).cloned()
    }

    /// Whether the process can serve requests.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().version() > 0
            && self.targets_known_at.get().is_some()
            && self.operator.has_hall_statuses()
            && !self.stop.is_stopping()
    }

    /// Targets of a service that accept new work and are in this gateway's subset.
    pub fn candidates(&self, service: &str) -> Arc<[Arc<TargetEntry>]> {
        self.refresh_if_stale();
        self.targets.borrow().candidates(service).cloned().unwrap_or_default()
    }

    /// Records how long a target took until its response, or a stream's first event.
    pub fn record_response_time(&self, service: &str, took: Duration) {
        let mut limits = self.wait_limits.borrow_mut();

        match limits.get_mut(service) {
            Some(limit) => limit.record_answer(took),
            None => {
                let mut first = WaitLimit::new(WaitLimitOptions::default());
                first.record_answer(took);
                limits.insert(service.to_string(), first);
            }
        }
    }

    /// How long a request of a service may wait for a slot and still meet its latency objective.
    pub fn max_slot_wait(&self, service: &str, objective: Duration) -> Duration {
        if !self.uses(Mechanism::Patience) {
            return WaitLimitOptions::default().min_wait;
        }

        let limits = self.wait_limits.borrow();

        limits.get(service).map_or(objective, |limit| limit.max_wait(objective))
    }

    /// Mean time that a service's targets take until a response, or a stream's first event.
    pub fn usual_response_time(&self, service: &str) -> Option<Duration> {
        self.wait_limits.borrow().get(service).map(WaitLimit::mean)
    }

    /// Counts how a request ended, and logs its trace if it is of interest and the budget allows.
    pub fn record_end(&self, trace: &Trace, outcome: Outcome, is_late: bool) {
        let now = self.now();
        self.counters.requests.add(if is_late && outcome.word() == "served" {
            "served_late"
        } else {
            outcome.word()
        });

        if !trace.should_log(outcome, is_late) {
            return;
        }

        if self.trace_lines.borrow_mut().try_acquire(now) {
            trace.log(outcome, now);
        } else {
            self.counters.suppressed_lines.add("story");
        }
    }

    /// Logs how many traces were suppressed since the last call.
    pub fn log_suppressed_traces(&self) {
        let count = self.trace_lines.borrow_mut().take_suppressed();

        if count > 0 {
            log::warn!("request traces suppressed", kv: { count });
        }
    }

    /// Whether a mechanism is enabled.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.borrow().uses(mechanism)
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Applies new settings. Those that are used only at startup keep their effect until a restart.
    pub fn set_settings(&self, settings: GatewaySettings) {
        // The load limits are created from these settings. They are discarded only if those have
        // changed, because relearning a limit admits too many requests for some passes.
        if settings.load != self.settings().load || settings.without != self.settings().without {
            self.paces.borrow_mut().clear();
        }

        *self.settings.borrow_mut() = Rc::new(settings);
        self.update_gateway_count();
        self.set_evacuation_bound();
    }

    /// Records a target's load report.
    pub fn record_load(&self, target: &str, report: LoadReport) {
        let now = self.now();

        self.chooser.borrow_mut().record_report(target, report, now);
        self.slot_freed.notify(usize::MAX);
    }

    fn handle_list_event(&self, event: &ListEvent) {
        match event {
            ListEvent::Listed(entry) => {
                log::info!("target listed", kv: {
                    target = entry.id.as_str(), service = entry.service.as_str(),
                });
                self.chooser.borrow_mut().record_listing(&entry.id, entry.born_ms, entry.slots);
            }
            ListEvent::Restarted(entry) => {
                self.record_target_ended(&entry.id);
                self.record_restart(entry);
            }
            ListEvent::Unreadable { id, reason } => self.record_unreadable_entry(id, reason),
            ListEvent::Leaving(id) => {
                log::info!("target leaving", kv: { target = id.as_str(), from = "list" });
            }
            ListEvent::AnnouncedLeaving(id) => {
                self.counters.refusing.add("leaves");
                log::info!("target leaving", kv: { target = id.as_str(), from = "target" });
            }
            ListEvent::Lapsed(id) => {
                let due_at = self.with_targets(|targets| targets.removal_due_at(id));
                let kept = due_at.unwrap_or_default().saturating_sub(self.now());
                log::warn!("target missing from list", kv: {
                    target = id.as_str(), kept_ms = kept.as_millis() as u64,
                });
            }
            ListEvent::Removed(id) => {
                log::info!("target removed", kv: { target = id.as_str() });
                self.record_target_ended(id);
                let targets = &self.targets;
                let keep = |name: &str| targets.try_borrow().is_ok_and(|t| t.get(name).is_some());
                self.chooser.borrow_mut().retain(keep);
                self.limits.retain(keep);
                self.groups.borrow_mut().remove(id);
            }
        }
    }
}
