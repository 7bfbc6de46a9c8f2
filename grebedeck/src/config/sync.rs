//! Synchronization of the configuration with the store and with peers.
//!
//! Each process selects a few peers, most of them in its own hall. It sends them its revision with
//! each heartbeat, and immediately when it has a new one; the side that is behind is updated. Each
//! process reads the store's head rarely, so that the whole fleet reads it at a fixed rate.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use grebedeck_core::rendezvous;
use grebedeck_core::{RandomSource, digest};
use grebedeck_kernel::{Service, log};
use grebedeck_net::platform::{Instance, InstanceList, InstanceState, Table};
use serde_json::{Value, json};

use super::service::ConfigService;
use super::store::ConfigStore;
use crate::directory::Directory;
use crate::message::{Control, ControlAnswer};
use crate::random::ProcessRandom;
use crate::settings::{CommonSettings, millis};

/// Minimum interval between two reads of the store by one process.
const MIN_STORE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum backoff while the store is unavailable.
const MAX_STORE_BACKOFF: Duration = Duration::from_secs(30);
/// Minimum interval between two reads of the list of instances.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Instances that the platform lists, as this process last read them.
#[derive(Default)]
pub struct Members {
    instances: Mutex<Vec<Instance>>,
}

impl Members {
    /// All instances.
    pub fn all(&self) -> Vec<Instance> {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn set(&self, instances: Vec<Instance>) {
        *self.instances.lock().unwrap_or_else(PoisonError::into_inner) = instances;
    }
}

impl Service for Members {
    fn dump(&self) -> Value {
        let instances = self.all();
        let leaving = instances.iter().filter(|i| i.state == InstanceState::Leaving).count();

        json!({ "instances": instances.len(), "leaving": leaving })
    }
}

/// Selects the peers with which a process exchanges its revision: most of them from its own hall,
/// and at least one from another hall if there is one.
pub fn select_peers(
    name: &str,
    hall: &str,
    count: usize,
    instances: &[Instance],
) -> Vec<SocketAddr> {
    let key = digest::digest(name.as_bytes());
    let mut others: Vec<&Instance> = instances.iter().filter(|i| i.name != name).collect();
    others.sort_by_key(|i| std::cmp::Reverse(rendezvous(key, &i.name)));

    let (own, remote): (Vec<_>, Vec<_>) = others.into_iter().partition(|i| i.hall == hall);
    let from_remote = remote.len().min((count / 2).max(count.saturating_sub(own.len())));
    let from_own = count - from_remote;

    own.into_iter()
        .take(from_own)
        .chain(remote.into_iter().take(from_remote))
        .map(|i| i.peer_address)
        .collect()
}

/// Adds jitter to a wait, so that processes do not act in step.
fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(0.5 + ProcessRandom::default().unit())
}

/// Synchronization tasks of a process.
#[derive(Clone)]
pub struct ConfigSync {
    settings: CommonSettings,
    config: Arc<ConfigService>,
    members: Arc<Members>,
    directory: Arc<Directory>,
}

impl ConfigSync {
    /// Creates the synchronization without starting its tasks.
    pub fn new(
        settings: CommonSettings,
        config: Arc<ConfigService>,
        members: Arc<Members>,
        directory: Arc<Directory>,
    ) -> Self {
        ConfigSync { settings, config, members, directory }
    }

    /// Reads the store's head periodically until the task is dropped.
    pub async fn follow_store<T: Table>(self, store: ConfigStore<T>) {
        let mut failures = 0u32;

        loop {
            match store.catch_up().await {
                Ok(()) if failures > 0 => {
                    log::info!("store available again", kv: { failures });
                    failures = 0;
                }
                Ok(()) => {}
                Err(error) => {
                    if failures == 0 {
                        log::warn!("store unavailable", kv: { error = error.to_string() });
                    }

                    failures = failures.saturating_add(1);
                }
            }

            async_std::task::sleep(self.store_wait(failures)).await;
        }
    }

    /// Wait until the next read: exponential backoff with jitter, so that the fleet does not
    /// overload a store that has just recovered.
    fn store_wait(&self, failures: u32) -> Duration {
        let fleet = self.members.len().max(1) as f64;
        let interval = Duration::from_secs_f64(fleet / self.settings.fleet_reads_per_s);
        let interval = interval.max(MIN_STORE_INTERVAL);
        let backoff = interval * (1 << failures.min(6));
        let wait = backoff.min(MAX_STORE_BACKOFF.max(interval));

        jittered(wait)
    }

    /// Reads the list of instances periodically until the task is dropped.
    pub async fn follow_instances<L: InstanceList>(self, list: L) {
        loop {
            // While the list cannot be read, the last known one stays in use.
            if let Ok(instances) = list.read().await {
                self.members.set(instances);
                self.remove_unlisted_links();
            }

            let fleet = self.members.len().max(1) as f64;
            let interval = Duration::from_secs_f64(fleet / self.settings.fleet_reads_per_s);
            let interval = interval.max(MIN_LIST_INTERVAL);
            let wait = if self.members.is_empty() { MIN_STORE_INTERVAL } else { interval };

            async_std::task::sleep(jittered(wait)).await;
        }
    }

    /// Removes links to processes that are neither in the list nor in the configuration.
    fn remove_unlisted_links(&self) {
        let listed = self.members.all();
        let routes = self.config.routes();
        let targets = routes.targets().values().map(|r| r.agent_address);
        let known: HashSet<SocketAddr> = listed
            .iter()
            .map(|i| i.peer_address)
            .chain(targets)
            .chain(self.settings.seed_peers.iter().copied())
            .collect();

        self.directory.retain(|address| known.contains(address));
    }

    /// Exchanges revisions with the peers until the task is dropped.
    pub async fn follow_peers(self) {
        let changed = self.config.on_change();

        loop {
            // A peer that does not answer must not delay the others or the next round.
            for address in self.peers() {
                let sync = self.clone();
                async_std::task::spawn(async move { sync.exchange(address).await });
            }

            let wait = jittered(millis(self.settings.heartbeat_ms));

            futures::select! {
                _ = changed.recv().fuse() => {}
                _ = async_std::task::sleep(wait).fuse() => {}
            }
        }
    }

    /// Peers to exchange revisions with; the seed peers while no other instance is known.
    fn peers(&self) -> Vec<SocketAddr> {
        let settings = &self.settings;
        let instances = self.members.all();
        let selected = select_peers(&settings.name, &settings.hall, settings.peers, &instances);

        if selected.is_empty() { settings.seed_peers.clone() } else { selected }
    }

    /// Exchanges revisions with one peer and updates the side that is behind.
    async fn exchange(&self, address: SocketAddr) {
        let revision = self.config.revision();
        let answer = self.directory.control(address, &Control::Heartbeat { revision }).await;

        let Ok(ControlAnswer::Heartbeat { revision: theirs, catch_up }) = answer else {
            return;
        };

        if let Some(catch_up) = catch_up {
            self.config.apply(catch_up);
        }

        let peer_catch_up = self.config.with_replica(|r| r.catch_up(theirs));

        if let Some(catch_up) = peer_catch_up {
            let _ = self.directory.control(address, &Control::CatchUp(catch_up)).await;
        }
    }
}
