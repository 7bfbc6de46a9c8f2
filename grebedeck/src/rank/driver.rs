//! Drives a node: reads its engine, carries messages and orders, and has the leader plan.

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

use super::balance::Balance;
use super::calls::Outcome;
use super::counters::Counters;
use super::dependency::Dependency;
use super::message::{Body, Datagram, DatagramReader, MAX_DATAGRAM_BYTES, RankLoad};
use super::obstacle::ObstacleWatch;
use super::options::{
    BUSY_POLL, IDLE_POLL, LIST_PAUSE, OPENING_POLL, RankSettings, STOP_LIMIT, WATCH_LIFETIME,
    load_period,
};
use super::show;
use crate::process;
use crate::settings::millis;

/// Datagrams that are taken in before what is due is done: some milliseconds' worth of work.
const MAX_AT_ONCE: usize = 64;
/// Outcomes of calls that may wait to be taken in.
const OUTCOMES_WAITING: usize = 256;

/// When something is to be done next, so that at most one call of a kind is under way.
#[derive(Clone, Copy, Debug)]
pub(super) enum Due {
    At(Moment),
    UnderWay,
}

impl Due {
    fn is_now(self, now: Moment) -> bool {
        matches!(self, Due::At(at) if now >= at)
    }
}

/// What the process calls.
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

/// A rank process.
pub struct Driver<S, E> {
    pub(super) tasks: Rc<LocalExecutor<'static>>,
    pub(super) settings: RankSettings,
    pub(super) store: S,
    pub(super) engine: E,
    pub(super) clock: Clock,
    pub(super) socket: UdpSocket,
    pub(super) node: Node<SocketAddr>,
    pub(super) balance: Balance,
    pub(super) count_tracker: CountTracker,
    pub(super) reader: DatagramReader,
    pub(super) outcomes: (Sender<Outcome>, Receiver<Outcome>),
    /// When the process stops at the latest, once it was told to.
    pub(super) stop_by: Option<Moment>,
    pub(super) report_due: Due,
    pub(super) counts_due: Due,
    pub(super) list_due: Due,
    pub(super) site_due: Due,
    pub(super) plan_at: Moment,
    pub(super) load_at: Moment,
    pub(super) watchers: BTreeMap<SocketAddr, Moment>,
    pub(super) obstacles: ObstacleWatch,
    pub(super) lost: Dependencies,
    pub(super) counters: Counters,
    /// Entries of the list that could not be read last time.
    unreadable_entries: usize,
    pub(super) state: Rc<RefCell<Value>>,
}

