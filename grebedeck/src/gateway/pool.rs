//! Buffer connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::TargetEntry;
use grebedeck_http::{Connection, ResponseHead};
use grebedeck_routing::StartId;

/// How long a connection may rest where the target does not say: long enough for a quiet service's
/// next request, short enough that most targets still have it.
const DEFAULT_REST: Duration = Duration::from_secs(4);
/// Part of the time that a target promises to keep a connection which is made use of; near its end a
/// request and the target's close may cross.
const SAFE_REST_PART: f64 = 0.6;
/// Most connections kept to one target: about as many as it works on at once.
pub const MAX_KEPT: usize = 16;

/// Connections are kept for one start of a target: what an earlier one left open is no way to the next.
type Key = (SocketAddr, StartId);

struct Buffer {
    connection: Connection,
    until: Moment,
}

/// Connections that carry no request just now.
#[derive(Default)]
pub struct Pool {
    kept: RefCell<HashMap<Key, Vec<Buffer>>>,
}

impl Pool {
    /// Takes a connection that is open, and on which nothing came that nobody asked for.
    pub fn take(&self, target: &TargetEntry, now: Moment) -> Option<Connection> {
        let mut all = self.kept.borrow_mut();
        let kept = all.get_mut(&(target.address, target.born_ms))?;

        while let Some(mut last) = kept.pop() {
            if last.until > now && last.connection.is_idle() {
                return Some(last.connection);
            }
        }

        None
    }

    /// Keeps a connection after a whole answer, if its head allows that and fewer than `max_kept` are.
    pub fn put(
        &self,
        target: &TargetEntry,
        connection: Connection,
        head: &ResponseHead,
        max_kept: usize,
        now: Moment,
    ) {
        if !head.keeps_alive() {
            return;
        }

        self.keep(target, connection, max_kept, now + rest_limit(head));
    }

    /// Keeps a connection that has carried no request yet, if fewer than `max_kept` are.
    pub fn put_new(
        &self,
        target: &TargetEntry,
        connection: Connection,
        max_kept: usize,
        now: Moment,
    ) {
        self.keep(target, connection, max_kept, now + DEFAULT_REST);
    }

    fn keep(&self, target: &TargetEntry, connection: Connection, max_kept: usize, until: Moment) {
        let mut all = self.kept.borrow_mut();
        let kept = all.entry((target.address, target.born_ms)).or_default();

        if kept.len() < max_kept {
            kept.push(Buffer { connection, until });
        }
    }

    /// Closes connections to other starts at a target's address, which take places among those that it accepts.
    pub fn drop_other_starts(&self, target: &TargetEntry) {
        let is_other =
            |(address, birth): &Key| *address == target.address && *birth != target.born_ms;

        self.kept.borrow_mut().retain(|key, _| !is_other(key));
    }

    /// Closes connections that have rested for too long.
    pub fn drop_rested(&self, now: Moment) {
        self.kept.borrow_mut().retain(|_, kept| {
            kept.retain(|k| k.until > now);
            !kept.is_empty()
        });
    }
}

/// Gets how long a connection may rest after an answer.
fn rest_limit(head: &ResponseHead) -> Duration {
    let text = head.headers.text("keep-alive").unwrap_or_default();
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds: Option<u64> = timeout.and_then(|t| t.trim().parse().ok());

    seconds.map_or(DEFAULT_REST, |s| Duration::from_secs(s).mul_f64(SAFE_REST_PART))
}
