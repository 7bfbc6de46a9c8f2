//! Graceful shutdown of a gateway.
//!
//! After the signal the process reports that it is not ready, and keeps serving until the
//! platform's balancer has noticed; later requests are refused. Idle connections are closed at
//! once, because a caller whose request crosses the close sends it again. Each other connection is
//! closed after its current response.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use event_listener::{Event, EventListener};
use futures::StreamExt;
use grebedeck_core::Moment;
use grebedeck_kernel::log;

use super::reload;
use super::service::Gateway;

/// Interval at which a stopping process checks whether requests are in flight.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time subtracted from the stop limit, so that the process exits before it is killed.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Shutdown state, with the number of open connections and of requests in flight.
#[derive(Default)]
pub struct StopState {
    since: Cell<Option<Moment>>,
    began: Event,
    in_flight: Cell<usize>,
    connections: Cell<usize>,
}

/// Counts a caller's connection as open until dropped.
pub struct ConnectionGuard(Rc<Gateway>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connections = &self.0.stop.connections;
        connections.set(connections.get() - 1);
    }
}

/// Counts a request as in flight until dropped.
pub struct RequestGuard(Rc<Gateway>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let in_flight = &self.0.stop.in_flight;
        in_flight.set(in_flight.get() - 1);
    }
}

impl StopState {
    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.since.get().is_some()
    }

    /// Whether new requests are refused: the process has been stopping for longer than `grace`.
    pub fn refuses_requests(&self, grace: Duration, now: Moment) -> bool {
        self.since.get().is_some_and(|since| now >= since + grace)
    }

    /// Listener that is notified when the process begins to stop.
    pub fn listen(&self) -> EventListener {
        self.began.listen()
    }

    /// Number of callers' open connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Begins to stop: idle connections are closed, the others after their current response.
    pub fn begin(&self, now: Moment) {
        self.since.set(Some(now));
        self.began.notify(usize::MAX);
    }
}

/// Counts a caller's connection as open for the lifetime of the guard.
pub fn count_connection(gateway: &Rc<Gateway>) -> ConnectionGuard {
    let connections = &gateway.stop.connections;
    connections.set(connections.get() + 1);

    ConnectionGuard(gateway.clone())
}

/// Counts a request as in flight for the lifetime of the guard.
pub fn count_request(gateway: &Rc<Gateway>) -> RequestGuard {
    let in_flight = &gateway.stop.in_flight;
    in_flight.set(in_flight.get() + 1);

    RequestGuard(gateway.clone())
}

/// Waits for a signal to stop, then until no request is in flight or the stop limit passes.
/// `SIGHUP` reloads the settings.
pub async fn run_until_stopped(gateway: &Rc<Gateway>, file: &Path) -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;

    while let Some(signal) = signals.next().await {
        match signal? {
            Signal::Hup => reload::reload(gateway, file, "signal"),
            _ => break,
        }
    }

    let began = gateway.now();
    let limit = Duration::from_millis(gateway.settings().stop_limit_ms).saturating_sub(STOP_MARGIN);
    let grace = Duration::from_millis(gateway.settings().leave_ms);
    log::info!("stopping", kv: { in_flight = gateway.stop.in_flight() });
    gateway.stop.begin(began);

    loop {
        async_std::task::sleep(IDLE_CHECK_INTERVAL).await;
        let elapsed = gateway.now() - began;
        let is_idle = gateway.stop.in_flight() == 0;

        if (is_idle && elapsed >= grace) || elapsed >= limit {
            log::info!("stopped", kv: { in_flight = gateway.stop.in_flight() });
            return Ok(());
        }
    }
}
