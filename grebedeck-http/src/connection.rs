//! A TCP connection with the bytes that were read and not yet taken.
//!
//! An orderly close delivers what still waits on its way: a target that was frozen or cut off would read a request
//! whose caller left seconds ago. So a connection with an exchange under way is reset when it is dropped, and also
//! when the process ends: the system is told as the first exchange begins, and told otherwise before an orderly
//! close. That takes no call for each exchange.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Poll, ready};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use bytes::BytesMut;
use futures::{AsyncRead, AsyncWriteExt, FutureExt};
use rustix::net::sockopt;

use crate::body::{BodyDecoder, Decoded};
use crate::error::{HttpError, Result};
use crate::head::{RequestHead, ResponseHead};

/// Bytes asked for in one read: enough for a head or some events, small enough for many
/// connections.
const READ_BYTES: usize = 4096;

/// Longest body that is copied behind its head, in bytes: below it, a copy is cheaper than another call.
pub const MAX_COALESCED_BODY_BYTES: usize = 16 << 10;

/// How long bytes may stay without an acknowledgement, and a peer that sends nothing without a sign of life. A
/// connection may go silent for good without a reset, or its peer's machine lose power; without this limit a
/// request on it waits until its own time is over. Two lost packets in a row take some 0.6 s to be sent again, and
/// callers leave a stream that is silent for two seconds.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection.
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    closing: Closing,
}

/// How a connection ends when it is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    /// In order, as the system does without being told.
    InOrder,
    /// In order, and the system has to be told so.
    InOrderAgain,
    /// By a reset: an exchange is under way.
    Reset,
}

impl Connection {
    /// Takes over a stream that was accepted.
    pub fn new(stream: TcpStream) -> Self {
        // Without this, small writes wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);

        Connection { stream, buffer: BytesMut::new(), closing: Closing::InOrder }
    }

    /// Connects to an address. The connection fails where the peer is silent for [`SILENCE_TIMEOUT`].
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self> {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(stream) => stream?,
            Err(_) => return Err(HttpError::TimedOut),
        };
        limit_silence(&stream).map_err(std::io::Error::from)?;

