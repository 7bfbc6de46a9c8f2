//! How long the pauses of a service's streams are, and the load that its targets may have with them.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{EngineSpec, Pacing, PacingOptions, RouteRule, TargetEntry};

use super::mechanism::Mechanism;
use super::options::UNKNOWN_ANSWER_TIME;
use super::request::RoutedRequest;
use super::service::Gateway;

impl Gateway {
    /// Gets the mean pause between the events of a service's streams, where it was seen lately.
    pub fn mean_pause(&self, service: &str) -> Option<Duration> {
        self.paces.borrow().get(service)?.pause(self.now())
    }

    /// Notes the pause between two events of one stream.
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

    /// Gets the load that a service's targets may have, in requests for each place.
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
        // A rank without requests of its own keeps nobody waiting, but for its experts.
        let is_used = |t: &&Arc<TargetEntry>| chooser.load_view(&t.id, now).in_flight >= 1.0;
        let used: Vec<_> = targets.iter().filter(is_used).cloned().collect();
        let slowdown = f64::from(chooser.worst_slowdown(&used, now));

        paces.get(service).map_or(full, |pace| pace.allowed_load(load, slowdown, full, now))
    }

    /// Gets the time after which so many of the requests that run will have ended that the service's
    /// targets have room again.
    pub fn expected_slot_wait(&self, service: &str) -> Duration {
        let now = self.now();
        let targets = self.bearing(&self.candidates(service), now);
        let allowed = self.allowed_load(service, &targets, now);
        let load = self.chooser.borrow().mean_load(&targets, now);
        // Where the mean is low enough, the next request that ends makes room.
        let over = (1.0 - allowed / load.max(1e-3)).max(1.0 / targets.len().max(1) as f64);

        self.usual_duration(service).mul_f64(over.min(1.0))
    }

    /// Gets when a request that was refused should come back, where its service's places are given by urgency.
    pub fn scheduled_return(&self, request: &RoutedRequest, first: Duration) -> Option<Duration> {
        let now = self.now();
        let left = request.deadline.saturating_sub(now);

        self.waiting.scheduled_return(
            &request.service,
            request.admitted.urgency(),
            first,
            left,
            now,
        )
    }

    /// Gets the time that a request of a service usually takes.
    fn usual_duration(&self, service: &str) -> Duration {
        let table = self.table();
        let engine = table.service(service).and_then(|s| s.engine.as_ref());

        match (engine.and_then(EngineSpec::usual_passes), self.mean_pause(service)) {
            (Some(passes), Some(pause)) => pause.mul_f64(passes),
            _ => self.usual_answer_time(service).unwrap_or(UNKNOWN_ANSWER_TIME),
        }
    }
}
