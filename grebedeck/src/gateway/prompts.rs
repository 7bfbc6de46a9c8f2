//! Rate at which prompts are sent to a model's group, and how long requests wait for it.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{PromptLimiter, TargetEntry};

use super::mechanism::Mechanism;
use super::options::{FIRST_REPORT_WAIT, FIRST_SUBSCRIBE_PERIOD, PROMPT_BURST, PROMPT_FRACTION};
use super::request::RoutedRequest;
use super::service::Gateway;

impl Gateway {
    /// Time until the next prompt may be sent to a service's group.
    pub fn prompt_wait(&self, service: &str, now: Moment) -> Duration {
        if self.waits_for_ranks(service, now) {
            return FIRST_SUBSCRIBE_PERIOD;
        }

        if !self.uses(Mechanism::PromptRate) {
            return Duration::ZERO;
        }

        self.prompts.borrow().get(service).map_or(Duration::ZERO, |limiter| limiter.wait(now))
    }

    /// This gateway's share of the load on `targets`: its own requests in flight as a part of all,
    /// and at least an equal share among the gateways that use a target.
    fn gateway_share(&self, service: &str, targets: &[Arc<TargetEntry>], now: Moment) -> f64 {
        let chooser = self.chooser.borrow();
        let serving = self.serving(service).map_or(0, |all| all.len());
        let own: f64 = targets.iter().map(|t| f64::from(chooser.own_in_flight(&t.id))).sum();
        let all: f64 = targets.iter().map(|t| chooser.load_view(&t.id, now).in_flight).sum();
        let sharing = self.gateway_count() as f64 * targets.len() as f64 / serving.max(1) as f64;
        let equal = 1.0 / sharing.max(1.0);

        (own / all.max(1.0)).clamp(equal, 1.0)
    }

    /// Takes the tokens of a request's prompt from its service's limiter.
    pub fn record_prompt(&self, request: &RoutedRequest, now: Moment) {
        let table = self.table();
        let service = &request.service;
        let Some(engine) = table.service(service).and_then(|s| s.engine.as_ref()) else {
            return;
        };
        let targets = self.without_cold(&self.candidates(service), now);
        let all_tokens_per_s = targets.len() as f64 * engine.read_tokens_per_s * PROMPT_FRACTION;
        let tokens_per_s = all_tokens_per_s * self.gateway_share(service, &targets, now);
        let tokens = request.request.prompt_tokens(&self.names).unwrap_or(engine.usual_prompt);
        let mut prompts = self.prompts.borrow_mut();
        let first = PromptLimiter::new(tokens_per_s, PROMPT_BURST);
        let limiter = prompts.entry(service.clone()).or_insert(first);
        limiter.set_rate(tokens_per_s);
        limiter.take(tokens, now);
    }

    /// Whether requests for a model should wait for the ranks' first report on their group.
    fn waits_for_ranks(&self, service: &str, now: Moment) -> bool {
        let is_early = self.targets_known_at.get().is_none_or(|at| now < at + FIRST_REPORT_WAIT);

        !self.receives_rank_loads() && is_early && self.is_model(service)
    }
}
