//! Election of the gateway that issues permits for targets with a rate limit.
//!
//! Targets are hashed into partitions, and each partition has one coordinator: the first gateway in
//! rendezvous-hash order that answers. Every gateway derives it from the same list of gateways, so
//! no consensus protocol is needed. Two gateways may still both act as coordinator, while a new
//! list is spreading or where some gateways cannot reach the first one. A gateway therefore issues
//! the whole limit only after it has been coordinator for as long as a list takes to reach all
//! gateways. Before that it issues a small fraction.
//!
//! The number of coordinators that one gateway queries is bounded by the number of partitions, not
//! by that of targets or gateways.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_core::digest::{digest, rendezvous};

/// Number of partitions that targets are hashed into.
pub const PARTITIONS: usize = 8;
/// Time in which a list of gateways reaches all of them: each reads it every 10 s, and some
/// learn of a change one call late.
pub const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Consecutive timeouts after which a gateway is unresponsive: a single datagram may be lost.
const MAX_TIMEOUTS: u32 = 2;
/// Backoff for an unresponsive gateway, added after each further timeout.
const BACKOFF_STEP: Duration = Duration::from_secs(10);
/// Upper bound of the backoff, in steps: rows of gateways that are gone stay in the list.
const MAX_BACKOFF_STEPS: u32 = 6;
/// Fraction of a limit that a coordinator issues while another gateway may also be coordinator.
const UNSETTLED_FRACTION: f64 = 0.2;

/// Address of a gateway's instance.
pub type GatewayAddress = IpAddr;
/// Index of a partition, below [`PARTITIONS`].
pub type Partition = usize;

/// Partition that a target is hashed into.
pub fn partition_of(target: &str) -> Partition {
    (digest(target.as_bytes()) % PARTITIONS as u64) as Partition
}

#[derive(Clone, Copy, Debug, Default)]
struct Timeouts {
    consecutive: u32,
    retry_at: Moment,
}

impl Timeouts {
    fn is_unresponsive(self) -> bool {
        self.consecutive >= MAX_TIMEOUTS
    }
}

/// Coordinators of all partitions, from one gateway's view.
#[derive(Clone, Debug)]
pub struct Coordinators {
    own: GatewayAddress,
    /// Whether some list lacked this gateway, so that others may not know it.
    was_unlisted: bool,
    is_listed: bool,
    /// Order of succession of each partition's coordinators.
    orders: Vec<Vec<GatewayAddress>>,
    timeouts: HashMap<GatewayAddress, Timeouts>,
    /// When this gateway becomes the sole coordinator of each partition; `None` where it is not
    /// one.
    settled_from: [Option<Moment>; PARTITIONS],
}

impl Coordinators {
    /// Starts with `own` as the only known gateway.
    pub fn new(own: GatewayAddress) -> Self {
        let mut coordinators = Coordinators {
            own,
            was_unlisted: false,
            is_listed: false,
            orders: Vec::new(),
            timeouts: HashMap::new(),
            settled_from: [None; PARTITIONS],
        };
        coordinators.set_order(BTreeSet::new());

        coordinators
    }

    /// Replaces the list of gateways; `listed` tells whether the list as read contains this one.
    pub fn set_gateways(
        &mut self,
        others: impl IntoIterator<Item = GatewayAddress>,
        listed: bool,
        now: Moment,
    ) {
        self.set_order(others.into_iter().collect());
        let is_alone = self.orders[0].len() == 1;
        let is_first = listed && !std::mem::replace(&mut self.is_listed, listed);
        self.was_unlisted |= !listed && !is_alone;

        if is_first {
            // Its row was there before it started, so the others know it already.
            let from = if self.was_unlisted { now + SETTLE_TIME } else { now };
            self.settled_from = [Some(from); PARTITIONS];
        }

        self.update_settled(now);
    }

    /// Gateway to request permits from: the first one that is responsive or due for another try.
    pub fn coordinator(&self, partition: Partition, now: Moment) -> GatewayAddress {
        let is_eligible = |gateway: &&GatewayAddress| {
            self.timeouts.get(*gateway).is_none_or(|t| !t.is_unresponsive() || now >= t.retry_at)
        };

        // The gateway itself is always eligible.
        self.orders[partition].iter().find(is_eligible).copied().unwrap_or(self.own)
    }

    /// Fraction of a limit that this gateway may issue.
    pub fn limit_fraction(&self, partition: Partition, now: Moment) -> f64 {
        let is_settled = self.settled_from[partition].is_some_and(|from| now >= from);

        if is_settled { 1.0 } else { UNSETTLED_FRACTION }
    }

    /// Whether this gateway is a partition's coordinator, as far as it knows.
    pub fn is_coordinator(&self, partition: Partition) -> bool {
        let is_responsive = |gateway: &&GatewayAddress| {
            self.timeouts.get(*gateway).is_none_or(|timeouts| !timeouts.is_unresponsive())
        };

        self.orders[partition].iter().find(is_responsive) == Some(&self.own)
    }

    /// Records that a gateway did not answer in time. Returns whether this made it unresponsive.
    pub fn record_timeout(&mut self, gateway: GatewayAddress, now: Moment) -> bool {
        let timeouts = self.timeouts.entry(gateway).or_default();
        timeouts.consecutive = timeouts.consecutive.saturating_add(1);
        let (is_unresponsive, is_new) =
            (timeouts.is_unresponsive(), timeouts.consecutive == MAX_TIMEOUTS);

        if is_unresponsive {
            let steps = (timeouts.consecutive - MAX_TIMEOUTS + 1).min(MAX_BACKOFF_STEPS);
            timeouts.retry_at = now + BACKOFF_STEP * steps;
            self.update_settled(now);
        }

        is_new
    }

    /// Records an answer of a gateway. Returns whether it was unresponsive before.
    pub fn record_answer(&mut self, gateway: GatewayAddress, now: Moment) -> bool {
        let was_unresponsive =
            self.timeouts.remove(&gateway).is_some_and(Timeouts::is_unresponsive);

        if was_unresponsive {
            self.update_settled(now);
        }

        was_unresponsive
    }

    fn set_order(&mut self, mut gateways: BTreeSet<GatewayAddress>) {
        gateways.insert(self.own);
        let order = |partition: Partition| {
            let key = digest(&partition.to_be_bytes());
            let mut order: Vec<GatewayAddress> = gateways.iter().copied().collect();
            order.sort_by_cached_key(|g| std::cmp::Reverse((rendezvous(key, &g.to_string()), *g)));

            order
        };
        self.orders = (0..PARTITIONS).map(order).collect();
        self.timeouts.retain(|gateway, _| gateways.contains(gateway));
    }

    fn update_settled(&mut self, now: Moment) {
        for partition in 0..PARTITIONS {
            let is_coordinator = self.is_listed && self.is_coordinator(partition);
            let settled_from = &mut self.settled_from[partition];

            if is_coordinator {
                settled_from.get_or_insert(now + SETTLE_TIME);
            } else {
                *settled_from = None;
            }
        }
    }
}
