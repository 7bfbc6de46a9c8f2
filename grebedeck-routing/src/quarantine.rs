//! Requests that crash whatever target runs them, and are therefore not sent any more.
//!
//! The load it answers: a caller asks again and again for something that ends each target that begins it, at any process
//! that takes requests. Sent on after each crash, one such request a second took ten targets down in turn, and a model's
//! group, which has to form again each time, was out for as long as the request came.
//!
//! A request is put into quarantine after three crashes that nothing but it explains (see [`crate::crashes`]). It is
//! the third that decides, so a request under two crashes waits while it is found out whether its third attempt ended in
//! another one, and for the moment in which a loss of power would show. All others are sent as ever.
//!
//! What is in quarantine is refused at once. One that is there by mistake would never come out, as only an answer clears
//! it, so it is tried again: alone, after a minute, and once more after ten. Where that crashes a target it is not tried a
//! third time.
//!
//! Processes tell each other what they see; each decides by itself and comes to the same conclusion.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use grebedeck_core::{DigestWriter, Moment};

use crate::crashes::{CORRELATION_WINDOW, CRASH_LIMIT, CrashLog, Suspicion, TargetStart, age_ms};
use crate::fingerprint::Fingerprint;
use crate::report::{ClearedReport, CrashReport, QuarantinedReport, Report};

/// How long after a request's third crash it is decided on, so that other crashes of the same moment are known,
/// also those that other processes tell of.
pub const DECISION_DELAY: Duration = CORRELATION_WINDOW;
/// Longest time in which it is found out whether a target crashed.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after a broken attempt the target's next start shows that it crashed: lists lag by less.
const DOUBT: Duration = Duration::from_secs(10);
/// Time until the first trial: long enough that a deadly request costs its targets little.
pub const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Time from the first trial to the second.
pub const SECOND_TRIAL_DELAY: Duration = Duration::from_secs(600);
/// Trials of a request; the operators' bound on sends is one more, for trials by two processes at once.
const MAX_TRIALS: u32 = 2;
/// How long a request stays in quarantine that nobody asks for, and the time that callers of one are told which is not
/// tried again.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Most requests in quarantine. Beyond it the one that nobody has asked for the longest comes out.
const MAX_QUARANTINED: usize = 1024;
/// Most targets that are looked at at a time, or were lately.
const MAX_CHECKS: usize = 1024;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// It may.
    Allow,
    /// It may, as a trial, if [`Quarantine::take_trial`] agrees.
    Trial,
    /// It is not known yet, and will be after this time.
    Wait(Duration),
    /// It may not. It may be tried after this time.
    Refuse(Duration),
}

/// What became of a look at a target on which an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It takes no connections: it has crashed.
    Crashed,
    /// It takes connections and keeps them.
    Alive,
    /// It is silent, so nothing is known.
    Unknown,
}

/// A change that is to outlast this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredChange {
    /// A request is in quarantine, with so many trials since.
    Quarantined(Fingerprint, u32),
    /// It is no longer.
    Released(Fingerprint),
}

impl StoredChange {
    /// Gets the request that it is about.
    pub fn request(self) -> Fingerprint {
        match self {
            StoredChange::Quarantined(request, _) | StoredChange::Released(request) => request,
        }
    }
}

/// A target on which attempts broke.
#[derive(Clone, Debug)]
struct Check {
    at: Moment,
    runs: BTreeSet<Fingerprint>,
    is_open: bool,
}

/// A request in quarantine.
#[derive(Clone, Copy, Debug)]
struct Held {
    since: Moment,
    trials: u32,
    /// When it was tried last, or put here.
    tried_at: Moment,
    asked_at: Moment,
}

impl Held {
    fn next_trial(&self) -> Option<Moment> {
        match self.trials {
            0 => Some(self.tried_at + FIRST_TRIAL_DELAY),
            trials if trials < MAX_TRIALS => Some(self.tried_at + SECOND_TRIAL_DELAY),
            _ => None,
        }
    }
}

/// Requests in quarantine, and what is known of those that may have to be.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    log: CrashLog,
    held: HashMap<Fingerprint, Held>,
    checks: BTreeMap<TargetStart, Check>,
    /// Crashes that this process saw itself.
    own: BTreeSet<TargetStart>,
    news: Report,
    lasting: Vec<StoredChange>,
}

