//! Limits that targets name for the requests of all gateways together: what is heard of them, and the exchange with those
//! who give out permits.
//!
//! While some limit is known and its service has requests, each coordinator of such targets is asked once in a period for all
//! of them. Nothing is sent otherwise.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task::sleep;
use event_listener::Event;
use grebedeck_core::{Moment, RandomSource, ServiceName};
use grebedeck_gateway::coordinator::{GatewayAddress, PARTITIONS, partition_of};
use grebedeck_gateway::limit::{LimitChange, named_limit};
use grebedeck_gateway::quota::{Demand, PERMIT_LIFETIME, QuotaDemand, QuotaGrant};
use grebedeck_gateway::{
    Coordinators, Limits, Permit, QuotaLedger, QuotaMessage, TargetEntry, Verdict,
};
use grebedeck_http::ResponseHead;
use grebedeck_kernel::log;
use grebedeck_kernel::log::LineBudget;
use serde_json::json;

use super::place::NoPlace;
use super::service::Gateway;
use crate::random::ProcessRandom;
use crate::rank::message::{Body, Datagram};

/// Time between two asks. Permits outlast it, and whoever waits for one is still in time after it.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(400);
/// Part of that by which it differs, so that gateways that begin together do not go on together.
const EXCHANGE_SPREAD: f64 = 0.1;
/// Lines a second on limits of targets: each of some tens of targets begins and ends one, and a target that changes its
/// limit with each answer would write a line for each.
const LIMIT_LINES_PER_S: f64 = 20.0;
/// Longest time after which a caller is told to come back for a permit.
const MAX_LIMITED_WAIT: Duration = Duration::from_secs(60);

/// What a gateway knows of limits, and its part in giving out permits.
pub struct LimitState {
    limits: RefCell<Limits>,
    ledger: RefCell<QuotaLedger>,
    coordinators: RefCell<Coordinators>,
    demand: RefCell<HashMap<ServiceName, Demand>>,
    /// Asks that have no answer yet, by whom was asked and their number, and when that was.
    asked: RefCell<BTreeMap<(GatewayAddress, u64), Moment>>,
    /// Coordinators to look for, as others asked this gateway in their place.
    doubted: RefCell<BTreeMap<GatewayAddress, Vec<QuotaDemand>>>,
    next_round: Cell<u64>,
    /// Told when there may be something to ask.
    changed: Event,
    lines: RefCell<LineBudget>,
}

impl LimitState {
    /// Makes the state of a gateway that knows no other.
    pub fn new(own: GatewayAddress) -> Self {
        LimitState {
            limits: RefCell::default(),
            ledger: RefCell::default(),
            coordinators: RefCell::new(Coordinators::new(own)),
            demand: RefCell::default(),
            asked: RefCell::default(),
            doubted: RefCell::default(),
            next_round: Cell::new(0),
            changed: Event::new(),
            lines: RefCell::new(LineBudget::new(LIMIT_LINES_PER_S)),
        }
    }

    /// Forgets targets that are gone.
    pub fn retain(&self, is_there: impl Fn(&str) -> bool) {
        self.limits.borrow_mut().retain(is_there);
    }
}

/// Asks coordinators for permits until the task is dropped.
pub async fn exchange(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let changed = gateway.limits.changed.listen();

        let has_asked = ask_all(&gateway, &socket).await;

        if notify_all(&gateway, &socket).await || has_asked {
            let spread = EXCHANGE_SPREAD * (2.0 * ProcessRandom::default().unit() - 1.0);
            sleep(EXCHANGE_PERIOD.mul_f64(1.0 + spread)).await;
        } else {
            changed.await;
        }
    }
}

/// Takes in a message of another gateway.
pub async fn receive(
    gateway: &Gateway,
    socket: &UdpSocket,
    from: GatewayAddress,
    message: QuotaMessage,
) {
    match message {
        QuotaMessage::Ask { round, demands } => {
            let grants = gateway.answer_quota(from, &demands);
            send(gateway, socket, from, QuotaMessage::Answer { round, grants }).await;
        }
        QuotaMessage::Answer { round, grants } => gateway.apply_answer(from, round, &grants),
        QuotaMessage::Notify { changes } => gateway.apply_grants(&changes, gateway.now()),
    }
}

