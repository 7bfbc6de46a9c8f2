//! What a target's answer, or the lack of one, says of a request.

use crate::site::Kind;

/// Whether a request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It has not run and never will.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// What the head of a target's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the caller's answer.
    Pass,
    /// It is the target's own failure, which is the caller's answer unless the request is tried again.
    Failure,
    /// The target has refused the request without running it.
    Refused,
    /// Another target has the address, and has not run the request.
    OtherTarget,
    /// It is no answer that a caller may get.
    Unusable,
}

/// The status with which a target says that it is not the one that was meant.
pub const MISDIRECTED: u16 = 421;

/// Statuses that promise a caller that its request has not run.
pub fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | MISDIRECTED | 429 | 503)
}

/// Judges the head of a target's answer.
pub fn judge(status: u16, is_signed: bool, says_not_run: bool) -> Verdict {
    match status {
        MISDIRECTED => Verdict::OtherTarget,
        _ if says_not_run => Verdict::Refused,
        // Without the target's word that it has not run, the status would promise too much.
        status if implies_not_run(status) => Verdict::Unusable,
        200..300 if is_signed => Verdict::Pass,
        200..300 => Verdict::Unusable,
        500.. => Verdict::Failure,
        _ => Verdict::Pass,
    }
}

/// Tells whether a request may be sent to a target again.
pub fn may_retry(kind: Kind, run: RunState) -> bool {
    run == RunState::NotRun || kind.is_repeatable()
}

/// Gets the status for a request that is given up without an answer of a target.
pub fn give_up_status(run: RunState, is_late: bool) -> u16 {
    match (run, is_late) {
        (RunState::NotRun, _) => 503,
        (RunState::MayHaveRun, true) => 504,
        (RunState::MayHaveRun, false) => 502,
    }
}
