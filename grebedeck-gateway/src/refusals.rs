//! Targets that refuse requests, and when requests are sent to them again.
//!
//! The case to handle: some of a service's targets refuse all requests for seconds while the
//! others have free slots. A refusing target is idle, so by its load it looks like the best choice.
//! With five of sixteen targets refusing, those five got 63 of 100 requests. Callers have two
//! tries, which often met two refusing targets, so they were refused although eleven targets had
//! free slots.
//!
//! A target that asks for a delay (`Retry-After`) gets nothing until that has passed, whatever else
//! is known of it. A target that refuses without one gets nothing during a backoff that doubles.
//! After either, the target is on probation: it gets one probe request at a time until it accepts
//! one. A probe that is refused costs a retry, so probes are limited to a ratio of all requests
//! that the retry budget allows for.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Moment, ServiceName};

use crate::delay::RetryAfter;
use crate::targets::{TargetEntry, TargetId};

/// Backoff after the first refusal: some round trips, in which a slot may become free.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the backoff, and so of the time that callers wait until the only target of a
/// service is probed again.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How long the outcome of a probe is awaited: longer than a target takes to send a response head.
/// A probe may end without an outcome if its caller leaves.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Probes per request sent: half of the retries that a budget usually allows.
const PROBES_PER_REQUEST: f64 = 0.1;
/// Probes that may accumulate, so that some targets that recover at the same time are found at
/// once.
const MAX_PROBE_TOKENS: f64 = 3.0;
/// How long a refusing target is remembered without being tried again.
const RETENTION: Duration = Duration::from_secs(30);

/// State of a target that refuses requests.
#[derive(Clone, Debug)]
struct RefusingTarget {
    service: ServiceName,
    /// Delay that the target itself asked for.
    retry_after: RetryAfter,
    /// End of the backoff after a refusal.
    backoff_until: Moment,
    /// Backoffs since the target last accepted a request; 0 if only a requested delay is known.
    backoffs: u32,
    /// Deadline for the outcome of the current probe.
    probe_deadline: Option<Moment>,
}

impl RefusingTarget {
    fn is_on_probation(&self) -> bool {
        self.backoffs > 0
    }

    fn may_be_probed(&self, now: Moment) -> bool {
        now >= self.backoff_until && self.probe_deadline.is_none_or(|until| now >= until)
    }
}

/// Effect of a refusal on what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalEffect {
    /// None; the target was already known to refuse.
    None,
    /// The target asked for a delay.
    RetryAfterRequested,
    /// The target refused without asking for a delay, and is backed off for this time.
    BackedOff(Duration),
}

/// Refusing targets of all services.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    targets: HashMap<TargetId, RefusingTarget>,
    /// Probe tokens by service; [`MAX_PROBE_TOKENS`] for a service that no request was sent to yet.
    probe_tokens: HashMap<ServiceName, f64>,
}

impl Refusals {
    /// Records a refusal. `asked` is the delay that the target asked for, if any.
    pub fn record_refusal(
        &mut self,
        target: &TargetEntry,
        asked: Option<Duration>,
        now: Moment,
    ) -> RefusalEffect {
        let known = self.targets.entry(target.id.clone()).or_insert_with(|| RefusingTarget {
            service: target.service.clone(),
            retry_after: RetryAfter::default(),
            backoff_until: now,
            backoffs: 0,
            probe_deadline: None,
        });
        let was_delayed = known.retry_after.is_active(now);
        // Requests in flight at the same time are refused together and count as one refusal.
        let is_first = now >= known.backoff_until && !was_delayed;
        known.retry_after.extend(asked.unwrap_or_default(), now);
        known.probe_deadline = None;

        if is_first {
            let backoff = (FIRST_BACKOFF * (1 << known.backoffs.min(8))).min(MAX_BACKOFF);
            known.backoffs += 1;
            known.backoff_until = now + backoff;
        }

        match known.retry_after.is_active(now) {
            true if !was_delayed => RefusalEffect::RetryAfterRequested,
            false if is_first => RefusalEffect::BackedOff(known.backoff_until - now),
            _ => RefusalEffect::None,
        }
    }

    /// Records a refusal by a target whose load report says that it is full, which is not an
    /// outcome of a probe.
    pub fn record_full(&mut self, target: &str) {
        if let Some(known) = self.targets.get_mut(target) {
            known.probe_deadline = None;
        }
    }

    /// Records that a target accepted a request; returns whether it was known to refuse. During a
    /// requested delay this has no effect, as the request was sent before the delay began.
    pub fn record_accepted(&mut self, target: &TargetEntry, now: Moment) -> bool {
        let Some(known) = self.targets.get(&target.id) else {
            return false;
        };

        if known.retry_after.is_active(now) {
            return false;
        }

        if known.probe_deadline.is_some() {
            self.add_probe_tokens(&target.service, 1.0);
        }

        self.targets.remove(&target.id);
        true
    }

