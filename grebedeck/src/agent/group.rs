//! The agent's part in its group: the service that the rest of the process sees. Messages and
//! counts of other members arrive here, and peers read maps. The task that handles them is in
//! the module `driver`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use grebedeck_core::{GroupName, Incarnation};
use grebedeck_experts::switch::{MapVersion, MemberNo, Message};
use grebedeck_experts::{ExpertMap, MapDelta};
use grebedeck_kernel::{Clock, Counter, Kernel, Metrics, Service};
use grebedeck_net::platform::Engine;
use serde_json::Value;

use super::driver::Driver;
use crate::config::{self, ConfigService};
use crate::directory::{self, Directory};
use crate::message::GroupCounts;
use crate::settings::{AgentSettings, BalanceSettings};

/// Interval between checks of the configuration while it does not name this member.
const ROSTER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of maps kept by version: the one in use, the previous one, and a proposal.
const MAX_KEPT_MAPS: usize = 4;

/// Input to the group's task from outside.
pub(super) enum Event {
    /// Message of the switch protocol, with the map of a proposal.
    Message(Message, Option<MapDelta>),
    /// Token counts of a member.
    Counts(GroupCounts),
}

/// State that the task shares with the service.
#[derive(Default)]
pub(super) struct SharedState {
    maps: HashMap<MapVersion, ExpertMap>,
    /// Status for the diagnostic dump.
    pub(super) status: Value,
}

/// Service for the agent's group.
pub struct GroupService {
    pub(super) clock: Clock,
    name: String,
    /// Latest incarnation of a member in this process.
    incarnation: AtomicU64,
    pub(super) settings: BalanceSettings,
    config: Arc<ConfigService>,
    pub(super) directory: Arc<Directory>,
    pub(super) switches: Counter,
    events: Sender<Event>,
    pub(super) inbox: Receiver<Event>,
    shared: Mutex<SharedState>,
}

/// Members of a group, as the configuration lists them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Roster {
    pub(super) group: GroupName,
    pub(super) own: MemberNo,
    pub(super) addresses: Vec<SocketAddr>,
}

impl Roster {
    /// Whether both describe the same member of the same group, of the same size; addresses may
    /// differ.
    pub(super) fn has_same_position(&self, other: &Roster) -> bool {
        let position = |r: &Roster| (r.group.clone(), r.own, r.addresses.len());

        position(self) == position(other)
    }
}

impl GroupService {
    /// Creates the service; the kernel must have the configuration and the directory of peers.
    pub fn new(
        settings: &AgentSettings,
        incarnation: Incarnation,
        clock: Clock,
        kernel: &Kernel,
        metrics: &Metrics,
    ) -> Self {
        let (events, inbox) = async_channel::bounded(1024);

        GroupService {
            clock,
            name: settings.common.name.clone(),
            incarnation: AtomicU64::new(incarnation),
            settings: settings.balance.clone(),
            config: kernel.require::<ConfigService>(config::NAME),
            directory: kernel.require::<Directory>(directory::NAME),
            switches: metrics.counter(
                "grebedeck_map_switches",
                "end",
                "Switches of the expert map, by how they ended at this member",
            ),
            events,
            inbox,
            shared: Mutex::default(),
        }
    }

    /// Queues a message of the switch protocol.
    pub fn receive(&self, message: Message, map: Option<MapDelta>) {
        // A message that does not fit into the queue is dropped. The protocol expects losses.
        let _ = self.events.try_send(Event::Message(message, map));
    }

    /// Queues a member's token counts.
    pub fn record_counts(&self, counts: GroupCounts) {
        let _ = self.events.try_send(Event::Counts(counts));
    }

    /// Map of a version, if this member still has it.
    pub fn map_of(&self, version: MapVersion) -> Option<ExpertMap> {
        self.shared().maps.get(&version).cloned()
    }

    /// Runs the group's task until it is dropped.
    pub async fn run<E: Engine>(self: Arc<Self>, engine: E) {
        loop {
            match self.find_roster() {
                Some(roster) => Driver::new(self.clone(), engine.clone(), roster).run().await,
                None => async_std::task::sleep(ROSTER_POLL_INTERVAL).await,
            }
        }
    }

    pub(super) fn find_roster(&self) -> Option<Roster> {
        let routes = self.config.routes();
        let group = routes.targets().get(&self.name)?.group.clone()?;
        let members = routes.group_members(&group);
        let own = members.iter().position(|m| m.name == self.name)? as MemberNo;
        let addresses = members.iter().map(|m| m.agent_address).collect();

        Some(Roster { group, own, addresses })
    }

    /// Returns a new incarnation, for a member that starts without state.
    pub(super) fn next_incarnation(&self) -> Incarnation {
        self.incarnation.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(super) fn store_map(&self, version: MapVersion, map: ExpertMap, in_use: MapVersion) {
        let mut shared = self.shared();
        shared.maps.insert(version, map);

        while shared.maps.len() > MAX_KEPT_MAPS {
            let oldest = shared.maps.keys().filter(|v| **v != in_use).min().copied();

            match oldest {
                Some(oldest) => shared.maps.remove(&oldest),
                None => break,
            };
        }
    }

    pub(super) fn shared(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for GroupService {
    fn dump(&self) -> Value {
        self.shared().status.clone()
    }
}
