//! Targets that refuse requests, and when they are sent to again.
//!
//! The load that this answers: some of a service's targets turn everything away for seconds while the others have
//! room. A target that refuses has nothing to do, so by its load it looks like the best one of all. With five of
//! sixteen targets refusing, those five got 63 of 100 requests, and callers, whose two tries often met two of them, were
//! refused although eleven targets had room.
//!
//! A target that asks for rest gets nothing until that is over, whatever else is known of it. One that refuses without
//! a word gets nothing for a pause that doubles. After either it is on trial: one request at a time, until it takes
//! one. A trial that is refused costs a repeat, so trials stay a part of all requests that the budget of repeats bears.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Moment, ServiceName};

use crate::rest::RetryAfter;
use crate::targets::{TargetEntry, TargetId};

/// Pause of a target that refused for the first time: some round trips, in which a place may become free.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause: callers wait no longer than that for the only target of a service to be tried again.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// How long the outcome of a trial is waited for: longer than a target needs for the head of an answer. A trial may
/// end without one, as its caller left.
const TRIAL_LIMIT: Duration = Duration::from_secs(1);
/// Trials for each request that is sent: half of the repeats that a budget usually allows.
const TRIAL_PART: f64 = 0.1;
/// Trials that may be saved up, so that some targets that come back at the same time are found at once.
const MAX_SAVED: f64 = 3.0;
/// How long a target is remembered that refused and was not tried again since.
const MEMORY: Duration = Duration::from_secs(30);

/// What is known of a target that refuses.
#[derive(Clone, Debug)]
struct Refusing {
    service: ServiceName,
    /// Until when the target itself wants nothing.
    rest: RetryAfter,
    /// Until when it gets nothing, as it refused.
    pause_until: Moment,
    /// Pauses since it last took a request; none if nothing but its rest is known.
    pauses: u32,
    /// Until when the outcome of a trial is waited for.
    trial_until: Option<Moment>,
}

impl Refusing {
    fn is_on_trial(&self) -> bool {
        self.pauses > 0
    }

    fn may_be_tried(&self, now: Moment) -> bool {
        now >= self.pause_until && self.trial_until.is_none_or(|until| now >= until)
    }
}

/// What a refusal changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalEffect {
    /// Nothing: more was known already.
    None,
    /// The target asks for rest.
    RetryAfterRequested,
    /// The target has refused without a word on rest, and gets nothing for this time.
    BackedOff(Duration),
}

/// Targets that refuse.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    targets: HashMap<TargetId, Refusing>,
    /// Trials that may be made, by service; as many as can be saved where nothing was sent yet.
    saved: HashMap<ServiceName, f64>,
}

impl Refusals {
    /// Notes that a target refused a request; `asked` is for how long it wants nothing, if it says so.
    pub fn record_refusal(
        &mut self,
        target: &TargetEntry,
        asked: Option<Duration>,
        now: Moment,
    ) -> RefusalEffect {
        let known = self.targets.entry(target.id.clone()).or_insert_with(|| Refusing {
            service: target.service.clone(),
            rest: RetryAfter::default(),
            pause_until: now,
            pauses: 0,
            trial_until: None,
        });
        let rested = known.rest.is_active(now);
        // Requests that were on their way together are refused together, and say no more than one of them.
        let is_first = now >= known.pause_until && !rested;
        known.rest.extend(asked.unwrap_or_default(), now);
        known.trial_until = None;

        if is_first {
            let pause = (FIRST_PAUSE * (1 << known.pauses.min(8))).min(MAX_PAUSE);
            known.pauses += 1;
            known.pause_until = now + pause;
        }

        match known.rest.is_active(now) {
            true if !rested => RefusalEffect::RetryAfterRequested,
            false if is_first => RefusalEffect::BackedOff(known.pause_until - now),
            _ => RefusalEffect::None,
        }
    }

    /// Notes that a target refused a request as it is full, which its load says: that is no outcome of a trial.
    pub fn record_full(&mut self, target: &str) {
        if let Some(known) = self.targets.get_mut(target) {
            known.trial_until = None;
        }
    }

    /// Notes that a target took a request; tells whether it had refused before. While it rests that says nothing: the
    /// request was sent before.
    pub fn record_accepted(&mut self, target: &TargetEntry, now: Moment) -> bool {
        let Some(known) = self.targets.get(&target.id) else {
            return false;
        };

        if known.rest.is_active(now) {
            return false;
        }

        if known.trial_until.is_some() {
            self.change_saved(&target.service, 1.0);
        }

        self.targets.remove(&target.id);
        true
    }

