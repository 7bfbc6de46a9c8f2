//! Queues of the requests that wait at this gateway for a slot.
//!
//! Each service has one queue, ordered by [`grebedeck_admission`]. [`super::enqueue`] adds
//! requests, and [`super::assignment`] assigns slots to the requests at the head.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use grebedeck_admission::{
    ExpectedCapacity, Order, Queue, QueueOptions, RetrySlots, Ticket, Urgency,
};
use grebedeck_core::{Moment, ServiceName};
use grebedeck_gateway::{EngineSpec, RouteTable, TargetId};
use serde_json::json;

use super::request::RoutedRequest;
use super::service::Gateway;
use super::slot::{NoSlot, Slot};
use crate::random::ProcessRandom;

/// A request in a queue.
pub(super) struct QueuedRequest {
    /// The request.
    pub request: Rc<RoutedRequest>,
    /// Targets that it has been sent to.
    pub tried: Vec<TargetId>,
    /// Receives the slot, or the reason why there is none.
    pub reply: oneshot::Sender<Result<Slot, NoSlot>>,
}

/// Why the requests of a service are waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Obstacle {
    /// Why there is no slot.
    pub reason: NoSlot,
    /// Whether the service has been out for longer than expected.
    pub is_overdue: bool,
}

/// Queue state of one service.
pub(super) struct QueueState {
    /// Waiting requests, in order.
    pub queue: Queue<QueuedRequest>,
    /// Times at which refused callers were told to retry.
    pub retry_slots: RetrySlots,
    /// Whether a task is assigning slots.
    pub has_task: bool,
    /// Why the requests are waiting.
    pub obstacle: Obstacle,
}

/// Queues of a gateway, by service.
#[derive(Default)]
pub struct WaitQueues {
    queues: RefCell<HashMap<ServiceName, QueueState>>,
}

/// A queued request; dropping this removes it from the queue.
pub struct QueueEntry {
    pub(super) gateway: Rc<Gateway>,
    pub(super) service: ServiceName,
    pub(super) ticket: Ticket,
    pub(super) reply: oneshot::Receiver<Result<Slot, NoSlot>>,
}

impl QueueEntry {
    /// Waits for the slot, or for the reason why there is none.
    pub async fn wait(mut self) -> Result<Slot, NoSlot> {
        // A request gets its reply before the sender is dropped; a closed channel means that its
        // service is gone.
        (&mut self.reply).await.unwrap_or(Err(NoSlot::NoTargets))
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let removed =
            self.gateway.waiting.with(&self.service, |state| state.queue.remove(self.ticket, now));

        if let Some((waiter, _)) = removed.flatten() {
            self.gateway.counters.waiting.decrement(waiter.urgency);
        }
    }
}

impl WaitQueues {
    /// Applies the queue orders of a configuration.
    pub fn apply_table(&self, table: &RouteTable, is_urgency_order_enabled: bool) {
        let mut queues = self.queues.borrow_mut();
        queues.retain(|service, state| {
            !state.queue.is_empty() || state.has_task || table.service(service).is_some()
        });

        for (service, state) in queues.iter_mut() {
            let uses_urgency_order = is_urgency_order_enabled && table.has_urgency_levels(service);
            state.queue.set_options(options(table, uses_urgency_order, service));
        }
    }

    /// Number of waiting requests of a service, by the urgency of their routes, for a dump.
    pub fn dump(&self, service: &str) -> serde_json::Value {
        let waiting =
            self.with(service, |state| state.queue.waiting_by_urgency()).unwrap_or_default();
        let mut by_urgency: BTreeMap<String, usize> = BTreeMap::new();

        for ((_, of_route), count) in waiting {
            *by_urgency.entry(of_route.to_string()).or_default() += count;
        }

        json!(by_urgency)
    }

    /// Delay after which the caller of a refused request should retry, from the rate at which
    /// slots were assigned lately; `None` if that rate is unknown or the queue is in order of
    /// arrival.
    pub fn scheduled_retry_after(
        &self,
        service: &str,
        urgency: Urgency,
        first_slot_in: Duration,
        left: Duration,
        now: Moment,
    ) -> Option<Duration> {
        let mut random = ProcessRandom::default();
        let delay = |state: &mut QueueState| {
            let rate_per_s =
                state.queue.grants_per_s().filter(|_| state.queue.order() == Order::Urgency)?;
            let expected = ExpectedCapacity { first_slot_in, rate_per_s, time_left: left };

            Some(state.retry_slots.retry_after(urgency, expected, now, &mut random))
        };

        self.with(service, delay).flatten()
    }

    /// Calls `act` with the queue of a service if it has one.
    pub(super) fn with<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut QueueState) -> T,
    ) -> Option<T> {
        self.queues.borrow_mut().get_mut(service).map(act)
    }

    /// Whether no request for a service is waiting.
    pub fn is_empty(&self, service: &str) -> bool {
        self.with(service, |state| state.queue.is_empty()).unwrap_or(true)
    }

    /// Request at the head of a service's queue, and the targets that it has been sent to.
    pub(super) fn peek(
        &self,
        service: &str,
        now: Moment,
    ) -> Option<(Rc<RoutedRequest>, Vec<TargetId>)> {
        let next = |state: &mut QueueState| {
            let (_, queued) = state.queue.peek(now)?;

            Some((queued.request.clone(), queued.tried.clone()))
        };

        self.with(service, next).flatten()
    }

    /// All waiting requests, with their services and tickets.
    pub(super) fn all(&self) -> Vec<(ServiceName, Ticket, Rc<RoutedRequest>)> {
        let queues = self.queues.borrow();
        let of_queue = |(service, state): (&ServiceName, &QueueState)| {
            let with_request = |ticket: &Ticket| {
                let (_, queued) = state.queue.get(*ticket)?;
                Some((service.clone(), *ticket, queued.request.clone()))
            };

            state.queue.tickets().iter().filter_map(with_request).collect::<Vec<_>>()
        };

        queues.iter().flat_map(of_queue).collect()
    }

    /// Creates the queue of a service if it has none.
    pub(super) fn ensure_queue(&self, table: &RouteTable, uses_urgency_order: bool, service: &str) {
        let mut queues = self.queues.borrow_mut();

        if !queues.contains_key(service) {
            let state = QueueState {
                queue: Queue::new(options(table, uses_urgency_order, service)),
                retry_slots: RetrySlots::default(),
                has_task: false,
                obstacle: Obstacle { reason: NoSlot::Full, is_overdue: false },
            };
            queues.insert(service.to_string(), state);
        }
    }
}

/// Settings of a service's queue.
fn options(table: &RouteTable, uses_urgency_order: bool, service: &str) -> QueueOptions {
    let engine = table.service(service).and_then(|s| s.engine.as_ref());
    let usual = |engine: &EngineSpec| engine.usual_prompt + engine.usual_answer;
    let order = if uses_urgency_order { Order::Urgency } else { Order::Arrival };

    QueueOptions { order, turn_tokens: engine.map_or(1, usual).max(1), ..QueueOptions::default() }
}
