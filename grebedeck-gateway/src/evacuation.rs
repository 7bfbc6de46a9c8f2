//! Halls to which nothing new goes, as the operators request it.
//!
//! The store holds one key for each evacuated hall. What is known of a hall is the newest word on it, set or
//! taken back, with the store's version of that word; a word that is not newer changes nothing, whoever tells it.
//! `version` is the one up to which all words are known. Whatever is older than that is no news, so that words
//! on halls that were taken back can be forgotten without an old word bringing them back.
//!
//! The targets of a hall leave one after another within a ramp, and return in the same way, so that the others do
//! not get all of its load in one moment. The order follows from the targets' ids and is the same at every gateway.
//! A word whose age is not known holds at once for all targets, as its bound may be near.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use grebedeck_core::digest::digest;
use grebedeck_core::{HallName, Moment};
use serde::{Deserialize, Serialize};

use crate::source::StoreVersion;
use crate::targets::TargetEntry;

/// Halls of which a word is kept; some times as many as an operator has.
pub const MAX_HALLS: usize = 512;
/// Longest name of a hall, in bytes; the store's keys are no longer.
pub const MAX_HALL_NAME_BYTES: usize = 200;
/// Time from the operators' request until nothing new may reach a hall, where the settings do not say; the
/// shortest that is known of a platform.
pub const DEFAULT_EVACUATION_BOUND: Duration = Duration::from_millis(5000);
/// Part of the bound in which a hall's targets leave. The rest is for news that come by a peer and for requests that
/// are on their way: a store that turns a gateway away is noticed within some two seconds, a connection takes 0.3.
const RAMP_PART: u32 = 3;

/// A word on a hall, as gateways tell it each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallStatus {
    /// The hall.
    pub hall: HallName,
    /// The store's version of the word.
    pub version: StoreVersion,
    /// Whether the hall is evacuated, or was taken back.
    pub is_evacuated: bool,
    /// How long ago it was so first, where that is known.
    pub age_ms: Option<u64>,
}

/// All words that a gateway has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallStatuses {
    /// The version up to which they hold, 0 where nothing is known yet.
    pub version: StoreVersion,
    /// Whether no hall was left out for lack of room.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// The words.
    #[serde(rename = "words")]
    pub statuses: Vec<HallStatus>,
}

/// What news changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HallEvent {
    /// Nothing new goes to a hall.
    Evacuated {
        /// The hall.
        hall: HallName,
        /// The store's version of the word.
        version: StoreVersion,
    },
    /// A hall takes requests again.
    Reopened {
        /// The hall.
        hall: HallName,
        /// The store's version of the word.
        version: StoreVersion,
    },
    /// There is no room to keep a word on a hall.
    Dropped {
        /// The hall.
        hall: HallName,
        /// The store's version of the word.
        version: StoreVersion,
    },
}

#[derive(Clone, Debug)]
struct Known {
    version: StoreVersion,
    state: HallState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HallState {
    /// Evacuated since then; for longer than can be told where there is no moment.
    Evacuated(Option<Moment>),
    /// Taken back at a moment after having been evacuated for some time.
    TakenBack { at: Option<Moment>, lasted: Duration },
}

/// What is known of evacuated halls.
#[derive(Clone, Debug)]
pub struct Evacuations {
    known: BTreeMap<HallName, Known>,
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
            ramp: DEFAULT_EVACUATION_BOUND / RAMP_PART,
        }
    }
}

impl Evacuations {
    /// Sets the time after which nothing new may reach an evacuated hall.
    pub fn set_bound(&mut self, bound: Duration) {
        self.ramp = bound / RAMP_PART;
    }

    /// Takes in all halls that the store names; gives what changed. What is new may be as old as `since`, the last
    /// moment at which all was known.
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

        let named: HashSet<&HallName> = halls.iter().collect();
        let mut events = self.take_back_others(version, &named, now);
        self.is_complete = true;

        for hall in halls {
            events.extend(self.note(hall, version, true, since, now));
        }

