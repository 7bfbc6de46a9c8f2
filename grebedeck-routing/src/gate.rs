//! The gate in front of a target: starts each attempt at most once.
//!
//! The agent beside the target passes every attempt through its gate. The gate knows the agent's
//! incarnation, whether the target is draining, how many requests are in flight, which attempts
//! were struck (cancelled before they started), and which keys have been used. It refuses
//! duplicate, late and misdirected copies of an attempt.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use grebedeck_core::{AttemptId, Incarnation, Moment, Reason, UnixMs};

use crate::key::{Key, KeyDigest};

/// Settings of a gate.
#[derive(Clone, Debug)]
pub struct GateOptions {
    /// Requests that the target runs concurrently; further ones wait in the target.
    pub slots: usize,
    /// Maximum number of requests in flight on the target, including waiting ones.
    pub max_in_flight: usize,
    /// Time for which a used key is remembered.
    pub key_memory: Duration,
    /// Maximum number of remembered keys. When full, new keys are refused and none is evicted
    /// early.
    pub max_keys: usize,
    /// Time for which an attempt is remembered after it ended or was struck.
    pub attempt_memory: Duration,
    /// Maximum difference between the wall clocks of two processes.
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

/// Request to start an attempt.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// The attempt to start.
    pub attempt: AttemptId,
    /// The agent's incarnation that the entry addressed.
    pub incarnation: Incarnation,
    /// When the entry sent the attempt, by the entry's wall clock.
    pub sent_unix_ms: UnixMs,
    /// Whether the attempt may wait in the target; otherwise it is refused if no slot is free.
    pub may_wait: bool,
    /// The idempotency key, for a request that runs at most once.
    pub key: Option<Key>,
    /// When the caller stops waiting for the answer.
    pub deadline: Option<Moment>,
}

/// Decision of the gate on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt is sent to the target.
    Run,
    /// The attempt did not run and never will.
    Refuse(Reason),
    /// Another attempt or another incarnation may have run the request.
    InDoubt(Reason),
}

/// Answer to a strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StrikeAnswer {
    /// The attempt had not started; a late copy will be refused.
    Struck,
    /// The attempt had started.
    Started,
    /// The strike was for another incarnation, whose attempts are not known.
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

/// Gate of one target.
#[derive(Debug)]
pub struct Gate {
    options: GateOptions,
    incarnation: Incarnation,
    /// Wall-clock time at which this gate was created, before which it knows no keys.
    created_unix_ms: UnixMs,
    in_flight: usize,
    draining: bool,
    attempts: HashMap<AttemptId, AttemptState>,
    attempts_by_age: VecDeque<(Moment, AttemptId)>,
    keys: HashMap<KeyDigest, KeyState>,
    keys_by_age: VecDeque<(Moment, KeyDigest)>,
}

impl Gate {
    /// Creates a gate that knows no attempts or keys from before `now_unix_ms`.
    pub fn new(incarnation: Incarnation, now_unix_ms: UnixMs, options: GateOptions) -> Self {
        Gate {
            options,
            incarnation,
            created_unix_ms: now_unix_ms,
            in_flight: 0,
            draining: false,
            attempts: HashMap::new(),
            attempts_by_age: VecDeque::new(),
            keys: HashMap::new(),
            keys_by_age: VecDeque::new(),
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of requests that the target runs concurrently.
    pub fn slots(&self) -> usize {
        self.options.slots
    }

    /// Returns the number of remembered keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the gate refuses new attempts because the target is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Refuses all new attempts from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Decides on an attempt; records it as running if it may run.
    pub fn admit(&mut self, start: &StartRequest, now: Moment, now_unix_ms: UnixMs) -> Verdict {
        self.evict_expired(now);

        if start.incarnation != self.incarnation {
            return Verdict::Refuse(Reason::StaleIncarnation);
        }

        if self.may_have_expired(start, now_unix_ms) {
            return Verdict::Refuse(Reason::DeadlinePassed);
        }

        if let Some(verdict) = self.check_attempt(start.attempt) {
            return verdict;
        }

        if let Some(verdict) = self.check_key(start.key, now_unix_ms) {
            return verdict;
        }

        if let Some(reason) = self.check_capacity(start, now) {
            return Verdict::Refuse(reason);
        }

        self.record_start(start, now);
        Verdict::Run
    }

    /// Returns whether an attempt is so old that the gate may have forgotten its strike.
    ///
    /// A copy can wait in a socket buffer for as long as this process is paused. An attempt is
    /// struck after it was sent, so within half of the retention every strike is still remembered.
    fn may_have_expired(&self, start: &StartRequest, now_unix_ms: UnixMs) -> bool {
        let half_ms = (self.options.attempt_memory / 2).as_millis() as UnixMs;

        now_unix_ms > start.sent_unix_ms + half_ms
    }

    fn check_attempt(&self, attempt: AttemptId) -> Option<Verdict> {
        match self.attempts.get(&attempt)? {
            AttemptState::Struck => Some(Verdict::Refuse(Reason::Struck)),
            // The original is running or has run, so its duplicate must not be reported as not run.
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
        // Keys expire by age, so older ones are unknown even if this gate existed at the time.
        let oldest_ms = self.created_unix_ms.max(now_unix_ms.saturating_sub(memory_ms)) + margin_ms;

        match key.issued_unix_ms {
            Some(issued) if issued > oldest_ms => None,
            _ => Some(Verdict::InDoubt(Reason::KeyOlderThanMemory)),
        }
    }

    fn check_capacity(&self, start: &StartRequest, now: Moment) -> Option<Reason> {
        if self.draining {
            return Some(Reason::Draining);
        }

        if start.deadline.is_some_and(|d| d <= now) {
            return Some(Reason::DeadlinePassed);
        }

        let is_key_memory_full = start.key.is_some() && self.keys.len() >= self.options.max_keys;

        let options = &self.options;
        let limit = if start.may_wait { options.max_in_flight } else { options.slots };

        if self.in_flight >= limit || is_key_memory_full {
            return Some(Reason::TargetBusy);
        }

        None
    }

    fn record_start(&mut self, start: &StartRequest, now: Moment) {
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

    /// Records the end of an attempt; `ran` is false only if nothing was sent to the target.
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

    /// Strikes an attempt: if it has not started, it never will.
    pub fn strike(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        now: Moment,
    ) -> StrikeAnswer {
        self.evict_expired(now);

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

    /// Evicts attempts and keys that have expired.
    fn evict_expired(&mut self, now: Moment) {
        while let Some((at, attempt)) = self.attempts_by_age.front().copied() {
            if at + self.options.attempt_memory > now {
                break;
            }

            self.attempts_by_age.pop_front();

            // A running attempt stays; it gets a new age when it ends.
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
