//! HTTP client with keep-alive connections, for targets and the platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, FutureExt};
use grebedeck_core::error::timeout_error;
use grebedeck_core::{Error, Result};
use http_types::headers::HeaderValues;
use http_types::{Request, Response};

/// Maximum number of idle connections kept per client.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Client of one HTTP server; clones share the idle connections.
#[derive(Clone)]
pub struct HttpClient {
    address: SocketAddr,
    connect_timeout: Duration,
    idle: Arc<Mutex<Vec<TcpStream>>>,
}

/// A response whose body has not been read yet.
pub struct StreamedResponse {
    /// Head of the response; [`StreamedResponse::read`] reads its body.
    pub response: Response,
    connection: TcpStream,
    client: HttpClient,
}

/// Failure to send a request or to receive the head of its response.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be made, so the server received nothing and a retry is safe.
    NotSent(Error),
    /// The server may have received the request.
    MaybeSent(Error),
}

impl HttpClient {
    /// Creates a client, which connects on first use.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        HttpClient { address, connect_timeout, idle: Arc::default() }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of the response; no time limit applies to the wait.
    pub async fn send(&self, request: Request) -> std::result::Result<StreamedResponse, SendError> {
        let connection = match self.idle_connection() {
            Some(connection) => connection,
            None => self.connect().await.map_err(SendError::NotSent)?,
        };

        let mut response = async_h1::connect(connection.clone(), request)
            .await
            .map_err(|e| SendError::MaybeSent(Error::Protocol(e.to_string())))?;
        remove_inserted_date(&mut response);

        Ok(StreamedResponse { response, connection, client: self.clone() })
    }

    /// Sends a request and reads the whole response within `time_limit`; the body may have at most
    /// `max_bytes`. Returns the status and the body.
    pub async fn fetch(
        &self,
        request: Request,
        max_bytes: usize,
        time_limit: Duration,
    ) -> Result<(u16, Vec<u8>)> {
        let exchange = async {
            let streamed = self.send(request).await.map_err(SendError::into_error)?;
            let status = streamed.response.status() as u16;
            let body = streamed.read_all(max_bytes).await?;

            Ok((status, body))
        };

        match async_std::future::timeout(time_limit, exchange).await {
            Ok(result) => result,
            Err(_) => timeout_error("an HTTP answer"),
        }
    }

    async fn connect(&self) -> Result<TcpStream> {
        let connecting = TcpStream::connect(self.address);

        match async_std::future::timeout(self.connect_timeout, connecting).await {
            Ok(connection) => {
                let connection: TcpStream = connection?;
                connection.set_nodelay(true)?;
                Ok(connection)
            }
            Err(_) => timeout_error("connecting to an HTTP server"),
        }
    }

    fn idle_connection(&self) -> Option<TcpStream> {
        let mut idle = self.lock();

        while let Some(connection) = idle.pop() {
            if is_open(&connection) {
                return Some(connection);
            }
        }

        None
    }

    fn release(&self, connection: TcpStream) {
        let mut idle = self.lock();

        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl SendError {
    /// The underlying error.
    pub fn into_error(self) -> Error {
        match self {
            SendError::NotSent(error) | SendError::MaybeSent(error) => error,
        }
    }
}

impl StreamedResponse {
    /// Reads the next part of the body; returns 0 at its end.
    pub async fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        Ok(self.response.read(buffer).await?)
    }

    /// Reads the whole body, at most `max_bytes`, and returns the connection for reuse.
    pub async fn read_all(mut self, max_bytes: usize) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        (&mut self.response).take(max_bytes as u64 + 1).read_to_end(&mut body).await?;

        if body.len() > max_bytes {
            return grebedeck_core::error::limit_error(format!("an answer over {max_bytes} bytes"));
        }

        self.finish();
        Ok(body)
    }

    /// Returns the connection to the client for reuse. Call this only at the end of the body.
    pub fn finish(self) {
        let closes = self.response.header("connection").is_some_and(|v| v.as_str() == "close");

        if !closes {
            self.client.release(self.connection);
        }
    }
}

/// Removes the `date` header that the library inserts if the server sends none. The inserted value
/// contains a line break, which would end the head early when the response is forwarded.
fn remove_inserted_date(response: &mut Response) {
    let is_inserted = |values: &HeaderValues| values.as_str().contains('\n');

    if response.header("date").is_some_and(is_inserted) {
        response.remove_header("date");
    }
}

/// Whether an idle connection still appears open.
fn is_open(connection: &TcpStream) -> bool {
    let mut byte = [0];

    // A connection that is closed or has unsolicited data is readable.
    connection.peek(&mut byte).now_or_never().is_none()
}
