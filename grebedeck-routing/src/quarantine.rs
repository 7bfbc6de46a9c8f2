//! Quarantine for poison requests: requests that crash every target that runs them, alone or by a
//! part of their prompts that they share with others.
//!
//! A caller may repeat a poison request again and again, through any process that accepts requests.
//! Retried after each crash, one such request per second took down ten targets in turn. A model's
//! group, which has to form again after each crash, was out for as long as the request came.
//!
//! A request is quarantined after three crashes that nothing else explains (see
//! [`crate::crashes`]). The third crash decides, so a request with two crashes waits while
//! its third target is probed, and after the third for as long as a loss of power needs to become
//! visible. All other requests are sent without delay.
//!
//! A request in quarantine is refused at once. Only an answer clears it, so a request quarantined
//! by mistake would never be released. It is therefore tried again, one attempt at a time: after
//! one minute and once more ten minutes later. If both trials crash a target, there is no third
//! one.
//!
//! Parts of prompts are suspected, quarantined and tried in the same way, under fingerprints of
//! their own. A part that many requests have is running during most crashes, so two more rules
//! apply to parts: one that was answered before is only considered after those that were not, and
//! one that crashed targets in few of its runs (see [`crate::parts`]) not at all.
//!
//! Where two parts were running during the same crashes, the quarantine of one applies only to
//! requests that have both: those with one of them show which is the cause.
//!
//! Processes exchange what they observe. Each decides on its own and reaches the same
//! conclusion.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use grebedeck_core::{DigestWriter, Moment};

use crate::cooldown::COOLDOWN;
use crate::crashes::{CORRELATION_WINDOW, CRASH_LIMIT, CrashLog, Suspicion, TargetStart, age_ms};
use crate::fingerprint::{Fingerprint, Fingerprints, PromptFingerprints};
use crate::parts::PartHistory;
use crate::prompt::is_part;
use crate::report::{ClearedReport, CrashReport, QuarantinedReport, Report};

/// Time from a request's third crash to the decision on it, in which other crashes of the same
/// moment become known, including those that other processes report.
pub const DECISION_DELAY: Duration = CORRELATION_WINDOW;
/// Maximum time for a probe whether a target crashed.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a broken attempt within which a new start of the target proves that it crashed;
/// target lists lag by less.
const RESTART_WINDOW: Duration = Duration::from_secs(10);
/// Time from quarantine to the first trial, long enough that a poison request costs its targets
/// little.
pub const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Time from the first trial to the second.
pub const SECOND_TRIAL_DELAY: Duration = Duration::from_secs(600);
/// Maximum number of trials. The operators' bound on sends is one higher, because two processes may
/// make a trial at the same time.
const MAX_TRIALS: u32 = 2;
/// Time for which a request that no caller repeats stays in quarantine. Callers of a request
/// without further trials are told to wait this long.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of requests in quarantine; the least recently requested one is evicted.
const MAX_QUARANTINED: usize = 1024;
/// A part without an earlier answer can be the cause of crashes if at least one in this many of its
/// runs ended in one. The crash of one rank stops the runs on all others.
const MAX_RUNS_PER_CRASH: u32 = 8;
/// The same for a part with an earlier answer.
const MAX_ANSWERED_RUNS_PER_CRASH: u32 = 2;
/// Time after [`DECISION_DELAY`] in which the decision of another process arrives.
const NOTIFY_TIME: Duration = Duration::from_millis(50);
/// Maximum number of running and recent probes.
const MAX_PROBES: usize = 1024;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// The request may be sent.
    Allow,
    /// The request may be sent as a trial if [`Quarantine::take_trial`] returns `true`.
    Trial,
    /// The decision is pending; it is known after this time at the latest.
    Wait(Duration),
    /// The request may not be sent; it may be tried after this time.
    Refuse(Duration),
}

