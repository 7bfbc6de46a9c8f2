//! Accepting streams from other Grebedeck processes.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use bytes::Bytes;
use grebedeck_core::Result;
use h2::server::SendResponse;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::counting::CountingStream;
use crate::frame::{FrameReader, FrameWriter, h2_error};
use crate::link::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES};

/// Maximum number of concurrent streams per connection.
pub const MAX_STREAMS: u32 = 4096;
/// Time limit for the HTTP/2 handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Backoff after a failed accept, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A stream that a peer opened and that is not accepted yet.
pub struct IncomingStream {
    /// Path of the request, which tells what the stream is for.
    pub path: String,
    /// Reader of the receiving half.
    pub reader: FrameReader,
    responder: SendResponse<Bytes>,
}

impl IncomingStream {
    /// Accepts the stream and returns both halves.
    pub fn accept(mut self) -> Result<(FrameReader, FrameWriter)> {
        let response = ::http::Response::new(());
        let send = self.responder.send_response(response, false).map_err(h2_error)?;

        Ok((self.reader, FrameWriter::new(send)))
    }

    /// Refuses the stream with an HTTP status; an invalid status code is sent as 200.
    pub fn refuse(mut self, status: u16) -> Result<()> {
        let mut response = ::http::Response::new(());
        *response.status_mut() = ::http::StatusCode::from_u16(status).unwrap_or_default();
        self.responder.send_response(response, true).map_err(h2_error)?;

        Ok(())
    }
}

/// Handler for the streams of a listener.
pub trait StreamHandler: Send + Sync + 'static {
    /// Handles one stream until it ends.
    fn handle(&self, incoming: IncomingStream) -> impl Future<Output = ()> + Send;

    /// Called when a connection fails its handshake or violates the protocol.
    fn on_protocol_error(&self);
}

/// Accepts connections until the future is dropped.
pub async fn listen<H: StreamHandler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                async_std::task::spawn(serve(tcp, handler.clone()));
            }
            Err(_) => async_std::task::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve<H: StreamHandler>(tcp: TcpStream, handler: Arc<H>) {
    let _ = tcp.set_nodelay(true);

    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS);

    let handshake = builder.handshake::<_, Bytes>(CountingStream::new(tcp).compat());
    let Ok(Ok(mut connection)) = async_std::future::timeout(HANDSHAKE_TIMEOUT, handshake).await
    else {
        handler.on_protocol_error();
        return;
    };

    while let Some(stream) = connection.accept().await {
        let Ok((request, responder)) = stream else {
            // A peer that merely disconnects does not violate the protocol.
            if stream.is_err_and(|e| !e.is_io()) {
                handler.on_protocol_error();
            }

            return;
        };

        let (head, body) = request.into_parts();
        let reader = FrameReader::new(body);
        let incoming = IncomingStream { path: head.uri.path().to_string(), reader, responder };
        let handler = handler.clone();

        async_std::task::spawn(async move { handler.handle(incoming).await });
    }
}
