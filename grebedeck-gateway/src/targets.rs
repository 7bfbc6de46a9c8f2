//! The targets that the platform lists, as one process knows them.
//!
//! A target is known by its id and, where it tells it, by the time of its start; addresses are used again by
//! others. The list lags, and while the store is away entries lapse although their targets live. Such
//! a target is kept until the store has been back for long enough that it would be listed again.
//!
//! Others may write entries as well. One that cannot be read names no target to use: a target that was known
//! under its id gets no new work until a good entry comes, and all other entries hold.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{HallName, Moment, ServiceName};
use grebedeck_routing::subset::{SubsetOptions, subset};
use grebedeck_routing::{Birth, Candidate};
use serde::{Deserialize, Serialize};

use crate::evacuation::Evacuations;
use crate::leaving::LeavingNotices;
use crate::source::{StoreVersion, TargetChange};

/// Id of a target; where targets tell the time of their start, the next start may have it again.
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
    /// Its id.
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
    /// Unix milliseconds of its start by its own clock, where it tells them. They are compared for one target
    /// only, as clocks differ, and only for being the same: of two, the one that was written later counts.
    pub born_ms: Birth,
    /// How much longer it is cold, as of when the entry was written.
    pub cold: Duration,
}

impl TargetEntry {
    /// Tells whether another entry is of the same start of the target.
    pub fn is_same_start(&self, other: &TargetEntry) -> bool {
        self.id == other.id && self.born_ms == other.born_ms
    }
}

/// A target's entry with the store's version of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// The store's version of the entry.
    pub version: StoreVersion,
    /// The entry.
    pub entry: TargetEntry,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetListing {
    /// The targets.
    pub targets: Vec<ListedTarget>,
    /// Ids whose entries cannot be read, with the store's version of each and what is wrong.
    pub unreadable: Vec<(TargetId, StoreVersion, String)>,
}

impl TargetListing {
    /// Removes the entry of an id, whether it can be read or not.
    pub(crate) fn remove(&mut self, id: &str) {
        self.targets.retain(|listed| listed.entry.id != id);
        self.unreadable.retain(|(other, ..)| other != id);
    }
}

impl From<Vec<ListedTarget>> for TargetListing {
    fn from(targets: Vec<ListedTarget>) -> Self {
        TargetListing { targets, unreadable: Vec::new() }
    }
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
    /// It has started again under its id; nothing that was known of the earlier start holds.
    Restarted(Arc<TargetEntry>),
    /// It takes no new work from now on, by the list.
    Leaving(TargetId),
    /// It takes no new work from now on, by its own word.
    AnnouncedLeaving(TargetId),
    /// It is gone.
    Removed(TargetId),
    /// The list has lost it while the store was not itself; it is kept for a while.
    Lapsed(TargetId),
    /// Its entry cannot be read, so it gets no new work; told once until a good one comes.
    Unreadable {
        /// The target.
        id: TargetId,
        /// What is wrong.
        reason: String,
    },
}

/// The process whose subset of each service's targets is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetView {
    /// The process's name.
    pub process: String,
    /// The hall that it stands in.
    pub hall: HallName,
    /// Settings of the subset.
    pub options: SubsetOptions,
}

/// All targets that are known.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    known: BTreeMap<TargetId, Known>,
    serving: HashMap<ServiceName, Arc<[Arc<TargetEntry>]>>,
    /// Those of them that this process deals with.
    candidates: HashMap<ServiceName, Arc<[Arc<TargetEntry>]>>,
    /// Who deals with which part of a service's targets; with all of them while that is not set.
    view: Option<SubsetView>,
    /// The newest target at each address, as every load that is told of is looked up by it.
    by_address: HashMap<SocketAddr, (StoreVersion, Arc<TargetEntry>)>,
    version: StoreVersion,
    /// Ids whose newest entries cannot be read, with the store's version of it and what is wrong.
    unreadable: BTreeMap<TargetId, (StoreVersion, String)>,
    /// Targets whose entries were written anew, until they are taken.
    heard: Vec<Arc<TargetEntry>>,
    /// Services that the configuration names, once it is known.
    services: Option<BTreeSet<ServiceName>>,
    /// Whether the store's last answer is missing.
    is_store_failing: bool,
    /// When the store first answered again.
    returned_at: Option<Moment>,
    evacuations: Evacuations,
    /// Targets that said in an answer that they leave, whatever the list says.
    leaving: LeavingNotices,
    /// When the list, or changes of it, were taken in last, and the time before that.
    taken_at: (Moment, Moment),
    /// Services all of whose targets stand in evacuated halls.
    evacuated: HashSet<ServiceName>,
    /// The moment that the lists of targets that take work stand for.
    indexed_at: Moment,
}

