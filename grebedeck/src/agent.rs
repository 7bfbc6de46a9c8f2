//! The agent: stands beside one target and is the gate in front of it.

pub mod balance;
pub mod group;
pub mod service;
pub mod work;

use std::sync::Arc;

use async_std::net::TcpListener;
use grebedeck_core::Incarnation;
use grebedeck_kernel::{Clock, Kernel, Metrics, log};
use grebedeck_net::listen;
use grebedeck_net::platform::{HttpEngine, HttpInstances, HttpTable, Role};

use crate::config::spread::{Members, Spread};
use crate::config::store::ConfigStore;
use crate::config::{self, ConfigService};
use crate::directory::Directory;
use crate::message::{PROTOCOL_VERSION, PeerHello};
use crate::operator::{Operator, serve_operator};
use crate::peer::PeerHandler;
use crate::settings::{AgentSettings, millis};
use crate::wire;
use group::GroupService;
pub use service::AgentService;

/// How long a connection to a peer or the target may take to be made.
const CONNECT_LIMIT_MS: u64 = 500;

/// A running agent.
pub struct Agent {
    /// The process's services.
    pub kernel: Kernel,
    /// Its settings, with the ports that it got.
    pub settings: AgentSettings,
    /// This life of the process.
    pub incarnation: Incarnation,
    tasks: Vec<async_std::task::JoinHandle<()>>,
}

impl Agent {
    /// Starts an agent; it listens when this returns.
    pub async fn try_new(mut settings: AgentSettings) -> anyhow::Result<Agent> {
        let peer_listener = TcpListener::bind(settings.common.peer_address).await?;
        let operator_listener = TcpListener::bind(settings.common.operator_address).await?;
        settings.common.peer_address = peer_listener.local_addr()?;
        settings.common.operator_address = operator_listener.local_addr()?;

        let kernel = Kernel::default();
        let metrics = Metrics::default();
        wire::add_metrics(&metrics);
        let clock = Clock::default();
        // Wall-clock time grows from one life to the next, as long as no clock is set back.
        let incarnation = grebedeck_core::time::unix_ms();
        let connect_limit = millis(CONNECT_LIMIT_MS);

        let config = kernel.register(config::NAME, ConfigService::new(clock, &metrics));
        let members = kernel.register("members", Members::default());
        let directory = kernel.register("peers", Directory::new(connect_limit));
        let service = AgentService::new(&settings, incarnation, clock, &metrics);
        let agent = kernel.register("agent", service);

        let limit = millis(settings.common.platform_limit_ms);
        let list = HttpInstances::new(settings.common.instances_address, limit);
        let store =
            ConfigStore::new(HttpTable::new(settings.common.table_address, limit), config.clone());
        let spread = Spread::new(
            settings.common.clone(),
            config.clone(),
            members.clone(),
            directory.clone(),
        );

        let group = settings.engine_address.map(|address| {
            let engine = HttpEngine::new(address, millis(settings.balance.counts_ms.max(1_000)));
            let service = GroupService::new(&settings, incarnation, clock, &kernel, &metrics);

            (kernel.register("group", service), engine)
        });

        let handler = PeerHandler {
            hello: PeerHello {
                protocol: PROTOCOL_VERSION,
                name: settings.common.name.clone(),
                role: Role::Agent,
                incarnation,
                leaving: false,
            },
            config: config.clone(),
            agent: Some(agent),
            group: group.as_ref().map(|(group, _)| group.clone()),
            faults: metrics.counter(
                "grebedeck_peer_faults",
                "on",
                "Streams and connections of peers that did not follow the protocol",
            ),
        };

        let operator =
            Operator { kernel: kernel.clone(), metrics, store: None, config, members, directory };

        let mut tasks = vec![
            async_std::task::spawn(spread.clone().follow_instances(list)),
            async_std::task::spawn(spread.clone().follow_store(store)),
            async_std::task::spawn(spread.follow_peers()),
            async_std::task::spawn(listen(peer_listener, Arc::new(handler))),
            async_std::task::spawn(serve_operator(operator_listener, operator)),
        ];

        if let Some((group, engine)) = group {
            tasks.push(async_std::task::spawn(group.run(engine)));
        }

        log::info!("agent started", kv: { name = settings.common.name.as_str(), incarnation });
        Ok(Agent { kernel, settings, incarnation, tasks })
    }

    /// Ends all tasks at once; work in flight is cut off unless it was drained before.
    pub async fn stop(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}
