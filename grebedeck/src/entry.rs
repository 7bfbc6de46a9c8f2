//! The entry, which receives callers' requests, selects a target for each, and sends it to the
//! agent beside that target.

pub mod answer;
pub mod attempt;
pub mod dispatch;
pub mod request;
pub mod service;
pub mod suspects;

use grebedeck_kernel::{Kernel, log};
use grebedeck_net::http::{ServerOptions, serve_http};
use grebedeck_net::platform::{HttpTable, Role};

use crate::process::{self, Process, RoleServices};
use crate::settings::{EntrySettings, millis};
use service::EntryService;
use suspects::Gossip;

/// A running entry.
pub struct Entry {
    /// Services of the process.
    pub kernel: Kernel,
    /// Settings, with the ports that were bound.
    pub settings: EntrySettings,
    tasks: Vec<async_std::task::JoinHandle<()>>,
}

impl Entry {
    /// Starts an entry; it listens when this returns.
    pub async fn try_new(mut settings: EntrySettings) -> anyhow::Result<Entry> {
        let caller_listener = process::bind(&mut settings.caller_address).await?;
        let connect_timeout = millis(settings.connect_limit_ms);
        let process = Process::try_new(Role::Entry, &mut settings.common, connect_timeout).await?;
        let kernel = process.kernel.clone();

        let service = EntryService::new(&settings, process.clock, &kernel, &process.metrics);
        let entry = kernel.register("entry", service);
        let suspects = entry.suspects.clone();
        let gossip = Gossip {
            suspects: suspects.clone(),
            settings: settings.common.clone(),
            members: process.members.clone(),
            directory: process.directory.clone(),
        };
        let timeout = millis(settings.common.platform_limit_ms);
        let table = HttpTable::new(settings.common.table_address, timeout);
        let mut tasks =
            process.start(RoleServices { suspects: Some(suspects), ..RoleServices::default() });

        tasks.push(async_std::task::spawn(gossip.clone().persist(table)));
        tasks.push(async_std::task::spawn(gossip.exchange()));

        tasks.push(async_std::task::spawn(entry.clone().evict_removed_targets()));
        let options = ServerOptions { max_connections: settings.max_connections };
        let (on_request, on_reject) = (entry.clone(), entry);
        tasks.push(async_std::task::spawn(serve_http(
            caller_listener,
            options,
            move |request, _| on_request.clone().respond(request),
            move || on_reject.count_rejected(),
        )));

        log::info!("entry started", kv: {
            name = settings.common.name.as_str(),
            caller_address = settings.caller_address.to_string(),
        });
        Ok(Entry { kernel, settings, tasks })
    }

    /// Cancels all tasks at once; work in flight is cut off unless it was drained before.
    pub async fn stop(self) {
        process::cancel(self.tasks).await;
    }
}
