//! The listeners and services that entries and agents have in common.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task::JoinHandle;
use grebedeck_core::Incarnation;
use grebedeck_kernel::{Clock, Kernel, Metrics};
use grebedeck_net::listen;
use grebedeck_net::platform::{HttpInstances, HttpTable, Role};

use crate::agent::AgentService;
use crate::agent::group::GroupService;
use crate::config::store::ConfigStore;
use crate::config::sync::{ConfigSync, Members};
use crate::config::{self, ConfigService};
use crate::directory::{self, Directory};
use crate::entry::suspects::Suspects;
use crate::message::{PROTOCOL_VERSION, PeerHello};
use crate::operator::{OperatorApi, serve_operator};
use crate::peer::PeerHandler;
use crate::settings::{CommonSettings, millis};
use crate::wire;

/// Listeners and services of a process, before its tasks start.
pub struct Process {
    /// Services of the process.
    pub kernel: Kernel,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Clock of the process.
    pub clock: Clock,
    /// Incarnation of the process, which is new with each start.
    pub incarnation: Incarnation,
    role: Role,
    settings: CommonSettings,
    peer_listener: TcpListener,
    operator_listener: TcpListener,
    config: Arc<ConfigService>,
    /// Instances that the platform lists.
    pub members: Arc<Members>,
    /// Links to peers.
    pub directory: Arc<Directory>,
}

/// Services that only some roles have.
#[derive(Default)]
pub struct RoleServices {
    /// Service of an agent.
    pub agent: Option<Arc<AgentService>>,
    /// Service of a model's group, in an agent beside a rank.
    pub group: Option<Arc<GroupService>>,
    /// Crashes and suspected requests, in an entry.
    pub suspects: Option<Arc<Suspects>>,
}

impl Process {
    /// Opens the listeners, updates the settings with the ports that were assigned, and registers
    /// the services.
    pub async fn try_new(
        role: Role,
        settings: &mut CommonSettings,
        connect_limit: Duration,
    ) -> anyhow::Result<Process> {
        let peer_listener = bind(&mut settings.peer_address).await?;
        let operator_listener = bind(&mut settings.operator_address).await?;

        let kernel = Kernel::default();
        let metrics = Metrics::default();
        let clock = Clock::default();
        wire::add_metrics(&metrics);

        let config = kernel.register(config::NAME, ConfigService::new(clock, &metrics));
        let members = kernel.register("members", Members::default());
        let directory = kernel.register(directory::NAME, Directory::new(connect_limit));

        Ok(Process {
            kernel,
            metrics,
            clock,
            // Wall-clock time increases from one start to the next, unless the clock is set back.
            incarnation: grebedeck_core::time::unix_ms(),
            role,
            settings: settings.clone(),
            peer_listener,
            operator_listener,
            config,
            members,
            directory,
        })
    }

    /// Starts the tasks that all roles have in common.
    pub fn start(self, services: RoleServices) -> Vec<JoinHandle<()>> {
        let limit = millis(self.settings.platform_limit_ms);
        let table = HttpTable::new(self.settings.table_address, limit);
        let list = HttpInstances::new(self.settings.instances_address, limit);
        let store = ConfigStore::new(table, self.config.clone());

        let handler = self.peer_handler(services);
        let operator = OperatorApi {
            kernel: self.kernel,
            metrics: self.metrics,
            // Only entries accept changes from operators.
            store: (self.role == Role::Entry).then(|| store.clone()),
            config: self.config.clone(),
            members: self.members.clone(),
            directory: self.directory.clone(),
        };
        let sync = ConfigSync::new(self.settings, self.config, self.members, self.directory);

        vec![
            async_std::task::spawn(sync.clone().follow_instances(list)),
            async_std::task::spawn(sync.clone().follow_store(store)),
            async_std::task::spawn(sync.follow_peers()),
            async_std::task::spawn(listen(self.peer_listener, Arc::new(handler))),
            async_std::task::spawn(serve_operator(self.operator_listener, operator)),
        ]
    }

    fn peer_handler(&self, services: RoleServices) -> PeerHandler {
        let faults = self.metrics.counter(
            "grebedeck_peer_faults",
            "on",
            "Streams and connections of peers that did not follow the protocol",
        );

        PeerHandler {
            hello: PeerHello {
                protocol: PROTOCOL_VERSION,
                name: self.settings.name.clone(),
                role: self.role,
                incarnation: self.incarnation,
                leaving: false,
            },
            config: self.config.clone(),
            agent: services.agent,
            group: services.group,
            suspects: services.suspects,
            faults,
        }
    }
}

/// Listens on an address and updates it with the port that was assigned.
pub async fn bind(address: &mut SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(*address)
        .await
        .map_err(|e| anyhow::anyhow!("listening on {address}: {e}"))?;
    *address = listener.local_addr()?;

    Ok(listener)
}

/// Cancels tasks immediately; work in flight is lost unless it was drained before.
pub async fn cancel(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        task.cancel().await;
    }
}
