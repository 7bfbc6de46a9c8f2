//! The exchange of permits for targets that have a limit.
//!
//! While some limit is known and its service has requests, each coordinator of such targets is asked once in a period for all
//! of them. Nothing is sent otherwise.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task::sleep;
use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::coordinator::{GatewayAddress, PARTITIONS, partition_of};
use grebedeck_gateway::quota::{PERMIT_LIFETIME, QuotaDemand, QuotaGrant};
use grebedeck_gateway::{Coordinators, QuotaLedger, QuotaMessage};
use grebedeck_kernel::log;
use serde_json::json;

use super::service::Gateway;
use crate::random::ProcessRandom;
use crate::rank::message::{Body, Datagram};

/// Time between two asks. Permits outlast it, and whoever waits for one is still in time after it.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(400);
/// Part of that by which it differs, so that gateways that begin together do not go on together.
const EXCHANGE_SPREAD: f64 = 0.1;

/// A gateway's part in giving out permits.
pub struct QuotaState {
    pub(super) ledger: RefCell<QuotaLedger>,
    coordinators: RefCell<Coordinators>,
    /// Requests without a response yet, by whom was asked and their number, and when that was.
    asked: RefCell<BTreeMap<(GatewayAddress, u64), Moment>>,
    /// Coordinators to look for, as others asked this gateway in their place.
    suspected: RefCell<BTreeMap<GatewayAddress, Vec<QuotaDemand>>>,
    next_sequence: Cell<u64>,
}

impl QuotaState {
    /// Makes the state of a gateway that knows no other.
    pub fn new(own: GatewayAddress) -> Self {
        QuotaState {
            ledger: RefCell::default(),
            coordinators: RefCell::new(Coordinators::new(own)),
            asked: RefCell::default(),
            suspected: RefCell::default(),
            next_sequence: Cell::new(0),
        }
    }
}

/// Asks coordinators for permits until the task is dropped.
pub async fn exchange(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let changed = gateway.limits.changed.listen();

        let has_requested = request_permits(&gateway, &socket).await;

        if notify_all(&gateway, &socket).await || has_requested {
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
        QuotaMessage::Request { sequence, demands } => {
            let grants = gateway.grant_quota(from, &demands);
            send(gateway, socket, &[from], QuotaMessage::Response { sequence, grants }).await;
        }
        QuotaMessage::Response { sequence, grants } => {
            gateway.apply_response(from, sequence, &grants)
        }
        QuotaMessage::Notify { changes } => gateway.apply_grants(&changes, gateway.now()),
    }
}

/// Tells all other gateways which targets have a limit since then, or none any more; tells whether there were some.
async fn notify_all(gateway: &Gateway, socket: &UdpSocket) -> bool {
    let changes = gateway.quota.ledger.borrow_mut().drain_changes(gateway.now());

    if changes.is_empty() {
        return false;
    }

    let peers: Vec<GatewayAddress> = gateway.peers().into_iter().map(|peer| peer.ip()).collect();
    send(gateway, socket, &peers, QuotaMessage::Notify { changes }).await;

    true
}

/// Asks each coordinator that there is something to ask of; tells whether there was one.
async fn request_permits(gateway: &Gateway, socket: &UdpSocket) -> bool {
    let now = gateway.now();
    gateway.expire_requests(now);
    let own = gateway.own_address();
    let asks = gateway.pending_requests(now);
    let has_requested = !asks.is_empty();

    for (coordinator, demands) in asks {
        if coordinator == own {
            let grants = gateway.grant_quota(own, &demands);
            gateway.apply_grants(&grants, now);
            continue;
        }

        let sequence = gateway.quota.next_sequence.replace(gateway.quota.next_sequence.get() + 1);
        gateway.quota.asked.borrow_mut().insert((coordinator, sequence), now);
        send(gateway, socket, &[coordinator], QuotaMessage::Request { sequence, demands }).await;
    }

    has_requested
}

async fn send(gateway: &Gateway, socket: &UdpSocket, to: &[GatewayAddress], message: QuotaMessage) {
    let port = gateway.settings().group_port;
    let from = SocketAddr::new(gateway.own_address(), port);
    let datagram = Datagram { from, group: None, body: Body::Quota(message) };
    let bytes = match datagram.to_bytes() {
        Ok(bytes) => bytes,
        Err(error) => return log::error!("quota not sent", kv: { error = error.to_string() }),
    };

    for address in to {
        // A gateway that is gone hears nothing; that it does not answer is noticed.
        drop(socket.send_to(&bytes, SocketAddr::new(*address, port)).await);
    }
}

