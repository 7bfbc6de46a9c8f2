//! Limits that targets name for the requests of all gateways together: what is heard of them, and who may be sent to.

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
use grebedeck_kernel::log::LineBudget;
use serde_json::json;

use super::service::Gateway;

/// Lines a second on limits of targets: each of some tens of targets begins and ends one, and a target that changes its
/// limit with each answer would write a line for each.
const LIMIT_LINES_PER_S: f64 = 20.0;
/// Longest time after which a caller is told to come back for a permit.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(60);

/// What a gateway knows of limits.
pub struct LimitState {
    pub(super) limits: RefCell<Limits>,
    /// Requests for services that have targets with limits.
    pub(super) demand: RefCell<HashMap<ServiceName, DemandCounter>>,
    /// Told when there may be something to ask coordinators.
    pub(super) changed: Event,
    lines: RefCell<LineBudget>,
}

impl Default for LimitState {
    fn default() -> Self {
        LimitState {
            limits: RefCell::default(),
            demand: RefCell::default(),
            changed: Event::new(),
            lines: RefCell::new(LineBudget::new(LIMIT_LINES_PER_S)),
        }
    }
}

impl LimitState {
    /// Forgets targets that are gone.
    pub fn retain(&self, is_there: impl Fn(&str) -> bool) {
        self.limits.borrow_mut().retain(is_there);
    }
}

impl Gateway {
    /// Takes in what the head of an answer says of the target's limit.
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

        let named = announced_limit(head.headers.all(self.names.limit));
        let is_good = verdict == Verdict::Pass && head.is_success();
        let now = self.now();
        let change = self.limits.limits.borrow_mut().observe(target, named, is_good, sent_at, now);

        self.report_limit_change(target, change, "target");
    }

    pub(super) fn report_limit_change(
        &self,
        target: &TargetEntry,
        change: LimitChange,
        from: &str,
    ) {
        let (word, per_s) = match change {
            LimitChange::None => return,
            LimitChange::Set(per_s) => ("set", per_s),
            LimitChange::Ended => ("ended", 0.0),
            LimitChange::Unreadable => ("unreadable", 0.0),
        };
        self.counters.limits.add(word);
        self.limits.changed.notify(usize::MAX);
        self.slot_freed.notify(usize::MAX);

        if let Some(left_out) = self.limits.lines.borrow_mut().take_line(self.now()) {
            let target = target.id.as_str();
            log::info!("target's limit", kv: { target, change = word, per_s, from, left_out });
        }
    }

    /// Notes that a request looks for a target, as permits are asked for by how many do.
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

    /// Gets those of some targets to which this gateway may send a request now.
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

    /// Gets those of some targets that have no limit, which bear what they usually do; all of them where all have one.
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

    /// Takes the permit for a request to a target; none where there is no permit left.
    pub(super) fn acquire_permit(&self, target: &TargetEntry, now: Moment) -> Option<Permit> {
        self.limits.limits.borrow_mut().acquire(target, now)
    }

    /// Tells whether a request with a permit may still be sent, and counts it.
    pub(super) fn use_permit(&self, target: &TargetEntry, permit: Permit) -> bool {
        let is_limited = self.limits.limits.borrow().is_limited(target);
        let is_sent = self.limits.limits.borrow_mut().confirm_send(target, permit, self.now());

        if is_limited {
            self.counters.limits.add(if is_sent { "sent" } else { "withdrawn" });
        }

        is_sent
    }

    /// Gets how long a request that goes behind so many others waits for a permit, where all targets of its service that this
    /// gateway deals with have a limit.
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

    /// Gets a target's limit for a dump, where it has one.
    pub(super) fn limit_dump(&self, target: &TargetEntry, now: Moment) -> serde_json::Value {
        let view = self.limits.limits.borrow().view(target);

        view.map_or(serde_json::Value::Null, |limit| {
            json!({
                "per_s": limit.per_s, "for_ms": (now - limit.since).as_millis() as u64,
                "sent": limit.sent, "own_per_s": limit.rate,
            })
        })
    }

    /// Forgets limits that ended long ago, and what nobody asks for any more.
    pub(super) fn forget_limits(&self) {
        let now = self.now();
        self.limits.limits.borrow_mut().forget_ended(now);
        self.quota.ledger.borrow_mut().forget_idle(now);
        let mut demand = self.limits.demand.borrow_mut();
        demand.retain(|_, demand| demand.wanted(now) > 0);
    }
}
