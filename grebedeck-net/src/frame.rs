//! Length-prefixed frames over an h2 stream.
//!
//! Backpressure comes from HTTP/2 flow control: a writer waits for window capacity, and a reader
//! returns capacity as it buffers data.

use std::future::poll_fn;

use bytes::{Buf, Bytes, BytesMut};
use grebedeck_core::error::{limit_error, protocol_error};
use grebedeck_core::{Error, Result};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec::{MAX_FRAME_BYTES, PREFIX_BYTES, decode, encode};

/// Converts an h2 error into an I/O error of kind `ConnectionAborted`.
pub fn h2_error(error: h2::Error) -> Error {
    Error::Io(std::io::Error::new(std::io::ErrorKind::ConnectionAborted, error.to_string()))
}

/// Writes frames to a stream; waits while the receiver's flow-control window is full.
pub struct FrameWriter {
    send: SendStream<Bytes>,
}

impl FrameWriter {
    /// Wraps the sending half of a stream.
    pub fn new(send: SendStream<Bytes>) -> Self {
        FrameWriter { send }
    }

    /// Sends one message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<()> {
        self.send_encoded(encode(message)?).await
    }

    /// Sends one message and ends this half of the stream.
    pub async fn send_last<T: Serialize>(&mut self, message: &T) -> Result<()> {
        self.send_parts(encode(message)?, true).await
    }

    /// Sends encoded frames.
    pub async fn send_encoded(&mut self, bytes: Bytes) -> Result<()> {
        self.send_parts(bytes, false).await
    }

    /// Sends encoded frames and ends this half of the stream.
    pub async fn send_encoded_last(&mut self, bytes: Bytes) -> Result<()> {
        self.send_parts(bytes, true).await
    }

    async fn send_parts(&mut self, mut bytes: Bytes, last: bool) -> Result<()> {
        while !bytes.is_empty() {
            let capacity = self.capacity(bytes.len()).await?;
            let part = bytes.split_to(capacity.min(bytes.len()));
            self.send.send_data(part, last && bytes.is_empty()).map_err(h2_error)?;
        }

        Ok(())
    }

    async fn capacity(&mut self, wanted: usize) -> Result<usize> {
        self.send.reserve_capacity(wanted);

        // `poll_capacity` reports only increases, so capacity already assigned is used first.
        while self.send.capacity() == 0 {
            match poll_fn(|cx| self.send.poll_capacity(cx)).await {
                Some(result) => result.map_err(h2_error)?,
                None => return Err(closed_error()),
            };
        }

        Ok(self.send.capacity())
    }

    /// Completes when the peer resets the stream.
    pub async fn cancelled(&mut self) {
        let _ = poll_fn(|cx| self.send.poll_reset(cx)).await;
    }
}

fn closed_error() -> Error {
    Error::Io(std::io::Error::new(std::io::ErrorKind::BrokenPipe, "the stream is closed"))
}

/// Reads frames from a stream and returns flow-control capacity for the bytes it buffers.
pub struct FrameReader {
    receive: RecvStream,
    buffer: BytesMut,
    max_frame_bytes: usize,
}

impl FrameReader {
    /// Wraps the receiving half of a stream.
    pub fn new(receive: RecvStream) -> Self {
        FrameReader { receive, buffer: BytesMut::new(), max_frame_bytes: MAX_FRAME_BYTES }
    }

    /// Reads the next message, or `None` at the end of the stream.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return decode(&frame).map(Some);
            }

            match self.receive.data().await {
                Some(data) => self.buffer_data(data.map_err(h2_error)?)?,
                None if self.buffer.is_empty() => return Ok(None),
                None => return protocol_error("the stream ends within a frame"),
            }
        }
    }

    /// Reads the next message; the end of the stream is a protocol error.
    pub async fn next_required<T: DeserializeOwned>(&mut self) -> Result<T> {
        match self.next().await? {
            Some(message) => Ok(message),
            None => protocol_error("the stream ended before its last message"),
        }
    }

    fn buffer_data(&mut self, data: Bytes) -> Result<()> {
        self.buffer.extend_from_slice(&data);

        self.receive.flow_control().release_capacity(data.len()).map_err(h2_error)
    }

    fn take_frame(&mut self) -> Result<Option<Bytes>> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };

        let len = u32::from_be_bytes(*prefix) as usize;

        if len > self.max_frame_bytes {
            return limit_error(format!("a frame of {len} bytes"));
        }

        if self.buffer.len() < PREFIX_BYTES + len {
            return Ok(None);
        }

        self.buffer.advance(PREFIX_BYTES);
        Ok(Some(self.buffer.split_to(len).freeze()))
    }
}
