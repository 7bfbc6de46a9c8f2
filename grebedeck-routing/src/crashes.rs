//! Crashes of targets and the requests that were running on them.
//!
//! A crash is evidence against a request only if nothing else explains it. A request may have run
//! by chance beside a poison request (one that crashes every target that runs it) or in a hall that
//! lost power, in which case targets that did not run the request crash at the same time. A crash
//! therefore counts against each request that was running on the target, unless
//!
//! - another target, which was not running the request, crashed at the same time, or
//! - a known poison request was running on the same target, or
//! - the request has been answered since, as a poison request never is.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use grebedeck_core::{DigestWriter, Moment};
use serde::{Deserialize, Serialize};

use crate::choice::StartId;
use crate::fingerprint::Fingerprint;
use crate::report::{ClearedReport, CrashReport};

/// Crashes within this time of each other are attributed to one cause. A loss of power takes no
/// longer, and a request that is retried after a crash needs some time to crash the next target.
pub const CORRELATION_WINDOW: Duration = Duration::from_millis(100);
/// Time for which a crash counts; a request repeated later than that is treated as a new one.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Number of crashes after which a request is quarantined. Two can happen by chance, to a request
/// that is retried once beside a poison request.
pub const CRASH_LIMIT: usize = 3;
/// Maximum number of requests stored per crash.
const MAX_REQUESTS_PER_CRASH: usize = 1024;
/// Maximum number of requests stored for all crashes together: 1 MB.
const MAX_REQUESTS: usize = 32 << 10;
/// Maximum number of crashes stored.
const MAX_CRASHES: usize = 1024;
/// Maximum number of cleared requests remembered, so that late reports do not make them suspects
/// again.
const MAX_CLEARED: usize = 4096;

/// One start of a target, up to its crash or shutdown.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetStart {
    /// Name of the target.
    pub target: String,
    /// Identifier of the start, if the target reports one.
    pub born: StartId,
    /// Whether this is the start after the one in `born`. The target list lags, so a target may be
    /// used before its new start is listed.
    pub is_next: bool,
}

impl TargetStart {
    /// Creates the start that the target list contains.
    pub fn listed(target: &str, born: StartId) -> Self {
        TargetStart { target: target.to_string(), born, is_next: false }
    }
}

#[derive(Clone, Debug)]
struct Crash {
    at: Moment,
    runs: BTreeSet<Fingerprint>,
}

/// Number of crashes during which each request was running.
#[derive(Clone, Debug, Default)]
struct RunCounts {
    crashes: HashMap<Fingerprint, usize>,
    /// Requests with [`CRASH_LIMIT`] or more crashes. They are few and are read for each incoming
    /// request, so they are kept apart.
    repeat: BTreeSet<Fingerprint>,
    /// Sum of all counts.
    runs: usize,
}

impl RunCounts {
    fn add(&mut self, request: Fingerprint) {
        let count = self.crashes.entry(request).or_default();
        *count += 1;
        self.runs += 1;

        if *count >= CRASH_LIMIT {
            self.repeat.insert(request);
        }
    }

    fn remove(&mut self, request: Fingerprint) {
        self.runs -= 1;
        let Some(count) = self.crashes.get_mut(&request) else {
            return;
        };
        *count -= 1;

        if *count < CRASH_LIMIT {
            self.repeat.remove(&request);
        }

        if *count == 0 {
            self.crashes.remove(&request);
        }
    }

    fn is_one_off(&self, request: Fingerprint) -> bool {
        self.crashes.get(&request).is_none_or(|count| *count < 2)
    }
}

/// Evidence against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of crashes that nothing else explains.
    pub crashes: usize,
    /// Time of the newest of these crashes.
    pub newest: Moment,
}

/// Recent crashes with the requests that were running.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    crashes: BTreeMap<TargetStart, Crash>,
    suspects: RunCounts,
    cleared: HashMap<Fingerprint, Moment>,
}

