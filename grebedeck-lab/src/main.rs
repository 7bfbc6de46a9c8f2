//! The experiments' program.

use std::alloc::System;

use anyhow::Result;
use bpaf::Bpaf;
use grebedeck_lab::command::{cost, experts, fleet, losses, path, routing, storm, switch};

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts what is allocated, for the probes of memory.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Experiments with grebedeck's decisions. Each prints its figures; --json for programs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Options {
    /// Long random runs of the switch protocol, with its invariants checked
    #[bpaf(command)]
    Switch(#[bpaf(external(switch::switch_options))] switch::SwitchOptions),
    /// What the way through entry and agent adds, beside calls that go straight to the target
    #[bpaf(command)]
    Path(#[bpaf(external(path::path_options))] path::PathOptions),
    /// Choice of a target by several policies, in virtual time
    #[bpaf(command)]
    Routing(#[bpaf(external(routing::routing_options))] routing::RoutingOptions),
    /// Many requests to a fleet whose processes are killed, and a check of every promise
    #[bpaf(command)]
    Storm(#[bpaf(external(storm::storm_options))] storm::StormOptions),
    /// What state, messages and decisions cost, as slopes over their number
    #[bpaf(command)]
    Cost(#[bpaf(external(cost::cost_options))] cost::CostOptions),
    /// Write the settings of a fleet
    #[bpaf(command("fleet-settings"))]
    FleetSettings(#[bpaf(external(fleet::fleet_options))] fleet::FleetOptions),
    /// Run the stand-ins of a fleet
    #[bpaf(command("fleet-stand-ins"))]
    FleetStandIns(#[bpaf(external(fleet::fleet_options))] fleet::FleetOptions),
    /// Measure a running fleet
    #[bpaf(command("fleet-measure"))]
    FleetMeasure(#[bpaf(external(fleet::fleet_options))] fleet::FleetOptions),
    /// Balance a model of one group in virtual time, by several policies
    #[bpaf(command)]
    Experts(#[bpaf(external(experts::experts_options))] experts::ExpertsOptions),
    /// Where worth was lost, by the logs of gateways and rank processes
    #[bpaf(command)]
    Losses(#[bpaf(external(losses::losses_options))] losses::LossesOptions),
}

fn main() -> Result<()> {
    // The processes' own log lines would stand between the figures.
    grebedeck_kernel::log::start(spdlog::Level::Error)?;

    match options().run() {
        Options::Switch(options) => switch::run(&options),
        Options::Path(options) => path::run(&options),
        Options::Storm(options) => storm::run(&options),
        Options::Routing(options) => routing::run(&options),
        Options::Cost(options) => cost::run(&options),
        Options::FleetSettings(options) => fleet::write_settings(&options),
        Options::FleetStandIns(options) => fleet::run_stand_ins(&options),
        Options::FleetMeasure(options) => fleet::measure(&options),
        Options::Experts(options) => experts::run(&options),
        Options::Losses(options) => losses::run(&options),
    }
}
