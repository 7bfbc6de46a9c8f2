//! Rates of requests that targets take from all gateways together, as they name them in their answers.
//!
//! A target names its limit in each answer for as long as it needs one. An answer without it ends the limit, but only
//! where its request was sent after the limit was heard of: answers overtake each other. A limit is that of one start of a
//! target. It has no lifetime of its own: while it is in force some requests still go there, and the first answer without
//! it ends it. So a gateway keeps it for as long as the target is there, whether it hears of it or not.
//!
//! A request to such a target takes a permit, of which the target's [coordinator](crate::coordinator) gives each gateway
//! its [part](crate::quota). Whatever way a request takes, it asks here twice: when its target is chosen, and when it is sent.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_routing::StartId;

use crate::quota::{QuotaDemand, QuotaGrant};
use crate::targets::{TargetEntry, TargetId};

/// Requests a second.
pub type RatePerS = f64;

/// Lowest limit that is kept to, in requests a second. A target must be asked now and then, or the end of its limit would
/// never be heard of.
pub const MIN_LIMIT_PER_S: RatePerS = 0.05;
/// Highest limit that is believed, in requests a second; more than one target serves.
pub const MAX_LIMIT_PER_S: RatePerS = 100_000.0;

/// For how long a change is told to the coordinator, whether permits are wanted or not: some asks, as one may be lost.
const PUBLISH_FOR: Duration = Duration::from_millis(1500);
/// How long the end of a limit is remembered, against older news of it.
const END_MEMORY: Duration = Duration::from_secs(30);

/// Age from which on news are taken to be equally old.
const OLDEST: Duration = Duration::from_secs(24 * 3600);

/// When something was heard of, which may have been before this process began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeardAt(Moment);

impl HeardAt {
    /// Makes the moment that is some time ago.
    pub fn ago(age: Duration, now: Moment) -> Self {
        HeardAt((now + OLDEST).saturating_sub(age))
    }

    /// Gets how long ago it was.
    pub fn age(self, now: Moment) -> Duration {
        (now + OLDEST).saturating_sub(self.0)
    }
}

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
    birth: StartId,
    per_s: Option<RatePerS>,
    /// When the limit, or its end, was heard of last.
    heard_at: Option<HeardAt>,
    /// Since when there is a limit.
    since: Moment,
    /// Requests sent since then.
    sent: u64,
    /// Permits, by when they lapse.
    permits: VecDeque<Moment>,
    /// Requests a second that the coordinator gives, once it was asked.
    rate: Option<RatePerS>,
    is_unreadable: bool,
    /// Until when the coordinator is told of the last change.
    publish_until: Moment,
}

impl Known {
    fn has_permit(&self, now: Moment) -> bool {
        self.permits.back().is_some_and(|lapses_at| now < *lapses_at)
    }

    fn release_permits(&mut self, now: Moment) -> u32 {
        let permits = std::mem::take(&mut self.permits);

        permits.iter().filter(|lapses_at| now < **lapses_at).count() as u32
    }

    fn pop_permit(&mut self, now: Moment) -> Option<Moment> {
        // The one that lapses first is used first.
        while let Some(lapses_at) = self.permits.pop_front() {
            if now < lapses_at {
                return Some(lapses_at);
            }
        }

        None
    }
}

/// Leave to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The target had no limit.
    NotNeeded,
    /// The target has a limit; good until this moment.
    Until(Moment),
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
    /// Requests a second that this gateway may send, once the coordinator has said so.
    pub rate: Option<RatePerS>,
}

/// Limits of targets.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    targets: BTreeMap<TargetId, Known>,
}

impl Limits {
    /// Takes in what an answer to a request sent at `sent_at` says; `is_good` tells an answer that the target made as usual,
    /// as only those are sure to name a limit that holds.
    pub fn observe(
        &mut self,
        target: &TargetEntry,
        named: NamedLimit,
        is_good: bool,
        sent_at: Moment,
        now: Moment,
    ) -> LimitChange {
        match named {
            NamedLimit::Absent if !is_good => LimitChange::None,
            NamedLimit::Absent => self.observe_absent(target, sent_at, now),
            NamedLimit::PerS(per_s) => {
                self.set(target, per_s, HeardAt::ago(Duration::ZERO, now), now)
            }
            NamedLimit::Unreadable => {
                let known = self.known(target);
                let was_unreadable = std::mem::replace(&mut known.is_unreadable, true);

                if was_unreadable { LimitChange::None } else { LimitChange::Unreadable }
            }
        }
    }

    /// Tells whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Tells whether a target has a limit.
    pub fn is_limited(&self, target: &TargetEntry) -> bool {
        self.limited(target).is_some()
    }

    /// Tells whether a request may be sent to a target now.
    pub fn may_send(&self, target: &TargetEntry, now: Moment) -> bool {
        self.limited(target).is_none_or(|known| known.has_permit(now))
    }

    /// Takes the permit for a request to a target; none where there is no permit left.
    pub fn acquire(&mut self, target: &TargetEntry, now: Moment) -> Option<Permit> {
        match self.limited_mut(target) {
            Some(known) => known.pop_permit(now).map(Permit::Until),
            None => Some(Permit::NotNeeded),
        }
    }

