//! Failures of attempts, and the history of attempts that decides whether a request may be retried.

use std::time::Duration;

use grebedeck_gateway::{RunState, TargetEntry, TargetId};

/// An attempt that yielded no usable response.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure {
    /// Whether the request may have been executed.
    pub run: RunState,
    /// What went wrong.
    pub cause: FailureCause,
    /// The target's refusal, if it refused the request.
    pub refusal: Option<Refusal>,
}

/// A target's refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Delay that the target asked for, if any.
    pub requested_delay: Option<Duration>,
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// No connection could be made.
    Connect,
    /// The target stopped accepting work after it was selected, so nothing was sent.
    Withdrawn,
    /// The target refused the request because all its slots are taken.
    Full,
    /// The target refused the request although it has free slots.
    Refused,
    /// Another target has the address.
    OtherTarget,
    /// The connection ended before the whole response had arrived.
    Broken,
    /// The data received is not a valid response to this request.
    Unusable,
    /// The request's deadline passed.
    TimedOut,
    /// There is no memory for the response.
    NoMemory,
}

impl FailureCause {
    /// Label in logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            FailureCause::Connect => "connect",
            FailureCause::Withdrawn => "withdrawn",
            FailureCause::Full => "full",
            FailureCause::Refused => "refused",
            FailureCause::OtherTarget => "other_target",
            FailureCause::Broken => "broken",
            FailureCause::Unusable => "unusable",
            FailureCause::TimedOut => "timed_out",
            FailureCause::NoMemory => "no_memory",
        }
    }
}

impl AttemptFailure {
    /// Failure of an attempt that was not executed.
    pub fn not_run(cause: FailureCause) -> Self {
        AttemptFailure { run: RunState::NotRun, cause, refusal: None }
    }

    /// Failure of an attempt that the target refused.
    pub fn refused(cause: FailureCause, refusal: Refusal) -> Self {
        AttemptFailure { refusal: Some(refusal), ..AttemptFailure::not_run(cause) }
    }

    /// Failure of an attempt that may have been executed.
    pub fn may_have_run(cause: FailureCause) -> Self {
        AttemptFailure { run: RunState::MayHaveRun, cause, refusal: None }
    }
}

/// Targets that a request was sent to, and whether one of them may have executed it.
#[derive(Default)]
pub struct AttemptHistory {
    targets: Vec<TargetId>,
    may_have_run: bool,
    may_have_run_before: bool,
}

impl AttemptHistory {
    /// Records that an attempt starts. From here on the target may execute the request, even if the
    /// task that sends it is dropped.
    pub fn record_start(&mut self, target: &TargetEntry) {
        self.targets.push(target.id.clone());
        self.may_have_run_before = std::mem::replace(&mut self.may_have_run, true);
    }

    /// Records how the latest attempt failed; returns whether it counts as an attempt. If nothing
    /// was sent it does not, and the request looks for another slot without using up a retry.
    pub fn record_failure(&mut self, failure: &AttemptFailure) -> bool {
        self.may_have_run = self.may_have_run_before || failure.run == RunState::MayHaveRun;
        let is_sent = failure.cause != FailureCause::Withdrawn;

        if !is_sent {
            self.targets.pop();
        }

        is_sent
    }

    /// Targets in the order of the attempts.
    pub fn targets(&self) -> &[TargetId] {
        &self.targets
    }

    /// Whether the request may have been executed.
    pub fn run_state(&self) -> RunState {
        if self.may_have_run { RunState::MayHaveRun } else { RunState::NotRun }
    }
}
