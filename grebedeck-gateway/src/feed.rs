//! Cache of what one process has read from the store, from which other processes can follow the
//! store.
//!
//! A feed answers as the store does: with the whole state at one version, or with the changes after
//! a version. Versions are the store's, so a follower can continue from any feed, or from the
//! store, where it stopped at another. It may receive a change twice that way, which it
//! recognises by the change's version.

use std::collections::VecDeque;
use std::time::Duration;

use grebedeck_core::Moment;
use serde::Serialize;

use crate::size::HeldBytes;
use crate::source::{OperatorChange, OperatorState, Snapshot, StoreVersion, TargetChange, Watched};
use crate::targets::TargetListing;

/// Most changes kept for followers; a follower that is further behind reads the whole state.
const MAX_CHANGES: usize = 4096;
/// Most memory of the kept changes, in bytes. The newest change is kept in any case.
const MAX_CHANGES_BYTES: usize = 1 << 20;

/// The part of the state that a change replaces. A later change of the same part makes an earlier
/// one redundant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReplacedPart<'a> {
    /// The configuration.
    Site,
    /// The status of a hall.
    Hall(&'a str),
    /// The error of an operators' key.
    UnreadableKey(&'a str),
    /// The entry of a target.
    Target(&'a str),
    /// The removal of a target's entry.
    RemovedTarget(&'a str),
    /// The error of a target's entry.
    UnreadableTarget(&'a str),
}

/// State that is updated by changes.
pub trait ApplyChange: Clone + HeldBytes {
    /// A change of the state.
    type Change: Clone + HeldBytes;

    /// Applies a change.
    fn apply(&mut self, change: Self::Change);

    /// The part of the state that a change replaces.
    fn replaced_part(change: &Self::Change) -> ReplacedPart<'_>;
}

impl ApplyChange for OperatorState {
    type Change = OperatorChange;

    fn apply(&mut self, change: OperatorChange) {
        match change {
            OperatorChange::Site(site) => self.site = Some(site),
            OperatorChange::Evacuated { hall, .. } => {
                if !self.evacuated.contains(&hall) {
                    self.evacuated.push(hall);
                }
            }
            OperatorChange::Reopened { hall, .. } => self.evacuated.retain(|other| *other != hall),
            OperatorChange::Unreadable(what) => {
                self.unreadable.retain(|other| other.key != what.key);
                self.unreadable.push(what);
            }
        }
    }

    fn replaced_part(change: &OperatorChange) -> ReplacedPart<'_> {
        match change {
            OperatorChange::Site(_) => ReplacedPart::Site,
            OperatorChange::Evacuated { hall, .. } | OperatorChange::Reopened { hall, .. } => {
                ReplacedPart::Hall(hall)
            }
            OperatorChange::Unreadable(what) => ReplacedPart::UnreadableKey(&what.key),
        }
    }
}

impl ApplyChange for TargetListing {
    type Change = TargetChange;

    fn apply(&mut self, change: TargetChange) {
        match change {
            TargetChange::Set(listed) => {
                self.remove(&listed.entry.id);
                self.targets.push(listed);
            }
            TargetChange::Removed { id, .. } => self.remove(&id),
            TargetChange::Unreadable { version, id, reason } => {
                self.remove(&id);
                self.unreadable.push((id, version, reason));
            }
        }
    }

    fn replaced_part(change: &TargetChange) -> ReplacedPart<'_> {
        match change {
            TargetChange::Set(listed) => ReplacedPart::Target(&listed.entry.id),
            TargetChange::Removed { id, .. } => ReplacedPart::RemovedTarget(id),
            TargetChange::Unreadable { id, .. } => ReplacedPart::UnreadableTarget(id),
        }
    }
}

/// Whether a feed is up to date with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedState {
    /// Nothing has been read yet.
    #[default]
    Empty,
    /// The last call to the store was answered.
    Fresh,
    /// The last call to the store failed.
    Stale,
}

/// Memory that a feed holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FeedSize {
    /// Number of kept changes.
    pub changes: usize,
    /// Memory of the kept changes, in bytes.
    pub changes_bytes: usize,
    /// Memory of the whole state, in bytes. A configuration is shared with the newest change of it.
    pub state_bytes: usize,
}

