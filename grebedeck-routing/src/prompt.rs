//! The parts of a prompt that a request shares with others.
//!
//! Callers list the parts of a prompt in order as `ID:TOKENS`, separated by commas. The last part
//! belongs to the request or its session alone. A list may have any length and content, so what is
//! kept of it is bounded: at most [`MAX_PARTS`] different parts with hexadecimal ids of at most
//! [`MAX_ID_DIGITS`] digits. Other items are skipped, but keep their place in the order.

use grebedeck_core::DigestWriter;

use crate::fingerprint::{Fingerprint, PromptFingerprints};

/// Maximum number of parts kept per request.
pub const MAX_PARTS: usize = 64;
/// Maximum length of a part's id.
pub const MAX_ID_DIGITS: usize = 64;
/// First four bytes of each part's fingerprint, `part` in ASCII.
const PART_TAG: u32 = 0x7061_7274;
const TAG_SHIFT: u32 = 96;

/// Returns the ids of the shared parts in order, in lower case and without duplicates. `values` are
/// the header's values in order.
pub fn shared_part_ids<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Vec<String> {
    let items = values.into_iter().flat_map(|value| value.split(|byte| *byte == b','));
    let mut items = items.map(<[u8]>::trim_ascii).filter(|item| !item.is_empty()).peekable();
    let mut ids: Vec<String> = Vec::new();

    while let Some(item) = items.next() {
        let is_last = items.peek().is_none();

        if is_last || ids.len() == MAX_PARTS {
            break;
        }

        if let Some(id) = parse_id(item)
            && !ids.contains(&id)
        {
            ids.push(id);
        }
    }

    ids
}

fn parse_id(item: &[u8]) -> Option<String> {
    let digits = item.split(|byte| *byte == b':').next()?.trim_ascii();
    let is_id =
        (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);

    is_id.then(|| String::from_utf8_lossy(digits).to_ascii_lowercase())
}

/// Returns the fingerprint of a part of prompts for a service. Services run different models, so
/// what a part does to one service's targets says nothing about another's.
pub fn part_fingerprint(service: &str, id: &str) -> Fingerprint {
    let mut writer = DigestWriter::default();

    for part in [service, id] {
        writer.update(&(part.len() as u64).to_le_bytes());
        writer.update(part.as_bytes());
    }

    let digest = writer.wide_digest() & (Fingerprint::MAX >> u32::BITS);

    (Fingerprint::from(PART_TAG) << TAG_SHIFT) | digest
}

/// Returns the fingerprints of a prompt for a service with these shared parts.
pub fn prompt_fingerprints(service: &str, part_ids: &[String]) -> PromptFingerprints {
    PromptFingerprints {
        service: part_fingerprint(service, ""),
        parts: part_ids.iter().map(|id| part_fingerprint(service, id)).collect(),
    }
}

/// Returns whether a fingerprint is that of a part.
pub fn is_part(fingerprint: Fingerprint) -> bool {
    fingerprint >> TAG_SHIFT == Fingerprint::from(PART_TAG)
}
