//! Acquires a slot for a request on one of its service's targets.
//!
//! A request that finds no slot gets the reason, [`NoSlot`], which decides whether it waits in the
//! queue and when its caller is told to retry.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::{Availability, Permit, TargetEntry, TargetId};

use super::attempt::InFlight;
use super::counters::urgency_label;
use super::enqueue::{self, Acquisition};
use super::mechanism::Mechanism;
use super::options::{
    EVACUATED_RETRY_AFTER, HOLD_LIMIT, MIN_RETRY_SPREAD, NO_TARGETS_RETRY_AFTER, PLACEMENT_LAG,
    RETRY_SPREAD,
};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::trace::Decision;
use crate::random::ProcessRandom;

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// No target of the service that accepts work is known.
    NoTargets,
    /// All targets of the service are in halls that operators have evacuated.
    Evacuated,
    /// All targets have reached their allowed load.
    Full,
    /// All targets of the service have asked for a delay; the first of these ends after this time.
    DelayRequested(Duration),
    /// The request crashes targets; a trial may be made after this time.
    Quarantined(Duration),
    /// The service is out and expected back after this time.
    Out(Duration),
    /// Too many prompts have started lately; the next one may start after this time.
    PromptLimited(Duration),
    /// All slots are taken, and requests ahead in the queue will take the free ones for this time.
    Outranked(Duration),
    /// All targets have announced a rate limit; the next permit is due after this time.
    RateLimited(Duration),
}

/// A slot reserved on a target.
pub struct Slot {
    /// Target that has the slot.
    pub target: Arc<TargetEntry>,
    /// Counts the request as in flight on the target.
    pub in_flight: InFlight,
    /// Permit for a target with a rate limit.
    pub permit: Permit,
}

impl NoSlot {
    /// Why a request that is given up after its attempts has no slot now.
    pub fn after_attempts(gateway: &Gateway, service: &str) -> Self {
        NoSlot::affecting_all(gateway, service).unwrap_or_else(|| {
            match gateway.availability(service) {
                Availability::Out(left) => NoSlot::Out(left),
                Availability::Up => NoSlot::full_or_limited(gateway, service),
            }
        })
    }

    /// Reason that currently applies to all targets of a service, whatever their load.
    fn affecting_all(gateway: &Gateway, service: &str) -> Option<Self> {
        if gateway.is_evacuated(service) {
            return Some(NoSlot::Evacuated);
        }

        gateway.min_retry_after(service).map(NoSlot::DelayRequested)
    }

    /// Reason if no target of an available service has a slot: all are rate-limited, or all are
    /// full.
    fn full_or_limited(gateway: &Gateway, service: &str) -> Self {
        gateway.permit_wait(service, 0).map_or(NoSlot::Full, NoSlot::RateLimited)
    }

    /// Whether waiting until `expires_at` is pointless because the reason will outlast it.
    ///
    /// If callers of a group that never forms are held for their whole objective and then refused,
    /// a day with such a group loses 0.78 of its value, and 0.34 with refusals at once. An outage
    /// counts only once it is overdue, that is, has lasted longer than expected, as a service may
    /// be back sooner than estimated: with refusals at once in every outage, a day of two-second
    /// outages lost 0.046 of its value, over four seeds. Nobody knows when operators will reopen an
    /// evacuated hall.
    pub fn is_wait_futile(self, is_overdue: bool, expires_at: Moment, now: Moment) -> bool {
        match self {
            NoSlot::Out(left) => is_overdue && now + left > expires_at,
            // Targets that ask for a delay state its length, so callers that are refused at once
            // can return in time.
            NoSlot::Evacuated | NoSlot::DelayRequested(_) | NoSlot::Quarantined(_) => true,
            // A request whose wait would be too long is refused before it enters the queue.
            NoSlot::RateLimited(_) => false,
            NoSlot::NoTargets | NoSlot::Full | NoSlot::PromptLimited(_) | NoSlot::Outranked(_) => {
                false
            }
        }
    }

    /// Whether the reason ends soon enough for requests to be held.
    pub fn is_brief(self) -> bool {
        matches!(self, NoSlot::Out(left) | NoSlot::PromptLimited(left) if left <= HOLD_LIMIT)
    }

