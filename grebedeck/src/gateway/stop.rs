//! Stopping a gateway without cutting off what is in flight.
//!
//! After the signal the process says that it is not ready, and goes on to serve until the platform's
//! balancer has noticed; whatever comes later is refused. Resting connections are closed at once, since
//! a caller whose request crosses the close sends it again; each connection is closed behind its last
//! answer.

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

/// How often a stopping process looks whether something is in flight.
const IDLE_CHECK: Duration = Duration::from_millis(20);
/// Time kept back from the limit, so that the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Whether a process is stopping, and what it still has in flight.
#[derive(Default)]
pub struct StopState {
    since: Cell<Option<Moment>>,
    began: Event,
    in_flight: Cell<usize>,
    connections: Cell<usize>,
}

/// Counts a caller's connection until it is dropped.
pub struct ConnectionGuard(Rc<Gateway>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connections = &self.0.stop.connections;
        connections.set(connections.get() - 1);
    }
}

/// Counts a request as in flight until it is dropped.
pub struct RequestGuard(Rc<Gateway>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let in_flight = &self.0.stop.in_flight;
        in_flight.set(in_flight.get() - 1);
    }
}

impl StopState {
    /// Tells whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.since.get().is_some()
    }

    /// Tells whether the process has been stopping for so long that a new request might not end in time.
    pub fn refuses_requests(&self, leave: Duration, now: Moment) -> bool {
        self.since.get().is_some_and(|since| now >= since + leave)
    }

    /// Gets a listener that is told when the process begins to stop.
    pub fn listen(&self) -> EventListener {
        self.began.listen()
    }

    /// Gets the number of callers' connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Gets the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Begins to stop: resting connections are closed, and each of the others behind its answer.
    pub fn begin(&self, now: Moment) {
        self.since.set(Some(now));
        self.began.notify(usize::MAX);
    }
}

/// Counts a caller's connection.
pub fn count_connection(gateway: &Rc<Gateway>) -> ConnectionGuard {
    let connections = &gateway.stop.connections;
    connections.set(connections.get() + 1);

    ConnectionGuard(gateway.clone())
}

/// Counts a request as in flight.
pub fn count_request(gateway: &Rc<Gateway>) -> RequestGuard {
    let in_flight = &gateway.stop.in_flight;
    in_flight.set(in_flight.get() + 1);

    RequestGuard(gateway.clone())
}

/// Waits for the signal to stop, then until nothing is in flight, within the limit.
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
    let leave = Duration::from_millis(gateway.settings().leave_ms);
    log::info!("stopping", kv: { in_flight = gateway.stop.in_flight() });
    gateway.stop.begin(began);

    loop {
        async_std::task::sleep(IDLE_CHECK).await;
        let elapsed = gateway.now() - began;
        let is_idle = gateway.stop.in_flight() == 0;

        if (is_idle && elapsed >= leave) || elapsed >= limit {
            log::info!("stopped", kv: { in_flight = gateway.stop.in_flight() });
            return Ok(());
        }
    }
}
