//! Splits the body of an event stream (server-sent events) into whole events.
//!
//! Only whole events are passed on, so that another target can resume a stream that broke within
//! one. An event ends with an empty line; its id is in a line of its own.

use bytes::{Bytes, BytesMut};

/// One event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes.
    pub bytes: Bytes,
    /// Numeric id, if the event has one.
    pub id: Option<u64>,
}

/// Buffer that splits body bytes into events.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buffer: BytesMut,
    scanned: usize,
}

impl EventBuffer {
    /// Appends the next chunk of the body.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes and returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        // The empty line may have begun in the part that was already scanned.
        let from = self.scanned.saturating_sub(3);
        let end = from
            + find_end(&self.buffer[from..]).or_else(|| {
                self.scanned = self.buffer.len();
                None
            })?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;

        Some(Event { id: find_id(&bytes), bytes })
    }

    /// Bytes that do not yet form a whole event.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }
}

/// Tells whether a stream that is passed on as it arrives has ended within an event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTracker {
    /// Last bytes of the stream, the newest last; zero before the first.
    tail: [u8; 3],
}

impl EventTracker {
    /// Records the next chunk of the body.
    pub fn push(&mut self, chunk: &[u8]) {
        for byte in &chunk[chunk.len().saturating_sub(self.tail.len())..] {
            self.tail.rotate_left(1);
            self.tail[2] = *byte;
        }
    }

    /// Whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.tail[2] == 0
    }

    /// Whether the latest event is whole.
    pub fn is_between_events(&self) -> bool {
        self.is_empty() || self.tail.ends_with(b"\n\n") || self.tail == *b"\n\r\n"
    }
}

/// End offset of the first empty line.
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
