//! The targets that the platform lists, as one process knows them.
//!
//! A target is identified by its id and, if it reports one, its start time; addresses are reused by
//! others. The list lags, and while the store is unavailable entries expire although their targets
//! are alive. Such a target is kept until the store has been back for long enough to list it again.
//! When the store came back is not known: it lies between the start of the last call that failed
//! and the first answer. A target that is missing is kept for the relist limit from the answer, but
//! not beyond the time to catch up from that call, after which a target that left counts as gone.
//!
//! Others may write entries as well. An unreadable entry names no usable target: a target already
//! known under its id gets no new work until a readable entry arrives, and all other entries stay
//! valid.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_core::{HallName, Moment, ServiceName};
use grebedeck_routing::subset::{SubsetOptions, subset};
use grebedeck_routing::{Candidate, StartId};
use serde::{Deserialize, Serialize};

use crate::evacuation::Evacuations;
use crate::leaving::LeavingNotices;
use crate::source::{StoreVersion, TargetChange};

/// Id of a target. Where targets report their start time, the next start may reuse it.
pub type TargetId = String;

/// How long after the store's recovery a missing target may still be listed again. The operators
/// promise that live targets are back within about two seconds.
const RELIST_LIMIT: Duration = Duration::from_secs(2);

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepting new work.
    Serving,
    /// Shutting down soon; no new work.
    Leaving,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Id of the target.
    pub id: TargetId,
    /// Service that the target offers.
    pub service: ServiceName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Data hall of the target.
    pub hall: HallName,
    /// Requests that the target works on at the same time.
    pub slots: u32,
    /// Whether the target accepts new work.
    pub state: TargetState,
    /// Start time by the target's own clock, in Unix milliseconds, if record_report. Clocks differ, so
    /// the times are compared only for equality and only for the same target: of two starts, the
    /// one whose entry was written later counts.
    pub born_ms: StartId,
    /// Remaining time for which the target is cold, as of when the entry was written.
    pub cold: Duration,
}

impl TargetEntry {
    /// Whether another entry is of the same start of the same target.
    pub fn is_same_start(&self, other: &TargetEntry) -> bool {
        self.id == other.id && self.born_ms == other.born_ms
    }
}

/// A target's entry with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Version of the entry in the store.
    pub version: StoreVersion,
    /// The entry itself.
    pub entry: TargetEntry,
}

/// Complete list of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetListing {
    /// Readable entries.
    pub targets: Vec<ListedTarget>,
    /// Ids with unreadable entries: the id, the version in the store and the error.
    pub unreadable: Vec<(TargetId, StoreVersion, String)>,
}

impl TargetListing {
    /// Removes the entry of an id, whether it is readable or not.
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
struct KnownTarget {
    entry: Arc<TargetEntry>,
    version: StoreVersion,
    /// When a target that is missing from the list is removed.
    removal_due_at: Option<Moment>,
}

/// Effect of a list update on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListEvent {
    /// Listed for the first time, or again.
    Listed(Arc<TargetEntry>),
    /// Restarted under the same id; nothing known of the earlier start applies.
    Restarted(Arc<TargetEntry>),
    /// No new work from now on, according to the list.
    Leaving(TargetId),
    /// No new work from now on, as the target announced in a response.
    AnnouncedLeaving(TargetId),
    /// Removed.
    Removed(TargetId),
    /// Missing from the list shortly after a store failure; kept for a while.
    Lapsed(TargetId),
    /// Unreadable entry, so the target gets no new work; reported once until a readable entry
    /// arrives.
    Unreadable {
        /// Id of the target.
        id: TargetId,
        /// What is wrong with the entry.
        reason: String,
    },
}

/// The process for which a subset of each service's targets is selected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetView {
    /// Name of the process.
    pub process: String,
    /// Data hall of the process.
    pub hall: HallName,
    /// Settings of the subset.
    pub options: SubsetOptions,
}

