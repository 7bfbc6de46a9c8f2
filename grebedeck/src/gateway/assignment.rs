//! Assigns slots on targets to the requests that wait in a service's queue.
//!
//! While requests wait for a service, a task looks for free slots: when one may have become free,
//! when the target list, the configuration or a load has changed, when the next prompt may begin,
//! and when a waiting request has to be refused. A slot is acquired before it is assigned, so that
//! no other request gets it in between; if the request has left the queue meanwhile, the slot is
//! released.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_admission::Ticket;
use grebedeck_core::{Moment, ServiceName};

use super::hold;
use super::options::{MIN_SLOT_WAIT, PROBE_INTERVAL, SLOT_POLL_PERIOD};
use super::queues::Obstacle;
use super::service::Gateway;
use super::slot::{self, NoSlot, Slot};

/// Assigns slots for as long as requests wait for a service.
pub async fn serve_queue(gateway: Rc<Gateway>, service: ServiceName) {
    loop {
        // Listening begins before the search, so that no slot that becomes free meanwhile is
        // missed.
        let slot_freed = gateway.slot_freed.listen();
        let Some(pause) = assign_slots(&gateway, &service) else {
            gateway.waiting.with(&service, |state| state.has_task = false);
            return;
        };
        let _ = timeout(pause, slot_freed).await;
    }
}

/// Assigns slots in queue order while there are any; returns the time until the next search, or
/// `None` if no request waits.
pub fn assign_slots(gateway: &Rc<Gateway>, service: &str) -> Option<Duration> {
    loop {
        let now = gateway.now();
        let (request, tried) = gateway.waiting.peek(service, now)?;

        match slot::try_acquire(gateway, &request, &tried, now) {
            Ok(slot) => {
                let next = gateway.waiting.with(service, |state| state.queue.pop(now)).flatten();
                let (waiter, queued) = next?;
                gateway.counters.waiting.decrement(waiter.urgency);
                // If the request has just left, dropping the slot releases it.
                drop(queued.reply.send(Ok(slot)));
            }
            Err(reason) => {
                refuse_due(gateway, service, reason, now);
                let next = gateway.waiting.with(service, |state| state.queue.next_expiry());
                let until_due = next.flatten()?.saturating_sub(now);

                return Some(search_interval(reason).min(until_due).max(MIN_SLOT_WAIT));
            }
        }
    }
}

/// Returns the time until the next search if no notification comes before.
fn search_interval(reason: NoSlot) -> Duration {
    match reason {
        NoSlot::PromptLimited(left) => left.min(PROBE_INTERVAL),
        NoSlot::Out(_)
        | NoSlot::NoTargets
        | NoSlot::Evacuated
        | NoSlot::DelayRequested(_)
        | NoSlot::Quarantined(_) => PROBE_INTERVAL,
        NoSlot::Full | NoSlot::Outranked(_) | NoSlot::RateLimited(_) => SLOT_POLL_PERIOD,
    }
}

/// Records why there is no slot; returns the reason.
pub fn record_obstacle(gateway: &Gateway, service: &str, reason: NoSlot) -> NoSlot {
    let obstacle = Obstacle { reason, is_overdue: gateway.is_outage_overdue(service) };
    gateway.waiting.with(service, |state| state.obstacle = obstacle);

    reason
}

/// Refuses requests for which waiting is no longer useful, and extends the wait of others.
fn refuse_due(gateway: &Rc<Gateway>, service: &str, reason: NoSlot, now: Moment) {
    let previous = gateway.waiting.with(service, |state| state.obstacle);
    record_obstacle(gateway, service, reason);
    let is_overdue = gateway.is_outage_overdue(service);
    let is_same = |o: Obstacle| {
        o.reason.word() == reason.word()
            && o.is_overdue == is_overdue
            && o.reason.is_brief() == reason.is_brief()
    };
    let has_changed = !previous.is_some_and(is_same);
    // The estimated end of an overdue outage keeps moving for all requests.
    let concerns_all = has_changed || (is_overdue && matches!(reason, NoSlot::Out(_)));
    let affected = gateway.waiting.with(service, |state| {
        let tickets =
            if concerns_all { state.queue.tickets() } else { state.queue.expired_tickets(now) };
        let with_expiry = |ticket: &Ticket| {
            let (waiter, queued) = state.queue.get(*ticket)?;
            Some((*ticket, waiter.expires_at, queued.request.clone()))
        };

        tickets.iter().filter_map(with_expiry).collect::<Vec<_>>()
    });

    for (ticket, expires_at, request) in affected.unwrap_or_default() {
        match hold::held_until(gateway, &request, reason, expires_at, now) {
            Some(until) => {
                gateway.waiting.with(service, |state| state.queue.set_expiry(ticket, until));
            }
            None => dequeue_and_reply(gateway, service, ticket, Err(reason), now),
        }
    }
}

/// Removes a request from the queue and sends it its slot, or the reason why there is none.
pub fn dequeue_and_reply(
    gateway: &Gateway,
    service: &str,
    ticket: Ticket,
    reply: Result<Slot, NoSlot>,
    now: Moment,
) {
    let removed = gateway.waiting.with(service, |state| state.queue.remove(ticket, now)).flatten();

    if let Some((waiter, queued)) = removed {
        gateway.counters.waiting.decrement(waiter.urgency);
        // A request that has just left needs no reply.
        drop(queued.reply.send(reply));
    }
}