/// Tells all other gateways which targets have a limit since then, or none any more; tells whether there were some.
async fn notify_all(gateway: &Gateway, socket: &UdpSocket) -> bool {
    let changes = gateway.limits.ledger.borrow_mut().take_changes(gateway.now());

    if changes.is_empty() {
        return false;
    }

    for peer in gateway.peers() {
        let changes = changes.clone();
        send(gateway, socket, peer.ip(), QuotaMessage::Notify { changes }).await;
    }

    true
}

/// Asks each coordinator that there is something to ask of; tells whether there was one.
async fn ask_all(gateway: &Gateway, socket: &UdpSocket) -> bool {
    let now = gateway.now();
    gateway.note_unanswered(now);
    let own = gateway.own_address();
    let asks = gateway.quota_asks(now);
    let has_asked = !asks.is_empty();

    for (coordinator, demands) in asks {
        if coordinator == own {
            let grants = gateway.answer_quota(own, &demands);
            gateway.apply_grants(&grants, now);
            continue;
        }

        let round = gateway.limits.next_round.replace(gateway.limits.next_round.get() + 1);
        gateway.limits.asked.borrow_mut().insert((coordinator, round), now);
        send(gateway, socket, coordinator, QuotaMessage::Ask { round, demands }).await;
    }

    has_asked
}

async fn send(gateway: &Gateway, socket: &UdpSocket, to: GatewayAddress, message: QuotaMessage) {
    let port = gateway.settings().group_port;
    let from = SocketAddr::new(gateway.own_address(), port);
    let datagram = Datagram { from, group: None, body: Body::Quota(message) };

    match datagram.to_bytes() {
        // A gateway that is gone hears nothing; that it does not answer is noticed.
        Ok(bytes) => drop(socket.send_to(&bytes, SocketAddr::new(to, port)).await),
        Err(error) => log::error!("quota not sent", kv: { error = error.to_string() }),
    }
}

impl Gateway {
    fn own_address(&self) -> GatewayAddress {
        self.settings().ip
    }

    /// Takes in the gateways that are known; `is_listed` tells whether the store's list names this one.
    pub(super) fn set_coordinators(&self, is_listed: bool) {
        let others = self.peers().into_iter().map(|peer| peer.ip());

        self.limits.coordinators.borrow_mut().set_gateways(others, is_listed, self.now());
    }

    /// Takes in what the head of an answer says of the target's limit.
    pub fn note_limit(
        &self,
        target: &TargetEntry,
        head: &ResponseHead,
        verdict: Verdict,
        sent_at: Moment,
    ) {
        if self.is_earlier_start(target) {
            return;
        }

        let named = named_limit(head.headers.all(self.names.limit));
        let is_good = verdict == Verdict::Pass && head.is_success();
        let now = self.now();
        let change = self.limits.limits.borrow_mut().heard(target, named, is_good, sent_at, now);

        self.note_limit_change(target, change, "target");
    }

    fn note_limit_change(&self, target: &TargetEntry, change: LimitChange, from: &str) {
        let (word, per_s) = match change {
            LimitChange::None => return,
            LimitChange::Set(per_s) => ("set", per_s),
            LimitChange::Ended => ("ended", 0.0),
            LimitChange::Unreadable => ("unreadable", 0.0),
        };
        self.counters.limits.add(word);
        self.limits.changed.notify(usize::MAX);
        self.freed.notify(usize::MAX);

        if let Some(left_out) = self.limits.lines.borrow_mut().take_line(self.now()) {
            let target = target.id.as_str();
            log::info!("target's limit", kv: { target, change = word, per_s, from, left_out });
        }
    }

    /// Notes that a request looks for a target, as permits are asked for by how many do.
    pub(super) fn note_limited_demand(&self, service: &str) {
        if self.limits.limits.borrow().is_empty() {
            return;
        }

        let now = self.now();
        let mut demand = self.limits.demand.borrow_mut();

        match demand.get_mut(service) {
            Some(demand) => demand.note(now),
            None => demand.entry(service.to_string()).or_default().note(now),
        }

        self.limits.changed.notify(usize::MAX);
    }

