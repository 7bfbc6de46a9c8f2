//! Halls that operators evacuate: their targets get no new requests.
//!
//! The store holds one key for each evacuated hall. A gateway keeps the newest status of each hall,
//! evacuated or reopened, with the store's version of that change. A status that is not newer
//! changes nothing, whoever sends it. `version` is the one up to which all changes are known; older
//! ones are ignored. So the status of a reopened hall can be dropped, and a stale message cannot
//! evacuate that hall again.
//!
//! The targets of a hall leave one after another within a ramp, and return in the same way, so that
//! the other halls do not get all of its load at once. The order follows from a hash of the
//! targets' ids and is the same at every gateway. A change of unknown age applies to all targets at
//! once, as its deadline may be near.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use grebedeck_core::digest::digest;
use grebedeck_core::{HallName, Moment};
use serde::{Deserialize, Serialize};

use crate::source::StoreVersion;
use crate::targets::TargetEntry;

/// Most halls whose status is kept: several times what an operator has.
pub const MAX_HALLS: usize = 512;
/// Longest name of a hall: keys of the store are no longer.
pub const MAX_HALL_NAME_BYTES: usize = 200;
/// Default time from the operators' request until no new request may reach a hall; the shortest
/// that is known of a platform.
pub const DEFAULT_EVACUATION_BOUND: Duration = Duration::from_millis(5000);
/// The ramp takes one part in this many of the bound. The rest is for a change that arrives through
/// a peer and for requests in flight: a gateway notices within about 2 s that the store refuses it,
/// and connecting takes 0.3 s.
const RAMP_DIVISOR: u32 = 3;

/// Newest known status of a hall, as gateways exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallStatus {
    /// The hall.
    pub hall: HallName,
    /// The store's version of the change.
    pub version: StoreVersion,
    /// Whether the hall is evacuated; otherwise it was reopened.
    pub is_evacuated: bool,
    /// Time since the hall first had this status, in milliseconds; `None` where unknown.
    pub age_ms: Option<u64>,
}

/// Statuses of all halls that a gateway knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallStatuses {
    /// The store's version up to which they hold; 0 where nothing is known yet.
    pub version: StoreVersion,
    /// Whether every evacuated hall is included; `false` after one was dropped.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// Statuses of the halls.
    #[serde(rename = "words")]
    pub statuses: Vec<HallStatus>,
}

/// Effect of a change on a hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HallEvent {
    /// A hall stops taking new requests.
    Evacuated {
        /// The hall.
        hall: HallName,
        /// The store's version of the change.
        version: StoreVersion,
    },
    /// A hall takes requests again.
    Reopened {
        /// The hall.
        hall: HallName,
        /// The store's version of the change.
        version: StoreVersion,
    },
    /// A hall's evacuation is ignored, as its name is too long or too many halls are known.
    Dropped {
        /// The hall.
        hall: HallName,
        /// The store's version of the change.
        version: StoreVersion,
    },
}

#[derive(Clone, Debug)]
struct HallRecord {
    version: StoreVersion,
    state: HallState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HallState {
    /// Evacuated since then; `None` where that is unknown or before the process started.
    Evacuated(Option<Moment>),
    /// Reopened after an evacuation that lasted this long.
    Reopened { at: Option<Moment>, lasted: Duration },
}

/// Statuses of halls, with the order in which their targets leave and return.
#[derive(Clone, Debug)]
pub struct Evacuations {
    known: BTreeMap<HallName, HallRecord>,
    version: StoreVersion,
    is_complete: bool,
    ramp: Duration,
}

impl Default for Evacuations {
    fn default() -> Self {
        Evacuations {
            known: BTreeMap::new(),
            version: 0,
            is_complete: true,
            ramp: DEFAULT_EVACUATION_BOUND / RAMP_DIVISOR,
        }
    }
}

impl Evacuations {
    /// Sets the time after which no new request may reach an evacuated hall.
    pub fn set_bound(&mut self, bound: Duration) {
        self.ramp = bound / RAMP_DIVISOR;
    }