    /// Notes that a request is sent to a target; tells whether that is a trial.
    pub fn record_sent(&mut self, target: &TargetEntry, now: Moment) -> bool {
        let known = self.targets.get_mut(&target.id).filter(|known| known.is_on_trial());
        let is_trial = known.is_some();

        if let Some(known) = known {
            known.trial_until = Some(now + TRIAL_LIMIT);
        }

        self.change_saved(&target.service, if is_trial { -1.0 } else { TRIAL_PART });

        is_trial
    }

    /// Adds to the trials of a service that may be made. It is done for each request, so a known service's name is not
    /// copied.
    fn change_saved(&mut self, service: &str, change: f64) {
        let changed = |saved: f64| (saved + change).clamp(0.0, MAX_SAVED);

        match self.saved.get_mut(service) {
            Some(saved) => *saved = changed(*saved),
            None => drop(self.saved.insert(service.to_string(), changed(MAX_SAVED))),
        }
    }

    /// Gets how much longer a target rests.
    pub fn retry_after(&self, target: &str, now: Moment) -> Duration {
        self.targets.get(target).map_or(Duration::ZERO, |known| known.rest.remaining(now))
    }

    /// Gets after which time the first of some targets has rested, where all of them rest.
    pub fn min_retry_after(&self, targets: &[Arc<TargetEntry>], now: Moment) -> Option<Duration> {
        if self.targets.is_empty() {
            return None;
        }

        let left = targets.iter().map(|target| self.retry_after(&target.id, now)).min()?;

        (!left.is_zero()).then_some(left)
    }

    /// Gets those of some targets that do not rest.
    pub fn without_retry_after(
        &self,
        targets: &Arc<[Arc<TargetEntry>]>,
        now: Moment,
    ) -> Arc<[Arc<TargetEntry>]> {
        let rests = |target: &Arc<TargetEntry>| !self.retry_after(&target.id, now).is_zero();

        if self.targets.is_empty() || !targets.iter().any(rests) {
            return targets.clone();
        }

        targets.iter().filter(|target| !rests(target)).cloned().collect()
    }

    /// Gets those of a service's targets that a request may be sent to: those that take requests, and those that may be
    /// tried. A request that was refused once is no trial again while others take requests, as callers have few tries.
    pub fn eligible<'a>(
        &self,
        targets: Vec<&'a Arc<TargetEntry>>,
        is_first_try: bool,
        now: Moment,
    ) -> Vec<&'a Arc<TargetEntry>> {
        let known = |target: &Arc<TargetEntry>| self.targets.get(&target.id);
        let takes = |target: &Arc<TargetEntry>| known(target).is_none_or(|k| !k.is_on_trial());
        let may_be_tried =
            |target: &Arc<TargetEntry>| known(target).is_none_or(|k| k.may_be_tried(now));

        if self.targets.is_empty() {
            return targets;
        }

        // Where all of them refuse there is nobody to go to in place of a trial.
        let is_some_left = targets.iter().any(|target| takes(target));
        let has_saved = |service: &str| self.saved.get(service).is_none_or(|saved| *saved >= 1.0);
        let is_service_tried = |target: &Arc<TargetEntry>| {
            !is_some_left || (is_first_try && has_saved(&target.service))
        };
        let is_for_it = |target: &&Arc<TargetEntry>| {
            takes(target) || (may_be_tried(target) && is_service_tried(target))
        };

        targets.into_iter().filter(is_for_it).collect()
    }

    /// Notes that a target has started again. Its refusals are those of the earlier start; its rest stays, as the list
    /// lags and the next start may have asked for it already.
    pub fn record_restart(&mut self, target: &str) {
        if let Some(known) = self.targets.get_mut(target) {
            known.pauses = 0;
            known.pause_until = Moment::ZERO;
            known.trial_until = None;
        }
    }

    /// Notes that a service that was out is back: what its targets refused meanwhile says nothing any more, but for the
    /// rest that they asked for.
    pub fn record_recovery(&mut self, service: &str, now: Moment) {
        self.targets.retain(|_, known| known.service != service || known.rest.is_active(now));
    }

    /// Forgets targets that refused long ago.
    pub fn remove_expired(&mut self, now: Moment) {
        let last = |known: &Refusing| known.rest.until().max(known.pause_until);

        self.targets.retain(|_, known| now < last(known) + MEMORY);
    }
}
