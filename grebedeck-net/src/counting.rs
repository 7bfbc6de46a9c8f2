//! Counters of the bytes that this process exchanges with its peers, taken at the sockets.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures::{AsyncRead, AsyncWrite};

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Bytes sent to peers since the process started.
pub fn sent_bytes() -> u64 {
    SENT_BYTES.load(Ordering::Relaxed)
}

/// Bytes received from peers since the process started.
pub fn received_bytes() -> u64 {
    RECEIVED_BYTES.load(Ordering::Relaxed)
}

/// A TCP stream to a peer that adds its traffic to the counters.
pub struct CountingStream {
    tcp: TcpStream,
}

impl CountingStream {
    /// Wraps a TCP stream.
    pub fn new(tcp: TcpStream) -> Self {
        CountingStream { tcp }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.tcp).poll_read(context, buffer);

        if let Poll::Ready(Ok(read)) = polled {
            RECEIVED_BYTES.fetch_add(read as u64, Ordering::Relaxed);
        }

        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.tcp).poll_write(context, buffer);

        if let Poll::Ready(Ok(written)) = polled {
            SENT_BYTES.fetch_add(written as u64, Ordering::Relaxed);
        }

        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(context)
    }
}