        self.version = version;
        events
    }

    /// Takes in one change; gives what it changed. [`Evacuations::advance_to`] follows the last one of an answer.
    pub fn apply_change(
        &mut self,
        version: StoreVersion,
        hall: &HallName,
        is_evacuated: bool,
        now: Moment,
    ) -> Option<HallEvent> {
        self.note(hall, version, is_evacuated, Some(now), now)
    }

    /// Notes that all changes up to a version are known.
    pub fn advance_to(&mut self, version: StoreVersion) {
        self.version = self.version.max(version);
    }

    /// Gets the words for other gateways.
    pub fn statuses(&self, now: Moment) -> HallStatuses {
        let word = |(hall, known): (&HallName, &Known)| {
            let (is_evacuated, at) = match known.state {
                HallState::Evacuated(since) => (true, since),
                HallState::TakenBack { at, .. } => (false, at),
            };
            let age_ms = at.map(|at| now.saturating_sub(at).as_millis() as u64);

            HallStatus { hall: hall.clone(), version: known.version, is_evacuated, age_ms }
        };
        let statuses = self.known.iter().map(word).collect();

        HallStatuses { version: self.version, is_complete: self.is_complete, statuses }
    }

    /// Takes in what another gateway knows; gives what changed.
    pub fn merge(&mut self, told: &HallStatuses, now: Moment) -> Vec<HallEvent> {
        let mut events = Vec::new();
        // A word that a hall was taken back may be older than what is known here, and the hall free all the same.
        let evacuated = told.statuses.iter().filter(|word| word.is_evacuated);
        let named: HashSet<&HallName> = evacuated.map(|word| &word.hall).collect();

        for word in told.statuses.iter().take(MAX_HALLS) {
            let age = word.age_ms.map(Duration::from_millis);
            // What is older than this process has no moment.
            let since = age.and_then(|age| now.checked_sub(age));
            events.extend(self.note(&word.hall, word.version, word.is_evacuated, since, now));
        }

        if told.is_complete && told.version > self.version {
            events.extend(self.take_back_others(told.version, &named, now));
            self.version = told.version;
        }

        events
    }

    /// Tells whether a target gets nothing new.
    pub fn excludes(&self, target: &TargetEntry, now: Moment) -> bool {
        let Some(known) = self.known.get(&target.hall) else {
            return false;
        };
        let offset = self.offset(&target.id);

        match known.state {
            HallState::Evacuated(None) => true,
            HallState::Evacuated(Some(since)) => now >= since + offset,
            HallState::TakenBack { at: None, .. } => false,
            // One that was not yet stopped when the hall was taken back goes on.
            HallState::TakenBack { at: Some(at), lasted } => lasted >= offset && now < at + offset,
        }
    }

    /// Gets when a hall was taken back, if it was while this process runs.
    pub fn reopened_at(&self, hall: &str) -> Option<Moment> {
        match self.known.get(hall)?.state {
            HallState::TakenBack { at, .. } => at,
            HallState::Evacuated(_) => None,
        }
    }

    /// Gets the halls that are evacuated, each with the store's version of that.
    pub fn halls(&self) -> impl Iterator<Item = (&HallName, StoreVersion)> {
        let is_evacuated = |k: &Known| matches!(k.state, HallState::Evacuated(_));

        self.known.iter().filter(move |(_, k)| is_evacuated(k)).map(|(hall, k)| (hall, k.version))
    }

    /// Gets the version up to which all is known.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Tells whether some target may have left or returned between two moments.
    pub fn has_transition_between(&self, from: Moment, to: Moment) -> bool {
        self.known.values().any(|known| match known.state {
            HallState::Evacuated(at) | HallState::TakenBack { at, .. } => {
                at.is_some_and(|at| from <= at + self.ramp && at <= to)
            }
        })
    }

    /// Gets how long after a word it holds for a target.
    fn offset(&self, target: &str) -> Duration {
        let place = digest(target.as_bytes()) as f64 / u64::MAX as f64;

        self.ramp.mul_f64(place)
    }

    fn note(
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

        if before.is_none() && !self.has_room(hall, is_evacuated) {
            // Who does not know that a hall was evacuated need not know that it was taken back.
            self.is_complete &= !is_evacuated;
            return is_evacuated.then(|| HallEvent::Dropped { hall: hall.clone(), version });
        }

        let state = next_state(before.map(|(_, state)| state), is_evacuated, since, now, self.ramp);
        self.known.insert(hall.clone(), Known { version, state });
        let was_evacuated = matches!(before, Some((_, HallState::Evacuated(_))));
        let hall = hall.clone();

        match (was_evacuated, is_evacuated) {
            (false, true) => Some(HallEvent::Evacuated { hall, version }),
            (true, false) => Some(HallEvent::Reopened { hall, version }),
            _ => None,
        }
    }

    /// Takes back the halls that a whole list of a version does not name.
    fn take_back_others(
        &mut self,
        version: StoreVersion,
        named: &HashSet<&HallName>,
        now: Moment,
    ) -> Vec<HallEvent> {
        let is_gone = |hall: &&HallName| !named.contains(*hall);
        let gone: Vec<HallName> = self.halls().map(|(h, _)| h).filter(is_gone).cloned().collect();
        let taken_back = |hall| self.note(hall, version, false, Some(now), now);

        gone.iter().filter_map(taken_back).collect()
    }

    /// Makes room for one more hall; tells whether there is.
    fn has_room(&mut self, hall: &str, is_evacuated: bool) -> bool {
        if hall.is_empty() || hall.len() > MAX_HALL_NAME_BYTES {
            return false;
        }

        if self.known.len() < MAX_HALLS {
            return true;
        }

        // The oldest word on a hall that was taken back is missed least.
        let is_idle = |k: &Known| matches!(k.state, HallState::TakenBack { .. });
        let idle = self.known.iter().filter(|(_, k)| is_idle(k) && k.version <= self.version);
        let oldest = idle.min_by_key(|(_, k)| k.version).map(|(hall, _)| hall.clone());

        match oldest {
            Some(oldest) if is_evacuated => self.known.remove(&oldest).is_some(),
            _ => false,
        }
    }
}

/// Gets a hall's state after a newer word on it.
fn next_state(
    before: Option<HallState>,
    is_evacuated: bool,
    since: Option<Moment>,
    now: Moment,
    ramp: Duration,
) -> HallState {
    match (before, is_evacuated) {
        (Some(HallState::Evacuated(since)), true) => HallState::Evacuated(since),
        // Targets that had not returned yet must not return because the hall is evacuated again.
        (Some(HallState::TakenBack { at: Some(at), .. }), true) if now < at + ramp => {
            HallState::Evacuated(None)
        }
        (_, true) => HallState::Evacuated(since),
        (Some(HallState::Evacuated(began)), false) => {
            let lasted = began.map_or(ramp, |began| now.saturating_sub(began));

            HallState::TakenBack { at: since.or(Some(now)), lasted }
        }
        (Some(HallState::TakenBack { at, lasted }), false) => HallState::TakenBack { at, lasted },
        (None, false) => HallState::TakenBack { at: since, lasted: Duration::ZERO },
    }
}
