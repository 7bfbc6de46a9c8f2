//! Who stands behind each peer address, asked once per connection.

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

/// The service's name.
pub const NAME: &str = "peers";
/// How long a peer may take to answer a control message.
const CONTROL_LIMIT: Duration = Duration::from_secs(2);

/// How often a peer that somebody waits for is asked whether it is still there.
const LIVENESS_PERIOD: Duration = Duration::from_secs(1);
/// How long it may take to answer that.
const LIVENESS_LIMIT: Duration = Duration::from_secs(1);

/// When a peer was last asked whether it is there, and whether it was. Whoever asks holds the lock,
/// so that a peer is asked once, however many requests wait for it.
type Liveness = async_std::sync::Arc<async_std::sync::Mutex<Option<(Instant, bool)>>>;

/// Links to peers, with what each peer said of itself on the link.
pub struct Directory {
    pool: LinkPool,
    known: Mutex<HashMap<SocketAddr, (u64, PeerHello)>>,
    liveness: Mutex<HashMap<SocketAddr, Liveness>>,
}

impl Directory {
    /// Makes an empty directory.
    pub fn new(connect_limit: Duration) -> Self {
        Directory {
            pool: LinkPool::new(connect_limit),
            known: Mutex::default(),
            liveness: Mutex::default(),
        }
    }

    /// Gets a link to a peer and who it is.
    pub async fn peer(&self, address: SocketAddr) -> Result<(Link, PeerHello)> {
        let link = self.pool.link(address).await?;

        if let Some((id, hello)) = self.lock().get(&address)
            && *id == link.id()
        {
            return Ok((link, hello.clone()));
        }

        let hello = greet(&link).await?;
        self.lock().insert(address, (link.id(), hello.clone()));

        Ok((link, hello))
    }

    /// Sends a control message to a peer and gets its answer.
    pub async fn control(&self, address: SocketAddr, message: &Control) -> Result<ControlAnswer> {
        let link = self.pool.link(address).await?;

        control_on(&link, message).await
    }

    /// Completes when a peer no longer answers, be it dead, frozen or cut off.
    ///
    /// A frozen process keeps its connections, so that waiting on them alone shows nothing.
    pub async fn silent(&self, address: SocketAddr) {
        loop {
            async_std::task::sleep(LIVENESS_PERIOD).await;

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
            && at.elapsed() < LIVENESS_PERIOD
        {
            return alive;
        }

        let hello = Control::Hello { protocol: PROTOCOL_VERSION };
        let asked = timeout(LIVENESS_LIMIT, self.control(address, &hello)).await;
        let alive = matches!(asked, Ok(Ok(_)));
        *last = Some((Instant::now(), alive));
        alive
    }

    /// Drops what is kept of peers that are no longer wanted.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.pool.retain(&keep);
        self.lock().retain(|address, _| keep(address));
        let mut liveness = self.liveness.lock().unwrap_or_else(PoisonError::into_inner);
        liveness.retain(|address, _| keep(address));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, (u64, PeerHello)>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for Directory {
    fn dump(&self) -> Value {
        let known = self.lock();
        let peers: Vec<Value> = known
            .iter()
            .map(|(address, (_, hello))| {
                json!({ "address": address, "name": hello.name, "incarnation": hello.incarnation })
            })
            .collect();

        json!({ "links": self.pool.len(), "peers": peers })
    }
}

async fn greet(link: &Link) -> Result<PeerHello> {
    match control_on(link, &Control::Hello { protocol: PROTOCOL_VERSION }).await? {
        ControlAnswer::Hello(hello) if hello.protocol == PROTOCOL_VERSION => Ok(hello),
        ControlAnswer::Hello(hello) => {
            Err(Error::Protocol(format!("the peer speaks version {}", hello.protocol)))
        }
        _ => protocol_error("a hello was not answered with one"),
    }
}

async fn control_on(link: &Link, message: &Control) -> Result<ControlAnswer> {
    let exchange = async {
        let mut stream = link.open(CONTROL_PATH).await?;
        stream.writer.send_last(message).await?;
        let mut reader = stream.reader().await?;

        reader.next_required().await
    };

    match timeout(CONTROL_LIMIT, exchange).await {
        Ok(answer) => answer,
        Err(_) => timeout_error("a peer's answer"),
    }
}
