//! Whom a gateway follows for what the store holds: the store itself, or another gateway that reads it.
//!
//! The load that this answers: hundreds of gateways that each watch one store by themselves. Its calls and bytes then
//! grow with the gateways, and so does what its return after an outage costs.
//!
//! In each hall one gateway, the relay, reads the store, and the others follow it. All derive the relay alike, from the
//! list of gateways, so nothing has to be agreed: it is the first of the hall, by its link and then by a hash. A new
//! configuration goes to all followers at once, which a small link bears at the cost of callers' streams.
//! A relay that fails its followers is passed over for a while, and the next in the order takes its place. Where lists
//! or experiences differ, a gateway may be asked that takes itself for no relay; it becomes one for as long as it is
//! asked. A gateway that comes to itself in the order reads the store, so nobody waits for somebody who waits for it.
//!
//! Whoever does not get through to the store itself follows others, wherever it stands in the order.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_core::digest::{digest, rendezvous};

/// Settings of the choice.
#[derive(Clone, Copy, Debug)]
pub struct RelayOptions {
    /// Gateways of a hall up to which each reads the store: a relay would save next to nothing.
    pub max_direct_gateways: usize,
    /// How long a relay that failed is passed over.
    pub failure_backoff: Duration,
    /// How long a gateway that was asked goes on as a relay: followers ask again within half of that.
    pub follower_lease: Duration,
    /// How long others are followed after the store has failed this gateway.
    pub store_backoff: Duration,
}

impl Default for RelayOptions {
    fn default() -> Self {
        RelayOptions {
            max_direct_gateways: 6,
            failure_backoff: Duration::from_secs(10),
            follower_lease: Duration::from_secs(4),
            store_backoff: Duration::from_secs(2),
        }
    }
}

/// What a gateway follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source<A> {
    /// The store itself.
    Store,
    /// A gateway that reads it.
    Relay(A),
}

/// The gateways of one hall, and which of them to follow.
#[derive(Clone, Debug)]
pub struct RelaySelector<A> {
    options: RelayOptions,
    own: A,
    /// The hall's gateways in the order in which they are taken as relays.
    order: Vec<A>,
    passed_over: HashMap<A, Moment>,
    asked_at: Option<Moment>,
    store_failed_at: Option<Moment>,
}

impl<A: Clone + Eq + std::hash::Hash + ToString> RelaySelector<A> {
    /// Makes the choice of a gateway that knows no other.
    pub fn new(own: A, options: RelayOptions) -> Self {
        RelaySelector {
            options,
            own,
            order: Vec::new(),
            passed_over: HashMap::new(),
            asked_at: None,
            store_failed_at: None,
        }
    }

    /// Sets the gateways of the own hall, with the rates of their links in megabits a second.
    pub fn set_gateways(&mut self, hall: &str, gateways: impl IntoIterator<Item = (A, u32)>) {
        let key = digest(hall.as_bytes());
        let mut ranked: Vec<(A, u32)> = gateways.into_iter().collect();
        // Equal weights are told apart by the names, the same way everywhere.
        ranked.sort_by_cached_key(|(gateway, link_mbps)| {
            let name = gateway.to_string();
            (Reverse(*link_mbps), Reverse(rendezvous(key, &name)), name)
        });
        self.order = ranked.into_iter().map(|(gateway, _)| gateway).collect();
        let order = &self.order;
        self.passed_over.retain(|gateway, _| order.contains(gateway));
    }

    /// Gets what to follow now.
    pub fn source(&self, now: Moment) -> Source<A> {
        if self.order.len() <= self.options.max_direct_gateways {
            return Source::Store;
        }

        let is_cut_off = self.is_store_failing(now);

        if !is_cut_off && self.is_recent(self.asked_at, self.options.follower_lease, now) {
            return Source::Store;
        }

        let is_passed_over =
            |gateway: &&A| self.passed_over.get(gateway).is_some_and(|until| now < *until);
        let mut relays = self.order.iter().filter(|gateway| !is_passed_over(gateway));
        let is_own = |gateway: &&A| **gateway == self.own;

        match relays.next() {
            Some(relay) if !is_own(&relay) => Source::Relay(relay.clone()),
            Some(_) if is_cut_off => relays
                .find(|gateway| !is_own(gateway))
                .cloned()
                .map_or(Source::Store, Source::Relay),
            _ => Source::Store,
        }
    }

    /// Tells whether the store has failed this gateway lately.
    pub fn is_store_failing(&self, now: Moment) -> bool {
        self.is_recent(self.store_failed_at, self.options.store_backoff, now)
    }

    /// Tells whether others may follow this gateway, as there are relays in its hall.
    pub fn uses_relays(&self) -> bool {
        self.order.len() > self.options.max_direct_gateways
    }

    /// Notes that another gateway asked this one.
    pub fn record_follower(&mut self, now: Moment) {
        self.asked_at = Some(now);
    }

    /// Notes that a relay did not answer, or is not fresh itself.
    pub fn record_relay_failure(&mut self, relay: &A, now: Moment) {
        self.passed_over.insert(relay.clone(), now + self.options.failure_backoff);
    }

    /// Notes that the store did not answer this gateway as it should.
    pub fn record_store_failure(&mut self, now: Moment) {
        self.store_failed_at = Some(now);
    }

    fn is_recent(&self, at: Option<Moment>, lifetime: Duration, now: Moment) -> bool {
        at.is_some_and(|at| now < at + lifetime)
    }
}
