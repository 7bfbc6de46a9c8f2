//! Idempotency keys, for requests that must run at most once.
//!
//! A key is remembered by one agent, its home. An agent loses its memory when it is replaced, so
//! the time at which the key was issued must be known and lie within the agent's memory. The key is
//! either a version 7 UUID, which contains its time, or the caller sends the time with it.

use grebedeck_core::UnixMs;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Digest of organisation, service and the caller's key.
pub type KeyDigest = u128;

/// A caller's key in the form that is sent to its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Digest that identifies the key.
    pub digest: KeyDigest,
    /// When the caller issued the key, if known.
    pub issued_unix_ms: Option<UnixMs>,
}

impl Key {
    /// Creates a key from the caller's text; `issued` takes precedence over the time in a UUID.
    pub fn new(organisation: &str, service: &str, text: &str, issued: Option<UnixMs>) -> Self {
        // Length prefixes keep different splits of the same characters apart.
        let joined = format!(
            "{}:{organisation}{}:{service}{}:{text}",
            organisation.len(),
            service.len(),
            text.len()
        );
        let digest = grebedeck_core::digest::wide_digest(joined.as_bytes());

        Key { digest, issued_unix_ms: issued.or_else(|| uuid_v7_time(text)) }
    }
}

fn uuid_v7_time(text: &str) -> Option<UnixMs> {
    let uuid = Uuid::try_parse(text).ok()?;
    let (seconds, nanos) = uuid.get_timestamp().filter(|_| uuid.get_version_num() == 7)?.to_unix();

    Some(seconds * 1000 + u64::from(nanos / 1_000_000))
}
