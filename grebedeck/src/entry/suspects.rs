//! Requests under which targets crash, as an entry meets them.
//!
//! Agents say whether their target crashed under an attempt; whom that speaks against and who is not sent any more is
//! [`Quarantine`]'s to decide. Entries tell each other at once, and ask one another from time to time, so that one that starts
//! later or was cut off knows it as well. What is in quarantine is in the table service, for when all entries are gone.

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
use grebedeck_routing::quarantine::{RETENTION, StoredChange};
use grebedeck_routing::{Clearance, Fingerprint, Quarantine, Report, TargetStart};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::config::sync::Members;
use crate::directory::Directory;
use crate::message::{Control, ControlAnswer, SuspectMessage};
use crate::random::ProcessRandom;
use crate::settings::CommonSettings;

/// How often another entry is asked: it is one call an entry.
const ASK_PERIOD: Duration = Duration::from_secs(1);
/// Key of the requests in quarantine in the table service.
const TABLE_KEY: &str = "quarantine";
/// How often a write is tried whose condition did not hold, as another entry wrote in between.
const MAX_WRITE_TRIES: u32 = 5;
/// First pause after a failed call to the table service.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause: outages of the table service last hours.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// What an entry knows of crashes.
pub struct Suspects {
    clock: Clock,
    quarantine: Mutex<Quarantine>,
    changed: Event,
    news: Event,
    counter: Counter,
}

/// A request in quarantine, in the table service; its key there is the fingerprint in hexadecimal digits.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Buffer {
    trials: u32,
    written_unix_ms: UnixMs,
}

