//! Tracks requests that crash their targets, for the entry.
//!
//! Agents report whether their target crashed under an attempt; [`Quarantine`] decides which
//! requests are suspects and which are no longer sent. Entries send each other what they observe at
//! once, and request each other's state from time to time, so that an entry that starts later or
//! was cut off catches up. The requests in quarantine are also stored in the table service, so that
//! they outlive all entries.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::future::timeout;
use async_std::task::sleep;
use event_listener::Event;
use grebedeck_core::error::protocol_error;
use grebedeck_core::time::unix_ms;
use grebedeck_core::{Incarnation, RandomSource, Result, UnixMs};
use grebedeck_kernel::{Clock, Counter, Metrics, Service, log};
use grebedeck_net::platform::{Instance, Role, Table, Transaction, TransactionEnd};
use grebedeck_routing::fingerprint::{from_hex, to_hex};
use grebedeck_routing::prompt::is_part;
use grebedeck_routing::quarantine::{RETENTION, StoredChange};
use grebedeck_routing::{Clearance, Fingerprint, Fingerprints, Quarantine, Report, TargetStart};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::config::sync::Members;
use crate::directory::Directory;
use crate::message::{Control, ControlAnswer, SuspectMessage};
use crate::random::ProcessRandom;
use crate::settings::CommonSettings;

/// Interval between requests for another entry's state; each is one call to one entry.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// Key in the table service.
const TABLE_KEY: &str = "quarantine";
/// Maximum number of attempts at a write whose condition fails because another entry has written.
const MAX_WRITE_ATTEMPTS: u32 = 5;
/// First backoff after a failed call to the table service.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff; outages of the table service last hours.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(8);

/// The entry's records of crashes and its quarantine.
pub struct Suspects {
    clock: Clock,
    quarantine: Mutex<Quarantine>,
    /// Notified when a request's clearance may have changed.
    changed: Event,
    /// Notified when there are updates to send or store.
    updates: Event,
    counter: Counter,
}

/// A request in quarantine, as stored in the table service under its fingerprint in hexadecimal
/// digits.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct StoredRequest {
    trials: u32,
    written_unix_ms: UnixMs,
}

impl Suspects {
    /// Creates records without any crash.
    pub fn new(clock: Clock, metrics: &Metrics) -> Self {
        let counter = metrics.counter(
            "grebedeck_quarantine",
            "kind",
            "Crashes of targets, and what became of the requests that ran under them",
        );

        Suspects {
            clock,
            quarantine: Mutex::default(),
            changed: Event::new(),
            updates: Event::new(),
            counter,
        }
    }

    /// Waits until a request may be sent; fails with the time until it may be tried again.
    pub async fn wait_for_clearance(
        &self,
        request: &Fingerprints,
    ) -> std::result::Result<(), Duration> {
        loop {
            let changed = self.changed.listen();

            match self.clearance(request) {
                Clearance::Allow => return Ok(()),
                Clearance::Trial => self.counter.add("trial"),
                Clearance::Refuse(remaining) => {
                    self.counter.add("refused");
                    return Err(remaining);
                }
                Clearance::Wait(wait) => {
                    // Checked again after the time or a change, whichever comes first.
                    let _ = timeout(wait, changed).await;
                    continue;
                }
            }

            if self.lock().take_trial(request, self.clock.now()) {
                self.notify_updates();
                return Ok(());
            }
        }
    }

    fn clearance(&self, request: &Fingerprints) -> Clearance {
        if self.lock().is_idle() {
            return Clearance::Allow;
        }

        self.decide();
        self.lock().clearance(request, self.clock.now())
    }

    /// Records a crash of a target under a request, with its number in this incarnation of the
    /// target's agent.
    pub fn record_crash(
        self: &Arc<Self>,
        target: &str,
        incarnation: Incarnation,
        crash: u64,
        request: &Fingerprints,
    ) {
        // Crash numbers start anew in the agent's next incarnation, whose number is greater.
        let start = TargetStart::listed(target, Some(incarnation + crash));
        let now = self.clock.now();
        let is_decision_pending = self.lock().record_crash(&start, request.iter(), now);
        self.counter.add("crash");
        self.notify_updates();

        if is_decision_pending {
            self.schedule_decision();
        }
    }

    /// Records that a target has begun to run a request.
    pub fn record_run(&self, request: &Fingerprints) {
        if !request.prompt.parts.is_empty() {
            self.lock().record_run(&request.prompt);
        }
    }

