//! Planning by the leader: when it searches for a better placement, and the counts that the ranks
//! send it for that.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_experts::balancer::is_sampled;
use grebedeck_experts::engine::INITIAL_PLACEMENT;
use grebedeck_experts::{RankCounts, RankEngine};
use grebedeck_gateway::SiteStore;
use grebedeck_kernel::log;

use super::driver::Driver;
use super::message::Body;
use super::obstacle::{Obstacle, ObstacleChange};
use super::options::FORMING_POLL;
use crate::settings::millis;

impl<S: SiteStore, E: RankEngine> Driver<S, E> {
    /// Searches for a better placement and proposes it, if this node leads.
    pub(super) async fn plan(&mut self, now: Moment) {
        if !self.node.is_leading() {
            self.obstacles.reset();
            return;
        }

        // A stopping process would have to wait for a new plan. The next leader starts with one
        // anyway.
        if self.stop_deadline.is_some() {
            return;
        }

        let obstacle = self.obstacle(now);
        self.update_obstacle(obstacle, now);

        if obstacle.is_some() {
            return;
        }

        let (Some(reports), Some(in_use)) =
            (self.node.group_reports(), self.node.placement_in_use().cloned())
        else {
            return;
        };

        let Some(change) = self.balance.plan(&in_use, &reports, now) else {
            return;
        };

        self.counters.copies.add_many(change.copies as u64, "planned");
        log::info!("placement proposed", kv: {
            skew_before = f64::from(change.skew_before),
            skew_after = f64::from(change.skew_after),
            copies = change.copies,
        });
        let actions = self.node.propose(change.placement, now);
        self.execute(actions).await;
    }

    /// Reason why the leader can make no plan now, if any.
    fn obstacle(&self, now: Moment) -> Option<Obstacle> {
        if let Some(block) = self.node.plan_block(now) {
            return Some(Obstacle::Rollout(block));
        }

        if !self.balance.has_engine_spec() {
            return Some(Obstacle::EngineUnknown);
        }

        self.node.placement_in_use().is_none().then_some(Obstacle::PlacementUnknown)
    }

    /// Logs when no plan has been possible for some time, and when plans are possible again.
    fn update_obstacle(&mut self, obstacle: Option<Obstacle>, now: Moment) {
        match self.obstacles.record(obstacle, now) {
            Some(ObstacleChange::Blocked(obstacle)) => {
                let rank = obstacle.rank().map_or(-1, i64::from);
                self.counters.obstacles.add(obstacle.label());
                log::warn!("no plan possible", kv: { reason = obstacle.label(), rank });
            }
            Some(ObstacleChange::Cleared(lasted)) => {
                log::info!("plans possible", kv: { after_ms = lasted.as_millis() as u64 });
            }
            None => {}
        }
    }

    pub(super) fn store_initial_placement(&mut self, ranks: u16) {
        if let Some(initial) = self.balance.initial_placement(ranks) {
            self.node.store_placement(INITIAL_PLACEMENT, Arc::new(initial));
        }
    }

    pub(super) async fn report_counts(&mut self, counts: RankCounts) {
        let Some(rank) = self.node.report().map(|r| r.rank) else {
            return;
        };
        let Some(report) = self.count_tracker.record(rank, counts) else {
            return;
        };
        let size = self.node.report().map_or(1, |r| r.size);
        let period = millis(self.settings.balance.count_ms);

        if !is_sampled(rank, size, report.codes.len(), period) {
            return;
        }

        if self.node.is_leading() {
            self.balance.record_counts(&report);
        } else if let Some(leader) = self.node.leader().copied() {
            self.send(leader, Body::Counts(report)).await;
        }
    }

    /// Interval until the next read of the engine's counts.
    pub(super) fn count_period(&self) -> Duration {
        let usual = millis(self.settings.balance.count_ms);
        let is_initial = self.node.report().is_some_and(|r| r.placement == INITIAL_PLACEMENT);

        if is_initial { usual.min(FORMING_POLL) } else { usual }
    }
}
