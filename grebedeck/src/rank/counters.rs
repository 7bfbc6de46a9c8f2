//! What a rank process counts.

use grebedeck_experts::OrderEnd;
use grebedeck_experts::rollout::RankNote;
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
    pub fn note(&self, note: &RankNote) {
        let kind = match note {
            RankNote::Leads(_) => "leads",
            RankNote::Follows(_) => "follows",
            RankNote::Resigns { .. } => "resigns",
            RankNote::CarriesOn { .. } => "carries_on",
            RankNote::ActsFor { .. } => "acts_for",
            RankNote::ActsForNoMore { .. } => "acts_for_no_more",
            RankNote::NewEpoch(_) => "group_formed",
            RankNote::Holding { .. } => "hold_wanted",
            RankNote::InUse { .. } => "placement_in_use",
            RankNote::GivenUp { .. } => "placement_given_up",
            RankNote::Recovers { .. } => "held_pass_found",
            RankNote::Released { .. } => "pass_let_go",
        };

        self.decisions.add(kind);

        if let RankNote::Released { placement_no, held_for, .. } = note {
            self.holds.record(*held_for, if placement_no.is_some() { "armed" } else { "nobody" });
        }
    }

    /// Counts an order.
    pub fn note_order(&self, end: OrderEnd) {
        self.orders.add(match end {
            OrderEnd::Taken => "taken",
            OrderEnd::Refused => "refused",
            OrderEnd::Unknown => "unanswered",
        });
    }
}