/// All known targets, with indexes by service and by address.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    known: BTreeMap<TargetId, KnownTarget>,
    serving: HashMap<ServiceName, Arc<[Arc<TargetEntry>]>>,
    /// Subset of `serving` that this process uses.
    candidates: HashMap<ServiceName, Arc<[Arc<TargetEntry>]>>,
    /// Process to select subsets for; all targets are used while it is not set.
    subset_view: Option<SubsetView>,
    /// The newest target at each address. Load reports are looked up by address.
    by_address: HashMap<SocketAddr, (StoreVersion, Arc<TargetEntry>)>,
    version: StoreVersion,
    /// Ids whose newest entries are unreadable, with the version in the store and the error.
    unreadable: BTreeMap<TargetId, (StoreVersion, String)>,
    /// Targets whose entries were rewritten since the last call of [`TargetList::take_updated`].
    updated: Vec<Arc<TargetEntry>>,
    /// Services named in the configuration, once it is known.
    services: Option<BTreeSet<ServiceName>>,
    /// When the process must have caught up with the store, if the last call to it failed.
    caught_up_by: Option<Moment>,
    /// Until when targets that are missing may be listed again, since the last failure of the store.
    relist_until: Option<Moment>,
    /// When the next target that is missing is removed.
    next_removal_at: Option<Moment>,
    evacuations: Evacuations,
    /// Targets that announced in a response that they are shutting down, whatever the list says.
    leaving: LeavingNotices,
    /// Times of the last update of the list and of the one before.
    applied_at: (Moment, Moment),
    /// Services all of whose targets are in evacuated halls.
    evacuated_services: HashSet<ServiceName>,
    /// The time for which the indexes were computed.
    indexed_at: Moment,
}

impl TargetList {
    /// Applies a complete list; returns the changes.
    pub fn apply_snapshot(
        &mut self,
        version: StoreVersion,
        listing: impl Into<TargetListing>,
        now: Moment,
    ) -> Vec<ListEvent> {
        if version < self.version {
            return Vec::new();
        }

        self.begin_update(now);

        let TargetListing { targets, unreadable } = listing.into();
        let readable = targets.iter().map(|listed| &listed.entry.id);
        let listed: HashSet<&TargetId> =
            readable.chain(unreadable.iter().map(|(id, ..)| id)).collect();
        let known_ids = self.known.keys().chain(self.unreadable.keys());
        let missing: BTreeSet<TargetId> =
            known_ids.filter(|id| !listed.contains(id)).cloned().collect();
        let mut events = Vec::new();

        for ListedTarget { version, entry } in targets {
            events.extend(self.set(version, entry));
        }

        for (id, version, reason) in unreadable {
            events.extend(self.set_unreadable(version, id, reason));
        }

        for id in missing {
            events.extend(self.remove_listed(&id, version, now));
        }

        self.finish_update(version);
        events
    }

    /// Applies changes in order; returns their effects.
    pub fn apply_changes(
        &mut self,
        version: StoreVersion,
        changes: Vec<TargetChange>,
        now: Moment,
    ) -> Vec<ListEvent> {
        self.begin_update(now);
        let mut events = Vec::new();

        for change in changes {
            match change {
                TargetChange::Set(ListedTarget { version, entry }) => {
                    events.extend(self.set(version, entry));
                }
                TargetChange::Removed { version, id } => {
                    events.extend(self.remove_listed(&id, version, now));
                }
                TargetChange::Unreadable { version, id, reason } => {
                    events.extend(self.set_unreadable(version, id, reason));
                }
            }
        }

        self.finish_update(version);
        events
    }

    /// Records that a target announced in a response that it is shutting down; returns the changes.
    pub fn record_leaving(&mut self, target: &TargetEntry, now: Moment) -> Vec<ListEvent> {
        if !self.leaving.record(target, now) {
            return Vec::new();
        }

        self.indexed_at = now;
        self.rebuild_index();
        vec![ListEvent::AnnouncedLeaving(target.id.clone())]
    }

    /// Records a failed call to the store. From `caught_up_by` on, a target that is missing from the
    /// list is gone.
    pub fn record_store_failure(&mut self, caught_up_by: Moment) {
        self.caught_up_by = self.caught_up_by.max(Some(caught_up_by));
    }

