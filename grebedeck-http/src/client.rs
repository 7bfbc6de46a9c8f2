//! Client for short calls to one address over keep-alive connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;

use crate::body::{BodyDecoder, response_framing};
use crate::connection::Connection;
use crate::error::{HttpError, Result};
use crate::head::{Headers, RequestHead, ResponseHead};

/// Maximum length of a response's head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum length of a response's body: several times that of a large configuration.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Minimum rate of a response's body, in bytes per second: a fiftieth of the slowest known link.
const MIN_BODY_BYTES_PER_S: f64 = 20_000.0;
/// Time in which a body need not come at that rate, in timeouts of silence.
const BODY_GRACE_TIMEOUTS: u32 = 4;
/// Maximum number of idle connections: one for a watch request and one for other calls.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Head of the response.
    pub head: ResponseHead,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// A client of one address.
pub struct Client {
    address: SocketAddr,
    silence_timeout: Duration,
    idle: RefCell<Vec<Connection>>,
}

impl Client {
    /// Creates a client. `silence_timeout` limits the time to connect, and each pause within the
    /// body of a response.
    pub fn new(address: SocketAddr, silence_timeout: Duration) -> Self {
        Client { address, silence_timeout, idle: RefCell::default() }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a GET request; the response's head must arrive within `time_limit`. If a kept
    /// connection fails, the request is retried once on a new one, which is safe as GET changes
    /// nothing. A time-out is not retried.
    pub async fn get(&self, path: &str, time_limit: Duration) -> Result<Response> {
        let head = self.head("GET", path);

        match self.send_kept(&head, &[], time_limit).await {
            Some(Ok(response)) => Ok(response),
            Some(Err(HttpError::TimedOut)) => Err(HttpError::TimedOut),
            Some(Err(_)) | None => self.send_new(&head, &[], time_limit).await,
        }
    }

    /// Sends a request with a body; the response's head must arrive within `time_limit`. After an
    /// error it is unknown whether the request took effect.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        content_type: &str,
        body: &[u8],
        time_limit: Duration,
    ) -> Result<Response> {
        let mut head = self.head(method, path);
        head.headers.push("content-type", content_type);
        head.headers.push("content-length", body.len().to_string());

        match self.send_kept(&head, body, time_limit).await {
            Some(response) => response,
            None => self.send_new(&head, body, time_limit).await,
        }
    }

    fn head(&self, method: &str, path: &str) -> RequestHead {
        let mut headers = Headers::default();
        headers.push("host", self.address.to_string());

        RequestHead { method: method.into(), target: path.into(), minor_version: 1, headers }
    }

    /// Sends on a kept connection; returns `None` if none of them is idle and open.
    async fn send_kept(
        &self,
        head: &RequestHead,
        body: &[u8],
        time_limit: Duration,
    ) -> Option<Result<Response>> {
        loop {
            let mut connection = self.idle.borrow_mut().pop()?;

            if connection.is_idle() {
                return Some(self.send_on(connection, head, body, time_limit).await);
            }
        }
    }

    async fn send_new(
        &self,
        head: &RequestHead,
        body: &[u8],
        time_limit: Duration,
    ) -> Result<Response> {
        let connection = Connection::connect(self.address, self.silence_timeout).await?;

        self.send_on(connection, head, body, time_limit).await
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        head: &RequestHead,
        body: &[u8],
        time_limit: Duration,
    ) -> Result<Response> {
        let response = self.exchange(&mut connection, head, body, time_limit).await;

        match &response {
            Ok(response) if response.head.keeps_alive() => {
                let mut idle = self.idle.borrow_mut();
                idle.push(connection);
                idle.truncate(MAX_IDLE_CONNECTIONS);
            }
            // What silenced this connection may have silenced the idle ones too.
            Err(HttpError::TimedOut) => self.idle.borrow_mut().clear(),
            _ => {}
        }

        response
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        head: &RequestHead,
        body: &[u8],
        time_limit: Duration,
    ) -> Result<Response> {
        let exchange = send_and_read_head(connection, head, body);
        let head_and_decoder =
            timeout(time_limit, exchange).await.unwrap_or(Err(HttpError::TimedOut))?;

        self.read_body(connection, head_and_decoder).await
    }

    /// Reads a body without a fixed limit on the total time, which would limit its size on a slow
    /// link: with one of 0.4 s, a configuration of 1,500 routes never arrives over a link of 8
    /// Mbit/s, however often it is requested. What has arrived allows more time, so that a body
    /// that comes byte by byte ends as well.
    async fn read_body(
        &self,
        connection: &mut Connection,
        (head, mut decoder): (ResponseHead, BodyDecoder),
    ) -> Result<Response> {
        let mut body = Vec::new();
        let began_at = Instant::now();

        loop {
            let earned = Duration::from_secs_f64(body.len() as f64 / MIN_BODY_BYTES_PER_S);
            let allowed = self.silence_timeout * BODY_GRACE_TIMEOUTS + earned;
            let left = allowed.saturating_sub(began_at.elapsed()).min(self.silence_timeout);
            let next = timeout(left, connection.read_body(&mut decoder)).await;

            match next.unwrap_or(Err(HttpError::TimedOut))? {
                None => return Ok(Response { head, body }),
                Some(part) if body.len() + part.len() > MAX_BODY_BYTES => {
                    return Err(HttpError::BodyTooLarge(MAX_BODY_BYTES));
                }
                Some(part) => body.extend_from_slice(&part),
            }
        }
    }
}

/// Sends a request and reads the head of the response.
async fn send_and_read_head(
    connection: &mut Connection,
    request: &RequestHead,
    request_body: &[u8],
) -> Result<(ResponseHead, BodyDecoder)> {
    let mut bytes = Vec::with_capacity(256 + request_body.len());
    request.write(&mut bytes);
    bytes.extend_from_slice(request_body);
    connection.write_all(&bytes).await?;

    let head = connection.read_final_head(MAX_HEAD_BYTES).await?;
    let decoder = BodyDecoder::new(response_framing(&head, &request.method)?);

    Ok((head, decoder))
}
