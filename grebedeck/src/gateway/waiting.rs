//! Those who wait at this gateway for a place on a service's targets.
//!
//! Each service has one queue, whose order is [`grebedeck_admission`]'s. Requests get in line by [`super::entering`],
//! and [`super::assignment`] gives places to those who are next.

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

use super::place::{NoPlace, Place};
use super::request::RoutedRequest;
use super::service::Gateway;
use crate::random::ProcessRandom;

/// One that waits.
pub(super) struct Seeker {
    /// Its request.
    pub request: Rc<RoutedRequest>,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
    /// Where its answer goes.
    pub answer: oneshot::Sender<Result<Place, NoPlace>>,
}

/// What those who wait for a service wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Obstacle {
    /// Why there is no place.
    pub reason: NoPlace,
    /// Whether the service has been out for longer than expected.
    pub is_overdue: bool,
}

/// Those who wait for one service.
pub(super) struct Line {
    /// Them, in order.
    pub queue: Queue<Seeker>,
    /// When those who are refused come back.
    pub retry_slots: RetrySlots,
    /// Whether a task hands places out.
    pub is_served: bool,
    /// What they wait for.
    pub obstacle: Obstacle,
}

/// Those who wait at a gateway, by service.
#[derive(Default)]
pub struct Waiting {
    lines: RefCell<HashMap<ServiceName, Line>>,
}

/// A request in line; it leaves when this is dropped.
pub struct InLine {
    pub(super) gateway: Rc<Gateway>,
    pub(super) service: ServiceName,
    pub(super) ticket: Ticket,
    pub(super) answer: oneshot::Receiver<Result<Place, NoPlace>>,
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
            self.gateway.counters.waiting.decrement(waiter.urgency);
        }
    }
}

impl Waiting {
    /// Puts a configuration's orders in force.
    pub fn take_table(&self, table: &RouteTable, by_urgency: bool) {
        let mut lines = self.lines.borrow_mut();
        lines.retain(|service, line| {
            !line.queue.is_empty() || line.is_served || table.service(service).is_some()
        });

        for (service, line) in lines.iter_mut() {
            let is_ranked = by_urgency && table.has_urgency_levels(service);
            line.queue.set_options(options(table, is_ranked, service));
        }
    }

    /// Gets how many wait for a service, by the urgency of their routes, for a dump.
    pub fn dump(&self, service: &str) -> serde_json::Value {
        let waiting =
            self.with(service, |line| line.queue.waiting_by_urgency()).unwrap_or_default();
        let mut by_urgency: BTreeMap<String, usize> = BTreeMap::new();

        for ((_, of_route), count) in waiting {
            *by_urgency.entry(of_route.to_string()).or_default() += count;
        }

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
            let rate_per_s =
                line.queue.grants_per_s().filter(|_| line.queue.order() == Order::Urgency)?;
            let expected = ExpectedCapacity { first_place_in: first, rate_per_s, time_left: left };

            Some(line.retry_slots.retry_after(urgency, expected, now, &mut random))
        };

        self.with(service, place).flatten()
    }

    /// Does something with a service's line, where there is one.
    pub(super) fn with<T>(&self, service: &str, act: impl FnOnce(&mut Line) -> T) -> Option<T> {
        self.lines.borrow_mut().get_mut(service).map(act)
    }

    /// Tells whether nobody waits for a service.
    pub fn is_empty(&self, service: &str) -> bool {
        self.with(service, |line| line.queue.is_empty()).unwrap_or(true)
    }

    /// Gets who is next.
    pub(super) fn next(
        &self,
        service: &str,
        now: Moment,
    ) -> Option<(Rc<RoutedRequest>, Vec<TargetId>)> {
        let next = |line: &mut Line| {
            let (_, seeker) = line.queue.peek(now)?;

            Some((seeker.request.clone(), seeker.tried.clone()))
        };

        self.with(service, next).flatten()
    }

    /// Gets all that wait, with their services and tickets.
    pub(super) fn all(&self) -> Vec<(ServiceName, Ticket, Rc<RoutedRequest>)> {
        let lines = self.lines.borrow();
        let of_line = |(service, line): (&ServiceName, &Line)| {
            let with_request = |ticket: &Ticket| {
                let (_, seeker) = line.queue.get(*ticket)?;
                Some((service.clone(), *ticket, seeker.request.clone()))
            };

            line.queue.tickets().iter().filter_map(with_request).collect::<Vec<_>>()
        };

        lines.iter().flat_map(of_line).collect()
    }

    /// Makes the line of a service where there is none.
    pub(super) fn make_line(&self, table: &RouteTable, is_ranked: bool, service: &str) {
        let mut lines = self.lines.borrow_mut();

        if !lines.contains_key(service) {
            let line = Line {
                queue: Queue::new(options(table, is_ranked, service)),
                retry_slots: RetrySlots::default(),
                is_served: false,
                obstacle: Obstacle { reason: NoPlace::Full, is_overdue: false },
            };
            lines.insert(service.to_string(), line);
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