    /// Updates the evacuated halls.
    pub fn update_evacuations<T>(
        &mut self,
        change: impl FnOnce(&mut Evacuations) -> T,
        now: Moment,
    ) -> T {
        let changed = change(&mut self.evacuations);
        self.indexed_at = now;
        self.rebuild_index();

        changed
    }

    /// Whether the indexes are older than `age` and the state of evacuated halls has changed since.
    pub fn is_index_stale(&self, age: Duration, now: Moment) -> bool {
        now > self.indexed_at + age && self.evacuations.has_transition_between(self.indexed_at, now)
    }

    /// Whether a target that is missing has to be removed.
    pub fn has_due_removal(&self, now: Moment) -> bool {
        self.next_removal_at.is_some_and(|at| at <= now)
    }

    /// Records that all hall updates up to a version of the store are known.
    pub fn advance_halls_version(&mut self, version: StoreVersion) {
        self.evacuations.advance_to(version);
    }

    /// Evacuated halls.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Whether a service has targets that would accept work, all of them in evacuated halls.
    pub fn is_evacuated(&self, service: &str) -> bool {
        self.evacuated_services.contains(service)
    }

    fn begin_update(&mut self, now: Moment) {
        self.indexed_at = now;
        self.applied_at = (now, self.applied_at.0);

        if let Some(caught_up_by) = self.caught_up_by.take() {
            self.relist_until = Some(caught_up_by.min(now + RELIST_LIMIT));
        }
    }

    /// Removes missing targets whose time has passed and applies the changes that are due in
    /// evacuated halls; returns the targets removed.
    pub fn tick(&mut self, now: Moment) -> Vec<ListEvent> {
        let is_due = |known: &KnownTarget| known.removal_due_at.is_some_and(|at| at <= now);
        let due: Vec<TargetId> =
            self.known.iter().filter(|(_, k)| is_due(k)).map(|(id, _)| id.clone()).collect();

        let since = std::mem::replace(&mut self.indexed_at, now);
        let has_expired_notices = self.leaving.remove_expired(now);

        if due.is_empty()
            && !has_expired_notices
            && !self.evacuations.has_transition_between(since, now)
        {
            return Vec::new();
        }

        for id in &due {
            self.known.remove(id);
        }

        self.rebuild_index();
        due.into_iter().map(ListEvent::Removed).collect()
    }

    /// Removes a start of a target, as another target has answered at its address. This has no
    /// effect on a later start, which may be at another address.
    pub fn remove(&mut self, gone: &TargetEntry) {
        let known = self.known.get(&gone.id).map(|k| &k.entry);

        if known.is_some_and(|e| e.is_same_start(gone) && e.address == gone.address) {
            self.known.remove(&gone.id);
            self.rebuild_index();
        }
    }

    /// Whether an entry is of an earlier start of its target than the listed one.
    pub fn is_earlier_start(&self, entry: &TargetEntry) -> bool {
        self.get(&entry.id).is_some_and(|listed| !listed.is_same_start(entry))
    }

    /// Removes and returns the targets whose entries were rewritten since the last call.
    pub fn take_updated(&mut self) -> Vec<Arc<TargetEntry>> {
        std::mem::take(&mut self.updated)
    }

    /// Sets the services named in the configuration. Entries of other services name no usable
    /// target, and do not hide targets at their address.
    pub fn set_services(&mut self, services: BTreeSet<ServiceName>) {
        self.services = Some(services);
        self.rebuild_index();
    }

    /// Sets the process for which [`TargetList::candidates`] selects its subsets.
    pub fn set_subset_view(&mut self, subset_view: SubsetView) {
        self.subset_view = Some(subset_view);
        self.rebuild_index();
    }

    /// Targets of a service that accept work and that this process uses: it receives their load
    /// reports and chooses among them.
    pub fn candidates(&self, service: &str) -> Option<&Arc<[Arc<TargetEntry>]>> {
        self.candidates.get(service)
    }

