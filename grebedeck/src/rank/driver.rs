//! The loop of a rank process: it reads the engine, passes messages, orders and results between the
//! node and the outside, and starts the leader's planning.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use async_std::net::UdpSocket;
use futures::{FutureExt, StreamExt};
use grebedeck_core::{Moment, Result};
use grebedeck_experts::balancer::CountTracker;
use grebedeck_experts::rollout::{Action, Message, Node, NodeOptions, RankEvent};
use grebedeck_experts::{RankEngine, RankReport};
use grebedeck_gateway::{SiteStore, TargetEntry, TargetListing};
use grebedeck_kernel::{Clock, Metrics, log};
use serde_json::{Value, json};

use super::balance::GroupBalancer;
use super::calls::CallResult;
use super::counters::Counters;
use super::dependency::Dependency;
use super::diagnostics;
use super::message::{Body, Datagram, DatagramReader, MAX_DATAGRAM_BYTES, RankLoad};
use super::obstacle::ObstacleTracker;
use super::options::{
    BUSY_POLL, FORMING_POLL, IDLE_POLL, RankSettings, STOP_TIMEOUT, STORE_READ_PAUSE,
    WATCH_DURATION, load_period,
};
use crate::process;
use crate::settings::millis;

/// Maximum number of datagrams handled in one turn of the loop: some milliseconds of work.
const MAX_DATAGRAM_BATCH: usize = 64;
/// Capacity of the queue of call results.
const MAX_PENDING_RESULTS: usize = 256;

/// When a periodic call is due; at most one call of a kind is in progress.
#[derive(Clone, Copy, Debug)]
pub(super) enum Due {
    At(Moment),
    InProgress,
}

impl Due {
    fn is_due(self, now: Moment) -> bool {
        matches!(self, Due::At(at) if now >= at)
    }
}

/// The services that the process calls.
pub(super) struct Dependencies {
    pub(super) engine: Dependency,
    pub(super) counts: Dependency,
    pub(super) targets: Dependency,
    pub(super) site: Dependency,
}

impl Default for Dependencies {
    fn default() -> Self {
        Dependencies {
            engine: Dependency::new("engine"),
            counts: Dependency::new("counts of chosen experts"),
            targets: Dependency::new("list of targets"),
            site: Dependency::new("configuration"),
        }
    }
}

/// The state of a rank process.
pub struct Driver<S, E> {
    pub(super) tasks: Rc<LocalExecutor<'static>>,
    pub(super) settings: RankSettings,
    pub(super) store: S,
    pub(super) engine: E,
    pub(super) clock: Clock,
    pub(super) socket: UdpSocket,
    pub(super) node: Node<SocketAddr>,
    pub(super) balance: GroupBalancer,
    pub(super) count_tracker: CountTracker,
    pub(super) reader: DatagramReader,
    pub(super) call_results: (Sender<CallResult>, Receiver<CallResult>),
    /// Latest time to stop, once a stop signal was received.
    pub(super) stop_deadline: Option<Moment>,
    pub(super) report_due: Due,
    pub(super) counts_due: Due,
    pub(super) list_due: Due,
    pub(super) site_due: Due,
    pub(super) next_plan_at: Moment,
    pub(super) next_load_at: Moment,
    /// Gateways that requested the load, and when they last did.
    pub(super) watchers: BTreeMap<SocketAddr, Moment>,
    pub(super) obstacles: ObstacleTracker,
    pub(super) dependencies: Dependencies,
    pub(super) counters: Counters,
    /// Number of unreadable entries in the last target list.
    unreadable_entries: usize,
    pub(super) state: Rc<RefCell<Value>>,
}

