//! Replication between gateways while one of them cannot use the store.
//!
//! The store may reject single processes while it serves others and the operators. Such a process
//! polls other gateways for their state: the seed peers of its settings, and the gateways that are
//! published in the store. What a peer sends is applied only if it is newer than the known state.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::sleep;
use grebedeck_core::time::unix_ms;
use grebedeck_core::{Error, Moment, RandomSource, Result};
use grebedeck_gateway::{
    GatewayEntry, GatewayInfo, GatewayListing, HallStatuses, Site, SiteStore, StoreVersion,
    TargetListing,
};
use grebedeck_http::{Client, RequestHead};
use grebedeck_kernel::log;
use grebedeck_net::codec::{PREFIX_BYTES, decode, encode};
use serde::{Deserialize, Serialize};

use super::relay;
use super::service::Gateway;
use crate::pages::Page;
use crate::random::ProcessRandom;

/// HTTP path at which a gateway serves its state.
const STATE_PATH: &str = "/peer/state";
/// Interval of polls while the store is unavailable: a change must be in force within 2 s.
const POLL_PERIOD: Duration = Duration::from_millis(400);
/// Number of peers to poll per round, which is small because each sends its whole state. While the
/// store rejects a third of the gateways, one round in thirty finds no peer with newer state.
const PEERS_PER_POLL: usize = 3;
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between reads of the list of published gateways.
const LIST_PERIOD: Duration = Duration::from_secs(10);
/// Interval where relays read the list for others: the relay and the follower each add one
/// interval.
const RELAYED_LIST_PERIOD: Duration = Duration::from_secs(5);
/// Time after which the own row is written again if a list lacks it; a relay's list may be this
/// old.
const REPUBLISH_PERIOD: Duration = Duration::from_secs(15);
/// Minimum backoff after the store rejected the own row.
const PUBLISH_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum random addition to the backoff: gateways that start together write more rows per second
/// than one partition of a table accepts.
const PUBLISH_JITTER: Duration = Duration::from_secs(2);
/// Time between the first write of the own row and the next read of the list, in which gateways
/// that start at the same time write their rows.
const FIRST_LIST_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of unreadable rows that are logged, each once.
const MAX_LOGGED_ROWS: usize = 100;

/// State that a gateway serves to its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PeerState {
    site: Option<Arc<Site>>,
    halls: HallStatuses,
    targets_version: StoreVersion,
    targets: TargetListing,
}

/// Answers a request of another gateway.
pub async fn answer(gateway: &Gateway, request: &RequestHead) -> Page {
    if let Some(page) = relay::answer(gateway, request, unix_ms()).await {
        return page;
    }

    if request.path() != STATE_PATH {
        return Page::empty(404);
    }

    let halls = gateway.hall_statuses();
    let (targets_version, targets) = gateway.with_targets(|t| (t.version(), t.listed()));
    let state = PeerState { site: gateway.site(), halls, targets_version, targets };

    match encode(&state) {
        Ok(bytes) => Page::bytes(bytes[PREFIX_BYTES..].to_vec()),
        Err(error) => {
            log::error!("state for peer not encoded", kv: { error = error.to_string() });
            Page::empty(500)
        }
    }
}

/// Publishes this gateway, and periodically reads the list of all gateways.
pub async fn follow_gateways<S: SiteStore>(gateway: Rc<Gateway>, store: S) {
    let settings = gateway.settings();
    let info = GatewayInfo {
        peer_address: settings.peer_address,
        hall: settings.hall.clone(),
        link_mbps: settings.link_mbps as u32,
    };
    let own = GatewayEntry { name: settings.name.clone(), info };
    let mut logged = BTreeSet::new();
    let mut published_at: Option<Moment> = None;

    loop {
        // The list is read before this gateway is published: one whose row is already there is
        // known to all others.
        let read = store.read_gateways().await;
        let is_first = published_at.is_none();
        gateway.relay.set_gateways(&own, read.as_ref().ok(), !is_first);

        match read {
            Ok(listing) => {
                log_unreadable(&listing, &mut logged);
                apply_gateways(&gateway, &listing);
                let now = gateway.now();
                let is_due = published_at.is_none_or(|at| now >= at + REPUBLISH_PERIOD);

                if is_due && !listing.gateways.contains(&own) {
                    published_at = Some(now);
                    gateway.tasks.spawn(publish(store.clone(), own.clone())).detach();

                    if is_first {
                        sleep(FIRST_LIST_PERIOD).await;
                        continue;
                    }
                }
            }
            Err(error) => {
                log::warn!("list of gateways not read", kv: { error = error.to_string() });
            }
        }

        let is_relayed = gateway.relay.has_followers();
        sleep(if is_relayed { RELAYED_LIST_PERIOD } else { LIST_PERIOD }).await;
    }
}