    /// Targets of all services that this process uses.
    pub fn all_candidates(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.candidates.values().flat_map(|targets| targets.iter())
    }

    /// Targets of a service that accept work.
    pub fn serving(&self, service: &str) -> Option<&Arc<[Arc<TargetEntry>]>> {
        self.serving.get(service)
    }

    /// Whether new work may go to a start of a target.
    pub fn takes_work(&self, target: &TargetEntry) -> bool {
        self.serving(&target.service).is_some_and(|all| all.iter().any(|t| t.is_same_start(target)))
    }

    /// When a target that is missing from the list is removed; `None` if it is listed or unknown.
    pub fn removal_due_at(&self, id: &str) -> Option<Moment> {
        self.known.get(id)?.removal_due_at
    }

    /// Whether a start of a target announced in a response that it is shutting down.
    pub fn has_announced_leaving(&self, target: &TargetEntry) -> bool {
        self.leaving.contains(target, self.indexed_at)
    }

    /// Newest target at an address.
    pub fn newest_at(&self, address: SocketAddr) -> Option<Arc<TargetEntry>> {
        self.by_address.get(&address).map(|(_, entry)| entry.clone())
    }

    /// Entry of a target.
    pub fn get(&self, id: &str) -> Option<&Arc<TargetEntry>> {
        self.known.get(id).map(|k| &k.entry)
    }

    /// Entries of all targets, including those that are shutting down.
    pub fn all(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.known.values().map(|k| &k.entry)
    }

    /// Snapshot of the listed targets with their versions in the store. Targets that are missing
    /// from the list are left out.
    pub fn listed(&self) -> TargetListing {
        let listed =
            |k: &KnownTarget| ListedTarget { version: k.version, entry: (*k.entry).clone() };
        let is_listed =
            |k: &&KnownTarget| k.removal_due_at.is_none() && self.is_readable(&k.entry.id);
        let unreadable = self.unreadable.iter();

        TargetListing {
            targets: self.known.values().filter(is_listed).map(listed).collect(),
            unreadable: unreadable
                .map(|(id, (v, reason))| (id.clone(), *v, reason.clone()))
                .collect(),
        }
    }

    /// Whether the newest entry of an id is readable; true without an entry.
    pub fn is_readable(&self, id: &str) -> bool {
        !self.unreadable.contains_key(id)
    }

    /// Version of the store up to which the list is known.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    fn set(&mut self, version: StoreVersion, entry: TargetEntry) -> Vec<ListEvent> {
        let before = self.known.get(&entry.id);

        if self.newest_version(&entry.id).is_some_and(|newest| newest > version) {
            return Vec::new();
        }

        if before.is_some_and(|k| k.entry.born_ms.is_some()) && entry.born_ms.is_none() {
            // A target that reports its start time always does.
            let reason = "without the time of its start".to_string();
            return self.set_unreadable(version, entry.id, reason).into_iter().collect();
        }

        let is_updated = before.is_none_or(|k| k.version < version);
        let is_restart = before.is_some_and(|k| !k.entry.is_same_start(&entry));

        if before.is_none_or(|k| !k.entry.is_same_start(&entry)) {
            let (now, before) = self.applied_at;
            self.leaving.record_start(&entry, before, now);
        }

        let was_leaving =
            !is_restart && before.is_some_and(|k| k.entry.state == TargetState::Leaving);
        let was_unreadable = self.unreadable.remove(&entry.id).is_some();
        let is_new = before.is_none_or(|k| k.removal_due_at.is_some()) || was_unreadable;
        let (id, state) = (entry.id.clone(), entry.state);
        let entry = Arc::new(entry);
        self.known.insert(
            id.clone(),
            KnownTarget { entry: entry.clone(), version, removal_due_at: None },
        );

