//! Those who wait at this gateway for a place on a service's targets.
//!
//! Each service has one queue, whose order is [`grebedeck_admission`]'s. While somebody waits, a task hands places out:
//! when one became free, when the list of targets, the configuration or a load has changed, and when the next prompt
//! may begin. A place is taken before it is handed out, so nobody else gets it on the way; whoever leaves gives it
//! back. Newcomers take a place at once where nobody waits, and stand in line otherwise.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use futures::channel::oneshot;
use grebedeck_admission::{Order, Queue, QueueOptions, Returns, Schedule, Ticket, Urgency, Waiter};
use grebedeck_core::{Moment, ServiceName};
use grebedeck_gateway::{EngineSpec, RouteTable, TargetId};
use serde_json::json;

use super::hold;
use super::options::{LOOK_PAUSE, MIN_WAIT, TRIAL_PAUSE};
use super::place::{self, NoPlace, Place};
use super::request::RoutedRequest;
use super::service::Gateway;
use super::story::Decision;
use crate::random::ProcessRandom;

/// Weight of an organisation: no configuration names another.
const WEIGHT: u64 = 1;

/// One that waits.
struct Seeker {
    request: Rc<RoutedRequest>,
    tried: Vec<TargetId>,
    answer: oneshot::Sender<Result<Place, NoPlace>>,
}

/// What those who wait for a service wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Obstacle {
    reason: NoPlace,
    is_overdue: bool,
}

/// Those who wait for one service.
struct Line {
    queue: Queue<Seeker>,
    returns: Returns,
    /// Whether a task hands places out.
    is_served: bool,
    obstacle: Obstacle,
}

/// Those who wait at a gateway, by service.
#[derive(Default)]
pub struct Waiting {
    lines: RefCell<HashMap<ServiceName, Line>>,
}

/// A request in line; it leaves when this is dropped.
pub struct InLine {
    gateway: Rc<Gateway>,
    service: ServiceName,
    ticket: Ticket,
    answer: oneshot::Receiver<Result<Place, NoPlace>>,
}

impl InLine {
    /// Waits for the place, or for the reason why there is none.
    pub async fn answer(mut self) -> Result<Place, NoPlace> {
        // Who waits is answered before it is dropped; otherwise its service is gone.
        (&mut self.answer).await.unwrap_or(Err(NoPlace::NoTargets))
    }
}

impl Drop for InLine {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let left =
            self.gateway.waiting.with(&self.service, |line| line.queue.remove(self.ticket, now));

        if let Some((waiter, _)) = left.flatten() {
            self.gateway.counters.in_line.left(waiter.urgency);
        }
    }
}

impl Waiting {
    /// Puts a configuration's orders in force.
    pub fn take_table(&self, table: &RouteTable) {
        for (service, line) in self.lines.borrow_mut().iter_mut() {
            line.queue.set_options(options(table, service));
        }
    }

    /// Gets who waits for a service, by urgency, for a dump.
    pub fn dump(&self, service: &str) -> serde_json::Value {
        let waiting = self.with(service, |line| line.queue.waiting()).unwrap_or_default();
        let by_urgency: HashMap<String, usize> =
            waiting.into_iter().map(|(urgency, count)| (urgency.to_string(), count)).collect();

        json!(by_urgency)
    }

    /// Gets when a request that was refused should come back, by the places given lately; none where that is not
    /// known, or its service serves in the order of arrival.
    pub fn return_time(
        &self,
        service: &str,
        urgency: Urgency,
        first: Duration,
        left: Duration,
        now: Moment,
    ) -> Option<Duration> {
        let mut random = ProcessRandom::default();
        let place = |line: &mut Line| {
            let rate = line.queue.rate().filter(|_| line.queue.order() == Order::Urgency)?;
            let schedule = Schedule { first, rate, left };

            Some(line.returns.retry_after(urgency, schedule, now, &mut random))
        };

        self.with(service, place).flatten()
    }

    fn with<T>(&self, service: &str, act: impl FnOnce(&mut Line) -> T) -> Option<T> {
        self.lines.borrow_mut().get_mut(service).map(act)
    }

    fn is_empty(&self, service: &str) -> bool {
        self.with(service, |line| line.queue.is_empty()).unwrap_or(true)
    }

