//! The last gate before a target, held by the agent beside it.
//!
//! Every attempt passes here once. The gate knows which incarnation it belongs to, whether the
//! target is leaving, how many requests are in flight, which attempts were struck out, and which
//! keys have been used. A doubled, late or misdirected copy is refused.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use grebedeck_core::{AttemptId, Incarnation, Moment, Reason, UnixMs};

use crate::key::{Key, KeyDigest};

/// Settings of a gate.
#[derive(Clone, Debug)]
pub struct GateOptions {
    /// Requests that the target runs at the same time; more of them wait in it.
    pub slots: usize,
    /// Most requests in flight on the target, with those that wait.
    pub max_in_flight: usize,
    /// How long a used key is remembered.
    pub key_memory: Duration,
    /// Most keys remembered; more are refused, none is forgotten early.
    pub max_keys: usize,
    /// How long an attempt is remembered after it ended or was struck out.
    pub attempt_memory: Duration,
    /// Most that two processes' wall clocks may differ.
    pub clock_margin: Duration,
}

impl Default for GateOptions {
    fn default() -> Self {
        GateOptions {
            slots: 32,
            max_in_flight: 64,
            key_memory: Duration::from_secs(24 * 3600),
            max_keys: 200_000,
            attempt_memory: Duration::from_secs(120),
            clock_margin: Duration::from_secs(2),
        }
    }
}

/// An attempt that asks to be run.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that the entry meant.
    pub incarnation: Incarnation,
    /// When the entry sent it, by the entry's wall clock.
    pub sent_unix_ms: UnixMs,
    /// Whether it may wait for a place; otherwise it is refused where none is free.
    pub may_wait: bool,
    /// The key, for a request that runs at most once.
    pub key: Option<Key>,
    /// When nobody waits for the answer any more.
    pub deadline: Option<Moment>,
}

/// What the gate decides on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Hand it to the target.
    Run,
    /// It was not run and will not be.
    Refuse(Reason),
    /// The request may have run by another attempt or incarnation.
    InDoubt(Reason),
}

/// Answer to a strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StrikeAnswer {
    /// It had not started, and a late copy will be refused.
    Struck,
    /// It had started.
    Started,
    /// This incarnation cannot know.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Running(Option<KeyDigest>),
    Ended,
    Struck,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyState {
    Running,
    Used,
}

/// State of a gate.
#[derive(Debug)]
pub struct Gate {
    options: GateOptions,
    incarnation: Incarnation,
    /// Wall-clock time at which this gate's memory begins.
    since_unix_ms: UnixMs,
    in_flight: usize,
    draining: bool,
    attempts: HashMap<AttemptId, AttemptState>,
    attempts_by_age: VecDeque<(Moment, AttemptId)>,
    keys: HashMap<KeyDigest, KeyState>,
    keys_by_age: VecDeque<(Moment, KeyDigest)>,
}

impl Gate {
    /// Makes a gate whose memory begins now.
    pub fn new(incarnation: Incarnation, now_unix_ms: UnixMs, options: GateOptions) -> Self {
        Gate {
            options,
            incarnation,
            since_unix_ms: now_unix_ms,
            in_flight: 0,
            draining: false,
            attempts: HashMap::new(),
            attempts_by_age: VecDeque::new(),
            keys: HashMap::new(),
            keys_by_age: VecDeque::new(),
        }
    }

    /// Gets the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Gets how many requests the target runs at the same time.
    pub fn slots(&self) -> usize {
        self.options.slots
    }

    /// Gets the number of remembered keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether the target is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Refuses all new work from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Decides on an attempt.
    pub fn admit(&mut self, start: &StartRequest, now: Moment, now_unix_ms: UnixMs) -> Verdict {
        self.forget(now);

        if start.incarnation != self.incarnation {
            return Verdict::Refuse(Reason::StaleIncarnation);
        }

        if self.is_beyond_memory(start, now_unix_ms) {
            return Verdict::Refuse(Reason::DeadlinePassed);
        }

        if let Some(verdict) = self.seen_before(start.attempt) {
            return verdict;
        }

        if let Some(verdict) = self.check_key(start.key, now_unix_ms) {
            return verdict;
        }

        if let Some(reason) = self.check_room(start, now) {
            return Verdict::Refuse(reason);
        }

        self.begin(start, now);
        Verdict::Run
    }

