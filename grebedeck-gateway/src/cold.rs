//! How much a gateway sends to targets that are cold.
//!
//! A cold target bears so many requests in a second from all gateways together, and falls over well above that.
//! No gateway knows what the others send just now, nor how many there are. So a cold target is sent to by its
//! owners only: the few gateways whose addresses hash highest with its id. Each of them stays within a fixed part,
//! which does not depend on how many gateways there are.
//!
//! Where all read the same list, the owners' parts add up to half of what a target may get at the most. The other
//! half is for gateways that are cut from each other and name owners of their own. Rows of gateways that are gone
//! stay in the list; their parts are not used, so a target gets less. A gateway that has not read the list is no
//! owner, and neither is a new one until all others have had the time to read its row: they go on as owners until
//! then.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::Moment;
use grebedeck_core::digest::{digest, rendezvous};

use crate::targets::TargetId;

/// What a cold target may get in any one second, as a multiple of what it bears; the operators' rule.
pub const COLD_OVERAGE: f64 = 1.5;
/// Requests that it may get on top of that; the operators' rule.
pub const COLD_BURST: f64 = 5.0;
/// Groups of gateways that may each name owners of their own: those on two sides of a cut.
const VIEWS: f64 = 2.0;
/// Owners of a target: enough that one that is gone takes a quarter of what the target gets.
const OWNERS: u32 = 4;
/// Owners of a target that bears little, as each has a request at once in its part.
const FEW_OWNERS: u32 = 2;
/// Least rate of one owner with which there are [`OWNERS`], in requests a second: as much again as it may send at
/// once.
const MIN_RATE_PER_S: f64 = 1.0;
/// How long a target's part is remembered after it was cold, so that one that is cold again at once does not get
/// the same second's requests twice.
const MEMORY: Duration = Duration::from_secs(5);
/// Longest time for which a target's word that it is cold is believed; no start takes longer.
const MAX_COLD: Duration = Duration::from_secs(3600);
/// How long a new gateway waits after it has seen its own row: the others read the list each 10 s, and some
/// of them a call late.
const SETTLE: Duration = Duration::from_secs(15);

/// An owner's part of what a cold target may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// Gateways that send to the target.
    pub owners: u32,
    /// Requests a second of each of them, beside one at once.
    pub per_s: f64,
}

impl ColdShare {
    /// Gets the part for targets that bear `cold_per_s` while they are cold; `None` where there is no bound.
    pub fn from_rate(cold_per_s: f64) -> Option<Self> {
        if cold_per_s <= 0.0 {
            return None;
        }

        let all_per_s = (cold_per_s * COLD_OVERAGE + COLD_BURST) / VIEWS;
        let rate = |owners: u32| all_per_s / f64::from(owners) - 1.0;
        let owners = if rate(OWNERS) >= MIN_RATE_PER_S { OWNERS } else { FEW_OWNERS };
        let per_s = rate(owners).min(cold_per_s / f64::from(owners));

        Some(ColdShare { owners, per_s })
    }
}

/// A target that is cold, or was lately.
#[derive(Clone, Debug)]
struct Cold {
    until: Moment,
    /// Requests that may be sent now, up to one.
    saved: f64,
    saved_at: Moment,
    /// Gateways that hash higher with the target's id, once that was worked out.
    before_own: Option<u32>,
}

/// A gateway's part in cold targets.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    /// The gateways of the list as it was read last, as texts to hash; none while this one is not among them.
    gateways: Vec<String>,
    own: String,
    /// Whether the list was once read without this gateway, so that others may not know it.
    was_missing: bool,
    /// From when this gateway takes itself for an owner; `None` while it is not in the list.
    owner_from: Option<Moment>,
    cold: HashMap<TargetId, Cold>,
}

impl ColdLimiter {
    /// Takes in the gateways of the list as the store has it. Those that stand elsewhere do not count, as not all
    /// gateways know of them.
    pub fn set_gateways(&mut self, own: SocketAddr, listed: &BTreeSet<SocketAddr>, now: Moment) {
        self.own = own.to_string();

        if !listed.contains(&own) {
            self.was_missing = true;
            self.owner_from = None;
            return;
        }

        let settle = if self.was_missing { SETTLE } else { Duration::ZERO };
        self.owner_from.get_or_insert(now + settle);
        self.gateways = listed.iter().map(SocketAddr::to_string).collect();

        for cold in self.cold.values_mut() {
            cold.before_own = None;
        }
    }

