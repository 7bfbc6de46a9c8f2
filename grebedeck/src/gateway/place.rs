//! Finding a place for a request on one of its service's targets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::{Availability, Permit, TargetEntry, TargetId};

use super::attempt::InFlight;
use super::counters::urgency_label;
use super::entering::{self, Entered};
use super::mechanism::Mechanism;
use super::options::{
    EVACUATED_RETRY_AFTER, HOLD_LIMIT, MIN_RETRY_SPREAD, NO_TARGETS_RETRY_AFTER, PLACEMENT_LAG,
    RETRY_SPREAD,
};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::trace::Decision;
use crate::random::ProcessRandom;

/// Why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlace {
    /// No target of the service is known that takes work.
    NoTargets,
    /// All targets of the service stand in halls that operators evacuate.
    Evacuated,
    /// All targets have as many requests as they should.
    Full,
    /// All targets of the service want rest; the first of them has rested after this time.
    Resting(Duration),
    /// The request crashes targets; it may be tried again after this time.
    Quarantined(Duration),
    /// The service is out, and expected back after this time.
    Out(Duration),
    /// Too many prompts have begun lately; the next one may after this time.
    Paced(Duration),
    /// All places are taken, and those who go first take them for this time.
    Behind(Duration),
    /// All targets have named a limit, and the next request may be sent after this time.
    Limited(Duration),
}

/// A place on a target, taken.
pub struct Place {
    /// The target.
    pub target: Arc<TargetEntry>,
    /// Counts the request there.
    pub in_flight: InFlight,
    /// Leave of a target that has a limit.
    pub permit: Permit,
}

impl NoPlace {
    /// Gets why a request that is given up after its attempts has no place now.
    pub fn after_attempts(gateway: &Gateway, service: &str) -> Self {
        NoPlace::for_all(gateway, service).unwrap_or_else(|| match gateway.availability(service) {
            Availability::Out(left) => NoPlace::Out(left),
            Availability::Up => NoPlace::full_or_limited(gateway, service),
        })
    }

    /// Gets why no request may be sent to any target of a service, where that is so.
    fn for_all(gateway: &Gateway, service: &str) -> Option<Self> {
        if gateway.is_evacuated(service) {
            return Some(NoPlace::Evacuated);
        }

        gateway.min_retry_after(service).map(NoPlace::Resting)
    }

    /// Gets why no target of a service that takes work may get a request.
    fn full_or_limited(gateway: &Gateway, service: &str) -> Self {
        gateway.permit_wait(service, 0).map_or(NoPlace::Full, NoPlace::Limited)
    }

    /// Tells whether there is no use in waiting until `give_up`: the service is expected back later than that, and has
    /// been out for longer than outages last. Callers of a group that never forms were held for their whole objective
    /// before they were refused, which cost 0.78 of all worth on a day with such a group, and 0.34 with refusals at once.
    /// Before that a service may be back sooner than expected: with refusals at once in every outage a day with outages
    /// of two seconds lost 0.046, over four seeds. When operators take a hall back nobody knows.
    pub fn is_hopeless(self, is_overdue: bool, give_up: Moment, now: Moment) -> bool {
        match self {
            NoPlace::Out(left) => is_overdue && now + left > give_up,
            // Targets that want rest say how long it takes, so callers can come back in time if they hear it at once.
            NoPlace::Evacuated | NoPlace::Resting(_) | NoPlace::Quarantined(_) => true,
            // Who would wait for too long does not get in line.
            NoPlace::Limited(_) => false,
            NoPlace::NoTargets | NoPlace::Full | NoPlace::Paced(_) | NoPlace::Behind(_) => false,
        }
    }

    /// Tells whether it is over so soon that requests are held for it.
    pub fn is_near(self) -> bool {
        matches!(self, NoPlace::Out(left) | NoPlace::Paced(left) if left <= HOLD_LIMIT)
    }

    /// Gets a short word for logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            NoPlace::NoTargets => "no_targets",
            NoPlace::Evacuated => "evacuated",
            NoPlace::Resting(_) => "resting",
            NoPlace::Quarantined(_) => "quarantined",
            NoPlace::Full => "full",
            NoPlace::Out(_) => "out",
            NoPlace::Paced(_) => "paced",
            NoPlace::Behind(_) => "behind",
            NoPlace::Limited(_) => "limited",
        }
    }

    /// Gets how long the caller should wait before it asks again.
    pub fn retry_after(self, gateway: &Gateway, request: &RoutedRequest) -> Duration {
        let service = &request.service;
        let is_spread = gateway.uses(Mechanism::ReturnSpread);
        // Those that come back at the same moment find the targets full.
        let spread = if is_spread { ProcessRandom::default().unit() } else { 0.0 };

        match self {
            NoPlace::NoTargets => NO_TARGETS_RETRY_AFTER.mul_f64(1.0 + spread),
            NoPlace::Evacuated => EVACUATED_RETRY_AFTER.mul_f64(1.0 + spread),
            NoPlace::Full | NoPlace::Behind(_) | NoPlace::Limited(_) => {
                let left = match self {
                    NoPlace::Limited(left) => left,
                    _ => gateway.time_to_place(service),
                };
                let slot = gateway.return_slot(request, left).filter(|_| is_spread);

                slot.unwrap_or_else(|| left + left.max(MIN_RETRY_SPREAD).mul_f64(spread))
            }
            NoPlace::Out(left) => left + PLACEMENT_LAG + RETRY_SPREAD.mul_f64(spread),
            NoPlace::Resting(left) | NoPlace::Paced(left) | NoPlace::Quarantined(left) => {
                left + RETRY_SPREAD.mul_f64(spread)
            }
        }
    }
}

