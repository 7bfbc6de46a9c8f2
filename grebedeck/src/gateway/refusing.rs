//! What targets say of themselves in their answers: their load, that they are cold, want rest or leave.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::TargetEntry;
use grebedeck_gateway::refusals::RefusalEffect;
use grebedeck_gateway::wire::{TargetLoad, says_leaving};
use grebedeck_http::ResponseHead;
use grebedeck_kernel::log;
use grebedeck_routing::LoadReport;

use super::attempt_history::{FailureCause, Refusal};
use super::service::Gateway;
use crate::settings::millis;

/// Lines a second on targets that refuse: each of some tens of targets begins and ends, and a target that refuses every
/// other request would write two lines for each.
pub const REFUSING_LINES_PER_S: f64 = 20.0;

impl Gateway {
    /// Takes in that a target leaves, if the head of an answer says so. It holds whichever request the answer is to.
    pub(super) fn note_leaving_word(&self, target: &TargetEntry, head: &ResponseHead) {
        if head.headers.all(self.names.leaving).any(says_leaving) {
            self.change_targets(|targets, now| targets.record_leaving(target, now));
        }
    }

    /// Takes in what the head of an answer says of the target's load.
    pub(super) fn note_load_word(
        &self,
        target: &TargetEntry,
        head: &ResponseHead,
        load: Option<TargetLoad>,
    ) {
        if self.is_earlier_start(target) {
            return;
        }

        let cold_ms = head.headers.text(self.names.cold_ms).and_then(|text| text.parse().ok());

        if let Some(cold_ms) = cold_ms {
            self.note_cold(&target.id, millis(cold_ms));
        }

        if let Some(load) = load {
            let report = LoadReport {
                in_flight: load.in_flight(),
                waiting: load.waiting,
                slots: load.slots,
            };
            self.note_load(&target.id, report);
        }
    }

    /// Takes in a target's refusal. Of one that says that it is full its load tells enough, unless it asks for rest.
    pub fn note_refusal(&self, target: &TargetEntry, refusal: Refusal, load: Option<TargetLoad>) {
        if refusal.requested_delay.is_none() && load.is_some_and(|load| !load.has_room()) {
            return self.refusals.borrow_mut().record_full(&target.id);
        }

        let now = self.now();
        let news = self.refusals.borrow_mut().record_refusal(target, refusal.requested_delay, now);
        let (id, status) = (target.id.as_str(), refusal.status);

        match news {
            RefusalEffect::None => {}
            RefusalEffect::RetryAfterRequested => {
                let rest_ms = self.rest_left(id, now).as_millis() as u64;
                self.counters.refusing.add("rests");

                if let Some(left_out) = self.refusing_lines.borrow_mut().take_line(now) {
                    log::info!("target rests", kv: { target = id, status, rest_ms, left_out });
                }
            }
            RefusalEffect::BackedOff(pause) => {
                let pause_ms = pause.as_millis() as u64;
                self.counters.refusing.add("paused");

                if let Some(left_out) = self.refusing_lines.borrow_mut().take_line(now) {
                    log::info!("target paused", kv: { target = id, status, pause_ms, left_out });
                }
            }
        }
    }

    /// Notes that a target took a request.
    pub(super) fn note_target_took(&self, target: &TargetEntry) {
        let now = self.now();

        if !self.refusals.borrow_mut().record_accepted(target, now) {
            return;
        }

        self.counters.refusing.add("took");

        if let Some(left_out) = self.refusing_lines.borrow_mut().take_line(now) {
            let target = target.id.as_str();
            log::info!("target takes requests again", kv: { target, left_out });
        }

        self.freed.notify(usize::MAX);
    }

    /// Notes that a request goes to a target, which may be on trial.
    pub(super) fn note_sent(&self, target: &TargetEntry, now: Moment) {
        if self.refusals.borrow_mut().record_sent(target, now) {
            self.counters.refusing.add("trial");
        }
    }

    /// Tells whether a target that was chosen may still get the request. Between the two a connection may have to be
    /// made, and meanwhile the target may have asked for rest, left, or its hall may be evacuated.
    pub(super) fn may_still_send(&self, target: &TargetEntry) -> bool {
        let rests = !self.rest_left(&target.id, self.now()).is_zero();

        !rests && self.with_targets(|targets| targets.takes_work(target))
    }

    /// Gets how much longer a target rests.
    pub fn rest_left(&self, target: &str, now: Moment) -> Duration {
        self.refusals.borrow().retry_after(target, now)
    }

    /// Gets after which time the first of a service's targets has rested, where all of them rest.
    pub fn all_rest(&self, service: &str) -> Option<Duration> {
        let serving = self.serving(service)?;

        self.refusals.borrow().min_retry_after(&serving, self.now())
    }

    /// Gets those of a service's targets that do not rest.
    pub(super) fn without_resting(
        &self,
        targets: &Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        self.refusals.borrow().without_retry_after(targets, now)
    }
}

/// Tells from a refusal's load whether the target is full.
pub(super) fn refusal_cause(load: Option<TargetLoad>) -> FailureCause {
    match load {
        Some(load) if load.has_room() => FailureCause::Refused,
        _ => FailureCause::Full,
    }
}
