//! Pool with one link per peer, connected on first use and reconnected after it closes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::sync::{Arc, Mutex};
use grebedeck_core::Result;

use crate::link::Link;

type Slot = Arc<Mutex<Option<Link>>>;

/// Links by peer address.
#[derive(Clone)]
pub struct LinkPool {
    connect_timeout: Duration,
    slots: Arc<std::sync::Mutex<HashMap<SocketAddr, Slot>>>,
}

impl LinkPool {
    /// Creates an empty pool; `connect_timeout` applies to each attempt to connect.
    pub fn new(connect_timeout: Duration) -> Self {
        LinkPool { connect_timeout, slots: Arc::default() }
    }

    /// Returns the link to a peer; concurrent callers share one attempt to connect.
    pub async fn link(&self, address: SocketAddr) -> Result<Link> {
        let slot = self.slot(address);
        let mut link_slot = slot.lock().await;

        if let Some(link) = link_slot.as_ref().filter(|l| !l.is_closed()) {
            return Ok(link.clone());
        }

        *link_slot = None;
        let link = Link::connect(address, self.connect_timeout).await?;
        *link_slot = Some(link.clone());

        Ok(link)
    }

    /// Number of peers in the pool.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether the pool has no peers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the links to peers for which `keep` is false; their open streams continue.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|address, _| keep(address));
    }

    fn slot(&self, address: SocketAddr) -> Slot {
        self.lock().entry(address).or_default().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        // No holder leaves the map inconsistent, so a poisoned lock is still usable.
        self.slots.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
