//! What to do after an attempt of a request has ended.

use std::time::Duration;

use grebedeck_core::{Outcome, Reason};

/// Most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// What a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTraits {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it has a key, which ties it to the key's home.
    pub keyed: bool,
}

/// How an attempt ended, before any part of an answer reached the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection failed before anything was sent.
    NotSent,
    /// The agent says that it did not and will not run it.
    Refused(Reason),
    /// The agent says that it cannot tell whether the request ran.
    InDoubt(Reason),
    /// The connection was lost after sending.
    Lost,
    /// The agent confirmed that it was struck out before it started.
    Struck,
    /// The strike was not confirmed.
    NotStruck,
    /// The target failed after it had been given the request.
    TargetFailed,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try again; another target where there is one.
    Retry,
    /// Ask the agent to strike the attempt out.
    Strike,
    /// Tell the caller.
    Answer(Outcome),
}

/// Follows one request through its attempts.
#[derive(Clone, Debug)]
pub struct AttemptTracker {
    traits: RequestTraits,
    attempts: u32,
    /// Set once an attempt may have run, whatever later ones say.
    maybe_run: bool,
}

impl AttemptTracker {
    /// Starts with the request's first attempt.
    pub fn new(traits: RequestTraits) -> Self {
        AttemptTracker { traits, attempts: 1, maybe_run: false }
    }

    /// Gets the number of the current attempt, from 0.
    pub fn number(&self) -> u32 {
        self.attempts - 1
    }

    /// Tells whether no further attempt may follow the current one.
    pub fn is_last(&self) -> bool {
        self.attempts >= MAX_ATTEMPTS
    }

    /// Decides what follows an attempt's end. `may_retry` is asked, only where it matters, whether
    /// budget and deadline allow another attempt.
    pub fn record_end(&mut self, end: AttemptEnd, may_retry: impl FnOnce() -> bool) -> Next {
        match end {
            AttemptEnd::NotSent => self.not_run(Reason::Unreachable, may_retry),
            AttemptEnd::Refused(reason) => self.not_run(reason, may_retry),
            AttemptEnd::Struck => self.not_run(Reason::Struck, may_retry),
            AttemptEnd::Lost if !self.traits.repeatable => Next::Strike,
            AttemptEnd::Lost | AttemptEnd::NotStruck => {
                self.may_have_run(Reason::ConnectionLost, may_retry)
            }
            AttemptEnd::TargetFailed => self.may_have_run(Reason::TargetFailed, may_retry),
            AttemptEnd::InDoubt(reason) => {
                self.maybe_run = true;
                Next::Answer(Outcome::Unknown(reason))
            }
        }
    }

    /// Ends the request where it is not sent, for a reason that its first attempt has as well as any other.
    pub fn outcome_if_unsent(&self, reason: Reason) -> Outcome {
        match (self.maybe_run, self.traits.keyed) {
            (true, _) => Outcome::Unknown(Reason::TargetFailed),
            // Its home was not asked, and may know of an earlier try.
            (false, true) => Outcome::Unknown(reason),
            (false, false) => Outcome::NotRun(reason),
        }
    }

    fn not_run(&mut self, reason: Reason, may_retry: impl FnOnce() -> bool) -> Next {
        let final_reason = matches!(reason, Reason::DeadlinePassed | Reason::TooLarge(_));

        if !final_reason && self.retry(may_retry) {
            return Next::Retry;
        }

        // A keyed request may have run before, by the caller's earlier try through another entry.
        // Its home alone knows, and with these reasons the home has not looked at the key.
        let key_unseen =
            matches!(reason, Reason::Unreachable | Reason::StaleIncarnation | Reason::Struck);
        let in_doubt = self.maybe_run || (self.traits.keyed && key_unseen);
        let outcome = if in_doubt { Outcome::Unknown(reason) } else { Outcome::NotRun(reason) };

        Next::Answer(outcome)
    }

    fn may_have_run(&mut self, reason: Reason, may_retry: impl FnOnce() -> bool) -> Next {
        self.maybe_run = true;

        if self.traits.repeatable && self.retry(may_retry) {
            return Next::Retry;
        }

        Next::Answer(Outcome::Unknown(reason))
    }

    fn retry(&mut self, may_retry: impl FnOnce() -> bool) -> bool {
        if self.is_last() || !may_retry() {
            return false;
        }

        self.attempts += 1;
        true
    }
}

/// Gets the wait before a retry, spread by a draw from `0.0..1.0`.
pub fn retry_backoff(number: u32, draw: f64) -> Duration {
    let base_ms = 5.0 * f64::from(1u32 << number.min(6));

    Duration::from_secs_f64(base_ms * (0.5 + draw) / 1000.0)
}
