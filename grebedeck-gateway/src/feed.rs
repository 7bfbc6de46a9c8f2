//! What one process has read from the store, kept so that others can follow it there.
//!
//! A feed answers as the store does: with the whole state of one version, or with the changes after a version. Versions
//! are the store's, so whoever follows can go on from any feed, and from the store itself, where it stopped at another.
//! Changes that come twice that way are told apart by their versions.

use std::collections::VecDeque;
use std::time::Duration;

use grebedeck_core::Moment;

use crate::source::{OperatorChange, OperatorState, Snapshot, StoreVersion, TargetChange, Watched};
use crate::targets::TargetListing;

/// Changes that a feed keeps for those that follow it; whoever is further behind reads the whole state.
const MAX_CHANGES: usize = 4096;

/// State that follows from its changes.
pub trait ApplyChange: Clone {
    /// One change.
    type Change: Clone;

    /// Puts a change into the state.
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

/// Whether what a feed holds is what the store holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedState {
    /// Nothing was read yet.
    #[default]
    Empty,
    /// The last call to the store was answered.
    Fresh,
    /// The last call to the store failed.
    Stale,
}

/// What was read last, and the changes since.
#[derive(Clone, Debug)]
pub struct Feed<T: ApplyChange> {
    state: FeedState,
    /// The state as of the changes that are not kept any more.
    base: Option<Snapshot<T>>,
    changes: VecDeque<(StoreVersion, T::Change)>,
    version: StoreVersion,
    /// When the store last confirmed it.
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
    /// Notes the whole state, as the store has it.
    pub fn replace(&mut self, snapshot: Snapshot<T>, now: Moment) {
        self.confirm(now);
        self.version = snapshot.version;
        self.changes.clear();
        self.base = Some(snapshot);
    }

    /// Notes what a watch of the store has brought.
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

    /// Notes that a call to the store has failed.
    pub fn mark_stale(&mut self) {
        self.state = FeedState::Stale;
    }

    /// Drops all, as the store is not read any more.
    pub fn clear(&mut self) {
        *self = Feed::default();
    }

    /// Gets whether the feed is what the store has.
    pub fn state(&self) -> FeedState {
        self.state
    }

    /// Gets the time since the store last confirmed what the feed holds.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Gets the whole state.
    pub fn read(&self) -> Option<Snapshot<T>> {
        let mut snapshot = self.base.clone()?;
        snapshot.version = self.version;

        for (_, change) in &self.changes {
            snapshot.value.apply(change.clone());
        }

        Some(snapshot)
    }

    /// Gets the changes after a version.
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

    /// Puts the oldest changes into the state, where there are too many. Changes of one version stay together.
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
