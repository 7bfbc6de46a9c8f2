//! Replication of crash reports and quarantined requests between gateways, and to the store.
//!
//! Updates are sent at once to all other gateways, as datagrams. Each gateway also periodically
//! sends a digest of its state to a random peer, which replies with a full report if its own digest
//! differs. This repairs losses of datagrams and brings gateways up to date that have started or
//! were cut off. The quarantine is also stored, so that it survives a stop of all gateways.

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

use super::peers::sample_peers;
use super::service::Gateway;
use crate::message::SuspectMessage;
use crate::random::ProcessRandom;
use crate::rank::message::{Body, Datagram};

/// Interval between digest requests: a third of the time within which operators rely on all
/// gateways knowing what one of them knows.
const DIGEST_PERIOD: Duration = Duration::from_secs(1);
/// Interval at the start, while the peers are not known yet.
const FIRST_DIGEST_PERIOD: Duration = Duration::from_millis(100);
/// Number of digest requests at the interval of the start.
const FIRST_DIGESTS: u32 = 20;
/// Maximum number of datagrams of a full report: with 48 requests each, the whole quarantine fits.
const MAX_SNAPSHOT_PARTS: usize = 32;
/// Maximum number of datagrams of one update.
const MAX_UPDATE_PARTS: usize = 256;
/// First backoff after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff: outages of the store may last hours, and each call has a cost.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Sends updates and digest requests to other gateways until the task is dropped.
pub async fn exchange_reports(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut digests = 0;
    let mut digest_at = gateway.now();

    loop {
        let updated = gateway.suspect_updates.listen();
        let report = gateway.quarantine.borrow_mut().take_updates();
        send_update(&gateway, &socket, report).await;
        let now = gateway.now();

        // A steady flow of updates must not delay digest requests, which repair losses.
        if now >= digest_at {
            digest_at =
                now + if digests < FIRST_DIGESTS { FIRST_DIGEST_PERIOD } else { DIGEST_PERIOD };
            digests += 1;
            send_digest(&gateway, &socket).await;
        }

        // Wakes up for the next update or digest request.
        let _ = timeout(digest_at.saturating_sub(now), updated).await;
    }
}

/// Handles a message of another gateway.
pub async fn receive(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    from: SocketAddr,
    message: SuspectMessage,
) {
    match message {
        SuspectMessage::Ask { digest } => {
            if gateway.quarantine.borrow().digest() != digest {
                let report = gateway.quarantine.borrow().snapshot(gateway.now());
                send_report(gateway, socket, &[from], report, MAX_SNAPSHOT_PARTS).await;
            }
        }
        SuspectMessage::Tell(report) => gateway.apply_crash_report(&report),
    }
}

async fn send_digest(gateway: &Gateway, socket: &UdpSocket) {
    let digest = gateway.quarantine.borrow().digest();
    let selected = sample_peers(gateway.peers(), 1, &mut ProcessRandom::default());

    send(gateway, socket, &selected, SuspectMessage::Ask { digest }).await;
}

async fn send_update(gateway: &Gateway, socket: &UdpSocket, report: Report) {
    if !report.is_empty() {
        let peers: Vec<SocketAddr> = gateway.peers().into_iter().collect();
        send_report(gateway, socket, &peers, report, MAX_UPDATE_PARTS).await;
    }
}

async fn send_report(
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

/// Sends a message to the datagram ports of gateways, given by their peer addresses.
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
        Err(error) => {
            return log::error!("crash report not encoded", kv: { error = error.to_string() });
        }
    };

    for peer in peers {
        // Errors are ignored: what is lost is sent again after the peer's next digest request.
        drop(socket.send_to(&bytes, SocketAddr::new(peer.ip(), settings.group_port)).await);
    }
}

/// Restores the quarantine from the store, then writes its changes there until the task is dropped.
pub async fn persist_quarantine<S: SiteStore>(gateway: Rc<Gateway>, store: S) {
    gateway.relay.wait_for_gateways().await;
    restore(&gateway, &store).await;
    gateway.relay.set_quarantine_known();
    let mut pending: VecDeque<StoredChange> = VecDeque::new();
    let mut backoff = MIN_BACKOFF;

    loop {
        let updated = gateway.suspect_updates.listen();

        for change in gateway.quarantine.borrow_mut().take_stored_changes() {
            // A newer change of a request replaces a pending one.
            pending.retain(|other| other.request() != change.request());
            pending.push_back(change);
        }

        let Some(change) = pending.pop_front() else {
            updated.await;
            continue;
        };

        match write(&store, change).await {
            Ok(()) => backoff = MIN_BACKOFF,
            Err(error) => {
                let fingerprint = to_hex(change.request());
                log::warn!("quarantine not stored", kv: { fingerprint, error = error.to_string() });
                // At the back of the queue a change that the store always rejects does not block
                // others.
                pending.push_back(change);
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
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
                sleep(MIN_BACKOFF).await;
            }
        }
    };

    for (key, reason) in &listing.unreadable {
        // The request is quarantined again if it causes more crashes.
        let (key, reason) = (key.as_str(), reason.as_str());
        log::warn!("quarantine entry not readable", kv: { key, reason });
    }

    for entry in listing.entries {
        let age = Duration::from_millis(unix_ms().saturating_sub(entry.written_unix_ms));

        // A process releases its entries when they expire; those of processes that are gone are
        // released here.
        if age <= RETENTION {
            gateway.restore_quarantined(entry.request, entry.trials);
        } else if let Err(error) = store.release(entry.request).await {
            log::warn!("quarantine not stored", kv: { error = error.to_string() });
        }
    }
}