    /// Applies the whole list of evacuated halls and returns what changed. New evacuations may be
    /// as old as `since`, the last moment at which all changes were known.
    pub fn apply_snapshot(
        &mut self,
        version: StoreVersion,
        halls: &[HallName],
        since: Option<Moment>,
        now: Moment,
    ) -> Vec<HallEvent> {
        if version < self.version {
            return Vec::new();
        }

        let listed: HashSet<&HallName> = halls.iter().collect();
        let mut events = self.reopen_unlisted(version, &listed, now);
        self.is_complete = true;

        for hall in halls {
            events.extend(self.apply(hall, version, true, since, now));
        }

        self.version = version;
        events
    }

    /// Applies one change. Call [`Evacuations::advance_to`] after the last change of an answer.
    pub fn apply_change(
        &mut self,
        version: StoreVersion,
        hall: &HallName,
        is_evacuated: bool,
        now: Moment,
    ) -> Option<HallEvent> {
        self.apply(hall, version, is_evacuated, Some(now), now)
    }

    /// Records that all changes up to a version are known.
    pub fn advance_to(&mut self, version: StoreVersion) {
        self.version = self.version.max(version);
    }

    /// Statuses to send to other gateways.
    pub fn statuses(&self, now: Moment) -> HallStatuses {
        let status = |(hall, known): (&HallName, &HallRecord)| {
            let (is_evacuated, at) = match known.state {
                HallState::Evacuated(since) => (true, since),
                HallState::Reopened { at, .. } => (false, at),
            };
            let age_ms = at.map(|at| now.saturating_sub(at).as_millis() as u64);

            HallStatus { hall: hall.clone(), version: known.version, is_evacuated, age_ms }
        };
        let statuses = self.known.iter().map(status).collect();

        HallStatuses { version: self.version, is_complete: self.is_complete, statuses }
    }

    /// Merges the statuses from another gateway and returns what changed.
    pub fn merge(&mut self, peer: &HallStatuses, now: Moment) -> Vec<HallEvent> {
        let mut events = Vec::new();
        // Only evacuated halls count as listed. A hall that the peer reports as reopened is
        // reopened here too, even where the status itself is older than what is known here.
        let evacuated = peer.statuses.iter().filter(|status| status.is_evacuated);
        let listed: HashSet<&HallName> = evacuated.map(|status| &status.hall).collect();

        for status in peer.statuses.iter().take(MAX_HALLS) {
            let age = status.age_ms.map(Duration::from_millis);
            // A time before this process started has no `Moment`.
            let since = age.and_then(|age| now.checked_sub(age));
            events.extend(self.apply(
                &status.hall,
                status.version,
                status.is_evacuated,
                since,
                now,
            ));
        }

        if peer.is_complete && peer.version > self.version {
            events.extend(self.reopen_unlisted(peer.version, &listed, now));
            self.version = peer.version;
        }

        events
    }

    /// Whether a target gets no new requests.
    pub fn excludes(&self, target: &TargetEntry, now: Moment) -> bool {
        let Some(known) = self.known.get(&target.hall) else {
            return false;
        };
        let offset = self.offset(&target.id);

        match known.state {
            HallState::Evacuated(None) => true,
            HallState::Evacuated(Some(since)) => now >= since + offset,
            HallState::Reopened { at: None, .. } => false,
            // A target whose turn to leave had not come when the hall was reopened stays in use.
            HallState::Reopened { at: Some(at), lasted } => lasted >= offset && now < at + offset,
        }
    }

    /// When a hall was reopened; `None` if it is evacuated or that was before this process started.
    pub fn reopened_at(&self, hall: &str) -> Option<Moment> {
        match self.known.get(hall)?.state {
            HallState::Reopened { at, .. } => at,
            HallState::Evacuated(_) => None,
        }
    }

    /// Evacuated halls, each with the store's version of the evacuation.
    pub fn halls(&self) -> impl Iterator<Item = (&HallName, StoreVersion)> {
        let is_evacuated = |k: &HallRecord| matches!(k.state, HallState::Evacuated(_));

        self.known.iter().filter(move |(_, k)| is_evacuated(k)).map(|(hall, k)| (hall, k.version))
    }