impl Quarantine {
    /// Tells whether all requests may be sent and none of them has to be looked at.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.log.is_empty() && self.checks.is_empty()
    }

    /// Tells whether a request is in quarantine.
    pub fn contains(&self, request: Fingerprint) -> bool {
        self.held.contains_key(&request)
    }

    /// Notes that an attempt that was sent to a start at `sent_at` broke there; tells whether the target is to be looked
    /// at. What a list that lags tells of is the start that crashed before.
    pub fn record_broken_attempt(
        &mut self,
        listed: &TargetStart,
        request: Fingerprint,
        sent_at: Moment,
        now: Moment,
    ) -> Option<TargetStart> {
        let crashed_at = self.log.crashed_at(listed);
        let is_next = crashed_at.is_some_and(|at| at < sent_at);
        let start = TargetStart { is_next: listed.is_next || is_next, ..listed.clone() };

        if self.log.crashed_at(&start).is_some() {
            self.crashed(&start, now, [request], now);
            return None;
        }

        if self.checks.len() >= MAX_CHECKS && !self.checks.contains_key(&start) {
            return None;
        }

        let is_new = !self.checks.contains_key(&start);
        let check = self.checks.entry(start.clone()).or_insert_with(|| Check {
            at: now,
            runs: BTreeSet::new(),
            is_open: false,
        });

        if !check.is_open && !is_new {
            check.at = now;
            check.runs.clear();
        }

        check.runs.insert(request);
        let is_to_look = !std::mem::replace(&mut check.is_open, true);

        is_to_look.then_some(start)
    }

    /// Notes what a look at a target has shown; tells whether a request has to be decided on after [`DECISION_DELAY`].
    pub fn record_probe(&mut self, start: &TargetStart, finding: ProbeResult, now: Moment) -> bool {
        if finding != ProbeResult::Crashed {
            if let Some(check) = self.checks.get_mut(start) {
                check.is_open = false;
            }

            return false;
        }

        self.note_end(start, now)
    }

    /// Notes that a target has started again, or is gone: attempts that broke there lately broke by its end.
    pub fn record_restart(&mut self, target: &str, now: Moment) -> bool {
        let is_of = |start: &&TargetStart| start.target == target;
        let starts: Vec<TargetStart> = self.checks.keys().filter(is_of).cloned().collect();

        let mut decides = false;

        for start in &starts {
            decides |= self.note_end(start, now);
        }

        decides
    }

    /// Notes a target that was found crashed, with the requests that are known to have run there; tells whether a
    /// request has to be decided on after [`DECISION_DELAY`].
    pub fn record_crash(
        &mut self,
        start: &TargetStart,
        runs: impl IntoIterator<Item = Fingerprint>,
        now: Moment,
    ) -> bool {
        self.crashed(start, now, runs, now)
    }

    /// Tells whether some start of a target crashed so lately that it may still be down.
    pub fn crashed_recently(&self, target: &str, now: Moment) -> bool {
        self.log.crashed_since(target, now.saturating_sub(DOUBT))
    }

    fn note_end(&mut self, start: &TargetStart, now: Moment) -> bool {
        let Some(check) = self.checks.remove(start).filter(|check| check.at + DOUBT > now) else {
            return false;
        };

        self.crashed(start, check.at, check.runs, now)
    }

    fn crashed(
        &mut self,
        start: &TargetStart,
        at: Moment,
        runs: impl IntoIterator<Item = Fingerprint>,
        now: Moment,
    ) -> bool {
        if !self.log.record(start, at, runs) {
            return false;
        }

        self.own.insert(start.clone());

        if let Some(crash) = self.log.crash_report(start, now) {
            let told = |other: &CrashReport| other.start != *start;
            self.news.crashes.retain(told);
            self.news.crashes.push(crash);
        }

        self.next_decision(now).is_some()
    }

    /// Notes that a request was answered, so that no crash was its; tells whether it had been in quarantine.
    pub fn record_answer(&mut self, request: Fingerprint, now: Moment) -> bool {
        for check in self.checks.values_mut() {
            check.runs.remove(&request);
        }

        let was_held = self.held.remove(&request).is_some();

        // Nearly all answers are to requests that nothing speaks against, and leave nothing behind.
        if !was_held && !self.log.is_suspected(request) {
            return false;
        }

        self.log.clear_request(request, now);
        self.news.cleared.push(ClearedReport { request, age_ms: 0 });

        if was_held {
            self.lasting.push(StoredChange::Released(request));
        }

        was_held
    }

    /// Tells whether a request may be sent. [`Quarantine::decide`] goes before it.
    pub fn clearance(&mut self, request: Fingerprint, now: Moment) -> Clearance {
        if let Some(held) = self.held.get_mut(&request) {
            held.asked_at = now;

            return match held.next_trial() {
                Some(at) if at <= now => Clearance::Trial,
                Some(at) => Clearance::Refuse(at - now),
                None => Clearance::Refuse(RETENTION),
            };
        }

        let suspicion = self.suspicion(request);

        if suspicion.crashes >= CRASH_LIMIT {
            return Clearance::Wait((suspicion.newest + DECISION_DELAY).saturating_sub(now));
        }

        match self.open_checks(request, now) {
            Some((count, until)) if suspicion.crashes + count >= CRASH_LIMIT => {
                Clearance::Wait(until - now)
            }
            _ => Clearance::Allow,
        }
    }

    /// Takes the trial of a request that is due; tells whether it is this caller's.
    pub fn take_trial(&mut self, request: Fingerprint, now: Moment) -> bool {
        let Some(held) = self.held.get_mut(&request) else {
            return false;
        };

        if held.next_trial().is_none_or(|at| at > now) {
            return false;
        }

        held.trials += 1;
        held.tried_at = now;
        let held = *held;
        self.tell_held(request, &held, now);
        true
    }

    /// Puts requests into quarantine that have to be there; gives them, with how many crashes speak against each.
    pub fn decide(&mut self, now: Moment) -> Vec<(Fingerprint, usize)> {
        let mut decided = Vec::new();

        // With each one that is decided on, crashes are explained and speak against others no more.
        while let Some((request, suspicion)) = self.most_suspected(now) {
            let held = Held { since: now, trials: 0, tried_at: now, asked_at: now };
            self.make_room();
            self.held.insert(request, held);

            if self.saw_newest(suspicion) {
                self.tell_held(request, &held, now);
            }

            decided.push((request, suspicion.crashes));
        }

        decided
    }

    /// Gets after which time some request has to be decided on.
    pub fn next_decision(&self, now: Moment) -> Option<Duration> {
        let open =
            self.candidates().into_iter().map(|(_, suspicion)| suspicion.newest + DECISION_DELAY);

        open.min().map(|at| at.saturating_sub(now))
    }

    /// Takes in what another process tells; gives requests that are in quarantine since.
    pub fn apply_report(&mut self, report: &Report, now: Moment) -> Vec<Fingerprint> {
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));

        for told in &report.crashes {
            self.log.record(&told.start, at(told.age_ms), told.runs.iter().copied());
        }

        for told in &report.cleared {
            let cleared_at = at(told.age_ms);
            self.log.clear_request(told.request, cleared_at);

            if self.held.get(&told.request).is_some_and(|held| held.since <= cleared_at) {
                self.held.remove(&told.request);
            }
        }

        let mut taken = Vec::new();

        for told in &report.quarantined {
            if self.take_held(told, at(told.age_ms), at(told.tried_ms)) {
                taken.push(told.request);
            }
        }

        taken
    }

    /// Takes in that a request was in quarantine before this process started.
    pub fn restore(&mut self, request: Fingerprint, trials: u32, now: Moment) {
        self.make_room();
        let held = Held { since: now, trials, tried_at: now, asked_at: now };
        self.held.entry(request).or_insert(held);
    }

    /// Tells whether there is something to tell others, or to keep for later processes.
    pub fn has_updates(&self) -> bool {
        !self.news.is_empty() || !self.lasting.is_empty()
    }

    /// Gets the news of this process since this was asked last.
    pub fn take_updates(&mut self) -> Report {
        std::mem::take(&mut self.news)
    }

    /// Gets the changes of this process that are to outlast it.
    pub fn take_stored_changes(&mut self) -> Vec<StoredChange> {
        std::mem::take(&mut self.lasting)
    }

    /// Gets all that is known, as it is told to a process that knows something else.
    pub fn snapshot(&self, now: Moment) -> Report {
        let (crashes, cleared) = self.log.snapshot(now);
        let quarantined = self.held.iter().map(|(request, held)| report(*request, held, now));

        Report { crashes, cleared, quarantined: quarantined.collect() }
    }

    /// Gets a digest of all that is known, to compare with another process's.
    pub fn digest(&self) -> u64 {
        let mut writer = DigestWriter::default();
        self.log.digest(&mut writer);
        let mut held: Vec<(Fingerprint, u32)> =
            self.held.iter().map(|(request, held)| (*request, held.trials)).collect();
        held.sort_unstable();

        for (request, trials) in held {
            writer.update(&request.to_le_bytes());
            writer.update(&trials.to_le_bytes());
        }

        writer.digest()
    }

    /// Forgets what was long ago.
    pub fn evict_expired(&mut self, now: Moment) {
        self.log.evict_expired(now);
        self.checks.retain(|_, check| check.at + DOUBT > now);
        let log = &self.log;
        self.own.retain(|start| log.crashed_at(start).is_some());
        let old: Vec<Fingerprint> = self
            .held
            .iter()
            .filter(|(_, held)| held.asked_at + RETENTION < now)
            .map(|(request, _)| *request)
            .collect();

        for request in old {
            self.held.remove(&request);
            self.lasting.push(StoredChange::Released(request));
        }
    }

    /// Gets the crashes, the suspected requests and those in quarantine that are known.
    pub fn len(&self) -> (usize, usize, usize) {
        let (crashes, suspects) = self.log.len();

        (crashes, suspects, self.held.len())
    }

    /// Gets the requests in quarantine with their trials.
    pub fn entries(&self) -> impl Iterator<Item = (Fingerprint, u32)> {
        self.held.iter().map(|(request, held)| (*request, held.trials))
    }

    /// Gets the crashes that speak against a request.
    pub fn suspicion(&self, request: Fingerprint) -> Suspicion {
        self.log.suspicion(request, |other| self.held.contains_key(&other))
    }

    /// Gets how much longer a target may be looked at on which a request broke.
    pub fn probe_time_left(&self, request: Fingerprint, now: Moment) -> Option<Duration> {
        self.open_checks(request, now).map(|(_, until)| until.saturating_sub(now))
    }

    /// Gets how many targets are looked at on which a request broke, and until when that may take.
    fn open_checks(&self, request: Fingerprint, now: Moment) -> Option<(usize, Moment)> {
        let is_open = |check: &&Check| {
            check.is_open && check.at + PROBE_TIMEOUT > now && check.runs.contains(&request)
        };
        let open: Vec<&Check> = self.checks.values().filter(is_open).collect();
        let until = open.iter().map(|check| check.at + PROBE_TIMEOUT).max()?;

        Some((open.len(), until))
    }

    fn candidates(&self) -> Vec<(Fingerprint, Suspicion)> {
        let suspects = self.log.repeat_suspects();
        let judged = suspects.filter(|r| !self.contains(*r)).map(|r| (r, self.suspicion(r)));

        judged.filter(|(_, suspicion)| suspicion.crashes >= CRASH_LIMIT).collect()
    }

    fn most_suspected(&self, now: Moment) -> Option<(Fingerprint, Suspicion)> {
        let is_settled =
            |(_, suspicion): &(Fingerprint, Suspicion)| suspicion.newest + DECISION_DELAY <= now;
        let settled = self.candidates().into_iter().filter(is_settled);

        settled.max_by_key(|(request, suspicion)| (suspicion.crashes, *request))
    }

    /// Tells whether this process saw the crash that decided. It is the one that makes it last.
    fn saw_newest(&self, suspicion: Suspicion) -> bool {
        self.own.iter().any(|start| self.log.crashed_at(start) == Some(suspicion.newest))
    }

    fn tell_held(&mut self, request: Fingerprint, held: &Held, now: Moment) {
        self.news.quarantined.push(report(request, held, now));
        self.lasting.push(StoredChange::Quarantined(request, held.trials));
    }

    fn take_held(&mut self, told: &QuarantinedReport, since: Moment, tried_at: Moment) -> bool {
        if self.log.is_cleared_since(told.request, since) {
            return false;
        }

        if let Some(held) = self.held.get_mut(&told.request) {
            if held.trials < told.trials {
                held.trials = told.trials;
                held.tried_at = tried_at;
            }

            return false;
        }

        self.make_room();
        let held = Held { since, trials: told.trials, tried_at, asked_at: tried_at };
        self.held.insert(told.request, held);
        true
    }

    fn make_room(&mut self) {
        if self.held.len() < MAX_QUARANTINED {
            return;
        }

        let oldest = self.held.iter().min_by_key(|(_, held)| held.asked_at);

        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.held.remove(&request);
            self.lasting.push(StoredChange::Released(request));
        }
    }
}

fn report(request: Fingerprint, held: &Held, now: Moment) -> QuarantinedReport {
    QuarantinedReport {
        request,
        age_ms: age_ms(held.since, now),
        trials: held.trials,
        tried_ms: age_ms(held.tried_at, now),
    }
}