    /// Takes in a target's own word on how much longer it is cold, which outweighs what was taken for so before.
    /// It is counted from when it was heard, which errs late.
    pub fn record_report(&mut self, target: &str, remaining: Duration, now: Moment) {
        let remaining = remaining.min(MAX_COLD);

        match self.cold.get_mut(target) {
            Some(cold) => cold.until = now + remaining,
            None if remaining.is_zero() => {}
            None => self.set_cold_until(target, now + remaining, now),
        }
    }

    /// Takes a target for cold at least until a moment, unless it says otherwise later.
    pub fn set_cold_until(&mut self, target: &str, until: Moment, now: Moment) {
        // It may have got requests a moment ago, so nothing is saved for it.
        let first = Cold { until, saved: 0.0, saved_at: now, before_own: None };
        let cold = self.cold.entry(target.to_string()).or_insert(first);
        cold.until = cold.until.max(until);
    }

    /// Tells whether a target is cold, for all that is known.
    pub fn is_cold(&self, target: &str, now: Moment) -> bool {
        self.cold.get(target).is_some_and(|cold| now < cold.until)
    }

    /// Gets how much longer a target is cold.
    pub fn remaining(&self, target: &str, now: Moment) -> Duration {
        self.cold.get(target).map_or(Duration::ZERO, |cold| cold.until.saturating_sub(now))
    }

    /// Tells whether this gateway may send a request to a target now. `cold_per_s` is what the target bears while
    /// it is cold.
    pub fn may_send(&mut self, target: &str, cold_per_s: f64, now: Moment) -> bool {
        if !self.is_cold(target, now) {
            return true;
        }

        let Some(part) = ColdShare::from_rate(cold_per_s) else {
            return true;
        };

        if !self.is_owner(target, part.owners, now) {
            return false;
        }

        self.save_up(target, part, now) >= 1.0
    }

    /// Notes that a request is sent to a target; tells whether it might be.
    pub fn try_acquire(&mut self, target: &str, cold_per_s: f64, now: Moment) -> bool {
        if !self.may_send(target, cold_per_s, now) {
            return false;
        }

        if let Some(cold) = self.cold.get_mut(target) {
            cold.saved = (cold.saved - 1.0).max(0.0);
        }

        true
    }

    /// Forgets targets that have not been cold for a while.
    pub fn remove_expired(&mut self, now: Moment) {
        self.cold.retain(|_, cold| now < cold.until + MEMORY);
    }

    /// Adds what has become free of the part since the last look; gives what is saved.
    fn save_up(&mut self, target: &str, part: ColdShare, now: Moment) -> f64 {
        let Some(cold) = self.cold.get_mut(target) else {
            return 0.0;
        };
        let passed = now.saturating_sub(cold.saved_at);
        cold.saved_at = now;
        cold.saved = (cold.saved + passed.as_secs_f64() * part.per_s).min(1.0);

        cold.saved
    }

    /// Tells whether this gateway is one of a target's owners.
    fn is_owner(&mut self, target: &str, owners: u32, now: Moment) -> bool {
        if self.owner_from.is_none_or(|from| now < from) {
            return false;
        }

        let Some(cold) = self.cold.get_mut(target) else {
            return false;
        };
        let before =
            *cold.before_own.get_or_insert_with(|| count_before(target, &self.own, &self.gateways));

        before < owners
    }
}

/// Counts the gateways that hash higher with a target's id than one of them.
fn count_before(target: &str, own: &str, gateways: &[String]) -> u32 {
    let key = digest(target.as_bytes());
    // Equal hashes are told apart by the addresses, the same way everywhere.
    let rank = |gateway: &str| Reverse((rendezvous(key, gateway), gateway.to_string()));
    let own_rank = rank(own);

    gateways.iter().filter(|gateway| rank(gateway) < own_rank).count() as u32
}