    /// Gets those of some targets to which this gateway may send a request now.
    pub(super) fn without_spent(
        &self,
        targets: Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        let limits = self.limits.limits.borrow();

        if limits.is_empty() || targets.iter().all(|target| limits.may_send(target, now)) {
            return targets;
        }

        self.counters.limits.add("held_back");
        targets.iter().filter(|target| limits.may_send(target, now)).cloned().collect()
    }

    /// Gets those of some targets that have no limit, which bear what they usually do; all of them where all have one.
    pub(super) fn without_limited(
        &self,
        targets: Arc<[Arc<TargetEntry>]>,
    ) -> Arc<[Arc<TargetEntry>]> {
        let limits = self.limits.limits.borrow();
        let is_limited = |target: &Arc<TargetEntry>| limits.is_limited(target);

        if limits.is_empty() || !targets.iter().any(is_limited) || targets.iter().all(is_limited) {
            return targets;
        }

        targets.iter().filter(|target| !is_limited(target)).cloned().collect()
    }

    /// Takes the permit for a request to a target; none where there is no permit left.
    pub(super) fn take_permit(&self, target: &TargetEntry, now: Moment) -> Option<Permit> {
        self.limits.limits.borrow_mut().take(target, now)
    }

    /// Tells whether a request with a permit may still be sent, and counts it.
    pub(super) fn use_permit(&self, target: &TargetEntry, permit: Permit) -> bool {
        let is_limited = self.limits.limits.borrow().is_limited(target);
        let is_sent = self.limits.limits.borrow_mut().send(target, permit, self.now());

        if is_limited {
            self.counters.limits.add(if is_sent { "sent" } else { "withdrawn" });
        }

        is_sent
    }

    /// Gets why a service has no place where all of its targets have a limit: until a permit comes for one that goes behind
    /// so many others.
    pub(super) fn limited(&self, service: &str, ahead: usize) -> Option<NoPlace> {
        let candidates = self.candidates(service);
        let targets = candidates.iter().map(|target| &**target);
        let rate = self.limits.limits.borrow().rate(targets, self.gateways())?;

        if candidates.is_empty() {
            return None;
        }

        let wait_s = (ahead + 1) as f64 / rate.max(f64::MIN_POSITIVE);
        let wait = Duration::from_secs_f64(wait_s.min(MAX_LIMITED_WAIT.as_secs_f64()));

        Some(NoPlace::Limited(wait))
    }

    /// Gets a target's limit for a dump, where it has one.
    pub(super) fn limit_dump(&self, target: &TargetEntry, now: Moment) -> serde_json::Value {
        let view = self.limits.limits.borrow().view(target);

        view.map_or(serde_json::Value::Null, |limit| {
            json!({
                "per_s": limit.per_s, "for_ms": (now - limit.since).as_millis() as u64,
                "sent": limit.sent, "own_per_s": limit.rate,
            })
        })
    }

    /// Gets who gives out permits, for a dump.
    pub(super) fn coordinators_dump(&self, now: Moment) -> serde_json::Value {
        let coordinators = self.limits.coordinators.borrow();
        let partition = |partition: usize| {
            json!({
                "coordinator": coordinators.coordinator(partition, now).to_string(),
                "own_part": coordinators.part(partition, now),
            })
        };
        let partitions: Vec<serde_json::Value> = (0..PARTITIONS).map(partition).collect();

        json!({ "partitions": partitions, "targets": self.limits.ledger.borrow().len() })
    }

    /// Forgets limits that ended long ago, and what nobody asks for any more.
    pub(super) fn forget_limits(&self) {
        let now = self.now();
        self.limits.limits.borrow_mut().forget_ended(now);
        self.limits.ledger.borrow_mut().forget_idle(now);
        let mut demand = self.limits.demand.borrow_mut();
        demand.retain(|_, demand| demand.wanted(now) > 0);
    }

