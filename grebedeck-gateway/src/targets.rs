//! The targets that the platform lists, as one process knows them.
//!
//! A target is known by its id, which each of its starts has anew; addresses are used again by
//! others. The list lags, and while the store is away entries lapse although their targets live. Such
//! a target is kept until the store has been back for long enough that it would be listed again.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{HallName, Moment, ServiceName};
use grebedeck_routing::Candidate;
use serde::{Deserialize, Serialize};

use crate::evacuation::Evacuations;
use crate::source::{StoreVersion, TargetChange};

/// Id of one start of a target.
pub type TargetId = String;

/// How long after the store's return a missing target may still be listed again. The operators
/// promise that targets that live are back within about two seconds of it.
const RELIST_LIMIT: Duration = Duration::from_secs(2);

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes work.
    Serving,
    /// It will end soon and takes no new work.
    Leaving,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Id of this start of the target.
    pub id: TargetId,
    /// The service that it offers.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// The hall that it stands in.
    pub hall: HallName,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it takes work.
    pub state: TargetState,
}

/// A target's entry with the store's version of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// The store's version of the entry.
    pub version: StoreVersion,
    /// The entry.
    pub entry: TargetEntry,
}

impl Candidate for TargetEntry {
    fn name(&self) -> &str {
        &self.id
    }

    fn hall(&self) -> &str {
        &self.hall
    }
}

#[derive(Clone, Debug)]
struct Known {
    entry: Arc<TargetEntry>,
    version: StoreVersion,
    /// When a target that the list has lost is taken for gone.
    lapses_at: Option<Moment>,
}

/// What a change of the list did to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListEvent {
    /// It was listed for the first time, or again.
    Listed(Arc<TargetEntry>),
    /// It takes no new work from now on.
    Leaving(TargetId),
    /// It is gone.
    Gone(TargetId),
    /// The list has lost it while the store was not itself; it is kept for a while.
    Lapsed(TargetId),
}

/// All targets that are known.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    known: BTreeMap<TargetId, Known>,
    serving: HashMap<ServiceName, Arc<[Arc<TargetEntry>]>>,
    version: StoreVersion,
    /// Whether the store's last answer is missing.
    is_store_failing: bool,
    /// When the store first answered again.
    returned_at: Option<Moment>,
    evacuations: Evacuations,
    /// Services all of whose targets stand in evacuated halls.
    evacuated: HashSet<ServiceName>,
    /// The moment that the lists of targets that take work stand for.
    indexed_at: Moment,
}

impl TargetList {
    /// Takes in a whole list; gives what changed.
    pub fn take_snapshot(
        &mut self,
        version: StoreVersion,
        entries: Vec<ListedTarget>,
        now: Moment,
    ) -> Vec<ListEvent> {
        if version < self.version {
            return Vec::new();
        }

        self.note_return(now);

        let listed: HashSet<&TargetId> = entries.iter().map(|listed| &listed.entry.id).collect();
        let missing: Vec<TargetId> =
            self.known.keys().filter(|id| !listed.contains(id)).cloned().collect();
        let mut events = Vec::new();

        for ListedTarget { version, entry } in entries {
            events.extend(self.set(version, entry));
        }

        for id in missing {
            events.extend(self.lose(&id, version, now));
        }

        self.finish(version);
        events
    }

    /// Takes in changes in their order; gives what changed.
    pub fn take_changes(
        &mut self,
        version: StoreVersion,
        changes: Vec<TargetChange>,
        now: Moment,
    ) -> Vec<ListEvent> {
        self.note_return(now);
        let mut events = Vec::new();

        for change in changes {
            match change {
                TargetChange::Set(ListedTarget { version, entry }) => {
                    events.extend(self.set(version, entry));
                }
                TargetChange::Removed { version, id } => {
                    events.extend(self.lose(&id, version, now));
                }
            }
        }

        self.finish(version);
        events
    }

    /// Notes that the store did not answer, or not as it should.
    pub fn store_failed(&mut self) {
        self.is_store_failing = true;
    }

    /// Changes what is known of evacuated halls.
    pub fn change_evacuations<T>(
        &mut self,
        change: impl FnOnce(&mut Evacuations) -> T,
        now: Moment,
    ) -> T {
        let changed = change(&mut self.evacuations);
        self.indexed_at = now;
        self.index();

        changed
    }

    /// Tells whether the lists of targets that take work stand for a moment that is longer ago than that, and evacuated
    /// halls have changed them since.
    pub fn is_index_older(&self, age: Duration, now: Moment) -> bool {
        now > self.indexed_at + age && self.evacuations.moves_between(self.indexed_at, now)
    }

    /// Notes that all words on halls up to a version are known.
    pub fn know_halls_up_to(&mut self, version: StoreVersion) {
        self.evacuations.known_up_to(version);
    }

    /// Gets what is known of evacuated halls.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Tells whether targets of a service would take work, and all of them stand in evacuated halls.
    pub fn is_evacuated(&self, service: &str) -> bool {
        self.evacuated.contains(service)
    }

    fn note_return(&mut self, now: Moment) {
        self.indexed_at = now;

        if std::mem::take(&mut self.is_store_failing) {
            self.returned_at = Some(now);
        }
    }

