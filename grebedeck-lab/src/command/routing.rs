//! The `routing` command: compares policies for choosing a target in a simulation, on the same
//! arrivals.

use std::time::Duration;

use anyhow::Result;
use bpaf::Bpaf;
use grebedeck_routing::ChooserOptions;
use serde_json::json;

use crate::routing::{RunReport, SelectionPolicy, Setup, run as run_sim};

/// Options of the `routing` command.
#[derive(Clone, Debug, Bpaf)]
pub struct RoutingOptions {
    /// Number of entries
    #[bpaf(long, argument("N"), fallback(4))]
    pub entries: usize,
    /// Number of targets
    #[bpaf(long, argument("N"), fallback(16))]
    pub targets: usize,
    /// Number of places of each target
    #[bpaf(long, argument("N"), fallback(16))]
    pub places: usize,
    /// Offered load, as a fraction of all places
    #[bpaf(long, argument("PART"), fallback(0.8))]
    pub load: f64,
    /// Number of organisations; the first is the loud one
    #[bpaf(long, argument("N"), fallback(10))]
    pub organisations: usize,
    /// Fraction of the requests that the loud organisation sends
    #[bpaf(long, argument("PART"), fallback(0.1))]
    pub loud: f64,
    /// Age of load reports on arrival and interval between them, in milliseconds
    #[bpaf(long, argument("MS"), fallback(1_000))]
    pub report_lag_ms: u64,
    /// Mean service time of a request, in milliseconds
    #[bpaf(long, argument("MS"), fallback(2_000))]
    pub service_ms: u64,
    /// Standard deviation of the logarithm of the service time
    #[bpaf(long, argument("X"), fallback(1.0))]
    pub tail: f64,
    /// Duration of a run, in seconds
    #[bpaf(long, argument("S"), fallback(300))]
    pub time_s: u64,
    /// Number of random targets that the policy `ours` compares
    #[bpaf(long, argument("N"), fallback(ChooserOptions::default().draws))]
    pub draws: usize,
    /// Time to the first token without waiting, in milliseconds
    #[bpaf(long, argument("MS"), fallback(200.0))]
    pub prefill_ms: f64,
    /// Seed of the first run
    #[bpaf(long, argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Number of runs, with consecutive seeds
    #[bpaf(long, argument("N"), fallback(4))]
    pub seeds: u64,
    /// Print JSON
    pub json: bool,
}

/// Runs all policies, with one thread per seed, and prints the times to the first token.
pub fn run(options: &RoutingOptions) -> Result<()> {
    let setup = Setup {
        entries: options.entries,
        targets: options.targets,
        slots: options.places,
        load: options.load,
        organisations: options.organisations,
        noisy_share: options.loud,
        report_lag: Duration::from_millis(options.report_lag_ms),
        mean_service_time: Duration::from_millis(options.service_ms),
        service_time_sigma: options.tail,
        duration: Duration::from_secs(options.time_s),
        chooser: ChooserOptions { draws: options.draws, ..ChooserOptions::default() },
    };

    if !options.json {
        println!("policy           p50 ms  p95 ms  p99 ms (low to high)   mean ms  attempts");
    }

    for choice in SelectionPolicy::ALL {
        let seeds = options.seed..options.seed + options.seeds;
        let workers: Vec<_> = seeds
            .map(|seed| {
                let setup = setup.clone();
                std::thread::spawn(move || run_sim(choice, &setup, seed))
            })
            .collect();
        let waits: Vec<RunReport> =
            workers.into_iter().map(|w| w.join().expect("a run does not panic")).collect();
        print(choice, &waits, options);
    }

    Ok(())
}

fn print(choice: SelectionPolicy, waits: &[RunReport], options: &RoutingOptions) {
    let mean = |read: fn(&RunReport) -> f64| {
        waits.iter().map(read).sum::<f64>() / waits.len() as f64 + options.prefill_ms
    };
    let low = waits.iter().map(|w| w.p99).fold(f64::INFINITY, f64::min) + options.prefill_ms;
    let high = waits.iter().map(|w| w.p99).fold(0.0, f64::max) + options.prefill_ms;
    let (p50, p95, p99) = (mean(|w| w.p50), mean(|w| w.p95), mean(|w| w.p99));
    let all = mean(|w| w.mean);

    if options.json {
        let row = json!({
            "policy": choice.name(),
            "first_token_ms": { "p50": p50, "p95": p95, "p99": p99, "mean": all },
            "attempts": waits.iter().map(|w| w.attempts).sum::<f64>() / waits.len() as f64,
            "goodput": waits.iter().map(|w| w.goodput).sum::<f64>() / waits.len() as f64,
            "small_p99_ms": mean(|w| w.small_p99),
            "small_refused": waits.iter().map(|w| w.small_refused).sum::<f64>() / waits.len() as f64,
            "p99_low": low,
            "p99_high": high,
        });
        println!("{row}");
        return;
    }

    println!(
        "{:16} {p50:6.0}  {p95:6.0}  {p99:6.0} ({low:.0} to {high:.0}) {all:9.1}  {:.2}",
        choice.name(),
        waits.iter().map(|w| w.attempts).sum::<f64>() / waits.len() as f64,
    );
}
