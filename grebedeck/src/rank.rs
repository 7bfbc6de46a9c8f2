//! The rank process, which runs beside one rank of a model's group. It reads the rank's engine and
//! rolls out placements of experts together with the rank processes beside the other ranks.
//!
//! The decisions are made in `grebedeck-experts` ([`rollout`](grebedeck_experts::rollout),
//! [`Balancer`](grebedeck_experts::Balancer)); this module does the I/O: messages, orders to
//! engines and their responses. Messages are datagrams. Each carries the sender's state, so the
//! next one makes up for a lost one.

pub mod balance;
pub mod calls;
pub mod counters;
pub mod delay;
pub mod dependency;
pub mod diagnostics;
pub mod driver;
pub mod message;
pub mod obstacle;
pub mod options;
pub mod planning;

use std::rc::Rc;

use async_executor::LocalExecutor;
use grebedeck_experts::RankEngine;
use grebedeck_gateway::SiteStore;
use grebedeck_kernel::log;

use delay::RetryAfterEngine;
pub use options::RankSettings;

/// Runs a rank process until it receives a stop signal.
pub async fn run<S: SiteStore, E: RankEngine>(
    tasks: Rc<LocalExecutor<'static>>,
    settings: RankSettings,
    store: S,
    engine: E,
) -> anyhow::Result<()> {
    log::info!("started", kv: {
        name = settings.name.as_str(),
        target_address = settings.target_address.to_string(),
    });

    let engine = RetryAfterEngine::new(engine, settings.target_address);

    driver::Driver::try_new(tasks, settings, store, engine).await?.run().await
}