    /// Records that a request was answered, which clears it, and the parts of its prompt too if the
    /// answer is a success.
    pub fn record_answer(&self, request: &Fingerprints, is_success: bool) {
        if self.lock().is_idle() && request.prompt.parts.is_empty() {
            return;
        }

        let released = self.lock().record_answer(request, is_success, self.clock.now());

        for fingerprint in released {
            self.counter.add("released");
            let fingerprint = to_hex(fingerprint);
            log::info!("quarantine released", kv: { fingerprint, cause = "answered" });
        }

        self.notify_updates();
    }

    /// Wakes the tasks that inform other entries and the table service, if there are updates.
    fn notify_updates(&self) {
        if self.lock().has_updates() {
            self.updates.notify(usize::MAX);
        }
    }

    /// Handles a message of another entry; returns the reply.
    pub fn handle_message(self: &Arc<Self>, message: SuspectMessage) -> Option<Report> {
        let now = self.clock.now();

        match message {
            SuspectMessage::Ask { digest } => {
                let quarantine = self.lock();
                (quarantine.digest() != digest).then(|| quarantine.snapshot(now))
            }
            SuspectMessage::Tell(report) => {
                self.apply_report(&report);
                None
            }
        }
    }

    fn apply_report(self: &Arc<Self>, report: &Report) {
        let quarantined = self.lock().apply_report(report, self.clock.now());

        for request in quarantined {
            self.record_quarantined(request, 0, "entry");
        }

        self.changed.notify(usize::MAX);
        self.schedule_decision();
    }

    /// Schedules the next decision on suspects, if one is pending.
    fn schedule_decision(self: &Arc<Self>) {
        let Some(remaining) = self.lock().next_decision(self.clock.now()) else {
            return;
        };
        let suspects = self.clone();

        async_std::task::spawn(async move {
            sleep(remaining).await;
            suspects.decide();
        });
    }

    fn decide(&self) {
        let decided = self.lock().decide(self.clock.now());

        for (request, crashes) in decided {
            self.record_quarantined(request, crashes, "own");
            self.notify_updates();
            self.changed.notify(usize::MAX);
        }
    }