/// State that was read from the store, and the latest changes to it.
#[derive(Clone, Debug)]
pub struct Feed<T: ApplyChange> {
    state: FeedState,
    /// State at the newest version.
    current: Option<Snapshot<T>>,
    /// Version after which all changes are kept, apart from redundant ones.
    history_start: StoreVersion,
    changes: VecDeque<(StoreVersion, T::Change)>,
    changes_bytes: usize,
    /// When the store last answered.
    confirmed_at: Moment,
}

impl<T: ApplyChange> Default for Feed<T> {
    fn default() -> Self {
        Feed {
            state: FeedState::Empty,
            current: None,
            history_start: 0,
            changes: VecDeque::new(),
            changes_bytes: 0,
            confirmed_at: Moment::ZERO,
        }
    }
}

impl<T: ApplyChange> Feed<T> {
    /// Replaces the whole state by one that was read from the store.
    pub fn replace(&mut self, snapshot: Snapshot<T>, now: Moment) {
        self.confirm(now);
        self.history_start = snapshot.version;
        self.changes.clear();
        self.changes_bytes = 0;
        self.current = Some(snapshot);
    }

    /// Records the result of a watch of the store; does nothing before the first read.
    pub fn extend(&mut self, watched: &Watched<T::Change>, now: Moment) {
        let Some(current) = &mut self.current else {
            return;
        };

        if let Watched::Changed { version, changes } = watched {
            current.version = *version;
            changes.iter().for_each(|change| current.value.apply(change.clone()));
            self.remove_redundant(changes);
            self.push_changes(*version, changes);
            self.discard_oldest();
        }

        self.confirm(now);
    }

    /// Records that a call to the store failed.
    pub fn mark_stale(&mut self) {
        self.state = FeedState::Stale;
    }

    /// Drops everything when this process stops reading the store.
    pub fn clear(&mut self) {
        *self = Feed::default();
    }

    /// Whether the feed is up to date.
    pub fn state(&self) -> FeedState {
        self.state
    }

    /// Time since the store last confirmed the contents.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Memory that the feed holds.
    pub fn size(&self) -> FeedSize {
        FeedSize {
            changes: self.changes.len(),
            changes_bytes: self.changes_bytes,
            state_bytes: self.current.as_ref().map_or(0, |current| current.value.held_bytes()),
        }
    }

    /// The whole state at the newest version; `None` before the first read.
    pub fn read(&self) -> Option<Snapshot<T>> {
        self.current.clone()
    }

    /// Changes after a version, or [`Watched::HistoryGone`] if some of them are no longer kept.
    pub fn changes_after(&self, after: StoreVersion) -> Watched<T::Change> {
        let version = match &self.current {
            Some(current) if after >= self.history_start => current.version,
            _ => return Watched::HistoryGone,
        };

        let newer = self.changes.iter().filter(|(version, _)| *version > after);
        let changes: Vec<T::Change> = newer.map(|(_, change)| change.clone()).collect();

        match changes.is_empty() {
            true => Watched::Quiet,
            false => Watched::Changed { version, changes },
        }
    }

    fn confirm(&mut self, now: Moment) {
        self.state = FeedState::Fresh;
        self.confirmed_at = now;
    }

    /// Removes the kept changes of parts that newer changes replace.
    fn remove_redundant(&mut self, newer: &[T::Change]) {
        let mut parts: Vec<ReplacedPart> = newer.iter().map(T::replaced_part).collect();
        parts.sort_unstable();
        let mut removed_bytes = 0;

        self.changes.retain(|(_, change)| {
            let is_redundant = parts.binary_search(&T::replaced_part(change)).is_ok();
            removed_bytes += if is_redundant { change.held_bytes() } else { 0 };
            !is_redundant
        });
        self.changes_bytes -= removed_bytes;
    }

    fn push_changes(&mut self, version: StoreVersion, changes: &[T::Change]) {
        for change in changes {
            self.changes_bytes += change.held_bytes();
            self.changes.push_back((version, change.clone()));
        }
    }

    /// Discards the oldest changes beyond the limits. Changes of one version stay together.
    fn discard_oldest(&mut self) {
        let is_over = |feed: &Self| {
            feed.changes.len() > MAX_CHANGES
                || (feed.changes_bytes > MAX_CHANGES_BYTES && feed.changes.len() > 1)
        };

        while is_over(self)
            || self.changes.front().is_some_and(|(version, _)| *version == self.history_start)
        {
            let Some((version, change)) = self.changes.pop_front() else {
                return;
            };
            self.history_start = version;
            self.changes_bytes -= change.held_bytes();
        }
    }
}
