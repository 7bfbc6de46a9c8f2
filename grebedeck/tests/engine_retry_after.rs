//! Rank processes honour the delays that engines request.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use grebedeck::rank::delay::RetryAfterEngine;
use grebedeck_core::{Error, Expert, Result};
use grebedeck_experts::engine::PlacementNo;
use grebedeck_experts::{OrderOutcome, RankAction, RankCounts, RankEngine, RankOrder, RankReport};

const DELAY: Duration = Duration::from_millis(60);

/// Engine that refuses every call and requests a delay.
#[derive(Clone, Default)]
struct RefusingEngine {
    calls: Rc<Cell<u32>>,
}

impl RefusingEngine {
    fn refuse<T>(&self) -> Result<T> {
        self.calls.set(self.calls.get() + 1);
        Err(Error::RetryAfter(DELAY))
    }
}

impl RankEngine for RefusingEngine {
    fn at(&self, _: SocketAddr) -> Self {
        self.clone()
    }

    async fn report(&self) -> Result<RankReport> {
        self.refuse()
    }

    async fn counts(&self) -> Result<RankCounts> {
        self.refuse()
    }

    async fn part(&self) -> Result<(PlacementNo, Vec<Vec<Expert>>)> {
        self.refuse()
    }

    async fn order(&self, _: &RankOrder) -> Result<OrderOutcome> {
        self.refuse()
    }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn an_engine_that_requested_a_delay_receives_no_calls_except_to_release_a_pass() {
    let refusing = RefusingEngine::default();
    let calls = refusing.calls.clone();
    let engine = RetryAfterEngine::new(refusing, address(1));
    let order = |action| RankOrder { epoch: 1, action };

    async_std::task::block_on(async {
        for _ in 0..20 {
            assert!(matches!(engine.report().await, Err(Error::RetryAfter(_))));
            assert!(engine.counts().await.is_err() && engine.part().await.is_err());
            assert!(engine.order(&order(RankAction::Hold { pass: 3 })).await.is_err());
            // The same engine, selected by its address.
            assert!(engine.at(address(1)).report().await.is_err());
        }

        assert_eq!(calls.get(), 1);
        let _ = engine.order(&order(RankAction::Release { pass: 3 })).await;
        assert_eq!(calls.get(), 2);
        let _ = engine.at(address(2)).report().await;
        assert_eq!(calls.get(), 3, "another engine");

        async_std::task::sleep(DELAY * 2).await;
        let _ = engine.report().await;
        assert_eq!(calls.get(), 4);
    });
}
