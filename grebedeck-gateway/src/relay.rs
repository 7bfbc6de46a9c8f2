//! Choice of what a gateway reads the store's contents from: the store itself, or a gateway that
//! relays it.
//!
//! The load that this handles: hundreds of gateways that each watch one store. The store's calls
//! and bytes would grow with the number of gateways, and so would the load when it returns after an
//! outage.
//!
//! In each hall one gateway, the relay, reads the store, and the others follow it. Every gateway
//! derives the relay from the list of gateways, so no agreement is needed: it is the hall's first
//! by link rate and then by a hash. The largest link comes first because a new configuration goes
//! to all followers at once; on a small link that would delay callers' streams. A relay that fails
//! a follower is skipped for a while, and the next in the order takes its place. Where lists or
//! failures differ, a gateway that does not consider itself a relay may be asked; it acts as one
//! for as long as requests come. A gateway that finds itself first in the order reads the store, so
//! gateways never wait for each other in a cycle.
//!
//! A gateway that cannot reach the store follows others, whatever its place in the order.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_core::digest::{digest, rendezvous};

/// Options of [`RelaySelector`].
#[derive(Clone, Copy, Debug)]
pub struct RelayOptions {
    /// Size of a hall, in gateways, up to which each reads the store: a relay would save next to
    /// nothing.
    pub max_direct_gateways: usize,
    /// How long a relay is skipped after a failure.
    pub failure_backoff: Duration,
    /// How long a gateway stays a relay after a follower's request; followers ask again within half
    /// of that.
    pub follower_lease: Duration,
    /// How long this gateway follows others after a failed call to the store.
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

/// What a gateway reads from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source<A> {
    /// The store itself.
    Store,
    /// A gateway that reads the store.
    Relay(A),
}

/// Selects what a gateway reads from, given the gateways of its hall and recent failures.
#[derive(Clone, Debug)]
pub struct RelaySelector<A> {
    options: RelayOptions,
    own: A,
    /// The hall's gateways, in order of preference as relays.
    order: Vec<A>,
    skipped_until: HashMap<A, Moment>,
    followed_at: Option<Moment>,
    store_failed_at: Option<Moment>,
}

impl<A: Clone + Eq + std::hash::Hash + ToString> RelaySelector<A> {
    /// Starts with no known gateways, so that the store is read.
    pub fn new(own: A, options: RelayOptions) -> Self {
        RelaySelector {
            options,
            own,
            order: Vec::new(),
            skipped_until: HashMap::new(),
            followed_at: None,
            store_failed_at: None,
        }
    }

    /// Sets the gateways of the own hall, with their link rates in Mbit/s.
    pub fn set_gateways(&mut self, hall: &str, gateways: impl IntoIterator<Item = (A, u32)>) {
        let key = digest(hall.as_bytes());
        let mut ranked: Vec<(A, u32)> = gateways.into_iter().collect();
        // Ties are broken by name, so that the order is the same at every gateway.
        ranked.sort_by_cached_key(|(gateway, link_mbps)| {
            let name = gateway.to_string();
            (Reverse(*link_mbps), Reverse(rendezvous(key, &name)), name)
        });
        self.order = ranked.into_iter().map(|(gateway, _)| gateway).collect();
        let order = &self.order;
        self.skipped_until.retain(|gateway, _| order.contains(gateway));
    }

    /// Selects what to read from now.
    pub fn source(&self, now: Moment) -> Source<A> {
        if self.order.len() <= self.options.max_direct_gateways {
            return Source::Store;
        }

        let is_store_failing = self.is_store_failing(now);

        if !is_store_failing && self.is_recent(self.followed_at, self.options.follower_lease, now) {
            return Source::Store;
        }

        let is_skipped =
            |gateway: &&A| self.skipped_until.get(gateway).is_some_and(|until| now < *until);
        let mut relays = self.order.iter().filter(|gateway| !is_skipped(gateway));
        let is_own = |gateway: &&A| **gateway == self.own;

        match relays.next() {
            Some(relay) if !is_own(&relay) => Source::Relay(relay.clone()),
            Some(_) if is_store_failing => relays
                .find(|gateway| !is_own(gateway))
                .cloned()
                .map_or(Source::Store, Source::Relay),
            _ => Source::Store,
        }
    }

    /// Whether a call to the store failed within [`RelayOptions::store_backoff`].
    pub fn is_store_failing(&self, now: Moment) -> bool {
        self.is_recent(self.store_failed_at, self.options.store_backoff, now)
    }

    /// Whether the hall is large enough for relays, so that others may follow this gateway.
    pub fn uses_relays(&self) -> bool {
        self.order.len() > self.options.max_direct_gateways
    }

    /// Records a request from a follower.
    pub fn record_follower(&mut self, now: Moment) {
        self.followed_at = Some(now);
    }

    /// Records that a relay did not answer or that its data was stale.
    pub fn record_relay_failure(&mut self, relay: &A, now: Moment) {
        self.skipped_until.insert(relay.clone(), now + self.options.failure_backoff);
    }

    /// Records a failed call of this gateway to the store.
    pub fn record_store_failure(&mut self, now: Moment) {
        self.store_failed_at = Some(now);
    }

    fn is_recent(&self, at: Option<Moment>, lifetime: Duration, now: Moment) -> bool {
        at.is_some_and(|at| now < at + lifetime)
    }
}
