//! What a leader plans, from counts of chosen experts, and why it plans nothing.

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
use super::obstacle::{Obstacle, ObstacleNews};
use super::options::OPENING_POLL;
use crate::settings::millis;

impl<S: SiteStore, E: RankEngine> Driver<S, E> {
    /// Has the leader look for a better placement.
    pub(super) async fn plan(&mut self, now: Moment) {
        if !self.node.is_leading() {
            self.obstacles.forget();
            return;
        }

        // A new plan would hold the process up, and whoever takes the lead next begins with one.
        if self.stop_by.is_some() {
            return;
        }

        let obstacle = self.obstacle(now);
        self.note_obstacle(obstacle, now);

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
        self.carry_out(actions).await;
    }

    /// Gets why a leader may make no plan now.
    fn obstacle(&self, now: Moment) -> Option<Obstacle> {
        if let Some(block) = self.node.plan_block(now) {
            return Some(Obstacle::Rollout(block));
        }

        if !self.balance.knows_engine() {
            return Some(Obstacle::EngineUnknown);
        }

        self.node.placement_in_use().is_none().then_some(Obstacle::PlacementUnknown)
    }

    /// Logs when plans have become impossible for some time, and when they are possible again.
    fn note_obstacle(&mut self, obstacle: Option<Obstacle>, now: Moment) {
        match self.obstacles.note(obstacle, now) {
            Some(ObstacleNews::Blocked(obstacle)) => {
                let rank = obstacle.rank().map_or(-1, i64::from);
                self.counters.obstacles.add(obstacle.word());
                log::warn!("no plan possible", kv: { reason = obstacle.word(), rank });
            }
            Some(ObstacleNews::Cleared(lasted)) => {
                log::info!("plans possible", kv: { after_ms = lasted.as_millis() as u64 });
            }
            None => {}
        }
    }

    pub(super) fn keep_first_placement(&mut self, ranks: u16) {
        if let Some(first) = self.balance.first_placement(ranks) {
            self.node.store_placement(INITIAL_PLACEMENT, Arc::new(first));
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
            self.balance.count(&report);
        } else if let Some(leader) = self.node.leader().copied() {
            self.send(leader, Body::Counts(report)).await;
        }
    }

    /// Gets how soon the engine's counts are read again.
    pub(super) fn count_period(&self) -> Duration {
        let usual = millis(self.settings.balance.count_ms);
        let is_dealt = self.node.report().is_some_and(|r| r.placement == INITIAL_PLACEMENT);

        if is_dealt { usual.min(OPENING_POLL) } else { usual }
    }
}
