//! Metrics of a rank process.

use grebedeck_experts::OrderOutcome;
use grebedeck_experts::rollout::RankEvent;
use grebedeck_kernel::{Counter, Histogram, Metrics};

/// Counters and histograms of a rank process.
pub struct Counters {
    /// Decisions on placements, leadership and held passes.
    pub decisions: Counter,
    /// Orders to engines by outcome.
    pub orders: Counter,
    /// Datagrams by the result of sending them, and datagrams that were not accepted.
    pub datagrams: Counter,
    /// Copies of experts in proposed placements.
    pub copies: Counter,
    /// Obstacles that kept a leader from planning for long, by reason.
    pub obstacles: Counter,
    /// Time from the last phase of a changeover to the release of the held pass.
    pub holds: Histogram,
}

impl Counters {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Counters {
            decisions: metrics.counter(
                "grebedeck_rank_decisions",
                "kind",
                "Decisions on placements, leadership and held passes",
            ),
            orders: metrics.counter(
                "grebedeck_rank_orders",
                "end",
                "Orders to engines by how they ended",
            ),
            datagrams: metrics.counter(
                "grebedeck_rank_datagrams",
                "end",
                "Datagrams by how sending them ended, and those that were not understood",
            ),
            copies: metrics.counter(
                "grebedeck_rank_copies",
                "kind",
                "Experts that ranks were told to copy",
            ),
            obstacles: metrics.counter(
                "grebedeck_rank_obstacles",
                "reason",
                "Times that a leader could make no plan for long, by what was in the way",
            ),
            holds: metrics.histogram(
                "grebedeck_rank_hold_seconds",
                "end",
                "Time from asking all nodes to letting a held pass go",
            ),
        }
    }

    /// Counts an event of the node.
    pub fn record_event(&self, event: &RankEvent) {
        let kind = match event {
            RankEvent::LeadershipTaken(_) => "leads",
            RankEvent::LeaderFollowed(_) => "follows",
            RankEvent::Resigned { .. } => "resigns",
            RankEvent::PlanResumed { .. } => "carries_on",
            RankEvent::RemoteAccessStarted { .. } => "acts_for",
            RankEvent::RemoteAccessEnded { .. } => "acts_for_no_more",
            RankEvent::EpochChanged(_) => "group_formed",
            RankEvent::HoldRequested { .. } => "hold_wanted",
            RankEvent::PlacementInUse { .. } => "placement_in_use",
            RankEvent::PlanAbandoned { .. } => "placement_given_up",
            RankEvent::HeldPassFound { .. } => "held_pass_found",
            RankEvent::RanksFenced { .. } => "ranks_fenced",
            RankEvent::PassReleased { .. } => "pass_let_go",
        };

        self.decisions.add(kind);

        if let RankEvent::PassReleased { placement_no, held_for, .. } = event {
            self.holds.record(*held_for, if placement_no.is_some() { "armed" } else { "nobody" });
        }
    }

    /// Counts the outcome of an order.
    pub fn record_order(&self, outcome: OrderOutcome) {
        self.orders.add(match outcome {
            OrderOutcome::Taken => "taken",
            OrderOutcome::Refused => "refused",
            OrderOutcome::Unknown => "unanswered",
        });
    }
}
