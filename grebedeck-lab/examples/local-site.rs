//! Runs a complete site on loopback to try out grebedeck.

use std::time::Duration;

use anyhow::Result;
use bpaf::Bpaf;
use grebedeck_lab::site::{Site, SiteOptions};
use serde_json::json;

/// Run a complete site on loopback until Ctrl-C.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Port of the first entry; further entries use the ports after it (default: any free ports)
    #[bpaf(long, argument("PORT"), fallback(0))]
    entry_port: u16,
    /// Operator port of the first entry (default: any free port)
    #[bpaf(long, argument("PORT"), fallback(0))]
    operator_port: u16,
    /// Seed of the stand-ins
    #[bpaf(long, argument("SEED"), fallback(1))]
    seed: u64,
    /// Write the processes' log lines to standard error
    verbose: bool,
}

fn main() -> Result<()> {
    async_std::task::block_on(run(options().run()))
}

async fn run(options: Options) -> Result<()> {
    let level = if options.verbose { spdlog::Level::Info } else { spdlog::Level::Error };
    grebedeck_kernel::log::start(level)?;

    let site = Site::start(&SiteOptions {
        entry_port: options.entry_port,
        operator_port: options.operator_port,
        seed: options.seed,
        ..SiteOptions::default()
    })
    .await?;

    let entries = site.entry_addresses();
    let operator = site.operator_address();
    println!(
        "{}",
        json!({
            "ready": true,
            "entries": entries,
            "operator": operator,
            "organisations": ["northwind", "fabrikam", "contoso"],
        })
    );
    print_examples(entries[0], operator);

    grebedeck::stop::wait_for_signal().await?;
    eprintln!("stopping");

    // An endless stream of a caller must not keep the site from stopping.
    let _ = async_std::future::timeout(Duration::from_secs(15), site.stop()).await;
    Ok(())
}

fn print_examples(entry: std::net::SocketAddr, operator: std::net::SocketAddr) {
    println!(
        "
# Streamed answer from a model group, one event per step:
curl -N -H 'grebedeck-organisation: northwind' -H 'grebedeck-service: summary' 'http://{entry}/generate?tokens=20'

# Single answer from a plain target:
curl -i -H 'grebedeck-organisation: contoso' -H 'grebedeck-service: roster' http://{entry}/members/7

# contoso has no access to the model; a changed selector gives it access:
curl -i -H 'grebedeck-organisation: contoso' -H 'grebedeck-service: summary' http://{entry}/generate
cargo run --release --bin grebedeck -- apply --operator {operator} -f docs/examples/let-bronze-in.json --wait
curl -N -H 'grebedeck-organisation: contoso' -H 'grebedeck-service: summary' http://{entry}/generate

# State of the first entry:
cargo run --release --bin grebedeck -- dump --operator {operator}

# Ctrl-C stops the site."
    );
}