impl TargetList {
    /// Takes in a whole list; gives what changed.
    pub fn apply_snapshot(
        &mut self,
        version: StoreVersion,
        listing: impl Into<TargetListing>,
        now: Moment,
    ) -> Vec<ListEvent> {
        if version < self.version {
            return Vec::new();
        }

        self.note_return(now);

        let TargetListing { targets, unreadable } = listing.into();
        let readable = targets.iter().map(|listed| &listed.entry.id);
        let listed: HashSet<&TargetId> =
            readable.chain(unreadable.iter().map(|(id, ..)| id)).collect();
        let here = self.known.keys().chain(self.unreadable.keys());
        let missing: BTreeSet<TargetId> = here.filter(|id| !listed.contains(id)).cloned().collect();
        let mut events = Vec::new();

        for ListedTarget { version, entry } in targets {
            events.extend(self.set(version, entry));
        }

        for (id, version, reason) in unreadable {
            events.extend(self.set_unreadable(version, id, reason));
        }

        for id in missing {
            events.extend(self.lose(&id, version, now));
        }

        self.finish(version);
        events
    }

    /// Takes in changes in their order; gives what changed.
    pub fn apply_changes(
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
                TargetChange::Unreadable { version, id, reason } => {
                    events.extend(self.set_unreadable(version, id, reason));
                }
            }
        }

        self.finish(version);
        events
    }

    /// Notes that a target says in an answer that it leaves; gives what changed.
    pub fn record_leaving(&mut self, target: &TargetEntry, now: Moment) -> Vec<ListEvent> {
        if !self.leaving.record(target, now) {
            return Vec::new();
        }

        self.indexed_at = now;
        self.index();
        vec![ListEvent::AnnouncedLeaving(target.id.clone())]
    }

    /// Notes that the store did not answer, or not as it should.
    pub fn record_store_failure(&mut self) {
        self.is_store_failing = true;
    }

    /// Changes what is known of evacuated halls.
    pub fn update_evacuations<T>(
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
    pub fn is_index_stale(&self, age: Duration, now: Moment) -> bool {
        now > self.indexed_at + age && self.evacuations.moves_between(self.indexed_at, now)
    }

    /// Notes that all words on halls up to a version are known.
    pub fn advance_halls_version(&mut self, version: StoreVersion) {
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
        self.taken_at = (now, self.taken_at.0);

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
        let some_stay = self.leaving.remove_expired(now);

        if over.is_empty() && !some_stay && !self.evacuations.moves_between(since, now) {
            return Vec::new();
        }

        for id in &over {
            self.known.remove(id);
        }

        self.index();
        over.into_iter().map(ListEvent::Removed).collect()
    }

    /// Takes a start of a target for gone, as another one has answered at its address. Of the next start, which
    /// may be elsewhere, that says nothing.
    pub fn remove(&mut self, gone: &TargetEntry) {
        let known = self.known.get(&gone.id).map(|k| &k.entry);

        if known.is_some_and(|e| e.is_same_start(gone) && e.address == gone.address) {
            self.known.remove(&gone.id);
            self.index();
        }
    }

    /// Tells whether an entry is of an earlier start of its target than the one that is listed.
    pub fn is_earlier_start(&self, entry: &TargetEntry) -> bool {
        self.get(&entry.id).is_some_and(|listed| !listed.is_same_start(entry))
    }

    /// Takes the targets whose entries were written anew since this was done last.
    pub fn take_updated(&mut self) -> Vec<Arc<TargetEntry>> {
        std::mem::take(&mut self.heard)
    }

    /// Sets the services that the configuration names. An entry of another one names no target to use, and hides
    /// none at its address.
    pub fn set_services(&mut self, services: BTreeSet<ServiceName>) {
        self.services = Some(services);
        self.index();
    }

    /// Sets whose subset of each service's targets [`TargetList::candidates`] gives.
    pub fn set_subset_view(&mut self, view: SubsetView) {
        self.view = Some(view);
        self.index();
    }

    /// Gets the targets of a service that take work and that this process deals with: it hears their loads, and
    /// chooses among them.
    pub fn candidates(&self, service: &str) -> Option<&Arc<[Arc<TargetEntry>]>> {
        self.candidates.get(service)
    }

    /// Gets all targets that this process deals with, with their services.
    pub fn all_candidates(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.candidates.values().flat_map(|targets| targets.iter())
    }

    /// Gets the targets of a service that take work.
    pub fn serving(&self, service: &str) -> Option<&Arc<[Arc<TargetEntry>]>> {
        self.serving.get(service)
    }

    /// Tells whether new work may go to a start of a target.
    pub fn takes_work(&self, target: &TargetEntry) -> bool {
        self.serving(&target.service).is_some_and(|all| all.iter().any(|t| t.is_same_start(target)))
    }

    /// Tells whether a start of a target said in an answer that it leaves.
    pub fn has_announced_leaving(&self, target: &TargetEntry) -> bool {
        self.leaving.contains(target, self.indexed_at)
    }

    /// Gets the target that has an address now.
    pub fn newest_at(&self, address: SocketAddr) -> Option<Arc<TargetEntry>> {
        self.by_address.get(&address).map(|(_, entry)| entry.clone())
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
    pub fn listed(&self) -> TargetListing {
        let listed = |k: &Known| ListedTarget { version: k.version, entry: (*k.entry).clone() };
        let is_held = |k: &&Known| k.lapses_at.is_none() && self.is_readable(&k.entry.id);
        let unreadable = self.unreadable.iter();

        TargetListing {
            targets: self.known.values().filter(is_held).map(listed).collect(),
            unreadable: unreadable
                .map(|(id, (v, reason))| (id.clone(), *v, reason.clone()))
                .collect(),
        }
    }

    /// Tells whether the newest entry for an id can be read, or there is none.
    pub fn is_readable(&self, id: &str) -> bool {
        !self.unreadable.contains_key(id)
    }

    /// Gets the version of the store up to which the list is known.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    fn set(&mut self, version: StoreVersion, entry: TargetEntry) -> Vec<ListEvent> {
        let before = self.known.get(&entry.id);

        if self.newest_of(&entry.id).is_some_and(|newest| newest > version) {
            return Vec::new();
        }

        if before.is_some_and(|k| k.entry.born_ms.is_some()) && entry.born_ms.is_none() {
            // A target that tells its start always does.
            let reason = "without the time of its start".to_string();
            return self.set_unreadable(version, entry.id, reason).into_iter().collect();
        }

        let is_heard = before.is_none_or(|k| k.version < version);
        let is_restart = before.is_some_and(|k| !k.entry.is_same_start(&entry));

        if before.is_none_or(|k| !k.entry.is_same_start(&entry)) {
            let (now, before) = self.taken_at;
            self.leaving.record_start(&entry, before, now);
        }

        let was_leaving =
            !is_restart && before.is_some_and(|k| k.entry.state == TargetState::Leaving);
        let was_unreadable = self.unreadable.remove(&entry.id).is_some();
        let is_new = before.is_none_or(|k| k.lapses_at.is_some()) || was_unreadable;
        let (id, state) = (entry.id.clone(), entry.state);
        let entry = Arc::new(entry);
        self.known.insert(id.clone(), Known { entry: entry.clone(), version, lapses_at: None });

        if is_heard {
            self.heard.push(entry.clone());
        }

        let mut events = Vec::new();

        if is_restart {
            events.push(ListEvent::Restarted(entry.clone()));
        }

        match state {
            TargetState::Leaving if !was_leaving => events.push(ListEvent::Leaving(id)),
            _ if is_new && !is_restart => events.push(ListEvent::Listed(entry)),
            _ => {}
        }

        events
    }

    /// Notes that the newest entry for an id cannot be read; gives an event where that is news.
    fn set_unreadable(
        &mut self,
        version: StoreVersion,
        id: TargetId,
        reason: String,
    ) -> Option<ListEvent> {
        if self.newest_of(&id).is_some_and(|newest| newest > version) {
            return None;
        }

        if let Some(known) = self.known.get_mut(&id) {
            // It is in the list, although nobody can say how.
            known.lapses_at = None;
        }

        let before = self.unreadable.insert(id.clone(), (version, reason.clone()));

        before.is_none().then_some(ListEvent::Unreadable { id, reason })
    }

    /// Gets the store's version of the newest entry for an id.
    fn newest_of(&self, id: &str) -> Option<StoreVersion> {
        let readable = self.known.get(id).map(|k| k.version);

        readable.max(self.unreadable.get(id).map(|(version, _)| *version))
    }

    fn lose(&mut self, id: &str, version: StoreVersion, now: Moment) -> Option<ListEvent> {
        if self.newest_of(id).is_some_and(|newest| newest > version) {
            return None;
        }

        let was_unreadable = self.unreadable.remove(id).is_some();
        let known = self.known.get_mut(id)?;

        if known.lapses_at.is_some() {
            return None;
        }

        let relisted_by = self.returned_at.map(|at| at + RELIST_LIMIT);
        let is_serving = known.entry.state == TargetState::Serving && !was_unreadable;

        match relisted_by {
            Some(at) if at > now && is_serving => {
                known.lapses_at = Some(at);
                Some(ListEvent::Lapsed(id.to_string()))
            }
            _ => {
                self.known.remove(id);
                Some(ListEvent::Removed(id.to_string()))
            }
        }
    }

    fn finish(&mut self, version: StoreVersion) {
        self.version = self.version.max(version);
        self.index();
    }

    /// Tells whether an entry names a target that may be used, but for its state.
    fn names_target(&self, entry: &TargetEntry) -> bool {
        let is_named = |services: &BTreeSet<ServiceName>| services.contains(&entry.service);

        self.is_readable(&entry.id) && self.services.as_ref().is_none_or(is_named)
    }

    fn index(&mut self) {
        self.index_addresses();
        let mut by_service: HashMap<ServiceName, Vec<Arc<TargetEntry>>> = HashMap::new();
        let mut newest: HashMap<SocketAddr, StoreVersion> = HashMap::new();

        for known in self.known.values().filter(|k| self.names_target(&k.entry)) {
            let version = newest.entry(known.entry.address).or_default();
            *version = known.version.max(*version);
        }

        let mut stopped: HashSet<&ServiceName> = HashSet::new();

        for known in self.known.values().filter(|k| self.names_target(&k.entry)) {
            // Of two targets at one address, the one that was heard of last has replaced the other.
            let is_newest = newest.get(&known.entry.address) == Some(&known.version);

            let is_leaving = known.entry.state != TargetState::Serving
                || self.has_announced_leaving(&known.entry);

            if is_leaving || !is_newest {
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
        self.index_candidates();
    }

    fn index_candidates(&mut self) {
        let of_service = |serving: &Arc<[Arc<TargetEntry>]>| match &self.view {
            Some(view) if serving.len() > view.options.size => {
                subset(serving, &view.process, &view.hall, view.options).into()
            }
            _ => serving.clone(),
        };

        self.candidates =
            self.serving.iter().map(|(name, list)| (name.clone(), of_service(list))).collect();
    }

    fn index_addresses(&mut self) {
        self.by_address.clear();

        for known in self.known.values() {
            let found = (known.version, known.entry.clone());
            let newest = self.by_address.entry(known.entry.address).or_insert(found.clone());

            if found.0 >= newest.0 {
                *newest = found;
            }
        }
    }
}
