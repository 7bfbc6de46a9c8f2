//! Identity of a request across attempts, repeated calls and processes.
//!
//! Each call has a request id of its own, so a repeated request is recognised by its caller and
//! content. Deadlines and attempt ids are not part of the identity.

use std::num::ParseIntError;

use grebedeck_core::DigestWriter;

/// Digest of a request's identity.
///
/// The digest is not collision-resistant against an attacker. It includes the caller, so crafted
/// collisions affect only the attacker's own requests.
pub type Fingerprint = u128;

/// The fingerprints of a request's prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptFingerprints {
    /// Fingerprint of the request's service.
    pub service: Fingerprint,
    /// Fingerprints of the parts that the request shares with others.
    pub parts: Vec<Fingerprint>,
}

/// The fingerprints under which a request can be suspected of crashing its targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fingerprints {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Fingerprints of its prompt.
    pub prompt: PromptFingerprints,
}

impl Fingerprints {
    /// Returns the fingerprints that can be suspected, that of the request first.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        std::iter::once(self.request).chain(self.prompt.parts.iter().copied())
    }

    /// Returns whether `fingerprint` is among them.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.iter().any(|own| own == fingerprint)
    }
}

impl From<Fingerprint> for Fingerprints {
    fn from(request: Fingerprint) -> Self {
        Fingerprints { request, ..Fingerprints::default() }
    }
}

/// Formats a fingerprint for logs and stores: 32 hexadecimal digits.
pub fn to_hex(request: Fingerprint) -> String {
    format!("{request:032x}")
}

/// Parses the output of [`to_hex`]; fails if the text is not a hexadecimal number of 128 bits.
pub fn from_hex(text: &str) -> Result<Fingerprint, ParseIntError> {
    Fingerprint::from_str_radix(text, 16)
}

/// The parts of a request that identify it.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// The calling organisation; empty if callers need not identify themselves.
    pub caller: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// The requested host; empty if the path alone identifies the service.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl Identity<'_> {
    /// Returns the request's fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut writer = DigestWriter::default();

        for part in [self.caller, self.method, self.host, self.path] {
            // Length prefixes keep different splits of the same characters apart.
            writer.update(&(part.len() as u64).to_le_bytes());
            writer.update(part.as_bytes());
        }

        writer.update(self.body);
        writer.wide_digest()
    }
}
