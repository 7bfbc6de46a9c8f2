//! State that targets report in the heads of their responses: load, remaining cold time, refusal
//! with or without a requested delay, and leaving.
//!
//! A target that refuses although it has slots free is sent no requests until its requested delay
//! or a backoff has passed; then it is probed with single requests.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_gateway::TargetEntry;
use grebedeck_gateway::refusals::RefusalEffect;
use grebedeck_gateway::wire::{TargetLoad, says_leaving};
use grebedeck_http::ResponseHead;
use grebedeck_kernel::log;
use grebedeck_routing::LoadReport;

use super::history::{FailureCause, Refusal};
use super::service::Gateway;
use crate::settings::millis;

/// Rate limit of log lines about refusing targets. Tens of targets may start and stop refusing, and
/// a target that refuses every other request would cause two lines for each.
pub const REFUSAL_LINES_PER_S: f64 = 20.0;

impl Gateway {
    /// Marks a target as leaving if the head of a response says so, whichever request it answers.
    pub(super) fn record_leaving_header(&self, target: &TargetEntry, head: &ResponseHead) {
        if head.headers.all(self.names.leaving).any(says_leaving) {
            self.update_targets(|targets, now| targets.record_leaving(target, now));
        }
    }

    /// Records the target's load and remaining cold time from the head of a response.
    pub(super) fn record_load_headers(
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
            self.record_cold(&target.id, millis(cold_ms));
        }

        if let Some(load) = load {
            let report = LoadReport {
                in_flight: load.in_flight(),
                waiting: load.waiting,
                slots: load.slots,
            };
            self.record_load(&target.id, report);
        }
    }

    /// Records a target's refusal. A target that reports itself full needs no backoff, as its load
    /// already keeps requests away, unless it requests a delay.
    pub fn record_refusal(&self, target: &TargetEntry, refusal: Refusal, load: Option<TargetLoad>) {
        if refusal.requested_delay.is_none() && load.is_some_and(|load| !load.has_room()) {
            return self.refusals.borrow_mut().record_full(&target.id);
        }

        let now = self.now();
        let effect =
            self.refusals.borrow_mut().record_refusal(target, refusal.requested_delay, now);
        let (id, status) = (target.id.as_str(), refusal.status);

        match effect {
            RefusalEffect::None => {}
            RefusalEffect::RetryAfterRequested => {
                let rest_ms = self.retry_after(id, now).as_millis() as u64;
                self.counters.refusing.add("rests");

                if let Some(left_out) = self.refusing_lines.borrow_mut().try_acquire_line(now) {
                    log::info!("target requested a delay", kv: {
                        target = id, status, rest_ms, left_out,
                    });
                }
            }
            RefusalEffect::BackedOff(pause) => {
                let pause_ms = pause.as_millis() as u64;
                self.counters.refusing.add("paused");

                if let Some(left_out) = self.refusing_lines.borrow_mut().try_acquire_line(now) {
                    log::info!("target backed off after refusals", kv: {
                        target = id, status, pause_ms, left_out,
                    });
                }
            }
        }
    }

    /// Records that a target accepted a request.
    pub(super) fn record_accepted(&self, target: &TargetEntry) {
        let now = self.now();

        if !self.refusals.borrow_mut().record_accepted(target, now) {
            return;
        }

        self.counters.refusing.add("took");

        if let Some(left_out) = self.refusing_lines.borrow_mut().try_acquire_line(now) {
            let target = target.id.as_str();
            log::info!("target accepts requests again", kv: { target, left_out });
        }

        self.slot_freed.notify(usize::MAX);
    }

    /// Records that a request is sent to a target, which is a probe if the target refused before.
    pub(super) fn record_sent_to(&self, target: &TargetEntry, now: Moment) {
        if self.refusals.borrow_mut().record_sent(target, now) {
            self.counters.refusing.add("trial");
        }
    }

    /// Returns whether a request may still be sent to its selected target. While a connection was
    /// established, the target may have requested a delay or left, or its hall may have been
    /// evacuated.
    pub(super) fn may_still_send(&self, target: &TargetEntry) -> bool {
        let is_delayed = !self.retry_after(&target.id, self.now()).is_zero();

        !is_delayed && self.with_targets(|targets| targets.takes_work(target))
    }

    /// Returns the remaining delay that a target requested.
    pub fn retry_after(&self, target: &str, now: Moment) -> Duration {
        self.refusals.borrow().retry_after(target, now)
    }

    /// Returns the shortest remaining delay of a service's targets if all of them requested one.
    pub fn min_retry_after(&self, service: &str) -> Option<Duration> {
        let serving = self.serving(service)?;

        self.refusals.borrow().min_retry_after(&serving, self.now())
    }

    /// Returns the targets without a remaining requested delay.
    pub(super) fn without_retry_after(
        &self,
        targets: &Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        self.refusals.borrow().without_retry_after(targets, now)
    }
}

/// Determines the cause of a refusal: the target is full unless its load shows free slots.
pub(super) fn refusal_cause(load: Option<TargetLoad>) -> FailureCause {
    match load {
        Some(load) if load.has_room() => FailureCause::Refused,
        _ => FailureCause::Full,
    }
}
