//! Taking streams from other processes.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use bytes::Bytes;
use grebedeck_core::Result;
use h2::server::SendResponse;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::frame::{FrameReader, FrameWriter, h2_error};
use crate::link::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES};
use crate::wire::CountingStream;

/// Most streams at once on one connection.
pub const MAX_STREAMS: u32 = 4096;
/// How long a new connection may take to greet.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A stream that a peer has opened.
pub struct IncomingStream {
    /// What the stream is for.
    pub path: String,
    /// The receiving direction.
    pub reader: FrameReader,
    respond: SendResponse<Bytes>,
}

impl IncomingStream {
    /// Takes the stream and gives both directions.
    pub fn accept(mut self) -> Result<(FrameReader, FrameWriter)> {
        let response = ::http::Response::new(());
        let send = self.respond.send_response(response, false).map_err(h2_error)?;

        Ok((self.reader, FrameWriter::new(send)))
    }

    /// Refuses the stream with an HTTP status.
    pub fn refuse(mut self, status: u16) -> Result<()> {
        let mut response = ::http::Response::new(());
        *response.status_mut() = ::http::StatusCode::from_u16(status).unwrap_or_default();
        self.respond.send_response(response, true).map_err(h2_error)?;

        Ok(())
    }
}

/// Handles the streams of a listener.
pub trait StreamHandler: Send + Sync + 'static {
    /// Handles one stream to its end.
    fn handle(&self, incoming: IncomingStream) -> impl Future<Output = ()> + Send;

    /// Notes that a connection failed to speak the protocol.
    fn on_protocol_error(&self);
}

/// Takes connections until the task is dropped.
pub async fn listen<H: StreamHandler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                async_std::task::spawn(serve(tcp, handler.clone()));
            }
            Err(_) => async_std::task::sleep(ACCEPT_PAUSE).await,
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
    let Ok(Ok(mut connection)) = async_std::future::timeout(HANDSHAKE_LIMIT, handshake).await
    else {
        handler.on_protocol_error();
        return;
    };

    while let Some(stream) = connection.accept().await {
        let Ok((request, respond)) = stream else {
            // A peer that just went away is no fault of the protocol.
            if stream.is_err_and(|e| !e.is_io()) {
                handler.on_protocol_error();
            }

            return;
        };

        let (head, body) = request.into_parts();
        let reader = FrameReader::new(body);
        let incoming = IncomingStream { path: head.uri.path().to_string(), reader, respond };
        let handler = handler.clone();

        async_std::task::spawn(async move { handler.handle(incoming).await });
    }
}
