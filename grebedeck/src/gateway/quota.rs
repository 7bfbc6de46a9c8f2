//! Exchange of permits for targets with a rate limit that all gateways share.
//!
//! While a limit is known and requests need its target, each coordinator of such targets gets one
//! request for permits per period, for all of its targets together. Otherwise nothing is sent.

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

/// Period of requests for permits. Permits outlive it, and a caller can wait for one that long and
/// still be served in time.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(400);
/// Fraction of the period by which it varies, so that gateways that start together drift apart.
const EXCHANGE_JITTER: f64 = 0.1;

/// State of the permit exchange, as a client of coordinators and as a coordinator.
pub struct QuotaState {
    pub(super) ledger: RefCell<QuotaLedger>,
    coordinators: RefCell<Coordinators>,
    /// Send times of pending requests, by coordinator and sequence number.
    pending: RefCell<BTreeMap<(GatewayAddress, u64), Moment>>,
    /// Coordinators to check, because other gateways requested permits from this one in their
    /// place; with the demands to send to them.
    suspected: RefCell<BTreeMap<GatewayAddress, Vec<QuotaDemand>>>,
    next_sequence: Cell<u64>,
}

impl QuotaState {
    /// Creates the state of a gateway that knows no others.
    pub fn new(own: GatewayAddress) -> Self {
        QuotaState {
            ledger: RefCell::default(),
            coordinators: RefCell::new(Coordinators::new(own)),
            pending: RefCell::default(),
            suspected: RefCell::default(),
            next_sequence: Cell::new(0),
        }
    }
}

/// Requests permits from coordinators until the task is dropped.
pub async fn exchange_permits(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let changed = gateway.limits.changed.listen();

        let has_requested = request_permits(&gateway, &socket).await;

        if notify_limit_changes(&gateway, &socket).await || has_requested {
            let jitter = EXCHANGE_JITTER * (2.0 * ProcessRandom::default().unit() - 1.0);
            sleep(EXCHANGE_PERIOD.mul_f64(1.0 + jitter)).await;
        } else {
            changed.await;
        }
    }
}

/// Handles a message of another gateway.
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

/// Notifies all other gateways of targets whose limits were set or ended; returns whether there
/// were any.
async fn notify_limit_changes(gateway: &Gateway, socket: &UdpSocket) -> bool {
    let changes = gateway.quota.ledger.borrow_mut().drain_changes(gateway.now());

    if changes.is_empty() {
        return false;
    }

    let peers: Vec<GatewayAddress> = gateway.peers().into_iter().map(|peer| peer.ip()).collect();
    send(gateway, socket, &peers, QuotaMessage::Notify { changes }).await;

    true
}

/// Requests the permits that are needed from their coordinators; returns whether any were needed.
async fn request_permits(gateway: &Gateway, socket: &UdpSocket) -> bool {
    let now = gateway.now();
    gateway.expire_requests(now);
    let own = gateway.own_address();
    let requests = gateway.next_requests(now);
    let has_requested = !requests.is_empty();

    for (coordinator, demands) in requests {
        if coordinator == own {
            let grants = gateway.grant_quota(own, &demands);
            gateway.apply_grants(&grants, now);
            continue;
        }

        let sequence = gateway.quota.next_sequence.replace(gateway.quota.next_sequence.get() + 1);
        gateway.quota.pending.borrow_mut().insert((coordinator, sequence), now);
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
        Err(error) => {
            return log::error!("quota message not encoded", kv: { error = error.to_string() });
        }
    };

    for address in to {
        // A failure to send shows as a missing response.
        drop(socket.send_to(&bytes, SocketAddr::new(*address, port)).await);
    }
}

impl Gateway {
    fn own_address(&self) -> GatewayAddress {
        self.settings().ip
    }

    /// Updates the coordinators from the known gateways; `is_listed` tells whether the store's list
    /// contains this one.
    pub(super) fn set_coordinators(&self, is_listed: bool) {
        let others = self.peers().into_iter().map(|peer| peer.ip());

        self.quota.coordinators.borrow_mut().set_gateways(others, is_listed, self.now());
    }

    /// Returns the coordinators of all partitions, for a dump.
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

