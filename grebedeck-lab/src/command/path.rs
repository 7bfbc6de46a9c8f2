//! The `path` command: measures the latency that an entry and an agent add to a call, and the
//! request rate of one entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::caller::Caller;
use crate::site::{Site, SiteOptions};

/// Options of the `path` command.
#[derive(Clone, Debug, Bpaf)]
pub struct PathOptions {
    /// Number of consecutive calls, for the latency
    #[bpaf(long, argument("N"), fallback(5_000))]
    pub calls: usize,
    /// Number of concurrent connections, for the rate
    #[bpaf(long, argument("N"), fallback(64))]
    pub connections: usize,
    /// Number of calls on each connection, for the rate
    #[bpaf(long, argument("N"), fallback(500))]
    pub calls_each: usize,
}

/// Calls before the first one that is recorded.
const WARM_UP_CALLS: usize = 200;

/// Measures latency and rate, and prints the figures as JSON.
pub fn run(options: &PathOptions) -> Result<()> {
    async_std::task::block_on(measure(options))
}

async fn measure(options: &PathOptions) -> Result<()> {
    let mut site_options = SiteOptions { groups: 0, entries: 1, ..SiteOptions::default() };
    // No groups: their steps would take processor time from the calls.
    site_options.plain_targets = 3;
    let site = Site::start(&site_options).await?;
    let entry = site.entry_addresses()[0];
    let direct = site.servers["roster-0"].address;

    // Direct and proxied calls alternate, so that the load of the machine affects both alike.
    let (mut direct_times, mut proxied_times) = (histogram(), histogram());
    let (direct_caller, entry_caller) = (caller(direct), caller(entry));

    for round in 0..options.calls + WARM_UP_CALLS {
        let direct_ns = call_time_ns(&direct_caller).await?;
        let proxied_ns = call_time_ns(&entry_caller).await?;

        if round >= WARM_UP_CALLS {
            direct_times.record(direct_ns)?;
            proxied_times.record(proxied_ns)?;
        }
    }

    let direct_rate = rate(direct, options).await?;
    let proxied_rate = rate(entry, options).await?;
    let added = |at: f64| {
        let (proxied_ns, direct_ns) =
            (proxied_times.value_at_quantile(at), direct_times.value_at_quantile(at));
        (proxied_ns as f64 - direct_ns as f64) / 1e3
    };

    println!(
        "{}",
        json!({
            "calls": options.calls,
            "direct_us": quantiles(&direct_times),
            "through_us": quantiles(&proxied_times),
            "added_us": { "p50": added(0.5), "p99": added(0.99) },
            "requests_per_s": { "direct": direct_rate, "through": proxied_rate },
            "rate_ratio": proxied_rate / direct_rate,
            "connections": options.connections,
        })
    );
    site.stop().await;
    Ok(())
}

fn caller(address: SocketAddr) -> Caller {
    Caller::new(address, "northwind", "roster")
}

async fn call_time_ns(caller: &Caller) -> Result<u64> {
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
                    call_time_ns(&caller).await?;
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
