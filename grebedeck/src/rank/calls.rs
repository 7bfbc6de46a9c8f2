//! Calls and datagrams of a rank process: to engines, to the store and to other processes.

use std::net::SocketAddr;

use grebedeck_core::{Error, GroupId, Rank, Result};
use grebedeck_experts::engine::PlacementNo;
use grebedeck_experts::rollout::RankPart;
use grebedeck_experts::{OrderOutcome, RankCounts, RankEngine, RankOrder, RankReport};
use grebedeck_gateway::{Site, SiteStore, TargetListing};
use grebedeck_kernel::log;

use super::driver::Driver;
use super::message::{Body, Datagram};

/// What became of a call.
pub(super) enum Outcome {
    Report(Result<RankReport>),
    Asked(Result<RankReport>),
    Counts(Result<RankCounts>),
    Ordered { rank: Rank, order: RankOrder, end: OrderOutcome },
    Part(Result<(PlacementNo, RankPart)>),
    Listed(Result<TargetListing>),
    Site(Result<Option<Site>>),
}

impl<S: SiteStore, E: RankEngine> Driver<S, E> {
    pub(super) async fn send(&self, to: SocketAddr, body: Body) {
        let datagram = Datagram { from: self.settings.target_address, group: self.group(), body };
        let address = SocketAddr::new(to.ip(), self.settings.group_port);

        let sent = match datagram.to_bytes() {
            Ok(bytes) => self.socket.send_to(&bytes, address).await.map_err(Error::from),
            Err(error) => Err(error),
        };

        // A lost datagram is made good by the next one, but one that never can be sent is a fault.
        match sent {
            Ok(_) => self.counters.datagrams.add("sent"),
            Err(error) => {
                self.counters.datagrams.add("failed");
                log::warn!("datagram not sent", kv: { to = to.to_string(), error = error.to_string() });
            }
        }
    }

    /// Gets the own engine's group, once it is known.
    pub(super) fn group(&self) -> Option<GroupId> {
        self.node.report().map(|report| report.group)
    }

    pub(super) fn order(&self, rank: Rank, order: RankOrder) {
        let Some(engine) = self.engine_of(rank) else {
            return;
        };
        let outcomes = self.outcomes.0.clone();

        self.tasks
            .spawn(async move {
                let end = engine.order(&order).await.unwrap_or(OrderOutcome::Refused);
                let _ = outcomes.send(Outcome::Ordered { rank, order, end }).await;
            })
            .detach();
    }

    pub(super) fn ask(&self, rank: Rank) {
        let Some(engine) = self.engine_of(rank) else {
            return;
        };
        let outcomes = self.outcomes.0.clone();

        self.tasks
            .spawn(async move {
                let report = engine.report().await;
                let _ = outcomes.send(Outcome::Asked(report)).await;
            })
            .detach();
    }

    fn engine_of(&self, rank: Rank) -> Option<E> {
        match self.node.address_of(rank) {
            Some(address) if *address == self.settings.target_address => Some(self.engine.clone()),
            Some(address) => Some(self.engine.at(*address)),
            None => None,
        }
    }

    pub(super) fn call<F: Future<Output = Outcome> + 'static>(&self, call: impl FnOnce(E) -> F) {
        self.spawn(call(self.engine.clone()));
    }

    pub(super) fn ask_store<F: Future<Output = Outcome> + 'static>(
        &self,
        call: impl FnOnce(S) -> F,
    ) {
        self.spawn(call(self.store.clone()));
    }

    fn spawn(&self, call: impl Future<Output = Outcome> + 'static) {
        let outcomes = self.outcomes.0.clone();

        self.tasks
            .spawn(async move {
                let _ = outcomes.send(call.await).await;
            })
            .detach();
    }
}
