//! The gateway: accepts callers' requests and sends them directly to targets.
//!
//! It replaces the entry on platforms whose targets register themselves, so no agent is needed in
//! between. It is single-threaded: a gateway has a fraction of one core, and the work per request
//! is too small to be worth handing to another thread.

pub mod assignment;
pub mod attempt;
pub mod buffer;
pub mod buffered;
pub mod caller;
pub mod cold;
pub mod counters;
pub mod datagrams;
pub mod dump;
pub mod enqueue;
pub mod gossip;
pub mod halls;
pub mod health;
pub mod history;
pub mod hold;
pub mod limits;
pub mod mechanism;
pub mod options;
pub mod pace;
pub mod peers;
pub mod pool;
pub mod prompts;
pub mod queues;
pub mod quota;
pub mod refusing;
pub mod relay;
pub mod reload;
pub mod request;
pub mod response;
pub mod retries;
pub mod service;
pub mod slot;
pub mod starts;
pub mod stop;
pub mod stream;
pub mod suspects;
pub mod timing;
pub mod trace;
pub mod watch;
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

/// Executor of the process's only thread.
pub type Tasks = Rc<LocalExecutor<'static>>;

/// Runs a gateway until it is told to stop and no request is in flight, or the stop limit passes.
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

/// Starts a gateway; it is listening when this returns and runs as long as the tasks do.
pub async fn start<S: SiteStore>(
    tasks: Tasks,
    mut settings: GatewaySettings,
    names: HeaderNames,
    store: S,
) -> anyhow::Result<Rc<Gateway>> {
    let caller_listener = process::bind(&mut settings.caller_address).await?;
    limit_accepted_buffers(&caller_listener, options::SOCKET_BUFFER_BYTES)?;
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
    tasks.spawn(gossip::persist_quarantine(gateway.clone(), store.clone())).detach();
    tasks.spawn(peers::follow_gateways(gateway.clone(), store)).detach();
    tasks.spawn(datagrams::receive(gateway.clone(), socket.clone())).detach();
    tasks.spawn(datagrams::subscribe(gateway.clone(), socket.clone())).detach();
    tasks.spawn(gossip::exchange_reports(gateway.clone(), socket.clone())).detach();
    tasks.spawn(quota::exchange_permits(gateway.clone(), socket)).detach();
    tasks.spawn(peers::poll_peers(gateway.clone())).detach();
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

/// Serves one of the process's internal ports.
fn serve_pages(
    gateway: &Rc<Gateway>,
    listener: TcpListener,
    answer: impl AsyncFn(&Gateway, &RequestHead) -> Page + Clone + 'static,
) {
    let shared = gateway.clone();
    let answer = async move |request: &RequestHead| answer(&shared, request).await;

    gateway.tasks.spawn(pages::serve(gateway.tasks.clone(), listener, answer)).detach();
}

/// Accepts callers' connections until the process ends.
async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        // Connections beyond the limit wait in the listener's backlog.
        if gateway.stop.connections() >= gateway.settings().max_callers {
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

/// Periodically closes idle connections to targets and removes expired state.
async fn housekeeping(gateway: Rc<Gateway>) {
    loop {
        async_std::task::sleep(options::HOUSEKEEPING_PERIOD).await;
        gateway.remove_lapsed_targets();
        gateway.log_suppressed_traces();
        gateway.remove_warm();
        gateway.remove_expired_limits();
        gateway.refusals.borrow_mut().remove_expired(gateway.now());
        gateway.quarantine.borrow_mut().evict_expired(gateway.now());
        gateway.pool.close_expired(gateway.now());
    }
}
