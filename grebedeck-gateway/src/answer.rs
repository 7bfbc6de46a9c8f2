//! Classification of a target's response and of requests that end without one.
//!
//! The result decides whether the caller gets the response, whether the request may be retried on
//! another target, and which status a caller gets otherwise.

use crate::site::RequestKind;

/// Whether a request has been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Not executed, and never will be.
    NotRun,
    /// Possibly executed.
    MayHaveRun,
}

/// Meaning of a response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A response to pass to the caller.
    Pass,
    /// A failure of the target, passed to the caller unless the request is retried.
    Failure,
    /// A refusal; the target has not executed the request.
    Refused,
    /// A response from another target that now has the address; the request has not been executed.
    OtherTarget,
    /// A response that must not reach a caller.
    Unusable,
}

/// Status of a target that is not the one named in the request.
pub const MISDIRECTED: u16 = 421;

/// Whether a status tells the caller that its request has not been executed.
pub fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | MISDIRECTED | 429 | 503)
}

/// Classifies a response head. `is_signed` is whether the target signed the response,
/// `says_not_run` whether it states that it has not executed the request.
pub fn judge(status: u16, is_signed: bool, says_not_run: bool) -> Verdict {
    match status {
        MISDIRECTED => Verdict::OtherTarget,
        _ if says_not_run => Verdict::Refused,
        // The target does not state that it has not executed the request, so the caller must not be
        // told so by the status.
        status if implies_not_run(status) => Verdict::Unusable,
        200..300 if is_signed => Verdict::Pass,
        200..300 => Verdict::Unusable,
        500.. => Verdict::Failure,
        _ => Verdict::Pass,
    }
}

/// Whether a request may be sent again.
pub fn may_retry(kind: RequestKind, run: RunState) -> bool {
    run == RunState::NotRun || kind.is_repeatable()
}

/// Status for a request that ends without a response from a target.
pub fn give_up_status(run: RunState, is_late: bool) -> u16 {
    match (run, is_late) {
        (RunState::NotRun, _) => 503,
        (RunState::MayHaveRun, true) => 504,
        (RunState::MayHaveRun, false) => 502,
    }
}