impl Clearance {
    /// Returns the stricter of two clearances.
    fn stricter(self, other: Clearance) -> Clearance {
        match (self, other) {
            (Clearance::Refuse(a), Clearance::Refuse(b)) => Clearance::Refuse(a.max(b)),
            (refuse @ Clearance::Refuse(_), _) | (_, refuse @ Clearance::Refuse(_)) => refuse,
            (Clearance::Wait(a), Clearance::Wait(b)) => Clearance::Wait(a.max(b)),
            (wait @ Clearance::Wait(_), _) | (_, wait @ Clearance::Wait(_)) => wait,
            (Clearance::Allow, Clearance::Allow) => Clearance::Allow,
            _ => Clearance::Trial,
        }
    }
}

/// Result of probing a target on which an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The target refuses connections: it has crashed.
    Crashed,
    /// The target accepts connections and keeps them open.
    Alive,
    /// The target does not respond, so its state is unknown.
    Unknown,
}

/// A change to write to persistent storage, for processes that start later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredChange {
    /// The request is in quarantine; the number counts its trials since then.
    Quarantined(Fingerprint, u32),
    /// The request is no longer in quarantine.
    Released(Fingerprint),
}

impl StoredChange {
    /// Returns the request that the change is about.
    pub fn request(self) -> Fingerprint {
        match self {
            StoredChange::Quarantined(request, _) | StoredChange::Released(request) => request,
        }
    }
}

/// Running or recent probe of a target on which attempts broke.
#[derive(Clone, Debug)]
struct Probe {
    /// When the first of the attempts broke.
    at: Moment,
    /// Requests whose attempts broke.
    runs: BTreeSet<Fingerprint>,
    /// Whether the probe is still running.
    is_open: bool,
}

/// A request in quarantine.
#[derive(Clone, Copy, Debug)]
struct QuarantinedRequest {
    since: Moment,
    trials: u32,
    /// Time of the last trial, or else of the quarantine.
    tried_at: Moment,
    last_requested_at: Moment,
}

impl QuarantinedRequest {
    fn next_trial(&self) -> Option<Moment> {
        match self.trials {
            0 => Some(self.tried_at + FIRST_TRIAL_DELAY),
            trials if trials < MAX_TRIALS => Some(self.tried_at + SECOND_TRIAL_DELAY),
            _ => None,
        }
    }
}

/// Strength of the evidence against a candidate for quarantine.
#[derive(Clone, Copy, Debug)]
struct Strength {
    is_unanswered: bool,
    /// A request is preferred to the parts of its prompt, which others may share.
    is_request: bool,
    crash_share: f64,
    crashes: usize,
    request: Fingerprint,
}

impl Strength {
    fn total_cmp(&self, other: &Strength) -> Ordering {
        let answers = self.is_unanswered.cmp(&other.is_unanswered);

        answers
            .then(self.is_request.cmp(&other.is_request))
            .then(self.crash_share.total_cmp(&other.crash_share))
            .then(self.crashes.cmp(&other.crashes))
            .then(self.request.cmp(&other.request))
    }
}

/// Requests in quarantine, and the crashes and probes that may add more.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    log: CrashLog,
    entries: HashMap<Fingerprint, QuarantinedRequest>,
    probes: BTreeMap<TargetStart, Probe>,
    parts: PartHistory,
    /// Crashes that this process observed itself.
    observed: BTreeSet<TargetStart>,
    updates: Report,
    stored_changes: Vec<StoredChange>,
}

