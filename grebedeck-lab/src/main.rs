//! Command line of the simulations and measurements.

use std::alloc::System;

use anyhow::Result;
use bpaf::Bpaf;
use grebedeck_lab::command::{cost, experts, fleet, losses, path, routing, storm, switch};

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocations for the memory probes.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Simulations and measurements of grebedeck. Each prints its results; --json for programs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Options {
    /// Run the switch protocol at random and check its invariants
    #[bpaf(command)]
    Switch(#[bpaf(external(switch::switch_options))] switch::SwitchOptions),
    /// Measure the latency that entry and agent add to direct calls of the target
    #[bpaf(command)]
    Path(#[bpaf(external(path::path_options))] path::PathOptions),
    /// Compare policies for the selection of a target, in virtual time
    #[bpaf(command)]
    Routing(#[bpaf(external(routing::routing_options))] routing::RoutingOptions),
    /// Send requests to a fleet while its processes are killed, and check all guarantees
    #[bpaf(command)]
    Storm(#[bpaf(external(storm::storm_options))] storm::StormOptions),
    /// Measure the cost of state, messages and decisions as slopes over their number
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
    /// Compare policies for the balance of experts in a model group, in virtual time
    #[bpaf(command)]
    Experts(#[bpaf(external(experts::experts_options))] experts::ExpertsOptions),
    /// Count late, refused and failed requests by cause, from logs of gateways and rank processes
    #[bpaf(command)]
    Losses(#[bpaf(external(losses::losses_options))] losses::LossesOptions),
}

fn main() -> Result<()> {
    // Log lines of the processes would be mixed with the printed results.
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
