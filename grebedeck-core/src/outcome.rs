//! What a caller is told of its request.
//!
//! `NotRun` and `Refused` are promises: the request was not run and will not be. Whatever cannot
//! be promised is `Unknown`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Outcome of a request or of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target's answer was passed on whole.
    Done,
    /// The request was turned away before it was sent to a target; it was not run.
    Refused(Reason),
    /// The request reached no target's engine; it was not run, and a late copy will not be.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

impl Outcome {
    /// Gets the word that stands in the outcome header.
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Refused(_) => "refused",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}

/// Why a request was not served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// A header is missing or malformed.
    BadRequest(String),
    /// The organisation is not in the configuration.
    UnknownOrganisation(String),
    /// No selector lets the organisation use the service.
    NoCapacity,
    /// The request's body or headers are over the limit, in bytes.
    TooLarge(u64),
    /// The organisation or the process is over its share; come back after the wait.
    Overloaded(Duration),
    /// The target's agent has no free place.
    TargetBusy,
    /// The target or the process is stopping.
    Draining,
    /// The deadline passed before the request was started.
    DeadlinePassed,
    /// No agent could be reached before anything was sent.
    Unreachable,
    /// The attempt was struck out at the agent before it started.
    Struck,
    /// The agent that was meant has been replaced.
    StaleIncarnation,
    /// The same key is being run, or has been run, by an earlier attempt.
    DuplicateKey,
    /// The key may have been used before this agent's memory begins.
    KeyOlderThanMemory,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The target's own answer could not be read.
    TargetFailed,
    /// The process has no configuration yet.
    NoConfiguration,
    /// The request crashes targets and is not sent; it may be tried again after the wait.
    Quarantined(Duration),
}

impl Reason {
    /// Gets the HTTP status that goes with the reason.
    pub fn status(&self) -> u16 {
        match self {
            Reason::BadRequest(_) => 400,
            Reason::UnknownOrganisation(_) | Reason::NoCapacity => 403,
            Reason::TooLarge(_) => 413,
            Reason::Overloaded(_) => 429,
            Reason::DuplicateKey | Reason::KeyOlderThanMemory => 409,
            Reason::DeadlinePassed => 504,
            Reason::ConnectionLost | Reason::TargetFailed => 502,
            _ => 503,
        }
    }

    /// Gets how long the caller should wait before it asks again, where asking again may help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Reason::Overloaded(wait) | Reason::Quarantined(wait) => Some(*wait),
            Reason::TargetBusy | Reason::Draining | Reason::Unreachable => {
                Some(Duration::from_secs(1))
            }
            Reason::NoConfiguration => Some(Duration::from_secs(2)),
            _ => None,
        }
    }
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::BadRequest(what) => write!(f, "bad request: {what}"),
            Reason::UnknownOrganisation(name) => write!(f, "unknown organisation `{name}`"),
            Reason::NoCapacity => write!(f, "no selector allows this organisation and service"),
            Reason::TooLarge(limit) => write!(f, "larger than the limit of {limit} bytes"),
            Reason::Overloaded(wait) => write!(f, "over the limit, retry in {wait:?}"),
            Reason::TargetBusy => write!(f, "no free place on the target"),
            Reason::Draining => write!(f, "the target is stopping"),
            Reason::DeadlinePassed => write!(f, "the deadline passed"),
            Reason::Unreachable => write!(f, "no target could be reached"),
            Reason::Struck => write!(f, "struck out before it started"),
            Reason::StaleIncarnation => write!(f, "the agent has been replaced"),
            Reason::DuplicateKey => write!(f, "the key is in use or was used"),
            Reason::KeyOlderThanMemory => write!(f, "the key may have been used before"),
            Reason::ConnectionLost => write!(f, "the connection was lost after sending"),
            Reason::TargetFailed => write!(f, "the target's answer could not be read"),
            Reason::NoConfiguration => write!(f, "no configuration yet"),
            Reason::Quarantined(wait) => write!(f, "targets crash under it, retry in {wait:?}"),
        }
    }
}
