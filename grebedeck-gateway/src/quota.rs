//! How a target's limit is divided among the gateways.
//!
//! The load that this answers: some targets, or all of a service, take fewer requests a second than callers send, and callers
//! come to some gateways more than to others. Each gateway asks the target's [coordinator](crate::coordinator) for permits,
//! each for one request within a short time, and says how many requests it has. The coordinator gives them out of a token bucket
//! that fills at the limit, in proportion to what each asked for lately. So the sum is kept to wherever the requests come in.
//! With each ask a gateway gives back what it has not used, so that permits do not lapse where requests are rare.
//!
//! That a target has a limit, or none any more, is told to all gateways at once: each of them would send it a request to
//! find that out, and a target in need would get one from each.
//!
//! In any time `t` a target gets no more than the bucket holds, and the limit times `t` with the lifetime of a permit on top.
//! A coordinator that is new begins with one permit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebedeck_core::{Moment, RandomSource};
use grebedeck_routing::StartId;
use serde::{Deserialize, Serialize};

use crate::coordinator::GatewayAddress;
use crate::limit::{HeardAt, MAX_LIMIT_PER_S, MIN_LIMIT_PER_S, RatePerS};
use crate::targets::TargetId;

/// How long a permit is good for, from when it was asked for: longer than the time between two asks.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(600);
/// Time in which an empty bucket fills, where that is more than one permit: longer than the time between two asks, so that
/// one gateway that asks alone gets all.
const FILL_TIME: Duration = Duration::from_millis(600);
/// Permits that a bucket holds at least: as many as may be saved until the gateways that want them have asked.
const MIN_SAVED: f64 = 3.0;
/// The same of a coordinator that may not be the only one.
const MIN_SAVED_UNSETTLED: f64 = 1.0;
/// Least of a limit that is given out in whichever part, so that its end is heard of: one request in five seconds.
const LEAST_PER_S: RatePerS = 0.2;
/// Time in which requests are counted as what is wanted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// How long what a gateway asked for counts against the others.
const DEMAND_LIFETIME: Duration = Duration::from_secs(2);
/// How long a target is remembered that nobody asks about.
const MEMORY: Duration = Duration::from_secs(60);
/// Most requests that one gateway may want: more than it serves in a second.
const MAX_WANTED: u32 = 100_000;
/// Most targets that are kept, in some megabytes; whoever asks for more gets nothing for them.
const MAX_TARGETS: usize = 4096;
/// Most changes that all are told of at once; the others follow.
const MAX_CHANGES: usize = 64;

/// Requests of one gateway for a service, as it asks for permits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    window_began: Moment,
    now: u32,
    before: u32,
}

impl Demand {
    /// Notes a request.
    pub fn record(&mut self, now: Moment) {
        self.pass(now);
        self.now = self.now.saturating_add(1);
    }

    /// Gets the requests of the last second; some less or more, as they are counted in windows.
    pub fn wanted(mut self, now: Moment) -> u32 {
        self.pass(now);
        self.now.max(self.before)
    }

    fn pass(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.window_began);

        if passed >= DEMAND_WINDOW {
            self.before = if passed < DEMAND_WINDOW * 2 { self.now } else { 0 };
            self.now = 0;
            self.window_began = now;
        }
    }
}

/// One target in a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaDemand {
    /// The target.
    pub target: TargetId,
    /// Its start.
    pub birth: StartId,
    /// The limit that it named last; none if it named none.
    pub limit: Option<RatePerS>,
    /// How long ago it was heard of.
    pub heard_ago: Duration,
    /// Requests of the last second that might go there.
    pub wanted: u32,
    /// Permits that are given back.
    pub unused: u32,
}

/// One target in a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The target.
    pub target: TargetId,
    /// Its start.
    pub birth: StartId,
    /// The limit that it named last, to whichever gateway; none if it named none.
    pub limit: Option<RatePerS>,
    /// How long ago that gateway heard of it.
    pub heard_ago: Duration,
    /// Requests that may be sent.
    pub permits: u32,
    /// Requests a second that the gateway may expect.
    pub rate: RatePerS,
}

