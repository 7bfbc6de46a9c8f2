//! Pauses between the events of a service's streams, and the load limit of its targets that follows
//! from them.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{EngineSpec, Pacing, PacingOptions, RouteRule, TargetEntry};

use super::mechanism::Mechanism;
use super::options::UNKNOWN_RESPONSE_TIME;
use super::request::RoutedRequest;
use super::service::Gateway;

impl Gateway {
    /// Mean pause between the events of a service's streams, if observed lately.
    pub fn mean_pause(&self, service: &str) -> Option<Duration> {
        self.paces.borrow().get(service)?.pause(self.now())
    }

    /// Records the pause between two events of one stream.
    pub fn record_pause(&self, service: &str, pause: Duration, rule: &RouteRule) {
        let Some(limit) = rule.pause_limit else {
            return;
        };
        let now = self.now();
        let mut paces = self.paces.borrow_mut();

        if let Some(pace) = paces.get_mut(service) {
            pace.record_pause(pause, now);
            return;
        }

        let table = self.table();
        let engine = table.service(service).and_then(|s| s.engine.as_ref());
        let base_ms = engine.map_or(0.0, |e| e.step_ms * f64::from(e.steps_per_pass));
        let base = Duration::from_secs_f64(base_ms / 1000.0);
        let load = self.settings().load;
        let options =
            PacingOptions { deviations: load.pause_deviations, ..PacingOptions::new(base, limit) };
        let passes = engine.and_then(EngineSpec::usual_passes);
        let passes = passes.filter(|_| self.uses(Mechanism::LateLimit));
        let options =
            passes.map_or(options, |passes| options.with_deadline(rule.time_limit, passes));
        let mut pace = Pacing::new(options);
        pace.record_pause(pause, now);
        paces.insert(service.to_string(), pace);
    }

    /// Allowed load of a service's targets, in requests per slot.
    pub fn allowed_load(&self, service: &str, targets: &[Arc<TargetEntry>], now: Moment) -> f64 {
        if !self.is_model(service) {
            return self.settings().load.plain;
        }

        let full = self.settings().load.model;

        if !self.uses(Mechanism::Pace) {
            return full;
        }

        let paces = self.paces.borrow();
        let chooser = self.chooser.borrow();
        let load = chooser.mean_load(targets, now);
        // A rank without requests delays nobody except through the experts that it holds.
        let is_used = |t: &&Arc<TargetEntry>| chooser.load_view(&t.id, now).in_flight >= 1.0;
        let used: Vec<_> = targets.iter().filter(is_used).cloned().collect();
        let slowdown = f64::from(chooser.worst_slowdown(&used, now));

        paces.get(service).map_or(full, |pace| pace.allowed_load(load, slowdown, full, now))
    }

    /// Expected time until enough running requests have ended for one of the service's targets to
    /// have a free slot.
    pub fn expected_slot_wait(&self, service: &str) -> Duration {
        let now = self.now();
        let targets = self.without_cold_or_limited(&self.candidates(service), now);
        let allowed = self.allowed_load(service, &targets, now);
        let load = self.chooser.borrow().mean_load(&targets, now);
        // If the mean load is low enough, the next request that ends frees a slot.
        let over = (1.0 - allowed / load.max(1e-3)).max(1.0 / targets.len().max(1) as f64);

        self.usual_duration(service).mul_f64(over.min(1.0))
    }

    /// Delay after which the caller of a refused request should retry; `None` unless the service's
    /// queue is ordered by urgency and its rate is known.
    pub fn scheduled_retry_after(
        &self,
        request: &RoutedRequest,
        first_slot_in: Duration,
    ) -> Option<Duration> {
        let now = self.now();
        let left = request.deadline.saturating_sub(now);

        self.waiting.scheduled_retry_after(
            &request.service,
            request.admitted.urgency(),
            first_slot_in,
            left,
            now,
        )
    }

    /// Usual duration of a service's requests.
    fn usual_duration(&self, service: &str) -> Duration {
        let table = self.table();
        let engine = table.service(service).and_then(|s| s.engine.as_ref());

        match (engine.and_then(EngineSpec::usual_passes), self.mean_pause(service)) {
            (Some(passes), Some(pause)) => pause.mul_f64(passes),
            _ => self.usual_response_time(service).unwrap_or(UNKNOWN_RESPONSE_TIME),
        }
    }
}