        if is_updated {
            self.updated.push(entry.clone());
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

    /// Records that the newest entry of an id is unreadable; returns an event unless it already
    /// was.
    fn set_unreadable(
        &mut self,
        version: StoreVersion,
        id: TargetId,
        reason: String,
    ) -> Option<ListEvent> {
        if self.newest_version(&id).is_some_and(|newest| newest > version) {
            return None;
        }

        if let Some(known) = self.known.get_mut(&id) {
            // The target is listed, although its entry is unreadable.
            known.removal_due_at = None;
        }

        let before = self.unreadable.insert(id.clone(), (version, reason.clone()));

        before.is_none().then_some(ListEvent::Unreadable { id, reason })
    }

    /// Version in the store of the newest entry of an id.
    fn newest_version(&self, id: &str) -> Option<StoreVersion> {
        let readable = self.known.get(id).map(|k| k.version);

        readable.max(self.unreadable.get(id).map(|(version, _)| *version))
    }

    fn remove_listed(&mut self, id: &str, version: StoreVersion, now: Moment) -> Option<ListEvent> {
        if self.newest_version(id).is_some_and(|newest| newest > version) {
            return None;
        }

        let was_unreadable = self.unreadable.remove(id).is_some();
        let known = self.known.get_mut(id)?;

        if known.removal_due_at.is_some() {
            return None;
        }

        let is_serving = known.entry.state == TargetState::Serving && !was_unreadable;

        match self.relist_until {
            Some(at) if at > now && is_serving => {
                known.removal_due_at = Some(at);
                Some(ListEvent::Lapsed(id.to_string()))
            }
            _ => {
                self.known.remove(id);
                Some(ListEvent::Removed(id.to_string()))
            }
        }
    }

    fn finish_update(&mut self, version: StoreVersion) {
        self.version = self.version.max(version);
        self.rebuild_index();
    }

    /// Whether an entry names a usable target, apart from its state.
    fn is_usable(&self, entry: &TargetEntry) -> bool {
        let is_named = |services: &BTreeSet<ServiceName>| services.contains(&entry.service);

        self.is_readable(&entry.id) && self.services.as_ref().is_none_or(is_named)
    }

    fn rebuild_index(&mut self) {
        self.rebuild_addresses();
        self.next_removal_at = self.known.values().filter_map(|k| k.removal_due_at).min();
        let mut by_service: HashMap<ServiceName, Vec<Arc<TargetEntry>>> = HashMap::new();
        let mut newest: HashMap<SocketAddr, StoreVersion> = HashMap::new();

        for known in self.known.values().filter(|k| self.is_usable(&k.entry)) {
            let version = newest.entry(known.entry.address).or_default();
            *version = known.version.max(*version);
        }

        let mut evacuated: HashSet<&ServiceName> = HashSet::new();

        for known in self.known.values().filter(|k| self.is_usable(&k.entry)) {
            // Of two targets at one address, the one with the newer entry has replaced the other.
            let is_newest = newest.get(&known.entry.address) == Some(&known.version);

            let is_leaving = known.entry.state != TargetState::Serving
                || self.has_announced_leaving(&known.entry);

            if is_leaving || !is_newest {
                continue;
            }

            // Every request's target comes from this index, so the check for evacuation cannot be
            // bypassed.
            if self.evacuations.excludes(&known.entry, self.indexed_at) {
                evacuated.insert(&known.entry.service);
            } else {
                by_service
                    .entry(known.entry.service.clone())
                    .or_default()
                    .push(known.entry.clone());
            }
        }

        let is_unserved = |service: &&&ServiceName| !by_service.contains_key(**service);
        self.evacuated_services =
            evacuated.iter().filter(is_unserved).map(|s| (*s).clone()).collect();
        self.serving = by_service.into_iter().map(|(name, list)| (name, list.into())).collect();
        self.rebuild_candidates();
    }

    fn rebuild_candidates(&mut self) {
        let select = |serving: &Arc<[Arc<TargetEntry>]>| match &self.subset_view {
            Some(subset_view) if serving.len() > subset_view.options.size => {
                subset(serving, &subset_view.process, &subset_view.hall, subset_view.options).into()
            }
            _ => serving.clone(),
        };

        self.candidates =
            self.serving.iter().map(|(name, list)| (name.clone(), select(list))).collect();
    }

    fn rebuild_addresses(&mut self) {
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