impl<S: SiteStore, E: RankEngine> Driver<S, E> {
    /// Binds the datagram socket and starts the pages.
    pub async fn try_new(
        tasks: Rc<LocalExecutor<'static>>,
        mut settings: RankSettings,
        store: S,
        engine: E,
    ) -> anyhow::Result<Self> {
        let clock = Clock::default();
        let now = clock.now();
        let socket = UdpSocket::bind((settings.ip, settings.group_port)).await?;
        let incarnation = rand::random();
        let mut node = Node::new(settings.target_address, incarnation, now, NodeOptions::default());
        node.await_peers();
        let metrics = Metrics::default();
        let counters = Counters::new(&metrics);
        let state: Rc<RefCell<Value>> = Rc::default();
        let listener = process::bind(&mut settings.metrics_address).await?;
        tasks
            .spawn(diagnostics::serve_pages(tasks.clone(), listener, metrics, state.clone()))
            .detach();
        let balance = GroupBalancer::new(settings.balance, &settings.service);

        Ok(Driver {
            tasks,
            settings,
            store,
            engine,
            clock,
            socket,
            node,
            balance,
            count_tracker: CountTracker::default(),
            reader: DatagramReader::default(),
            call_results: async_channel::bounded(MAX_PENDING_RESULTS),
            stop_deadline: None,
            report_due: Due::At(now),
            counts_due: Due::At(now),
            list_due: Due::At(now),
            site_due: Due::At(now),
            next_plan_at: now,
            next_load_at: now,
            watchers: BTreeMap::new(),
            obstacles: ObstacleTracker::default(),
            dependencies: Dependencies::default(),
            counters,
            unreadable_entries: 0,
            state,
        })
    }

    /// Runs until a stop signal is received and the plan in progress has ended.
    pub async fn run(mut self) -> anyhow::Result<()> {
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];

