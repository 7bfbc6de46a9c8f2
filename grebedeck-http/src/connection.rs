//! A TCP connection with a buffer of the bytes that were read but not consumed.
//!
//! A graceful close still delivers data in flight: a target that was frozen or unreachable would
//! later read a request whose caller disconnected seconds ago. Therefore a connection with an
//! exchange in progress is reset when it is dropped or when the process ends. To avoid a system
//! call per exchange, the reset is configured on the socket when the first exchange begins, and
//! removed only before a graceful close.

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

/// Maximum length of one read: enough for a head or several events, small enough for many
/// connections.
const MAX_READ_BYTES: usize = 4096;

/// Maximum number of reads in a row that find data. After that the reader lets other tasks run, as
/// a peer that sends without end would otherwise keep its thread from them and from time-outs.
const MAX_READS_IN_ROW: u32 = 32;
/// Maximum number of interim responses before a final one.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Maximum length of a body that is copied behind its head, as a copy up to this length is cheaper
/// than another system call.
pub const MAX_COALESCED_BODY_BYTES: usize = 16 << 10;

/// Time limit for the acknowledgement of sent data, and idle time after which a peer is probed.
///
/// A connection may fall silent without a reset, for example when the peer's machine loses power;
/// without this limit, a request on it would wait until its own deadline. Retransmission after two
/// consecutive lost packets takes about 0.6 s, and callers abandon a stream after two seconds of
/// silence, so the limit lies between the two.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A TCP connection with its read buffer.
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Reads that found data since the last one that had to wait.
    reads_in_row: u32,
    close_mode: CloseMode,
}

/// How a connection is closed when it is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseMode {
    /// Gracefully; the socket has its default options.
    Graceful,
    /// Gracefully; the socket is set to reset, which has to be undone first.
    RestoreGraceful,
    /// By a reset, because an exchange is in progress.
    Reset,
}

impl Connection {
    /// Wraps an accepted stream.
    pub fn new(stream: TcpStream) -> Self {
        // With Nagle's algorithm, small writes would wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);

        Connection {
            stream,
            buffer: BytesMut::new(),
            reads_in_row: 0,
            close_mode: CloseMode::Graceful,
        }
    }

    /// Connects to an address within `time_limit`. The connection later fails if the peer is silent
    /// for longer than [`SILENCE_TIMEOUT`] allows.
    pub async fn connect(address: SocketAddr, time_limit: Duration) -> Result<Self> {
        let stream = match timeout(time_limit, TcpStream::connect(address)).await {
            Ok(stream) => stream?,
            Err(_) => return Err(HttpError::TimedOut),
        };
        set_silence_timeout(&stream).map_err(std::io::Error::from)?;

        Ok(Connection::new(stream))
    }

    /// Marks the start of an exchange, before the request is sent; until its end, dropping the
    /// connection resets it.
    pub fn begin_exchange(&mut self) -> Result<()> {
        if self.close_mode == CloseMode::Graceful {
            set_reset_on_close(&self.stream, true).map_err(std::io::Error::from)?;
        }

        self.close_mode = CloseMode::Reset;
        Ok(())
    }

    /// Marks the end of an exchange, after the response is read; dropping the connection closes it
    /// gracefully again.
    pub fn end_exchange(&mut self) {
        if self.close_mode == CloseMode::Reset {
            self.close_mode = CloseMode::RestoreGraceful;
        }
    }

    /// Bytes that were read but not consumed.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Reads available data into the buffer, waiting if there is none; returns its length, or 0 if
    /// the peer closed its side.
    ///
    /// Cancel-safe: data is in the buffer as soon as it is read, so dropping the future loses none.
    pub async fn read_more(&mut self) -> Result<usize> {
        let Connection { stream, buffer, reads_in_row, .. } = self;

        let read = poll_fn(|cx| {
            if *reads_in_row >= MAX_READS_IN_ROW {
                *reads_in_row = 0;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }

            let mut bytes = [0; MAX_READ_BYTES];
            let polled = Pin::new(&mut &*stream).poll_read(cx, &mut bytes);
            *reads_in_row = if polled.is_ready() { *reads_in_row + 1 } else { 0 };
            let read = ready!(polled);
            buffer.extend_from_slice(&bytes[..read.as_ref().copied().unwrap_or(0)]);
            Poll::Ready(read)
        });

        Ok(read.await?)
    }

    /// Reads the head of a request; fails if `max_bytes` are buffered without a complete head.
    pub async fn read_request_head(&mut self, max_bytes: usize) -> Result<RequestHead> {
        loop {
            if let Some(head) = RequestHead::parse(&mut self.buffer)? {
                return Ok(head);
            }

            self.read_more_of_head(max_bytes).await?;
        }
    }

