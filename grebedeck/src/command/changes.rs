//! The commands `apply`, `get`, `diff` and `history`, which deal with the configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use grebedeck_config::{AcceptResult, Change, Document, LogEntry, Routes};
use grebedeck_core::Revision;
use serde_json::{Value, json};

use super::client::OperatorClient;
use super::{EXIT_REFUSED, EXIT_UNKNOWN};
use crate::operator::{ConfigView, InForce};

/// Timeout of `apply --wait`: the time within which a change must be in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(18);
/// Interval between the queries of `apply --wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Applies a change; returns the exit code.
pub async fn apply(
    operator: SocketAddr,
    file: &Path,
    dry_run: bool,
    wait: bool,
    as_json: bool,
) -> Result<u8> {
    let body = std::fs::read(file).with_context(|| file.display().to_string())?;
    let client = OperatorClient::new(operator);
    let answer = client.post(&format!("/config/changes?dry_run={dry_run}"), body).await?;
    let result: AcceptResult = answer.parse()?;

    if as_json {
        println!("{}", serde_json::to_string(&result)?);
    } else {
        print_result(&result, dry_run);
    }

    match result {
        AcceptResult::Accepted(revision) if wait && !dry_run => {
            wait_in_force(&client, revision, as_json).await
        }
        AcceptResult::Accepted(_) => Ok(0),
        AcceptResult::Refused(_) => Ok(EXIT_REFUSED),
        AcceptResult::Unknown => Ok(EXIT_UNKNOWN),
    }
}

fn print_result(result: &AcceptResult, dry_run: bool) {
    match result {
        AcceptResult::Accepted(revision) if dry_run => {
            println!("would be accepted on top of revision {revision}");
        }
        AcceptResult::Accepted(revision) => println!("accepted as revision {revision}"),
        AcceptResult::Refused(faults) => println!("refused, nothing changed:\n{faults}"),
        AcceptResult::Unknown => {
            println!("unknown: the store did not answer; apply the same file again to find out");
        }
    }
}

async fn wait_in_force(client: &OperatorClient, revision: Revision, as_json: bool) -> Result<u8> {
    let started = Instant::now();

    loop {
        let path = format!("/config/in-force?revision={revision}");
        let state: InForce = client.get(&path).await?.parse()?;
        let done = state.missing.is_empty();

        if done || started.elapsed() > WAIT_TIMEOUT {
            if as_json {
                println!("{}", serde_json::to_string(&state)?);
            } else if done {
                println!("in force in all {} live processes", state.confirmed);
            } else {
                println!("not yet in force in: {}", state.missing.join(", "));
            }

            return Ok(if done { 0 } else { EXIT_UNKNOWN });
        }

        async_std::task::sleep(POLL_INTERVAL).await;
    }
}

/// Prints the configuration in force, or one part of it.
pub async fn get(operator: SocketAddr, kind: Option<&str>, as_json: bool) -> Result<u8> {
    let view: ConfigView = OperatorClient::new(operator).get("/config").await?.parse()?;
    let document = serde_json::to_value(&view.document)?;

    let shown = match kind {
        None => document,
        Some(kind) => match document.get(kind) {
            Some(part) => part.clone(),
            None => bail!("kind: `{kind}`: one of targets, groups, organisations, selectors"),
        },
    };

    if as_json {
        println!("{}", json!({ "revision": view.revision, "config": shown }));
    } else {
        println!("revision {}\n{}", view.revision, serde_json::to_string_pretty(&shown)?);
    }

    Ok(0)
}

/// Prints which organisations would gain or lose targets by a change.
pub async fn diff(operator: SocketAddr, file: &Path, as_json: bool) -> Result<u8> {
    let view: ConfigView = OperatorClient::new(operator).get("/config").await?.parse()?;
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let change: Change = serde_json::from_str(&text).with_context(|| file.display().to_string())?;

    match change.check(&view.document) {
        Ok(next) => {
            print_diff(&compare(&view.document, &next), as_json);
            Ok(0)
        }
        Err(faults) => {
            println!("would be refused:\n{faults}");
            Ok(EXIT_REFUSED)
        }
    }
}

/// Targets gained and lost, by organisation and service.
type Difference = BTreeMap<String, (Vec<String>, Vec<String>)>;

fn compare(before: &Document, after: &Document) -> Difference {
    let (old, new) = (Routes::new(0, before), Routes::new(0, after));
    let services = services_of(before).chain(services_of(after));
    let services: std::collections::BTreeSet<String> = services.collect();
    let organisations = before.organisations.keys().chain(after.organisations.keys());
    let organisations: std::collections::BTreeSet<&String> = organisations.collect();
    let mut difference = Difference::new();

    for organisation in organisations {
        for service in &services {
            let previous = allowed_targets(&old, organisation, service);
            let next = allowed_targets(&new, organisation, service);
            let gains: Vec<_> = next.iter().filter(|n| !previous.contains(n)).cloned().collect();
            let losses: Vec<_> = previous.iter().filter(|n| !next.contains(n)).cloned().collect();

            if !gains.is_empty() || !losses.is_empty() {
                difference.insert(format!("{organisation} -> {service}"), (gains, losses));
            }
        }
    }

    difference
}

fn services_of(document: &Document) -> impl Iterator<Item = String> {
    document.targets.iter().filter_map(|(name, target)| {
        document.target_labels(name, target).get(grebedeck_config::document::SERVICE_LABEL).cloned()
    })
}

fn allowed_targets(routes: &Routes, organisation: &str, service: &str) -> Vec<String> {
    let allowed = routes.allowed(organisation, service);

    allowed.map(|a| a.iter().map(|r| r.name.clone()).collect()).unwrap_or_default()
}

fn print_diff(difference: &Difference, as_json: bool) {
    if as_json {
        let rows: Vec<Value> = difference
            .iter()
            .map(|(traffic, (gains, losses))| {
                json!({ "traffic": traffic, "gains": gains, "loses": losses })
            })
            .collect();
        println!("{}", json!(rows));
        return;
    }

    if difference.is_empty() {
        println!("no organisation gains or loses a target");
    }

    for (traffic, (gains, losses)) in difference {
        let gains = gains.iter().map(|n| format!("+{n}"));
        let losses = losses.iter().map(|n| format!("-{n}"));
        let all: Vec<String> = gains.chain(losses).collect();
        println!("{traffic}: {}", all.join(" "));
    }
}

/// Prints the last accepted changes, newest first.
pub async fn history(operator: SocketAddr, as_json: bool) -> Result<u8> {
    let answer = OperatorClient::new(operator).get("/config/history").await?;
    let entries: Vec<LogEntry> = answer.parse()?;

    if as_json {
        println!("{}", serde_json::to_string(&entries)?);
        return Ok(0);
    }

    for entry in entries {
        let change = &entry.change;
        println!(
            "{:>6}  {}  unix_ms={}  targets={} groups={} organisations={} selectors={}",
            entry.revision,
            change.id,
            entry.accepted_unix_ms,
            change.targets.len(),
            change.groups.len(),
            change.organisations.len(),
            change.selectors.len(),
        );
    }

    Ok(0)
}
