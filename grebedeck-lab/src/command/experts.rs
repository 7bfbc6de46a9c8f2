//! The `experts` command: compares policies for expert maps in a simulated group.
//!
//! All policies of a run see the same random draws, so that their figures can be compared.

use std::collections::BTreeMap;

use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use serde_json::{Value, json};

use crate::balance::sim::{COST_PROFILE, Report, SKEW_PROFILE, Setup, run as run_sim};
use crate::balance::{PolicyKind, TraceKind};

/// Options of the `experts` command.
#[derive(Clone, Debug, Bpaf)]
pub struct ExpertsOptions {
    /// Load trace: steady, slow, topic, launch, flip, stall, or all
    #[bpaf(long, argument("TRACE"), fallback("all".to_string()))]
    pub trace: String,
    /// Policy: static, repack, threshold, ours or clairvoyant
    #[bpaf(long, argument("POLICY"), fallback("ours".to_string()))]
    pub policy: String,
    /// Run all policies on the same random draws
    pub compare: bool,
    /// Objective with the larger weight: skew or cost
    #[bpaf(long, argument("PROFILE"), fallback("skew".to_string()))]
    pub profile: String,
    /// Number of ranks of the group
    #[bpaf(long, argument("N"), fallback(16))]
    pub ranks: u16,
    /// Number of experts of a layer
    #[bpaf(long, argument("N"), fallback(64))]
    pub experts: usize,
    /// Number of layers
    #[bpaf(long, argument("N"), fallback(4))]
    pub layers: usize,
    /// Maximum number of experts of a layer on one rank
    #[bpaf(long, argument("N"), fallback(6))]
    pub slots_per_rank: u16,
    /// Number of steps of each run
    #[bpaf(long, argument("N"), fallback(30_000))]
    pub steps: u64,
    /// Period of the traces flip and topic, and mean time between launches, in steps
    #[bpaf(long, argument("N"), fallback(10_000))]
    pub period_steps: u64,
    /// Duration of a step without tokens
    #[bpaf(long, argument("MS"), fallback(3.0))]
    pub base_ms: f64,
    /// Time that a step's tokens take on balanced ranks
    #[bpaf(long, argument("MS"), fallback(3.0))]
    pub work_ms: f64,
    /// Time to load one expert of one layer
    #[bpaf(long, argument("MS"), fallback(44.0))]
    pub move_ms: f64,
    /// Number of tokens routed in each layer and step
    #[bpaf(long, argument("N"), fallback(8192.0))]
    pub tokens_per_step: f64,
    /// Seed of the first run
    #[bpaf(long, argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Number of runs, with consecutive seeds
    #[bpaf(long, argument("N"), fallback(1))]
    pub seeds: u64,
    /// Print JSON
    pub json: bool,
}

/// Runs the simulations, with one thread per seed, and prints a row per trace and policy.
pub fn run(options: &ExpertsOptions) -> Result<()> {
    let traces = match options.trace.as_str() {
        "all" => TraceKind::ALL.to_vec(),
        name => vec![TraceKind::parse(name).with_context(|| format!("trace: `{name}`"))?],
    };
    let selected = PolicyKind::parse(&options.policy)
        .with_context(|| format!("policy: `{}`", options.policy))?;
    let policies = if options.compare { PolicyKind::ALL.to_vec() } else { vec![selected] };
    let setup = simulation_setup(options)?;
    let mut rows = Vec::new();

    for trace in traces {
        for policy in &policies {
            let seeds = options.seed..options.seed + options.seeds;
            let workers: Vec<_> = seeds
                .map(|seed| {
                    let (setup, policy) = (setup.clone(), *policy);
                    std::thread::spawn(move || run_sim(policy, trace, &setup, seed))
                })
                .collect();
            let reports: Vec<Report> =
                workers.into_iter().map(|w| w.join().expect("a run does not panic")).collect();
            rows.push(summarize(trace, *policy, &reports));
        }
    }

    print(&rows, options.json);
    Ok(())
}

fn simulation_setup(options: &ExpertsOptions) -> Result<Setup> {
    let profile = match options.profile.as_str() {
        "skew" => SKEW_PROFILE,
        "cost" => COST_PROFILE,
        other => bail!("profile: `{other}`: skew or cost"),
    };

    let slots = usize::from(options.ranks) * usize::from(options.slots_per_rank);

    if slots < options.experts {
        bail!("slots-per-rank: `{}`: too few for the experts", options.slots_per_rank);
    }

    Ok(Setup {
        ranks: options.ranks,
        experts: options.experts,
        layers: options.layers,
        slots_per_rank: options.slots_per_rank,
        steps: options.steps,
        period_steps: options.period_steps,
        base_ms: options.base_ms,
        work_ms: options.work_ms,
        move_ms: options.move_ms,
        tokens_per_step: options.tokens_per_step,
        profile,
        ..Setup::default()
    })
}

/// Returns the mean, minimum and maximum of each figure over the seeds.
fn summarize(trace: TraceKind, policy: PolicyKind, reports: &[Report]) -> Value {
    let mut figures: BTreeMap<String, Vec<f64>> = BTreeMap::new();

    for report in reports {
        let Ok(Value::Object(fields)) = serde_json::to_value(report) else {
            continue;
        };

        for (name, value) in fields {
            if let Some(number) = value.as_f64() {
                figures.entry(name).or_default().push(number);
            }
        }
    }

    let mut row = json!({ "trace": trace.name(), "policy": policy.name(), "seeds": reports.len() });

    for (name, values) in figures {
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        row[name] = json!({ "mean": mean, "low": low, "high": high });
    }

    row
}

fn print(rows: &[Value], as_json: bool) {
    if as_json {
        rows.iter().for_each(|row| println!("{row}"));
        return;
    }

    println!(
        "trace   policy       p50    p95    p99    calm95  moves  late  switches  cost   plan ms"
    );

    for row in rows {
        let figure = |name: &str| row[name]["mean"].as_f64().unwrap_or(0.0);
        println!(
            "{:7} {:12} {:.3}  {:.3}  {:.3}  {:.3}  {:6.0} {:5.0} {:6.0} {:9.0} {:8.2}",
            row["trace"].as_str().unwrap_or_default(),
            row["policy"].as_str().unwrap_or_default(),
            figure("skew_p50"),
            figure("skew_p95"),
            figure("skew_p99"),
            figure("calm_skew_p95"),
            figure("moves"),
            figure("late_moves"),
            figure("switches"),
            figure("total_cost"),
            figure("plan_ms_max"),
        );
    }
}
