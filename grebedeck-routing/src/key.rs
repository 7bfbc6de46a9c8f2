//! Keys of requests that must run at most once.
//!
//! A key is remembered by the agent that is its home. An agent forgets everything when it is
//! replaced, so a key must show that it was issued after the agent's memory begins: either it is a
//! version 7 UUID, which carries its time, or the caller sends the time beside it.

use grebedeck_core::UnixMs;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Digest of an organisation, a service and a caller's key.
pub type KeyDigest = u128;

/// A caller's key as it travels to the key's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Identifies the key.
    pub digest: KeyDigest,
    /// When the caller issued it, where it says so.
    pub issued_unix_ms: Option<UnixMs>,
}

impl Key {
    /// Makes a key from the caller's text; `issued` goes before a time that the text carries.
    pub fn new(organisation: &str, service: &str, text: &str, issued: Option<UnixMs>) -> Self {
        // A length before each part keeps different parts from running together.
        let joined = format!(
            "{}:{organisation}{}:{service}{}:{text}",
            organisation.len(),
            service.len(),
            text.len()
        );
        let digest = grebedeck_core::digest::wide_digest(joined.as_bytes());

        Key { digest, issued_unix_ms: issued.or_else(|| time_in_uuid(text)) }
    }
}

fn time_in_uuid(text: &str) -> Option<UnixMs> {
    let uuid = Uuid::try_parse(text).ok()?;
    let (seconds, nanos) = uuid.get_timestamp().filter(|_| uuid.get_version_num() == 7)?.to_unix();

    Some(seconds * 1000 + u64::from(nanos / 1_000_000))
}
