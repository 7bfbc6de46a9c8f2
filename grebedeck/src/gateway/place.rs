//! Finding a place for a request on one of its service's targets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_core::{Moment, RandomSource};
use grebedeck_gateway::{Availability, TargetEntry, TargetId};

use super::mechanism::Mechanism;
use super::options::{
    EVACUATED_WAIT, HOLD_LIMIT, HOLD_MARGIN, MAX_HOLD, MIN_RETURN_SPREAD, MIN_WAIT,
    NO_TARGETS_WAIT, PLACEMENT_LAG, RETURN_SPREAD, TRIAL_PAUSE,
};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::story::Decision;
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
    /// The service is out, and expected back after this time.
    Out(Duration),
    /// Too many prompts have begun lately; the next one may after this time.
    Paced(Duration),
}

impl NoPlace {
    /// Gets why a request that is given up after its attempts has no place now.
    pub fn after_attempts(gateway: &Gateway, service: &str) -> Self {
        if gateway.is_evacuated(service) {
            return NoPlace::Evacuated;
        }

        match gateway.availability(service) {
            Availability::Out(left) => NoPlace::Out(left),
            Availability::Up => NoPlace::Full,
        }
    }

    /// Tells whether there is no use in waiting until `give_up`: the service is expected back later than that, and has
    /// been out for longer than outages last. Callers of a group that never forms were held for their whole objective
    /// before they were refused, which cost 0.78 of all worth on a day with such a group, and 0.34 with refusals at once.
    /// Before that a service may be back sooner than expected: with refusals at once in every outage a day with outages
    /// of two seconds lost 0.046, over four seeds. When operators take a hall back nobody knows.
    pub fn is_hopeless(self, is_overdue: bool, give_up: Moment, now: Moment) -> bool {
        match self {
            NoPlace::Out(left) => is_overdue && now + left > give_up,
            NoPlace::Evacuated => true,
            NoPlace::NoTargets | NoPlace::Full | NoPlace::Paced(_) => false,
        }
    }

    /// Gets a short word for logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            NoPlace::NoTargets => "no_targets",
            NoPlace::Evacuated => "evacuated",
            NoPlace::Full => "full",
            NoPlace::Out(_) => "out",
            NoPlace::Paced(_) => "paced",
        }
    }

    /// Gets how long the caller should wait before it asks again.
    pub fn retry_after(self, gateway: &Gateway, service: &str) -> Duration {
        let is_spread = gateway.uses(Mechanism::ReturnSpread);
        // Those that come back at the same moment find the targets full.
        let spread = if is_spread { ProcessRandom::default().unit() } else { 0.0 };

        match self {
            NoPlace::NoTargets => NO_TARGETS_WAIT.mul_f64(1.0 + spread),
            NoPlace::Evacuated => EVACUATED_WAIT.mul_f64(1.0 + spread),
            NoPlace::Full => {
                let left = gateway.time_to_place(service);
                left + left.max(MIN_RETURN_SPREAD).mul_f64(spread)
            }
            NoPlace::Out(left) => left + PLACEMENT_LAG + RETURN_SPREAD.mul_f64(spread),
            NoPlace::Paced(left) => left + RETURN_SPREAD.mul_f64(spread),
        }
    }
}

/// Waits for a place: for a short while where all are taken, as a refusal is of use only while the
/// caller has time left, and for longer where the service is out and expected back soon.
pub async fn find(
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
    tried: &[TargetId],
) -> Result<Arc<TargetEntry>, NoPlace> {
    let patience = gateway.patience(&request.service, request.admitted.rule.objective);
    let began = gateway.now();
    // A stream that has begun would be cut, so it waits for as long as its caller does.
    let patience = if goes_on(request, tried) { MAX_HOLD } else { patience };
    let waits_from = if goes_on(request, tried) { began } else { request.request.arrived };
    let mut give_up = (waits_from + patience).min(request.deadline);

    loop {
        // Listening begins before the look, so that no place is missed between them.
        let freed = gateway.freed.listen();
        let now = gateway.now();

        match look(gateway, request, tried, now) {
            Ok(target) => {
                gateway.counters.waits.note(now - began, "placed");
                return Ok(target);
            }
            Err(reason) => {
                let held_until = hold_until(gateway, reason, request, now);

                if held_until > give_up {
                    // Who has waited for longer than a refusal is of use is served rather late than not.
                    give_up = (request.request.arrived + MAX_HOLD).min(request.deadline);
                }

                let is_overdue = gateway.is_overdue(&request.service);

                if now >= give_up || reason.is_hopeless(is_overdue, give_up, now) {
                    gateway.counters.waits.note(now - began, reason.word());
                    gateway.counters.refusals.add(reason.word());
                    request.story.add(now, no_place(gateway, request, reason, now));
                    return Err(reason);
                }
            }
        }

        let paced = gateway.prompt_wait(&request.service, now);
        let next_look = if paced.is_zero() { TRIAL_PAUSE } else { paced.min(TRIAL_PAUSE) };
        let wait = give_up.saturating_sub(now).min(next_look).max(MIN_WAIT);
        let _ = timeout(wait, freed).await;
    }
}