    fn record_quarantined(&self, request: Fingerprint, crashes: usize, from: &'static str) {
        let targets = self.lock().targets_under(request).join(",");
        let fingerprint = to_hex(request);

        if is_part(request) {
            self.counter.add("part_quarantined");
            log::warn!("prompt part quarantined", kv: { fingerprint, crashes, from, targets });
        } else {
            self.counter.add("quarantined");
            log::warn!("request quarantined", kv: { fingerprint, crashes, from, targets });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        // No holder of the lock leaves the quarantine inconsistent when it panics, so a poisoned
        // lock can be used.
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for Suspects {
    fn dump(&self) -> Value {
        let quarantine = self.lock();
        let (crashes, suspects, _) = quarantine.len();
        let quarantined: BTreeMap<String, u32> =
            quarantine.entries().map(|(request, trials)| (to_hex(request), trials)).collect();

        json!({ "crashes": crashes, "suspects": suspects, "quarantine": quarantined })
    }
}

/// Context of the tasks that exchange records with other entries and the table service.
#[derive(Clone)]
pub struct Gossip {
    /// Records of this entry.
    pub suspects: Arc<Suspects>,
    /// Settings of this entry.
    pub settings: CommonSettings,
    /// Instances that the platform lists.
    pub members: Arc<Members>,
    /// Connections to them.
    pub directory: Arc<Directory>,
}

impl Gossip {
    /// Sends updates to other entries and requests their state, until the task is dropped.
    pub async fn exchange(self) {
        let mut next_snapshot_at = self.suspects.clock.now();

        loop {
            let updates = self.suspects.updates.listen();
            let report = self.suspects.lock().take_updates();

            if !report.is_empty() {
                self.broadcast(&report);
            }

            let now = self.suspects.clock.now();

            // Lost updates are requested at the same interval, however many are sent.
            if now >= next_snapshot_at {
                next_snapshot_at = now + SNAPSHOT_INTERVAL;
                self.suspects.lock().evict_expired(now);
                self.request_snapshot().await;
            }

            // Until the next request or an update, whichever comes first.
            let _ = timeout(next_snapshot_at.saturating_sub(now), updates).await;
        }
    }

    fn broadcast(&self, report: &Report) {
        for address in self.other_entries() {
            let gossip = self.clone();
            let message = Control::Suspects(SuspectMessage::Tell(report.clone()));

            // An entry that does not answer must not delay the others; it requests later what it
            // misses.
            async_std::task::spawn(async move {
                drop(gossip.directory.control(address, &message).await);
            });
        }
    }

    async fn request_snapshot(&self) {
        let other_entries = self.other_entries();

        if other_entries.is_empty() {
            return;
        }

        let other = other_entries[ProcessRandom::default().below(other_entries.len())];
        let digest = self.suspects.lock().digest();
        let message = Control::Suspects(SuspectMessage::Ask { digest });

        // If the entry is gone, another one is asked next time.
        if let Ok(ControlAnswer::Suspects(Some(report))) =
            self.directory.control(other, &message).await
        {
            self.suspects.apply_report(&report);
        }
    }

    fn other_entries(&self) -> Vec<SocketAddr> {
        let is_other = |i: &&Instance| i.role == Role::Entry && i.name != self.settings.name;

        self.members.all().iter().filter(is_other).map(|i| i.peer_address).collect()
    }

    /// Restores the quarantine from the table service, then stores its changes there, until the
    /// task is dropped.
    pub async fn persist<T: Table>(self, table: T) {
        self.restore(&table).await;
        let mut pending: HashMap<Fingerprint, StoredChange> = HashMap::new();
        let mut backoff = MIN_RETRY_BACKOFF;

        loop {
            let updates = self.suspects.updates.listen();

            for change in self.suspects.lock().take_stored_changes() {
                pending.insert(change.request(), change);
            }

            if pending.is_empty() {
                updates.await;
                continue;
            }

            match write_stored(&table, &pending).await {
                Ok(()) => {
                    pending.clear();
                    backoff = MIN_RETRY_BACKOFF;
                }
                Err(error) => {
                    log::warn!("quarantine not stored", kv: { error = error.to_string() });
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
                }
            }
        }
    }

    async fn restore<T: Table>(&self, table: &T) {
        let (_, stored) = loop {
            match read_stored(table).await {
                Ok(stored) => break stored,
                Err(error) => {
                    log::warn!("quarantine not read", kv: { error = error.to_string() });
                    sleep(MIN_RETRY_BACKOFF).await;
                }
            }
        };

        for (fingerprint, stored) in stored {
            let Ok(request) = from_hex(&fingerprint) else {
                log::warn!("quarantine entry not readable", kv: { key = fingerprint });
                continue;
            };
            let now = self.suspects.clock.now();
            self.suspects.lock().restore(request, stored.trials, now);
            self.suspects.record_quarantined(request, 0, "store");
        }
    }
}

type StoredRequests = BTreeMap<String, StoredRequest>;

async fn read_stored<T: Table>(table: &T) -> Result<(u64, StoredRequests)> {
    let mut values = table.read(&[TABLE_KEY.to_string()]).await?;
    let found = values.remove(TABLE_KEY).unwrap_or_default();
    let stored = if found.value.is_null() {
        StoredRequests::default()
    } else {
        serde_json::from_value(found.value)
            .map_err(|e| grebedeck_core::Error::Platform(format!("{TABLE_KEY}: {e}")))?
    };

    Ok((found.version, stored))
}

async fn write_stored<T: Table>(
    table: &T,
    pending: &HashMap<Fingerprint, StoredChange>,
) -> Result<()> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let (version, mut stored) = read_stored(table).await?;
        let now = unix_ms();
        stored.retain(|_, request| {
            now.saturating_sub(request.written_unix_ms) <= RETENTION.as_millis() as u64
        });

        for change in pending.values() {
            match change {
                StoredChange::Quarantined(request, trials) => {
                    let value = StoredRequest { trials: *trials, written_unix_ms: now };
                    stored.insert(to_hex(*request), value);
                }
                StoredChange::Released(request) => drop(stored.remove(&to_hex(*request))),
            }
        }

        let stored = serde_json::to_value(stored).expect("numbers always serialize");
        let transaction = Transaction {
            conditions: BTreeMap::from([(TABLE_KEY.to_string(), version)]),
            writes: BTreeMap::from([(TABLE_KEY.to_string(), stored)]),
        };

        if table.write(&transaction).await? == TransactionEnd::Written {
            return Ok(());
        }
    }

    protocol_error("other entries changed the value during each write attempt")
}
