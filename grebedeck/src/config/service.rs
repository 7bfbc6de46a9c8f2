//! The configuration in force, for the other services of the process.
//!
//! Revisions arrive from the store and from peers; the newest one is put in force. The routes of
//! recent revisions are kept to find the home of an idempotency key.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use grebedeck_config::{ApplyResult, CatchUp, Replica, Routes};
use grebedeck_core::time::unix_ms;
use grebedeck_core::{Moment, Reason, Revision, UnixMs};
use grebedeck_kernel::{Clock, Counter, Metrics, Service, log};
use grebedeck_routing::{AllowedSince, Key, find_home};
use serde_json::{Value, json};

/// Name of the service.
pub const NAME: &str = "config";
/// Number of revisions whose routes are kept to find the homes of keys.
const MAX_ROUTES_HISTORY: usize = 64;

/// Routes with the time at which their revision was accepted.
type RoutesSince = (UnixMs, Arc<Routes>);

/// Configuration in force.
pub struct ConfigService {
    clock: Clock,
    replica: Mutex<Replica>,
    routes: RwLock<Arc<Routes>>,
    history: Mutex<VecDeque<RoutesSince>>,
    store_read_at: Mutex<Option<Moment>>,
    in_force_unix_ms: AtomicU64,
    changed: async_channel::Sender<Revision>,
    on_change: async_channel::Receiver<Revision>,
    offers: Counter,
}

impl ConfigService {
    /// Creates the service without a configuration.
    pub fn new(clock: Clock, metrics: &Metrics) -> Self {
        let (changed, on_change) = async_channel::bounded(1);
        let offers = metrics.counter(
            "grebedeck_config_offers",
            "end",
            "Configurations offered by the store or by peers, by what became of them",
        );

        ConfigService {
            clock,
            replica: Mutex::default(),
            routes: RwLock::default(),
            history: Mutex::default(),
            store_read_at: Mutex::default(),
            in_force_unix_ms: AtomicU64::new(0),
            changed,
            on_change,
            offers,
        }
    }

    /// Routes in force.
    pub fn routes(&self) -> Arc<Routes> {
        self.routes.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Revision in force; 0 if there is none yet.
    pub fn revision(&self) -> Revision {
        self.lock().revision()
    }

    /// Reads from the replica of the configuration.
    pub fn with_replica<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.lock())
    }

    /// Applies what the store or a peer offers; a newer revision is in force when this returns.
    pub fn apply(&self, offer: CatchUp) -> ApplyResult {
        let mut replica = self.lock();
        let result = replica.apply_each(offer, |replica, change| {
            let (revision, document) = (replica.revision(), replica.document());
            let routes = match change {
                Some(change) => self.routes().after_change(revision, document, change),
                None => Routes::new(revision, document),
            };

            self.put_in_force(replica, routes);
        });
        self.offers.add(result_label(result));

        if result == ApplyResult::Applied {
            log::info!("configuration in force", kv: { revision = replica.revision() });
            let _ = self.changed.try_send(replica.revision());
        }

        result
    }

    /// Channel that receives a message for each new revision; unread messages are coalesced.
    pub fn on_change(&self) -> async_channel::Receiver<Revision> {
        self.on_change.clone()
    }

    /// Home of an idempotency key among the targets allowed for an organisation and service.
    pub fn home(
        &self,
        organisation: &str,
        service: &str,
        key: &Key,
        margin: std::time::Duration,
    ) -> Result<Arc<grebedeck_config::Route>, Reason> {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let lists = history.iter().rev().map(|(from_unix_ms, routes)| AllowedSince {
            from_unix_ms: *from_unix_ms,
            allowed: routes.allowed(organisation, service).map_or(&[], |a| a),
        });

        find_home(lists, key, margin).cloned()
    }

    /// Records that the table service has just been read.
    pub fn record_store_answer(&self) {
        let now = self.clock.now();
        *self.store_read_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Time since the table service was last read; `None` if it never was.
    pub fn store_age(&self) -> Option<std::time::Duration> {
        let read_at = *self.store_read_at.lock().unwrap_or_else(PoisonError::into_inner);

        read_at.map(|at| self.clock.now().saturating_sub(at))
    }

    fn put_in_force(&self, replica: &Replica, routes: Routes) {
        let routes = Arc::new(routes);
        let mut in_force = self.routes.write().unwrap_or_else(PoisonError::into_inner);

        assert!(routes.revision() > in_force.revision(), "a configuration must never revert");
        *in_force = routes.clone();
        drop(in_force);

        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.push_back((replica.accepted_unix_ms(), routes));

        if history.len() > MAX_ROUTES_HISTORY {
            history.pop_front();
        }

        self.in_force_unix_ms.store(unix_ms(), Ordering::Relaxed);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Replica> {
        // A panic aborts the process, so a poisoned lock is never observed.
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for ConfigService {
    fn dump(&self) -> Value {
        let routes = self.routes();
        let (revision, digest, accepted_unix_ms) =
            self.with_replica(|r| (r.revision(), r.digest(), r.accepted_unix_ms()));

        json!({
            "revision": revision,
            "digest": format!("{digest:016x}"),
            "accepted_unix_ms": accepted_unix_ms,
            "in_force_unix_ms": self.in_force_unix_ms.load(Ordering::Relaxed),
            "targets": routes.targets().len(),
            "organisation_classes": routes.class_count(),
            "store_age_ms": self.store_age().map(|age| age.as_millis() as u64),
        })
    }
}

fn result_label(result: ApplyResult) -> &'static str {
    match result {
        ApplyResult::Applied => "adopted",
        ApplyResult::Stale => "stale",
        ApplyResult::Gap => "gap",
        ApplyResult::Corrupt => "corrupt",
    }
}