    /// Gets what is to be asked, by the gateway to ask.
    fn quota_asks(&self, now: Moment) -> BTreeMap<GatewayAddress, Vec<QuotaDemand>> {
        let targets = self.targets.borrow();
        let demand = self.limits.demand.borrow();
        // Of the targets of others it only tells what it has heard: those who choose among them want the permits.
        let candidates: HashMap<&str, &str> =
            targets.all_candidates().map(|t| (t.id.as_str(), t.service.as_str())).collect();
        let wanted = |id: &str| {
            let service = candidates.get(id);
            service.and_then(|s| demand.get(*s)).map_or(0, |demand| demand.wanted(now))
        };
        let demands = self.limits.limits.borrow_mut().demands(wanted, now);
        let coordinators = self.limits.coordinators.borrow();
        let mut asks = std::mem::take(&mut *self.limits.doubted.borrow_mut());

        for demand in demands {
            let coordinator = coordinators.coordinator(partition_of(&demand.target), now);
            asks.entry(coordinator).or_default().push(demand);
        }

        asks
    }

    /// Notes which asks had no answer until now.
    fn note_unanswered(&self, now: Moment) {
        // An answer of so long ago would give nothing any more.
        let is_over = |at: Moment| now >= at + PERMIT_LIFETIME;
        let asked = self.limits.asked.borrow().clone();

        for ((gateway, round), at) in asked.into_iter().filter(|(_, at)| is_over(*at)) {
            self.limits.asked.borrow_mut().remove(&(gateway, round));
            // One that was asked so long ago may have answered while this instance stood still.
            let is_recent = now < at + PERMIT_LIFETIME + EXCHANGE_PERIOD * 2;

            if is_recent && self.limits.coordinators.borrow_mut().missed(gateway, now) {
                log::warn!("coordinator silent", kv: { gateway = gateway.to_string() });
            }
        }
    }

    /// Answers an ask for permits.
    fn answer_quota(&self, from: GatewayAddress, demands: &[QuotaDemand]) -> Vec<QuotaGrant> {
        let now = self.now();
        let coordinators = self.limits.coordinators.borrow();
        let part = |target: &str| coordinators.part(partition_of(target), now);
        let mut ledger = self.limits.ledger.borrow_mut();

        for demand in demands {
            let partition = partition_of(&demand.target);
            let first = coordinators.coordinator(partition, now);

            // Whoever asks may have found the first one silent; whether it is so is found out by asking it as well.
            if first != self.own_address() && from != self.own_address() {
                self.limits.doubted.borrow_mut().entry(first).or_default();
                self.limits.changed.notify(usize::MAX);
            }
        }

        let grants = ledger.answer(from, demands, part, now, &mut ProcessRandom::default());

        if ledger.has_changes() {
            self.limits.changed.notify(usize::MAX);
        }

        grants
    }

    fn apply_answer(&self, from: GatewayAddress, round: u64, grants: &[QuotaGrant]) {
        if self.limits.coordinators.borrow_mut().answered(from, self.now()) {
            log::info!("coordinator answers again", kv: { gateway = from.to_string() });
        }

        // An answer that comes twice, or to an ask that was given up, gives nothing.
        let asked_at = self.limits.asked.borrow_mut().remove(&(from, round));

        if let Some(asked_at) = asked_at {
            self.apply_grants(grants, asked_at);
        }
    }

    fn apply_grants(&self, grants: &[QuotaGrant], asked_at: Moment) {
        let now = self.now();
        let mut permits = 0;

        for grant in grants {
            let target = self.with_targets(|targets| targets.get(&grant.target).cloned());
            let Some(target) = target.filter(|target| target.born_ms == grant.birth) else {
                continue;
            };
            permits += grant.permits;
            let mut limits = self.limits.limits.borrow_mut();
            let change = limits.granted(&target, grant, PERMIT_LIFETIME, asked_at, now);
            drop(limits);
            self.note_limit_change(&target, change, "gateway");
        }

        if permits > 0 {
            self.counters.limits.add_many(u64::from(permits), "permits");
            self.freed.notify(usize::MAX);
        }
    }
}
