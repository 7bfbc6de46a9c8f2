//! Decides when a group's placement is changed, and to which one.
//!
//! The ranks report the tokens that their engines routed to each expert. The leader sums the
//! reports and estimates the experts' popularity from them. It searches for a better placement when
//! the busiest rank exceeds the trigger and the previous change is long enough ago.

use std::time::Duration;

use grebedeck_core::{Layer, Moment, Rank};
use serde::{Deserialize, Serialize};

use crate::assign::{AssignOptions, improve};
use crate::counter::{decode_count, encode_count};
use crate::engine::{GroupEpoch, PassNo, RankCounts};
use crate::placement::Placement;
use crate::popularity::{LayerCounts, Popularity, PopularityOptions};

/// Options of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct BalancerOptions {
    /// Number of layer sets; the layers of a set share one placement.
    pub sets: u16,
    /// Number of experts per set.
    pub experts: u16,
    /// Options of the search for a better placement.
    pub assign: AssignOptions,
    /// Load of the busiest rank relative to the mean from which on a better placement is searched.
    pub trigger_skew: f32,
    /// Minimum time between two changes.
    pub min_change_interval: Duration,
}

/// Token counts of one rank since its previous report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CountReport {
    /// Epoch of the group.
    pub epoch: GroupEpoch,
    /// The rank that counted.
    pub rank: Rank,
    /// Last pass that is included.
    pub pass: PassNo,
    /// Counts of all experts, set by set, encoded by [`encode_count`].
    pub codes: Vec<u8>,
    /// Start of the engine in Unix milliseconds, if the engine reports it.
    pub born_ms: Option<u64>,
}

/// Converts an engine's cumulative counts into the counts between two readings.
#[derive(Clone, Debug, Default)]
pub struct CountTracker {
    last: Option<RankCounts>,
}

impl CountTracker {
    /// Records a reading and returns the counts since the previous one.
    ///
    /// Returns `None` for the first reading of an engine, and if nothing was counted since.
    pub fn record(&mut self, rank: Rank, counts: RankCounts) -> Option<CountReport> {
        let previous = self.last.replace(counts.clone())?;
        let is_same = previous.epoch == counts.epoch
            && previous.born_ms == counts.born_ms
            && previous.chosen.len() == counts.chosen.len();
        let pairs = || previous.chosen.iter().zip(&counts.chosen);

        // After a restart the engine counts from zero again.
        if !is_same || pairs().any(|(previous, now)| now < previous) {
            return None;
        }

        let codes: Vec<u8> = pairs().map(|(previous, now)| encode_count(now - previous)).collect();
        let has_counts = codes.iter().any(|code| *code > 0);

        has_counts.then_some(CountReport {
            epoch: counts.epoch,
            rank,
            pass: counts.pass,
            codes,
            born_ms: counts.born_ms,
        })
    }
}

/// Maximum rate of counts that a leader receives: a seventh of the slowest link of 8 Mbit/s.
const MAX_COUNT_BYTES_PER_S: f64 = 150_000.0;

/// Returns whether a rank has to report its counts.
///
/// Popularity is a property of the whole group, so in a large group a subset of the ranks is a
/// sufficient sample. The counts of all ranks would saturate the leader's link. `counters` is the
/// number of counts (one byte each) per report, and `period` the time between reports.
pub fn is_sampled(rank: Rank, ranks: Rank, counters: usize, period: Duration) -> bool {
    let bytes_per_s = f64::from(ranks) * counters as f64 / period.as_secs_f64().max(1e-3);
    let stride = (bytes_per_s / MAX_COUNT_BYTES_PER_S).ceil().max(1.0) as Rank;

    rank.is_multiple_of(stride)
}

/// A new placement that is worth rolling out.
#[derive(Clone, Debug)]
pub struct PlacementChange {
    /// The new placement.
    pub placement: Placement,
    /// Expected skew with the current placement.
    pub skew_before: f32,
    /// Expected skew with the new placement.
    pub skew_after: f32,
    /// Number of experts to copy, over all ranks.
    pub copies: usize,
}

/// Estimates the experts' popularity from a group's counts and decides on its placement.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: BalancerOptions,
    popularity: Popularity,
    pending_counts: Vec<f32>,
    pass: PassNo,
    estimated_pass: PassNo,
    changed_at: Option<Moment>,
}

impl Balancer {
    /// Creates a balancer that assumes equal popularity of all experts.
    pub fn new(options: BalancerOptions) -> Self {
        let counters = usize::from(options.sets) * usize::from(options.experts);

        Balancer {
            popularity: Popularity::new(
                options.sets,
                options.experts,
                PopularityOptions::default(),
            ),
            options,
            pending_counts: vec![0.0; counters],
            pass: 0,
            estimated_pass: 0,
            changed_at: None,
        }
    }

    /// Adds a rank's counts; they take effect with [`Balancer::update_popularity`]. A report with a
    /// wrong number of counts is ignored.
    pub fn add_counts(&mut self, report: &CountReport) {
        if report.codes.len() != self.pending_counts.len() {
            return;
        }

        for (sum, code) in self.pending_counts.iter_mut().zip(&report.codes) {
            *sum += decode_count(*code);
        }

        self.pass = self.pass.max(report.pass);
    }

    /// Updates the popularity from the counts added since the last update, if there are counts of
    /// newer passes.
    pub fn update_popularity(&mut self) {
        if self.pass <= self.estimated_pass {
            return;
        }

        let experts = usize::from(self.options.experts);

        for (layer, tokens) in self.pending_counts.chunks(experts).enumerate() {
            let layer = layer as Layer;
            let counts = LayerCounts { layer, until_step: self.pass, tokens };
            self.popularity.observe(&counts);
        }

        self.pending_counts.fill(0.0);
        self.estimated_pass = self.pass;
    }

    /// Discards all counts and estimates. Needed when the group forms again, since its passes are
    /// then numbered from the start.
    pub fn reset(&mut self) {
        let options = self.options;
        *self = Balancer::new(options);
    }

    /// Returns the expected skew of a placement for each rank's cost per unit of load.
    pub fn skew(&self, placement: &Placement, costs: &[f32]) -> f32 {
        placement.skew(&self.fractions(), costs)
    }

    /// Returns a better placement if one is worth rolling out. `costs` is each rank's time per unit
    /// of load.
    pub fn plan(
        &mut self,
        in_use: &Placement,
        costs: &[f32],
        now: Moment,
    ) -> Option<PlacementChange> {
        let is_early =
            self.changed_at.is_some_and(|at| now < at + self.options.min_change_interval);
        let fractions = self.fractions();
        let skew_before = in_use.skew(&fractions, costs);

        if is_early || skew_before < self.options.trigger_skew {
            return None;
        }

        let placement = improve(in_use, &fractions, costs, &self.options.assign);
        let copies = in_use.copies_to(&placement);
        let skew_after = placement.skew(&fractions, costs);

        if placement == *in_use {
            return None;
        }

        self.changed_at = Some(now);
        Some(PlacementChange { placement, skew_before, skew_after, copies })
    }

    fn fractions(&self) -> Vec<Vec<f32>> {
        (0..self.options.sets).map(|set| self.popularity.fractions(set).to_vec()).collect()
    }
}
