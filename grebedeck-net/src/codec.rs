//! Messages as bytes: a length, then the message in bincode.

use bytes::{BufMut, Bytes, BytesMut};
use grebedeck_core::error::{limit_error, protocol_error};
use grebedeck_core::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Length of the prefix that holds a frame's length, in bytes.
pub const PREFIX_BYTES: usize = 4;
/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Encodes a message with its length prefix.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let mut buffer = BytesMut::with_capacity(256);
    encode_into(message, &mut buffer)?;

    Ok(buffer.freeze())
}

/// Encodes a message with its length prefix behind what the buffer holds.
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

/// Decodes a message without its length prefix; left-over bytes are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|e| Error::Protocol(format!("decode: {e}")))?;

    if used != bytes.len() {
        return protocol_error("bytes are left over behind a message");
    }

    Ok(message)
}