    /// Tells whether a request with a permit may still be sent, and counts it. The limit may have been heard of since the
    /// permit was taken, or the permit has lapsed; then another one is taken.
    pub fn send(&mut self, target: &TargetEntry, permit: Permit, now: Moment) -> bool {
        let Some(known) = self.limited_mut(target) else {
            return true;
        };
        let is_good = matches!(permit, Permit::Until(lapses_at) if now < lapses_at);
        let is_sent = is_good || known.pop_permit(now).is_some();
        known.sent += u64::from(is_sent);

        is_sent
    }

    /// Gets the requests a second that may be sent to some targets, all of which have a limit; none where one has no limit.
    /// `gateways` is how many there are, for the part of a coordinator that was not asked yet.
    pub fn rate<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a TargetEntry>,
        gateways: usize,
    ) -> Option<RatePerS> {
        let rate = |target: &TargetEntry| {
            let known = self.limited(target)?;

            Some(known.rate.unwrap_or(known.per_s? / gateways.max(1) as f64))
        };

        targets.into_iter().map(rate).sum()
    }

    /// Gets what is to be asked of coordinators: permits for targets whose services have requests, and what has changed.
    /// `wanted` gives the requests of the last second that might go to a target, by its id. Unused permits are given back.
    pub fn demands(&mut self, wanted: impl Fn(&str) -> u32, now: Moment) -> Vec<QuotaDemand> {
        let demand = |(id, known): (&TargetId, &mut Known)| {
            let wanted = if known.per_s.is_some() { wanted(id) } else { 0 };

            let is_told = wanted > 0 || now < known.publish_until || known.has_permit(now);

            is_told.then(|| QuotaDemand {
                target: id.clone(),
                birth: known.birth,
                limit: known.per_s,
                heard_ago: known.heard_at.map_or(OLDEST, |at| at.age(now)),
                wanted,
                unused: known.release_permits(now),
            })
        };

        self.targets.iter_mut().filter_map(demand).collect()
    }

    /// Takes in what a coordinator gives for a target, asked at `asked_at`.
    pub fn apply(
        &mut self,
        target: &TargetEntry,
        grant: &QuotaGrant,
        lifetime: Duration,
        asked_at: Moment,
        now: Moment,
    ) -> LimitChange {
        // Counted from the ask, which errs towards older news.
        let heard_at = HeardAt::ago(grant.heard_ago, asked_at);
        let known = self.known(target);
        let is_newer = Some(heard_at) > known.heard_at;
        let change = match grant.limit {
            Some(per_s) if is_newer => self.set(target, per_s, heard_at, now),
            None if is_newer && known.per_s.is_some() => self.end(target, heard_at, now),
            _ => LimitChange::None,
        };

        if let Some(known) = self.limited_mut(target) {
            let lapses_at = asked_at + lifetime;
            known.permits.retain(|lapses_at| now < *lapses_at);
            known.permits.extend((0..grant.permits).map(|_| lapses_at));

            if grant.rate > 0.0 {
                known.rate = Some(grant.rate);
            }
        }

        change
    }

    /// Gets a target's limit, where it has one.
    pub fn view(&self, target: &TargetEntry) -> Option<LimitView> {
        let known = self.limited(target)?;

        Some(LimitView {
            per_s: known.per_s?,
            since: known.since,
            sent: known.sent,
            rate: known.rate,
        })
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.targets.retain(|id, _| is_there(id));
    }

    /// Forgets targets whose limits ended long ago.
    pub fn forget_ended(&mut self, now: Moment) {
        self.targets.retain(|_, known| {
            let is_recent = known.heard_at.is_some_and(|at| at.age(now) < END_MEMORY);

            known.per_s.is_some() || known.is_unreadable || is_recent
        });
    }

    fn limited(&self, target: &TargetEntry) -> Option<&Known> {
        self.targets.get(&target.id).filter(|k| k.birth == target.born_ms && k.per_s.is_some())
    }

    fn limited_mut(&mut self, target: &TargetEntry) -> Option<&mut Known> {
        self.targets.get_mut(&target.id).filter(|k| k.birth == target.born_ms && k.per_s.is_some())
    }

    fn observe_absent(
        &mut self,
        target: &TargetEntry,
        sent_at: Moment,
        now: Moment,
    ) -> LimitChange {
        let sent_at = HeardAt::ago(Duration::ZERO, sent_at);
        let was_sent_since = |known: &Known| Some(sent_at) >= known.heard_at;

        if self.limited(target).is_some_and(was_sent_since) {
            self.end(target, HeardAt::ago(Duration::ZERO, now), now)
        } else {
            LimitChange::None
        }
    }

    fn end(&mut self, target: &TargetEntry, heard_at: HeardAt, now: Moment) -> LimitChange {
        let known = self.known(target);
        known.per_s = None;
        known.heard_at = Some(heard_at);
        known.permits.clear();
        known.rate = None;
        known.publish_until = now + PUBLISH_FOR;

        LimitChange::Ended
    }

    fn set(
        &mut self,
        target: &TargetEntry,
        per_s: RatePerS,
        heard_at: HeardAt,
        now: Moment,
    ) -> LimitChange {
        let known = self.known(target);
        let before = known.per_s.replace(per_s);
        known.heard_at = Some(heard_at);

        if before == Some(per_s) {
            return LimitChange::None;
        }

        if before.is_none() {
            known.since = now;
            known.sent = 0;
        }

        known.publish_until = now + PUBLISH_FOR;
        LimitChange::Set(per_s)
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
