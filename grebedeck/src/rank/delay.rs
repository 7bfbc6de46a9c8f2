//! Honours the delays that engines request.
//!
//! An engine may refuse a control call and request a delay before the next one. Reports are read
//! about fifty times a second, so without this wrapper an engine that requests three seconds would
//! receive over a hundred calls in that time.

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

/// Number of remembered delays at which expired ones are removed: more than a group has ranks.
const EVICTION_THRESHOLD: usize = 1024;

/// Maximum rate of log lines: an engine that requests very short delays may do so fifty times a
/// second.
const LINES_PER_S: f64 = 2.0;

/// Requested delays, by address of the engine.
type Delays = BTreeMap<SocketAddr, RetryAfter>;

/// Engine client that does not call an engine while a delay that it requested is active.
#[derive(Clone)]
pub struct RetryAfterEngine<E> {
    engine: E,
    address: SocketAddr,
    clock: Clock,
    delays: Rc<RefCell<Delays>>,
    lines: Rc<RefCell<LineRateLimiter>>,
}

impl<E: RankEngine> RetryAfterEngine<E> {
    /// Wraps the client of the engine at an address.
    pub fn new(engine: E, address: SocketAddr) -> Self {
        let lines = Rc::new(RefCell::new(LineRateLimiter::new(LINES_PER_S)));

        RetryAfterEngine { engine, address, clock: Clock::default(), delays: Rc::default(), lines }
    }

    /// Returns [`Error::RetryAfter`] if a requested delay is active.
    fn check(&self) -> Result<()> {
        let now = self.clock.now();
        let remaining = self.delays.borrow().get(&self.address).map(|delay| delay.remaining(now));

        match remaining.filter(|remaining| !remaining.is_zero()) {
            Some(remaining) => Err(Error::RetryAfter(remaining)),
            None => Ok(()),
        }
    }

    fn record_delay(&self, error: Option<&Error>) {
        let Some(Error::RetryAfter(requested)) = error else {
            return;
        };
        let now = self.clock.now();
        let mut delays = self.delays.borrow_mut();

        if delays.len() >= EVICTION_THRESHOLD {
            delays.retain(|_, delay| delay.is_active(now));
        }

        let delay = delays.entry(self.address).or_default();

        if !delay.is_active(now) && self.lines.borrow_mut().try_acquire(now) {
            let rest_ms = requested.as_millis() as u64;
            log::warn!("engine requested a delay", kv: {
                address = self.address.to_string(), rest_ms,
            });
        }

        delay.extend(*requested, now);
    }

    async fn call<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        self.check()?;
        let result = call.await;
        self.record_delay(result.as_ref().err());

        result
    }
}

impl<E: RankEngine> RankEngine for RetryAfterEngine<E> {
    fn at(&self, address: SocketAddr) -> Self {
        RetryAfterEngine { engine: self.engine.at(address), address, ..self.clone() }
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
        // A pass that is not released stalls the whole group, so this order ignores the delay.
        if matches!(order.action, RankAction::Release { .. }) {
            return self.engine.order(order).await;
        }

        self.call(self.engine.order(order)).await
    }
}
