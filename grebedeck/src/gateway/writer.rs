//! Writing to a caller that may read slowly or not at all.

use std::time::Duration;

use async_std::future::timeout;
use grebedeck_core::Moment;
use grebedeck_gateway::stall::{WriteTimeouts, WriteWait};
use grebedeck_http::Connection;

use super::service::Gateway;

/// Longest time without progress on a write to a caller: as long as callers stay with a silent
/// stream, and less than the few seconds after which a target cuts off an unread response.
pub const STALL_LIMIT: Duration = Duration::from_secs(2);

/// How a write to a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The caller's system has received all bytes.
    Complete,
    /// The caller has left.
    Gone,
    /// The caller accepted nothing for [`STALL_LIMIT`].
    Stalled,
    /// The deadline passed.
    TimedOut,
}

impl WriteOutcome {
    /// Label in logs.
    pub fn word(self) -> &'static str {
        match self {
            WriteOutcome::Complete => "whole",
            WriteOutcome::Gone => "gone",
            WriteOutcome::Stalled => "stalled",
            WriteOutcome::TimedOut => "timed_out",
        }
    }
}

/// Writes bytes, with a deadline.
pub async fn write(
    gateway: &Gateway,
    connection: &Connection,
    mut bytes: &[u8],
    until: Moment,
) -> WriteOutcome {
    let mut timeouts = WriteTimeouts::new(STALL_LIMIT, until, gateway.now());

    while !bytes.is_empty() {
        // A last attempt is made even after the deadline, such as after a freeze of this process,
        // so that bytes the socket accepts at once are written.
        let left = match timeouts.remaining(gateway.now()) {
            WriteWait::For(left) => left,
            WriteWait::Stalled | WriteWait::TimedOut => Duration::ZERO,
        };

        match timeout(left, connection.write_some(bytes)).await {
            Ok(Ok(taken)) => {
                bytes = &bytes[taken..];
                timeouts.record_progress(gateway.now());
            }
            Ok(Err(_)) => return WriteOutcome::Gone,
            Err(_) => match timeouts.remaining(gateway.now()) {
                WriteWait::For(_) => {}
                WriteWait::Stalled => return WriteOutcome::Stalled,
                WriteWait::TimedOut => return WriteOutcome::TimedOut,
            },
        }
    }

    WriteOutcome::Complete
}
