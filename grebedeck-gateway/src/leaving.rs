//! Targets that said in an answer that they are leaving.
//!
//! The platform's list lags behind such a word, may never tell it, and may list the target again when the store comes
//! back. So the word holds for the start of the target that it is about, however long ago it came.

use std::collections::BTreeMap;

use grebedeck_core::Moment;
use grebedeck_routing::Birth;

use crate::targets::{TargetEntry, TargetId};

/// Starts of targets that are remembered: those of some days, in less than a megabyte. The oldest words go first, whose
/// targets are gone.
const MAX_REMEMBERED: usize = 4096;

/// Starts of targets that said that they leave, and when they did.
#[derive(Clone, Debug, Default)]
pub struct LeavingWords {
    said: BTreeMap<(TargetId, Birth), Moment>,
}

impl LeavingWords {
    /// Notes that a start of a target says that it leaves; tells whether that is news.
    pub fn note(&mut self, target: &TargetEntry, now: Moment) -> bool {
        let key = (target.id.clone(), target.born_ms);

        if self.said.contains_key(&key) {
            return false;
        }

        self.said.insert(key, now);
        self.forget_oldest();
        true
    }

    /// Tells whether this start of a target said that it leaves.
    pub fn has(&self, target: &TargetEntry) -> bool {
        !self.said.is_empty() && self.said.contains_key(&(target.id.clone(), target.born_ms))
    }

    fn forget_oldest(&mut self) {
        if self.said.len() <= MAX_REMEMBERED {
            return;
        }

        let oldest = self.said.iter().min_by_key(|(_, at)| **at).map(|(key, _)| key.clone());

        if let Some(key) = oldest {
            self.said.remove(&key);
        }
    }
}
