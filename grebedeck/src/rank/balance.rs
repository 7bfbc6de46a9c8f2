//! The leader's estimate of what is popular, and its plans.

use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_experts::assign::AssignOptions;
use grebedeck_experts::balancer::PlacementChange;
use grebedeck_experts::{Balancer, BalancerOptions, CountReport, Placement, RankReport};
use grebedeck_gateway::{EngineSpec, Site};

use super::options::BalanceSettings;

/// Follows a group's counts as soon as its engine's figures are known.
pub struct Balance {
    settings: BalanceSettings,
    service: String,
    spec: Option<EngineSpec>,
    balancer: Option<Balancer>,
}

impl Balance {
    /// Makes the balance of a service's group.
    pub fn new(settings: BalanceSettings, service: &str) -> Self {
        Balance { settings, service: service.to_string(), spec: None, balancer: None }
    }

    /// Tells whether the engine's figures are known.
    pub fn knows_engine(&self) -> bool {
        self.spec.is_some()
    }

    /// Takes the engine's figures from the configuration.
    pub fn take_site(&mut self, site: &Site) {
        let service = site.services.iter().find(|s| s.name == self.service);

        if let Some(spec) = service.and_then(|s| s.engine.clone()) {
            self.balancer = Some(Balancer::new(options(&self.settings, &spec)));
            self.spec = Some(spec);
        }
    }

    /// Gets the placement that engines start with.
    pub fn first_placement(&self, ranks: u16) -> Option<Placement> {
        let spec = self.spec.as_ref()?;

        Some(Placement::round_robin(ranks, usize::from(spec.sets), spec.experts))
    }

    /// Takes in what a rank counted.
    pub fn count(&mut self, report: &CountReport) {
        if let Some(balancer) = &mut self.balancer {
            balancer.add_counts(report);
        }
    }

    /// Starts anew with a group that has formed anew.
    pub fn restart(&mut self) {
        if let Some(balancer) = &mut self.balancer {
            balancer.reset();
        }
    }

    /// Gives a better placement, where one is worth rolling out.
    pub fn plan(
        &mut self,
        in_use: &Placement,
        reports: &[RankReport],
        now: Moment,
    ) -> Option<PlacementChange> {
        let balancer = self.balancer.as_mut()?;
        let running: u32 = reports.iter().map(|r| r.running).sum();
        let costs: Vec<f32> = reports.iter().map(|r| r.pace.max(1.0)).collect();

        // A group without requests gains nothing, and makes no pass to take a placement at.
        if running == 0 {
            return None;
        }

        balancer.update_popularity();
        balancer.plan(in_use, &costs, now)
    }
}

/// Gets how many experts a rank may copy for one placement: as many as fit into the time for it, and one where
/// the time of a copy is not known.
pub fn max_copies(limit: Duration, spec: &EngineSpec) -> usize {
    if spec.copy.is_zero() {
        return 1;
    }

    let most = usize::from(spec.spare) * usize::from(spec.sets);
    let fitting = (limit.as_secs_f64() / spec.copy.as_secs_f64()) as usize;

    fitting.clamp(1, most.max(1))
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