/// Gets a place: at once where nobody waits, else in the order of those who do.
pub async fn find(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    tried: &[TargetId],
) -> Result<Place, NoPlace> {
    let began = gateway.now();
    gateway.record_demand(&request.service);
    // First tries, repeats and streams that go on elsewhere all pass here: sent on after each crash, one request takes
    // target after target down, and a group of them is out for as long as it comes.
    let found = match gateway.await_clearance(request).await {
        Ok(()) => match entering::enter(gateway, request, tried) {
            Ok(Entered::Placed(place)) => Ok(place),
            Ok(Entered::InLine(line)) => line.answer().await,
            Err(reason) => Err(reason),
        },
        Err(reason) => Err(reason),
    };
    let now = gateway.now();
    let counters = &gateway.counters;

    match &found {
        Ok(_) => {
            counters.waits.record(now - began, "placed");
            counters.admitted.add(urgency_label(request.admitted.rule.priority));
        }
        Err(reason) => {
            counters.waits.record(now - began, reason.word());
            counters.refusals.add(reason.word());
            request.trace.add(now, no_place(gateway, request, *reason, now));
        }
    }

    found
}

fn no_place(gateway: &Gateway, request: &RoutedRequest, reason: NoPlace, now: Moment) -> Decision {
    let candidates = gateway.at_full_capacity(&gateway.candidates(&request.service), now);

    Decision::NoPlace {
        reason,
        load: gateway.chooser.borrow().mean_load(&candidates, now),
        allowed: gateway.allowed_load(&request.service, &candidates, now),
        pause: gateway.pause(&request.service),
        urgency: request.admitted.urgency(),
        targets: candidates.len(),
    }
}

/// Takes a place for a request, where there is one.
pub fn take(
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<Place, NoPlace> {
    let (target, permit) = look(gateway, request, tried, now)?;

    Ok(Place { in_flight: InFlight::new(gateway, &target), target, permit })
}

fn look(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Arc<TargetEntry>, Permit), NoPlace> {
    if let Some(reason) = NoPlace::for_all(gateway, &request.service) {
        return Err(reason);
    }

    match gateway.availability(&request.service) {
        Availability::Out(left) if !gateway.try_probe_service(&request.service) => {
            Err(NoPlace::Out(left))
        }
        // That no target may be tried just now does not make the outage shorter.
        Availability::Out(left) => {
            begin(gateway, request, tried, now).map_err(|reason| match reason {
                NoPlace::Full => NoPlace::Out(left),
                reason => reason,
            })
        }
        Availability::Up => begin(gateway, request, tried, now),
    }
}

/// Chooses a target for a request whose prompt may begin now.
fn begin(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Arc<TargetEntry>, Permit), NoPlace> {
    let wait = gateway.prompt_wait(&request.service, now);

    if !wait.is_zero() && !goes_on(request, tried) {
        return Err(NoPlace::Paced(wait));
    }

    choose(gateway, request, tried, now)
}

/// Gets the targets that a request may go to, and the load that each of them may have.
fn with_room(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Vec<Arc<TargetEntry>>, f64), NoPlace> {
    let serving = gateway.serving(&request.service).ok_or(NoPlace::NoTargets)?;
    let candidates = gateway.candidates(&request.service);
    let bearing = gateway.at_full_capacity(&candidates, now);
    // A stream that goes on elsewhere has given up a place for it.
    let per_place = match goes_on(request, tried) {
        true => gateway.settings().load.model,
        false => gateway.allowed_load(&request.service, &bearing, now),
    };
    let mut taking = taking(gateway, &candidates, tried, now);

    // Of the others no load is heard, so they serve where none of the own ones can, and not where those are full.
    if taking.is_empty() && candidates.len() < serving.len() {
        taking = self::taking(gateway, &serving, tried, now);
    }

    let chooser = gateway.chooser.borrow();
    taking.retain(|target| chooser.has_room(&target.id, per_place, now));

    Ok((taking, per_place))
}

/// Gets those of some targets that take requests now, whatever their load.
fn taking(
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
    let taking = gateway.refusals.borrow().eligible(steady.collect(), tried.is_empty(), now);

    taking.into_iter().cloned().collect()
}

/// Tells whether a request is a stream that has begun at another target.
pub fn goes_on(request: &RoutedRequest, tried: &[TargetId]) -> bool {
    !tried.is_empty() && request.last_event_id.get().is_some()
}

/// Tells whether a stream could go on at a target that it was not at yet.
pub fn has_place(gateway: &Gateway, request: &RoutedRequest, tried: &[TargetId]) -> bool {
    let found = with_room(gateway, request, tried, gateway.now());

    found.is_ok_and(|(targets, _)| targets.iter().any(|t| !tried.contains(&t.id)))
}

fn choose(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Arc<TargetEntry>, Permit), NoPlace> {
    let (targets, per_place) = with_room(gateway, request, tried, now)?;
    let chooser = gateway.chooser.borrow();
    let chosen = chooser.choose(&targets, tried, now, &mut ProcessRandom::default()).cloned();
    let target = chosen.ok_or_else(|| NoPlace::full_or_limited(gateway, &request.service))?;
    let permit = gateway.acquire_permit(&target, now).ok_or(NoPlace::Full)?;
    let view = chooser.load_view(&target.id, now);
    let decision = Decision::Chosen {
        target: target.id.clone(),
        load: view.in_flight,
        places: view.slots,
        load_age: view.report_age,
        allowed: per_place,
        last_event_id: request.last_event_id.get(),
    };
    request.trace.add(now, decision);
    gateway.record_cold_send(&target, now);
    gateway.record_sent_to(&target, now);
    gateway.take_prompt(request, now);

    Ok((target, permit))
}
