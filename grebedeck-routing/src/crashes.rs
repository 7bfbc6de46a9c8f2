//! Which targets crashed, and which requests ran there.
//!
//! A crash says something of a request only if nothing else explains it. What ran beside a deadly request was there by
//! chance, and so was whatever ran when a hall lost its power: then targets end in the same moment on which the request
//! did not run. So a crash counts against those that ran there, unless
//!
//! - another target crashed in the same moment that the request did not run on, or
//! - a request ran beside it that is known to be deadly, or
//! - the request was answered since: who crashes each target that runs it never is.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use grebedeck_core::{DigestWriter, Moment};
use serde::{Deserialize, Serialize};

use crate::choice::StartId;
use crate::fingerprint::Fingerprint;
use crate::report::{ClearedReport, CrashReport};

/// Crashes within this time of each other have one cause: a loss of power takes no longer, and a request that is sent
/// on after a crash needs some of it to crash the next target.
pub const CORRELATION_WINDOW: Duration = Duration::from_millis(100);
/// How long a crash counts: callers that ask again after longer than that are as good as new ones.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Crashes after which a request is not sent any more. Two are met by chance: by whoever is sent on once beside a request
/// that crashes targets.
pub const CRASH_LIMIT: usize = 3;
/// Most requests that are kept of one crash.
const MAX_RUNS: usize = 1024;
/// Most requests that are kept of all crashes: 1 MB.
const MAX_ALL_RUNS: usize = 32 << 10;
/// Most crashes that are kept.
const MAX_CRASHES: usize = 1024;
/// Most answered requests that are remembered of those that were suspected, so that late reports accuse none again.
const MAX_CLEARED: usize = 4096;

/// One life of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetStart {
    /// The target.
    pub target: String,
    /// The time of its start, where it tells it.
    pub born: StartId,
    /// Whether it is the start after that one: lists lag, so a target may be used before its new start is listed.
    pub is_next: bool,
}

impl TargetStart {
    /// Makes the start that is listed for a target.
    pub fn listed(target: &str, born: StartId) -> Self {
        TargetStart { target: target.to_string(), born, is_next: false }
    }
}

#[derive(Clone, Debug)]
struct Crash {
    at: Moment,
    runs: BTreeSet<Fingerprint>,
}

/// How many crashes each request ran under.
#[derive(Clone, Debug, Default)]
struct RunCounts {
    crashes: HashMap<Fingerprint, usize>,
    /// Those that ran under [`CRASH_LIMIT`] crashes or more: they are asked for with every request, and are few.
    often: BTreeSet<Fingerprint>,
    /// Runs of all requests together.
    runs: usize,
}

impl RunCounts {
    fn add(&mut self, request: Fingerprint) {
        let count = self.crashes.entry(request).or_default();
        *count += 1;
        self.runs += 1;

        if *count >= CRASH_LIMIT {
            self.often.insert(request);
        }
    }

    fn remove(&mut self, request: Fingerprint) {
        self.runs -= 1;
        let Some(count) = self.crashes.get_mut(&request) else {
            return;
        };
        *count -= 1;

        if *count < CRASH_LIMIT {
            self.often.remove(&request);
        }

        if *count == 0 {
            self.crashes.remove(&request);
        }
    }

    fn is_one_off(&self, request: Fingerprint) -> bool {
        self.crashes.get(&request).is_none_or(|count| *count < 2)
    }
}

/// How much speaks against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Crashes that nothing else explains.
    pub crashes: usize,
    /// When the newest of them was.
    pub newest: Moment,
}

/// Crashes, and who ran under them.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    crashes: BTreeMap<TargetStart, Crash>,
    suspects: RunCounts,
    cleared: HashMap<Fingerprint, Moment>,
}

