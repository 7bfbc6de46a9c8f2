//! Limits what a gateway sends to cold targets.
//!
//! A target is cold for some time after its start. It can then serve a certain number of requests
//! per second from all gateways together, and fails well above that. No gateway knows what the
//! others are sending, nor how many there are. So only the owners of a cold target send to it: the
//! few gateways whose addresses rank highest with its id by rendezvous hashing. Each owner stays
//! within a fixed share that does not depend on the number of gateways.
//!
//! Where all gateways read the same list, the owners' shares add up to half of the most that a
//! target may get. The other half is for gateways that are partitioned from each other and pick
//! owners of their own. Rows of gateways that are gone stay in the list; their shares are not used,
//! so a target gets less. A gateway that has not read the list is no owner. Neither is a new one
//! until all others have had time to read its row: until then the previous owners go on.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_core::digest::{digest, rendezvous};

use crate::membership::Membership;
use crate::targets::TargetId;

/// Most requests to a cold target in any one second, as a multiple of its rate; set by the
/// operators.
pub const COLD_OVERAGE: f64 = 1.5;
/// Requests allowed on top of that; set by the operators.
pub const COLD_BURST: f64 = 5.0;
/// Groups of gateways that may each pick their own owners: the two sides of a network partition.
const PARTITION_SIDES: f64 = 2.0;
/// Owners of a target: enough that the loss of one costs the target a quarter of its requests.
const OWNERS: u32 = 4;
/// Owners of a target with a low rate, as the share of each includes one request at once.
const LOW_RATE_OWNERS: u32 = 2;
/// Lowest rate of one owner at which there are [`OWNERS`]: per second, as much as it may send at
/// once.
const MIN_OWNER_RATE_PER_S: f64 = 1.0;
/// How long a target's state is kept after it was cold, so that a target that turns cold again at
/// once does not get the requests of the same second twice.
const RETENTION: Duration = Duration::from_secs(5);
/// Upper bound of the time for which a target may report itself cold; no start takes longer.
const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

/// Share of one owner in the requests to a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// Gateways that send to the target.
    pub owners: u32,
    /// Requests per second of each owner, in addition to one at once.
    pub per_s: f64,
}

impl ColdShare {
    /// Share for targets that can serve `cold_per_s` while cold; `None` if there is no limit.
    pub fn from_rate(cold_per_s: f64) -> Option<Self> {
        if cold_per_s <= 0.0 {
            return None;
        }

        let all_per_s = (cold_per_s * COLD_OVERAGE + COLD_BURST) / PARTITION_SIDES;
        let rate = |owners: u32| all_per_s / f64::from(owners) - 1.0;
        let owners = if rate(OWNERS) >= MIN_OWNER_RATE_PER_S { OWNERS } else { LOW_RATE_OWNERS };
        let per_s = rate(owners).min(cold_per_s / f64::from(owners));

        Some(ColdShare { owners, per_s })
    }
}

/// A target that is cold or recently was.
#[derive(Clone, Debug)]
struct ColdTarget {
    until: Moment,
    /// Requests that may be sent now, at most one.
    tokens: f64,
    refilled_at: Moment,
    /// Gateways that rank higher for the target's id; computed on demand.
    ranked_higher: Option<u32>,
}

/// A gateway's limiter for cold targets: a token bucket per target that it owns.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    /// Gateways of the last list that included this one, as strings to hash; empty until there was
    /// one.
    gateways: Vec<String>,
    own: String,
    /// Whether the others know this gateway, so that it may be an owner.
    membership: Membership,
    cold: HashMap<TargetId, ColdTarget>,
}

impl ColdLimiter {
    /// Applies the store's list of gateways. Gateways known only from elsewhere do not count, as
    /// not all gateways know them.
    pub fn set_gateways(&mut self, own: SocketAddr, listed: &BTreeSet<SocketAddr>, now: Moment) {
        self.own = own.to_string();

        let is_listed = listed.contains(&own);
        self.membership.apply_list(is_listed, now);

        if !is_listed {
            return;
        }

        self.gateways = listed.iter().map(SocketAddr::to_string).collect();

        for cold in self.cold.values_mut() {
            cold.ranked_higher = None;
        }
    }