impl Suspects {
    /// Makes an entry's view, which knows of no crash.
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
            news: Event::new(),
            counter,
        }
    }

    /// Waits until it is known whether a request may be sent; fails with the time until it may be tried again.
    pub async fn cleared(&self, request: Fingerprint) -> std::result::Result<(), Duration> {
        loop {
            let changed = self.changed.listen();

            match self.clearance(request) {
                Clearance::Allow => return Ok(()),
                Clearance::Trial => self.counter.add("trial"),
                Clearance::Refuse(left) => {
                    self.counter.add("refused");
                    return Err(left);
                }
                Clearance::Wait(wait) => {
                    // Whichever comes first, it is asked again.
                    let _ = timeout(wait, changed).await;
                    continue;
                }
            }

            if self.lock().take_trial(request, self.clock.now()) {
                self.tell_news();
                return Ok(());
            }
        }
    }

    fn clearance(&self, request: Fingerprint) -> Clearance {
        if self.lock().is_idle() {
            return Clearance::Allow;
        }

        self.decide();
        self.lock().clearance(request, self.clock.now())
    }

    /// Notes that a target crashed under a request, by the number of the crash in this life of its agent.
    pub fn note_crash(
        self: &Arc<Self>,
        target: &str,
        incarnation: Incarnation,
        crash: u64,
        request: Fingerprint,
    ) {
        // Numbers of an agent's next life begin anew, behind a greater incarnation.
        let start = TargetStart::listed(target, Some(incarnation + crash));
        let now = self.clock.now();
        let decides = self.lock().record_crash(&start, [request], now);
        self.counter.add("crash");
        self.tell_news();

        if decides {
            self.decide_later();
        }
    }

    /// Notes that a request was answered.
    pub fn note_answered(&self, request: Fingerprint) {
        if self.lock().is_idle() {
            return;
        }

        if self.lock().record_answer(request, self.clock.now()) {
            self.counter.add("released");
            let fingerprint = to_hex(request);
            log::info!("quarantine released", kv: { fingerprint, cause = "answered" });
        }

        self.tell_news();
    }

    /// Has other entries told, and the table service, where there is something to tell.
    fn tell_news(&self) {
        if self.lock().has_updates() {
            self.news.notify(usize::MAX);
        }
    }

    /// Answers another entry.
    pub fn answer(self: &Arc<Self>, message: SuspectMessage) -> Option<Report> {
        let now = self.clock.now();

        match message {
            SuspectMessage::Ask { digest } => {
                let quarantine = self.lock();
                (quarantine.digest() != digest).then(|| quarantine.snapshot(now))
            }
            SuspectMessage::Tell(report) => {
                self.take(&report);
                None
            }
        }
    }

    fn take(self: &Arc<Self>, report: &Report) {
        let taken = self.lock().apply_report(report, self.clock.now());

        for request in taken {
            self.note_quarantined(request, 0, "entry");
        }

        self.changed.notify(usize::MAX);
        self.decide_later();
    }

    /// Decides on requests as soon as that can be done.
    fn decide_later(self: &Arc<Self>) {
        let Some(left) = self.lock().next_decision(self.clock.now()) else {
            return;
        };
        let suspects = self.clone();

        async_std::task::spawn(async move {
            sleep(left).await;
            suspects.decide();
        });
    }

    fn decide(&self) {
        let decided = self.lock().decide(self.clock.now());

        for (request, crashes) in decided {
            self.note_quarantined(request, crashes, "own");
            self.tell_news();
            self.changed.notify(usize::MAX);
        }
    }

    fn note_quarantined(&self, request: Fingerprint, crashes: usize, from: &'static str) {
        self.counter.add("quarantined");
        let fingerprint = to_hex(request);
        log::warn!("request quarantined", kv: { fingerprint, crashes, from });
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        // Every holder leaves it whole, so a poisoned lock is still good.
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for Suspects {
    fn dump(&self) -> Value {
        let quarantine = self.lock();
        let (crashes, suspects, _) = quarantine.len();
        let held: BTreeMap<String, u32> =
            quarantine.entries().map(|(request, trials)| (to_hex(request), trials)).collect();

        json!({ "crashes": crashes, "suspects": suspects, "quarantine": held })
    }
}

/// What the loops of this module work with.
#[derive(Clone)]
pub struct Gossip {
    /// What this entry knows.
    pub suspects: Arc<Suspects>,
    /// Who it is.
    pub settings: CommonSettings,
    /// The instances that the platform lists.
    pub members: Arc<Members>,
    /// Links to them.
    pub directory: Arc<Directory>,
}

impl Gossip {
    /// Tells and asks other entries until the task is dropped.
    pub async fn follow(self) {
        let mut ask_at = self.suspects.clock.now();

        loop {
            let news = self.suspects.news.listen();
            let report = self.suspects.lock().take_updates();

            if !report.is_empty() {
                self.tell(&report);
            }

            let now = self.suspects.clock.now();

            // However much there is to tell, what was lost on the way here is asked for.
            if now >= ask_at {
                ask_at = now + ASK_PERIOD;
                self.suspects.lock().evict_expired(now);
                self.ask().await;
            }

            // Whichever comes first.
            let _ = timeout(ask_at.saturating_sub(now), news).await;
        }
    }

    fn tell(&self, report: &Report) {
        for address in self.others() {
            let gossip = self.clone();
            let message = Control::Suspects(SuspectMessage::Tell(report.clone()));

            // One that does not answer must not hold up the others. What it misses it asks for.
            async_std::task::spawn(async move {
                drop(gossip.directory.control(address, &message).await);
            });
        }
    }

    async fn ask(&self) {
        let others = self.others();

        if others.is_empty() {
            return;
        }

        let asked = others[ProcessRandom::default().below(others.len())];
        let digest = self.suspects.lock().digest();
        let message = Control::Suspects(SuspectMessage::Ask { digest });

        // One that is gone tells nothing; another one is asked next.
        if let Ok(ControlAnswer::Suspects(Some(report))) =
            self.directory.control(asked, &message).await
        {
            self.suspects.take(&report);
        }
    }

    fn others(&self) -> Vec<SocketAddr> {
        let is_other = |i: &&Instance| i.role == Role::Entry && i.name != self.settings.name;

        self.members.all().iter().filter(is_other).map(|i| i.peer_address).collect()
    }

    /// Reads what is in quarantine from the table service, and keeps it there, until the task is dropped.
    pub async fn keep<T: Table>(self, table: T) {
        self.restore(&table).await;
        let mut open: HashMap<Fingerprint, StoredChange> = HashMap::new();
        let mut pause = RETRY_PAUSE;

        loop {
            let news = self.suspects.news.listen();

            for change in self.suspects.lock().take_stored_changes() {
                open.insert(change.request(), change);
            }

            if open.is_empty() {
                news.await;
                continue;
            }

            match write(&table, &open).await {
                Ok(()) => {
                    open.clear();
                    pause = RETRY_PAUSE;
                }
                Err(error) => {
                    log::warn!("quarantine not stored", kv: { error = error.to_string() });
                    sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    async fn restore<T: Table>(&self, table: &T) {
        let (_, kept) = loop {
            match read(table).await {
                Ok(kept) => break kept,
                Err(error) => {
                    log::warn!("quarantine not read", kv: { error = error.to_string() });
                    sleep(RETRY_PAUSE).await;
                }
            }
        };

        for (fingerprint, kept) in kept {
            let Ok(request) = from_hex(&fingerprint) else {
                log::warn!("quarantine entry not readable", kv: { key = fingerprint });
                continue;
            };
            let now = self.suspects.clock.now();
            self.suspects.lock().restore(request, kept.trials, now);
            self.suspects.note_quarantined(request, 0, "store");
        }
    }
}

type KeptRequests = BTreeMap<String, Buffer>;

async fn read<T: Table>(table: &T) -> Result<(u64, KeptRequests)> {
    let mut values = table.read(&[TABLE_KEY.to_string()]).await?;
    let found = values.remove(TABLE_KEY).unwrap_or_default();
    let kept = if found.value.is_null() {
        KeptRequests::default()
    } else {
        serde_json::from_value(found.value)
            .map_err(|e| grebedeck_core::Error::Platform(format!("{TABLE_KEY}: {e}")))?
    };

    Ok((found.version, kept))
}

async fn write<T: Table>(table: &T, open: &HashMap<Fingerprint, StoredChange>) -> Result<()> {
    for _ in 0..MAX_WRITE_TRIES {
        let (version, mut kept) = read(table).await?;
        let now = unix_ms();
        kept.retain(|_, k| now.saturating_sub(k.written_unix_ms) <= RETENTION.as_millis() as u64);

        for change in open.values() {
            match change {
                StoredChange::Quarantined(request, trials) => {
                    let value = Buffer { trials: *trials, written_unix_ms: now };
                    kept.insert(to_hex(*request), value);
                }
                StoredChange::Released(request) => drop(kept.remove(&to_hex(*request))),
            }
        }

        let kept = serde_json::to_value(kept).expect("numbers always serialize");
        let transaction = Transaction {
            conditions: BTreeMap::from([(TABLE_KEY.to_string(), version)]),
            writes: BTreeMap::from([(TABLE_KEY.to_string(), kept)]),
        };

        if table.write(&transaction).await? == TransactionEnd::Written {
            return Ok(());
        }
    }

    protocol_error("other entries wrote in between each time")
}