    /// Tells whether an attempt is so old that it may have been struck out and forgotten.
    ///
    /// A copy can wait in a buffer for as long as this process is paused. An attempt is struck out
    /// after it was sent, so within half of the memory's time every strike is still known.
    fn is_beyond_memory(&self, start: &StartRequest, now_unix_ms: UnixMs) -> bool {
        let half = (self.options.attempt_memory / 2).as_millis() as UnixMs;

        now_unix_ms > start.sent_unix_ms + half
    }

    fn seen_before(&self, attempt: AttemptId) -> Option<Verdict> {
        match self.attempts.get(&attempt)? {
            AttemptState::Struck => Some(Verdict::Refuse(Reason::Struck)),
            // A doubled message of an attempt that runs or ran says nothing new of it.
            _ => Some(Verdict::InDoubt(Reason::DuplicateKey)),
        }
    }

    fn check_key(&self, key: Option<Key>, now_unix_ms: UnixMs) -> Option<Verdict> {
        let key = key?;

        if self.keys.contains_key(&key.digest) {
            return Some(Verdict::InDoubt(Reason::DuplicateKey));
        }

        let margin_ms = self.options.clock_margin.as_millis() as UnixMs;
        let memory_ms = self.options.key_memory.as_millis() as UnixMs;
        // Keys leave the memory by age, so it reaches back no further than that either.
        let oldest = self.since_unix_ms.max(now_unix_ms.saturating_sub(memory_ms)) + margin_ms;

        match key.issued_unix_ms {
            Some(issued) if issued > oldest => None,
            _ => Some(Verdict::InDoubt(Reason::KeyOlderThanMemory)),
        }
    }

    fn check_room(&self, start: &StartRequest, now: Moment) -> Option<Reason> {
        if self.draining {
            return Some(Reason::Draining);
        }

        if start.deadline.is_some_and(|d| d <= now) {
            return Some(Reason::DeadlinePassed);
        }

        let keys_full = start.key.is_some() && self.keys.len() >= self.options.max_keys;

        let options = &self.options;
        let room = if start.may_wait { options.max_in_flight } else { options.slots };

        if self.in_flight >= room || keys_full {
            return Some(Reason::TargetBusy);
        }

        None
    }

    fn begin(&mut self, start: &StartRequest, now: Moment) {
        let digest = start.key.map(|k| k.digest);

        if let Some(digest) = digest {
            let earlier = self.keys.insert(digest, KeyState::Running);
            assert!(earlier.is_none(), "a key must not start twice");
        }

        let earlier = self.attempts.insert(start.attempt, AttemptState::Running(digest));
        assert!(earlier.is_none(), "an attempt must not start twice");

        self.attempts_by_age.push_back((now, start.attempt));
        self.in_flight += 1;
    }

    /// Notes that an attempt ended; `ran` is false only where the target certainly got nothing.
    pub fn finish(&mut self, attempt: AttemptId, ran: bool, now: Moment) {
        let Some(AttemptState::Running(digest)) = self.attempts.get(&attempt).copied() else {
            return;
        };

        self.attempts.insert(attempt, AttemptState::Ended);
        self.attempts_by_age.push_back((now, attempt));
        self.in_flight -= 1;

        let Some(digest) = digest else {
            return;
        };

        if ran {
            self.keys.insert(digest, KeyState::Used);
            self.keys_by_age.push_back((now, digest));
        } else {
            self.keys.remove(&digest);
        }
    }

    /// Strikes out an attempt that has not started, so that it never will.
    pub fn strike(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        now: Moment,
    ) -> StrikeAnswer {
        self.forget(now);

        if incarnation != self.incarnation {
            return StrikeAnswer::Unknown;
        }

        match self.attempts.get(&attempt) {
            Some(AttemptState::Running(_) | AttemptState::Ended) => StrikeAnswer::Started,
            Some(AttemptState::Struck) => StrikeAnswer::Struck,
            None => {
                self.attempts.insert(attempt, AttemptState::Struck);
                self.attempts_by_age.push_back((now, attempt));
                StrikeAnswer::Struck
            }
        }
    }

    /// Forgets what is older than its memory.
    fn forget(&mut self, now: Moment) {
        while let Some((at, attempt)) = self.attempts_by_age.front().copied() {
            if at + self.options.attempt_memory > now {
                break;
            }

            self.attempts_by_age.pop_front();

            // A running attempt is noted again when it ends.
            if !matches!(self.attempts.get(&attempt), Some(AttemptState::Running(_))) {
                self.attempts.remove(&attempt);
            }
        }

        while let Some((at, digest)) = self.keys_by_age.front().copied() {
            if at + self.options.key_memory > now {
                break;
            }

            self.keys_by_age.pop_front();
            self.keys.remove(&digest);
        }
    }
}
