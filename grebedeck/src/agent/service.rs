//! The agent's state: the gate and the way to the target.

use std::sync::{Mutex, MutexGuard, PoisonError};

use grebedeck_core::time::unix_ms;
use grebedeck_core::{AttemptId, Incarnation, Moment};
use grebedeck_kernel::{Clock, Counter, Metrics, Service, log};
use grebedeck_net::http::HttpClient;
use grebedeck_routing::{Gate, GateOptions, LoadReport, Start, StrikeAnswer, Verdict};
use serde_json::{Value, json};

use super::CONNECT_LIMIT_MS;
use crate::settings::{AgentSettings, millis};

/// The agent's service.
pub struct AgentService {
    pub(super) clock: Clock,
    pub(super) target: HttpClient,
    pub(super) max_body_bytes: usize,
    pub(super) verdicts: Counter,
    gate: Mutex<Gate>,
}

/// Notes in the gate that an attempt ended, when it is dropped.
pub struct Running<'a> {
    agent: &'a AgentService,
    attempt: AttemptId,
    ran: bool,
}

impl Running<'_> {
    /// Notes that the target certainly got nothing.
    pub fn not_sent(&mut self) {
        self.ran = false;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now = self.agent.clock.now();

        self.agent.gate().finish(self.attempt, self.ran, now);
    }
}

impl AgentService {
    /// Makes the service; the gate's memory begins now.
    pub fn new(
        settings: &AgentSettings,
        incarnation: Incarnation,
        clock: Clock,
        metrics: &Metrics,
    ) -> Self {
        let options = GateOptions {
            places: settings.places,
            max_in_flight: settings.max_in_flight,
            key_memory: millis(settings.key_memory_ms),
            max_keys: settings.max_keys,
            clock_margin: millis(settings.clock_margin_ms),
            ..GateOptions::default()
        };

        AgentService {
            clock,
            target: HttpClient::new(settings.target_address, millis(CONNECT_LIMIT_MS)),
            max_body_bytes: settings.max_body_bytes,
            verdicts: metrics.counter(
                "grebedeck_gate",
                "verdict",
                "Attempts by the gate's verdict",
            ),
            gate: Mutex::new(Gate::new(incarnation, unix_ms(), options)),
        }
    }

    /// Decides on an attempt; where it may run, the answer holds its place.
    pub(super) fn admit(&self, start: &Start) -> Result<Running<'_>, Verdict> {
        match self.gate().admit(start, self.clock.now(), unix_ms()) {
            Verdict::Run => Ok(Running { agent: self, attempt: start.attempt, ran: true }),
            verdict => Err(verdict),
        }
    }

    /// Strikes out an attempt that has not started.
    pub fn strike(&self, attempt: AttemptId, incarnation: Incarnation) -> StrikeAnswer {
        self.gate().strike(attempt, incarnation, self.clock.now())
    }

    /// Tells whether the target is leaving.
    pub fn is_draining(&self) -> bool {
        self.gate().is_draining()
    }

    /// Gets the target's load.
    pub(super) fn load(&self) -> LoadReport {
        let gate = self.gate();

        LoadReport { in_flight: gate.in_flight() as u32, waiting: 0, places: gate.places() as u32 }
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        // A gate whose invariant broke must not be used again, so a poisoned lock stops the
        // process's requests one by one.
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for AgentService {
    fn dump(&self) -> Value {
        let gate = self.gate();

        json!({
            "in_flight": gate.in_flight(),
            "places": gate.places(),
            "keys": gate.key_count(),
            "draining": gate.is_draining(),
        })
    }

    fn begin_stop(&self) {
        self.gate().drain();
        log::info!("draining");
    }

    fn is_idle(&self) -> bool {
        self.gate().in_flight() == 0
    }
}
