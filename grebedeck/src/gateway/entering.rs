//! How a request gets a place, or in line for one.
//!
//! It takes a place at once where nobody waits, and stands in line otherwise: whoever came before it with the same
//! urgency, or is more urgent, is not overtaken. Where the order means that it can't be in time, it is told at once.

use std::rc::Rc;

use futures::channel::oneshot;
use grebedeck_admission::{Order, Waiter};
use grebedeck_core::Moment;
use grebedeck_gateway::TargetId;

use super::assignment;
use super::hold;
use super::place::{self, NoPlace, Place};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::trace::Decision;
use super::waiting::{InLine, Line, Seeker};

/// Weight of an organisation: no configuration names another.
const WEIGHT: u64 = 1;

/// What a request has got.
pub enum Entered {
    /// A place.
    Placed(Place),
    /// A place in line.
    InLine(InLine),
}

/// Gets a place at once, gets in line, or learns why there is no use in either.
pub fn enter(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    tried: &[TargetId],
) -> Result<Entered, NoPlace> {
    let now = gateway.now();
    let service = &request.service;
    let urgency = request.admitted.urgency();
    gateway.waiting.make_line(&gateway.table(), gateway.uses_urgency_order(service), service);
    let is_first = gateway.waiting.is_empty(service);

    let reason = if is_first {
        match place::take(gateway, request, tried, now) {
            Ok(place) => {
                gateway.waiting.with(service, |line| line.queue.record_immediate(urgency, now));
                return Ok(Entered::Placed(place));
            }
            Err(reason) => assignment::record_obstacle(gateway, service, reason),
        }
    } else {
        gateway.waiting.with(service, |line| line.obstacle.reason).unwrap_or(NoPlace::Full)
    };

    let start_by = hold::start_by(gateway, request, tried, now);
    let give_up = hold::give_up_at(gateway, request, start_by);
    let give_up = hold::held_until(gateway, request, reason, give_up, now).ok_or(reason)?;
    let waiter = waiter(gateway, request, tried, start_by, give_up);

    if hold::can_be_in_time(gateway, request) {
        turn_away(gateway, &waiter, service, reason, now)?;
    }

    let line = line_up(gateway, request, tried, waiter, now)?;

    // Who goes before all others may find a place that is of no use to them.
    let is_next = |line: &mut Line| line.queue.peek(now).map(|(ticket, _)| ticket);
    if !is_first && gateway.waiting.with(service, is_next).flatten() == Some(line.ticket) {
        assignment::assign_places(gateway, service);
    }

    Ok(Entered::InLine(line))
}

/// Gives up who can't be in time behind those who go first: the newcomer, or others less urgent than it. All of them are
/// told while a second try is still of use. Only where all places are taken or all targets have a limit, as the rate of an
/// outage says nothing.
fn turn_away(
    gateway: &Rc<Gateway>,
    waiter: &Waiter,
    service: &str,
    reason: NoPlace,
    now: Moment,
) -> Result<(), NoPlace> {
    let expected = match reason {
        NoPlace::Full if is_ranked(gateway, service) => {
            let wait = |line: &mut Line| line.queue.expected_wait(waiter);

            gateway.waiting.with(service, wait).flatten().map(|wait| (wait, NoPlace::Behind(wait)))
        }
        NoPlace::Limited(_) => {
            let ahead = gateway.waiting.with(service, |line| line.queue.ahead_of(waiter));
            let wait = gateway.permit_wait(service, ahead.unwrap_or_default());

            wait.map(|wait| (wait, NoPlace::Limited(wait)))
        }
        _ => return Ok(()),
    };

    if waiter.is_resumed {
        return Ok(());
    }

    if let Some((_, reason)) = expected.filter(|(wait, _)| now + *wait > waiter.start_by) {
        gateway.waiting.with(service, |line| line.queue.record_refused(waiter.urgency, now));
        return Err(reason);
    }

    while let Some((ticket, wait)) = gateway
        .waiting
        .with(service, |line| line.queue.newest_too_late(waiter.urgency, now))
        .flatten()
    {
        assignment::answer_waiter(gateway, service, ticket, Err(NoPlace::Behind(wait)), now);
    }

    Ok(())
}

fn is_ranked(gateway: &Gateway, service: &str) -> bool {
    let is_ranked = |line: &mut Line| line.queue.order() == Order::Urgency;

    gateway.waiting.with(service, is_ranked).unwrap_or(false)
}

fn waiter(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    start_by: Moment,
    give_up: Moment,
) -> Waiter {
    let table = gateway.table();
    let engine = table.service(&request.service).and_then(|s| s.engine.as_ref());
    let tokens = engine.map_or(1, |engine| {
        let prompt = request.request.prompt_tokens(&gateway.names);
        prompt.unwrap_or(engine.usual_prompt).saturating_add(engine.usual_answer)
    });

    Waiter {
        urgency: request.admitted.urgency(),
        organisation: request.admitted.organisation.clone().unwrap_or_default(),
        weight: WEIGHT,
        tokens,
        start_by,
        expires_at: give_up,
        is_resumed: place::goes_on(request, tried),
    }
}

fn line_up(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    tried: &[TargetId],
    waiter: Waiter,
    now: Moment,
) -> Result<InLine, NoPlace> {
    let service = &request.service;
    let urgency = waiter.urgency;
    let (sender, receiver) = oneshot::channel();
    let seeker = Seeker { request: request.clone(), tried: tried.to_vec(), answer: sender };

    if let Some(ticket) =
        gateway.waiting.with(service, |l| l.queue.eviction_candidate(urgency)).flatten()
    {
        assignment::answer_waiter(gateway, service, ticket, Err(NoPlace::Full), now);
    }

    let pushed = gateway.waiting.with(service, |line| {
        let ahead = line.queue.ahead_of(&waiter);
        let needs_task = !std::mem::replace(&mut line.is_served, true);

        (line.queue.push(waiter, seeker, now), ahead, needs_task)
    });
    let Some((Ok(ticket), ahead, needs_task)) = pushed else {
        return Err(NoPlace::Full);
    };

    request.trace.add(now, Decision::InLine { urgency, ahead });
    gateway.counters.waiting.increment(urgency);

    if needs_task {
        let task = assignment::serve_queue(gateway.clone(), service.clone());
        gateway.tasks.spawn(task).detach();
    }

    Ok(InLine { gateway: gateway.clone(), service: service.clone(), ticket, answer: receiver })
}
