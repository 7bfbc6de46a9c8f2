//! The leader's balancer, created when the engine's specification becomes known.

use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_experts::assign::AssignOptions;
use grebedeck_experts::balancer::PlacementChange;
use grebedeck_experts::{Balancer, BalancerOptions, CountReport, Placement, RankReport};
use grebedeck_gateway::{EngineSpec, Site};

use super::options::BalanceSettings;

/// Estimates the popularity of a group's experts and plans placements.
pub struct GroupBalancer {
    settings: BalanceSettings,
    service: String,
    spec: Option<EngineSpec>,
    balancer: Option<Balancer>,
}

impl GroupBalancer {
    /// Creates a balancer for a service's group; it plans nothing before the engine's specification
    /// is known.
    pub fn new(settings: BalanceSettings, service: &str) -> Self {
        GroupBalancer { settings, service: service.to_string(), spec: None, balancer: None }
    }

    /// Whether the engine's specification is known.
    pub fn has_engine_spec(&self) -> bool {
        self.spec.is_some()
    }

    /// Applies the engine's specification, if the configuration has one for the service.
    pub fn apply_site(&mut self, site: &Site) {
        let service = site.services.iter().find(|s| s.name == self.service);

        if let Some(spec) = service.and_then(|s| s.engine.clone()) {
            self.balancer = Some(Balancer::new(options(&self.settings, &spec)));
            self.spec = Some(spec);
        }
    }

    /// Placement that engines start with, once the engine's specification is known.
    pub fn initial_placement(&self, ranks: u16) -> Option<Placement> {
        let spec = self.spec.as_ref()?;

        Some(Placement::round_robin(ranks, usize::from(spec.sets), spec.experts))
    }

    /// Records the counts of a rank.
    pub fn record_counts(&mut self, report: &CountReport) {
        if let Some(balancer) = &mut self.balancer {
            balancer.add_counts(report);
        }
    }

    /// Discards the counts after the group has formed anew.
    pub fn reset(&mut self) {
        if let Some(balancer) = &mut self.balancer {
            balancer.reset();
        }
    }

    /// Searches for a better placement; `None` if none is worth a rollout.
    pub fn plan(
        &mut self,
        in_use: &Placement,
        reports: &[RankReport],
        now: Moment,
    ) -> Option<PlacementChange> {
        let balancer = self.balancer.as_mut()?;
        let running: u32 = reports.iter().map(|r| r.running).sum();
        let costs: Vec<f32> = reports.iter().map(|r| r.pace.max(1.0)).collect();

        // A group without requests gains nothing, and begins no pass at which ranks could switch.
        if running == 0 {
            return None;
        }

        balancer.update_popularity();
        balancer.plan(in_use, &costs, now)
    }
}

/// Maximum number of experts that a rank copies for one placement: as many as fit into the time for
/// copies, or one if the duration of a copy is not known.
pub fn max_copies(limit: Duration, spec: &EngineSpec) -> usize {
    if spec.copy.is_zero() {
        return 1;
    }

    let max_useful = usize::from(spec.spare) * usize::from(spec.sets);
    let fitting = (limit.as_secs_f64() / spec.copy.as_secs_f64()) as usize;

    fitting.clamp(1, max_useful.max(1))
}

fn options(settings: &BalanceSettings, spec: &EngineSpec) -> BalancerOptions {
    BalancerOptions {
        sets: spec.sets,
        experts: spec.experts,
        assign: AssignOptions {
            slots_per_rank: usize::from(spec.places),
            max_new_per_rank: usize::from(spec.spare),
            max_copies_per_rank: max_copies(Duration::from_millis(settings.copy_limit_ms), spec),
            target_skew: settings.target_skew,
            min_gain_per_copy: settings.min_gain_per_copy,
        },
        trigger_skew: settings.trigger_skew,
        min_change_interval: Duration::from_millis(settings.pause_ms),
    }
}