    /// Records a target's own report of how much longer it is cold, which overrides earlier
    /// assumptions. The time counts from receipt, which errs on the late side.
    pub fn record_report(&mut self, target: &str, remaining: Duration, now: Moment) {
        let remaining = remaining.min(MAX_COLD_TIME);

        match self.cold.get_mut(target) {
            Some(cold) => cold.until = now + remaining,
            None if remaining.is_zero() => {}
            None => self.set_cold_until(target, now + remaining, now),
        }
    }

    /// Assumes that a target is cold at least until `until`, unless it reports otherwise later.
    pub fn set_cold_until(&mut self, target: &str, until: Moment, now: Moment) {
        // The target may have got requests a moment ago, so the bucket starts empty.
        let first = ColdTarget { until, tokens: 0.0, refilled_at: now, ranked_higher: None };
        let cold = self.cold.entry(target.to_string()).or_insert(first);
        cold.until = cold.until.max(until);
    }

    /// Whether a target is cold, as far as is known.
    pub fn is_cold(&self, target: &str, now: Moment) -> bool {
        self.cold.get(target).is_some_and(|cold| now < cold.until)
    }

    /// How much longer a target is cold.
    pub fn remaining(&self, target: &str, now: Moment) -> Duration {
        self.cold.get(target).map_or(Duration::ZERO, |cold| cold.until.saturating_sub(now))
    }

    /// Whether this gateway may send a request to a target now. `cold_per_s` is the rate that the
    /// target can serve while it is cold.
    pub fn may_send(&mut self, target: &str, cold_per_s: f64, now: Moment) -> bool {
        if !self.is_cold(target, now) {
            return true;
        }

        let Some(share) = ColdShare::from_rate(cold_per_s) else {
            return true;
        };

        if !self.is_owner(target, share.owners, now) {
            return false;
        }

        self.refill(target, share, now) >= 1.0
    }

    /// Takes a token for a request to a target; returns whether the request may be sent.
    pub fn try_acquire(&mut self, target: &str, cold_per_s: f64, now: Moment) -> bool {
        if !self.may_send(target, cold_per_s, now) {
            return false;
        }

        if let Some(cold) = self.cold.get_mut(target) {
            cold.tokens = (cold.tokens - 1.0).max(0.0);
        }

        true
    }

    /// Removes targets that have not been cold for a while.
    pub fn remove_expired(&mut self, now: Moment) {
        self.cold.retain(|_, cold| now < cold.until + RETENTION);
    }

    /// Refills a target's bucket for the time since the last refill; returns its tokens.
    fn refill(&mut self, target: &str, share: ColdShare, now: Moment) -> f64 {
        let Some(cold) = self.cold.get_mut(target) else {
            return 0.0;
        };
        let elapsed = now.saturating_sub(cold.refilled_at);
        cold.refilled_at = now;
        cold.tokens = (cold.tokens + elapsed.as_secs_f64() * share.per_s).min(1.0);

        cold.tokens
    }

    /// Whether this gateway is one of a target's owners.
    fn is_owner(&mut self, target: &str, owners: u32, now: Moment) -> bool {
        if !self.membership.is_known(now) {
            return false;
        }

        let Some(cold) = self.cold.get_mut(target) else {
            return false;
        };
        let ranked_higher = *cold
            .ranked_higher
            .get_or_insert_with(|| count_ranked_higher(target, &self.own, &self.gateways));

        ranked_higher < owners
    }
}

/// Number of gateways that rank higher than `own` for a target's id.
fn count_ranked_higher(target: &str, own: &str, gateways: &[String]) -> u32 {
    let key = digest(target.as_bytes());
    // Ties between equal hashes are broken by the addresses, the same way on every gateway.
    let rank = |gateway: &str| Reverse((rendezvous(key, gateway), gateway.to_string()));
    let own_rank = rank(own);

    gateways.iter().filter(|gateway| rank(gateway) < own_rank).count() as u32
}
