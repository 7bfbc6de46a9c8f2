//! Directory of peers: links to them, and their identities.
//!
//! The process behind an address may be replaced by another one. A peer is therefore asked for its
//! identity once per connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use grebedeck_core::error::{protocol_error, timeout_error};
use grebedeck_core::{Error, Result};
use grebedeck_kernel::Service;
use grebedeck_net::{Link, LinkPool};
use serde_json::{Value, json};

use crate::message::{CONTROL_PATH, Control, ControlAnswer, PROTOCOL_VERSION, PeerHello};

/// Name of the service.
pub const NAME: &str = "peers";
/// Timeout of a control message and its answer.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between liveness checks of a peer while requests wait for it.
const LIVENESS_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a liveness check.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time and result of the last liveness check of a peer. The lock is held during a check, so that
/// there is one check at a time, however many requests wait for the peer.
type Liveness = async_std::sync::Arc<async_std::sync::Mutex<Option<(Instant, bool)>>>;

/// Links to peers, with the identity that each peer sent on its link.
pub struct Directory {
    pool: LinkPool,
    hellos: Mutex<HashMap<SocketAddr, (u64, PeerHello)>>,
    liveness: Mutex<HashMap<SocketAddr, Liveness>>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(connect_limit: Duration) -> Self {
        Directory {
            pool: LinkPool::new(connect_limit),
            hellos: Mutex::default(),
            liveness: Mutex::default(),
        }
    }

    /// Returns a link to a peer and the peer's identity.
    pub async fn peer(&self, address: SocketAddr) -> Result<(Link, PeerHello)> {
        let link = self.pool.link(address).await?;

        if let Some((id, hello)) = self.lock().get(&address)
            && *id == link.id()
        {
            return Ok((link, hello.clone()));
        }

        let hello = request_hello(&link).await?;
        self.lock().insert(address, (link.id(), hello.clone()));

        Ok((link, hello))
    }

    /// Sends a control message to a peer and returns its answer.
    pub async fn control(&self, address: SocketAddr, message: &Control) -> Result<ControlAnswer> {
        let link = self.pool.link(address).await?;

        send_control(&link, message).await
    }

    /// Completes when a peer no longer answers because it is dead, frozen or partitioned.
    ///
    /// A frozen process keeps its connections, so a failure cannot be detected from them alone.
    pub async fn wait_until_unresponsive(&self, address: SocketAddr) {
        loop {
            async_std::task::sleep(LIVENESS_INTERVAL).await;

            if !self.is_alive(address).await {
                return;
            }
        }
    }

    async fn is_alive(&self, address: SocketAddr) -> bool {
        let liveness = {
            let mut all = self.liveness.lock().unwrap_or_else(PoisonError::into_inner);
            all.entry(address).or_default().clone()
        };
        let mut last = liveness.lock().await;

        if let Some((at, alive)) = *last
            && at.elapsed() < LIVENESS_INTERVAL
        {
            return alive;
        }

        let hello = Control::Hello { protocol: PROTOCOL_VERSION };
        let answer = timeout(LIVENESS_TIMEOUT, self.control(address, &hello)).await;
        let alive = matches!(answer, Ok(Ok(_)));
        *last = Some((Instant::now(), alive));
        alive
    }

    /// Removes the links and identities of all peers but those that `keep` accepts.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.pool.retain(&keep);
        self.lock().retain(|address, _| keep(address));
        let mut liveness = self.liveness.lock().unwrap_or_else(PoisonError::into_inner);
        liveness.retain(|address, _| keep(address));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, (u64, PeerHello)>> {
        self.hellos.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for Directory {
    fn dump(&self) -> Value {
        let hellos = self.lock();
        let peers: Vec<Value> = hellos
            .iter()
            .map(|(address, (_, hello))| {
                json!({ "address": address, "name": hello.name, "incarnation": hello.incarnation })
            })
            .collect();

        json!({ "links": self.pool.len(), "peers": peers })
    }
}

async fn request_hello(link: &Link) -> Result<PeerHello> {
    match send_control(link, &Control::Hello { protocol: PROTOCOL_VERSION }).await? {
        ControlAnswer::Hello(hello) if hello.protocol == PROTOCOL_VERSION => Ok(hello),
        ControlAnswer::Hello(hello) => {
            Err(Error::Protocol(format!("peer has protocol version {}", hello.protocol)))
        }
        _ => protocol_error("unexpected answer to a hello"),
    }
}

async fn send_control(link: &Link, message: &Control) -> Result<ControlAnswer> {
    let exchange = async {
        let mut stream = link.open(CONTROL_PATH).await?;
        stream.writer.send_last(message).await?;
        let mut reader = stream.reader().await?;

        reader.next_required().await
    };

    match timeout(CONTROL_TIMEOUT, exchange).await {
        Ok(answer) => answer,
        Err(_) => timeout_error("a peer's answer"),
    }
}
