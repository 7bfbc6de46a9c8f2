//! Request rates that targets accept from all gateways together, as they announce them in their
//! answers.
//!
//! A target announces its limit in each answer for as long as it needs one. An answer without a
//! limit ends it, but only where the request was sent after the gateway learned of the limit, as
//! answers overtake each other. A limit belongs to one start of a target. It has no lifetime of its
//! own: while it is in force some requests still go there, and the first answer without it ends it.
//! So a gateway keeps the limit for as long as the target is listed, whether it is repeated or not.
//!
//! A request to such a target takes a permit. The target's [coordinator](crate::coordinator) issues
//! each gateway its [share](crate::quota) of them. Every request is checked twice: when its target
//! is chosen, and when it is sent.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_routing::StartId;

use crate::quota::{QuotaDemand, QuotaGrant};
use crate::targets::{TargetEntry, TargetId};

/// Rate in requests per second.
pub type RatePerS = f64;

/// Lowest limit that is applied, in requests per second. A target must get a request now and then,
/// or gateways would never learn that its limit has ended.
pub const MIN_LIMIT_PER_S: RatePerS = 0.05;
/// Highest limit that is accepted as valid, in requests per second; more than any single target
/// serves.
pub const MAX_LIMIT_PER_S: RatePerS = 100_000.0;

/// How long a change is sent to the coordinator, with or without demand for permits: several
/// requests, as one may be lost.
const PUBLISH_DURATION: Duration = Duration::from_millis(1500);
/// How long the end of a limit is kept, so that a stale message does not restore the limit.
const END_RETENTION: Duration = Duration::from_secs(30);

/// Greatest age that is distinguished; older information counts as this old.
const MAX_AGE: Duration = Duration::from_secs(24 * 3600);

/// When something was learned, which may have been before this process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LearnedAt(Moment);

impl LearnedAt {
    /// The moment that is `age` before `now`.
    pub fn ago(age: Duration, now: Moment) -> Self {
        LearnedAt((now + MAX_AGE).saturating_sub(age))
    }

    /// Time since then.
    pub fn age(self, now: Moment) -> Duration {
        (now + MAX_AGE).saturating_sub(self.0)
    }
}

/// Limit that an answer announces for its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnnouncedLimit {
    /// No header, so the target has no limit.
    Absent,
    /// Requests per second that the target accepts.
    PerS(RatePerS),
    /// A value that is not a valid limit; it is ignored.
    Unreadable,
}

/// Parses the values of an answer's limit header; the lowest valid one applies.
pub fn announced_limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> AnnouncedLimit {
    let parsed = values.map(parse_limit);

    parsed.fold(AnnouncedLimit::Absent, |announced, value| match (announced, value) {
        (AnnouncedLimit::PerS(before), Some(per_s)) => AnnouncedLimit::PerS(before.min(per_s)),
        (AnnouncedLimit::PerS(before), None) => AnnouncedLimit::PerS(before),
        (_, Some(per_s)) => AnnouncedLimit::PerS(per_s),
        (_, None) => AnnouncedLimit::Unreadable,
    })
}

fn parse_limit(value: &[u8]) -> Option<RatePerS> {
    let per_s: RatePerS = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    let is_valid = per_s > 0.0 && per_s <= MAX_LIMIT_PER_S;

    is_valid.then(|| per_s.max(MIN_LIMIT_PER_S))
}

/// Effect of an answer on a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// No change.
    None,
    /// The target has a new or a different limit.
    Set(RatePerS),
    /// The target's limit has ended.
    Ended,
    /// The target announces an invalid limit; reported once per start.
    Unreadable,
}

/// A gateway's state of one start of a target.
#[derive(Clone, Debug, Default)]
struct LimitState {
    birth: StartId,
    per_s: Option<RatePerS>,
    /// When the limit or its end was last learned of.
    learned_at: Option<LearnedAt>,
    /// When the limit began.
    since: Moment,
    /// Requests sent since then.
    sent: u64,
    /// Expiry times of the unused permits, in order.
    permits: VecDeque<Moment>,
    /// Requests per second granted by the coordinator; `None` before its first response.
    rate: Option<RatePerS>,
    is_unreadable: bool,
    /// Until when the last change is sent to the coordinator.
    publish_until: Moment,
}