impl CrashLog {
    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.crashes.is_empty()
    }

    /// Returns whether a request was running during a crash and has not been answered since.
    pub fn is_suspected(&self, request: Fingerprint) -> bool {
        self.suspects.crashes.contains_key(&request)
    }

    /// Returns when a start crashed, if it is known to have crashed.
    pub fn crashed_at(&self, start: &TargetStart) -> Option<Moment> {
        self.crashes.get(start).map(|crash| crash.at)
    }

    /// Returns whether any start of a target crashed at `since` or later.
    pub fn crashed_since(&self, target: &str, since: Moment) -> bool {
        self.crashes.iter().any(|(start, crash)| start.target == target && crash.at >= since)
    }

    /// Records requests that were running on a start when it crashed; returns whether that was new.
    ///
    /// If the time of a crash is recorded more than once, the earliest is kept as the most
    /// accurate.
    pub fn record(
        &mut self,
        start: &TargetStart,
        at: Moment,
        runs: impl IntoIterator<Item = Fingerprint>,
    ) -> bool {
        let is_new = !self.crashes.contains_key(start);
        let crash = self
            .crashes
            .entry(start.clone())
            .or_insert_with(|| Crash { at, runs: BTreeSet::new() });
        crash.at = crash.at.min(at);
        let mut is_changed = is_new;

        for request in runs {
            let is_cleared = self.cleared.get(&request).is_some_and(|cleared| *cleared >= crash.at);

            if !is_cleared
                && crash.runs.len() < MAX_REQUESTS_PER_CRASH
                && crash.runs.insert(request)
            {
                self.suspects.add(request);
                is_changed = true;
            }
        }

        self.evict_excess(start);
        is_changed
    }

    /// Clears a request of all crashes up to `at`, because it was answered at that time.
    pub fn clear_request(&mut self, request: Fingerprint, at: Moment) {
        for crash in self.crashes.values_mut().filter(|crash| crash.at <= at) {
            if crash.runs.remove(&request) {
                self.suspects.remove(request);
            }
        }

        let newest = self.cleared.entry(request).or_insert(at);
        *newest = at.max(*newest);

        if self.cleared.len() > MAX_CLEARED {
            let oldest =
                self.cleared.iter().min_by_key(|(_, at)| **at).map(|(request, _)| *request);
            oldest.map(|oldest| self.cleared.remove(&oldest));
        }
    }

    /// Returns whether a request was answered at `at` or later.
    pub fn is_cleared_since(&self, request: Fingerprint, at: Moment) -> bool {
        self.cleared.get(&request).is_some_and(|cleared| *cleared >= at)
    }

    /// Returns whether a request is known to have been answered.
    pub fn is_answered(&self, request: Fingerprint) -> bool {
        self.cleared.contains_key(&request)
    }

    /// Returns the targets that crashed under a request and have not been explained by an answer.
    pub fn targets_under(&self, request: Fingerprint) -> Vec<&str> {
        let is_under = |crash: &Crash| crash.runs.contains(&request);
        let starts = self.crashes.iter().filter(|(_, crash)| is_under(crash));

        starts.map(|(start, _)| start.target.as_str()).collect()
    }

    /// Returns the fingerprints that were running during every crash under a request, and the number
    /// of these crashes.
    pub fn companions(&self, request: Fingerprint) -> (Vec<Fingerprint>, usize) {
        let mut crashes = self.crashes.values().filter(|crash| crash.runs.contains(&request));
        let Some(first) = crashes.next() else {
            return (Vec::new(), 0);
        };
        let mut companions: Vec<Fingerprint> =
            first.runs.iter().copied().filter(|other| *other != request).collect();
        let mut count = 1;

        for crash in crashes {
            companions.retain(|other| crash.runs.contains(other));
            count += 1;
        }

        (companions, count)
    }

    /// Returns the evidence against a request; `is_poison` identifies known poison requests.
    pub fn suspicion(
        &self,
        request: Fingerprint,
        is_poison: impl Fn(Fingerprint) -> bool,
    ) -> Suspicion {
        if !self.is_suspected(request) {
            return Suspicion::default();
        }

        let is_explained =
            |crash: &Crash| crash.runs.iter().any(|other| *other != request && is_poison(*other));
        let unexplained: Vec<(&TargetStart, &Crash)> =
            self.crashes.iter().filter(|(_, crash)| !is_explained(crash)).collect();
        let mut counted: Vec<(&str, Moment)> = Vec::new();

        for (start, crash) in unexplained.iter().filter(|(_, crash)| crash.runs.contains(&request))
        {
            let is_simultaneous = |at: Moment| at.abs_diff(crash.at) <= CORRELATION_WINDOW;
            let has_other_cause = unexplained.iter().any(|(other, other_crash)| {
                other.target != start.target
                    && is_simultaneous(other_crash.at)
                    && !other_crash.runs.contains(&request)
            });
            // A process with an older target list reports the same crash for an earlier start.
            let is_counted =
                counted.iter().any(|(target, at)| *target == start.target && is_simultaneous(*at));

            if !has_other_cause && !is_counted {
                counted.push((&start.target, crash.at));
            }
        }

        let newest = counted.iter().map(|(_, at)| *at).max().unwrap_or_default();

        Suspicion { crashes: counted.len(), newest }
    }

    /// Returns the suspected requests with [`CRASH_LIMIT`] or more crashes, explained or not.
    pub fn repeat_suspects(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.repeat.iter().copied()
    }

    /// Removes crashes and cleared requests older than [`CRASH_RETENTION`].
    pub fn evict_expired(&mut self, now: Moment) {
        let is_expired = |at: Moment| at + CRASH_RETENTION < now;
        let expired: Vec<TargetStart> =
            self.crashes.iter().filter(|(_, c)| is_expired(c.at)).map(|(s, _)| s.clone()).collect();

        expired.iter().for_each(|start| self.remove(start));
        self.cleared.retain(|_, at| !is_expired(*at));
    }

    /// Returns all crashes, newest first, and all cleared requests.
    pub fn snapshot(&self, now: Moment) -> (Vec<CrashReport>, Vec<ClearedReport>) {
        let mut crashes: Vec<CrashReport> =
            self.crashes.keys().filter_map(|start| self.crash_report(start, now)).collect();
        crashes.sort_by_key(|crash| crash.age_ms);
        let cleared = self
            .cleared
            .iter()
            .map(|(request, at)| ClearedReport { request: *request, age_ms: age_ms(*at, now) });

        (crashes, cleared.collect())
    }

    /// Returns the report of one crash.
    pub fn crash_report(&self, start: &TargetStart, now: Moment) -> Option<CrashReport> {
        let crash = self.crashes.get(start)?;
        let runs = crash.runs.iter().copied().collect();

        Some(CrashReport { start: start.clone(), age_ms: age_ms(crash.at, now), runs })
    }

    /// Adds all crashes and their requests, without times, to a digest.
    pub fn digest(&self, writer: &mut DigestWriter) {
        for (start, crash) in &self.crashes {
            writer.update(start.target.as_bytes());
            writer.update(&[u8::from(start.is_next)]);
            writer.update(&start.born.unwrap_or_default().to_le_bytes());
            crash.runs.iter().for_each(|request| writer.update(&request.to_le_bytes()));
        }
    }

    /// Returns the number of crashes and the number of suspected requests.
    pub fn len(&self) -> (usize, usize) {
        (self.crashes.len(), self.suspects.crashes.len())
    }

    /// Removes crashes while there are too many. Crashes whose requests were all running during one
    /// crash only go first: many one-off requests leave such crashes behind.
    fn evict_excess(&mut self, newest: &TargetStart) {
        while self.crashes.len() > MAX_CRASHES || self.suspects.runs > MAX_REQUESTS {
            let is_one_off =
                |crash: &Crash| crash.runs.iter().all(|r| self.suspects.is_one_off(*r));
            let others = self.crashes.iter().filter(|(start, _)| *start != newest);
            let Some((start, _)) = others.min_by_key(|(_, c)| (!is_one_off(c), c.at)) else {
                return;
            };
            self.remove(&start.clone());
        }
    }

    fn remove(&mut self, start: &TargetStart) {
        for request in self.crashes.remove(start).into_iter().flat_map(|crash| crash.runs) {
            self.suspects.remove(request);
        }
    }
}

/// Returns the time since `at`, in milliseconds.
pub fn age_ms(at: Moment, now: Moment) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}