fn no_place(gateway: &Gateway, request: &RoutedRequest, reason: NoPlace, now: Moment) -> Decision {
    let serving = gateway.serving(&request.service).unwrap_or_default();
    let serving = gateway.without_cold(&serving, now);

    Decision::NoPlace {
        reason,
        load: gateway.chooser.borrow().mean_load(&serving, now),
        allowed: gateway.allowed_load(&request.service, &serving, now),
        pause: gateway.pause(&request.service),
        targets: serving.len(),
    }
}

/// Gets how long a request is held at least, for the reason that there is no place.
fn hold_until(gateway: &Gateway, reason: NoPlace, request: &RoutedRequest, now: Moment) -> Moment {
    // A caller whose stream broke has come back once already, and would lose what it has.
    let limit = if request.request.resumes(&gateway.names) { MAX_HOLD } else { HOLD_LIMIT };

    match reason {
        NoPlace::Out(left) | NoPlace::Paced(left)
            if left <= limit && gateway.uses(Mechanism::Hold) =>
        {
            (now + left + HOLD_MARGIN).min(request.request.arrived + MAX_HOLD).min(request.deadline)
        }
        _ => Moment::ZERO,
    }
}

fn look(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<Arc<TargetEntry>, NoPlace> {
    if gateway.is_evacuated(&request.service) {
        return Err(NoPlace::Evacuated);
    }

    match gateway.availability(&request.service) {
        Availability::Out(left) if !gateway.take_trial(&request.service) => Err(NoPlace::Out(left)),
        Availability::Out(_) | Availability::Up => {
            let wait = gateway.prompt_wait(&request.service, now);

            if !wait.is_zero() && !goes_on(request, tried) {
                return Err(NoPlace::Paced(wait));
            }

            choose(gateway, request, tried, now)
        }
    }
}

/// Gets the targets that a request may go to, and the load that each of them may have.
fn with_room(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<(Vec<Arc<TargetEntry>>, f64), NoPlace> {
    let serving = gateway.serving(&request.service).ok_or(NoPlace::NoTargets)?;
    let bearing = gateway.without_cold(&serving, now);
    // A stream that goes on elsewhere has given up a place for it.
    let per_place = match goes_on(request, tried) {
        true => gateway.settings().load.model,
        false => gateway.allowed_load(&request.service, &bearing, now),
    };
    let serving = gateway.without_held_back(&serving, now);
    let chooser = gateway.chooser.borrow();
    let has_room = |t: &&Arc<TargetEntry>| chooser.has_room(&t.id, per_place, now);
    let is_closed = |t: &&Arc<TargetEntry>| gateway.is_group_closed(t, now);
    let steady = chooser.without_slow(&serving, now).into_iter().filter(|t| !is_closed(t));

    Ok((steady.filter(has_room).cloned().collect(), per_place))
}

/// Tells whether a request is a stream that has begun at another target.
fn goes_on(request: &RoutedRequest, tried: &[TargetId]) -> bool {
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
) -> Result<Arc<TargetEntry>, NoPlace> {
    let (targets, per_place) = with_room(gateway, request, tried, now)?;
    let chooser = gateway.chooser.borrow();
    let chosen = chooser.choose(&targets, tried, now, &mut ProcessRandom::default()).cloned();
    let target = chosen.ok_or(NoPlace::Full)?;
    let view = chooser.load_view(&target.id, now);
    let decision = Decision::Chosen {
        target: target.id.clone(),
        load: view.in_flight,
        places: view.places,
        load_age: view.report_age,
        allowed: per_place,
        last_event_id: request.last_event_id.get(),
    };
    request.story.add(now, decision);
    gateway.take_cold(&target, now);
    gateway.take_prompt(request, now);

    Ok(target)
}