        loop {
            let poll_timeout = self.poll_timeout();
            let call_results = self.call_results.1.clone();

            futures::select! {
                signal = signals.next().fuse() => {
                    if !matches!(signal, Some(Ok(Signal::Hup)) | None)
                        && self.stop_deadline.is_none()
                    {
                        log::info!("stopping", kv: { busy = self.node.is_busy() });
                        self.stop_deadline = Some(self.clock.now() + STOP_TIMEOUT);
                    }
                }
                received = self.socket.recv_from(&mut buffer).fuse() => {
                    if let Ok((length, _)) = received {
                        self.handle_datagram(&buffer[..length]).await;
                        self.handle_pending_datagrams(&mut buffer).await;
                    }
                }
                result = call_results.recv().fuse() => {
                    if let Ok(result) = result {
                        self.handle_call_result(result).await;
                    }
                }
                _ = async_std::task::sleep(poll_timeout).fuse() => {}
            }

            self.tick().await;

            let now = self.clock.now();

            if self.stop_deadline.is_some_and(|deadline| !self.node.is_busy() || now >= deadline) {
                let actions = self.node.resign(now);
                self.execute(actions).await;
                log::info!("stopped");
                return Ok(());
            }
        }
    }

    /// Interval until the next read of the engine's report.
    fn report_period(&self) -> Duration {
        let is_open = self.node.report().is_none_or(|report| report.is_open);

        match (self.node.is_busy(), is_open) {
            (true, _) => BUSY_POLL,
            (false, false) => FORMING_POLL,
            (false, true) => IDLE_POLL,
        }
    }

    fn poll_timeout(&self) -> Duration {
        if self.node.is_busy() { BUSY_POLL } else { BUSY_POLL * 2 }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        let actions = self.node.tick(now);
        self.execute(actions).await;

        if self.report_due.is_due(now) {
            self.report_due = Due::InProgress;
            self.call_engine(|engine| async move { CallResult::Report(engine.report().await) });
        }

        if self.counts_due.is_due(now) {
            self.counts_due = Due::InProgress;
            self.call_engine(|engine| async move { CallResult::Counts(engine.counts().await) });
        }

        if self.list_due.is_due(now) && self.node.needs_peers(now) {
            self.list_due = Due::InProgress;
            self.call_store(|store| async move {
                CallResult::Targets(store.read_targets().await.map(|snapshot| snapshot.value))
            });
        }

        let may_plan = self.node.is_leading() || self.node.is_early_candidate();

        if self.site_due.is_due(now)
            && may_plan
            && self.node.may_lead_soon(now)
            && !self.balance.has_engine_spec()
        {
            self.site_due = Due::InProgress;
            self.call_store(|store| async move {
                let read = store.read_operator().await;
                CallResult::Site(read.and_then(|snapshot| snapshot.value.into_site()))
            });
        }

        self.publish_state();

        if now >= self.next_plan_at {
            self.next_plan_at = now + millis(self.settings.balance.plan_ms);
            self.plan(now).await;
        }
    }

    /// Updates the state that `/dump` shows.
    fn publish_state(&self) {
        let report = self.node.report();
        let placement = report.map(|r| (r.placement, r.prepared, r.armed, r.held));

        *self.state.borrow_mut() = json!({
            "name": self.settings.name,
            "engine_lost": self.dependencies.engine.is_failing(),
            "no_plan": self.obstacles.reported(),
            "leading": self.node.is_leading(),
            "leader": self.node.leader(),
            "busy": self.node.is_busy(),
            "rank": report.map(|r| r.rank),
            "epoch": report.map(|r| r.epoch),
            "open": report.map(|r| r.is_open),
            "pass": report.map(|r| r.pass),
            "placement": placement,
            "gateways": self.watchers.len(),
        });
    }

    /// Handles the datagrams that have already arrived, so that the work after each turn is done
    /// once for all of them. The leader of 192 ranks receives a thousand per second and uses 0.15
    /// of a core.
    async fn handle_pending_datagrams(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAM_BATCH {
            match self.socket.recv_from(buffer).now_or_never() {
                Some(Ok((length, _))) => self.handle_datagram(&buffer[..length]).await,
                _ => return,
            }
        }
    }

    async fn handle_datagram(&mut self, bytes: &[u8]) {
        let Some(datagram) = self.reader.read(bytes, self.clock.now()) else {
            self.counters.datagrams.add("not_understood");
            return;
        };

        if !datagram.is_for_group(self.group()) {
            self.counters.datagrams.add("of_other_groups");
            self.on_foreign_datagram(&datagram).await;
            return;
        }

        match datagram.body {
            Body::Rollout(message) => {
                let now = self.clock.now();
                let actions = self.node.on_message(datagram.from, message, now);
                self.execute(actions).await;
            }
            Body::Watch => {
                self.watchers.insert(datagram.from, self.clock.now());
            }
            // Addressed to gateways, or handled above as a datagram of another group.
            Body::Load(_) | Body::Suspects(_) | Body::Elsewhere | Body::Quota(_) => {}
            Body::Counts(report) => {
                let is_same_epoch = self.node.report().is_some_and(|r| r.epoch == report.epoch);
                // Each start of an engine counts anew, so counts of an earlier one are ignored.
                let is_current =
                    is_same_epoch && !self.node.is_of_other_start(report.rank, report.born_ms);

                if is_current && self.node.is_leading() {
                    self.balance.record_counts(&report);
                }
            }
        }
    }

    /// Records that the sender belongs to another group, and replies so if it claims to lead this
    /// node.
    async fn on_foreign_datagram(&mut self, datagram: &Datagram) {
        if self.group().is_none() {
            return;
        }

        self.node.mark_foreign(datagram.from, self.clock.now());

        if let Body::Rollout(Message::Lead { .. }) = datagram.body {
            self.send(datagram.from, Body::Elsewhere).await;
        }
    }

    async fn handle_call_result(&mut self, result: CallResult) {
        let now = self.clock.now();

        match result {
            CallResult::Report(report) => {
                self.report_due = Due::At(now + self.report_period());
                self.dependencies.engine.record(&report);

                if let Ok(report) = report {
                    self.store_initial_placement(report.size);
                    self.publish_load(&report, now).await;
                    let actions = self.node.on_report(report, now);
                    self.execute(actions).await;
                }
            }
            CallResult::RequestedReport(report) => {
                if let Ok(report) = report {
                    let actions = self.node.on_report(report, now);
                    self.execute(actions).await;
                }
            }
            CallResult::Counts(counts) => {
                self.counts_due = Due::At(now + self.count_period());

                self.dependencies.counts.record(&counts);

                if let Ok(counts) = counts {
                    self.report_counts(counts).await;
                }
            }
            CallResult::Part(rank, part) => match part {
                Ok((placement_no, part)) => self.node.on_part(rank, placement_no, part),
                Err(error) if self.node.report().is_some_and(|own| own.rank == rank) => {
                    log::warn!("own experts not read", kv: { error = error.to_string() });
                }
                Err(error) => {
                    log::warn!("experts not read", kv: { rank, error = error.to_string() });
                }
            },
            CallResult::OrderDone { rank, order, outcome } => {
                self.counters.record_order(outcome);
                self.node.on_order_outcome(rank, &order, outcome);
                // The effect of the order shows in the engine's next report.
                self.report_due = match self.report_due {
                    Due::At(_) => Due::At(now),
                    Due::InProgress => Due::InProgress,
                };
            }
            CallResult::Targets(targets) => {
                self.list_due = Due::At(now + STORE_READ_PAUSE);
                self.apply_target_list(targets);
            }
            CallResult::Site(site) => {
                self.site_due = Due::At(now + STORE_READ_PAUSE);

                self.dependencies.site.record(&site);

                if let Ok(Some(site)) = site {
                    self.balance.apply_site(&site);
                }
            }
        }
    }

    /// Sends the engine's load to the gateways that requested it recently.
    async fn publish_load(&mut self, report: &RankReport, now: Moment) {
        if now < self.next_load_at {
            return;
        }

        self.next_load_at = now + load_period(report.size);
        self.watchers.retain(|_, requested_at| now < *requested_at + WATCH_DURATION);
        let load = RankLoad {
            group: report.group,
            running: report.running,
            waiting: report.waiting,
            epoch: report.epoch,
            is_open: report.is_open,
            slowdown: report.pace,
            born_ms: report.born_ms,
        };
        let watchers: Vec<SocketAddr> = self.watchers.keys().copied().collect();

        for watcher in watchers {
            self.send(watcher, Body::Load(load)).await;
        }
    }

    fn apply_target_list(&mut self, listing: Result<TargetListing>) {
        self.dependencies.targets.record(&listing);
        let Ok(TargetListing { targets, unreadable }) = listing else {
            return;
        };

        if unreadable.len() != self.unreadable_entries {
            self.unreadable_entries = unreadable.len();
            let first = unreadable.first().map_or("", |(_, _, reason)| reason.as_str());
            log::warn!("unreadable entries in target list", kv: {
                count = unreadable.len(), first,
            });
        }

        let own = self.settings.target_address;
        let is_other = |t: &TargetEntry| t.service == self.settings.service && t.address != own;
        let entries = targets.into_iter().map(|listed| listed.entry);
        let others: BTreeSet<SocketAddr> = entries.filter(is_other).map(|t| t.address).collect();

        self.node.set_peers(others);
    }

    pub(super) async fn execute(&mut self, actions: Vec<Action<SocketAddr>>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, Body::Rollout(message)).await,
                Action::Order { rank, order } => self.send_order(rank, order),
                Action::ReadReport { rank } => self.read_report(rank),
                Action::ReadPart { rank } => self.read_part(rank),
                Action::Event(event) => {
                    if matches!(event, RankEvent::EpochChanged(_)) {
                        self.balance.reset();
                    }

                    self.counters.record_event(&event);
                    diagnostics::log_event(event);
                }
            }
        }
    }
}
