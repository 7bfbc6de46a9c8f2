//! Division of a target's rate limit among the gateways.
//!
//! The load that this handles: some targets, or all of a service, accept fewer requests per second
//! than callers send, and some gateways get more of the callers' requests than others. Each gateway
//! requests permits from the target's [coordinator](crate::coordinator), each good for one request
//! within a short time, and reports how many requests it has. The coordinator issues them from a
//! token bucket that fills at the limit, in proportion to each gateway's recent demand. So the
//! total stays within the limit wherever the requests come in. With each request for permits a
//! gateway returns those that it has not used, so that permits do not expire unused where requests
//! are rare.
//!
//! When a limit begins or ends, all gateways are notified at once. Otherwise each of them would
//! find out by sending the target a request, and an overloaded target would get one from every
//! gateway.
//!
//! In any period `t` a target gets at most what the bucket holds, plus the limit times (`t` + the
//! lifetime of a permit). A new coordinator starts with one permit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebedeck_core::{Moment, RandomSource};
use grebedeck_routing::StartId;
use serde::{Deserialize, Serialize};

use crate::coordinator::GatewayAddress;
use crate::limit::{LearnedAt, MAX_LIMIT_PER_S, MIN_LIMIT_PER_S, RatePerS};
use crate::targets::TargetId;

/// Lifetime of a permit from when it was requested: longer than the period of a gateway's requests.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(600);
/// Time in which an empty bucket fills, where that exceeds its least capacity: longer than the
/// period of a gateway's requests, so that a gateway that is the only one to request permits gets
/// the whole limit.
const FILL_TIME: Duration = Duration::from_millis(600);
/// Least capacity of a bucket, in permits: enough to accumulate until the gateways that need them
/// have requested some.
const MIN_CAPACITY: f64 = 3.0;
/// Least capacity while another gateway may also be coordinator.
const MIN_CAPACITY_UNSETTLED: f64 = 1.0;
/// Least rate that a coordinator issues of a limit, whatever its fraction, so that gateways learn
/// of the end of the limit: one request in 5 s.
const MIN_ISSUED_PER_S: RatePerS = 0.2;
/// Window in which a service's requests are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// How long a gateway's demand counts in the division.
const DEMAND_LIFETIME: Duration = Duration::from_secs(2);
/// How long a target's account is kept without requests.
const IDLE_RETENTION: Duration = Duration::from_secs(60);
/// Most requests that one gateway may demand: more than it serves in a second.
const MAX_WANTED: u32 = 100_000;
/// Most accounts of targets, which take some megabytes; demands for further targets get no grant.
const MAX_TARGETS: usize = 4096;
/// Most changes in one notification; the rest follow in the next.
const MAX_CHANGES: usize = 64;

/// Count of one gateway's recent requests for a service: its demand for permits.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandCounter {
    window_started_at: Moment,
    current: u32,
    previous: u32,
}

impl DemandCounter {
    /// Counts a request.
    pub fn record(&mut self, now: Moment) {
        self.roll_window(now);
        self.current = self.current.saturating_add(1);
    }

    /// Approximate number of requests in the last second, as they are counted in windows.
    pub fn wanted(mut self, now: Moment) -> u32 {
        self.roll_window(now);
        self.current.max(self.previous)
    }

    fn roll_window(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.window_started_at);

        if elapsed >= DEMAND_WINDOW {
            self.previous = if elapsed < DEMAND_WINDOW * 2 { self.current } else { 0 };
            self.current = 0;
            self.window_started_at = now;
        }
    }
}

/// A gateway's demand for permits of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaDemand {
    /// The target.
    pub target: TargetId,
    /// The start of the target that this is about.
    pub birth: StartId,
    /// The limit that it announced last to this gateway; `None` if it has none.
    pub limit: Option<RatePerS>,
    /// Time since this gateway learned that.
    #[serde(rename = "heard_ago")]
    pub limit_age: Duration,
    /// Requests of the last second that might go there.
    pub wanted: u32,
    /// Unused permits that are returned.
    pub unused: u32,
}

/// A coordinator's grant for one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The target.
    pub target: TargetId,
    /// The start of the target that this is about.
    pub birth: StartId,
    /// The limit that it announced last to any gateway; `None` if it has none.
    pub limit: Option<RatePerS>,
    /// Time since that gateway learned it.
    #[serde(rename = "heard_ago")]
    pub limit_age: Duration,
    /// Number of requests that may be sent.
    pub permits: u32,
    /// Requests per second that the gateway can expect to be granted.
    pub rate: RatePerS,
}

/// Message between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Request to a coordinator.
    Request {
        /// Sequence number, which the response repeats.
        sequence: u64,
        /// Demands, one per target.
        demands: Vec<QuotaDemand>,
    },
    /// A coordinator's response.
    Response {
        /// Sequence number of the request.
        sequence: u64,
        /// Grants, one per target.
        grants: Vec<QuotaGrant>,
    },
    /// Notification from a coordinator to all gateways of limits that have begun or ended.
    Notify {
        /// The targets, with no permits granted.
        changes: Vec<QuotaGrant>,
    },
}

/// One gateway's claim on the permits of a target.
#[derive(Clone, Copy, Debug)]
struct Claim {
    wanted: u32,
    /// Permits that it gets with its next request.
    reserved: u32,
    asked_at: Moment,
}

/// A coordinator's token bucket for one start of a target.
#[derive(Clone, Debug)]
struct Account {
    limit: Option<RatePerS>,
    learned_at: Option<LearnedAt>,
    /// Permits in the bucket that are neither issued nor reserved.
    tokens: f64,
    filled_at: Moment,
    asked_at: Moment,
    claims: BTreeMap<GatewayAddress, Claim>,
}

