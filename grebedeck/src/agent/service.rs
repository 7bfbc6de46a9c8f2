//! The agent's state: the gate and the way to the target.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use grebedeck_core::time::unix_ms;
use grebedeck_core::{AttemptId, Incarnation, Moment};
use grebedeck_gateway::RetryAfter;
use grebedeck_gateway::retry_after::requested_retry_after;
use grebedeck_kernel::log::LineRateLimiter;
use grebedeck_kernel::{Clock, Counter, Metrics, Service, log};
use grebedeck_net::http::HttpClient;
use grebedeck_routing::{Gate, GateOptions, LoadReport, StartRequest, StrikeAnswer, Verdict};
use http_types::Response;
use serde_json::{Value, json};

use super::CONNECT_LIMIT_MS;
use super::crashes::Crashes;
use crate::settings::{AgentSettings, millis};

/// Lines a second on a target that wants rest; its answers to requests under way may all say so.
const LINES_PER_S: f64 = 1.0;

/// The agent's service.
pub struct AgentService {
    pub(super) clock: Clock,
    pub(super) target: HttpClient,
    pub(super) max_body_bytes: usize,
    pub(super) verdicts: Counter,
    gate: Mutex<Gate>,
    rest: Mutex<TargetRest>,
    crashes: Mutex<Crashes>,
}

/// Until when the target itself wants nothing, and the lines on that.
struct TargetRest {
    rest: RetryAfter,
    lines: LineRateLimiter,
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
            slots: settings.places,
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
            rest: Mutex::new(TargetRest {
                rest: RetryAfter::default(),
                lines: LineRateLimiter::new(LINES_PER_S),
            }),
            gate: Mutex::new(Gate::new(incarnation, unix_ms(), options)),
            crashes: Mutex::default(),
        }
    }

    /// Decides on an attempt; where it may run, the answer holds its place.
    pub(super) fn admit(&self, start: &StartRequest) -> Result<Running<'_>, Verdict> {
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

    /// Gets the target's load. One that rests has nothing to do, and would look like the best one of all: its places are
    /// told as taken.
    pub(super) fn load(&self) -> LoadReport {
        let gate = self.gate();
        let places = gate.slots() as u32;
        let rested = if self.rest_left().is_some() { places } else { 0 };

        LoadReport { in_flight: rested.max(gate.in_flight() as u32), waiting: 0, slots: places }
    }

    /// Gets how much longer the target rests, where it does.
    pub(super) fn rest_left(&self) -> Option<Duration> {
        let left = self.rest().rest.remaining(self.now());

        (!left.is_zero()).then_some(left)
    }

    /// Takes in whether the target turned a request away and asks for rest.
    pub(super) fn note_rest(&self, response: &Response) {
        let values = response.header("retry-after").into_iter().flatten();
        let values = values.map(|value| value.as_str().as_bytes());
        let now = self.now();

        if let Some(asked) = requested_retry_after(response.status() as u16, values) {
            let rest_ms = asked.as_millis() as u64;
            let mut known = self.rest();
            known.rest.extend(asked, now);

            if let Some(left_out) = known.lines.try_acquire_line(now) {
                let status = response.status() as u16;
                log::info!("target rests", kv: { status, rest_ms, left_out });
            }
        }
    }

    /// Notes that the target crashed; gets the number of the crash, and whether it is a new one.
    pub(super) fn note_crash(&self, sent_at: Moment) -> (u64, bool) {
        let mut crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);

        crashes.note(sent_at, self.now())
    }

    fn rest(&self) -> MutexGuard<'_, TargetRest> {
        self.rest.lock().unwrap_or_else(PoisonError::into_inner)
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
            "places": gate.slots(),
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