    /// Gets who is next.
    fn next(&self, service: &str, now: Moment) -> Option<(Rc<RoutedRequest>, Vec<TargetId>)> {
        let next = |line: &mut Line| {
            let (_, seeker) = line.queue.peek(now)?;

            Some((seeker.request.clone(), seeker.tried.clone()))
        };

        self.with(service, next).flatten()
    }
}

/// Gets a place at once, gets in line, or learns why there is no use in either.
pub fn enter(
    gateway: &Rc<Gateway>,
    request: &Rc<RoutedRequest>,
    tried: &[TargetId],
) -> Result<Entered, NoPlace> {
    let now = gateway.now();
    let service = &request.service;
    let urgency = request.admitted.priority;
    make_line(gateway, service);
    let is_first = gateway.waiting.is_empty(service);

    let reason = if is_first {
        match place::take(gateway, request, tried, now) {
            Ok(place) => {
                gateway.waiting.with(service, |line| line.queue.note_at_once(urgency, now));
                return Ok(Entered::Placed(place));
            }
            Err(reason) => note_obstacle(gateway, service, reason),
        }
    } else {
        gateway.waiting.with(service, |line| line.obstacle.reason).unwrap_or(NoPlace::Full)
    };

    let start_by = hold::start_by(gateway, request, tried, now);
    let give_up = hold::held_until(gateway, request, reason, start_by, now).ok_or(reason)?;
    let waiter = waiter(gateway, request, tried, start_by, give_up);
    turn_away(gateway, &waiter, service, reason, now)?;
    let line = line_up(gateway, request, tried, waiter, now)?;

    // Who goes before all others may find a place that is of no use to them.
    let is_next = |line: &mut Line| line.queue.peek(now).map(|(ticket, _)| ticket);
    if !is_first && gateway.waiting.with(service, is_next).flatten() == Some(line.ticket) {
        hand_out(gateway, service);
    }

    Ok(Entered::InLine(line))
}

/// What a request has got.
pub enum Entered {
    /// A place.
    Placed(Place),
    /// A place in line.
    InLine(InLine),
}

/// Gives up who can't be in time behind those who go first: the newcomer, or others less urgent than it. All of them are
/// told while a second try is still of use. Only where all places are taken, as the rate of an outage says nothing.
fn turn_away(
    gateway: &Rc<Gateway>,
    waiter: &Waiter,
    service: &str,
    reason: NoPlace,
    now: Moment,
) -> Result<(), NoPlace> {
    let is_ranked = |line: &mut Line| line.queue.order() == Order::Urgency;
    let is_ranked = gateway.waiting.with(service, is_ranked).unwrap_or(false);

    if waiter.goes_on || !is_ranked || reason != NoPlace::Full {
        return Ok(());
    }

    let wait = gateway.waiting.with(service, |line| line.queue.expected_wait(waiter)).flatten();

    if let Some(wait) = wait.filter(|wait| now + *wait > waiter.start_by) {
        gateway.waiting.with(service, |line| line.queue.note_refused(waiter.urgency, now));
        return Err(NoPlace::Behind(wait));
    }

    while let Some((ticket, wait)) =
        gateway.waiting.with(service, |line| line.queue.hopeless(waiter.urgency, now)).flatten()
    {
        answer(gateway, service, ticket, Err(NoPlace::Behind(wait)), now);
    }

    Ok(())
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
        urgency: request.admitted.priority,
        organisation: request.admitted.organisation.clone().unwrap_or_default(),
        weight: WEIGHT,
        tokens,
        start_by,
        give_up,
        goes_on: place::goes_on(request, tried),
    }
}

fn make_line(gateway: &Gateway, service: &str) {
    let mut lines = gateway.waiting.lines.borrow_mut();

    if !lines.contains_key(service) {
        let line = Line {
            queue: Queue::new(options(&gateway.table(), service)),
            returns: Returns::default(),
            is_served: false,
            obstacle: Obstacle { reason: NoPlace::Full, is_overdue: false },
        };
        lines.insert(service.to_string(), line);
    }
}