    /// Reads the head of a response; fails if `max_bytes` are buffered without a complete head.
    pub async fn read_response_head(&mut self, max_bytes: usize) -> Result<ResponseHead> {
        loop {
            if let Some(head) = ResponseHead::parse(&mut self.buffer)? {
                return Ok(head);
            }

            self.read_more_of_head(max_bytes).await?;
        }
    }

    /// Reads the head of a final response; skips interim ones (1xx), up to a limit.
    pub async fn read_final_head(&mut self, max_bytes: usize) -> Result<ResponseHead> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.read_response_head(max_bytes).await?;

            if head.status >= 200 {
                return Ok(head);
            }
        }

        Err(HttpError::Malformed("interim responses without end"))
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

    /// Reads the rest of a body, of at most `max_bytes`, and discards it.
    pub async fn skip_body(&mut self, decoder: &mut BodyDecoder, max_bytes: usize) -> Result<()> {
        let mut skipped_bytes = 0;

        while let Some(part) = self.read_body(decoder).await? {
            skipped_bytes += part.len();

            if skipped_bytes > max_bytes {
                return Err(HttpError::BodyTooLarge(max_bytes));
            }
        }

        Ok(())
    }

    /// Writes all bytes.
    pub async fn write_all(&self, bytes: &[u8]) -> Result<()> {
        (&self.stream).write_all(bytes).await?;

        Ok(())
    }

    /// Writes as much as the socket accepts, waiting if it accepts nothing; returns the length
    /// written.
    pub async fn write_some(&self, bytes: &[u8]) -> Result<usize> {
        Ok((&self.stream).write(bytes).await?)
    }

    /// Writes a head and its body: a body of up to [`MAX_COALESCED_BODY_BYTES`] in one write with
    /// the head, a longer one without copying it.
    pub async fn write_message(&self, mut head: Vec<u8>, body: &[u8]) -> Result<()> {
        if body.len() <= MAX_COALESCED_BODY_BYTES {
            head.extend_from_slice(body);
            return self.write_all(&head).await;
        }

        self.write_all(&head).await?;
        self.write_all(body).await
    }

    /// Limits the kernel's receive buffer, in bytes; once it is full, the peer cannot send more.
    pub fn limit_receive_buffer(&self, bytes: usize) -> Result<()> {
        limit_receive_buffer(&self.stream, bytes)
    }

    /// Completes when the peer closes the connection.
    ///
    /// Data that arrives meanwhile is buffered for the next message. Once the buffer holds
    /// `max_bytes`, nothing more is read, so a later close remains undetected until the buffer is
    /// consumed.
    pub async fn wait_closed(&mut self, max_bytes: usize) {
        while self.buffer.len() < max_bytes {
            match self.read_more().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }

        futures::future::pending().await
    }

    /// Whether the connection is open, without an error and without unsolicited data.
    pub fn is_idle(&mut self) -> bool {
        self.reads_in_row = 0;
        self.buffer.is_empty() && self.read_more().now_or_never().is_none()
    }

    /// Another handle to the stream, for writing.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.close_mode == CloseMode::RestoreGraceful {
            // This fails only if the connection no longer exists, so there is nothing to close.
            let _ = set_reset_on_close(&self.stream, false);
        }
    }
}

/// Limits the kernel's receive buffer of a socket, in bytes.
fn limit_receive_buffer(stream: impl AsFd, bytes: usize) -> Result<()> {
    Ok(sockopt::set_socket_recv_buffer_size(stream, bytes).map_err(std::io::Error::from)?)
}

/// Limits the kernel's receive and send buffers of each connection that the listener accepts, in
/// bytes each.
pub fn limit_accepted_buffers(listener: &TcpListener, bytes: usize) -> Result<()> {
    limit_receive_buffer(listener, bytes)?;

    Ok(sockopt::set_socket_send_buffer_size(listener, bytes).map_err(std::io::Error::from)?)
}

/// Sets whether closing the socket resets the connection.
fn set_reset_on_close(stream: &TcpStream, enabled: bool) -> rustix::io::Result<()> {
    sockopt::set_socket_linger(stream, enabled.then_some(Duration::ZERO))
}

/// Enables keepalive probes and the time limit for acknowledgements, both by [`SILENCE_TIMEOUT`].
fn set_silence_timeout(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, SILENCE_TIMEOUT)?;
    sockopt::set_tcp_keepintvl(stream, SILENCE_TIMEOUT)?;

    sockopt::set_tcp_user_timeout(stream, SILENCE_TIMEOUT.as_millis() as u32)
}
