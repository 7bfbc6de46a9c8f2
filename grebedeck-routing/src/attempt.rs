//! What an entry does after an attempt of a request has ended.
//!
//! Only a request that certainly did not run, or one that the caller declared repeatable, is
//! retried. When the connection to the agent is lost, the entry asks the agent to strike the
//! attempt: to cancel it if it has not started. A confirmed strike makes a retry safe.

use std::time::Duration;

use grebedeck_core::{Outcome, Reason};

/// Maximum number of attempts for one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Request properties that decide whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTraits {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request has an idempotency key, which binds it to the key's home target.
    pub keyed: bool,
}

/// How an attempt ended without any part of the answer reaching the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection failed before anything was sent.
    NotSent,
    /// The agent did not run the attempt and never will.
    Refused(Reason),
    /// The agent cannot tell whether the request ran.
    InDoubt(Reason),
    /// The connection was lost after sending.
    Lost,
    /// The agent confirmed the strike: the attempt will never start.
    Struck,
    /// The strike was not confirmed, so the attempt may have run.
    NotStruck,
    /// The target failed after the request was sent to it.
    TargetFailed,
}

/// Next step for a request whose attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Retry, on another target if there is one.
    Retry,
    /// Ask the agent to strike the attempt.
    Strike,
    /// Report the outcome to the caller.
    Answer(Outcome),
}

/// State of one request across its attempts.
#[derive(Clone, Debug)]
pub struct AttemptTracker {
    traits: RequestTraits,
    attempts: u32,
    /// Set once an attempt may have run; later attempts do not reset it.
    may_have_run: bool,
}

impl AttemptTracker {
    /// Creates a tracker for the request's first attempt.
    pub fn new(traits: RequestTraits) -> Self {
        AttemptTracker { traits, attempts: 1, may_have_run: false }
    }

    /// Returns the number of the current attempt, from 0.
    pub fn number(&self) -> u32 {
        self.attempts - 1
    }

    /// Returns whether no further attempt may follow the current one.
    pub fn is_last(&self) -> bool {
        self.attempts >= MAX_ATTEMPTS
    }

    /// Records how an attempt ended and returns the next step.
    ///
    /// `may_retry` checks the retry budget and the deadline. It is called only if a retry is
    /// otherwise allowed, because it may withdraw from the budget.
    pub fn record_end(&mut self, end: AttemptEnd, may_retry: impl FnOnce() -> bool) -> Next {
        match end {
            AttemptEnd::NotSent => self.after_not_run(Reason::Unreachable, may_retry),
            AttemptEnd::Refused(reason) => self.after_not_run(reason, may_retry),
            AttemptEnd::Struck => self.after_not_run(Reason::Struck, may_retry),
            AttemptEnd::Lost if !self.traits.repeatable => Next::Strike,
            AttemptEnd::Lost | AttemptEnd::NotStruck => {
                self.after_possible_run(Reason::ConnectionLost, may_retry)
            }
            AttemptEnd::TargetFailed => self.after_possible_run(Reason::TargetFailed, may_retry),
            AttemptEnd::InDoubt(reason) => {
                self.may_have_run = true;
                Next::Answer(Outcome::Unknown(reason))
            }
        }
    }

    /// Returns the outcome of a request whose next attempt, the first or a later one, is not sent.
    pub fn outcome_if_unsent(&self, reason: Reason) -> Outcome {
        match (self.may_have_run, self.traits.keyed) {
            (true, _) => Outcome::Unknown(Reason::TargetFailed),
            // The home was not asked and may have run an earlier try of the same key.
            (false, true) => Outcome::Unknown(reason),
            (false, false) => Outcome::NotRun(reason),
        }
    }

    fn after_not_run(&mut self, reason: Reason, may_retry: impl FnOnce() -> bool) -> Next {
        let is_final = matches!(reason, Reason::DeadlinePassed | Reason::TooLarge(_));

        if !is_final && self.begin_retry(may_retry) {
            return Next::Retry;
        }

        // An earlier try by the caller through another entry may have run a keyed request. Only the
        // home knows, and with these reasons it has not checked the key.
        let is_key_unchecked =
            matches!(reason, Reason::Unreachable | Reason::StaleIncarnation | Reason::Struck);
        let is_in_doubt = self.may_have_run || (self.traits.keyed && is_key_unchecked);
        let outcome = if is_in_doubt { Outcome::Unknown(reason) } else { Outcome::NotRun(reason) };

        Next::Answer(outcome)
    }

    fn after_possible_run(&mut self, reason: Reason, may_retry: impl FnOnce() -> bool) -> Next {
        self.may_have_run = true;

        if self.traits.repeatable && self.begin_retry(may_retry) {
            return Next::Retry;
        }

        Next::Answer(Outcome::Unknown(reason))
    }

    fn begin_retry(&mut self, may_retry: impl FnOnce() -> bool) -> bool {
        if self.is_last() || !may_retry() {
            return false;
        }

        self.attempts += 1;
        true
    }
}

/// Returns the exponential backoff before a retry; `jitter` is a random number in `0.0..1.0`.
///
/// `number` is the number of the attempt that follows the wait; the first retry is number 1.
pub fn retry_backoff(number: u32, jitter: f64) -> Duration {
    let base_ms = 5.0 * f64::from(1u32 << number.min(6));

    Duration::from_secs_f64(base_ms * (0.5 + jitter) / 1000.0)
}
