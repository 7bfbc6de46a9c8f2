//! HTTP client with kept connections, for targets and the platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, FutureExt};
use grebedeck_core::error::timeout_error;
use grebedeck_core::{Error, Result};
use http_types::headers::HeaderValues;
use http_types::{Request, Response};

/// Most idle connections that are kept.
const MAX_IDLE: usize = 64;

/// Client of one HTTP server.
#[derive(Clone)]
pub struct HttpClient {
    address: SocketAddr,
    connect_limit: Duration,
    idle: Arc<Mutex<Vec<TcpStream>>>,
}

/// An answer whose body is still to be read.
pub struct StreamedResponse {
    /// The answer's head; its body is read through [`StreamedResponse::read`].
    pub response: Response,
    connection: TcpStream,
    client: HttpClient,
}

/// Where a request failed.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be made, so the server got nothing.
    NotSent(Error),
    /// The server may have got the request.
    MaybeSent(Error),
}

impl HttpClient {
    /// Makes a client; it connects when it is first used.
    pub fn new(address: SocketAddr, connect_limit: Duration) -> Self {
        HttpClient { address, connect_limit, idle: Arc::default() }
    }

    /// Gets the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(&self, request: Request) -> std::result::Result<StreamedResponse, SendError> {
        let connection = match self.kept_connection() {
            Some(connection) => connection,
            None => self.connect().await.map_err(SendError::NotSent)?,
        };

        let mut response = async_h1::connect(connection.clone(), request)
            .await
            .map_err(|e| SendError::MaybeSent(Error::Protocol(e.to_string())))?;
        remove_made_up_date(&mut response);

        Ok(StreamedResponse { response, connection, client: self.clone() })
    }

    /// Sends a request and reads the whole answer, at most `max_bytes` of body, within `limit`.
    pub async fn fetch(
        &self,
        request: Request,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>)> {
        let whole = async {
            let answer = self.send(request).await.map_err(SendError::into_error)?;
            let status = answer.response.status() as u16;
            let body = answer.read_all(max_bytes).await?;

            Ok((status, body))
        };

        match async_std::future::timeout(limit, whole).await {
            Ok(result) => result,
            Err(_) => timeout_error("an HTTP answer"),
        }
    }

    async fn connect(&self) -> Result<TcpStream> {
        let connecting = TcpStream::connect(self.address);

        match async_std::future::timeout(self.connect_limit, connecting).await {
            Ok(connection) => {
                let connection: TcpStream = connection?;
                connection.set_nodelay(true)?;
                Ok(connection)
            }
            Err(_) => timeout_error("connecting to an HTTP server"),
        }
    }

    fn kept_connection(&self) -> Option<TcpStream> {
        let mut idle = self.lock();

        while let Some(connection) = idle.pop() {
            if is_open(&connection) {
                return Some(connection);
            }
        }

        None
    }

    fn keep(&self, connection: TcpStream) {
        let mut idle = self.lock();

        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl SendError {
    /// Gets the error itself.
    pub fn into_error(self) -> Error {
        match self {
            SendError::NotSent(error) | SendError::MaybeSent(error) => error,
        }
    }
}

impl StreamedResponse {
    /// Reads the next part of the body; 0 is its end.
    pub async fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        Ok(self.response.read(buffer).await?)
    }

    /// Reads the whole body, at most `max_bytes`, and keeps the connection for later.
    pub async fn read_all(mut self, max_bytes: usize) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        (&mut self.response).take(max_bytes as u64 + 1).read_to_end(&mut body).await?;

        if body.len() > max_bytes {
            return grebedeck_core::error::limit_error(format!("an answer over {max_bytes} bytes"));
        }

        self.finish();
        Ok(body)
    }

    /// Keeps the connection for later; call it only after the body's end was read.
    pub fn finish(self) {
        let closes = self.response.header("connection").is_some_and(|v| v.as_str() == "close");

        if !closes {
            self.client.keep(self.connection);
        }
    }
}

/// Removes the date that the library makes up where the server sends none: a line break stands in it, which would end
/// the head of the answer early for whoever it is passed on to.
fn remove_made_up_date(response: &mut Response) {
    let is_made_up = |values: &HeaderValues| values.as_str().contains('\n');

    if response.header("date").is_some_and(is_made_up) {
        response.remove_header("date");
    }
}

/// Tells whether an idle connection still looks open.
fn is_open(connection: &TcpStream) -> bool {
    let mut byte = [0];

    // A server that has closed, or has sent something unasked, is ready to be read.
    connection.peek(&mut byte).now_or_never().is_none()
}