impl<S: SiteStore, E: RankEngine> Driver<S, E> {
    /// Listens for datagrams.
    pub async fn try_new(
        tasks: Rc<LocalExecutor<'static>>,
        mut settings: RankSettings,
        store: S,
        engine: E,
    ) -> anyhow::Result<Self> {
        let clock = Clock::default();
        let now = clock.now();
        let socket = UdpSocket::bind((settings.ip, settings.group_port)).await?;
        let life = rand::random();
        let mut node = Node::new(settings.target_address, life, now, NodeOptions::default());
        node.await_peers();
        let metrics = Metrics::default();
        let counters = Counters::new(&metrics);
        let state: Rc<RefCell<Value>> = Rc::default();
        let listener = process::bind(&mut settings.metrics_address).await?;
        tasks.spawn(show::serve_pages(tasks.clone(), listener, metrics, state.clone())).detach();
        let balance = Balance::new(settings.balance, &settings.service);

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
            outcomes: async_channel::bounded(OUTCOMES_WAITING),
            stop_by: None,
            report_due: Due::At(now),
            counts_due: Due::At(now),
            list_due: Due::At(now),
            site_due: Due::At(now),
            plan_at: now,
            load_at: now,
            watchers: BTreeMap::new(),
            obstacles: ObstacleWatch::default(),
            lost: Dependencies::default(),
            counters,
            unreadable_entries: 0,
            state,
        })
    }

    /// Runs until the process is told to stop, and a plan that is under way has ended.
    pub async fn run(mut self) -> anyhow::Result<()> {
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];

        loop {
            let wait = self.wait();
            let outcomes = self.outcomes.1.clone();

            futures::select! {
                signal = signals.next().fuse() => {
                    if !matches!(signal, Some(Ok(Signal::Hup)) | None) && self.stop_by.is_none() {
                        log::info!("stopping", kv: { busy = self.node.is_busy() });
                        self.stop_by = Some(self.clock.now() + STOP_LIMIT);
                    }
                }
                received = self.socket.recv_from(&mut buffer).fuse() => {
                    if let Ok((length, _)) = received {
                        self.take_datagram(&buffer[..length]).await;
                        self.take_waiting(&mut buffer).await;
                    }
                }
                outcome = outcomes.recv().fuse() => {
                    if let Ok(outcome) = outcome {
                        self.take_outcome(outcome).await;
                    }
                }
                _ = async_std::task::sleep(wait).fuse() => {}
            }

            self.tick().await;

            let now = self.clock.now();

            if self.stop_by.is_some_and(|by| !self.node.is_busy() || now >= by) {
                let actions = self.node.resign(now);
                self.carry_out(actions).await;
                log::info!("stopped");
                return Ok(());
            }
        }
    }

    /// Gets how soon the engine is read again.
    fn report_period(&self) -> Duration {
        let is_open = self.node.report().is_none_or(|report| report.is_open);

        match (self.node.is_busy(), is_open) {
            (true, _) => BUSY_POLL,
            (false, false) => OPENING_POLL,
            (false, true) => IDLE_POLL,
        }
    }

    fn wait(&self) -> Duration {
        if self.node.is_busy() { BUSY_POLL } else { BUSY_POLL * 2 }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        let actions = self.node.tick(now);
        self.carry_out(actions).await;

        if self.report_due.is_now(now) {
            self.report_due = Due::UnderWay;
            self.call(|engine| async move { Outcome::Report(engine.report().await) });
        }

        if self.counts_due.is_now(now) {
            self.counts_due = Due::UnderWay;
            self.call(|engine| async move { Outcome::Counts(engine.counts().await) });
        }

        if self.list_due.is_now(now) && self.node.needs_peers(now) {
            self.list_due = Due::UnderWay;
            self.ask_store(|store| async move {
                Outcome::Listed(store.read_targets().await.map(|snapshot| snapshot.value))
            });
        }

        let may_plan = self.node.is_leading() || self.node.is_early_candidate();

        if self.site_due.is_now(now)
            && may_plan
            && self.node.may_lead_soon(now)
            && !self.balance.knows_engine()
        {
            self.site_due = Due::UnderWay;
            self.ask_store(|store| async move {
                let read = store.read_operator().await;
                Outcome::Site(read.and_then(|snapshot| snapshot.value.into_site()))
            });
        }

        self.show_state();

        if now >= self.plan_at {
            self.plan_at = now + millis(self.settings.balance.plan_ms);
            self.plan(now).await;
        }
    }

    /// Puts the node's state where the page shows it.
    fn show_state(&self) {
        let report = self.node.report();
        let placement = report.map(|r| (r.placement, r.prepared, r.armed, r.held));

        *self.state.borrow_mut() = json!({
            "name": self.settings.name,
            "engine_lost": self.lost.engine.is_lost(),
            "no_plan": self.obstacles.told(),
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

    /// Takes in the datagrams that have come already: what is due after each of them is done once for all. A leader
    /// of 192 ranks gets a thousand in a second, on 0.15 of a core.
    async fn take_waiting(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_AT_ONCE {
            match self.socket.recv_from(buffer).now_or_never() {
                Some(Ok((length, _))) => self.take_datagram(&buffer[..length]).await,
                _ => return,
            }
        }
    }

    async fn take_datagram(&mut self, bytes: &[u8]) {
        let Some(datagram) = self.reader.read(bytes, self.clock.now()) else {
            self.counters.datagrams.add("not_understood");
            return;
        };

        if !datagram.concerns(self.group()) {
            self.counters.datagrams.add("of_other_groups");
            self.on_foreign_datagram(&datagram).await;
            return;
        }

        match datagram.body {
            Body::Rollout(message) => {
                let now = self.clock.now();
                let actions = self.node.on_message(datagram.from, message, now);
                self.carry_out(actions).await;
            }
            Body::Watch => {
                self.watchers.insert(datagram.from, self.clock.now());
            }
            // For gateways.
            Body::Load(_) | Body::Suspects(_) | Body::Elsewhere | Body::Quota(_) => {}
            Body::Counts(report) => {
                let is_same_formation = self.node.report().is_some_and(|r| r.epoch == report.epoch);
                // What an earlier start of an engine counted is no part of what the next one counts.
                let is_current =
                    is_same_formation && !self.node.is_of_other_start(report.rank, report.born_ms);

                if is_current && self.node.is_leading() {
                    self.balance.count(&report);
                }
            }
        }
    }

    /// Notes that the sender is of another group, and tells it so where it wants to lead this node.
    async fn on_foreign_datagram(&mut self, datagram: &Datagram) {
        if self.group().is_none() {
            return;
        }

        self.node.mark_foreign(datagram.from, self.clock.now());

        if let Body::Rollout(Message::Lead { .. }) = datagram.body {
            self.send(datagram.from, Body::Elsewhere).await;
        }
    }

    async fn take_outcome(&mut self, outcome: Outcome) {
        let now = self.clock.now();

        match outcome {
            Outcome::Report(report) => {
                self.report_due = Due::At(now + self.report_period());
                self.lost.engine.note(&report);

                if let Ok(report) = report {
                    self.keep_first_placement(report.size);
                    self.tell_load(&report, now).await;
                    let actions = self.node.on_report(report, now);
                    self.carry_out(actions).await;
                }
            }
            Outcome::Asked(report) => {
                if let Ok(report) = report {
                    let actions = self.node.on_report(report, now);
                    self.carry_out(actions).await;
                }
            }
            Outcome::Counts(counts) => {
                self.counts_due = Due::At(now + self.count_period());

                self.lost.counts.note(&counts);

                if let Ok(counts) = counts {
                    self.report_counts(counts).await;
                }
            }
            Outcome::Part(part) => match part {
                Ok((placement_no, part)) => self.node.on_own_part(placement_no, part),
                Err(error) => {
                    log::warn!("experts not read", kv: { error = error.to_string() });
                }
            },
            Outcome::Ordered { rank, order, end } => {
                self.counters.note_order(end);
                self.node.on_order_outcome(rank, &order, end);
                // What the order changed shows in the engine's own words.
                self.report_due = match self.report_due {
                    Due::At(_) => Due::At(now),
                    Due::UnderWay => Due::UnderWay,
                };
            }
            Outcome::Listed(targets) => {
                self.list_due = Due::At(now + LIST_PAUSE);
                self.note_list(targets);
            }
            Outcome::Site(site) => {
                self.site_due = Due::At(now + LIST_PAUSE);

                self.lost.site.note(&site);

                if let Ok(Some(site)) = site {
                    self.balance.take_site(&site);
                }
            }
        }
    }

    /// Tells the engine's load to the gateways that asked for it lately.
    async fn tell_load(&mut self, report: &RankReport, now: Moment) {
        if now < self.load_at {
            return;
        }

        self.load_at = now + load_period(report.size);
        self.watchers.retain(|_, asked_at| now < *asked_at + WATCH_LIFETIME);
        let load = RankLoad {
            group: report.group,
            running: report.running,
            waiting: report.waiting,
            formation: report.epoch,
            is_open: report.is_open,
            slowdown: report.pace,
            born_ms: report.born_ms,
        };
        let watchers: Vec<SocketAddr> = self.watchers.keys().copied().collect();

        for watcher in watchers {
            self.send(watcher, Body::Load(load)).await;
        }
    }

    fn note_list(&mut self, listing: Result<TargetListing>) {
        self.lost.targets.note(&listing);
        let Ok(TargetListing { targets, unreadable }) = listing else {
            return;
        };

        if unreadable.len() != self.unreadable_entries {
            self.unreadable_entries = unreadable.len();
            let first = unreadable.first().map_or("", |(_, _, reason)| reason.as_str());
            log::warn!("entries not readable", kv: { count = unreadable.len(), first });
        }

        let own = self.settings.target_address;
        let is_other = |t: &TargetEntry| t.service == self.settings.service && t.address != own;
        let entries = targets.into_iter().map(|listed| listed.entry);
        let others: BTreeSet<SocketAddr> = entries.filter(is_other).map(|t| t.address).collect();

        self.node.set_peers(others);
    }

    pub(super) async fn carry_out(&mut self, actions: Vec<Action<SocketAddr>>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, Body::Rollout(message)).await,
                Action::Order { rank, order } => self.order(rank, order),
                Action::ReadReport { rank } => self.ask(rank),
                Action::ReadPart => {
                    self.call(|engine| async move { Outcome::Part(engine.part().await) });
                }
                Action::Event(note) => {
                    if matches!(note, RankEvent::EpochChanged(_)) {
                        self.balance.restart();
                    }

                    self.counters.note(&note);
                    show::log_note(note);
                }
            }
        }
    }
}
