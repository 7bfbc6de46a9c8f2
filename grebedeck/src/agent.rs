//! The agent, which runs beside one target and passes every attempt through the target's gate. If
//! the target has an engine, the agent is also a member of a group and takes part in the group's
//! switches of expert maps.

pub mod balance;
pub mod crashes;
mod driver;
pub mod group;
pub mod service;
pub mod work;

use grebedeck_core::Incarnation;
use grebedeck_kernel::{Kernel, log};
use grebedeck_net::platform::{HttpEngine, Role};

use crate::process::{self, Process, RoleServices};
use crate::settings::{AgentSettings, millis};
use group::GroupService;
pub use service::AgentService;

/// Timeout for connecting to a peer or the target.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// A running agent.
pub struct Agent {
    /// Services of the process.
    pub kernel: Kernel,
    /// Settings, with the ports that were bound.
    pub settings: AgentSettings,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    tasks: Vec<async_std::task::JoinHandle<()>>,
}

impl Agent {
    /// Starts an agent; it listens when this returns.
    pub async fn try_new(mut settings: AgentSettings) -> anyhow::Result<Agent> {
        let connect_timeout = millis(CONNECT_TIMEOUT_MS);
        let process = Process::try_new(Role::Agent, &mut settings.common, connect_timeout).await?;
        let (kernel, clock, incarnation) =
            (process.kernel.clone(), process.clock, process.incarnation);

        let service = AgentService::new(&settings, incarnation, clock, &process.metrics);
        let agent = kernel.register("agent", service);
        let group = settings.engine_address.map(|address| {
            let engine = HttpEngine::new(address, millis(settings.balance.counts_ms.max(1_000)));
            let service =
                GroupService::new(&settings, incarnation, clock, &kernel, &process.metrics);

            (kernel.register("group", service), engine)
        });

        let parts = RoleServices {
            agent: Some(agent),
            group: group.as_ref().map(|(group, _)| group.clone()),
            ..RoleServices::default()
        };
        let mut tasks = process.start(parts);

        if let Some((group, engine)) = group {
            tasks.push(async_std::task::spawn(group.run(engine)));
        }

        log::info!("agent started", kv: { name = settings.common.name.as_str(), incarnation });
        Ok(Agent { kernel, settings, incarnation, tasks })
    }

    /// Cancels all tasks at once; work in flight is cut off unless it was drained before.
    pub async fn stop(self) {
        process::cancel(self.tasks).await;
    }
}
