//! Finding a place for a request on one of its service's targets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::{Availability, Permit, TargetEntry, TargetId};

use super::attempt::InFlight;
use super::counters::urgency_word;
use super::entering::{self, Acquisition};
use super::mechanism::Mechanism;
use super::options::{
    EVACUATED_WAIT, HOLD_LIMIT, MIN_RETURN_SPREAD, NO_TARGETS_WAIT, PLACEMENT_LAG, RETURN_SPREAD,
};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::trace::Decision;
use crate::random::ProcessRandom;

/// Why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// No target of the service is known that takes work.
    NoTargets,
    /// All targets of the service stand in halls that operators evacuate.
    Evacuated,
    /// All targets have as many requests as they should.
    Full,
    /// All targets of the service want rest; the first of them has rested after this time.
    DelayRequested(Duration),
    /// The request crashes targets; it may be tried again after this time.
    Quarantined(Duration),
    /// The service is out, and expected back after this time.
    Out(Duration),
    /// Too many prompts have begun lately; the next one may after this time.
    PromptLimited(Duration),
    /// All places are taken, and those who go first take them for this time.
    Outranked(Duration),
    /// All targets have named a limit, and the next request may be sent after this time.
    RateLimited(Duration),
}

/// A place on a target, taken.
pub struct Slot {
    /// The target.
    pub target: Arc<TargetEntry>,
    /// Counts the request there.
    pub in_flight: InFlight,
    /// Leave of a target that has a limit.
    pub permit: Permit,
}

impl NoSlot {
    /// Gets why a request that is given up after its attempts has no place now.
    pub fn after_attempts(gateway: &Gateway, service: &str) -> Self {
        NoSlot::affecting_all(gateway, service).unwrap_or_else(|| {
            match gateway.availability(service) {
                Availability::Out(left) => NoSlot::Out(left),
                Availability::Up => NoSlot::full_or_limited(gateway, service),
            }
        })
    }

    /// Gets why no request may be sent to any target of a service, where that is so.
    fn affecting_all(gateway: &Gateway, service: &str) -> Option<Self> {
        if gateway.is_evacuated(service) {
            return Some(NoSlot::Evacuated);
        }

        gateway.all_rest(service).map(NoSlot::DelayRequested)
    }

    /// Gets why no target of a service that takes work may get a request.
    fn full_or_limited(gateway: &Gateway, service: &str) -> Self {
        gateway.permit_wait(service, 0).map_or(NoSlot::Full, NoSlot::RateLimited)
    }

    /// Tells whether there is no use in waiting until `give_up`: the service is expected back later than that, and has
    /// been out for longer than outages last. Callers of a group that never forms were held for their whole objective
    /// before they were refused, which cost 0.78 of all worth on a day with such a group, and 0.34 with refusals at once.
    /// Before that a service may be back sooner than expected: with refusals at once in every outage a day with outages
    /// of two seconds lost 0.046, over four seeds. When operators take a hall back nobody knows.
    pub fn is_wait_futile(self, is_overdue: bool, give_up: Moment, now: Moment) -> bool {
        match self {
            NoSlot::Out(left) => is_overdue && now + left > give_up,
            // Targets that want rest say how long it takes, so callers can come back in time if they hear it at once.
            NoSlot::Evacuated | NoSlot::DelayRequested(_) | NoSlot::Quarantined(_) => true,
            // Who would wait for too long does not get in line.
            NoSlot::RateLimited(_) => false,
            NoSlot::NoTargets | NoSlot::Full | NoSlot::PromptLimited(_) | NoSlot::Outranked(_) => {
                false
            }
        }
    }

    /// Tells whether it is over so soon that requests are held for it.
    pub fn is_brief(self) -> bool {
        matches!(self, NoSlot::Out(left) | NoSlot::PromptLimited(left) if left <= HOLD_LIMIT)
    }

    /// Gets a short word for logs and counters.
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

    /// Gets how long the caller should wait before it asks again.
    pub fn retry_after(self, gateway: &Gateway, request: &RoutedRequest) -> Duration {
        let service = &request.service;
        let is_spread = gateway.uses(Mechanism::ReturnSpread);
        // Those that come back at the same moment find the targets full.
        let spread = if is_spread { ProcessRandom::default().unit() } else { 0.0 };

        match self {
            NoSlot::NoTargets => NO_TARGETS_WAIT.mul_f64(1.0 + spread),
            NoSlot::Evacuated => EVACUATED_WAIT.mul_f64(1.0 + spread),
            NoSlot::Full | NoSlot::Outranked(_) | NoSlot::RateLimited(_) => {
                let left = match self {
                    NoSlot::RateLimited(left) => left,
                    _ => gateway.expected_slot_wait(service),
                };
                let slot = gateway.scheduled_return(request, left).filter(|_| is_spread);

                slot.unwrap_or_else(|| left + left.max(MIN_RETURN_SPREAD).mul_f64(spread))
            }
            NoSlot::Out(left) => left + PLACEMENT_LAG + RETURN_SPREAD.mul_f64(spread),
            NoSlot::DelayRequested(left)
            | NoSlot::PromptLimited(left)
            | NoSlot::Quarantined(left) => left + RETURN_SPREAD.mul_f64(spread),
        }
    }
}

