//! Pool of idle connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::TargetEntry;
use grebedeck_http::{Connection, ResponseHead};
use grebedeck_routing::StartId;

/// Idle limit if the target states none: long enough for the next request of a quiet service, short
/// enough that most targets still keep the connection.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Fraction of the keep-alive time stated by a target that is used; near its end a request and the
/// target's close may cross.
const SAFE_KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Most idle connections per target: about as many as the requests that it executes at once.
pub const MAX_IDLE_PER_TARGET: usize = 16;

/// Connections belong to one start of a target; those to an earlier start are useless for the next.
type PoolKey = (SocketAddr, StartId);

struct IdleConnection {
    connection: Connection,
    expires_at: Moment,
}

/// Idle connections, by target.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<PoolKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an open connection on which no unsolicited data has arrived.
    pub fn take(&self, target: &TargetEntry, now: Moment) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&(target.address, target.born_ms))?;

        while let Some(mut last) = idle.pop() {
            if last.expires_at > now && last.connection.is_idle() {
                return Some(last.connection);
            }
        }

        None
    }

    /// Keeps a connection after a whole response, if its head allows that and fewer than `max_idle`
    /// are kept.
    pub fn put(
        &self,
        target: &TargetEntry,
        connection: Connection,
        head: &ResponseHead,
        max_idle: usize,
        now: Moment,
    ) {
        if !head.keeps_alive() {
            return;
        }

        self.keep(target, connection, max_idle, now + idle_limit_of(head));
    }

    /// Keeps a connection that has carried no request yet, if fewer than `max_idle` are kept.
    pub fn put_new(
        &self,
        target: &TargetEntry,
        connection: Connection,
        max_idle: usize,
        now: Moment,
    ) {
        self.keep(target, connection, max_idle, now + DEFAULT_IDLE_LIMIT);
    }

    fn keep(
        &self,
        target: &TargetEntry,
        connection: Connection,
        max_idle: usize,
        expires_at: Moment,
    ) {
        let mut all = self.idle.borrow_mut();
        let idle = all.entry((target.address, target.born_ms)).or_default();

        if idle.len() < max_idle {
            idle.push(IdleConnection { connection, expires_at });
        }
    }

    /// Closes connections to other starts at a target's address, which count towards the
    /// connections that it accepts.
    pub fn close_other_starts(&self, target: &TargetEntry) {
        let is_other =
            |(address, birth): &PoolKey| *address == target.address && *birth != target.born_ms;

        self.idle.borrow_mut().retain(|key, _| !is_other(key));
    }

    /// Closes connections whose idle limit has passed.
    pub fn close_expired(&self, now: Moment) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|c| c.expires_at > now);
            !idle.is_empty()
        });
    }
}

/// Idle limit of a connection after a response.
fn idle_limit_of(head: &ResponseHead) -> Duration {
    let text = head.headers.text("keep-alive").unwrap_or_default();
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds: Option<u64> = timeout.and_then(|t| t.trim().parse().ok());

    seconds.map_or(DEFAULT_IDLE_LIMIT, |s| Duration::from_secs(s).mul_f64(SAFE_KEEP_ALIVE_FRACTION))
}
