//! Events of a stream, taken whole out of a body's bytes.
//!
//! Only whole events are passed on, so that another target can go on with a stream that broke within
//! one. An event ends with an empty line; its id stands in a line of its own.

use bytes::{Bytes, BytesMut};

/// One event with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, where it has one that is a number.
    pub id: Option<u64>,
}

/// Takes events out of a body's bytes.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buffer: BytesMut,
    searched: usize,
}

impl EventBuffer {
    /// Adds the next part of the body.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        // The empty line may have begun in what was searched before.
        let from = self.searched.saturating_sub(3);
        let end = from
            + find_end(&self.buffer[from..]).or_else(|| {
                self.searched = self.buffer.len();
                None
            })?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;

        Some(Event { id: find_id(&bytes), bytes })
    }

    /// Gets the bytes that belong to no whole event.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }
}

/// Finds the end of the first empty line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let is_end =
        |at: &usize| matches!(&bytes[*at..], [b'\n', b'\n', ..] | [b'\n', b'\r', b'\n', ..]);
    let at = (0..bytes.len()).find(is_end)?;

    Some(if bytes[at + 1] == b'\n' { at + 2 } else { at + 3 })
}

fn find_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = |line: &[u8]| line.strip_prefix(b"id:").map(|v| v.trim_ascii().to_vec());
    let id = lines.filter_map(value).next_back()?;

    std::str::from_utf8(&id).ok()?.parse().ok()
}
