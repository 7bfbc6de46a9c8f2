//! Places for those who are next in line.
//!
//! While somebody waits for a service, a task looks for places: when one became free, when the list of targets, the
//! configuration or a load has changed, when the next prompt may begin, and when somebody is to be given up. A place is
//! taken before it is handed out, so nobody else gets it on the way; whoever has left gives it back.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_admission::Ticket;
use grebedeck_core::{Moment, ServiceName};

use super::hold;
use super::options::{LOOK_PAUSE, MIN_WAIT, TRIAL_PAUSE};
use super::service::Gateway;
use super::slot::{self, NoSlot, Slot};
use super::wait_queues::Obstacle;

/// Hands places out for as long as somebody waits.
pub async fn serve_line(gateway: Rc<Gateway>, service: ServiceName) {
    loop {
        // Listening begins before the look, so that no place is missed between them.
        let freed = gateway.freed.listen();
        let Some(pause) = hand_out(&gateway, &service) else {
            gateway.waiting.with(&service, |line| line.has_task = false);
            return;
        };
        let _ = timeout(pause, freed).await;
    }
}

/// Gives places to those who are next while there are any; gets the time until the next look, where somebody waits.
pub fn hand_out(gateway: &Rc<Gateway>, service: &str) -> Option<Duration> {
    loop {
        let now = gateway.now();
        let (request, tried) = gateway.waiting.peek(service, now)?;

        match slot::try_acquire(gateway, &request, &tried, now) {
            Ok(place) => {
                let next = gateway.waiting.with(service, |line| line.queue.pop(now)).flatten();
                let (waiter, seeker) = next?;
                gateway.counters.in_line.left(waiter.urgency);
                // Who has left in this moment gives the place back.
                drop(seeker.reply.send(Ok(place)));
            }
            Err(reason) => {
                give_up(gateway, service, reason, now);
                let next = gateway.waiting.with(service, |line| line.queue.next_give_up());
                let left = next.flatten()?.saturating_sub(now);

                return Some(pause(reason).min(left).max(MIN_WAIT));
            }
        }
    }
}

/// Gets the time until the next look where nothing is told before.
fn pause(reason: NoSlot) -> Duration {
    match reason {
        NoSlot::PromptLimited(left) => left.min(TRIAL_PAUSE),
        NoSlot::Out(_)
        | NoSlot::NoTargets
        | NoSlot::Evacuated
        | NoSlot::DelayRequested(_)
        | NoSlot::Quarantined(_) => TRIAL_PAUSE,
        NoSlot::Full | NoSlot::Outranked(_) | NoSlot::RateLimited(_) => LOOK_PAUSE,
    }
}

/// Keeps why there is no place; gives it back.
pub fn note_obstacle(gateway: &Gateway, service: &str, reason: NoSlot) -> NoSlot {
    let obstacle = Obstacle { reason, is_overdue: gateway.is_overdue(service) };
    gateway.waiting.with(service, |line| line.obstacle = obstacle);

    reason
}

/// Gives up those for whom waiting is of no use any more, and holds longer whom that helps.
fn give_up(gateway: &Rc<Gateway>, service: &str, reason: NoSlot, now: Moment) {
    let before = gateway.waiting.with(service, |line| line.obstacle);
    note_obstacle(gateway, service, reason);
    let is_overdue = gateway.is_overdue(service);
    let is_same = |o: Obstacle| {
        o.reason.word() == reason.word()
            && o.is_overdue == is_overdue
            && o.reason.is_brief() == reason.is_brief()
    };
    let is_other = !before.is_some_and(is_same);
    // How far off the end of an outage is changes for all of them all the time.
    let concerns_all = is_other || (is_overdue && matches!(reason, NoSlot::Out(_)));
    let asked = gateway.waiting.with(service, |line| {
        let tickets = if concerns_all { line.queue.tickets() } else { line.queue.due(now) };
        let request = |ticket: &Ticket| {
            let (waiter, seeker) = line.queue.get(*ticket)?;
            Some((*ticket, waiter.give_up, seeker.request.clone()))
        };

        tickets.iter().filter_map(request).collect::<Vec<_>>()
    });

    for (ticket, give_up, request) in asked.unwrap_or_default() {
        match hold::held_until(gateway, &request, reason, give_up, now) {
            Some(until) => {
                gateway.waiting.with(service, |line| line.queue.set_give_up(ticket, until));
            }
            None => answer(gateway, service, ticket, Err(reason), now),
        }
    }
}

/// Takes one out of the line and answers it.
pub fn answer(
    gateway: &Gateway,
    service: &str,
    ticket: Ticket,
    answer: Result<Slot, NoSlot>,
    now: Moment,
) {
    let removed = gateway.waiting.with(service, |line| line.queue.remove(ticket, now)).flatten();

    if let Some((waiter, seeker)) = removed {
        gateway.counters.in_line.left(waiter.urgency);
        // Who has left in this moment needs no answer.
        drop(seeker.reply.send(answer));
    }
}
