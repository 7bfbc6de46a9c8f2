//! What gateways tell each other of crashes, and what of it outlasts them.
//!
//! News go to all other gateways at once, in datagrams. Each gateway also asks another one from time to time with a digest of
//! what it knows, and is told all where that differs: so lost datagrams are made good, and a gateway that starts, or was
//! cut off, knows what the others know. What is in quarantine is in the store as well, for when all of them are gone.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::UdpSocket;
use async_std::task::sleep;
use grebedeck_core::time::unix_ms;
use grebedeck_gateway::SiteStore;
use grebedeck_gateway::source::QuarantineEntry;
use grebedeck_kernel::log;
use grebedeck_routing::Report;
use grebedeck_routing::fingerprint::to_hex;
use grebedeck_routing::quarantine::{RETENTION, StoredChange};

use super::peers::some_of;
use super::service::Gateway;
use crate::message::SuspectMessage;
use crate::random::ProcessRandom;
use crate::rank::message::{Body, Datagram};

/// How often another gateway is asked: a third of the time after which operators count on what one gateway knows.
const ASK_PERIOD: Duration = Duration::from_secs(1);
/// The same at the start, until the others are known.
const FIRST_ASK_PERIOD: Duration = Duration::from_millis(100);
/// How many times it is asked so soon.
const FIRST_ASKS: u32 = 20;
/// Most datagrams in which all is told: 48 requests each, so that what is quarantined fits.
const MAX_PARTS: usize = 32;
/// Most datagrams of news at a time.
const MAX_NEWS_PARTS: usize = 256;
/// First pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause: outages of the store last hours, and each call has its price.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// Tells and asks other gateways until the task is dropped.
pub async fn follow(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut asks = 0;
    let mut ask_at = gateway.now();

    loop {
        let news = gateway.suspect_updates.listen();
        let report = gateway.quarantine.borrow_mut().take_updates();
        tell_all(&gateway, &socket, report).await;
        let now = gateway.now();

        // However much there is to tell, what was lost on the way here is asked for.
        if now >= ask_at {
            ask_at = now + if asks < FIRST_ASKS { FIRST_ASK_PERIOD } else { ASK_PERIOD };
            asks += 1;
            ask(&gateway, &socket).await;
        }

        // Whichever comes first.
        let _ = timeout(ask_at.saturating_sub(now), news).await;
    }
}

/// Answers a message of another gateway.
pub async fn take(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    from: SocketAddr,
    message: SuspectMessage,
) {
    match message {
        SuspectMessage::Ask { digest } => {
            if gateway.quarantine.borrow().digest() != digest {
                let report = gateway.quarantine.borrow().snapshot(gateway.now());
                tell(gateway, socket, &[from], report, MAX_PARTS).await;
            }
        }
        SuspectMessage::Tell(report) => gateway.take_report(&report),
    }
}

async fn ask(gateway: &Gateway, socket: &UdpSocket) {
    let digest = gateway.quarantine.borrow().digest();
    let asked = some_of(gateway.peers(), 1, &mut ProcessRandom::default());

    send(gateway, socket, &asked, SuspectMessage::Ask { digest }).await;
}

async fn tell_all(gateway: &Gateway, socket: &UdpSocket, report: Report) {
    if !report.is_empty() {
        let peers: Vec<SocketAddr> = gateway.peers().into_iter().collect();
        tell(gateway, socket, &peers, report, MAX_NEWS_PARTS).await;
    }
}

async fn tell(
    gateway: &Gateway,
    socket: &UdpSocket,
    peers: &[SocketAddr],
    report: Report,
    max_parts: usize,
) {
    for part in report.into_parts(max_parts) {
        send(gateway, socket, peers, SuspectMessage::Tell(part)).await;
    }
}

/// Sends a message to instances of gateways, on whichever port they answer other things.
async fn send(
    gateway: &Gateway,
    socket: &UdpSocket,
    peers: &[SocketAddr],
    message: SuspectMessage,
) {
    let settings = gateway.settings();
    let from = SocketAddr::new(settings.ip, settings.group_port);
    let datagram = Datagram { from, group: None, body: Body::Suspects(message) };
    let bytes = match datagram.to_bytes() {
        Ok(bytes) => bytes,
        Err(error) => return log::error!("crashes not told", kv: { error = error.to_string() }),
    };

    for peer in peers {
        // A gateway that is gone hears nothing; what is lost is told again when it asks.
        drop(socket.send_to(&bytes, SocketAddr::new(peer.ip(), settings.group_port)).await);
    }
}

/// Reads what is in quarantine from the store, and keeps it there, until the task is dropped.
pub async fn keep<S: SiteStore>(gateway: Rc<Gateway>, store: S) {
    gateway.relay.wait_for_list().await;
    restore(&gateway, &store).await;
    gateway.relay.set_quarantine_known();
    let mut open: VecDeque<StoredChange> = VecDeque::new();
    let mut pause = RETRY_PAUSE;

    loop {
        let news = gateway.suspect_updates.listen();

        for change in gateway.quarantine.borrow_mut().take_stored_changes() {
            // What is newer of a request replaces what was to be stored.
            open.retain(|other| other.request() != change.request());
            open.push_back(change);
        }

        let Some(change) = open.pop_front() else {
            news.await;
            continue;
        };

        match write(&store, change).await {
            Ok(()) => pause = RETRY_PAUSE,
            Err(error) => {
                let fingerprint = to_hex(change.request());
                log::warn!("quarantine not stored", kv: { fingerprint, error = error.to_string() });
                // One that the store never takes must not hold up the others.
                open.push_back(change);
                sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

async fn write<S: SiteStore>(store: &S, change: StoredChange) -> grebedeck_core::Result<()> {
    match change {
        StoredChange::Quarantined(request, trials) => {
            store.quarantine(&QuarantineEntry { request, trials, written_unix_ms: unix_ms() }).await
        }
        StoredChange::Released(request) => store.release(request).await,
    }
}

async fn restore<S: SiteStore>(gateway: &Gateway, store: &S) {
    let listing = loop {
        match store.read_quarantine().await {
            Ok(listing) => break listing,
            Err(error) => {
                log::warn!("quarantine not read", kv: { error = error.to_string() });
                sleep(RETRY_PAUSE).await;
            }
        }
    };

    for (key, reason) in &listing.unreadable {
        // Its request is found out again.
        let (key, reason) = (key.as_str(), reason.as_str());
        log::warn!("quarantine entry not readable", kv: { key, reason });
    }

    for entry in listing.entries {
        let age = Duration::from_millis(unix_ms().saturating_sub(entry.written_unix_ms));

        // Processes that forget it remove it; those that are gone can't.
        if age <= RETENTION {
            gateway.restore_quarantined(entry.request, entry.trials);
        } else if let Err(error) = store.release(entry.request).await {
            log::warn!("quarantine not stored", kv: { error = error.to_string() });
        }
    }
}
