//! What a rank process shows of itself: log lines on decisions, metrics and state.

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
    let answer = async move |request: &RequestHead| match request.path() {
        "/metrics" => Page::text(metrics.text()),
        "/dump" => Page::json(&state.borrow()),
        _ => Page::empty(404),
    };

    pages::serve(tasks, listener, answer).await;
}

/// Logs what a node has decided or found.
pub fn log_note(note: RankEvent) {
    match note {
        RankEvent::LeadershipTaken(term) => {
            log::info!("leads the group", kv: { round = term.round })
        }
        RankEvent::LeaderFollowed(term) => {
            log::info!("follows a leader", kv: { round = term.round, rank = term.rank });
        }
        RankEvent::Resigned { next } => log::info!("hands the lead on", kv: { next }),
        RankEvent::PlanResumed { placement_no } => {
            log::info!("goes on with a placement", kv: { placement_no });
        }
        RankEvent::RemoteAccessStarted { rank } => {
            log::warn!("acts for a silent rank", kv: { rank })
        }
        RankEvent::RemoteAccessEnded { rank } => {
            log::info!("acts for a rank no more", kv: { rank })
        }
        RankEvent::EpochChanged(epoch) => log::info!("group formed", kv: { epoch }),
        RankEvent::HoldRequested { placement_no, pass, holder } => {
            log::info!("pass to be held", kv: { placement_no, pass, holder });
        }
        RankEvent::PlacementInUse { placement_no, pass } => {
            log::info!("placement in use", kv: { placement_no, pass });
        }
        RankEvent::PlanAbandoned { placement_no, reason } => {
            log::warn!("placement given up", kv: { placement_no, reason });
        }
        RankEvent::HeldPassFound { pass } => log::warn!("held pass found", kv: { pass }),
        RankEvent::PassReleased { pass, placement_no, held_for } => {
            let (held_ms, armed_no) = (held_for.as_millis() as u64, placement_no.unwrap_or(0));
            log::info!("pass let go", kv: { pass, armed_no, held_ms });
        }
    }
}