    /// Records that a request is sent to a target; returns whether it is a probe.
    pub fn record_sent(&mut self, target: &TargetEntry, now: Moment) -> bool {
        let known = self.targets.get_mut(&target.id).filter(|known| known.is_on_probation());
        let is_probe = known.is_some();

        if let Some(known) = known {
            known.probe_deadline = Some(now + PROBE_TIMEOUT);
        }

        self.add_probe_tokens(&target.service, if is_probe { -1.0 } else { PROBES_PER_REQUEST });

        is_probe
    }

    /// Adds to a service's probe tokens. This runs for every request, so the name of a known
    /// service is not copied.
    fn add_probe_tokens(&mut self, service: &str, change: f64) {
        let changed = |tokens: f64| (tokens + change).clamp(0.0, MAX_PROBE_TOKENS);

        match self.probe_tokens.get_mut(service) {
            Some(tokens) => *tokens = changed(*tokens),
            None => drop(self.probe_tokens.insert(service.to_string(), changed(MAX_PROBE_TOKENS))),
        }
    }

    /// Remaining delay that a target asked for; zero if none.
    pub fn retry_after(&self, target: &str, now: Moment) -> Duration {
        self.targets.get(target).map_or(Duration::ZERO, |known| known.retry_after.remaining(now))
    }

    /// Time until the first of the targets may be used again, if all of them asked for a delay.
    pub fn min_retry_after(&self, targets: &[Arc<TargetEntry>], now: Moment) -> Option<Duration> {
        if self.targets.is_empty() {
            return None;
        }

        let left = targets.iter().map(|target| self.retry_after(&target.id, now)).min()?;

        (!left.is_zero()).then_some(left)
    }

    /// Targets without a requested delay.
    pub fn without_retry_after(
        &self,
        targets: &Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        let is_delayed = |target: &Arc<TargetEntry>| !self.retry_after(&target.id, now).is_zero();

        if self.targets.is_empty() || !targets.iter().any(is_delayed) {
            return targets.clone();
        }

        targets.iter().filter(|target| !is_delayed(target)).cloned().collect()
    }

    /// Targets of a service that a request may be sent to: those that accept requests, and those
    /// that may be probed. A request that was already refused is not used as a probe while other
    /// targets accept requests, as callers have few tries.
    pub fn eligible<'a>(
        &self,
        targets: Vec<&'a Arc<TargetEntry>>,
        is_first_try: bool,
        now: Moment,
    ) -> Vec<&'a Arc<TargetEntry>> {
        let known = |target: &Arc<TargetEntry>| self.targets.get(&target.id);
        let accepts =
            |target: &Arc<TargetEntry>| known(target).is_none_or(|k| !k.is_on_probation());
        let may_be_probed =
            |target: &Arc<TargetEntry>| known(target).is_none_or(|k| k.may_be_probed(now));

        if self.targets.is_empty() {
            return targets;
        }

        // If all of them refuse, there is no alternative to a probe.
        let has_accepting_target = targets.iter().any(|target| accepts(target));
        let has_probe_token =
            |service: &str| self.probe_tokens.get(service).is_none_or(|tokens| *tokens >= 1.0);
        let may_probe_service = |target: &Arc<TargetEntry>| {
            !has_accepting_target || (is_first_try && has_probe_token(&target.service))
        };
        let is_eligible = |target: &&Arc<TargetEntry>| {
            accepts(target) || (may_be_probed(target) && may_probe_service(target))
        };

        targets.into_iter().filter(is_eligible).collect()
    }

    /// Records that a target has restarted. Its refusals belong to the earlier start and are
    /// dropped. A requested delay stays, as the list lags and the new start may already have asked
    /// for it.
    pub fn record_restart(&mut self, target: &str) {
        if let Some(known) = self.targets.get_mut(target) {
            known.backoffs = 0;
            known.backoff_until = Moment::ZERO;
            known.probe_deadline = None;
        }
    }

    /// Records that a service has recovered from an outage. Refusals during the outage are dropped,
    /// except for delays that targets asked for.
    pub fn record_recovery(&mut self, service: &str, now: Moment) {
        self.targets
            .retain(|_, known| known.service != service || known.retry_after.is_active(now));
    }

    /// Removes targets that refused long ago.
    pub fn remove_expired(&mut self, now: Moment) {
        let last = |known: &RefusingTarget| known.retry_after.until().max(known.backoff_until);

        self.targets.retain(|_, known| now < last(known) + RETENTION);
    }
}
