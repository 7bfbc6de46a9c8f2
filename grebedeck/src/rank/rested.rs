//! Engines that want to be left alone.
//!
//! An engine may turn a control call away and ask for rest. Reports are read some fifty times a second, so without this
//! an engine that asks for three seconds of rest would get over a hundred calls in them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use grebedeck_core::{Error, Expert, Result};
use grebedeck_experts::engine::PlacementNo;
use grebedeck_experts::{OrderOutcome, RankAction, RankCounts, RankEngine, RankOrder, RankReport};
use grebedeck_gateway::RetryAfter;
use grebedeck_kernel::log::LineRateLimiter;
use grebedeck_kernel::{Clock, log};

/// Engines whose rest is remembered: more than the ranks of a group.
const MAX_REMEMBERED: usize = 1024;

/// Lines a second on engines that rest: one that asks for none of it may be asked fifty times.
const LINES_PER_S: f64 = 2.0;

/// Rests that engines have asked for, by address.
type Rests = BTreeMap<SocketAddr, RetryAfter>;

/// An engine that is not called in the rest that it asks for.
#[derive(Clone)]
pub struct Rested<E> {
    engine: E,
    address: SocketAddr,
    clock: Clock,
    rests: Rc<RefCell<Rests>>,
    lines: Rc<RefCell<LineRateLimiter>>,
}

impl<E: RankEngine> Rested<E> {
    /// Takes the engine at an address, of which nothing is known yet.
    pub fn new(engine: E, address: SocketAddr) -> Self {
        let lines = Rc::new(RefCell::new(LineRateLimiter::new(LINES_PER_S)));

        Rested { engine, address, clock: Clock::default(), rests: Rc::default(), lines }
    }

    /// Fails where the engine rests.
    fn check(&self) -> Result<()> {
        let now = self.clock.now();
        let left = self.rests.borrow().get(&self.address).map(|rest| rest.remaining(now));

        match left.filter(|left| !left.is_zero()) {
            Some(left) => Err(Error::RetryAfter(left)),
            None => Ok(()),
        }
    }

    fn note(&self, error: Option<&Error>) {
        let Some(Error::RetryAfter(asked)) = error else {
            return;
        };
        let now = self.clock.now();
        let mut rests = self.rests.borrow_mut();

        if rests.len() >= MAX_REMEMBERED {
            rests.retain(|_, rest| rest.is_active(now));
        }

        let rest = rests.entry(self.address).or_default();

        if !rest.is_active(now) && self.lines.borrow_mut().try_acquire(now) {
            let rest_ms = asked.as_millis() as u64;
            log::warn!("engine rests", kv: { address = self.address.to_string(), rest_ms });
        }

        rest.extend(*asked, now);
    }

    async fn call<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        self.check()?;
        let result = call.await;
        self.note(result.as_ref().err());

        result
    }
}

impl<E: RankEngine> RankEngine for Rested<E> {
    fn at(&self, address: SocketAddr) -> Self {
        Rested { engine: self.engine.at(address), address, ..self.clone() }
    }

    async fn report(&self) -> Result<RankReport> {
        self.call(self.engine.report()).await
    }

    async fn counts(&self) -> Result<RankCounts> {
        self.call(self.engine.counts()).await
    }

    async fn part(&self) -> Result<(PlacementNo, Vec<Vec<Expert>>)> {
        self.call(self.engine.part()).await
    }

    async fn order(&self, order: &RankOrder) -> Result<OrderOutcome> {
        // A pass that is not let go keeps the whole group waiting, however long this engine rests.
        if matches!(order.action, RankAction::Release { .. }) {
            return self.engine.order(order).await;
        }

        self.call(self.engine.order(order)).await
    }
}
