//! Targets that said in an answer that they are leaving.
//!
//! The platform's list lags behind such a word, may never tell it, and may list the target again when the store comes
//! back. So the word holds for the start of the target that it is about, however long ago it came.
//!
//! An answer does not tell which start it is of. Where the first word came while the list may already have lagged behind
//! the next start, it is taken for that one's as well, for as long as targets take to leave. A target that is replaced as
//! planned has said it long before.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_routing::Birth;

use crate::targets::{TargetEntry, TargetId};

/// Starts of targets that are remembered: those of some days, in less than a megabyte. The oldest words go first, whose
/// targets are gone.
const MAX_REMEMBERED: usize = 4096;
/// How long a start may run before its entry is in the store: a call that is tried again once.
const ENTRY_LAG: Duration = Duration::from_secs(1);
/// How long a word is believed that may be of an earlier start: targets end some seconds after they have said it, and
/// one that did not mean it is missed for no longer.
const DOUBTFUL_FOR: Duration = Duration::from_secs(10);

/// A target's word that it leaves.
#[derive(Clone, Copy, Debug)]
struct Said {
    /// When it was heard first.
    at: Moment,
    /// Until when it is believed, where it may be of another start.
    until: Option<Moment>,
}

impl Said {
    fn holds(&self, now: Moment) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// Starts of targets that said that they leave, and when they did.
#[derive(Clone, Debug, Default)]
pub struct LeavingNotices {
    said: BTreeMap<(TargetId, Birth), Said>,
}

impl LeavingNotices {
    /// Notes that a start of a target says that it leaves; tells whether that is news.
    pub fn record(&mut self, target: &TargetEntry, now: Moment) -> bool {
        let key = (target.id.clone(), target.born_ms);
        let before = self.said.get(&key).copied();
        let at = before.map_or(now, |before| before.at);
        self.said.insert(key, Said { at, until: None });
        self.forget_oldest();

        before.is_none_or(|before| !before.holds(now))
    }

    /// Notes that the list names another start of a target than before, which it may have lagged behind since it was
    /// taken in last.
    pub fn record_start(&mut self, target: &TargetEntry, listed_before: Moment, now: Moment) {
        let key = (target.id.clone(), target.born_ms);
        let from = listed_before.saturating_sub(ENTRY_LAG);
        let of_target = self.said.range((target.id.clone(), None)..);
        let newest = of_target
            .take_while(|((id, _), _)| *id == target.id)
            .filter(|(_, said)| said.until.is_none())
            .map(|(_, said)| said.at)
            .max();

        if let Some(at) = newest.filter(|at| *at >= from) {
            self.said.entry(key).or_insert(Said { at, until: Some(now + DOUBTFUL_FOR) });
        }
    }

    /// Tells whether this start of a target said that it leaves.
    pub fn contains(&self, target: &TargetEntry, now: Moment) -> bool {
        if self.said.is_empty() {
            return false;
        }

        self.said.get(&(target.id.clone(), target.born_ms)).is_some_and(|said| said.holds(now))
    }

    /// Forgets words that are not believed any more; tells whether there were some.
    pub fn remove_expired(&mut self, now: Moment) -> bool {
        let before = self.said.len();
        self.said.retain(|_, said| said.holds(now));

        self.said.len() < before
    }

    fn forget_oldest(&mut self) {
        if self.said.len() <= MAX_REMEMBERED {
            return;
        }

        let oldest = self.said.iter().min_by_key(|(_, said)| said.at).map(|(key, _)| key.clone());

        if let Some(key) = oldest {
            self.said.remove(&key);
        }
    }
}
