//! The `storm` command: sends requests to a fleet whose processes are killed and frozen, and checks
//! the execution guarantees.
//!
//! Each request carries a run ID, and the target counts its executions per ID. The outcomes that
//! callers received are compared with these counts. `scripts/storm.sh` starts the processes and
//! injects the faults.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use grebedeck_core::RandomSource;
use grebedeck_core::random::SeededSource;
use grebedeck_core::time::unix_ms;
use http_types::Method;
use serde_json::json;

use super::fleet::Fleet;
use crate::caller::{Caller, CallerAnswer};
use crate::plain::{RUN_HEADER, RUNS_PATH};

/// Options of the `storm` command.
#[derive(Clone, Debug, Bpaf)]
pub struct StormOptions {
    /// Directory of the fleet's settings
    #[bpaf(long, argument("DIR"))]
    pub dir: PathBuf,
    /// Number of requests
    #[bpaf(long, argument("N"), fallback(20_000))]
    pub requests: u64,
    /// Number of concurrent callers
    #[bpaf(long, argument("N"), fallback(64))]
    pub callers: usize,
    /// Let callers retry non-repeatable requests without a key, to show that the check detects it
    pub break_callers: bool,
    /// Seed of the requests
    #[bpaf(long, argument("SEED"), fallback(1))]
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Repeatable,
    NotRepeatable,
    Keyed,
}

/// Outcome of one run for its caller, over all attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Done,
    NotRun,
    Unknown,
}

struct RunRecord {
    run: String,
    kind: RequestKind,
    outcome: Outcome,
    has_wrong_body: bool,
}

/// Time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of attempts of a caller with an idempotency key.
const KEYED_ATTEMPTS: u32 = 3;
/// Delay before a caller with an idempotency key retries.
const KEYED_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Sends the requests, checks the guarantees and prints the figures.
///
/// A violated guarantee is an error.
pub fn run(options: &StormOptions) -> Result<()> {
    async_std::task::block_on(async {
        let fleet = Fleet::try_new(&options.dir)?;
        fleet.wait_until_up().await?;
        let first = fleet.apply(&fleet.first_change(10)).await?;
        fleet.wait_in_force(first).await?;
        // A key must be issued later than the first revision by more than the time in which a
        // revision takes effect everywhere.
        async_std::task::sleep(Duration::from_secs(5)).await;

        let start = Instant::now();
        let records = send_all(options, &fleet.caller_addresses()).await;
        let elapsed_s = start.elapsed().as_secs_f64();
        let runs = read_runs(fleet.target_address()).await?;

        report(&records, &runs, elapsed_s)
    })
}

async fn send_all(options: &StormOptions, entries: &[SocketAddr]) -> Vec<RunRecord> {
    let started = Arc::new(AtomicU64::new(0));
    let workers: Vec<_> = (0..options.callers)
        .map(|worker| {
            let (started, entries, total) = (started.clone(), entries.to_vec(), options.requests);
            let break_callers = options.break_callers;
            let mut random = SeededSource::new(options.seed + worker as u64);

            async_std::task::spawn(async move {
                let mut records = Vec::new();

                while started.fetch_add(1, Ordering::Relaxed) < total {
                    let run = format!("run-{worker}-{}", records.len());
                    records.push(send_one(&entries, run, break_callers, &mut random).await);
                }

                records
            })
        })
        .collect();

    futures::future::join_all(workers).await.into_iter().flatten().collect()
}

async fn send_one(
    entries: &[SocketAddr],
    run: String,
    break_callers: bool,
    random: &mut SeededSource,
) -> RunRecord {
    let kind = match random.below(10) {
        0..=3 => RequestKind::Repeatable,
        4..=6 => RequestKind::NotRepeatable,
        _ => RequestKind::Keyed,
    };
    let issued_unix_ms = unix_ms();
    let can_retry =
        kind == RequestKind::Keyed || (break_callers && kind == RequestKind::NotRepeatable);
    let attempts = if can_retry { KEYED_ATTEMPTS } else { 1 };
    let mut outcome = Outcome::NotRun;
    let mut has_wrong_body = false;

    for attempt in 0..attempts {
        if attempt > 0 {
            async_std::task::sleep(KEYED_RETRY_DELAY).await;
        }

        let entry = entries[random.below(entries.len())];
        let delay_ms = random.below(40);
        let body = format!("{run} ").repeat(1 + random.below(200));
        let answer = call(entry, &run, kind, issued_unix_ms, delay_ms, &body).await;

        match answer.map(|a| (a.outcome.clone(), a)) {
            Some((answered, answer)) if answered == "done" && answer.status == 200 => {
                has_wrong_body |=
                    answer.text().split_once('\n').is_none_or(|(_, echo)| echo != body);
                outcome = Outcome::Done;
                break;
            }
            Some((answered, _)) if answered == "not-run" || answered == "refused" => {}
            _ => outcome = Outcome::Unknown,
        }
    }

    RunRecord { run, kind, outcome, has_wrong_body }
}

async fn call(
    entry: SocketAddr,
    run: &str,
    kind: RequestKind,
    issued_unix_ms: u64,
    delay_ms: usize,
    body: &str,
) -> Option<CallerAnswer> {
    let caller = Caller::new(entry, "org-0", "roster");
    let method = if kind == RequestKind::Repeatable { Method::Put } else { Method::Post };
    let mut request = caller.request(method, &format!("/grants?delay_ms={delay_ms}"));
    request.insert_header(RUN_HEADER, run);

    if kind == RequestKind::Keyed {
        request.insert_header("idempotency-key", run);
        request.insert_header("idempotency-issued-ms", issued_unix_ms.to_string());
    }

    request.set_body(body);
    async_std::future::timeout(ANSWER_TIMEOUT, caller.send(request)).await.ok()?.ok()
}

async fn read_runs(target: SocketAddr) -> Result<HashMap<String, u32>> {
    let answer =
        Caller::new(target, "", "").get(RUNS_PATH).await.context("read the target's run counts")?;

    Ok(serde_json::from_slice(&answer.body)?)
}

fn report(records: &[RunRecord], runs: &HashMap<String, u32>, elapsed_s: f64) -> Result<()> {
    let run_count = |r: &RunRecord| runs.get(&r.run).copied().unwrap_or(0);
    let count = |test: &dyn Fn(&RunRecord) -> bool| records.iter().filter(|r| test(r)).count();
    let runs_at_most_once = |r: &RunRecord| r.kind != RequestKind::Repeatable;

    let violations = BTreeMap::from([
        ("second runs", count(&|r| runs_at_most_once(r) && run_count(r) > 1)),
        ("false 'not run'", count(&|r| r.outcome == Outcome::NotRun && run_count(r) > 0)),
        ("'done' without a run", count(&|r| r.outcome == Outcome::Done && run_count(r) == 0)),
        ("answers of another request", count(&|r| r.has_wrong_body)),
    ]);

    println!(
        "{}",
        json!({
            "requests": records.len(),
            "seconds": elapsed_s,
            "done": count(&|r| r.outcome == Outcome::Done),
            "not_run": count(&|r| r.outcome == Outcome::NotRun),
            "unknown": count(&|r| r.outcome == Outcome::Unknown),
            "unknown_that_ran": count(&|r| r.outcome == Outcome::Unknown && run_count(r) > 0),
            "keyed": count(&|r| r.kind == RequestKind::Keyed),
            "not_repeatable": count(&|r| r.kind == RequestKind::NotRepeatable),
            "broken": violations,
        })
    );

    if violations.values().any(|n| *n > 0) {
        bail!("at least one guarantee was violated");
    }

    Ok(())
}
