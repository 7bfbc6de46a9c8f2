//! The gateway: takes callers' requests and sends them straight to their targets.
//!
//! It is an entry for platforms whose targets name themselves, so that no agent has to stand between.
//! All of it runs on one thread: a gateway has a part of one core, and what it does for a request is
//! too little to be worth handing over.

pub mod attempt;
pub mod body;
pub mod caller;
pub mod options;
pub mod place;
pub mod pool;
pub mod ready;
pub mod request;
pub mod service;
pub mod stop;
pub mod stream;
pub mod watch;
pub mod whole;

use std::rc::Rc;

use async_executor::LocalExecutor;
use async_std::net::TcpListener;
use grebedeck_gateway::{HeaderNames, SiteStore};
use grebedeck_kernel::log;

use crate::process;
pub use options::GatewaySettings;
use service::Gateway;

/// Runs tasks on the thread that runs the process.
pub type Tasks = Rc<LocalExecutor<'static>>;

/// Runs a gateway until it is told to stop and nothing is in flight any more.
pub async fn run<S: SiteStore>(
    tasks: Tasks,
    mut settings: GatewaySettings,
    names: HeaderNames,
    store: S,
) -> anyhow::Result<()> {
    let caller_listener = process::bind(&mut settings.caller_address).await?;
    let ready_listener = process::bind(&mut settings.ready_address).await?;
    let gateway = Rc::new(Gateway::new(settings, names, tasks.clone()));

    log::info!("started", kv: {
        name = gateway.settings.name.as_str(),
        caller_address = gateway.settings.caller_address.to_string(),
    });
    tasks.spawn(watch::follow_site(gateway.clone(), store.clone())).detach();
    tasks.spawn(watch::follow_targets(gateway.clone(), store)).detach();
    tasks.spawn(ready::serve(gateway.clone(), ready_listener)).detach();
    tasks.spawn(accept(gateway.clone(), caller_listener)).detach();
    tasks.spawn(housekeeping(gateway.clone())).detach();

    stop::run_until_stopped(&gateway).await
}

/// Takes callers' connections until the process stops.
async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let served = caller::serve(gateway.clone(), stream);
                gateway.tasks.spawn(served).detach();
            }
            Err(error) => {
                log::warn!("accept failed", kv: { error = error.to_string() });
                async_std::task::sleep(options::ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Closes connections to targets that have rested for too long, and drops what has lapsed.
async fn housekeeping(gateway: Rc<Gateway>) {
    loop {
        async_std::task::sleep(options::HOUSEKEEPING_PERIOD).await;
        gateway.drop_lapsed();
        gateway.pool.drop_rested(gateway.now());
    }
}