    /// Label in logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            NoSlot::NoTargets => "no_targets",
            NoSlot::Evacuated => "evacuated",
            NoSlot::DelayRequested(_) => "resting",
            NoSlot::Quarantined(_) => "quarantined",
            NoSlot::Full => "full",
            NoSlot::Out(_) => "out",
            NoSlot::PromptLimited(_) => "paced",
            NoSlot::Outranked(_) => "behind",
            NoSlot::RateLimited(_) => "limited",
        }
    }

    /// Delay that the caller is told to wait before it retries.
    pub fn retry_after(self, gateway: &Gateway, request: &RoutedRequest) -> Duration {
        let service = &request.service;
        let is_spread = gateway.uses(Mechanism::ReturnSpread);
        // Callers that all return at the same moment would find the targets full again.
        let spread = if is_spread { ProcessRandom::default().unit() } else { 0.0 };

        match self {
            NoSlot::NoTargets => NO_TARGETS_RETRY_AFTER.mul_f64(1.0 + spread),
            NoSlot::Evacuated => EVACUATED_RETRY_AFTER.mul_f64(1.0 + spread),
            NoSlot::Full | NoSlot::Outranked(_) | NoSlot::RateLimited(_) => {
                let left = match self {
                    NoSlot::RateLimited(left) => left,
                    _ => gateway.expected_slot_wait(service),
                };
                let scheduled = gateway.scheduled_retry_after(request, left).filter(|_| is_spread);

                scheduled.unwrap_or_else(|| left + left.max(MIN_RETRY_SPREAD).mul_f64(spread))
            }
            NoSlot::Out(left) => left + PLACEMENT_LAG + RETRY_SPREAD.mul_f64(spread),
            NoSlot::DelayRequested(left)
            | NoSlot::PromptLimited(left)
            | NoSlot::Quarantined(left) => left + RETRY_SPREAD.mul_f64(spread),
        }
    }
}

/// Acquires a slot: at once if the queue is empty, otherwise in queue order.
pub async fn acquire(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    tried: &[TargetId],
) -> Result<Slot, NoSlot> {
    let began = gateway.now();
    gateway.record_demand(&request.service);
    // First attempts, retries and resumed streams all pass this check. A request that crashes
    // targets and is sent on after each crash takes down target after target, and their group is
    // out for as long as the request keeps coming.
    let acquired = match gateway.await_clearance(request).await {
        Ok(()) => match enqueue::acquire_or_enqueue(gateway, request, tried) {
            Ok(Acquisition::Acquired(slot)) => Ok(slot),
            Ok(Acquisition::Queued(entry)) => entry.wait().await,
            Err(reason) => Err(reason),
        },
        Err(reason) => Err(reason),
    };
    let now = gateway.now();
    let counters = &gateway.counters;

    match &acquired {
        Ok(_) => {
            counters.waits.record(now - began, "placed");
            counters.admitted.add(urgency_label(request.admitted.rule.priority));
        }
        Err(reason) => {
            counters.waits.record(now - began, reason.word());
            counters.refusals.add(reason.word());
            request.trace.add(now, no_slot_decision(gateway, request, *reason, now));
        }
    }

    acquired
}

fn no_slot_decision(
    gateway: &Gateway,
    request: &RoutedRequest,
    reason: NoSlot,
    now: Moment,
) -> Decision {
    let candidates = gateway.without_cold_or_limited(&gateway.candidates(&request.service), now);

    Decision::NoSlot {
        reason,
        load: gateway.chooser.borrow().mean_load(&candidates, now),
        allowed: gateway.allowed_load(&request.service, &candidates, now),
        pause: gateway.mean_pause(&request.service),
        urgency: request.admitted.urgency(),
        targets: candidates.len(),
    }
}

