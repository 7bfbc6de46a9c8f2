//! Framing of bodies: where a body ends, and decoding it from a connection's bytes.
//!
//! A message whose framing is ambiguous is rejected, as two parties that disagree on where it ends
//! would read different messages from the same connection (request smuggling).

use bytes::{Buf, Bytes, BytesMut};

use crate::error::{HttpError, Result};
use crate::head::{Headers, RequestHead, ResponseHead};

/// Maximum length of a chunk-size line or trailer line.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum length of all trailers.
const MAX_TRAILER_BYTES: u64 = 16 << 10;
/// Maximum length of the lines around chunks, not counting [`MAX_CHUNK_OVERHEAD`] for each byte of
/// data.
const MAX_CHUNK_LINE_BYTES: u64 = 16 << 10;
/// Bytes of lines that each byte of data allows. A chunk of one byte has five.
const MAX_CHUNK_OVERHEAD: u64 = 8;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses chunked transfer encoding.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// Framing of a request's body; ambiguous framing is an error.
pub fn request_framing(head: &RequestHead) -> Result<Framing> {
    let length = content_length(&head.headers)?;

    match (is_chunked(&head.headers)?, length) {
        (true, Some(_)) => Err(HttpError::Malformed("length and chunks together")),
        (true, None) if head.minor_version == 0 => Err(HttpError::Malformed("chunks in HTTP/1.0")),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(0) | None) => Ok(Framing::Empty),
        (false, Some(length)) => Ok(Framing::Length(length)),
    }
}

/// Framing of the body of a response to a request with the given method.
pub fn response_framing(head: &ResponseHead, request_method: &str) -> Result<Framing> {
    if request_method == "HEAD" || head.status < 200 || matches!(head.status, 204 | 304) {
        return Ok(Framing::Empty);
    }

    let length = content_length(&head.headers)?;

    match (is_chunked(&head.headers)?, length) {
        (true, Some(_)) => Err(HttpError::Malformed("length and chunks together")),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>> {
    let mut values = headers.all("content-length");
    let Some(first) = values.next() else {
        return Ok(None);
    };

    if values.any(|other| other != first) {
        return Err(HttpError::Malformed("two lengths"));
    }

    // `parse` would also accept a sign.
    let text = std::str::from_utf8(first).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
    let length = text.and_then(|t| t.parse().ok());

    length.map(Some).ok_or(HttpError::Malformed("length"))
}

fn is_chunked(headers: &Headers) -> Result<bool> {
    let mut codings = headers.all("transfer-encoding");

    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(HttpError::Malformed("transfer encoding")),
    }
}

/// Result of a decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// The next part of the body.
    Data(Bytes),
    /// More bytes are needed before anything can be decoded.
    NeedMore,
    /// The body is complete.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    Ended,
}

/// Decodes one body from a connection's bytes; leaves the bytes after it in the buffer.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    /// Length of the chunks' data so far.
    data_bytes: u64,
    /// Length of the lines around chunks so far.
    line_bytes: u64,
    /// Length of the trailers so far.
    trailer_bytes: u64,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Ended,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };

        BodyDecoder { state, data_bytes: 0, line_bytes: 0, trailer_bytes: 0 }
    }

    /// Removes the next part of the body from the front of the buffer.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded> {
        loop {
            match self.state {
                State::Ended => return Ok(Decoded::End),
                _ if buffer.is_empty() => return Ok(Decoded::NeedMore),
                State::Length(remaining) => {
                    let (data, remaining) = split_data(buffer, remaining);
                    self.state =
                        if remaining == 0 { State::Ended } else { State::Length(remaining) };
                    return Ok(Decoded::Data(data));
                }
                State::UntilClose => return Ok(Decoded::Data(buffer.split().freeze())),
                State::ChunkData(remaining) => {
                    let (data, remaining) = split_data(buffer, remaining);
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
                    self.data_bytes += data.len() as u64;
                    return Ok(Decoded::Data(data));
                }
                State::ChunkSize | State::ChunkEnd | State::Trailers => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(Decoded::NeedMore);
                    };
                    self.count_line(&line)?;
                    self.state = self.after_line(&line)?;
                }
            }
        }
    }

    /// Whether the body is complete if the peer closes the connection in order now.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilClose | State::Ended)
    }

    /// Number of bytes still to come, if known in advance.
    pub fn remaining_bytes(&self) -> Option<usize> {
        match self.state {
            State::Length(remaining) => Some(usize::try_from(remaining).unwrap_or(usize::MAX)),
            State::Ended => Some(0),
            _ => None,
        }
    }

    /// Whether the body has been decoded completely.
    pub fn is_complete(&self) -> bool {
        self.state == State::Ended
    }

    /// Counts a line, which is no data: without a limit, a peer could send lines without end.
    fn count_line(&mut self, line: &[u8]) -> Result<()> {
        let length_bytes = line.len() as u64 + 2;
        let (counted, max_bytes) = match self.state {
            State::Trailers => (&mut self.trailer_bytes, MAX_TRAILER_BYTES),
            _ => {
                let allowed_bytes = self.data_bytes.saturating_mul(MAX_CHUNK_OVERHEAD);
                (&mut self.line_bytes, MAX_CHUNK_LINE_BYTES.saturating_add(allowed_bytes))
            }
        };
        *counted += length_bytes;

        match *counted > max_bytes {
            true => Err(HttpError::Malformed("too many bytes outside of the data")),
            false => Ok(()),
        }
    }

    fn after_line(&self, line: &[u8]) -> Result<State> {
        match self.state {
            State::ChunkSize => match chunk_size(line)? {
                0 => Ok(State::Trailers),
                size => Ok(State::ChunkData(size)),
            },
            State::ChunkEnd if line.is_empty() => Ok(State::ChunkSize),
            State::ChunkEnd => Err(HttpError::Malformed("end of a chunk")),
            _ if line.is_empty() => Ok(State::Ended),
            state => Ok(state),
        }
    }
}

fn split_data(buffer: &mut BytesMut, remaining: u64) -> (Bytes, u64) {
    let length = buffer.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));

    (buffer.split_to(length).freeze(), remaining - length as u64)
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>> {
    let Some(end) = buffer.iter().position(|b| *b == b'\n') else {
        return match buffer.len() {
            0..MAX_LINE_BYTES => Ok(None),
            _ => Err(HttpError::Malformed("line of a chunk")),
        };
    };

    let mut line = buffer.split_to(end);
    buffer.advance(1);

    match line.split_off(line.len().saturating_sub(1)).as_ref() {
        b"\r" => Ok(Some(line)),
        _ => Err(HttpError::Malformed("line of a chunk")),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64> {
    let size = line.split(|b| *b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(size).map(str::trim).unwrap_or_default();
    let is_hex = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());

    match u64::from_str_radix(text, 16) {
        Ok(size) if is_hex => Ok(size),
        _ => Err(HttpError::Malformed("length of a chunk")),
    }
}

/// Appends one chunk. Empty data is skipped, as an empty chunk would end the body.
pub fn write_chunk(data: &[u8], out: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }

    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}
