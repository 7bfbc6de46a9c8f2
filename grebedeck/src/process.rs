//! What every process of grebedeck consists of, whatever its role.

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
use crate::config::spread::{ConfigSync, Members};
use crate::config::store::ConfigStore;
use crate::config::{self, ConfigService};
use crate::directory::{self, Directory};
use crate::entry::suspects::Suspects;
use crate::message::{PROTOCOL_VERSION, PeerHello};
use crate::operator::{OperatorApi, serve_operator};
use crate::peer::PeerHandler;
use crate::settings::{CommonSettings, millis};
use crate::wire;

/// The listeners and services that every role needs.
pub struct Process {
    /// The process's services.
    pub kernel: Kernel,
    /// Its metrics.
    pub metrics: Metrics,
    /// Its clock.
    pub clock: Clock,
    /// This life of the process.
    pub incarnation: Incarnation,
    role: Role,
    settings: CommonSettings,
    peer_listener: TcpListener,
    operator_listener: TcpListener,
    config: Arc<ConfigService>,
    /// The instances that the platform lists.
    pub members: Arc<Members>,
    /// Links to them.
    pub directory: Arc<Directory>,
}

/// The services that only some roles have.
#[derive(Default)]
pub struct RoleServices {
    /// The agent's own service.
    pub agent: Option<Arc<AgentService>>,
    /// The group's service, beside a rank.
    pub group: Option<Arc<GroupService>>,
    /// What an entry knows of crashes.
    pub suspects: Option<Arc<Suspects>>,
}

impl Process {
    /// Listens on the process's ports, notes those that it got in the settings, and registers its
    /// services.
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
            // Wall-clock time grows from one life to the next, as long as no clock is set back.
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

    /// Starts the tasks that every role has.
    pub fn start(self, parts: RoleServices) -> Vec<JoinHandle<()>> {
        let limit = millis(self.settings.platform_limit_ms);
        let table = HttpTable::new(self.settings.table_address, limit);
        let list = HttpInstances::new(self.settings.instances_address, limit);
        let store = ConfigStore::new(table, self.config.clone());

        let handler = self.peer_handler(parts);
        let operator = OperatorApi {
            kernel: self.kernel,
            metrics: self.metrics,
            // Operators' changes go through the entries.
            store: (self.role == Role::Entry).then(|| store.clone()),
            config: self.config.clone(),
            members: self.members.clone(),
            directory: self.directory.clone(),
        };
        let spread = ConfigSync::new(self.settings, self.config, self.members, self.directory);

        vec![
            async_std::task::spawn(spread.clone().follow_instances(list)),
            async_std::task::spawn(spread.clone().follow_store(store)),
            async_std::task::spawn(spread.follow_peers()),
            async_std::task::spawn(listen(self.peer_listener, Arc::new(handler))),
            async_std::task::spawn(serve_operator(self.operator_listener, operator)),
        ]
    }

    fn peer_handler(&self, parts: RoleServices) -> PeerHandler {
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
            agent: parts.agent,
            group: parts.group,
            suspects: parts.suspects,
            faults,
        }
    }
}

/// Listens on an address, and puts the port that was taken into it.
pub async fn bind(address: &mut SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(*address)
        .await
        .map_err(|e| anyhow::anyhow!("listening on {address}: {e}"))?;
    *address = listener.local_addr()?;

    Ok(listener)
}

/// Ends tasks at once; work in flight is cut off unless it was drained before.
pub async fn cancel(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        task.cancel().await;
    }
}
