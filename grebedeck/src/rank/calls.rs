//! I/O of a rank process: calls to engines and to the store, and datagrams to other processes.

use std::net::SocketAddr;
use std::sync::Arc;

use grebedeck_core::{Error, GroupId, Rank, Result};
use grebedeck_experts::engine::PlacementNo;
use grebedeck_experts::rollout::RankPart;
use grebedeck_experts::{OrderOutcome, RankCounts, RankEngine, RankOrder, RankReport};
use grebedeck_gateway::{Site, SiteStore, TargetListing};
use grebedeck_kernel::log;

use super::driver::Driver;
use super::message::{Body, Datagram};

/// Result of a call, handled by the driver's loop.
pub(super) enum CallResult {
    /// Report of the own engine.
    Report(Result<RankReport>),
    /// Report that the rollout requested, of any rank's engine.
    RequestedReport(Result<RankReport>),
    Counts(Result<RankCounts>),
    OrderDone {
        rank: Rank,
        order: RankOrder,
        outcome: OrderOutcome,
    },
    Part(Rank, Result<(PlacementNo, RankPart)>),
    Targets(Result<TargetListing>),
    Site(Result<Option<Arc<Site>>>),
}

impl<S: SiteStore, E: RankEngine> Driver<S, E> {
    pub(super) async fn send(&self, to: SocketAddr, body: Body) {
        let datagram = Datagram { from: self.settings.target_address, group: self.group(), body };
        let address = SocketAddr::new(to.ip(), self.settings.group_port);

        let sent = match datagram.to_bytes() {
            Ok(bytes) => self.socket.send_to(&bytes, address).await.map_err(Error::from),
            Err(error) => Err(error),
        };

        // The next datagram makes up for a lost one, but one that can never be sent is a fault.
        match sent {
            Ok(_) => self.counters.datagrams.add("sent"),
            Err(error) => {
                self.counters.datagrams.add("failed");
                log::warn!("datagram not sent", kv: {
                    to = to.to_string(), error = error.to_string(),
                });
            }
        }
    }

    /// Group of the own engine, once known.
    pub(super) fn group(&self) -> Option<GroupId> {
        self.node.report().map(|report| report.group)
    }

    pub(super) fn send_order(&self, rank: Rank, order: RankOrder) {
        let Some(engine) = self.engine_of(rank) else {
            return;
        };
        let call_results = self.call_results.0.clone();

        self.tasks
            .spawn(async move {
                let outcome = engine.order(&order).await.unwrap_or(OrderOutcome::Refused);
                let _ = call_results.send(CallResult::OrderDone { rank, order, outcome }).await;
            })
            .detach();
    }

    pub(super) fn read_report(&self, rank: Rank) {
        let Some(engine) = self.engine_of(rank) else {
            return;
        };
        let call_results = self.call_results.0.clone();

        self.tasks
            .spawn(async move {
                let report = engine.report().await;
                let _ = call_results.send(CallResult::RequestedReport(report)).await;
            })
            .detach();
    }

    pub(super) fn read_part(&self, rank: Rank) {
        if let Some(engine) = self.engine_of(rank) {
            self.spawn(async move { CallResult::Part(rank, engine.part().await) });
        }
    }

    fn engine_of(&self, rank: Rank) -> Option<E> {
        match self.node.address_of(rank) {
            Some(address) if *address == self.settings.target_address => Some(self.engine.clone()),
            Some(address) => Some(self.engine.at(*address)),
            None => None,
        }
    }

    pub(super) fn call_engine<F: Future<Output = CallResult> + 'static>(
        &self,
        call: impl FnOnce(E) -> F,
    ) {
        self.spawn(call(self.engine.clone()));
    }

    pub(super) fn call_store<F: Future<Output = CallResult> + 'static>(
        &self,
        call: impl FnOnce(S) -> F,
    ) {
        self.spawn(call(self.store.clone()));
    }

    fn spawn(&self, call: impl Future<Output = CallResult> + 'static) {
        let call_results = self.call_results.0.clone();

        self.tasks
            .spawn(async move {
                let _ = call_results.send(call.await).await;
            })
            .detach();
    }
}