    /// Returns the demands to send now, by coordinator.
    fn next_requests(&self, now: Moment) -> BTreeMap<GatewayAddress, Vec<QuotaDemand>> {
        let targets = self.targets.borrow();
        let demand = self.limits.demand.borrow();
        // For other targets only announced limits are passed on: the gateways that select among
        // them request the permits.
        let candidates: HashMap<&str, &str> =
            targets.all_candidates().map(|t| (t.id.as_str(), t.service.as_str())).collect();
        let wanted = |id: &str| {
            let service = candidates.get(id);
            service.and_then(|s| demand.get(*s)).map_or(0, |demand| demand.wanted(now))
        };
        let demands = self.limits.limits.borrow_mut().demands(wanted, now);
        let coordinators = self.quota.coordinators.borrow();
        let mut requests = std::mem::take(&mut *self.quota.suspected.borrow_mut());

        for demand in demands {
            let coordinator = coordinators.coordinator(partition_of(&demand.target), now);
            requests.entry(coordinator).or_default().push(demand);
        }

        requests
    }

    /// Removes requests without a response in time, and records recent ones as timeouts.
    fn expire_requests(&self, now: Moment) {
        // The permits of a later response would have expired.
        let is_expired = |at: Moment| now >= at + PERMIT_LIFETIME;
        let pending = self.quota.pending.borrow().clone();

        for ((gateway, sequence), at) in pending.into_iter().filter(|(_, at)| is_expired(*at)) {
            self.quota.pending.borrow_mut().remove(&(gateway, sequence));
            // If the request is much older, this process was suspended and may have missed the
            // response.
            let is_recent = now < at + PERMIT_LIFETIME + EXCHANGE_PERIOD * 2;

            if is_recent && self.quota.coordinators.borrow_mut().record_timeout(gateway, now) {
                log::warn!("coordinator does not respond", kv: { gateway = gateway.to_string() });
            }
        }
    }

    /// Grants permits for a request of a gateway.
    fn grant_quota(&self, from: GatewayAddress, demands: &[QuotaDemand]) -> Vec<QuotaGrant> {
        let now = self.now();
        let coordinators = self.quota.coordinators.borrow();
        let fraction = |target: &str| coordinators.limit_fraction(partition_of(target), now);
        let mut ledger = self.quota.ledger.borrow_mut();

        for demand in demands {
            let partition = partition_of(&demand.target);
            let first = coordinators.coordinator(partition, now);

            // The other gateway may have found the first coordinator unresponsive. This one checks
            // that by sending it a request as well.
            if first != self.own_address() && from != self.own_address() {
                self.quota.suspected.borrow_mut().entry(first).or_default();
                self.limits.changed.notify(usize::MAX);
            }
        }

        let grants = ledger.grant(from, demands, fraction, now, &mut ProcessRandom::default());

        if ledger.has_changes() {
            self.limits.changed.notify(usize::MAX);
        }

        grants
    }

    fn apply_response(&self, from: GatewayAddress, sequence: u64, grants: &[QuotaGrant]) {
        if self.quota.coordinators.borrow_mut().record_answer(from, self.now()) {
            log::info!("coordinator responds again", kv: { gateway = from.to_string() });
        }

        // A duplicate response, or one to an expired request, grants nothing.
        let requested_at = self.quota.pending.borrow_mut().remove(&(from, sequence));

        if let Some(requested_at) = requested_at {
            self.apply_grants(grants, requested_at);
        }
    }

    fn apply_grants(&self, grants: &[QuotaGrant], requested_at: Moment) {
        let now = self.now();
        let mut permits = 0;

        for grant in grants {
            let target = self.with_targets(|targets| targets.get(&grant.target).cloned());
            let Some(target) = target.filter(|target| target.born_ms == grant.birth) else {
                continue;
            };
            permits += grant.permits;
            let mut limits = self.limits.limits.borrow_mut();
            let change = limits.apply(&target, grant, PERMIT_LIFETIME, requested_at, now);
            drop(limits);
            self.record_limit_change(&target, change, "gateway");
        }

        if permits > 0 {
            self.counters.limits.add_many(u64::from(permits), "permits");
            self.slot_freed.notify(usize::MAX);
        }
    }
}
