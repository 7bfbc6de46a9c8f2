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

use crate::source::{OperatorChange, OperatorState, Snapshot, StoreVersion, TargetChange, Watched};
use crate::targets::TargetListing;

/// Most changes kept for followers; a follower that is further behind reads the whole state.
const MAX_CHANGES: usize = 4096;

/// State that is updated by changes.
pub trait ApplyChange: Clone {
    /// A change of the state.
    type Change: Clone;

    /// Applies a change.
    fn apply(&mut self, change: Self::Change);
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

/// State that was read from the store, and the latest changes to it.
#[derive(Clone, Debug)]
pub struct Feed<T: ApplyChange> {
    state: FeedState,
    /// State before the kept changes.
    base: Option<Snapshot<T>>,
    changes: VecDeque<(StoreVersion, T::Change)>,
    version: StoreVersion,
    /// When the store last answered.
    confirmed_at: Moment,
}

impl<T: ApplyChange> Default for Feed<T> {
    fn default() -> Self {
        Feed {
            state: FeedState::Empty,
            base: None,
            changes: VecDeque::new(),
            version: 0,
            confirmed_at: Moment::ZERO,
        }
    }
}

impl<T: ApplyChange> Feed<T> {
    /// Replaces the whole state by one that was read from the store.
    pub fn replace(&mut self, snapshot: Snapshot<T>, now: Moment) {
        self.confirm(now);
        self.version = snapshot.version;
        self.changes.clear();
        self.base = Some(snapshot);
    }

    /// Records the result of a watch of the store; does nothing before the first read.
    pub fn extend(&mut self, watched: &Watched<T::Change>, now: Moment) {
        if self.base.is_none() {
            return;
        }

        self.confirm(now);
        let Watched::Changed { version, changes } = watched else {
            return;
        };
        self.version = *version;
        self.changes.extend(changes.iter().map(|change| (*version, change.clone())));
        self.compact();
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

    /// The whole state at the newest version; `None` before the first read.
    pub fn read(&self) -> Option<Snapshot<T>> {
        let mut snapshot = self.base.clone()?;
        snapshot.version = self.version;

        for (_, change) in &self.changes {
            snapshot.value.apply(change.clone());
        }

        Some(snapshot)
    }

    /// Changes after a version, or [`Watched::HistoryGone`] if some of them are no longer kept.
    pub fn changes_after(&self, after: StoreVersion) -> Watched<T::Change> {
        match &self.base {
            Some(base) if after >= base.version => {}
            _ => return Watched::HistoryGone,
        }

        let newer = self.changes.iter().filter(|(version, _)| *version > after);
        let changes: Vec<T::Change> = newer.map(|(_, change)| change.clone()).collect();

        match changes.is_empty() {
            true => Watched::Quiet,
            false => Watched::Changed { version: self.version, changes },
        }
    }

    fn confirm(&mut self, now: Moment) {
        self.state = FeedState::Fresh;
        self.confirmed_at = now;
    }

    /// Folds the oldest changes beyond [`MAX_CHANGES`] into the base. Changes of one version stay
    /// together.
    fn compact(&mut self) {
        let Some(base) = &mut self.base else {
            return;
        };

        while self.changes.len() > MAX_CHANGES
            || self.changes.front().is_some_and(|(version, _)| *version == base.version)
        {
            let Some((version, change)) = self.changes.pop_front() else {
                return;
            };
            base.version = version;
            base.value.apply(change);
        }
    }
}