/// Between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// To a coordinator.
    Request {
        /// Number of the request, which its response repeats.
        sequence: u64,
        /// What is asked for.
        demands: Vec<QuotaDemand>,
    },
    /// A coordinator's response.
    Response {
        /// Number of the request.
        sequence: u64,
        /// What is given.
        grants: Vec<QuotaGrant>,
    },
    /// From a coordinator to all: targets that have a limit, or none any more.
    Notify {
        /// The targets, without permits.
        changes: Vec<QuotaGrant>,
    },
}

/// What one gateway wants of a target.
#[derive(Clone, Copy, Debug)]
struct Claim {
    wanted: u32,
    /// Permits that it gets with its next ask.
    reserved: u32,
    asked_at: Moment,
}

/// What a coordinator knows of a target.
#[derive(Clone, Debug)]
struct Account {
    limit: Option<RatePerS>,
    heard_at: Option<HeardAt>,
    /// Permits that nobody has got yet.
    saved: f64,
    saved_at: Moment,
    asked_at: Moment,
    claims: BTreeMap<GatewayAddress, Claim>,
}

impl Account {
    fn new(now: Moment) -> Self {
        Account {
            limit: None,
            heard_at: None,
            saved: 1.0,
            saved_at: now,
            asked_at: now,
            claims: BTreeMap::new(),
        }
    }

    /// Records a request; tells whether the target has a limit since then, or none any more.
    fn record(&mut self, from: GatewayAddress, demand: &QuotaDemand, now: Moment) -> bool {
        let was_limited = self.limit.is_some();
        let heard_at = Some(HeardAt::ago(demand.heard_ago, now));
        self.asked_at = now;

        if heard_at > self.heard_at {
            let bounded = |per_s: RatePerS| per_s.clamp(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S);
            self.limit = demand.limit.filter(|per_s| per_s.is_finite()).map(bounded);
            self.heard_at = heard_at;
        }

        let reserved = self.claims.get(&from).map_or(0, |claim| claim.reserved);
        let wanted = demand.wanted.min(MAX_WANTED);
        self.claims.insert(from, Claim { wanted, reserved, asked_at: now });

        was_limited != self.limit.is_some()
    }

    fn heard_ago(&self, now: Moment) -> Duration {
        self.heard_at.map_or(Duration::ZERO, |at| at.age(now))
    }

    /// Gets the part of all that is wanted that one gateway wants.
    fn share(&self, from: GatewayAddress) -> f64 {
        let total: f64 = self.claims.values().map(|claim| f64::from(claim.wanted)).sum();
        let own = self.claims.get(&from).map_or(0.0, |claim| f64::from(claim.wanted));

        if own > 0.0 { own / total } else { 0.0 }
    }

    /// Adds what has become free since the last ask, and what comes back.
    fn fill(&mut self, per_s: RatePerS, part: f64, given_back: u32, now: Moment) {
        let is_over = |claim: &Claim| now >= claim.asked_at + DEMAND_LIFETIME;
        let forgotten = self.claims.values().filter(|claim| is_over(claim));
        let back = given_back + forgotten.map(|claim| claim.reserved).sum::<u32>();
        self.claims.retain(|_, claim| !is_over(claim));

        let passed = now.saturating_sub(self.saved_at).as_secs_f64();
        let own_per_s = given_out(per_s, part);
        let least = if part < 1.0 { MIN_SAVED_UNSETTLED } else { MIN_SAVED };
        let most = (own_per_s * FILL_TIME.as_secs_f64()).max(least);
        let reserved: u32 = self.claims.values().map(|claim| claim.reserved).sum();
        let room = (most - f64::from(reserved)).max(0.0);
        self.saved_at = now;
        self.saved = (self.saved + passed * own_per_s + f64::from(back)).min(room);
    }