/// Writes the own row, with retries until the store accepts it or the row is due again.
async fn publish<S: SiteStore>(store: S, own: GatewayEntry) {
    let mut waited = Duration::ZERO;

    while let Err(error) = store.publish(&own).await {
        log::warn!("gateway not published", kv: { error = error.to_string() });
        let backoff = PUBLISH_BACKOFF + PUBLISH_JITTER.mul_f64(ProcessRandom::default().unit());
        waited += backoff;

        if waited >= REPUBLISH_PERIOD {
            return;
        }

        sleep(backoff).await;
    }
}

fn apply_gateways(gateway: &Gateway, listing: &GatewayListing) {
    let addresses = listing.gateways.iter().map(|g| g.info.peer_address);
    let addresses: BTreeSet<SocketAddr> = addresses.collect();
    let is_listed = addresses.contains(&gateway.settings().peer_address);
    gateway.set_cold_gateways(&addresses);
    gateway.set_peers(addresses);
    gateway.set_coordinators(is_listed);
}

/// Logs each unreadable row once.
fn log_unreadable(listing: &GatewayListing, logged: &mut BTreeSet<String>) {
    for (name, reason) in &listing.unreadable {
        if logged.len() < MAX_LOGGED_ROWS && logged.insert(name.clone()) {
            let (name, reason) = (name.as_str(), reason.as_str());
            log::warn!("gateway row not readable", kv: { name, reason });
        }
    }
}

/// Polls peers while the store is unavailable, until the task is dropped.
pub async fn poll_peers(gateway: Rc<Gateway>) {
    let mut clients: HashMap<SocketAddr, Rc<Client>> = HashMap::new();
    // Before the first list it is unknown whether the store is available.
    gateway.relay.wait_for_gateways().await;

    loop {
        sleep(POLL_PERIOD).await;

        if !gateway.is_store_unavailable(gateway.settings().max_store_silence()) {
            continue;
        }

        for address in sample_peers(gateway.peers(), PEERS_PER_POLL, &mut ProcessRandom::default())
        {
            let client = clients
                .entry(address)
                .or_insert_with(|| Rc::new(Client::new(address, POLL_TIMEOUT)))
                .clone();
            // In a task of its own, so that an unresponsive peer does not delay the others.
            gateway.tasks.spawn(poll_peer(gateway.clone(), client)).detach();
        }
    }
}

/// Selects up to `count` distinct peers at random.
pub fn sample_peers(
    peers: BTreeSet<SocketAddr>,
    count: usize,
    random: &mut impl RandomSource,
) -> Vec<SocketAddr> {
    let mut peers: Vec<SocketAddr> = peers.into_iter().collect();

    for at in 0..count.min(peers.len()) {
        let other = at + random.below(peers.len() - at);
        peers.swap(at, other);
    }

    peers.truncate(count);
    peers
}

/// Polls one peer and applies what is newer.
async fn poll_peer(gateway: Rc<Gateway>, client: Rc<Client>) {
    let state = match fetch(&client).await {
        Ok(state) => state,
        // Seed peers and published gateways may be gone, so a failure is counted and not logged.
        Err(error) => {
            let is_protocol_error = matches!(error, Error::Protocol(_));
            gateway.counters.peer_responses.add(if is_protocol_error {
                "not_understood"
            } else {
                "none"
            });
            return;
        }
    };
    gateway.counters.peer_responses.add("taken");

    // Halls come first, so that a new configuration never routes requests to evacuated halls.
    gateway.merge_hall_statuses(&state.halls);

    if let Some(site) = state.site.filter(|_| gateway.operator.has_hall_statuses()) {
        gateway.apply_site(&site, "peer");
    }

    gateway.update_targets(|targets, now| {
        targets.apply_snapshot(state.targets_version, state.targets, now)
    });

    if state.targets_version > 0 {
        gateway.record_targets_known();
    }
}

async fn fetch(client: &Client) -> Result<PeerState> {
    let response = client
        .get(STATE_PATH, POLL_TIMEOUT)
        .await
        .map_err(|e| Error::Platform(format!("peer {}: {e}", client.address())))?;

    decode(&response.body)
}
