//! State of the agent: the gate, and the client for requests to the target.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use grebedeck_core::time::unix_ms;
use grebedeck_core::{AttemptId, Incarnation, Moment};
use grebedeck_gateway::RetryAfter;
use grebedeck_gateway::delay::requested_retry_after;
use grebedeck_kernel::log::LineRateLimiter;
use grebedeck_kernel::{Clock, Counter, Metrics, Service, log};
use grebedeck_net::http::HttpClient;
use grebedeck_routing::{Gate, GateOptions, LoadReport, StartRequest, StrikeAnswer, Verdict};
use http_types::Response;
use serde_json::{Value, json};

use super::CONNECT_TIMEOUT_MS;
use super::crashes::CrashCounter;
use crate::settings::{AgentSettings, millis};

/// Maximum rate of log lines on a target that requests a delay, as its responses to all requests in
/// flight may do so.
const LINES_PER_S: f64 = 1.0;

/// Service of the agent.
pub struct AgentService {
    pub(super) clock: Clock,
    pub(super) target: HttpClient,
    pub(super) max_body_bytes: usize,
    pub(super) verdicts: Counter,
    gate: Mutex<Gate>,
    retry_after: Mutex<TargetDelay>,
    crashes: Mutex<CrashCounter>,
}

/// Delay that the target requested, and the budget for log lines on it.
struct TargetDelay {
    delay: RetryAfter,
    lines: LineRateLimiter,
}

/// Attempt that the gate admitted; the gate records its end when this is dropped.
pub struct RunningAttempt<'a> {
    agent: &'a AgentService,
    attempt: AttemptId,
    ran: bool,
}

impl RunningAttempt<'_> {
    /// Records that the target received nothing of the request.
    pub fn mark_not_sent(&mut self) {
        self.ran = false;
    }
}

impl Drop for RunningAttempt<'_> {
    fn drop(&mut self) {
        let now = self.agent.clock.now();

        self.agent.gate().finish(self.attempt, self.ran, now);
    }
}

impl AgentService {
    /// Creates the service; the gate remembers attempts and keys from now on.
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
            target: HttpClient::new(settings.target_address, millis(CONNECT_TIMEOUT_MS)),
            max_body_bytes: settings.max_body_bytes,
            verdicts: metrics.counter(
                "grebedeck_gate",
                "verdict",
                "Attempts by the gate's verdict",
            ),
            retry_after: Mutex::new(TargetDelay {
                delay: RetryAfter::default(),
                lines: LineRateLimiter::new(LINES_PER_S),
            }),
            gate: Mutex::new(Gate::new(incarnation, unix_ms(), options)),
            crashes: Mutex::default(),
        }
    }

    /// Passes an attempt through the gate; if it may run, the returned guard holds its slot.
    pub(super) fn admit(&self, start: &StartRequest) -> Result<RunningAttempt<'_>, Verdict> {
        match self.gate().admit(start, self.clock.now(), unix_ms()) {
            Verdict::Run => Ok(RunningAttempt { agent: self, attempt: start.attempt, ran: true }),
            verdict => Err(verdict),
        }
    }

    /// Cancels an attempt that has not started.
    pub fn strike(&self, attempt: AttemptId, incarnation: Incarnation) -> StrikeAnswer {
        self.gate().strike(attempt, incarnation, self.clock.now())
    }

    /// Whether the target is draining.
    pub fn is_draining(&self) -> bool {
        self.gate().is_draining()
    }

    /// Load of the target. While a requested delay is active, all slots are reported as taken: a
    /// target without work would look like the best choice.
    pub(super) fn load(&self) -> LoadReport {
        let gate = self.gate();
        let slots = gate.slots() as u32;
        let delayed = if self.remaining_delay().is_some() { slots } else { 0 };

        LoadReport { in_flight: delayed.max(gate.in_flight() as u32), waiting: 0, slots }
    }

    /// Remaining delay that the target requested, if any.
    pub(super) fn remaining_delay(&self) -> Option<Duration> {
        let remaining = self.retry_after().delay.remaining(self.now());

        (!remaining.is_zero()).then_some(remaining)
    }

    /// Records the delay of a response that refuses a request and asks for one.
    pub(super) fn record_delay(&self, response: &Response) {
        let values = response.header("retry-after").into_iter().flatten();
        let values = values.map(|value| value.as_str().as_bytes());
        let now = self.now();

        if let Some(requested) = requested_retry_after(response.status() as u16, values) {
            let rest_ms = requested.as_millis() as u64;
            let mut known = self.retry_after();
            known.delay.extend(requested, now);

            if let Some(left_out) = known.lines.try_acquire_line(now) {
                let status = response.status() as u16;
                log::info!("target requested a delay", kv: { status, rest_ms, left_out });
            }
        }
    }

    /// Records a crash; returns its number, and whether it is a new one.
    pub(super) fn record_crash(&self, sent_at: Moment) -> (u64, bool) {
        let mut crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);

        crashes.record(sent_at, self.now())
    }

    fn retry_after(&self) -> MutexGuard<'_, TargetDelay> {
        self.retry_after.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        // The gate stays in use after a panic under the lock.
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
