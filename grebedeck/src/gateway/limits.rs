//! Rate limits that targets announce for the requests of all gateways together.
//!
//! The gateway records announced limits, measures the demand for limited targets, and sends a
//! request to such a target only with a permit, so that the gateways together stay within the
//! limit.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use grebedeck_core::{Moment, ServiceName};
use grebedeck_gateway::limit::{LimitChange, announced_limit};
use grebedeck_gateway::quota::DemandCounter;
use grebedeck_gateway::{Limits, Permit, TargetEntry, Verdict};
use grebedeck_http::ResponseHead;
use grebedeck_kernel::log;
use grebedeck_kernel::log::LineRateLimiter;
use serde_json::json;

use super::service::Gateway;

/// Rate limit of log lines about limits. Tens of targets may set and end limits, and a target that
/// changes its limit with each response would cause a line for each.
const LIMIT_LINES_PER_S: f64 = 20.0;
/// Maximum retry delay that a caller without a permit is given.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(60);

/// Known limits and the demand for limited targets.
pub struct LimitState {
    pub(super) limits: RefCell<Limits>,
    /// Demand for services with limited targets.
    pub(super) demand: RefCell<HashMap<ServiceName, DemandCounter>>,
    /// Notified when permits may have to be requested from coordinators.
    pub(super) changed: Event,
    lines: RefCell<LineRateLimiter>,
}

impl Default for LimitState {
    fn default() -> Self {
        LimitState {
            limits: RefCell::default(),
            demand: RefCell::default(),
            changed: Event::new(),
            lines: RefCell::new(LineRateLimiter::new(LIMIT_LINES_PER_S)),
        }
    }
}

impl LimitState {
    /// Removes the limits of targets that are gone.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.limits.borrow_mut().retain(keep);
    }
}

impl Gateway {
    /// Records the limit that the head of a response announces, or that it announces none.
    pub fn record_limit(
        &self,
        target: &TargetEntry,
        head: &ResponseHead,
        verdict: Verdict,
        sent_at: Moment,
    ) {
        if self.is_earlier_start(target) {
            return;
        }

        let announced = announced_limit(head.headers.all(self.names.limit));
        let is_success = verdict == Verdict::Pass && head.is_success();
        let now = self.now();
        let change =
            self.limits.limits.borrow_mut().observe(target, announced, is_success, sent_at, now);

        self.record_limit_change(target, change, "target");
    }

    pub(super) fn record_limit_change(
        &self,
        target: &TargetEntry,
        change: LimitChange,
        from: &str,
    ) {
        let (label, per_s) = match change {
            LimitChange::None => return,
            LimitChange::Set(per_s) => ("set", per_s),
            LimitChange::Ended => ("ended", 0.0),
            LimitChange::Unreadable => ("unreadable", 0.0),
        };
        self.counters.limits.add(label);
        self.limits.changed.notify(usize::MAX);
        self.slot_freed.notify(usize::MAX);

        if let Some(left_out) = self.limits.lines.borrow_mut().try_acquire_line(self.now()) {
            let target = target.id.as_str();
            log::info!("target's limit changed", kv: {
                target, change = label, per_s, from, left_out,
            });
        }
    }

    /// Records that a request needs a target: the number of permits to request follows from that.
    pub(super) fn record_demand(&self, service: &str) {
        if self.limits.limits.borrow().is_empty() {
            return;
        }

        let now = self.now();
        let mut demand = self.limits.demand.borrow_mut();

        match demand.get_mut(service) {
            Some(demand) => demand.record(now),
            None => demand.entry(service.to_string()).or_default().record(now),
        }

        self.limits.changed.notify(usize::MAX);
    }

    /// Returns the targets to which this gateway may send a request now.
    pub(super) fn permitted(
        &self,
        targets: Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        let limits = self.limits.limits.borrow();

        if limits.is_empty() || targets.iter().all(|target| limits.may_send(target, now)) {
            return targets;
        }

        self.counters.limits.add("held_back");
        targets.iter().filter(|target| limits.may_send(target, now)).cloned().collect()
    }

    /// Returns the targets without a rate limit; all if all are limited.
    pub(super) fn without_limited(
        &self,
        targets: Arc<[Arc<TargetEntry>]>,
    ) -> Arc<[Arc<TargetEntry>]> {
        let limits = self.limits.limits.borrow();
        let is_limited = |target: &Arc<TargetEntry>| limits.is_limited(target);

        if limits.is_empty() || !targets.iter().any(is_limited) || targets.iter().all(is_limited) {
            return targets;
        }

        targets.iter().filter(|target| !is_limited(target)).cloned().collect()
    }

    /// Acquires a permit for a request to a target; `None` if none is left.
    pub(super) fn acquire_permit(&self, target: &TargetEntry, now: Moment) -> Option<Permit> {
        self.limits.limits.borrow_mut().acquire(target, now)
    }

    /// Returns whether a request with a permit may still be sent, and counts it.
    pub(super) fn confirm_permit(&self, target: &TargetEntry, permit: Permit) -> bool {
        let is_limited = self.limits.limits.borrow().is_limited(target);
        let is_sent = self.limits.limits.borrow_mut().confirm_send(target, permit, self.now());

        if is_limited {
            self.counters.limits.add(if is_sent { "sent" } else { "withdrawn" });
        }

        is_sent
    }

    /// Returns the expected wait for a permit behind `ahead` other requests, if all of the
    /// service's targets that this gateway selects from are limited.
    pub(super) fn permit_wait(&self, service: &str, ahead: usize) -> Option<Duration> {
        let candidates = self.candidates(service);

        if candidates.is_empty() {
            return None;
        }

        let targets = candidates.iter().map(|target| &**target);
        let rate = self.limits.limits.borrow().rate(targets, self.gateway_count())?;
        let wait_s = (ahead + 1) as f64 / rate.max(f64::MIN_POSITIVE);

        Some(Duration::from_secs_f64(wait_s.min(MAX_PERMIT_WAIT.as_secs_f64())))
    }

    /// Returns a target's limit for a dump; null if it has none.
    pub(super) fn limit_dump(&self, target: &TargetEntry, now: Moment) -> serde_json::Value {
        let view = self.limits.limits.borrow().view(target);

        view.map_or(serde_json::Value::Null, |limit| {
            json!({
                "per_s": limit.per_s, "for_ms": (now - limit.since).as_millis() as u64,
                "sent": limit.sent, "own_per_s": limit.rate,
            })
        })
    }

    /// Removes limits that ended long ago, idle targets of the permit ledger and services without
    /// demand.
    pub(super) fn remove_expired_limits(&self) {
        let now = self.now();
        self.limits.limits.borrow_mut().forget_ended(now);
        self.quota.ledger.borrow_mut().forget_idle(now);
        let mut demand = self.limits.demand.borrow_mut();
        demand.retain(|_, demand| demand.wanted(now) > 0);
    }
}
