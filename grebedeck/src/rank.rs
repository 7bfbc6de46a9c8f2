//! The rank process: stands beside a rank of a model's group, reads its engine, and rolls placements of
//! experts out together with the processes beside the other ranks.
//!
//! The decisions are in `grebedeck-experts` ([`rollout`](grebedeck_experts::rollout),
//! [`Balancer`](grebedeck_experts::Balancer)); this module carries messages, orders and answers.
//! Messages are datagrams: each tells a state, so that a lost one is made good by the next.

pub mod balance;
pub mod calls;
pub mod counters;
pub mod dependency;
pub mod driver;
pub mod message;
pub mod obstacle;
pub mod options;
pub mod planning;
pub mod rested;
pub mod show;

use std::rc::Rc;

use async_executor::LocalExecutor;
use grebedeck_experts::RankEngine;
use grebedeck_gateway::SiteStore;
use grebedeck_kernel::log;

pub use options::RankSettings;
use rested::Rested;

/// Runs a rank process until it is told to stop.
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

    let engine = Rested::new(engine, settings.target_address);

    driver::Driver::try_new(tasks, settings, store, engine).await?.run().await
}