    /// Drops lapsed targets whose time is over, and lets those of evacuated halls leave and return; gives what changed.
    pub fn tick(&mut self, now: Moment) -> Vec<ListEvent> {
        let is_over = |known: &Known| known.lapses_at.is_some_and(|at| at <= now);
        let over: Vec<TargetId> =
            self.known.iter().filter(|(_, k)| is_over(k)).map(|(id, _)| id.clone()).collect();

        let since = std::mem::replace(&mut self.indexed_at, now);

        if over.is_empty() && !self.evacuations.moves_between(since, now) {
            return Vec::new();
        }

        for id in &over {
            self.known.remove(id);
        }

        self.index();
        over.into_iter().map(ListEvent::Gone).collect()
    }

    /// Takes a target for gone, as another one has answered at its address.
    pub fn remove(&mut self, id: &str) {
        if self.known.remove(id).is_some() {
            self.index();
        }
    }

    /// Gets the targets of a service that take work.
    pub fn serving(&self, service: &str) -> Option<&Arc<[Arc<TargetEntry>]>> {
        self.serving.get(service)
    }

    /// Tells whether new work may go to a target.
    pub fn takes_work(&self, target: &TargetEntry) -> bool {
        self.serving(&target.service).is_some_and(|all| all.iter().any(|t| t.id == target.id))
    }

    /// Gets the target that has an address now.
    pub fn newest_at(&self, address: SocketAddr) -> Option<Arc<TargetEntry>> {
        let there = self.known.values().filter(|k| k.entry.address == address);

        there.max_by_key(|k| k.version).map(|k| k.entry.clone())
    }

    /// Gets a target.
    pub fn get(&self, id: &str) -> Option<&Arc<TargetEntry>> {
        self.known.get(id).map(|k| &k.entry)
    }

    /// Gets all targets, those that leave included.
    pub fn all(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.known.values().map(|k| &k.entry)
    }

    /// Gets all targets that the list holds, with the store's versions of them.
    pub fn listed(&self) -> Vec<ListedTarget> {
        let listed = |k: &Known| ListedTarget { version: k.version, entry: (*k.entry).clone() };
        let held = self.known.values().filter(|k| k.lapses_at.is_none());

        held.map(listed).collect()
    }

    /// Gets the version of the store up to which the list is known.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    fn set(&mut self, version: StoreVersion, entry: TargetEntry) -> Option<ListEvent> {
        let before = self.known.get(&entry.id);

        if before.is_some_and(|k| k.version > version) {
            return None;
        }

        let was_leaving = before.is_some_and(|k| k.entry.state == TargetState::Leaving);
        let is_new = before.is_none_or(|k| k.lapses_at.is_some());
        let (id, state) = (entry.id.clone(), entry.state);
        let entry = Arc::new(entry);
        self.known.insert(id.clone(), Known { entry: entry.clone(), version, lapses_at: None });

        match state {
            TargetState::Leaving if !was_leaving => Some(ListEvent::Leaving(id)),
            _ if is_new => Some(ListEvent::Listed(entry)),
            _ => None,
        }
    }

    fn lose(&mut self, id: &str, version: StoreVersion, now: Moment) -> Option<ListEvent> {
        let known = self.known.get_mut(id)?;

        if known.version > version || known.lapses_at.is_some() {
            return None;
        }

        let relisted_by = self.returned_at.map(|at| at + RELIST_LIMIT);
        let is_serving = known.entry.state == TargetState::Serving;

        match relisted_by {
            Some(at) if at > now && is_serving => {
                known.lapses_at = Some(at);
                Some(ListEvent::Lapsed(id.to_string()))
            }
            _ => {
                self.known.remove(id);
                Some(ListEvent::Gone(id.to_string()))
            }
        }
    }

    fn finish(&mut self, version: StoreVersion) {
        self.version = self.version.max(version);
        self.index();
    }

    fn index(&mut self) {
        let mut by_service: HashMap<ServiceName, Vec<Arc<TargetEntry>>> = HashMap::new();
        let mut newest: HashMap<SocketAddr, StoreVersion> = HashMap::new();

        for known in self.known.values() {
            let version = newest.entry(known.entry.address).or_default();
            *version = known.version.max(*version);
        }

        let mut stopped: HashSet<&ServiceName> = HashSet::new();

        for known in self.known.values() {
            // Of two targets at one address, the one that was heard of last has replaced the other.
            let is_newest = newest.get(&known.entry.address) == Some(&known.version);

            if known.entry.state != TargetState::Serving || !is_newest {
                continue;
            }

            // Every way to a target passes this list, so that none can be forgotten.
            if self.evacuations.stops(&known.entry, self.indexed_at) {
                stopped.insert(&known.entry.service);
            } else {
                by_service
                    .entry(known.entry.service.clone())
                    .or_default()
                    .push(known.entry.clone());
            }
        }

        let is_left = |service: &&&ServiceName| !by_service.contains_key(**service);
        self.evacuated = stopped.iter().filter(is_left).map(|s| (*s).clone()).collect();
        self.serving = by_service.into_iter().map(|(name, list)| (name, list.into())).collect();
    }
}
