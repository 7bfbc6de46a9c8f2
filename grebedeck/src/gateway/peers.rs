//! What gateways tell each other while the store is away from one of them.
//!
//! The store may turn single processes away and serve the others and the operators. Such a process asks
//! other gateways for what they know: those that the settings name, and those that were published in the
//! store. What they say is taken only if it is newer, like what the store says.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
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

/// Path of what a gateway knows.
const STATE_PATH: &str = "/peer/state";
/// How often peers are asked while the store is away: a change must be in force within two seconds.
const ASK_PERIOD: Duration = Duration::from_millis(400);
/// Peers that are asked at a time, as each answers with all that it knows. While the store turns a third of the
/// gateways away, one round in thirty finds nobody who knows more.
const PEERS_ASKED: usize = 3;
/// How long a peer may take to answer.
const ASK_LIMIT: Duration = Duration::from_millis(300);
/// How often the gateways that were published are read, to know whom to ask.
const LIST_PERIOD: Duration = Duration::from_secs(10);
/// The same where relays read them for others, as each of the two steps adds its own period.
const RELAYED_LIST_PERIOD: Duration = Duration::from_secs(5);
/// How soon the own row is written again where a list does not have it; a relay's list may be that much older.
const REPUBLISH_PERIOD: Duration = Duration::from_secs(15);
/// How soon it is written again where the store did not take it, at the least, and over what time more: gateways that
/// start together write more rows than one part of a table takes in a second.
const PUBLISH_RETRY: Duration = Duration::from_secs(1);
const PUBLISH_SPREAD: Duration = Duration::from_secs(2);
/// How soon they are read again after the own row was written: others that start at the same time have written
/// theirs by then.
const FIRST_LIST_PERIOD: Duration = Duration::from_secs(1);
/// Rows of gateways that cannot be read that are told of, each once.
const MAX_TOLD: usize = 100;

/// What a gateway knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PeerState {
    site: Option<Site>,
    halls: HallStatuses,
    targets_version: StoreVersion,
    targets: TargetListing,
}

/// Answers another gateway.
pub async fn answer(gateway: &Gateway, request: &RequestHead) -> Page {
    if let Some(page) = relay::answer(gateway, request, unix_ms()).await {
        return page;
    }

    if request.path() != STATE_PATH {
        return Page::empty(404);
    }

    let halls = gateway.hall_words();
    let (targets_version, targets) = gateway.with_targets(|t| (t.version(), t.listed()));
    let state = PeerState { site: gateway.site(), halls, targets_version, targets };

    match encode(&state) {
        Ok(bytes) => Page::bytes(bytes[PREFIX_BYTES..].to_vec()),
        Err(error) => {
            log::error!("state not told", kv: { error = error.to_string() });
            Page::empty(500)
        }
    }
}

/// Publishes this gateway and reads the others from time to time.
pub async fn follow_list<S: SiteStore>(gateway: Rc<Gateway>, store: S) {
    let settings = gateway.settings();
    let info = GatewayInfo {
        peer_address: settings.peer_address,
        hall: settings.hall.clone(),
        link_mbps: settings.link_mbps as u32,
    };
    let own = GatewayEntry { name: settings.name.clone(), info };
    let mut told = BTreeSet::new();
    let mut published_at: Option<Moment> = None;

    loop {
        // Read before it is published: a gateway whose row was there before is known to all others.
        let read = store.read_gateways().await;
        let is_first = published_at.is_none();
        gateway.relay.set_gateways(&own, read.as_ref().ok(), !is_first);

        match read {
            Ok(listing) => {
                note_unreadable(&listing, &mut told);
                take_gateways(&gateway, &listing);
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
                log::warn!("gateways not read", kv: { error = error.to_string() });
            }
        }

        let is_relayed = gateway.relay.has_followers();
        sleep(if is_relayed { RELAYED_LIST_PERIOD } else { LIST_PERIOD }).await;
    }
}

/// Writes the own row, until the store takes it or its next writing is due.
async fn publish<S: SiteStore>(store: S, own: GatewayEntry) {
    let mut waited = Duration::ZERO;

    while let Err(error) = store.publish(&own).await {
        log::warn!("gateway not published", kv: { error = error.to_string() });
        let pause = PUBLISH_RETRY + PUBLISH_SPREAD.mul_f64(ProcessRandom::default().unit());
        waited += pause;

        if waited >= REPUBLISH_PERIOD {
            return;
        }

        sleep(pause).await;
    }
}

fn take_gateways(gateway: &Gateway, listing: &GatewayListing) {
    let addresses = listing.gateways.iter().map(|g| g.info.peer_address);
    let addresses: BTreeSet<SocketAddr> = addresses.collect();
    let is_listed = addresses.contains(&gateway.settings().peer_address);
    gateway.set_owners(&addresses);
    gateway.set_peers(addresses);
    gateway.set_coordinators(is_listed);
}

/// Tells of rows that cannot be read, once.
fn note_unreadable(listing: &GatewayListing, told: &mut BTreeSet<String>) {
    for (name, reason) in &listing.unreadable {
        if told.len() < MAX_TOLD && told.insert(name.clone()) {
            let (name, reason) = (name.as_str(), reason.as_str());
            log::warn!("gateway not readable", kv: { name, reason });
        }
    }
}

/// Asks the peers while the store is away, until the task is dropped.
pub async fn follow_peers(gateway: Rc<Gateway>) {
    let mut clients: HashMap<SocketAddr, Rc<Client>> = HashMap::new();
    // Until then nobody knows whether the store is away.
    gateway.relay.wait_for_list().await;

    loop {
        sleep(ASK_PERIOD).await;

        if !gateway.is_store_unavailable(gateway.settings().max_store_silence()) {
            continue;
        }

        for address in some_of(gateway.peers(), PEERS_ASKED, &mut ProcessRandom::default()) {
            let client = clients
                .entry(address)
                .or_insert_with(|| Rc::new(Client::new(address, ASK_LIMIT)))
                .clone();
            // A peer that does not answer must not hold up the others.
            gateway.tasks.spawn(ask(gateway.clone(), client)).detach();
        }
    }
}

/// Draws some of the peers.
pub fn some_of(
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

/// Asks one peer and takes what is newer.
async fn ask(gateway: Rc<Gateway>, client: Rc<Client>) {
    let state = match fetch(&client).await {
        Ok(state) => state,
        // Seeds and published gateways may be gone, so a failure is only counted.
        Err(error) => {
            let is_of_peer = matches!(error, Error::Protocol(_));
            gateway.counters.peer_answers.add(if is_of_peer { "not_understood" } else { "none" });
            return;
        }
    };
    gateway.counters.peer_answers.add("taken");

    // Halls go first: no request is routed by a new configuration before they are known.
    gateway.take_hall_words(&state.halls);

    if let Some(site) = state.site.filter(|_| gateway.operator.knows_halls()) {
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
    let answer = client
        .get(STATE_PATH, ASK_LIMIT)
        .await
        .map_err(|e| Error::Platform(format!("peer {}: {e}", client.address())))?;

    decode(&answer.body)
}
