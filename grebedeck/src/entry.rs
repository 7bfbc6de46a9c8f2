//! The entry: takes callers' requests and finds each a target.

pub mod answer;
pub mod attempt;
pub mod dispatch;
pub mod request;
pub mod service;

use std::sync::Arc;

use async_std::net::TcpListener;
use grebedeck_kernel::{Clock, Kernel, Metrics, log};
use grebedeck_net::http::{ServerOptions, serve_http};
use grebedeck_net::listen;
use grebedeck_net::platform::{HttpInstances, HttpTable, Role};

use crate::config::spread::{Members, Spread};
use crate::config::store::ConfigStore;
use crate::config::{self, ConfigService};
use crate::directory::Directory;
use crate::message::{PROTOCOL_VERSION, PeerHello};
use crate::operator::{Operator, serve_operator};
use crate::peer::PeerHandler;
use crate::settings::{EntrySettings, millis};
use crate::wire;
use service::EntryService;

/// A running entry.
pub struct Entry {
    /// The process's services.
    pub kernel: Kernel,
    /// Its settings, with the ports that it got.
    pub settings: EntrySettings,
    tasks: Vec<async_std::task::JoinHandle<()>>,
}

impl Entry {
    /// Starts an entry; it listens when this returns.
    pub async fn try_new(mut settings: EntrySettings) -> anyhow::Result<Entry> {
        let caller_listener = TcpListener::bind(settings.caller_address).await?;
        let peer_listener = TcpListener::bind(settings.common.peer_address).await?;
        let operator_listener = TcpListener::bind(settings.common.operator_address).await?;
        settings.caller_address = caller_listener.local_addr()?;
        settings.common.peer_address = peer_listener.local_addr()?;
        settings.common.operator_address = operator_listener.local_addr()?;

        let kernel = Kernel::default();
        let metrics = Metrics::default();
        wire::add_metrics(&metrics);
        let clock = Clock::default();
        let config = kernel.register(config::NAME, ConfigService::new(clock, &metrics));
        let members = kernel.register("members", Members::default());
        let connect_limit = millis(settings.connect_limit_ms);
        let directory = kernel.register("peers", Directory::new(connect_limit));
        let entry =
            kernel.register("entry", EntryService::new(&settings, clock, &kernel, &metrics));

        let limit = millis(settings.common.platform_limit_ms);
        let table = HttpTable::new(settings.common.table_address, limit);
        let list = HttpInstances::new(settings.common.instances_address, limit);
        let store = ConfigStore::new(table, config.clone());
        let spread =
            Spread::new(settings.common.clone(), config.clone(), members.clone(), directory);

        let handler = PeerHandler {
            hello: PeerHello {
                protocol: PROTOCOL_VERSION,
                name: settings.common.name.clone(),
                role: Role::Entry,
                incarnation: grebedeck_core::time::unix_ms(),
                leaving: false,
            },
            config: config.clone(),
            agent: None,
            group: None,
            faults: metrics.counter(
                "grebedeck_peer_faults",
                "on",
                "Streams and connections of peers that did not follow the protocol",
            ),
        };

        let operator = Operator {
            kernel: kernel.clone(),
            metrics,
            store: Some(store.clone()),
            config,
            members,
            directory: kernel.require("peers"),
        };

        let options = ServerOptions { max_connections: settings.max_connections };
        let (on_request, on_reject) = (entry.clone(), entry.clone());
        let tasks = vec![
            async_std::task::spawn(spread.clone().follow_instances(list)),
            async_std::task::spawn(spread.clone().follow_store(store)),
            async_std::task::spawn(spread.follow_peers()),
            async_std::task::spawn(listen(peer_listener, Arc::new(handler))),
            async_std::task::spawn(serve_operator(operator_listener, operator)),
            async_std::task::spawn(serve_http(
                caller_listener,
                options,
                move |request, _| on_request.clone().respond(request),
                move || on_reject.count_rejected(),
            )),
        ];

        log::info!("entry started", kv: {
            name = settings.common.name.as_str(),
            caller_address = settings.caller_address.to_string(),
        });
        Ok(Entry { kernel, settings, tasks })
    }

    /// Ends all tasks at once; work in flight is cut off unless it was drained before.
    pub async fn stop(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}
