//! Targets that announced in a response that they are shutting down.
//!
//! The platform's list lags behind such a notice, may never show it, and may list the target again
//! when the store recovers. So a notice applies to one start of a target, however old the notice
//! is.
//!
//! A response does not say which start it comes from. If the first notice arrived while the list
//! may already have lagged behind the next start, it also applies to that start, for as long as
//! targets take to shut down. A target in a planned replacement sends its notice long before.

use std::collections::BTreeMap;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_routing::StartId;

use crate::targets::{TargetEntry, TargetId};

/// Number of starts to remember: those of some days, in less than a megabyte. The oldest are
/// evicted first, as those targets are gone.
const MAX_NOTICES: usize = 4096;
/// Longest time from a start to its entry in the store, with one failed call that is retried.
const ENTRY_LAG: Duration = Duration::from_secs(1);
/// How long a notice applies that may come from an earlier start. Targets end some seconds after
/// their notice, and one that is excluded by mistake is not missed for longer.
const DOUBTFUL_NOTICE_LIFETIME: Duration = Duration::from_secs(10);

/// Notice that a target is shutting down.
#[derive(Clone, Copy, Debug)]
struct Notice {
    /// First receipt.
    received_at: Moment,
    /// Expiry, if the notice may come from another start.
    expires_at: Option<Moment>,
}

impl Notice {
    fn is_in_force(&self, now: Moment) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}

/// Shutdown notices by target and start.
#[derive(Clone, Debug, Default)]
pub struct LeavingNotices {
    notices: BTreeMap<(TargetId, StartId), Notice>,
}

impl LeavingNotices {
    /// Records a notice from a start of a target; returns whether none was in force.
    pub fn record(&mut self, target: &TargetEntry, now: Moment) -> bool {
        let key = (target.id.clone(), target.born_ms);
        let before = self.notices.get(&key).copied();
        let received_at = before.map_or(now, |before| before.received_at);
        self.notices.insert(key, Notice { received_at, expires_at: None });
        self.evict_oldest();

        before.is_none_or(|before| !before.is_in_force(now))
    }

    /// Records that the list shows a different start of a target. The list may have lagged behind
    /// that start since `listed_before`, when it was last updated.
    pub fn record_start(&mut self, target: &TargetEntry, listed_before: Moment, now: Moment) {
        let key = (target.id.clone(), target.born_ms);
        let from = listed_before.saturating_sub(ENTRY_LAG);
        let of_target = self.notices.range((target.id.clone(), None)..);
        let newest = of_target
            .take_while(|((id, _), _)| *id == target.id)
            .filter(|(_, notice)| notice.expires_at.is_none())
            .map(|(_, notice)| notice.received_at)
            .max();

        if let Some(received_at) = newest.filter(|received_at| *received_at >= from) {
            self.notices.entry(key).or_insert(Notice {
                received_at,
                expires_at: Some(now + DOUBTFUL_NOTICE_LIFETIME),
            });
        }
    }

    /// Whether a notice from this start of a target is in force.
    pub fn contains(&self, target: &TargetEntry, now: Moment) -> bool {
        if self.notices.is_empty() {
            return false;
        }

        self.notices
            .get(&(target.id.clone(), target.born_ms))
            .is_some_and(|notice| notice.is_in_force(now))
    }

    /// Removes expired notices; returns whether there were any.
    pub fn remove_expired(&mut self, now: Moment) -> bool {
        let before = self.notices.len();
        self.notices.retain(|_, notice| notice.is_in_force(now));

        self.notices.len() < before
    }

    fn evict_oldest(&mut self) {
        if self.notices.len() <= MAX_NOTICES {
            return;
        }

        let oldest = self
            .notices
            .iter()
            .min_by_key(|(_, notice)| notice.received_at)
            .map(|(key, _)| key.clone());

        if let Some(key) = oldest {
            self.notices.remove(&key);
        }
    }
}
