//! What the way through entry and agent adds to a call, and what one entry carries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::caller::Caller;
use crate::site::{Site, SiteOptions};

/// What to measure.
#[derive(Clone, Debug, Bpaf)]
pub struct PathOptions {
    /// Calls one after another, for the latency
    #[bpaf(long, argument("N"), fallback(5_000))]
    pub calls: usize,
    /// Connections at the same time, for the rate
    #[bpaf(long, argument("N"), fallback(64))]
    pub connections: usize,
    /// Calls of each connection, for the rate
    #[bpaf(long, argument("N"), fallback(500))]
    pub calls_each: usize,
}

/// Calls that are made before anything is counted.
const WARM_UP: usize = 200;

/// Measures and prints the figures as JSON.
pub fn run(options: &PathOptions) -> Result<()> {
    async_std::task::block_on(measure(options))
}

async fn measure(options: &PathOptions) -> Result<()> {
    let mut site_options = SiteOptions { groups: 0, entries: 1, ..SiteOptions::default() };
    // Groups would take processor time with their steps.
    site_options.plain_targets = 3;
    let site = Site::start(&site_options).await?;
    let entry = site.entry_addresses()[0];
    let direct = site.servers["roster-0"].address;

    // Direct and through calls take turns, so that both see the same machine.
    let (mut straight, mut through) = (histogram(), histogram());
    let (direct_caller, entry_caller) = (caller(direct), caller(entry));

    for round in 0..options.calls + WARM_UP {
        let straight_took = timed(&direct_caller).await?;
        let through_took = timed(&entry_caller).await?;

        if round >= WARM_UP {
            straight.record(straight_took)?;
            through.record(through_took)?;
        }
    }

    let direct_rate = rate(direct, options).await?;
    let entry_rate = rate(entry, options).await?;
    let added = |at: f64| {
        let (through, straight) = (through.value_at_quantile(at), straight.value_at_quantile(at));
        (through as f64 - straight as f64) / 1e3
    };

    println!(
        "{}",
        json!({
            "calls": options.calls,
            "direct_us": quantiles(&straight),
            "through_us": quantiles(&through),
            "added_us": { "p50": added(0.5), "p99": added(0.99) },
            "requests_per_s": { "direct": direct_rate, "through": entry_rate },
            "rate_ratio": entry_rate / direct_rate,
            "connections": options.connections,
        })
    );
    site.stop().await;
    Ok(())
}

fn caller(address: SocketAddr) -> Caller {
    Caller::new(address, "northwind", "roster")
}

async fn timed(caller: &Caller) -> Result<u64> {
    let start = Instant::now();
    let answer = caller.get("/members/7").await?;
    anyhow::ensure!(answer.status == 200, "status {}: {}", answer.status, answer.text());

    Ok(start.elapsed().as_nanos() as u64)
}

async fn rate(address: SocketAddr, options: &PathOptions) -> Result<f64> {
    let start = Instant::now();
    let calls = options.calls_each;
    let workers: Vec<_> = (0..options.connections)
        .map(|_| {
            async_std::task::spawn(async move {
                let caller = caller(address);

                for _ in 0..calls {
                    timed(&caller).await?;
                }

                anyhow::Ok(())
            })
        })
        .collect();

    for worker in workers {
        worker.await?;
    }

    let total = (options.connections * calls) as f64;
    Ok(total / start.elapsed().as_secs_f64())
}

fn histogram() -> Histogram<u64> {
    let highest = Duration::from_secs(60).as_nanos() as u64;

    Histogram::new_with_bounds(1, highest, 3).expect("the bounds are valid")
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;

    json!({ "p50": at(0.5), "p95": at(0.95), "p99": at(0.99), "max": histogram.max() as f64 / 1e3 })
}
