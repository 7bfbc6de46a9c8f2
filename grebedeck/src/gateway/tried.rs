//! How attempts fail, and what that means for the next one.

use std::time::Duration;

use grebedeck_gateway::{RunState, TargetEntry, TargetId};

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure {
    /// Whether the request may have run.
    pub run: RunState,
    /// What went wrong.
    pub cause: FailureCause,
    /// The target's answer, where it refused the request.
    pub refusal: Option<Refusal>,
}

/// A target's refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Its status.
    pub status: u16,
    /// How long the target wants to be left alone, if it says so.
    pub asked: Option<Duration>,
}

/// What went wrong with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// No connection could be made.
    Connect,
    /// The target takes no more work since it was chosen, so nothing was sent.
    Withdrawn,
    /// The target refused the request, as all its places are taken.
    Full,
    /// The target refused the request although it has room.
    Refused,
    /// Another target has the address.
    OtherTarget,
    /// The connection ended without a whole answer.
    Broken,
    /// What came is no answer to this request.
    Unusable,
    /// The time was over.
    TimedOut,
    /// There is no memory for the answer.
    NoMemory,
}

impl FailureCause {
    /// Gets a short word for logs and counters.
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
    /// Makes the failure of an attempt that did not run.
    pub fn not_run(cause: FailureCause) -> Self {
        AttemptFailure { run: RunState::NotRun, cause, refusal: None }
    }

    /// Makes the failure of an attempt that the target refused.
    pub fn refused(cause: FailureCause, refusal: Refusal) -> Self {
        AttemptFailure { refusal: Some(refusal), ..AttemptFailure::not_run(cause) }
    }

    /// Makes the failure of an attempt that may have run.
    pub fn may_have_run(cause: FailureCause) -> Self {
        AttemptFailure { run: RunState::MayHaveRun, cause, refusal: None }
    }
}

/// The targets that a request was sent to, and whether one of them may have run it.
#[derive(Default)]
pub struct AttemptHistory {
    targets: Vec<TargetId>,
    may_have_run: bool,
    may_have_run_before: bool,
}

impl AttemptHistory {
    /// Notes that the request is sent to a target. From here on it may run there, also if the task that
    /// sends it is dropped.
    pub fn record_start(&mut self, target: &TargetEntry) {
        self.targets.push(target.id.clone());
        self.may_have_run_before = std::mem::replace(&mut self.may_have_run, true);
    }

    /// Notes how the attempt that began last failed; tells whether it counts as one. Where nothing was sent the request
    /// looks for another place without a repeat.
    pub fn record_failure(&mut self, failure: &AttemptFailure) -> bool {
        self.may_have_run = self.may_have_run_before || failure.run == RunState::MayHaveRun;
        let is_sent = failure.cause != FailureCause::Withdrawn;

        if !is_sent {
            self.targets.pop();
        }

        is_sent
    }

    /// Gets the targets, in the order of the attempts.
    pub fn targets(&self) -> &[TargetId] {
        &self.targets
    }

    /// Tells whether the request may have run.
    pub fn run_state(&self) -> RunState {
        if self.may_have_run { RunState::MayHaveRun } else { RunState::NotRun }
    }
}
