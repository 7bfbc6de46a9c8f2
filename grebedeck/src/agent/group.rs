//! The group's side of an agent, as the rest of the process sees it: messages and counts go in, a
//! dump and maps come out. Its task is in [`driver`](super::driver).

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

/// How often the configuration is looked at while it does not name this member.
const ROSTER_CHECK: Duration = Duration::from_millis(50);
/// How many maps are kept by version: the one in use, the one before, and a proposal.
const KEPT_MAPS: usize = 4;

/// What reaches the group's task from outside.
pub(super) enum Event {
    /// A message of the switch protocol, with the map of a proposal.
    Message(Message, Option<MapDelta>),
    /// Token counts of a member.
    Counts(GroupCounts),
}

/// State that a dump shows and peers ask for.
#[derive(Default)]
pub(super) struct Shared {
    maps: HashMap<MapVersion, ExpertMap>,
    /// What a dump shows.
    pub(super) status: Value,
}

/// The group's service of an agent.
pub struct GroupService {
    pub(super) clock: Clock,
    name: String,
    /// The newest incarnation that a member of this process had.
    incarnation: AtomicU64,
    pub(super) settings: BalanceSettings,
    config: Arc<ConfigService>,
    pub(super) directory: Arc<Directory>,
    pub(super) switches: Counter,
    events: Sender<Event>,
    pub(super) inbox: Receiver<Event>,
    shared: Mutex<Shared>,
}

/// The members of a group, as the configuration names them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Roster {
    pub(super) group: GroupName,
    pub(super) own: MemberNo,
    pub(super) addresses: Vec<SocketAddr>,
}

impl Roster {
    /// Tells whether both name the same places, whatever the addresses.
    pub(super) fn is_like(&self, other: &Roster) -> bool {
        let places = |r: &Roster| (r.group.clone(), r.own, r.addresses.len());

        places(self) == places(other)
    }
}

impl GroupService {
    /// Makes the service; the kernel must have the configuration and the peers.
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

    /// Takes in a message of the switch protocol.
    pub fn receive(&self, message: Message, map: Option<MapDelta>) {
        // A message that finds no room is as good as lost, which the protocol expects.
        let _ = self.events.try_send(Event::Message(message, map));
    }

    /// Takes in a member's token counts.
    pub fn count(&self, counts: GroupCounts) {
        let _ = self.events.try_send(Event::Counts(counts));
    }

    /// Gets the map of a version, where this member still has it.
    pub fn map_of(&self, version: MapVersion) -> Option<ExpertMap> {
        self.shared().maps.get(&version).cloned()
    }

    /// Runs the group's side until the task is dropped.
    pub async fn run<E: Engine>(self: Arc<Self>, engine: E) {
        loop {
            match self.find_roster() {
                Some(roster) => Driver::new(self.clone(), engine.clone(), roster).run().await,
                None => async_std::task::sleep(ROSTER_CHECK).await,
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

    /// Gets an incarnation for a member that starts without memory.
    pub(super) fn next_incarnation(&self) -> Incarnation {
        self.incarnation.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(super) fn keep_map(&self, version: MapVersion, map: ExpertMap, in_use: MapVersion) {
        let mut shared = self.shared();
        shared.maps.insert(version, map);

        while shared.maps.len() > KEPT_MAPS {
            let oldest = shared.maps.keys().filter(|v| **v != in_use).min().copied();

            match oldest {
                Some(oldest) => shared.maps.remove(&oldest),
                None => break,
            };
        }
    }

    pub(super) fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for GroupService {
    fn dump(&self) -> Value {
        self.shared().status.clone()
    }
}
