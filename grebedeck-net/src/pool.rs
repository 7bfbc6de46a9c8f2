//! One link per peer, made when it is first needed and again after it broke.

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
    connect_limit: Duration,
    slots: Arc<std::sync::Mutex<HashMap<SocketAddr, Slot>>>,
}

impl LinkPool {
    /// Makes an empty pool.
    pub fn new(connect_limit: Duration) -> Self {
        LinkPool { connect_limit, slots: Arc::default() }
    }

    /// Gets the link to a peer; concurrent callers share one attempt to connect.
    pub async fn link(&self, address: SocketAddr) -> Result<Link> {
        let slot = self.slot(address);
        let mut held = slot.lock().await;

        if let Some(link) = held.as_ref().filter(|l| !l.is_closed()) {
            return Ok(link.clone());
        }

        *held = None;
        let link = Link::connect(address, self.connect_limit).await?;
        *held = Some(link.clone());

        Ok(link)
    }

    /// Gets the number of peers that a link is kept for.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Tells whether no link is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the links to peers that are no longer wanted; streams under way go on.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|address, _| keep(address));
    }

    fn slot(&self, address: SocketAddr) -> Slot {
        self.lock().entry(address).or_default().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        // The map is left whole by every holder, so a poisoned lock is still good.
        self.slots.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