/// Reserves a slot for a request if there is one.
pub fn try_acquire(
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<Slot, NoSlot> {
    let (target, permit) = select(gateway, request, tried, now)?;

    Ok(Slot { in_flight: InFlight::new(gateway, &target), target, permit })
}

fn select(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Arc<TargetEntry>, Permit), NoSlot> {
    if let Some(reason) = NoSlot::affecting_all(gateway, &request.service) {
        return Err(reason);
    }

    match gateway.availability(&request.service) {
        Availability::Out(left) if !gateway.try_probe_service(&request.service) => {
            Err(NoSlot::Out(left))
        }
        // The outage does not get shorter because no target can be probed just now.
        Availability::Out(left) => select_unless_prompt_limited(gateway, request, tried, now)
            .map_err(|reason| match reason {
                NoSlot::Full => NoSlot::Out(left),
                reason => reason,
            }),
        Availability::Up => select_unless_prompt_limited(gateway, request, tried, now),
    }
}

/// Selects a target unless the request's prompt has to wait.
fn select_unless_prompt_limited(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Arc<TargetEntry>, Permit), NoSlot> {
    let wait = gateway.prompt_wait(&request.service, now);

    if !wait.is_zero() && !is_resumed_stream(request, tried) {
        return Err(NoSlot::PromptLimited(wait));
    }

    choose_target(gateway, request, tried, now)
}

/// Targets with room that the request may go to, and the load limit of each, in requests per slot.
fn eligible(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Vec<Arc<TargetEntry>>, f64), NoSlot> {
    let serving = gateway.serving(&request.service).ok_or(NoSlot::NoTargets)?;
    let candidates = gateway.candidates(&request.service);
    let unrestricted = gateway.without_cold_or_limited(&candidates, now);
    // A resumed stream has released its slot on another target.
    let load_limit = match is_resumed_stream(request, tried) {
        true => gateway.settings().load.model,
        false => gateway.allowed_load(&request.service, &unrestricted, now),
    };
    let mut accepting = accepting(gateway, &candidates, tried, now);

    // This gateway gets no load reports from targets outside its subset, so they serve only while
    // no target of the subset accepts requests, and not while those are merely full.
    if accepting.is_empty() && candidates.len() < serving.len() {
        accepting = self::accepting(gateway, &serving, tried, now);
    }

    let chooser = gateway.chooser.borrow();
    accepting.retain(|target| chooser.has_room(&target.id, load_limit, now));

    Ok((accepting, load_limit))
}

/// Those of `targets` that accept requests now, whatever their load.
fn accepting(
    gateway: &Gateway,
    targets: &Arc<[Arc<TargetEntry>]>,
    tried: &[TargetId],
    now: Moment,
) -> Vec<Arc<TargetEntry>> {
    let targets = gateway.within_cold_limit(&gateway.without_retry_after(targets, now), now);
    let targets = gateway.permitted(targets, now);
    let chooser = gateway.chooser.borrow();
    let is_closed = |t: &&Arc<TargetEntry>| gateway.is_group_closed(t, now);
    let steady = chooser.without_slow(&targets, now).into_iter().filter(|t| !is_closed(t));
    let accepting = gateway.refusals.borrow().eligible(steady.collect(), tried.is_empty(), now);

    accepting.into_iter().cloned().collect()
}

/// Whether a request is a stream that has started on another target.
pub fn is_resumed_stream(request: &RoutedRequest, tried: &[TargetId]) -> bool {
    !tried.is_empty() && request.last_event_id.get().is_some()
}

/// Whether a target that the stream has not been sent to has a free slot.
pub fn has_free_slot(gateway: &Gateway, request: &RoutedRequest, tried: &[TargetId]) -> bool {
    let found = eligible(gateway, request, tried, gateway.now());

    found.is_ok_and(|(targets, _)| targets.iter().any(|t| !tried.contains(&t.id)))
}

fn choose_target(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Arc<TargetEntry>, Permit), NoSlot> {
    let (targets, load_limit) = eligible(gateway, request, tried, now)?;
    let chooser = gateway.chooser.borrow();
    let chosen = chooser.choose(&targets, tried, now, &mut ProcessRandom::default()).cloned();
    let target = chosen.ok_or_else(|| NoSlot::full_or_limited(gateway, &request.service))?;
    let permit = gateway.acquire_permit(&target, now).ok_or(NoSlot::Full)?;
    let view = chooser.load_view(&target.id, now);
    let decision = Decision::Chosen {
        target: target.id.clone(),
        load: view.in_flight,
        slots: view.slots,
        load_age: view.report_age,
        allowed: load_limit,
        last_event_id: request.last_event_id.get(),
    };
    request.trace.add(now, decision);
    gateway.record_cold_send(&target, now);
    gateway.record_sent_to(&target, now);
    gateway.record_prompt(request, now);

    Ok((target, permit))
}