/// Gets the settings of a service's queue.
fn options(table: &RouteTable, service: &str) -> QueueOptions {
    let engine = table.service(service).and_then(|s| s.engine.as_ref());
    let usual = |engine: &EngineSpec| engine.usual_prompt + engine.usual_answer;
    let order = if table.ranks_requests(service) { Order::Urgency } else { Order::Arrival };

    QueueOptions { order, turn_tokens: engine.map_or(1, usual).max(1), ..QueueOptions::default() }
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

    if let Some(ticket) = gateway.waiting.with(service, |l| l.queue.displaced_by(urgency)).flatten()
    {
        answer(gateway, service, ticket, Err(NoPlace::Full), now);
    }

    let pushed = gateway.waiting.with(service, |line| {
        let ahead = line.queue.ahead_of(&waiter);
        let needs_task = !std::mem::replace(&mut line.is_served, true);

        (line.queue.push(waiter, seeker, now), ahead, needs_task)
    });
    let Some((Ok(ticket), ahead, needs_task)) = pushed else {
        return Err(NoPlace::Full);
    };

    request.story.add(now, Decision::InLine { urgency, ahead });
    gateway.counters.in_line.came(urgency);

    if needs_task {
        let task = serve_line(gateway.clone(), service.clone());
        gateway.tasks.spawn(task).detach();
    }

    Ok(InLine { gateway: gateway.clone(), service: service.clone(), ticket, answer: receiver })
}

/// Hands places out for as long as somebody waits.
async fn serve_line(gateway: Rc<Gateway>, service: ServiceName) {
    loop {
        // Listening begins before the look, so that no place is missed between them.
        let freed = gateway.freed.listen();
        let Some(pause) = hand_out(&gateway, &service) else {
            gateway.waiting.with(&service, |line| line.is_served = false);
            return;
        };
        let _ = timeout(pause, freed).await;
    }
}

/// Gives places to those who are next while there are any; gets the time until the next look, where somebody waits.
fn hand_out(gateway: &Rc<Gateway>, service: &str) -> Option<Duration> {
    loop {
        let now = gateway.now();
        let (request, tried) = gateway.waiting.next(service, now)?;

        match place::take(gateway, &request, &tried, now) {
            Ok(place) => {
                let next = gateway.waiting.with(service, |line| line.queue.pop(now)).flatten();
                let (waiter, seeker) = next?;
                gateway.counters.in_line.left(waiter.urgency);
                // Who has left in this moment gives the place back.
                drop(seeker.answer.send(Ok(place)));
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
fn pause(reason: NoPlace) -> Duration {
    match reason {
        NoPlace::Paced(left) => left.min(TRIAL_PAUSE),
        NoPlace::Out(_) | NoPlace::NoTargets => TRIAL_PAUSE,
        NoPlace::Full | NoPlace::Behind(_) => LOOK_PAUSE,
    }
}

/// Keeps why there is no place; gives it back.
fn note_obstacle(gateway: &Gateway, service: &str, reason: NoPlace) -> NoPlace {
    let obstacle = Obstacle { reason, is_overdue: gateway.is_overdue(service) };
    gateway.waiting.with(service, |line| line.obstacle = obstacle);

    reason
}

/// Gives up those for whom waiting is of no use any more, and holds longer whom that helps.
fn give_up(gateway: &Rc<Gateway>, service: &str, reason: NoPlace, now: Moment) {
    let before = gateway.waiting.with(service, |line| line.obstacle);
    note_obstacle(gateway, service, reason);
    let is_overdue = gateway.is_overdue(service);
    let is_other = before.is_none_or(|o| {
        o.reason.word() != reason.word()
            || o.is_overdue != is_overdue
            || o.reason.is_near() != reason.is_near()
    });
    // How far off the end of an outage is changes for all of them all the time.
    let concerns_all = is_other || (is_overdue && matches!(reason, NoPlace::Out(_)));
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
fn answer(
    gateway: &Gateway,
    service: &str,
    ticket: Ticket,
    answer: Result<Place, NoPlace>,
    now: Moment,
) {
    let removed = gateway.waiting.with(service, |line| line.queue.remove(ticket, now)).flatten();

    if let Some((waiter, seeker)) = removed {
        gateway.counters.in_line.left(waiter.urgency);
        // Who has left in this moment needs no answer.
        drop(seeker.answer.send(answer));
    }
}
