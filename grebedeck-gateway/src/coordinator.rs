//! Which gateway gives out the permits for targets that name a limit.
//!
//! Targets are dealt to partitions, and each partition has one coordinator: the first gateway in the order of a hash that is
//! not silent. All derive it from the same list of gateways, so nothing is agreed. Two gateways may still take themselves
//! for the coordinator at once: while a list is on its way, or where some of the others cannot reach the first. So a gateway gives
//! out the whole limit only once it has led its partition for as long as a list takes to reach all; before that, a small part.
//!
//! The number of partitions, and not that of targets or gateways, bounds how many coordinators one gateway asks.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_core::digest::{digest, rendezvous};

/// Partitions of the targets.
pub const PARTITIONS: usize = 8;
/// How long a list of gateways may take to reach all of them: each reads it every 10 s, and some of them a call late.
pub const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Asks in a row that a silent gateway leaves unanswered: a single datagram may be lost.
const MAX_MISSES: u32 = 2;
/// How long a silent gateway is not asked, after each time that it left an ask unanswered.
const PASSED_OVER: Duration = Duration::from_secs(10);
/// Most times as long: rows of gateways that are gone stay in the list.
const MAX_PASSED_OVER: u32 = 6;
/// Part of a limit that is given out by a gateway that may not be the only one to do so.
const UNSETTLED_PART: f64 = 0.2;

/// A gateway, by the address of its instance.
pub type GatewayAddress = IpAddr;
/// Number of a partition.
pub type Partition = usize;

/// Gets the partition of a target.
pub fn partition_of(target: &str) -> Partition {
    (digest(target.as_bytes()) % PARTITIONS as u64) as Partition
}

#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    misses: u32,
    passed_over_until: Moment,
}

impl Silence {
    fn is_silent(self) -> bool {
        self.misses >= MAX_MISSES
    }
}

/// The coordinators of all partitions, as one gateway sees them.
#[derive(Clone, Debug)]
pub struct Coordinators {
    own: GatewayAddress,
    /// Whether the list was once read without this gateway, so that others may not know it.
    was_missing: bool,
    is_listed: bool,
    /// Gateways in the order in which they coordinate, by partition.
    orders: Vec<Vec<GatewayAddress>>,
    silent: HashMap<GatewayAddress, Silence>,
    /// From when this gateway is sure to be the only coordinator; `None` while it is none.
    settled_from: [Option<Moment>; PARTITIONS],
}

impl Coordinators {
    /// Makes them for a gateway that knows no other.
    pub fn new(own: GatewayAddress) -> Self {
        let mut coordinators = Coordinators {
            own,
            was_missing: false,
            is_listed: false,
            orders: Vec::new(),
            silent: HashMap::new(),
            settled_from: [None; PARTITIONS],
        };
        coordinators.set_order(BTreeSet::new());

        coordinators
    }

    /// Takes in the gateways that are known; `listed` tells whether the list as it was read names this one.
    pub fn set_gateways(
        &mut self,
        others: impl IntoIterator<Item = GatewayAddress>,
        listed: bool,
        now: Moment,
    ) {
        self.set_order(others.into_iter().collect());
        let is_alone = self.orders[0].len() == 1;
        let is_first = listed && !std::mem::replace(&mut self.is_listed, listed);
        self.was_missing |= !listed && !is_alone;

        if is_first {
            // Its row was there before it started, so the others know it.
            let from = if self.was_missing { now + SETTLE_TIME } else { now };
            self.settled_from = [Some(from); PARTITIONS];
        }

        self.update_leads(now);
    }

    /// Gets the gateway to ask for permits.
    pub fn coordinator(&self, partition: Partition, now: Moment) -> GatewayAddress {
        let is_asked = |gateway: &&GatewayAddress| {
            self.silent.get(*gateway).is_none_or(|s| !s.is_silent() || now >= s.passed_over_until)
        };

        // It never passes itself over.
        self.orders[partition].iter().find(is_asked).copied().unwrap_or(self.own)
    }

    /// Gets the part of a limit that this gateway may give out.
    pub fn limit_fraction(&self, partition: Partition, now: Moment) -> f64 {
        let is_settled = self.settled_from[partition].is_some_and(|from| now >= from);

        if is_settled { 1.0 } else { UNSETTLED_PART }
    }

    /// Tells whether this gateway coordinates a partition, for all that it knows.
    pub fn is_coordinator(&self, partition: Partition) -> bool {
        let is_heard = |gateway: &&GatewayAddress| {
            self.silent.get(*gateway).is_none_or(|silence| !silence.is_silent())
        };

        self.orders[partition].iter().find(is_heard) == Some(&self.own)
    }

    /// Notes that a gateway did not answer; tells whether it is silent since then.
    pub fn record_timeout(&mut self, gateway: GatewayAddress, now: Moment) -> bool {
        let silence = self.silent.entry(gateway).or_default();
        silence.misses = silence.misses.saturating_add(1);
        let (is_silent, is_new) = (silence.is_silent(), silence.misses == MAX_MISSES);

        if is_silent {
            let times = (silence.misses - MAX_MISSES + 1).min(MAX_PASSED_OVER);
            silence.passed_over_until = now + PASSED_OVER * times;
            self.update_leads(now);
        }

        is_new
    }

    /// Notes that a gateway answered; tells whether it was silent before.
    pub fn record_answer(&mut self, gateway: GatewayAddress, now: Moment) -> bool {
        let was_silent = self.silent.remove(&gateway).is_some_and(Silence::is_silent);

        if was_silent {
            self.update_leads(now);
        }

        was_silent
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
        self.silent.retain(|gateway, _| gateways.contains(gateway));
    }

    fn update_leads(&mut self, now: Moment) {
        for partition in 0..PARTITIONS {
            let leads = self.is_listed && self.is_coordinator(partition);
            let settled_from = &mut self.settled_from[partition];

            if leads {
                settled_from.get_or_insert(now + SETTLE_TIME);
            } else {
                *settled_from = None;
            }
        }
    }
}
