//! The gateway: takes callers' requests and sends them straight to their targets.
//!
//! It is an entry for platforms whose targets name themselves, so that no agent has to stand between.
//! All of it runs on one thread: a gateway has a part of one core, and what it does for a request is
//! too little to be worth handing over.

pub mod attempt;
pub mod buffer;
pub mod caller;
pub mod cold;
pub mod counters;
pub mod dump;
pub mod entering;
pub mod gossip;
pub mod halls;
pub mod handout;
pub mod health;
pub mod hold;
pub mod limits;
pub mod loads;
pub mod mechanism;
pub mod opened;
pub mod options;
pub mod pace;
pub mod peers;
pub mod place;
pub mod pool;
pub mod prompts;
pub mod quota;
pub mod refusing;
pub mod relay;
pub mod reload;
pub mod request;
pub mod service;
pub mod starts;
pub mod stop;
pub mod stream;
pub mod suspects;
pub mod tempo;
pub mod trace;
pub mod tried;
pub mod waiting;
pub mod watch;
pub mod whole;
pub mod writer;

use std::path::Path;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_std::net::{TcpListener, UdpSocket};
use grebedeck_gateway::{HeaderNames, SiteStore};
use grebedeck_http::RequestHead;
use grebedeck_http::connection::limit_accepted_buffers;
use grebedeck_kernel::log;

use crate::pages::{self, ACCEPT_PAUSE, Page};
use crate::process;
pub use options::GatewaySettings;
use relay::RelayedStore;

pub use service::Gateway;

/// Runs tasks on the thread that runs the process.
pub type Tasks = Rc<LocalExecutor<'static>>;

/// Runs a gateway until it is told to stop and nothing is in flight any more.
pub async fn run<S: SiteStore>(
    tasks: Tasks,
    file: &Path,
    settings: GatewaySettings,
    names: HeaderNames,
    store: S,
) -> anyhow::Result<()> {
    let gateway = start(tasks.clone(), settings, names, store).await?;
    tasks.spawn(reload::follow_file(gateway.clone(), file.to_path_buf())).detach();

    stop::run_until_stopped(&gateway, file).await
}

/// Starts a gateway; it listens when this returns, and runs as long as the tasks do.
pub async fn start<S: SiteStore>(
    tasks: Tasks,
    mut settings: GatewaySettings,
    names: HeaderNames,
    store: S,
) -> anyhow::Result<Rc<Gateway>> {
    let caller_listener = process::bind(&mut settings.caller_address).await?;
    limit_accepted_buffers(&caller_listener, options::UNREAD_BYTES)?;
    let ready_listener = process::bind(&mut settings.ready_address).await?;
    let peer_listener = process::bind(&mut settings.peer_address).await?;
    let metrics_listener = process::bind(&mut settings.metrics_address).await?;
    let socket = Rc::new(UdpSocket::bind((settings.ip, settings.group_port)).await?);
    let gateway = Rc::new(Gateway::new(settings, names, tasks.clone()));

    log::info!("started", kv: {
        name = gateway.settings().name.as_str(),
        hall = gateway.settings().hall.as_str(),
        caller_address = gateway.settings().caller_address.to_string(),
    });
    let store = RelayedStore::new(gateway.clone(), store);
    tasks.spawn(watch::follow_operator(gateway.clone(), store.clone())).detach();
    tasks.spawn(watch::follow_targets(gateway.clone(), store.clone())).detach();
    tasks.spawn(gossip::keep(gateway.clone(), store.clone())).detach();
    tasks.spawn(peers::follow_list(gateway.clone(), store)).detach();
    tasks.spawn(loads::receive(gateway.clone(), socket.clone())).detach();
    tasks.spawn(loads::subscribe(gateway.clone(), socket.clone())).detach();
    tasks.spawn(gossip::follow(gateway.clone(), socket.clone())).detach();
    tasks.spawn(quota::exchange(gateway.clone(), socket)).detach();
    tasks.spawn(peers::follow_peers(gateway.clone())).detach();
    serve_pages(&gateway, ready_listener, async |gateway, _| {
        Page::empty(if gateway.is_ready() { 200 } else { 503 })
    });
    serve_pages(&gateway, peer_listener, peers::answer);
    serve_pages(&gateway, metrics_listener, async |gateway, request| match request.path() {
        "/metrics" => Page::text(gateway.metrics.text()),
        "/dump" => Page::json(&gateway.dump()),
        _ => Page::empty(404),
    });
    tasks.spawn(accept(gateway.clone(), caller_listener)).detach();
    tasks.spawn(housekeeping(gateway.clone())).detach();

    Ok(gateway)
}

/// Answers on one of the process's other ports.
fn serve_pages(
    gateway: &Rc<Gateway>,
    listener: TcpListener,
    answer: impl AsyncFn(&Gateway, &RequestHead) -> Page + Clone + 'static,
) {
    let shared = gateway.clone();
    let answer = async move |request: &RequestHead| answer(&shared, request).await;

    gateway.tasks.spawn(pages::serve(gateway.tasks.clone(), listener, answer)).detach();
}

/// Takes callers' connections until the process stops.
async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        // Whoever comes beyond that waits in the listener's queue.
        if gateway.stop.callers() >= gateway.settings().max_callers {
            async_std::task::sleep(ACCEPT_PAUSE).await;
            continue;
        }

        match listener.accept().await {
            Ok((stream, _)) => {
                let served = caller::serve(gateway.clone(), stream);
                gateway.tasks.spawn(served).detach();
            }
            Err(error) => {
                log::warn!("accept failed", kv: { error = error.to_string() });
                async_std::task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Closes connections to targets that have rested for too long, and drops what has lapsed.
async fn housekeeping(gateway: Rc<Gateway>) {
    loop {
        async_std::task::sleep(options::HOUSEKEEPING_PERIOD).await;
        gateway.drop_lapsed();
        gateway.log_left_out();
        gateway.forget_warm();
        gateway.forget_limits();
        gateway.refusals.borrow_mut().remove_expired(gateway.now());
        gateway.quarantine.borrow_mut().evict_expired(gateway.now());
        gateway.pool.drop_rested(gateway.now());
    }
}