impl Quarantine {
    /// Returns whether every request may be sent without a further check.
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty() && self.log.is_empty() && self.probes.is_empty()
    }

    /// Returns whether a request is in quarantine.
    pub fn contains(&self, request: Fingerprint) -> bool {
        self.entries.contains_key(&request)
    }

    /// Records that an attempt, sent at `sent_at`, broke on a target; returns the start to probe,
    /// if any.
    ///
    /// The target list lags: if the listed start crashed before `sent_at`, the attempt ran on the
    /// next start.
    pub fn record_broken_attempt(
        &mut self,
        listed: &TargetStart,
        request: &Fingerprints,
        sent_at: Moment,
        now: Moment,
    ) -> Option<TargetStart> {
        let crashed_at = self.log.crashed_at(listed);
        let is_next = crashed_at.is_some_and(|at| at < sent_at);
        let start = TargetStart { is_next: listed.is_next || is_next, ..listed.clone() };

        if self.log.crashed_at(&start).is_some() {
            self.add_crash(&start, now, request.iter(), now);
            return None;
        }

        if self.probes.len() >= MAX_PROBES && !self.probes.contains_key(&start) {
            return None;
        }

        let is_new = !self.probes.contains_key(&start);
        let probe = self.probes.entry(start.clone()).or_insert_with(|| Probe {
            at: now,
            runs: BTreeSet::new(),
            is_open: false,
        });

        if !probe.is_open && !is_new {
            probe.at = now;
            probe.runs.clear();
        }

        probe.runs.extend(request.iter());
        let needs_probe = !std::mem::replace(&mut probe.is_open, true);

        needs_probe.then_some(start)
    }

    /// Records the result of a probe; returns whether a decision is due after [`DECISION_DELAY`].
    pub fn record_probe(&mut self, start: &TargetStart, result: ProbeResult, now: Moment) -> bool {
        if result != ProbeResult::Crashed {
            if let Some(probe) = self.probes.get_mut(start) {
                probe.is_open = false;
            }

            return false;
        }

        self.confirm_crash(start, now)
    }

    /// Records that a target has restarted or is gone, so it crashed under the attempts that broke
    /// on it recently; returns whether a decision is due after [`DECISION_DELAY`].
    pub fn record_restart(&mut self, target: &str, now: Moment) -> bool {
        let is_of_target = |start: &&TargetStart| start.target == target;
        let starts: Vec<TargetStart> = self.probes.keys().filter(is_of_target).cloned().collect();

        let mut is_decision_due = false;

        for start in &starts {
            is_decision_due |= self.confirm_crash(start, now);
        }

        is_decision_due
    }

    /// Records a crash with the requests known to have been running; returns whether a decision is
    /// due after [`DECISION_DELAY`].
    pub fn record_crash(
        &mut self,
        start: &TargetStart,
        runs: impl IntoIterator<Item = Fingerprint>,
        now: Moment,
    ) -> bool {
        self.add_crash(start, now, runs, now)
    }

    /// Returns whether a target crashed so recently that it may still be down.
    pub fn crashed_recently(&self, target: &str, now: Moment) -> bool {
        self.log.crashed_since(target, now.saturating_sub(RESTART_WINDOW))
    }

    fn confirm_crash(&mut self, start: &TargetStart, now: Moment) -> bool {
        let Some(probe) = self.probes.remove(start).filter(|probe| probe.at + RESTART_WINDOW > now)
        else {
            return false;
        };

        self.add_crash(start, probe.at, probe.runs, now)
    }

    fn add_crash(
        &mut self,
        start: &TargetStart,
        at: Moment,
        runs: impl IntoIterator<Item = Fingerprint>,
        now: Moment,
    ) -> bool {
        let runs: Vec<Fingerprint> = runs.into_iter().collect();

        if !self.log.record(start, at, runs.iter().copied()) {
            return false;
        }

        self.observed.insert(start.clone());
        runs.into_iter().filter(|run| is_part(*run)).for_each(|part| self.add_part(part, now));

        if let Some(crash) = self.log.crash_report(start, now) {
            let is_other = |other: &CrashReport| other.start != *start;
            self.updates.crashes.retain(is_other);
            self.updates.crashes.push(crash);
        }

        self.next_decision(now).is_some()
    }

    /// Records that a part was running on a crashed target, and reports the last answer to it.
    fn add_part(&mut self, part: Fingerprint, now: Moment) {
        self.parts.record_crash(part);

        if let Some(answered_at) = self.parts.get(part).answered_at
            && !self.log.is_cleared_since(part, answered_at)
        {
            self.log.clear_request(part, answered_at);
            let age_ms = age_ms(answered_at, now);
            self.updates.cleared.push(ClearedReport { request: part, age_ms });
        }
    }

    /// Records that a target has begun to run a request.
    pub fn record_run(&mut self, prompt: &PromptFingerprints) {
        self.parts.record_run(prompt);
    }

    /// Records a successful answer to a request that cannot be suspected, as nothing is.
    pub fn record_unsuspected_answer(&mut self, prompt: &PromptFingerprints, now: Moment) {
        self.parts.record_answer(prompt, now);
    }

    /// Records that a request was answered, which clears it, and also the parts of its prompt if
    /// the answer is a success; returns what of it was in quarantine.
    pub fn record_answer(
        &mut self,
        request: &Fingerprints,
        is_success: bool,
        now: Moment,
    ) -> Vec<Fingerprint> {
        if !is_success {
            return self
                .clear(request.request, now)
                .then_some(request.request)
                .into_iter()
                .collect();
        }

        self.parts.record_answer(&request.prompt, now);

        request.iter().filter(|fingerprint| self.clear(*fingerprint, now)).collect()
    }

    /// Clears a request or part; returns whether it was in quarantine.
    fn clear(&mut self, request: Fingerprint, now: Moment) -> bool {
        for probe in self.probes.values_mut() {
            probe.runs.remove(&request);
        }

        let was_quarantined = self.entries.remove(&request).is_some();

        // Nearly all answers are to requests without suspicion and must not use memory.
        if !was_quarantined && !self.log.is_suspected(request) {
            return false;
        }

        self.log.clear_request(request, now);
        self.updates.cleared.push(ClearedReport { request, age_ms: 0 });

        if was_quarantined {
            self.stored_changes.push(StoredChange::Released(request));
        }

        was_quarantined
    }

    /// Returns whether a request may be sent. Callers call [`Quarantine::decide`] first.
    pub fn clearance(&mut self, request: &Fingerprints, now: Moment) -> Clearance {
        request.iter().fold(Clearance::Allow, |clearance, fingerprint| {
            clearance.stricter(self.clearance_of(fingerprint, request, now))
        })
    }

    /// Returns whether `whole` may be sent, as far as `request` is concerned: its own fingerprint or
    /// that of a part.
    fn clearance_of(
        &mut self,
        request: Fingerprint,
        whole: &Fingerprints,
        now: Moment,
    ) -> Clearance {
        if self.contains(request) && self.lacks_companion(request, whole) {
            return Clearance::Allow;
        }

        if let Some(entry) = self.entries.get_mut(&request) {
            entry.last_requested_at = now;

            return match entry.next_trial() {
                Some(at) if at <= now => Clearance::Trial,
                Some(at) => Clearance::Refuse(at - now),
                None => Clearance::Refuse(RETENTION),
            };
        }

        let suspicion = self.suspicion(request);
        let may_wait = !is_part(request) || self.is_held(request) || self.is_plausible(request);

        if !may_wait {
            return Clearance::Allow;
        }

        if suspicion.crashes >= CRASH_LIMIT {
            let due = suspicion.newest + DECISION_DELAY;

            if !is_part(request) {
                return Clearance::Wait(due.saturating_sub(now));
            }

            // A part that this process does not decide on may be decided on by another one.
            let left = (due + NOTIFY_TIME).saturating_sub(now);

            return if left.is_zero() { Clearance::Allow } else { Clearance::Wait(left) };
        }

        match self.open_probes(request, now) {
            Some((count, until)) if suspicion.crashes + count >= CRASH_LIMIT => {
                Clearance::Wait(until - now)
            }
            _ => Clearance::Allow,
        }
    }

    /// Returns what of a request is in quarantine, so that the request is not sent.
    pub fn quarantined(&self, request: &Fingerprints) -> impl Iterator<Item = Fingerprint> {
        request.iter().filter(|f| self.contains(*f) && !self.lacks_companion(*f, request))
    }

    /// Returns whether a request lacks something that was running during every crash under its
    /// quarantined part, and that may be the cause as well. Such a request shows which of the two
    /// it is: an answer releases the part, and a crash is one that the other did not cause.
    fn lacks_companion(&self, part: Fingerprint, request: &Fingerprints) -> bool {
        if !is_part(part) {
            return false;
        }

        let (companions, crashes) = self.log.companions(part);
        let is_lacking =
            |other: &Fingerprint| !self.was_answered(*other) && !request.contains(*other);

        crashes >= CRASH_LIMIT && companions.iter().any(is_lacking)
    }

    /// Returns the part because of which a request is held back, and for how much longer, or `None`
    /// if it may be sent; for services where one crash stops many requests, see [`crate::cooldown`].
    ///
    /// Only a part without an earlier answer is held back, and only once enough requests for its
    /// service were answered to know the common parts.
    pub fn part_cooldown(
        &self,
        request: &Fingerprints,
        now: Moment,
    ) -> Option<(Fingerprint, Duration)> {
        if !self.parts.knows_common_parts(request.prompt.service) {
            return None;
        }

        let left = self.held_parts(request).filter_map(|part| {
            let suspicion = self.suspicion(part);
            let left = (suspicion.newest + COOLDOWN).saturating_sub(now);
            (suspicion.crashes > 0 && !left.is_zero()).then_some((part, left))
        });

        left.max_by_key(|(_, left)| *left)
    }

    /// Returns the time left for probes of targets on which a request with an unanswered part of
    /// this one broke, or `None` without any.
    pub fn part_probe_time_left(&self, request: &Fingerprints, now: Moment) -> Option<Duration> {
        self.held_parts(request).filter_map(|part| self.probe_time_left(part, now)).max()
    }

    fn held_parts(&self, request: &Fingerprints) -> impl Iterator<Item = Fingerprint> {
        request.prompt.parts.iter().copied().filter(|part| self.is_held(*part))
    }

    /// Returns whether a part has no earlier answer and so few runs that it may be the cause of a
    /// crash.
    fn is_held(&self, part: Fingerprint) -> bool {
        !self.was_answered(part) && self.parts.get(part).runs <= MAX_RUNS_PER_CRASH
    }

    fn was_answered(&self, request: Fingerprint) -> bool {
        self.log.is_answered(request) || self.parts.get(request).answered_at.is_some()
    }

    /// Returns whether so many runs of this process with a part ended in a crash that the part may
    /// be the cause.
    fn is_plausible(&self, part: Fingerprint) -> bool {
        let max_runs =
            if self.was_answered(part) { MAX_ANSWERED_RUNS_PER_CRASH } else { MAX_RUNS_PER_CRASH };

        self.parts.get(part).has_crash_share(max_runs)
    }

    /// Takes the trial of a request if it is due; returns whether the caller may make it.
    pub fn take_trial(&mut self, request: &Fingerprints, now: Moment) -> bool {
        let quarantined: Vec<Fingerprint> = self.quarantined(request).collect();
        let is_due = |fingerprint: &Fingerprint| {
            self.entries[fingerprint].next_trial().is_some_and(|at| at <= now)
        };

        if quarantined.is_empty() || !quarantined.iter().all(is_due) {
            return false;
        }

        quarantined.into_iter().for_each(|fingerprint| self.record_trial(fingerprint, now));
        true
    }

    fn record_trial(&mut self, request: Fingerprint, now: Moment) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        entry.trials += 1;
        entry.tried_at = now;
        let entry = *entry;
        self.publish_entry(request, &entry, now);
    }

    /// Quarantines the requests with enough evidence against them; returns them with their numbers
    /// of crashes.
    pub fn decide(&mut self, now: Moment) -> Vec<(Fingerprint, usize)> {
        let mut decided = Vec::new();

        // Each quarantined request explains its crashes, which then no longer count against others.
        while let Some((request, suspicion)) = self.most_suspected(now) {
            let entry =
                QuarantinedRequest { since: now, trials: 0, tried_at: now, last_requested_at: now };
            self.evict_excess();
            self.entries.insert(request, entry);

            if self.observed_newest(suspicion) {
                self.publish_entry(request, &entry, now);
            }

            decided.push((request, suspicion.crashes));
        }

        decided
    }

    /// Returns the time until the next decision is due, if any.
    pub fn next_decision(&self, now: Moment) -> Option<Duration> {
        let due =
            self.candidates().into_iter().map(|(_, suspicion)| suspicion.newest + DECISION_DELAY);

        due.min().map(|at| at.saturating_sub(now))
    }

    /// Applies a report of another process; returns the requests that it added to the quarantine.
    pub fn apply_report(&mut self, report: &Report, now: Moment) -> Vec<Fingerprint> {
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));

        for reported in &report.crashes {
            self.log.record(&reported.start, at(reported.age_ms), reported.runs.iter().copied());
        }

        for reported in &report.cleared {
            let cleared_at = at(reported.age_ms);
            self.log.clear_request(reported.request, cleared_at);

            if self.entries.get(&reported.request).is_some_and(|entry| entry.since <= cleared_at) {
                self.entries.remove(&reported.request);
            }
        }

        let mut added = Vec::new();

        for reported in &report.quarantined {
            if self.apply_quarantined(reported, at(reported.age_ms), at(reported.tried_ms)) {
                added.push(reported.request);
            }
        }

        added
    }

    /// Restores a quarantined request from persistent storage at the start of the process.
    pub fn restore(&mut self, request: Fingerprint, trials: u32, now: Moment) {
        self.evict_excess();
        let entry =
            QuarantinedRequest { since: now, trials, tried_at: now, last_requested_at: now };
        self.entries.entry(request).or_insert(entry);
    }

    /// Returns whether there are updates to publish or changes to store.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty() || !self.stored_changes.is_empty()
    }

    /// Removes and returns the updates of this process for other processes.
    pub fn take_updates(&mut self) -> Report {
        std::mem::take(&mut self.updates)
    }

    /// Removes and returns the changes of this process to write to persistent storage.
    pub fn take_stored_changes(&mut self) -> Vec<StoredChange> {
        std::mem::take(&mut self.stored_changes)
    }

    /// Returns a full report, for a process with a different digest.
    pub fn snapshot(&self, now: Moment) -> Report {
        let (crashes, cleared) = self.log.snapshot(now);
        let quarantined =
            self.entries.iter().map(|(request, entry)| quarantined_report(*request, entry, now));

        Report { crashes, cleared, quarantined: quarantined.collect() }
    }

    /// Returns a digest of the crashes and the quarantine, to compare with another process.
    pub fn digest(&self) -> u64 {
        let mut writer = DigestWriter::default();
        self.log.digest(&mut writer);
        let mut entries: Vec<(Fingerprint, u32)> =
            self.entries.iter().map(|(request, entry)| (*request, entry.trials)).collect();
        entries.sort_unstable();

        for (request, trials) in entries {
            writer.update(&request.to_le_bytes());
            writer.update(&trials.to_le_bytes());
        }

        writer.digest()
    }

    /// Removes expired crashes, probes and quarantined requests.
    pub fn evict_expired(&mut self, now: Moment) {
        self.log.evict_expired(now);
        self.probes.retain(|_, probe| probe.at + RESTART_WINDOW > now);
        let log = &self.log;
        self.observed.retain(|start| log.crashed_at(start).is_some());
        let expired: Vec<Fingerprint> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.last_requested_at + RETENTION < now)
            .map(|(request, _)| *request)
            .collect();

        for request in expired {
            self.entries.remove(&request);
            self.stored_changes.push(StoredChange::Released(request));
        }
    }

    /// Returns the numbers of crashes, suspected requests and quarantined requests.
    pub fn len(&self) -> (usize, usize, usize) {
        let (crashes, suspects) = self.log.len();

        (crashes, suspects, self.entries.len())
    }

    /// Returns the requests in quarantine with their numbers of trials.
    pub fn entries(&self) -> impl Iterator<Item = (Fingerprint, u32)> {
        self.entries.iter().map(|(request, entry)| (*request, entry.trials))
    }

    /// Returns the targets that crashed under a request or part.
    pub fn targets_under(&self, request: Fingerprint) -> Vec<&str> {
        self.log.targets_under(request)
    }

    /// Returns the evidence against a request.
    pub fn suspicion(&self, request: Fingerprint) -> Suspicion {
        self.log.suspicion(request, |other| self.entries.contains_key(&other))
    }

    /// Returns the time left for probes of targets on which a request broke, or `None` without any.
    pub fn probe_time_left(&self, request: Fingerprint, now: Moment) -> Option<Duration> {
        self.open_probes(request, now).map(|(_, until)| until.saturating_sub(now))
    }

    /// Returns the number of running probes of targets on which a request broke, and their
    /// deadline.
    fn open_probes(&self, request: Fingerprint, now: Moment) -> Option<(usize, Moment)> {
        let is_open = |probe: &&Probe| {
            probe.is_open && probe.at + PROBE_TIMEOUT > now && probe.runs.contains(&request)
        };
        let open: Vec<&Probe> = self.probes.values().filter(is_open).collect();
        let until = open.iter().map(|probe| probe.at + PROBE_TIMEOUT).max()?;

        Some((open.len(), until))
    }

    /// Returns the requests and parts with enough crashes for quarantine that may be their cause.
    fn candidates(&self) -> Vec<(Fingerprint, Suspicion)> {
        let is_candidate = |request: &Fingerprint| {
            !self.contains(*request) && (!is_part(*request) || self.is_plausible(*request))
        };
        let suspects = self.log.repeat_suspects().filter(is_candidate);
        let suspicions = suspects.map(|request| (request, self.suspicion(request)));

        suspicions.filter(|(_, suspicion)| suspicion.crashes >= CRASH_LIMIT).collect()
    }

    fn most_suspected(&self, now: Moment) -> Option<(Fingerprint, Suspicion)> {
        let is_settled =
            |(_, suspicion): &(Fingerprint, Suspicion)| suspicion.newest + DECISION_DELAY <= now;
        let settled = self.candidates().into_iter().filter(is_settled);

        settled.max_by(|a, b| self.strength(a).total_cmp(&self.strength(b)))
    }

    fn strength(&self, (request, suspicion): &(Fingerprint, Suspicion)) -> Strength {
        Strength {
            is_unanswered: !self.was_answered(*request),
            is_request: !is_part(*request),
            crash_share: self.parts.get(*request).crash_share(),
            crashes: suspicion.crashes,
            request: *request,
        }
    }

    /// Returns whether this process observed the deciding crash. If so, it is the one that
    /// publishes and stores the quarantine.
    fn observed_newest(&self, suspicion: Suspicion) -> bool {
        self.observed.iter().any(|start| self.log.crashed_at(start) == Some(suspicion.newest))
    }

    fn publish_entry(&mut self, request: Fingerprint, entry: &QuarantinedRequest, now: Moment) {
        self.updates.quarantined.push(quarantined_report(request, entry, now));
        self.stored_changes.push(StoredChange::Quarantined(request, entry.trials));
    }

    fn apply_quarantined(
        &mut self,
        reported: &QuarantinedReport,
        since: Moment,
        tried_at: Moment,
    ) -> bool {
        if self.log.is_cleared_since(reported.request, since) {
            return false;
        }

        if let Some(entry) = self.entries.get_mut(&reported.request) {
            if entry.trials < reported.trials {
                entry.trials = reported.trials;
                entry.tried_at = tried_at;
            }

            return false;
        }

        self.evict_excess();
        let entry = QuarantinedRequest {
            since,
            trials: reported.trials,
            tried_at,
            last_requested_at: tried_at,
        };
        self.entries.insert(reported.request, entry);
        true
    }

    fn evict_excess(&mut self) {
        if self.entries.len() < MAX_QUARANTINED {
            return;
        }

        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_requested_at);

        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.entries.remove(&request);
            self.stored_changes.push(StoredChange::Released(request));
        }
    }
}

fn quarantined_report(
    request: Fingerprint,
    entry: &QuarantinedRequest,
    now: Moment,
) -> QuarantinedReport {
    QuarantinedReport {
        request,
        age_ms: age_ms(entry.since, now),
        trials: entry.trials,
        tried_ms: age_ms(entry.tried_at, now),
    }
}
