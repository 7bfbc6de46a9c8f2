//! Keeping the configuration in step with the store and with peers.
//!
//! Each process has a few fixed peers, most of them in its own hall. It tells them its revision
//! every heartbeat and at once when it has a new one; whoever is behind is brought up. The store's
//! head is read rarely by each process, so that the whole fleet together reads it at a fixed rate.

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

/// Shortest time between two reads of the store by one process.
const MIN_STORE_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait between tries while the store is away.
const MAX_STORE_WAIT: Duration = Duration::from_secs(30);
/// Shortest time between two reads of the list of instances.
const MIN_LIST_PERIOD: Duration = Duration::from_secs(2);

/// The instances that the platform lists, as this process last saw them.
#[derive(Default)]
pub struct Members {
    instances: Mutex<Vec<Instance>>,
}

impl Members {
    /// Gets the instances.
    pub fn all(&self) -> Vec<Instance> {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Gets the number of instances.
    pub fn len(&self) -> usize {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Tells whether no instance is known.
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

/// Gets the peers that a process exchanges its revision with: most from its own hall, and at least
/// one from elsewhere where there is one.
pub fn select_peers(
    name: &str,
    hall: &str,
    count: usize,
    instances: &[Instance],
) -> Vec<SocketAddr> {
    let key = digest::digest(name.as_bytes());
    let mut others: Vec<&Instance> = instances.iter().filter(|i| i.name != name).collect();
    others.sort_by_key(|i| std::cmp::Reverse(rendezvous(key, &i.name)));

    let (own, far): (Vec<_>, Vec<_>) = others.into_iter().partition(|i| i.hall == hall);
    let from_far = far.len().min((count / 2).max(count.saturating_sub(own.len())));
    let from_own = count - from_far;

    own.into_iter()
        .take(from_own)
        .chain(far.into_iter().take(from_far))
        .map(|i| i.peer_address)
        .collect()
}

/// Draws a wait around the given one, so that processes do not act in step.
fn spread_out(wait: Duration) -> Duration {
    wait.mul_f64(0.5 + ProcessRandom::default().unit())
}

/// What the loops of this module work with.
#[derive(Clone)]
pub struct ConfigSync {
    settings: CommonSettings,
    config: Arc<ConfigService>,
    members: Arc<Members>,
    directory: Arc<Directory>,
}

impl ConfigSync {
    /// Makes the spreading of a process.
    pub fn new(
        settings: CommonSettings,
        config: Arc<ConfigService>,
        members: Arc<Members>,
        directory: Arc<Directory>,
    ) -> Self {
        ConfigSync { settings, config, members, directory }
    }

    /// Reads the store's head now and then until the task is dropped.
    pub async fn follow_store<T: Table>(self, store: ConfigStore<T>) {
        let mut failures = 0u32;

        loop {
            match store.catch_up().await {
                Ok(()) if failures > 0 => {
                    log::info!("store is back", kv: { failures });
                    failures = 0;
                }
                Ok(()) => {}
                Err(error) => {
                    if failures == 0 {
                        log::warn!("store is away", kv: { error = error.to_string() });
                    }

                    failures = failures.saturating_add(1);
                }
            }

            async_std::task::sleep(self.store_wait(failures)).await;
        }
    }

    /// Gets the wait until the next read, spread so that a returning store is not stormed.
    fn store_wait(&self, failures: u32) -> Duration {
        let fleet = self.members.len().max(1) as f64;
        let period = Duration::from_secs_f64(fleet / self.settings.fleet_reads_per_s);
        let period = period.max(MIN_STORE_PERIOD);
        let backed_off = period * (1 << failures.min(6));
        let wait = backed_off.min(MAX_STORE_WAIT.max(period));

        spread_out(wait)
    }

    /// Reads the list of instances now and then until the task is dropped.
    pub async fn follow_instances<L: InstanceList>(self, list: L) {
        loop {
            // While the list cannot be read, the last one is the best there is.
            if let Ok(instances) = list.read().await {
                self.members.set(instances);
                self.forget_gone();
            }

            let fleet = self.members.len().max(1) as f64;
            let period = Duration::from_secs_f64(fleet / self.settings.fleet_reads_per_s);
            let wait = period.max(MIN_LIST_PERIOD);
            let first = if self.members.is_empty() { MIN_STORE_PERIOD } else { wait };

            async_std::task::sleep(spread_out(first)).await;
        }
    }

    /// Drops links to processes that neither the list nor the configuration names any more.
    fn forget_gone(&self) {
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
            // A peer that does not answer must not hold up the others, nor the next round.
            for address in self.peers() {
                let spread = self.clone();
                async_std::task::spawn(async move { spread.exchange(address).await });
            }

            let wait = spread_out(millis(self.settings.heartbeat_ms));

            futures::select! {
                _ = changed.recv().fuse() => {}
                _ = async_std::task::sleep(wait).fuse() => {}
            }
        }
    }

    /// Gets the peers to exchange revisions with.
    fn peers(&self) -> Vec<SocketAddr> {
        let settings = &self.settings;
        let instances = self.members.all();
        let chosen = select_peers(&settings.name, &settings.hall, settings.peers, &instances);

        if chosen.is_empty() { settings.seed_peers.clone() } else { chosen }
    }

    /// Exchanges revisions with one peer; whoever is behind is brought up.
    async fn exchange(&self, address: SocketAddr) {
        let revision = self.config.revision();
        let answer = self.directory.control(address, &Control::Heartbeat { revision }).await;

        let Ok(ControlAnswer::Heartbeat { revision: theirs, catch_up }) = answer else {
            return;
        };

        if let Some(catch_up) = catch_up {
            self.config.apply(catch_up);
        }

        let behind = self.config.with_replica(|r| r.catch_up(theirs));

        if let Some(catch_up) = behind {
            let _ = self.directory.control(address, &Control::CatchUp(catch_up)).await;
        }
    }
}
