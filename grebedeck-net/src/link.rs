//! A connection to another process of grebedeck, shared by many streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use bytes::Bytes;
use grebedeck_core::error::timeout_error;
use grebedeck_core::{Error, Result};
use h2::client::{ResponseFuture, SendRequest};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::frame::{FrameReader, FrameWriter, h2_error};
use crate::wire::CountingStream;

/// Window of one stream, in bytes: how much may be under way before the receiver reads it.
pub const STREAM_WINDOW_BYTES: u32 = 256 << 10;
/// Window of a whole connection, in bytes.
pub const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// A connection to a peer.
#[derive(Clone)]
pub struct Link {
    sender: SendRequest<Bytes>,
    closed: Arc<AtomicBool>,
    id: u64,
}

/// One stream to a peer: a request's two directions.
pub struct Stream {
    /// The sending direction.
    pub writer: FrameWriter,
    response: ResponseFuture,
}

impl Stream {
    /// Waits for the peer to take the stream, then gives its receiving direction.
    pub async fn reader(&mut self) -> Result<FrameReader> {
        let response = (&mut self.response).await.map_err(h2_error)?;

        if response.status() != h2_status::OK {
            return grebedeck_core::error::protocol_error(format!(
                "the peer refused the stream with status {}",
                response.status()
            ));
        }

        Ok(FrameReader::new(response.into_body()))
    }
}

mod h2_status {
    pub const OK: ::http::StatusCode = ::http::StatusCode::OK;
}

static NEXT_LINK_ID: AtomicU64 = AtomicU64::new(0);

impl Link {
    /// Connects to a peer.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Link> {
        match timeout(limit, Self::handshake(address)).await {
            Ok(link) => link,
            Err(_) => timeout_error("connecting to a peer"),
        }
    }

    async fn handshake(address: SocketAddr) -> Result<Link> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;

        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(CountingStream::new(tcp).compat())
            .await
            .map_err(h2_error)?;

        let closed = Arc::new(AtomicBool::new(false));
        let on_close = closed.clone();

        async_std::task::spawn(async move {
            // The error shows on every stream of the connection, which is where it matters.
            let _ = connection.await;
            on_close.store(true, Ordering::Release);
        });

        let id = NEXT_LINK_ID.fetch_add(1, Ordering::Relaxed);
        Ok(Link { sender, closed, id })
    }

    /// Tells whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Gets a number that no other link of this process has.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Opens a stream for the given purpose.
    pub async fn open(&self, path: &'static str) -> Result<Stream> {
        let mut sender = self.sender.clone().ready().await.map_err(h2_error)?;
        let request = ::http::Request::post(format!("http://grebedeck{path}"))
            .body(())
            .map_err(|e| Error::Protocol(e.to_string()))?;
        let (response, send) = sender.send_request(request, false).map_err(h2_error)?;

        Ok(Stream { writer: FrameWriter::new(send), response })
    }
}
