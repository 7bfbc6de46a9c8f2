//! The `grebedeck` program.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Result;
use grebedeck::agent::Agent;
use grebedeck::command::client::OperatorClient;
use grebedeck::command::{Command, EXIT_REFUSED, EXIT_UNKNOWN, changes, explain, options};
use grebedeck::entry::Entry;
use grebedeck::gateway::{self, GatewaySettings};
use grebedeck::rank::{self, RankSettings};
use grebedeck::settings::{self, AgentSettings, EntrySettings, millis};
use grebedeck::stop;
use grebedeck_kernel::Kernel;
use grebedeck_platform::{Engine, HEADER_NAMES, Store};

fn main() -> ExitCode {
    let command = options().run();

    // The reactor of this thread is enough for a gateway, which is single-threaded; async-std's
    // block_on would start its thread pool.
    match async_io::block_on(run(command)) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_UNKNOWN)
        }
    }
}

async fn run(command: Command) -> Result<u8> {
    match command {
        Command::Gateway { settings } => run_gateway(&settings).await,
        Command::Entry { settings } => run_entry(&settings).await,
        Command::Agent { settings } => run_agent(&settings).await,
        Command::Rank { settings } => run_rank(&settings).await,
        Command::Explain { id, files } => {
            print!("{}", explain::explain(&id, &files)?);
            Ok(0)
        }
        Command::Apply { operator, file, dry_run, wait, json } => {
            changes::apply(operator, &file, dry_run, wait, json).await
        }
        Command::Get { operator, json, kind } => {
            changes::get(operator, kind.as_deref(), json).await
        }
        Command::Diff { operator, file, json } => changes::diff(operator, &file, json).await,
        Command::History { operator, json } => changes::history(operator, json).await,
        Command::Dump { operator } => {
            let answer = OperatorClient::new(operator).get("/dump").await?;
            let dump: serde_json::Value = answer.parse()?;
            println!("{}", serde_json::to_string_pretty(&dump)?);
            Ok(0)
        }
        Command::CheckSettings { role, file } => check_settings(&role, &file),
    }
}

async fn run_entry(file: &Path) -> Result<u8> {
    let settings: EntrySettings = settings::read(file)?;
    init_process()?;
    let limit_ms = settings.common.drain_limit_ms;
    let entry = Entry::try_new(settings).await?;

    run_until_stopped(&entry.kernel, limit_ms).await
}

async fn run_agent(file: &Path) -> Result<u8> {
    let settings: AgentSettings = settings::read(file)?;
    init_process()?;
    let limit_ms = settings.common.drain_limit_ms;
    let agent = Agent::try_new(settings).await?;

    run_until_stopped(&agent.kernel, limit_ms).await
}

async fn run_gateway(file: &Path) -> Result<u8> {
    let settings: GatewaySettings = settings::read(file)?;
    init_process()?;
    let store = Store::new(settings.store_address, millis(settings.store_limit_ms));
    let tasks = gateway::Tasks::default();

    let result = tasks.run(gateway::run(tasks.clone(), file, settings, HEADER_NAMES, store)).await;
    grebedeck_kernel::log::finish();
    result?;
    Ok(0)
}

async fn run_rank(file: &Path) -> Result<u8> {
    let settings: RankSettings = settings::read(file)?;
    init_process()?;
    let store = Store::new(settings.store_address, millis(settings.store_limit_ms));
    let engine = Engine::new(settings.target_address, rank::options::ENGINE_TIMEOUT);
    let tasks = gateway::Tasks::default();

    let result = tasks.run(rank::run(tasks.clone(), settings, store, engine)).await;
    grebedeck_kernel::log::finish();
    result?;
    Ok(0)
}

/// Starts logging and sets up the abort on panic.
fn init_process() -> Result<()> {
    grebedeck_kernel::log::start(spdlog::Level::Info)?;
    abort_on_panic();

    Ok(())
}

/// Waits for a signal to stop, then until no work is in flight; returns the exit code.
async fn run_until_stopped(kernel: &Kernel, drain_limit_ms: u64) -> Result<u8> {
    stop::wait_for_signal().await?;
    let is_drained = stop::drain(kernel, millis(drain_limit_ms)).await;

    Ok(if is_drained { 0 } else { EXIT_UNKNOWN })
}

/// Makes a panic in any task abort the process. Only broken invariants panic, and the process must
/// not continue with its invariants broken.
fn abort_on_panic() {
    let default_hook = std::panic::take_hook();

    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::abort();
    }));
}

fn check_settings(role: &str, file: &Path) -> Result<u8> {
    let checked = match role {
        "entry" => settings::read::<EntrySettings>(file).map(|_| ()),
        "agent" => settings::read::<AgentSettings>(file).map(|_| ()),
        "gateway" => settings::read::<GatewaySettings>(file).map(|_| ()),
        "rank" => settings::read::<RankSettings>(file).map(|_| ()),
        other => {
            anyhow::bail!("role: `{other}`: expected entry, agent, gateway or rank");
        }
    };

    match checked {
        Ok(()) => {
            println!("{}: no faults", file.display());
            Ok(0)
        }
        Err(error) => {
            println!("{error:#}");
            Ok(EXIT_REFUSED)
        }
    }
}