/// Gets a place: at once where nobody waits, else in the order of those who do.
pub async fn acquire(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    tried: &[TargetId],
) -> Result<Slot, NoSlot> {
    let began = gateway.now();
    gateway.record_demand(&request.service);
    // First tries, repeats and streams that go on elsewhere all pass here: sent on after each crash, one request takes
    // target after target down, and a group of them is out for as long as it comes.
    let found = match gateway.cleared(request).await {
        Ok(()) => match entering::enter(gateway, request, tried) {
            Ok(Acquisition::Acquired(place)) => Ok(place),
            Ok(Acquisition::Queued(entry)) => entry.wait().await,
            Err(reason) => Err(reason),
        },
        Err(reason) => Err(reason),
    };
    let now = gateway.now();
    let counters = &gateway.counters;

    match &found {
        Ok(_) => {
            counters.waits.note(now - began, "placed");
            counters.admitted.add(urgency_word(request.admitted.rule.priority));
        }
        Err(reason) => {
            counters.waits.note(now - began, reason.word());
            counters.refusals.add(reason.word());
            request.trace.add(now, no_slot(gateway, request, *reason, now));
        }
    }

    found
}

fn no_slot(gateway: &Gateway, request: &RoutedRequest, reason: NoSlot, now: Moment) -> Decision {
    let candidates = gateway.bearing(&gateway.candidates(&request.service), now);

    Decision::NoSlot {
        reason,
        load: gateway.chooser.borrow().mean_load(&candidates, now),
        allowed: gateway.allowed_load(&request.service, &candidates, now),
        pause: gateway.mean_pause(&request.service),
        urgency: request.admitted.urgency(),
        targets: candidates.len(),
    }
}

/// Takes a place for a request, where there is one.
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
        Availability::Out(left) if !gateway.take_trial(&request.service) => Err(NoSlot::Out(left)),
        // That no target may be tried just now does not make the outage shorter.
        Availability::Out(left) => {
            select_unless_paced(gateway, request, tried, now).map_err(|reason| match reason {
                NoSlot::Full => NoSlot::Out(left),
                reason => reason,
            })
        }
        Availability::Up => select_unless_paced(gateway, request, tried, now),
    }
}

/// Chooses a target for a request whose prompt may begin now.
fn select_unless_paced(
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

/// Gets the targets that a request may go to, and the load that each of them may have.
fn eligible(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Vec<Arc<TargetEntry>>, f64), NoSlot> {
    let serving = gateway.serving(&request.service).ok_or(NoSlot::NoTargets)?;
    let candidates = gateway.candidates(&request.service);
    let bearing = gateway.bearing(&candidates, now);
    // A stream that goes on elsewhere has given up a place for it.
    let load_limit = match is_resumed_stream(request, tried) {
        true => gateway.settings().load.model,
        false => gateway.allowed_load(&request.service, &bearing, now),
    };
    let mut accepting = accepting(gateway, &candidates, tried, now);

    // Of the others no load is heard, so they serve where none of the own ones can, and not where those are full.
    if accepting.is_empty() && candidates.len() < serving.len() {
        accepting = self::accepting(gateway, &serving, tried, now);
    }

    let chooser = gateway.chooser.borrow();
    accepting.retain(|target| chooser.has_room(&target.id, load_limit, now));

    Ok((accepting, load_limit))
}

/// Gets those of some targets that take requests now, whatever their load.
fn accepting(
    gateway: &Gateway,
    targets: &Arc<[Arc<TargetEntry>]>,
    tried: &[TargetId],
    now: Moment,
) -> Vec<Arc<TargetEntry>> {
    let targets = gateway.without_held_back(&gateway.without_resting(targets, now), now);
    let targets = gateway.permitted(targets, now);
    let chooser = gateway.chooser.borrow();
    let is_closed = |t: &&Arc<TargetEntry>| gateway.is_group_closed(t, now);
    let steady = chooser.without_slow(&targets, now).into_iter().filter(|t| !is_closed(t));
    let accepting = gateway.refusals.borrow().eligible(steady.collect(), tried.is_empty(), now);

    accepting.into_iter().cloned().collect()
}

/// Tells whether a request is a stream that has begun at another target.
pub fn is_resumed_stream(request: &RoutedRequest, tried: &[TargetId]) -> bool {
    !tried.is_empty() && request.last_event_id.get().is_some()
}

/// Tells whether a stream could go on at a target that it was not at yet.
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
    gateway.take_cold(&target, now);
    gateway.note_sent(&target, now);
    gateway.record_prompt(request, now);

    Ok((target, permit))
}
