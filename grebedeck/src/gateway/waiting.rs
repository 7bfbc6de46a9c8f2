//! Those who wait at this gateway for a place on a service's targets.
//!
//! Each service has one queue, whose order is [`grebedeck_admission`]'s. Requests get in line by [`super::entering`],
//! and [`super::handout`] gives places to those who are next.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use grebedeck_admission::{Order, Queue, QueueOptions, Returns, Schedule, Ticket, Urgency};
use grebedeck_core::{Moment, ServiceName};
use grebedeck_gateway::{EngineSpec, RouteTable, TargetId};
use serde_json::json;

use super::place::{NoSlot, Slot};
use super::request::RoutedRequest;
use super::service::Gateway;
use crate::random::ProcessRandom;

/// One that waits.
pub(super) struct QueuedRequest {
    /// Its request.
    pub request: Rc<RoutedRequest>,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
    /// Where its answer goes.
    pub reply: oneshot::Sender<Result<Slot, NoSlot>>,
}

/// What those who wait for a service wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Obstacle {
    /// Why there is no place.
    pub reason: NoSlot,
    /// Whether the service has been out for longer than expected.
    pub is_overdue: bool,
}

/// Those who wait for one service.
pub(super) struct QueueState {
    /// Them, in order.
    pub queue: Queue<QueuedRequest>,
    /// When those who are refused come back.
    pub returns: Returns,
    /// Whether a task hands places out.
    pub has_task: bool,
    /// What they wait for.
    pub obstacle: Obstacle,
}

/// Those who wait at a gateway, by service.
#[derive(Default)]
pub struct WaitQueues {
    lines: RefCell<HashMap<ServiceName, QueueState>>,
}

/// A request in line; it leaves when this is dropped.
pub struct QueueEntry {
    pub(super) gateway: Rc<Gateway>,
    pub(super) service: ServiceName,
    pub(super) ticket: Ticket,
    pub(super) reply: oneshot::Receiver<Result<Slot, NoSlot>>,
}

impl QueueEntry {
    /// Waits for the place, or for the reason why there is none.
    pub async fn wait(mut self) -> Result<Slot, NoSlot> {
        // Who waits is answered before it is dropped; otherwise its service is gone.
        (&mut self.reply).await.unwrap_or(Err(NoSlot::NoTargets))
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let left =
            self.gateway.waiting.with(&self.service, |state| state.queue.remove(self.ticket, now));

        if let Some((waiter, _)) = left.flatten() {
            self.gateway.counters.in_line.left(waiter.urgency);
        }
    }
}

impl WaitQueues {
    /// Puts a configuration's orders in force.
    pub fn apply_table(&self, table: &RouteTable, by_urgency: bool) {
        let mut lines = self.lines.borrow_mut();
        lines.retain(|service, state| {
            !state.queue.is_empty() || state.has_task || table.service(service).is_some()
        });

        for (service, state) in lines.iter_mut() {
            let is_ranked = by_urgency && table.has_urgency_levels(service);
            state.queue.set_options(options(table, is_ranked, service));
        }
    }

    /// Gets how many wait for a service, by the urgency of their routes, for a dump.
    pub fn dump(&self, service: &str) -> serde_json::Value {
        let waiting = self.with(service, |state| state.queue.waiting()).unwrap_or_default();
        let mut by_urgency: BTreeMap<String, usize> = BTreeMap::new();

        for ((_, of_route), count) in waiting {
            *by_urgency.entry(of_route.to_string()).or_default() += count;
        }

        json!(by_urgency)
    }

    /// Gets when a request that was refused should come back, by the places given lately; none where that is not
    /// known, or its service serves in the order of arrival.
    pub fn scheduled_return(
        &self,
        service: &str,
        urgency: Urgency,
        first: Duration,
        left: Duration,
        now: Moment,
    ) -> Option<Duration> {
        let mut random = ProcessRandom::default();
        let place = |state: &mut QueueState| {
            let rate = state.queue.rate().filter(|_| state.queue.order() == Order::Urgency)?;
            let schedule = Schedule { first, rate, left };

            Some(state.returns.retry_after(urgency, schedule, now, &mut random))
        };

        self.with(service, place).flatten()
    }

    /// Does something with a service's line, where there is one.
    pub(super) fn with<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut QueueState) -> T,
    ) -> Option<T> {
        self.lines.borrow_mut().get_mut(service).map(act)
    }

    /// Tells whether nobody waits for a service.
    pub fn is_empty(&self, service: &str) -> bool {
        self.with(service, |state| state.queue.is_empty()).unwrap_or(true)
    }

    /// Gets who is next.
    pub(super) fn peek(
        &self,
        service: &str,
        now: Moment,
    ) -> Option<(Rc<RoutedRequest>, Vec<TargetId>)> {
        let next = |state: &mut QueueState| {
            let (_, seeker) = state.queue.peek(now)?;

            Some((seeker.request.clone(), seeker.tried.clone()))
        };

        self.with(service, next).flatten()
    }

    /// Gets all that wait, with their services and tickets.
    pub(super) fn all(&self) -> Vec<(ServiceName, Ticket, Rc<RoutedRequest>)> {
        let lines = self.lines.borrow();
        let of_queue = |(service, state): (&ServiceName, &QueueState)| {
            let with_request = |ticket: &Ticket| {
                let (_, seeker) = state.queue.get(*ticket)?;
                Some((service.clone(), *ticket, seeker.request.clone()))
            };

            state.queue.tickets().iter().filter_map(with_request).collect::<Vec<_>>()
        };

        lines.iter().flat_map(of_queue).collect()
    }

    /// Makes the line of a service where there is none.
    pub(super) fn ensure_queue(&self, table: &RouteTable, is_ranked: bool, service: &str) {
        let mut lines = self.lines.borrow_mut();

        if !lines.contains_key(service) {
            let state = QueueState {
                queue: Queue::new(options(table, is_ranked, service)),
                returns: Returns::default(),
                has_task: false,
                obstacle: Obstacle { reason: NoSlot::Full, is_overdue: false },
            };
            lines.insert(service.to_string(), state);
        }
    }
}

/// Gets the settings of a service's queue.
fn options(table: &RouteTable, is_ranked: bool, service: &str) -> QueueOptions {
    let engine = table.service(service).and_then(|s| s.engine.as_ref());
    let usual = |engine: &EngineSpec| engine.usual_prompt + engine.usual_answer;
    let order = if is_ranked { Order::Urgency } else { Order::Arrival };

    QueueOptions { order, turn_tokens: engine.map_or(1, usual).max(1), ..QueueOptions::default() }
}