impl LimitState {
    fn has_permit(&self, now: Moment) -> bool {
        self.permits.back().is_some_and(|expires_at| now < *expires_at)
    }

    fn release_permits(&mut self, now: Moment) -> u32 {
        let permits = std::mem::take(&mut self.permits);

        permits.iter().filter(|expires_at| now < **expires_at).count() as u32
    }

    fn pop_permit(&mut self, now: Moment) -> Option<Moment> {
        // The permit that expires first is used first.
        while let Some(expires_at) = self.permits.pop_front() {
            if now < expires_at {
                return Some(expires_at);
            }
        }

        None
    }
}

/// Permission to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The target had no limit when the permit was acquired.
    NotNeeded,
    /// The target has a limit; the permit expires at this moment.
    Until(Moment),
}

/// A target's limit, for a diagnostic dump.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitView {
    /// The limit in requests per second.
    pub per_s: RatePerS,
    /// When it began.
    pub since: Moment,
    /// Requests that this gateway has sent since then.
    pub sent: u64,
    /// Requests per second that this gateway may send; `None` before the coordinator's first
    /// response.
    pub rate: Option<RatePerS>,
}

/// Limits of targets, with the permits that this gateway holds for them.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    targets: BTreeMap<TargetId, LimitState>,
}

impl Limits {
    /// Records the limit that an answer announces. The request was sent at `sent_at`. Only an
    /// answer that the target itself made as a success (`is_good`) is sure to name a limit that
    /// applies, so only such an answer can end one.
    pub fn observe(
        &mut self,
        target: &TargetEntry,
        announced: AnnouncedLimit,
        is_good: bool,
        sent_at: Moment,
        now: Moment,
    ) -> LimitChange {
        match announced {
            AnnouncedLimit::Absent if !is_good => LimitChange::None,
            AnnouncedLimit::Absent => self.observe_absent(target, sent_at, now),
            AnnouncedLimit::PerS(per_s) => {
                self.set(target, per_s, LearnedAt::ago(Duration::ZERO, now), now)
            }
            AnnouncedLimit::Unreadable => {
                let known = self.known(target);
                let was_unreadable = std::mem::replace(&mut known.is_unreadable, true);

                if was_unreadable { LimitChange::None } else { LimitChange::Unreadable }
            }
        }
    }

    /// Whether no target's limit is tracked.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Whether a target has a limit.
    pub fn is_limited(&self, target: &TargetEntry) -> bool {
        self.limited(target).is_some()
    }

    /// Whether a request may be sent to a target now.
    pub fn may_send(&self, target: &TargetEntry, now: Moment) -> bool {
        self.limited(target).is_none_or(|known| known.has_permit(now))
    }

    /// Takes a permit for a request to a target; `None` where no permit is left.
    pub fn acquire(&mut self, target: &TargetEntry, now: Moment) -> Option<Permit> {
        match self.limited_mut(target) {
            Some(known) => known.pop_permit(now).map(Permit::Until),
            None => Some(Permit::NotNeeded),
        }
    }

    /// Checks that a request with a permit may still be sent, and counts it. If the limit began
    /// after the permit was acquired, or the permit has expired, another one is taken. Returns
    /// `false` where none is left.
    pub fn confirm_send(&mut self, target: &TargetEntry, permit: Permit, now: Moment) -> bool {
        let Some(known) = self.limited_mut(target) else {
            return true;
        };
        let is_good = matches!(permit, Permit::Until(expires_at) if now < expires_at);
        let is_sent = is_good || known.pop_permit(now).is_some();
        known.sent += u64::from(is_sent);

        is_sent
    }

    /// Requests per second that may be sent to some targets together; `None` if any of them has no
    /// limit. Before the coordinator's first response, a target counts with its limit divided by
    /// the number of `gateways`.
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

    /// Collects the demands to send to coordinators: permits for targets whose services have
    /// requests, and changes of limits. `wanted` returns the requests of the last second that might
    /// go to a target, by its id. Unused permits are returned to the coordinator.
    pub fn demands(&mut self, wanted: impl Fn(&str) -> u32, now: Moment) -> Vec<QuotaDemand> {
        let demand = |(id, known): (&TargetId, &mut LimitState)| {
            let wanted = if known.per_s.is_some() { wanted(id) } else { 0 };

            let is_sent = wanted > 0 || now < known.publish_until || known.has_permit(now);

            is_sent.then(|| QuotaDemand {
                target: id.clone(),
                birth: known.birth,
                limit: known.per_s,
                limit_age: known.learned_at.map_or(MAX_AGE, |at| at.age(now)),
                wanted,
                unused: known.release_permits(now),
            })
        };

        self.targets.iter_mut().filter_map(demand).collect()
    }

