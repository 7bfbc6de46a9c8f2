//! Encoding of messages as frames: a big-endian `u32` length, then the message in bincode.

use bytes::{BufMut, Bytes, BytesMut};
use grebedeck_core::error::{limit_error, protocol_error};
use grebedeck_core::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size of a frame's length prefix.
pub const PREFIX_BYTES: usize = 4;
/// Maximum length of a frame, without its prefix.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Encodes a message as a frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let mut buffer = BytesMut::with_capacity(256);
    encode_into(message, &mut buffer)?;

    Ok(buffer.freeze())
}

/// Appends a message as a frame to the buffer.
pub fn encode_into<T: Serialize>(message: &T, buffer: &mut BytesMut) -> Result<()> {
    let start = buffer.len();
    buffer.put_u32(0);

    let mut writer = buffer.writer();
    bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard())
        .map_err(|e| Error::Protocol(format!("encode: {e}")))?;

    let buffer = writer.into_inner();
    let len = buffer.len() - start - PREFIX_BYTES;

    if len > MAX_FRAME_BYTES {
        return limit_error(format!("a frame of {len} bytes"));
    }

    buffer[start..start + PREFIX_BYTES].copy_from_slice(&(len as u32).to_be_bytes());
    Ok(())
}

/// Decodes a message from a frame without its prefix; trailing bytes are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|e| Error::Protocol(format!("decode: {e}")))?;

    if used != bytes.len() {
        return protocol_error("bytes are left over behind a message");
    }

    Ok(message)
}
