//! Outcomes of requests, as reported to callers.
//!
//! `NotRun` and `Refused` are guarantees that the request has not run and will not run, so a caller
//! can safely repeat it. Where this cannot be guaranteed, the outcome is `Unknown`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Outcome of a request or of a single attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target's complete response was forwarded.
    Done,
    /// The request was refused before it was sent to a target. It has not run.
    Refused(Reason),
    /// The request reached no target's engine. It has not run, and a delayed copy of it will not
    /// run either.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

impl Outcome {
    /// Returns the value of the outcome header.
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
    /// No selector allows the organisation to use the service.
    NoCapacity,
    /// The request's body or headers exceed the limit, in bytes.
    TooLarge(u64),
    /// The organisation or the process exceeds its share; a retry is possible after the wait.
    Overloaded(Duration),
    /// The target's agent has no free request slot.
    TargetBusy,
    /// The target or the process is shutting down.
    Draining,
    /// The deadline passed before the request started.
    DeadlinePassed,
    /// No agent could be reached, and nothing was sent.
    Unreachable,
    /// The attempt was cancelled at the agent before it started.
    Struck,
    /// The addressed agent has been replaced by a newer incarnation.
    StaleIncarnation,
    /// An earlier attempt with the same idempotency key is running or has run.
    DuplicateKey,
    /// The idempotency key predates this agent's record of used keys and may have been used.
    KeyOlderThanMemory,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The target's response could not be read.
    TargetFailed,
    /// The process has no configuration yet.
    NoConfiguration,
    /// The request is quarantined because it crashes targets; a retry is possible after the wait.
    Quarantined(Duration),
}

impl Reason {
    /// Returns the HTTP status code for the reason.
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

    /// Returns how long the caller should wait before a retry, or `None` if a retry cannot help.
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
