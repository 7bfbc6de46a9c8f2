//! Non-cryptographic digests of answers and documents, and rendezvous hashing.

use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// A 64-bit digest (xxh3). Detects truncated or swapped data, not tampering.
pub type Digest = u64;

/// Returns the digest of a buffer.
pub fn digest(bytes: &[u8]) -> Digest {
    xxh3_64(bytes)
}

/// Incremental digest of a stream.
#[derive(Default)]
pub struct DigestWriter {
    hash: Xxh3,
}

impl DigestWriter {
    /// Adds the next chunk of the stream.
    pub fn update(&mut self, bytes: &[u8]) {
        self.hash.update(bytes);
    }

    /// Returns the digest of all chunks so far.
    pub fn digest(&self) -> Digest {
        self.hash.digest()
    }

    /// Returns a 128-bit digest of all chunks so far, where a collision among many inputs
    /// is not acceptable.
    pub fn wide_digest(&self) -> u128 {
        self.hash.digest128()
    }
}

/// Returns the rendezvous-hashing weight of `node` for `key`. The node with the highest weight owns
/// the key.
pub fn rendezvous(key: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), key)
}

/// Returns a 128-bit digest of a buffer, where a collision among many keys is not acceptable.
pub fn wide_digest(bytes: &[u8]) -> u128 {
    xxhash_rust::xxh3::xxh3_128(bytes)
}
