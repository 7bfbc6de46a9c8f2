//! Rates of requests that targets take from all gateways together, as they name them in their answers.
//!
//! A target names its limit in each answer for as long as it needs one. An answer without it ends the limit, but only
//! where its request was sent after the limit was heard of: answers overtake each other. A limit is that of one start of a
//! target. It has no lifetime of its own: while it is in force some requests still go there, and the first answer without
//! it ends it.

use std::collections::HashMap;

use grebedeck_core::Moment;
use grebedeck_routing::Birth;

use crate::targets::{TargetEntry, TargetId};

/// Requests a second.
pub type RatePerS = f64;

/// Lowest limit that is kept to, in requests a second. A target must be asked now and then, or the end of its limit would
/// never be heard of.
pub const MIN_LIMIT_PER_S: RatePerS = 0.05;
/// Highest limit that is believed, in requests a second; more than one target serves.
pub const MAX_LIMIT_PER_S: RatePerS = 100_000.0;

/// What an answer says of its target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// Nothing, so there is none.
    Absent,
    /// The requests a second that the target takes.
    PerS(RatePerS),
    /// Something that is no limit; it changes nothing.
    Unreadable,
}

/// Reads what an answer says of its target's limit from the values of its header; the lowest of them holds.
pub fn named_limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> NamedLimit {
    let read = values.map(parse_limit);

    read.fold(NamedLimit::Absent, |named, value| match (named, value) {
        (NamedLimit::PerS(before), Some(per_s)) => NamedLimit::PerS(before.min(per_s)),
        (NamedLimit::PerS(before), None) => NamedLimit::PerS(before),
        (_, Some(per_s)) => NamedLimit::PerS(per_s),
        (_, None) => NamedLimit::Unreadable,
    })
}

fn parse_limit(value: &[u8]) -> Option<RatePerS> {
    let per_s: RatePerS = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    let is_limit = per_s > 0.0 && per_s <= MAX_LIMIT_PER_S;

    is_limit.then(|| per_s.max(MIN_LIMIT_PER_S))
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// Nothing.
    None,
    /// The target has a limit, or another one than before.
    Set(RatePerS),
    /// The target has no limit any more.
    Ended,
    /// The target names what is no limit; reported once for each start.
    Unreadable,
}

/// A target's limit, as this gateway knows it.
#[derive(Clone, Debug, Default)]
struct Known {
    birth: Birth,
    per_s: Option<RatePerS>,
    /// When the limit, or its end, was heard of last.
    heard_at: Moment,
    /// Since when there is a limit.
    since: Moment,
    /// Requests sent since then.
    sent: u64,
    is_unreadable: bool,
}

/// A target's limit, for a dump.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitView {
    /// The limit.
    pub per_s: RatePerS,
    /// Since when there is one.
    pub since: Moment,
    /// Requests that this gateway has sent since then.
    pub sent: u64,
}

/// Limits of targets.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    targets: HashMap<TargetId, Known>,
}

impl Limits {
    /// Takes in what an answer to a request sent at `sent_at` says; `is_good` tells an answer that the target made as usual,
    /// as only those are sure to name a limit that holds.
    pub fn heard(
        &mut self,
        target: &TargetEntry,
        named: NamedLimit,
        is_good: bool,
        sent_at: Moment,
        now: Moment,
    ) -> LimitChange {
        match named {
            NamedLimit::Absent if !is_good => LimitChange::None,
            NamedLimit::Absent => self.heard_none(target, sent_at, now),
            NamedLimit::PerS(per_s) => self.set(target, per_s, now),
            NamedLimit::Unreadable => {
                let known = self.known(target);
                let was_unreadable = std::mem::replace(&mut known.is_unreadable, true);

                if was_unreadable { LimitChange::None } else { LimitChange::Unreadable }
            }
        }
    }

    /// Notes that a request is sent to a target; tells whether it has a limit.
    pub fn sent(&mut self, target: &TargetEntry) -> bool {
        let known = self.targets.get_mut(&target.id).filter(|k| k.birth == target.born_ms);
        let Some(known) = known.filter(|known| known.per_s.is_some()) else {
            return false;
        };
        known.sent += 1;

        true
    }

    /// Gets a target's limit, where it has one.
    pub fn view(&self, target: &TargetEntry) -> Option<LimitView> {
        let known = self.targets.get(&target.id).filter(|k| k.birth == target.born_ms)?;

        Some(LimitView { per_s: known.per_s?, since: known.since, sent: known.sent })
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.targets.retain(|id, _| is_there(id));
    }

    fn heard_none(&mut self, target: &TargetEntry, sent_at: Moment, now: Moment) -> LimitChange {
        let known = self.targets.get_mut(&target.id).filter(|k| k.birth == target.born_ms);
        let Some(known) = known.filter(|k| k.per_s.is_some() && sent_at >= k.heard_at) else {
            return LimitChange::None;
        };
        known.per_s = None;
        known.heard_at = now;

        LimitChange::Ended
    }

    fn set(&mut self, target: &TargetEntry, per_s: RatePerS, now: Moment) -> LimitChange {
        let known = self.known(target);
        let before = known.per_s.replace(per_s);
        known.heard_at = now;

        if before.is_none() {
            known.since = now;
            known.sent = 0;
        }

        if before == Some(per_s) { LimitChange::None } else { LimitChange::Set(per_s) }
    }

    /// Gets what is known of a start of a target; another start has none of the limit of the one before.
    fn known(&mut self, target: &TargetEntry) -> &mut Known {
        let known = self.targets.entry(target.id.clone()).or_default();

        if known.birth != target.born_ms {
            *known = Known { birth: target.born_ms, ..Known::default() };
        }

        known
    }
}