impl Account {
    fn new(now: Moment) -> Self {
        Account {
            limit: None,
            learned_at: None,
            tokens: 1.0,
            filled_at: now,
            asked_at: now,
            claims: BTreeMap::new(),
        }
    }

    /// Records a gateway's demand. Returns whether the target's limit began or ended with it.
    fn record(&mut self, from: GatewayAddress, demand: &QuotaDemand, now: Moment) -> bool {
        let was_limited = self.limit.is_some();
        let learned_at = Some(LearnedAt::ago(demand.limit_age, now));
        self.asked_at = now;

        if learned_at > self.learned_at {
            let bounded = |per_s: RatePerS| per_s.clamp(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S);
            self.limit = demand.limit.filter(|per_s| per_s.is_finite()).map(bounded);
            self.learned_at = learned_at;
        }

        let reserved = self.claims.get(&from).map_or(0, |claim| claim.reserved);
        let wanted = demand.wanted.min(MAX_WANTED);
        self.claims.insert(from, Claim { wanted, reserved, asked_at: now });

        was_limited != self.limit.is_some()
    }

    fn limit_age(&self, now: Moment) -> Duration {
        self.learned_at.map_or(Duration::ZERO, |at| at.age(now))
    }

    /// One gateway's share of the total demand.
    fn demand_share(&self, from: GatewayAddress) -> f64 {
        let total: f64 = self.claims.values().map(|claim| f64::from(claim.wanted)).sum();
        let own = self.claims.get(&from).map_or(0.0, |claim| f64::from(claim.wanted));

        if own > 0.0 { own / total } else { 0.0 }
    }

    /// Refills the bucket, with the permits that came back and those reserved by expired claims.
    fn fill(&mut self, per_s: RatePerS, fraction: f64, returned: u32, now: Moment) {
        let is_expired = |claim: &Claim| now >= claim.asked_at + DEMAND_LIFETIME;
        let expired = self.claims.values().filter(|claim| is_expired(claim));
        let freed = returned + expired.map(|claim| claim.reserved).sum::<u32>();
        self.claims.retain(|_, claim| !is_expired(claim));

        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        let issued_per_s = issued_rate(per_s, fraction);
        let min_capacity = if fraction < 1.0 { MIN_CAPACITY_UNSETTLED } else { MIN_CAPACITY };
        let capacity = (issued_per_s * FILL_TIME.as_secs_f64()).max(min_capacity);
        let reserved: u32 = self.claims.values().map(|claim| claim.reserved).sum();
        let room = (capacity - f64::from(reserved)).max(0.0);
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed * issued_per_s + f64::from(freed)).min(room);
    }

    /// Reserves whole permits for the gateways in proportion to their demand. The remainder is
    /// drawn at random with the same weights, so that each gateway gets its share however small it
    /// is, and whenever it makes its requests.
    fn reserve(&mut self, random: &mut impl RandomSource) {
        let whole = self.tokens.floor();
        let total: f64 = self.claims.values().map(|claim| f64::from(claim.wanted)).sum();

        for claim in self.claims.values_mut() {
            let due = (whole * f64::from(claim.wanted) / total.max(1.0)).floor() as u32;
            let given = due.min(claim.wanted.saturating_sub(claim.reserved));
            claim.reserved += given;
            self.tokens -= f64::from(given);
        }

        while self.tokens >= 1.0 && self.reserve_one(random) {
            self.tokens -= 1.0;
        }
    }

    /// Reserves one permit for a gateway drawn by demand. Returns whether any gateway needs one.
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

    /// Takes the permits that are reserved for a gateway.
    fn take(&mut self, from: GatewayAddress) -> u32 {
        self.claims.get_mut(&from).map_or(0, |claim| std::mem::take(&mut claim.reserved))
    }
}

/// Rate at which a coordinator issues permits when it may issue `fraction` of a limit.
fn issued_rate(per_s: RatePerS, fraction: f64) -> RatePerS {
    (per_s * fraction).max(per_s.min(MIN_ISSUED_PER_S))
}

/// A coordinator's accounts of all targets that gateways request permits for.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: BTreeMap<(TargetId, StartId), Account>,
    /// Targets whose limit began or ended, until the notification is sent.
    changed: BTreeSet<(TargetId, StartId)>,
}

impl QuotaLedger {
    /// Answers a gateway's demands. `fraction` returns the fraction of a target's limit that this
    /// coordinator may issue.
    pub fn grant(
        &mut self,
        from: GatewayAddress,
        demands: &[QuotaDemand],
        fraction: impl Fn(&str) -> f64,
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

            let fraction = fraction(&demand.target);
            let (permits, rate) = match account.limit {
                Some(per_s) => {
                    account.fill(per_s, fraction, demand.unused.min(MAX_WANTED), now);
                    account.reserve(random);

                    (account.take(from), issued_rate(per_s, fraction) * account.demand_share(from))
                }
                None => (0, 0.0),
            };

            grants.push(QuotaGrant {
                target: demand.target.clone(),
                birth: demand.birth,
                limit: account.limit,
                limit_age: account.limit_age(now),
                permits,
                rate,
            });
        }

        grants
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Removes accounts that no gateway has used for a long time.
    pub fn forget_idle(&mut self, now: Moment) {
        self.accounts.retain(|_, account| now < account.asked_at + IDLE_RETENTION);
    }

    /// Whether there are changes to notify all gateways of.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Takes the changes for the next notification.
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
                limit_age: account.limit_age(now),
                permits: 0,
                rate: 0.0,
            });
        }

        changes
    }
}
