//! Which requests' prompts a model's group reads next, and how long a request waits for that.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::{GroupWord, InFlightCounts, PROMPT_PART, PromptRate, TargetEntry, Urgency};

use super::mechanism::Mechanism;
use super::options::{
    FIRST_LOAD_WAIT, FIRST_WATCH_PERIOD, PROMPT_BURST, UNKNOWN_FIRST_EVENT, max_hold,
};
use super::request::RoutedRequest;
use super::service::Gateway;
use crate::rank::message::RankLoad;

impl Gateway {
    /// Judges whether a request for a model can still be answered in time. Requests for plain services are not told
    /// apart: their answers take as long as they take, and nothing is read before them.
    pub fn urgency(&self, request: &RoutedRequest, now: Moment) -> Urgency {
        if !self.is_model(&request.service) || !self.uses(Mechanism::Urgency) {
            return Urgency::InTime;
        }

        request.urgency(self.usual_answer_time(&request.service).unwrap_or_default(), now)
    }

    /// Gets the longest time that a request of a service is held while there is no place for it.
    pub fn max_hold(&self, service: &str) -> Duration {
        max_hold(self.usual_answer_time(service).unwrap_or(UNKNOWN_FIRST_EVENT))
    }

    /// Tells whether a request for a model is held where others are refused, as its caller has come back once already.
    pub fn holds_returned(&self, request: &RoutedRequest) -> bool {
        let is_model = self.is_model(&request.service);

        is_model && self.uses(Mechanism::Urgency) && request.has_come_back(&self.names)
    }

    /// Gets the time until a request's prompt may go to its service's group.
    pub fn prompt_wait(&self, request: &RoutedRequest, now: Moment) -> Duration {
        let service = &request.service;
        let pause = self.urgency(request, now).prompt_pause();

        if self.waits_for_ranks(service, now) {
            return FIRST_WATCH_PERIOD;
        }

        if !self.uses(Mechanism::PromptRate) {
            return Duration::ZERO;
        }

        self.prompts.borrow().get(service).map_or(Duration::ZERO, |rate| rate.wait(pause, now))
    }

    /// Gets the part of the time of a service's groups that may go into reading prompts.
    fn prompt_part(&self, service: &str, now: Moment) -> f64 {
        let openings = self.openings.borrow();

        openings.get(service).map_or(PROMPT_PART, |openings| openings.prompt_part(now))
    }

    /// Gets the requests in flight on some targets.
    fn in_flight_counts(&self, targets: &[Arc<TargetEntry>], now: Moment) -> InFlightCounts {
        let chooser = self.chooser.borrow();

        InFlightCounts {
            own: targets.iter().map(|t| f64::from(chooser.own_in_flight(&t.id))).sum(),
            all: targets.iter().map(|t| chooser.load_view(&t.id, now).in_flight).sum(),
        }
    }

    /// Notes that a request's prompt goes to its service's group.
    pub fn take_prompt(&self, request: &RoutedRequest, now: Moment) {
        let table = self.table();
        let service = &request.service;
        let Some(engine) = table.service(service).and_then(|s| s.engine.as_ref()) else {
            return;
        };
        let serving = self.serving(service).unwrap_or_default();
        let part = self.prompt_part(service, now);
        let group_tokens_per_s = serving.len() as f64 * engine.read_tokens_per_s * part;
        let tokens = request.request.prompt_tokens(&self.names).unwrap_or(engine.usual_prompt);
        let counts = self.in_flight_counts(&serving, now);
        let mut prompts = self.prompts.borrow_mut();
        let rate = prompts.entry(service.clone()).or_insert(PromptRate::new(PROMPT_BURST));
        rate.observe(group_tokens_per_s, counts, self.gateways(), now);
        rate.take(tokens, now);
    }

    /// Tells whether a request for a model should wait for the ranks' first word on their group.
    fn waits_for_ranks(&self, service: &str, now: Moment) -> bool {
        let is_early = self.targets_known_at.get().is_none_or(|at| now < at + FIRST_LOAD_WAIT);

        !self.hears_ranks() && is_early && self.is_model(service)
    }

    /// Takes in what a rank says of its group's opening.
    pub(super) fn note_group_word(&self, service: &str, load: &RankLoad) {
        let now = self.now();
        let word = GroupWord {
            group: load.group,
            formation: load.formation,
            is_open: load.is_open,
            has_placement: load.has_placement,
        };
        let mut openings = self.openings.borrow_mut();

        match openings.get_mut(service) {
            Some(openings) => openings.note(word, now),
            None => openings.entry(service.to_string()).or_default().note(word, now),
        }
    }
}