    /// Applies a coordinator's grant for a target, requested at `asked_at`.
    pub fn apply(
        &mut self,
        target: &TargetEntry,
        grant: &QuotaGrant,
        lifetime: Duration,
        asked_at: Moment,
        now: Moment,
    ) -> LimitChange {
        // Counted from the request, so the information may seem older than it is, but never newer.
        let learned_at = LearnedAt::ago(grant.limit_age, asked_at);
        let known = self.known(target);
        let is_newer = Some(learned_at) > known.learned_at;
        let change = match grant.limit {
            Some(per_s) if is_newer => self.set(target, per_s, learned_at, now),
            None if is_newer && known.per_s.is_some() => self.end(target, learned_at, now),
            _ => LimitChange::None,
        };

        if let Some(known) = self.limited_mut(target) {
            let expires_at = asked_at + lifetime;
            known.permits.retain(|expires_at| now < *expires_at);
            known.permits.extend((0..grant.permits).map(|_| expires_at));

            if grant.rate > 0.0 {
                known.rate = Some(grant.rate);
            }
        }

        change
    }

    /// A target's limit; `None` where it has none.
    pub fn view(&self, target: &TargetEntry) -> Option<LimitView> {
        let known = self.limited(target)?;

        Some(LimitView {
            per_s: known.per_s?,
            since: known.since,
            sent: known.sent,
            rate: known.rate,
        })
    }

    /// Removes targets that are no longer listed.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.targets.retain(|id, _| is_there(id));
    }

    /// Removes targets whose limits ended long ago.
    pub fn forget_ended(&mut self, now: Moment) {
        self.targets.retain(|_, known| {
            let is_recent = known.learned_at.is_some_and(|at| at.age(now) < END_RETENTION);

            known.per_s.is_some() || known.is_unreadable || is_recent
        });
    }

    fn limited(&self, target: &TargetEntry) -> Option<&LimitState> {
        self.targets.get(&target.id).filter(|k| k.birth == target.born_ms && k.per_s.is_some())
    }

    fn limited_mut(&mut self, target: &TargetEntry) -> Option<&mut LimitState> {
        self.targets.get_mut(&target.id).filter(|k| k.birth == target.born_ms && k.per_s.is_some())
    }

    fn observe_absent(
        &mut self,
        target: &TargetEntry,
        sent_at: Moment,
        now: Moment,
    ) -> LimitChange {
        let sent_at = LearnedAt::ago(Duration::ZERO, sent_at);
        let was_sent_since = |known: &LimitState| Some(sent_at) >= known.learned_at;

        if self.limited(target).is_some_and(was_sent_since) {
            self.end(target, LearnedAt::ago(Duration::ZERO, now), now)
        } else {
            LimitChange::None
        }
    }

    fn end(&mut self, target: &TargetEntry, learned_at: LearnedAt, now: Moment) -> LimitChange {
        let known = self.known(target);
        known.per_s = None;
        known.learned_at = Some(learned_at);
        known.permits.clear();
        known.rate = None;
        known.publish_until = now + PUBLISH_DURATION;

        LimitChange::Ended
    }

    fn set(
        &mut self,
        target: &TargetEntry,
        per_s: RatePerS,
        learned_at: LearnedAt,
        now: Moment,
    ) -> LimitChange {
        let known = self.known(target);
        let before = known.per_s.replace(per_s);
        known.learned_at = Some(learned_at);

        if before == Some(per_s) {
            return LimitChange::None;
        }

        if before.is_none() {
            known.since = now;
            known.sent = 0;
        }

        known.publish_until = now + PUBLISH_DURATION;
        LimitChange::Set(per_s)
    }

    /// State of a target's start; a new start does not inherit the limit of the one before.
    fn known(&mut self, target: &TargetEntry) -> &mut LimitState {
        let known = self.targets.entry(target.id.clone()).or_default();

        if known.birth != target.born_ms {
            *known = LimitState { birth: target.born_ms, ..LimitState::default() };
        }

        known
    }
}
