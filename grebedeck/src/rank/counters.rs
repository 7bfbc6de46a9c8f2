//! What a rank process counts.

use grebedeck_experts::OrderOutcome;
use grebedeck_experts::rollout::RankEvent;
use grebedeck_kernel::{Counter, Histogram, Metrics};

/// Counters and histograms of a rank process.
pub struct Counters {
    /// Decisions on placements, leadership and held passes.
    pub decisions: Counter,
    /// Orders to engines by how they ended.
    pub orders: Counter,
    /// Datagrams by how sending them ended, and those that were not understood.
    pub datagrams: Counter,
    /// Experts that ranks were told to copy.
    pub copies: Counter,
    /// Times that a leader was without the possibility of a plan for long, by what was in the way.
    pub obstacles: Counter,
    /// Time for which held passes were decided on.
    pub holds: Histogram,
}

impl Counters {
    /// Makes the counters of a process.
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

    /// Counts a note of the node.
    pub fn note(&self, note: &RankEvent) {
        let kind = match note {
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
            RankEvent::PassReleased { .. } => "pass_let_go",
        };

        self.decisions.add(kind);

        if let RankEvent::PassReleased { placement_no, held_for, .. } = note {
            self.holds.record(*held_for, if placement_no.is_some() { "armed" } else { "nobody" });
        }
    }

    /// Counts an order.
    pub fn note_order(&self, end: OrderOutcome) {
        self.orders.add(match end {
            OrderOutcome::Taken => "taken",
            OrderOutcome::Refused => "refused",
            OrderOutcome::Unknown => "unanswered",
        });
    }
}