impl CrashLog {
    /// Tells whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.crashes.is_empty()
    }

    /// Tells whether a request ran under a crash and was not answered since.
    pub fn is_suspected(&self, request: Fingerprint) -> bool {
        self.suspects.crashes.contains_key(&request)
    }

    /// Gets when a start crashed, where it is known to have.
    pub fn crashed_at(&self, start: &TargetStart) -> Option<Moment> {
        self.crashes.get(start).map(|crash| crash.at)
    }

    /// Tells whether some start of a target crashed within a time.
    pub fn crashed_since(&self, target: &str, since: Moment) -> bool {
        self.crashes.iter().any(|(start, crash)| start.target == target && crash.at >= since)
    }

    /// Notes requests that ran on a start when it crashed; tells whether that is news. The earliest time that is told
    /// of a crash is the nearest to it.
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
        let mut is_news = is_new;

        for request in runs {
            let is_cleared = self.cleared.get(&request).is_some_and(|cleared| *cleared >= crash.at);

            if !is_cleared && crash.runs.len() < MAX_RUNS && crash.runs.insert(request) {
                self.suspects.add(request);
                is_news = true;
            }
        }

        self.make_room(start);
        is_news
    }

    /// Notes that a request was answered: no crash until then was its.
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

    /// Tells whether a request was answered at a time or later.
    pub fn is_cleared_since(&self, request: Fingerprint, at: Moment) -> bool {
        self.cleared.get(&request).is_some_and(|cleared| *cleared >= at)
    }

    /// Gets what speaks against a request. `is_deadly` tells whether a request is known to crash its targets.
    pub fn suspicion(
        &self,
        request: Fingerprint,
        is_deadly: impl Fn(Fingerprint) -> bool,
    ) -> Suspicion {
        if !self.is_suspected(request) {
            return Suspicion::default();
        }

        let is_explained =
            |crash: &Crash| crash.runs.iter().any(|other| *other != request && is_deadly(*other));
        let open: Vec<(&TargetStart, &Crash)> =
            self.crashes.iter().filter(|(_, crash)| !is_explained(crash)).collect();
        let mut counted: Vec<(&str, Moment)> = Vec::new();

        for (start, crash) in open.iter().filter(|(_, crash)| crash.runs.contains(&request)) {
            let is_same_moment = |at: Moment| at.abs_diff(crash.at) <= CORRELATION_WINDOW;
            let has_other_cause = open.iter().any(|(other, other_crash)| {
                other.target != start.target
                    && is_same_moment(other_crash.at)
                    && !other_crash.runs.contains(&request)
            });
            // Who holds an older list takes the same crash for one of an earlier start.
            let is_known =
                counted.iter().any(|(target, at)| *target == start.target && is_same_moment(*at));

            if !has_other_cause && !is_known {
                counted.push((&start.target, crash.at));
            }
        }

        let newest = counted.iter().map(|(_, at)| *at).max().unwrap_or_default();

        Suspicion { crashes: counted.len(), newest }
    }

    /// Gets the requests that ran under [`CRASH_LIMIT`] crashes or more.
    pub fn repeat_suspects(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.often.iter().copied()
    }

    /// Forgets what was long ago.
    pub fn evict_expired(&mut self, now: Moment) {
        let is_old = |at: Moment| at + CRASH_RETENTION < now;
        let old: Vec<TargetStart> =
            self.crashes.iter().filter(|(_, c)| is_old(c.at)).map(|(s, _)| s.clone()).collect();

        old.iter().for_each(|start| self.forget(start));
        self.cleared.retain(|_, at| !is_old(*at));
    }

    /// Gets all crashes and answered requests, the newest first.
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

    /// Gets one crash as it is told.
    pub fn crash_report(&self, start: &TargetStart, now: Moment) -> Option<CrashReport> {
        let crash = self.crashes.get(start)?;
        let runs = crash.runs.iter().copied().collect();

        Some(CrashReport { start: start.clone(), age_ms: age_ms(crash.at, now), runs })
    }

    /// Adds all that is known, but for times, to a digest.
    pub fn digest(&self, writer: &mut DigestWriter) {
        for (start, crash) in &self.crashes {
            writer.update(start.target.as_bytes());
            writer.update(&[u8::from(start.is_next)]);
            writer.update(&start.born.unwrap_or_default().to_le_bytes());
            crash.runs.iter().for_each(|request| writer.update(&request.to_le_bytes()));
        }
    }

    /// Gets the number of crashes and of suspected requests.
    pub fn len(&self) -> (usize, usize) {
        (self.crashes.len(), self.suspects.crashes.len())
    }

    /// Forgets crashes while there are too many: first those whose requests all ran under one crash only, which is
    /// what many one-off requests leave behind.
    fn make_room(&mut self, newest: &TargetStart) {
        while self.crashes.len() > MAX_CRASHES || self.suspects.runs > MAX_ALL_RUNS {
            let is_one_off =
                |crash: &Crash| crash.runs.iter().all(|r| self.suspects.is_one_off(*r));
            let others = self.crashes.iter().filter(|(start, _)| *start != newest);
            let Some((start, _)) = others.min_by_key(|(_, c)| (!is_one_off(c), c.at)) else {
                return;
            };
            self.forget(&start.clone());
        }
    }

    fn forget(&mut self, start: &TargetStart) {
        for request in self.crashes.remove(start).into_iter().flat_map(|crash| crash.runs) {
            self.suspects.remove(request);
        }
    }
}

/// Gets the age of something that was at a moment.
pub fn age_ms(at: Moment, now: Moment) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}