    /// The store's version up to which all changes are known.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Whether some target may leave or return between two moments.
    pub fn has_transition_between(&self, from: Moment, to: Moment) -> bool {
        self.known.values().any(|known| match known.state {
            HallState::Evacuated(at) | HallState::Reopened { at, .. } => {
                at.is_some_and(|at| from <= at + self.ramp && at <= to)
            }
        })
    }

    /// Delay after a change until it applies to a target.
    fn offset(&self, target: &str) -> Duration {
        let fraction = digest(target.as_bytes()) as f64 / u64::MAX as f64;

        self.ramp.mul_f64(fraction)
    }

    fn apply(
        &mut self,
        hall: &HallName,
        version: StoreVersion,
        is_evacuated: bool,
        since: Option<Moment>,
        now: Moment,
    ) -> Option<HallEvent> {
        let before = self.known.get(hall).map(|known| (known.version, known.state));

        if version <= self.version || before.is_some_and(|(newest, _)| version <= newest) {
            return None;
        }

        if before.is_none() && !self.make_room(hall, is_evacuated) {
            // A hall that is unknown here takes requests already, so losing its reopening does no
            // harm.
            self.is_complete &= !is_evacuated;
            return is_evacuated.then(|| HallEvent::Dropped { hall: hall.clone(), version });
        }

        let state = next_state(before.map(|(_, state)| state), is_evacuated, since, now, self.ramp);
        self.known.insert(hall.clone(), HallRecord { version, state });
        let was_evacuated = matches!(before, Some((_, HallState::Evacuated(_))));
        let hall = hall.clone();

        match (was_evacuated, is_evacuated) {
            (false, true) => Some(HallEvent::Evacuated { hall, version }),
            (true, false) => Some(HallEvent::Reopened { hall, version }),
            _ => None,
        }
    }

    /// Reopens the halls that a complete list does not contain.
    fn reopen_unlisted(
        &mut self,
        version: StoreVersion,
        listed: &HashSet<&HallName>,
        now: Moment,
    ) -> Vec<HallEvent> {
        let is_unlisted = |hall: &&HallName| !listed.contains(*hall);
        let unlisted: Vec<HallName> =
            self.halls().map(|(h, _)| h).filter(is_unlisted).cloned().collect();
        let reopened = |hall| self.apply(hall, version, false, Some(now), now);

        unlisted.iter().filter_map(reopened).collect()
    }

    /// Makes room for one more hall by evicting a reopened one. Returns whether there is room.
    fn make_room(&mut self, hall: &str, is_evacuated: bool) -> bool {
        if hall.is_empty() || hall.len() > MAX_HALL_NAME_BYTES {
            return false;
        }

        if self.known.len() < MAX_HALLS {
            return true;
        }

        // The reopened hall with the oldest change is the one whose loss matters least.
        let is_reopened = |k: &HallRecord| matches!(k.state, HallState::Reopened { .. });
        let reopened =
            self.known.iter().filter(|(_, k)| is_reopened(k) && k.version <= self.version);
        let oldest = reopened.min_by_key(|(_, k)| k.version).map(|(hall, _)| hall.clone());

        match oldest {
            Some(oldest) if is_evacuated => self.known.remove(&oldest).is_some(),
            _ => false,
        }
    }
}

/// State of a hall after a newer change.
fn next_state(
    before: Option<HallState>,
    is_evacuated: bool,
    since: Option<Moment>,
    now: Moment,
    ramp: Duration,
) -> HallState {
    match (before, is_evacuated) {
        (Some(HallState::Evacuated(since)), true) => HallState::Evacuated(since),
        // Targets that have not returned yet must not return when the hall is evacuated again.
        (Some(HallState::Reopened { at: Some(at), .. }), true) if now < at + ramp => {
            HallState::Evacuated(None)
        }
        (_, true) => HallState::Evacuated(since),
        (Some(HallState::Evacuated(began)), false) => {
            let lasted = began.map_or(ramp, |began| now.saturating_sub(began));

            HallState::Reopened { at: since.or(Some(now)), lasted }
        }
        (Some(HallState::Reopened { at, lasted }), false) => HallState::Reopened { at, lasted },
        (None, false) => HallState::Reopened { at: since, lasted: Duration::ZERO },
    }
}