        Ok(Connection::new(stream))
    }

    /// Notes that a request is about to be sent: from here on the connection is reset when it is dropped.
    pub fn begin_exchange(&mut self) -> Result<()> {
        if self.closing == Closing::InOrder {
            set_reset(&self.stream, true).map_err(std::io::Error::from)?;
        }

        self.closing = Closing::Reset;
        Ok(())
    }

    /// Notes that the answer was read whole: the connection is closed in order again.
    pub fn end_exchange(&mut self) {
        if self.closing == Closing::Reset {
            self.closing = Closing::InOrderAgain;
        }
    }

    /// Gets the bytes that were read and not yet taken.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Reads what is there, or waits for more; 0 means that the peer closed its side.
    ///
    /// Giving up while it waits loses nothing: bytes are in the buffer as soon as they are read.
    pub async fn read_more(&mut self) -> Result<usize> {
        let Connection { stream, buffer, .. } = self;

        let read = poll_fn(|cx| {
            let mut bytes = [0; READ_BYTES];
            let read = ready!(Pin::new(&mut &*stream).poll_read(cx, &mut bytes));
            buffer.extend_from_slice(&bytes[..read.as_ref().copied().unwrap_or(0)]);
            Poll::Ready(read)
        });

        Ok(read.await?)
    }

    /// Reads a request's head.
    pub async fn read_request_head(&mut self, max_bytes: usize) -> Result<RequestHead> {
        loop {
            if let Some(head) = RequestHead::parse(&mut self.buffer)? {
                return Ok(head);
            }

            self.read_more_of_head(max_bytes).await?;
        }
    }

    /// Reads a response's head.
    pub async fn read_response_head(&mut self, max_bytes: usize) -> Result<ResponseHead> {
        loop {
            if let Some(head) = ResponseHead::parse(&mut self.buffer)? {
                return Ok(head);
            }

            self.read_more_of_head(max_bytes).await?;
        }
    }

    async fn read_more_of_head(&mut self, max_bytes: usize) -> Result<()> {
        if self.buffer.len() >= max_bytes {
            return Err(HttpError::HeadTooLarge(max_bytes));
        }

        match self.read_more().await? {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads the next part of a body, or `None` at its end.
    pub async fn read_body(&mut self, decoder: &mut BodyDecoder) -> Result<Option<bytes::Bytes>> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => return Ok(None),
                Decoded::NeedMore => {}
            }

            match self.read_more().await? {
                0 if decoder.ends_with_connection() => return Ok(None),
                0 => return Err(HttpError::Closed),
                _ => {}
            }
        }
    }

    /// Reads a whole body.
    pub async fn read_whole(
        &mut self,
        decoder: &mut BodyDecoder,
        max_bytes: usize,
    ) -> Result<Vec<u8>> {
        let mut body = Vec::new();

        while let Some(part) = self.read_body(decoder).await? {
            if body.len() + part.len() > max_bytes {
                return Err(HttpError::BodyTooLarge(max_bytes));
            }

            body.extend_from_slice(&part);
        }

        Ok(body)
    }

    /// Writes all bytes.
    pub async fn write_all(&self, bytes: &[u8]) -> Result<()> {
        (&self.stream).write_all(bytes).await?;

        Ok(())
    }

    /// Writes what the system takes at once, or waits until it takes something; gives the length of it.
    pub async fn write_some(&self, bytes: &[u8]) -> Result<usize> {
        Ok((&self.stream).write(bytes).await?)
    }

    /// Writes a head and its body. A short body goes in one packet with the head; a long one is not copied.
    pub async fn write_message(&self, mut head: Vec<u8>, body: &[u8]) -> Result<()> {
        if body.len() <= MAX_COALESCED_BODY_BYTES {
            head.extend_from_slice(body);
            return self.write_all(&head).await;
        }

        self.write_all(&head).await?;
        self.write_all(body).await
    }

    /// Limits what the system keeps for this side until it is read, in bytes; the peer is held up beyond it.
    pub fn limit_receive_buffer(&self, bytes: usize) -> Result<()> {
        limit_receive_buffer(&self.stream, bytes)
    }

    /// Completes when the peer has closed the connection.
    ///
    /// Bytes that come meanwhile are kept for the next message. Beyond `max_bytes` of them nothing
    /// more is read, and a close behind them shows only when they have been taken.
    pub async fn wait_closed(&mut self, max_bytes: usize) {
        while self.buffer.len() < max_bytes {
            match self.read_more().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }

        futures::future::pending().await
    }

    /// Tells whether the connection is open and nothing was sent on it that nobody asked for.
    pub fn is_idle(&mut self) -> bool {
        self.buffer.is_empty() && self.read_more().now_or_never().is_none()
    }

    /// Gets another handle to write with.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.closing == Closing::InOrderAgain {
            // It fails only where there is no connection any more, and then nothing is left to close.
            let _ = set_reset(&self.stream, false);
        }
    }
}

/// Limits what the system keeps of a connection until this side reads it, in bytes.
fn limit_receive_buffer(stream: impl AsFd, bytes: usize) -> Result<()> {
    Ok(sockopt::set_socket_recv_buffer_size(stream, bytes).map_err(std::io::Error::from)?)
}

/// Limits what the system keeps of each connection that is accepted, until this side or the peer reads it, in
/// bytes.
pub fn limit_accepted_buffers(listener: &TcpListener, bytes: usize) -> Result<()> {
    limit_receive_buffer(listener, bytes)?;

    Ok(sockopt::set_socket_send_buffer_size(listener, bytes).map_err(std::io::Error::from)?)
}

/// Tells the system whether closing the stream resets it.
fn set_reset(stream: &TcpStream, resets: bool) -> rustix::io::Result<()> {
    sockopt::set_socket_linger(stream, resets.then_some(Duration::ZERO))
}

/// Has the system probe a peer that sends nothing, and give a connection up whose bytes are not acknowledged.
fn limit_silence(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, SILENCE_TIMEOUT)?;
    sockopt::set_tcp_keepintvl(stream, SILENCE_TIMEOUT)?;

    sockopt::set_tcp_user_timeout(stream, SILENCE_TIMEOUT.as_millis() as u32)
}