    /// Reserves whole permits for those who want them, in proportion to how many each wants. What is left of that is
    /// drawn for, so that each gets its part however small it is, and whenever it asks.
    fn reserve(&mut self, random: &mut impl RandomSource) {
        let whole = self.saved.floor();
        let total: f64 = self.claims.values().map(|claim| f64::from(claim.wanted)).sum();

        for claim in self.claims.values_mut() {
            let due = (whole * f64::from(claim.wanted) / total.max(1.0)).floor() as u32;
            let given = due.min(claim.wanted.saturating_sub(claim.reserved));
            claim.reserved += given;
            self.saved -= f64::from(given);
        }

        while self.saved >= 1.0 && self.reserve_one(random) {
            self.saved -= 1.0;
        }
    }

    /// Reserves a permit for one that is drawn; tells whether somebody wants one.
    fn reserve_one(&mut self, random: &mut impl RandomSource) -> bool {
        let wants_more = |claim: &&mut Claim| claim.reserved < claim.wanted;
        let total: u32 =
            self.claims.values_mut().filter(wants_more).map(|claim| claim.wanted).sum();
        let mut drawn = random.below(total as usize) as u32;

        for claim in self.claims.values_mut().filter(wants_more) {
            if drawn < claim.wanted {
                claim.reserved += 1;
                return true;
            }

            drawn -= claim.wanted;
        }

        false
    }

    /// Takes what is reserved for a gateway.
    fn take(&mut self, from: GatewayAddress) -> u32 {
        self.claims.get_mut(&from).map_or(0, |claim| std::mem::take(&mut claim.reserved))
    }
}

/// Gets the requests a second that are given out of a limit.
fn given_out(per_s: RatePerS, part: f64) -> RatePerS {
    (per_s * part).max(per_s.min(LEAST_PER_S))
}

/// What a coordinator gives out.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: BTreeMap<(TargetId, StartId), Account>,
    /// Targets that have a limit since then, or none any more, until all are told.
    changed: BTreeSet<(TargetId, StartId)>,
}

impl QuotaLedger {
    /// Answers a request. `part` is the part of each limit that this coordinator may give out of a target.
    pub fn grant(
        &mut self,
        from: GatewayAddress,
        demands: &[QuotaDemand],
        part: impl Fn(&str) -> f64,
        now: Moment,
        random: &mut impl RandomSource,
    ) -> Vec<QuotaGrant> {
        let mut grants: Vec<QuotaGrant> = Vec::new();

        for demand in demands {
            let key = (demand.target.clone(), demand.birth);

            if self.accounts.len() >= MAX_TARGETS && !self.accounts.contains_key(&key) {
                continue;
            }

            let account = self.accounts.entry(key.clone()).or_insert_with(|| Account::new(now));

            if account.record(from, demand, now) {
                self.changed.insert(key);
            }

            let part = part(&demand.target);
            let (permits, rate) = match account.limit {
                Some(per_s) => {
                    account.fill(per_s, part, demand.unused.min(MAX_WANTED), now);
                    account.reserve(random);

                    (account.take(from), given_out(per_s, part) * account.share(from))
                }
                None => (0, 0.0),
            };

            grants.push(QuotaGrant {
                target: demand.target.clone(),
                birth: demand.birth,
                limit: account.limit,
                heard_ago: account.heard_ago(now),
                permits,
                rate,
            });
        }

        grants
    }

    /// Gets the number of targets that are kept.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Tells whether no target is kept.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Forgets targets that nobody has asked about for long.
    pub fn forget_idle(&mut self, now: Moment) {
        self.accounts.retain(|_, account| now < account.asked_at + MEMORY);
    }

    /// Tells whether there are changes that all gateways are to be told of.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Takes changes that all gateways are to be told of.
    pub fn drain_changes(&mut self, now: Moment) -> Vec<QuotaGrant> {
        let mut changes = Vec::new();

        while changes.len() < MAX_CHANGES
            && let Some(key) = self.changed.pop_first()
        {
            let Some(account) = self.accounts.get(&key) else {
                continue;
            };
            changes.push(QuotaGrant {
                target: key.0,
                birth: key.1,
                limit: account.limit,
                heard_ago: account.heard_ago(now),
                permits: 0,
                rate: 0.0,
            });
        }

        changes
    }
}
