//! Admission of a request to its service's queue.
//!
//! A request acquires a slot at once if nobody is queued, and is queued otherwise: a request of the
//! same urgency that came earlier, or a more urgent one, is not overtaken. A request that cannot be
//! in time because of this order is refused at once.

use std::rc::Rc;

use futures::channel::oneshot;
use grebedeck_admission::{Order, Waiter};
use grebedeck_core::Moment;
use grebedeck_gateway::TargetId;

use super::assignment;
use super::hold;
use super::queues::{QueueEntry, QueueState, QueuedRequest};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::slot::{self, NoSlot, Slot};
use super::trace::Decision;

/// Weight of each organisation; the configuration sets none.
const WEIGHT: u64 = 1;

/// What a request gets on arrival.
pub enum Acquisition {
    /// A slot.
    Acquired(Slot),
    /// The request's entry in the queue.
    Queued(QueueEntry),
}

/// Acquires a slot at once or queues the request; fails with the reason if waiting is pointless.
pub fn acquire_or_enqueue(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    tried: &[TargetId],
) -> Result<Acquisition, NoSlot> {
    let now = gateway.now();
    let service = &request.service;
    let urgency = request.admitted.urgency();
    gateway.waiting.ensure_queue(&gateway.table(), gateway.uses_urgency_order(service), service);
    let is_queue_empty = gateway.waiting.is_empty(service);

    let reason = if is_queue_empty {
        match slot::try_acquire(gateway, request, tried, now) {
            Ok(slot) => {
                gateway.waiting.with(service, |state| state.queue.record_immediate(urgency, now));
                return Ok(Acquisition::Acquired(slot));
            }
            Err(reason) => assignment::record_obstacle(gateway, service, reason),
        }
    } else {
        gateway.waiting.with(service, |state| state.obstacle.reason).unwrap_or(NoSlot::Full)
    };

    let start_by = hold::start_by(gateway, request, tried, now);
    let expires_at = hold::initial_expiry(gateway, request, start_by);
    let expires_at = hold::held_until(gateway, request, reason, expires_at, now).ok_or(reason)?;
    let waiter = waiter(gateway, request, tried, start_by, expires_at);

    if hold::can_meet_objective(gateway, request) {
        refuse_late(gateway, &waiter, service, reason, now)?;
    }

    let entry = enqueue(gateway, request, tried, waiter, now)?;

    // A free slot that the requests queued before could not use may suit the new head of the
    // queue.
    let head = |state: &mut QueueState| state.queue.peek(now).map(|(ticket, _)| ticket);
    if !is_queue_empty && gateway.waiting.with(service, head).flatten() == Some(entry.ticket) {
        assignment::assign_slots(gateway, service);
    }

    Ok(Acquisition::Queued(entry))
}

/// Refuses requests that cannot be in time behind those ahead of them: the new request, or less
/// urgent queued ones. Their callers are told while a retry can still be in time. Applies only if
/// all slots are taken or all targets are rate-limited, as the rate during an outage says nothing
/// about the wait.
fn refuse_late(
    gateway: &Rc<Gateway>,
    waiter: &Waiter,
    service: &str,
    reason: NoSlot,
    now: Moment,
) -> Result<(), NoSlot> {
    let expected = match reason {
        NoSlot::Full if uses_urgency_order(gateway, service) => {
            let wait = |state: &mut QueueState| state.queue.expected_wait(waiter);

            gateway
                .waiting
                .with(service, wait)
                .flatten()
                .map(|wait| (wait, NoSlot::Outranked(wait)))
        }
        NoSlot::RateLimited(_) => {
            let ahead = gateway.waiting.with(service, |state| state.queue.ahead_of(waiter));
            let wait = gateway.permit_wait(service, ahead.unwrap_or_default());

            wait.map(|wait| (wait, NoSlot::RateLimited(wait)))
        }
        _ => return Ok(()),
    };

    if waiter.is_resumed {
        return Ok(());
    }

    if let Some((_, reason)) = expected.filter(|(wait, _)| now + *wait > waiter.start_by) {
        gateway.waiting.with(service, |state| state.queue.record_refused(waiter.urgency, now));
        return Err(reason);
    }

    while let Some((ticket, wait)) = gateway
        .waiting
        .with(service, |state| state.queue.newest_too_late(waiter.urgency, now))
        .flatten()
    {
        assignment::dequeue_and_reply(gateway, service, ticket, Err(NoSlot::Outranked(wait)), now);
    }

    Ok(())
}

fn uses_urgency_order(gateway: &Gateway, service: &str) -> bool {
    let is_by_urgency = |state: &mut QueueState| state.queue.order() == Order::Urgency;

    gateway.waiting.with(service, is_by_urgency).unwrap_or(false)
}

fn waiter(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    start_by: Moment,
    expires_at: Moment,
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
        expires_at,
        is_resumed: slot::is_resumed_stream(request, tried),
    }
}

fn enqueue(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    tried: &[TargetId],
    waiter: Waiter,
    now: Moment,
) -> Result<QueueEntry, NoSlot> {
    let service = &request.service;
    let urgency = waiter.urgency;
    let (sender, receiver) = oneshot::channel();
    let queued = QueuedRequest { request: request.clone(), tried: tried.to_vec(), reply: sender };

    if let Some(ticket) =
        gateway.waiting.with(service, |state| state.queue.eviction_candidate(urgency)).flatten()
    {
        assignment::dequeue_and_reply(gateway, service, ticket, Err(NoSlot::Full), now);
    }

    let pushed = gateway.waiting.with(service, |state| {
        let ahead = state.queue.ahead_of(&waiter);
        let needs_task = !std::mem::replace(&mut state.has_task, true);

        (state.queue.push(waiter, queued, now), ahead, needs_task)
    });
    let Some((Ok(ticket), ahead, needs_task)) = pushed else {
        return Err(NoSlot::Full);
    };

    request.trace.add(now, Decision::Queued { urgency, ahead });
    gateway.counters.waiting.increment(urgency);

    if needs_task {
        let task = assignment::serve_queue(gateway.clone(), service.clone());
        gateway.tasks.spawn(task).detach();
    }

    Ok(QueueEntry { gateway: gateway.clone(), service: service.clone(), ticket, reply: receiver })
}
