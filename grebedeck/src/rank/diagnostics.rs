//! The pages with a rank process's metrics and state, and the log lines of its decisions.

use std::cell::RefCell;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_std::net::TcpListener;
use grebedeck_experts::rollout::RankEvent;
use grebedeck_http::RequestHead;
use grebedeck_kernel::{Metrics, log};
use serde_json::Value;

use crate::pages::{self, Page};

/// Serves metrics and state until the task is dropped.
pub async fn serve_pages(
    tasks: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    metrics: Metrics,
    state: Rc<RefCell<Value>>,
) {
    let handler = async move |request: &RequestHead| match request.path() {
        "/metrics" => Page::text(metrics.text()),
        "/dump" => Page::json(&state.borrow()),
        _ => Page::empty(404),
    };

    pages::serve(tasks, listener, handler).await;
}

/// Logs an event of the node.
pub fn log_event(event: RankEvent) {
    match event {
        RankEvent::LeadershipTaken(term) => {
            log::info!("leadership taken", kv: { round = term.round })
        }
        RankEvent::LeaderFollowed(term) => {
            log::info!("leader followed", kv: { round = term.round, rank = term.rank });
        }
        RankEvent::Resigned { next } => log::info!("leadership resigned", kv: { next }),
        RankEvent::PlanResumed { placement_no } => {
            log::info!("placement resumed", kv: { placement_no });
        }
        RankEvent::RemoteAccessStarted { rank } => {
            log::warn!("remote access to rank started", kv: { rank })
        }
        RankEvent::RemoteAccessEnded { rank } => {
            log::info!("remote access to rank ended", kv: { rank })
        }
        RankEvent::EpochChanged(epoch) => log::info!("group formed", kv: { epoch }),
        RankEvent::HoldRequested { placement_no, pass, holder } => {
            log::info!("hold requested", kv: { placement_no, pass, holder });
        }
        RankEvent::PlacementInUse { placement_no, pass } => {
            log::info!("placement in use", kv: { placement_no, pass });
        }
        RankEvent::PlanAbandoned { placement_no, reason } => {
            log::warn!("placement given up", kv: { placement_no, reason });
        }
        RankEvent::HeldPassFound { pass } => log::warn!("held pass found", kv: { pass }),
        RankEvent::RanksFenced { pass, placement_no } => {
            log::warn!("ranks fenced", kv: { pass, placement_no });
        }
        RankEvent::PassReleased { pass, placement_no, held_for } => {
            let (held_ms, armed_no) = (held_for.as_millis() as u64, placement_no.unwrap_or(0));
            log::info!("pass released", kv: { pass, armed_no, held_ms });
        }
    }
}