impl Gateway {
    fn own_address(&self) -> GatewayAddress {
        self.settings().ip
    }

    /// Takes in the gateways that are known; `is_listed` tells whether the store's list names this one.
    pub(super) fn set_coordinators(&self, is_listed: bool) {
        let others = self.peers().into_iter().map(|peer| peer.ip());

        self.quota.coordinators.borrow_mut().set_gateways(others, is_listed, self.now());
    }

    /// Gets who gives out permits, for a dump.
    pub(super) fn coordinators_dump(&self, now: Moment) -> serde_json::Value {
        let coordinators = self.quota.coordinators.borrow();
        let partition = |partition: usize| {
            json!({
                "coordinator": coordinators.coordinator(partition, now).to_string(),
                "own_part": coordinators.limit_fraction(partition, now),
            })
        };
        let partitions: Vec<serde_json::Value> = (0..PARTITIONS).map(partition).collect();

        json!({ "partitions": partitions, "targets": self.quota.ledger.borrow().len() })
    }

    /// Gets what is to be asked, by the gateway to ask.
    fn pending_requests(&self, now: Moment) -> BTreeMap<GatewayAddress, Vec<QuotaDemand>> {
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
        let coordinators = self.quota.coordinators.borrow();
        let mut asks = std::mem::take(&mut *self.quota.suspected.borrow_mut());

        for demand in demands {
            let coordinator = coordinators.coordinator(partition_of(&demand.target), now);
            asks.entry(coordinator).or_default().push(demand);
        }

        asks
    }

    /// Counts requests that had no response in time.
    fn expire_requests(&self, now: Moment) {
        // An answer of so long ago would give nothing any more.
        let is_over = |at: Moment| now >= at + PERMIT_LIFETIME;
        let asked = self.quota.asked.borrow().clone();

        for ((gateway, sequence), at) in asked.into_iter().filter(|(_, at)| is_over(*at)) {
            self.quota.asked.borrow_mut().remove(&(gateway, sequence));
            // One that was asked so long ago may have answered while this instance stood still.
            let is_recent = now < at + PERMIT_LIFETIME + EXCHANGE_PERIOD * 2;

            if is_recent && self.quota.coordinators.borrow_mut().record_timeout(gateway, now) {
                log::warn!("coordinator silent", kv: { gateway = gateway.to_string() });
            }
        }
    }

    /// Answers a request for permits.
    fn grant_quota(&self, from: GatewayAddress, demands: &[QuotaDemand]) -> Vec<QuotaGrant> {
        let now = self.now();
        let coordinators = self.quota.coordinators.borrow();
        let part = |target: &str| coordinators.limit_fraction(partition_of(target), now);
        let mut ledger = self.quota.ledger.borrow_mut();

        for demand in demands {
            let partition = partition_of(&demand.target);
            let first = coordinators.coordinator(partition, now);

            // Whoever asks may have found the first one silent; whether it is so is found out by asking it as well.
            if first != self.own_address() && from != self.own_address() {
                self.quota.suspected.borrow_mut().entry(first).or_default();
                self.limits.changed.notify(usize::MAX);
            }
        }

        let grants = ledger.grant(from, demands, part, now, &mut ProcessRandom::default());

        if ledger.has_changes() {
            self.limits.changed.notify(usize::MAX);
        }

        grants
    }

    fn apply_response(&self, from: GatewayAddress, sequence: u64, grants: &[QuotaGrant]) {
        if self.quota.coordinators.borrow_mut().record_answer(from, self.now()) {
            log::info!("coordinator answers again", kv: { gateway = from.to_string() });
        }

        // A response that comes twice, or to a request that was given up, gives nothing.
        let asked_at = self.quota.asked.borrow_mut().remove(&(from, sequence));

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
            let change = limits.apply(&target, grant, PERMIT_LIFETIME, asked_at, now);
            drop(limits);
            self.report_limit_change(&target, change, "gateway");
        }

        if permits > 0 {
            self.counters.limits.add_many(u64::from(permits), "permits");
            self.slot_freed.notify(usize::MAX);
        }
    }
}
