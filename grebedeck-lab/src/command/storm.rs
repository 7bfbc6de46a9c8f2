//! Many requests to a fleet whose processes are killed and frozen, and a check of every promise.
//!
//! Each request names its run, and the target counts the runs that it made. What callers were told
//! is compared with what was run. `scripts/storm.sh` starts the processes and does the killing.

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

/// What to send.
#[derive(Clone, Debug, Bpaf)]
pub struct StormOptions {
    /// Directory of the fleet's settings
    #[bpaf(long, argument("DIR"))]
    pub dir: PathBuf,
    /// Requests
    #[bpaf(long, argument("N"), fallback(20_000))]
    pub requests: u64,
    /// Callers at the same time
    #[bpaf(long, argument("N"), fallback(64))]
    pub callers: usize,
    /// Let callers repeat what must run once, to show that the check notices
    pub break_callers: bool,
    /// Seed of the requests
    #[bpaf(long, argument("SEED"), fallback(1))]
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Repeatable,
    NotRepeatable,
    Keyed,
}

/// What a caller was told of one run, over all of its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Done,
    NotRun,
    Unknown,
}

struct Record {
    run: String,
    kind: Kind,
    told: Told,
    wrong_body: bool,
}

/// Longest time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// Tries of a caller with a key.
const KEYED_TRIES: u32 = 3;
/// Wait before a caller with a key tries again.
const KEYED_WAIT: Duration = Duration::from_millis(300);

/// Sends the requests, checks the promises and prints the figures; a broken promise is an error.
pub fn run(options: &StormOptions) -> Result<()> {
    async_std::task::block_on(async {
        let fleet = Fleet::try_new(&options.dir)?;
        fleet.wait_until_up().await?;
        let first = fleet.apply(&fleet.first_change(10)).await?;
        fleet.wait_in_force(first).await?;
        // Keys must be younger than the first revision by the time in which it spreads.
        async_std::task::sleep(Duration::from_secs(5)).await;

        let start = Instant::now();
        let records = send_all(options, &fleet.caller_addresses()).await;
        let took_s = start.elapsed().as_secs_f64();
        let runs = read_runs(fleet.target_address()).await?;

        report(&records, &runs, took_s)
    })
}

async fn send_all(options: &StormOptions, entries: &[SocketAddr]) -> Vec<Record> {
    let next = Arc::new(AtomicU64::new(0));
    let workers: Vec<_> = (0..options.callers)
        .map(|worker| {
            let (next, entries, total) = (next.clone(), entries.to_vec(), options.requests);
            let break_callers = options.break_callers;
            let mut random = SeededSource::new(options.seed + worker as u64);

            async_std::task::spawn(async move {
                let mut records = Vec::new();

                while next.fetch_add(1, Ordering::Relaxed) < total {
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
) -> Record {
    let kind = match random.below(10) {
        0..=3 => Kind::Repeatable,
        4..=6 => Kind::NotRepeatable,
        _ => Kind::Keyed,
    };
    let issued = unix_ms();
    let repeats = kind == Kind::Keyed || (break_callers && kind == Kind::NotRepeatable);
    let tries = if repeats { KEYED_TRIES } else { 1 };
    let mut told = Told::NotRun;
    let mut wrong_body = false;

    for attempt in 0..tries {
        if attempt > 0 {
            async_std::task::sleep(KEYED_WAIT).await;
        }

        let entry = entries[random.below(entries.len())];
        let delay_ms = random.below(40);
        let body = format!("{run} ").repeat(1 + random.below(200));
        let answer = call(entry, &run, kind, issued, delay_ms, &body).await;

        match answer.map(|a| (a.outcome.clone(), a)) {
            Some((outcome, answer)) if outcome == "done" && answer.status == 200 => {
                wrong_body |= answer.text().split_once('\n').is_none_or(|(_, echo)| echo != body);
                told = Told::Done;
                break;
            }
            Some((outcome, _)) if outcome == "not-run" || outcome == "refused" => {}
            _ => told = Told::Unknown,
        }
    }

    Record { run, kind, told, wrong_body }
}

async fn call(
    entry: SocketAddr,
    run: &str,
    kind: Kind,
    issued: u64,
    delay_ms: usize,
    body: &str,
) -> Option<CallerAnswer> {
    let caller = Caller::new(entry, "org-0", "roster");
    let method = if kind == Kind::Repeatable { Method::Put } else { Method::Post };
    let mut request = caller.request(method, &format!("/grants?delay_ms={delay_ms}"));
    request.insert_header(RUN_HEADER, run);

    if kind == Kind::Keyed {
        request.insert_header("idempotency-key", run);
        request.insert_header("idempotency-issued-ms", issued.to_string());
    }

    request.set_body(body);
    async_std::future::timeout(PATIENCE, caller.send(request)).await.ok()?.ok()
}

async fn read_runs(target: SocketAddr) -> Result<HashMap<String, u32>> {
    let answer = Caller::new(target, "", "").get(RUNS_PATH).await.context("the target's runs")?;

    Ok(serde_json::from_slice(&answer.body)?)
}

fn report(records: &[Record], runs: &HashMap<String, u32>, took_s: f64) -> Result<()> {
    let ran = |r: &Record| runs.get(&r.run).copied().unwrap_or(0);
    let count = |test: &dyn Fn(&Record) -> bool| records.iter().filter(|r| test(r)).count();
    let once = |r: &Record| r.kind != Kind::Repeatable;

    let broken = BTreeMap::from([
        ("second runs", count(&|r| once(r) && ran(r) > 1)),
        ("false 'not run'", count(&|r| r.told == Told::NotRun && ran(r) > 0)),
        ("'done' without a run", count(&|r| r.told == Told::Done && ran(r) == 0)),
        ("answers of another request", count(&|r| r.wrong_body)),
    ]);

    println!(
        "{}",
        json!({
            "requests": records.len(),
            "seconds": took_s,
            "done": count(&|r| r.told == Told::Done),
            "not_run": count(&|r| r.told == Told::NotRun),
            "unknown": count(&|r| r.told == Told::Unknown),
            "unknown_that_ran": count(&|r| r.told == Told::Unknown && ran(r) > 0),
            "keyed": count(&|r| r.kind == Kind::Keyed),
            "not_repeatable": count(&|r| r.kind == Kind::NotRepeatable),
            "broken": broken,
        })
    );

    if broken.values().any(|n| *n > 0) {
        bail!("a promise was broken");
    }

    Ok(())
}
