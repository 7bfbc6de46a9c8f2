//! An HTTP/2 connection to another Grebedeck process, multiplexed among many streams.

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

use crate::counting::CountingStream;
use crate::frame::{FrameReader, FrameWriter, h2_error};

/// Flow-control window of a stream: the most unread data that a peer may send.
pub const STREAM_WINDOW_BYTES: u32 = 256 << 10;
/// Flow-control window of a connection, shared by its streams.
pub const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// A connection to a peer; clones share it.
#[derive(Clone)]
pub struct Link {
    sender: SendRequest<Bytes>,
    closed: Arc<AtomicBool>,
    id: u64,
}

/// A bidirectional stream to a peer, carried by one HTTP/2 request.
pub struct Stream {
    /// Writer of the sending half.
    pub writer: FrameWriter,
    response: ResponseFuture,
}

impl Stream {
    /// Waits until the peer accepts the stream, then returns the reader of the receiving half.
    pub async fn reader(&mut self) -> Result<FrameReader> {
        let response = (&mut self.response).await.map_err(h2_error)?;

        if response.status() != status::OK {
            return grebedeck_core::error::protocol_error(format!(
                "the peer refused the stream with status {}",
                response.status()
            ));
        }

        Ok(FrameReader::new(response.into_body()))
    }
}

mod status {
    pub const OK: ::http::StatusCode = ::http::StatusCode::OK;
}

static NEXT_LINK_ID: AtomicU64 = AtomicU64::new(0);

impl Link {
    /// Connects to a peer; TCP connect and HTTP/2 handshake must complete within `time_limit`.
    pub async fn connect(address: SocketAddr, time_limit: Duration) -> Result<Link> {
        match timeout(time_limit, Self::handshake(address)).await {
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
            // Every stream of the connection reports the error, so it is not handled here.
            let _ = connection.await;
            on_close.store(true, Ordering::Release);
        });

        let id = NEXT_LINK_ID.fetch_add(1, Ordering::Relaxed);
        Ok(Link { sender, closed, id })
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Identifier that is unique among the links of this process.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Opens a stream; the path tells the peer what it is for.
    pub async fn open(&self, path: &'static str) -> Result<Stream> {
        let mut sender = self.sender.clone().ready().await.map_err(h2_error)?;
        let request = ::http::Request::post(format!("http://grebedeck{path}"))
            .body(())
            .map_err(|e| Error::Protocol(e.to_string()))?;
        let (response, send) = sender.send_request(request, false).map_err(h2_error)?;

        Ok(Stream { writer: FrameWriter::new(send), response })
    }
}
