//! Deciding when a group's placement is worth changing, and to what.

use std::time::Duration;

use grebedeck_core::{Layer, Moment, Rank};
use serde::{Deserialize, Serialize};

use crate::assign::{AssignOptions, improve};
use crate::counter::{decode_count, encode_count};
use crate::engine::{GroupEpoch, PassNo, RankCounts};
use crate::placement::Placement;
use crate::popularity::{LayerCounts, Popularity, PopularityOptions};

/// Settings of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct BalancerOptions {
    /// Sets of layers.
    pub sets: u16,
    /// Experts in each set.
    pub experts: u16,
    /// How a better placement is looked for.
    pub assign: AssignOptions,
    /// Load of the busiest rank, relative to the mean, above which the placement is changed.
    pub trigger_skew: f32,
    /// Least time between two changes.
    pub min_change_interval: Duration,
}

/// What one rank counted since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CountReport {
    /// The group's formation.
    pub epoch: GroupEpoch,
    /// The rank.
    pub rank: Rank,
    /// The last pass that was counted.
    pub pass: PassNo,
    /// Counts, set by set, as [`encode_count`] writes them.
    pub codes: Vec<u8>,
    /// Unix milliseconds of the engine's start, where it tells them.
    pub born_ms: Option<u64>,
}

/// Takes the difference of an engine's counts from one reading to the next.
#[derive(Clone, Debug, Default)]
pub struct CountTracker {
    last: Option<RankCounts>,
}

impl CountTracker {
    /// Takes the next reading; gives what was counted since the one before it.
    pub fn record(&mut self, rank: Rank, counts: RankCounts) -> Option<CountReport> {
        let before = self.last.replace(counts.clone())?;
        let is_same = before.epoch == counts.epoch
            && before.born_ms == counts.born_ms
            && before.chosen.len() == counts.chosen.len();
        let pairs = || before.chosen.iter().zip(&counts.chosen);

        // An engine that started anew counts from zero.
        if !is_same || pairs().any(|(before, now)| now < before) {
            return None;
        }

        let codes: Vec<u8> = pairs().map(|(before, now)| encode_count(now - before)).collect();
        let has_some = codes.iter().any(|code| *code > 0);

        has_some.then_some(CountReport {
            epoch: counts.epoch,
            rank,
            pass: counts.pass,
            codes,
            born_ms: counts.born_ms,
        })
    }
}

/// Bytes of counts that a leader takes in a second: a seventh of the smallest link, 8 Mbit/s.
const COUNT_BYTES_PER_S: f64 = 150_000.0;

/// Tells whether a rank's counts are wanted. Popularity is one of the whole group, so with many ranks a
/// part of them is sample enough, and all counts would fill the leader's link.
pub fn is_sampled(rank: Rank, size: Rank, counters: usize, period: Duration) -> bool {
    let bytes_per_s = f64::from(size) * counters as f64 / period.as_secs_f64().max(1e-3);
    let stride = (bytes_per_s / COUNT_BYTES_PER_S).ceil().max(1.0) as Rank;

    rank.is_multiple_of(stride)
}

/// A placement that is worth rolling out.
#[derive(Clone, Debug)]
pub struct PlacementChange {
    /// The placement.
    pub placement: Placement,
    /// Skew with the placement in use.
    pub skew_before: f32,
    /// Skew that is expected with the new one.
    pub skew_after: f32,
    /// Experts that ranks have to copy.
    pub copies: usize,
}

/// Follows a group's counts and decides on its placement.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: BalancerOptions,
    popularity: Popularity,
    pending: Vec<f32>,
    pass: PassNo,
    observed_pass: PassNo,
    changed_at: Option<Moment>,
}

impl Balancer {
    /// Makes a balancer that takes all experts as equally popular.
    pub fn new(options: BalancerOptions) -> Self {
        let counters = usize::from(options.sets) * usize::from(options.experts);

        Balancer {
            popularity: Popularity::new(
                options.sets,
                options.experts,
                PopularityOptions::default(),
            ),
            options,
            pending: vec![0.0; counters],
            pass: 0,
            observed_pass: 0,
            changed_at: None,
        }
    }

    /// Takes in what a rank counted.
    pub fn add_counts(&mut self, report: &CountReport) {
        if report.codes.len() != self.pending.len() {
            return;
        }

        for (sum, code) in self.pending.iter_mut().zip(&report.codes) {
            *sum += decode_count(*code);
        }

        self.pass = self.pass.max(report.pass);
    }

    /// Brings the estimate up to date with what was counted.
    pub fn update_popularity(&mut self) {
        if self.pass <= self.observed_pass {
            return;
        }

        let experts = usize::from(self.options.experts);

        for (layer, tokens) in self.pending.chunks(experts).enumerate() {
            let layer = layer as Layer;
            let counts = LayerCounts { layer, until_step: self.pass, tokens };
            self.popularity.observe(&counts);
        }

        self.pending.fill(0.0);
        self.observed_pass = self.pass;
    }

    /// Forgets the passes of a group that has formed anew, whose count begins again.
    pub fn reset(&mut self) {
        let options = self.options;
        *self = Balancer::new(options);
    }

    /// Gets the skew that is expected with a placement.
    pub fn skew(&self, placement: &Placement, costs: &[f32]) -> f32 {
        placement.skew(&self.fractions(), costs)
    }

    /// Gives a better placement, where one is worth rolling out.
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
