//! Rank processes leave engines alone that ask for rest.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use grebedeck::rank::rested::Rested;
use grebedeck_core::{Error, Expert, Result};
use grebedeck_experts::engine::PlacementNo;
use grebedeck_experts::{OrderOutcome, RankAction, RankCounts, RankEngine, RankOrder, RankReport};

const REST: Duration = Duration::from_millis(60);

/// An engine that turns every call away.
#[derive(Clone, Default)]
struct Tired {
    calls: Rc<Cell<u32>>,
}

impl Tired {
    fn refuse<T>(&self) -> Result<T> {
        self.calls.set(self.calls.get() + 1);
        Err(Error::RetryAfter(REST))
    }
}

impl RankEngine for Tired {
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
fn an_engine_that_asks_for_rest_gets_no_calls_but_to_let_a_pass_go() {
    let tired = Tired::default();
    let calls = tired.calls.clone();
    let engine = Rested::new(tired, address(1));
    let order = |action| RankOrder { epoch: 1, action };

    async_std::task::block_on(async {
        for _ in 0..20 {
            assert!(matches!(engine.report().await, Err(Error::RetryAfter(_))));
            assert!(engine.counts().await.is_err() && engine.part().await.is_err());
            assert!(engine.order(&order(RankAction::Hold { pass: 3 })).await.is_err());
            // The same engine by its address.
            assert!(engine.at(address(1)).report().await.is_err());
        }

        assert_eq!(calls.get(), 1);
        let _ = engine.order(&order(RankAction::Release { pass: 3 })).await;
        assert_eq!(calls.get(), 2);
        let _ = engine.at(address(2)).report().await;
        assert_eq!(calls.get(), 3, "another engine");

        async_std::task::sleep(REST * 2).await;
        let _ = engine.report().await;
        assert_eq!(calls.get(), 4);
    });
}
