//! The error type of all crates, with short helpers that build its variants.

use std::time::Duration;

use thiserror::Error as ThisError;

/// Result with the project's error type.
pub type Result<T> = std::result::Result<T, Error>;

/// What can go wrong outside of a request's own outcome.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A stream or socket failed.
    #[error("i/o: {0}")]
    Io(#[from] std::io::Error),
    /// A peer sent something that is not of the protocol.
    #[error("protocol: {0}")]
    Protocol(String),
    /// Something did not answer in time.
    #[error("timed out: {0}")]
    TimedOut(&'static str),
    /// A limit was passed.
    #[error("limit: {0}")]
    Limit(String),
    /// Input was refused; each fault names its field.
    #[error("{0}")]
    Faults(Faults),
    /// A peer turned a call away, and wants to be left alone for this time.
    #[error("wants to be left alone for {0:?}")]
    RetryAfter(Duration),
    /// The platform could not be reached or gave an error.
    #[error("platform: {0}")]
    Platform(String),
}

/// Builds a protocol error.
pub fn protocol_error<T>(what: impl Into<String>) -> Result<T> {
    Err(Error::Protocol(what.into()))
}

/// Builds a time-out error.
pub fn timeout_error<T>(what: &'static str) -> Result<T> {
    Err(Error::TimedOut(what))
}

/// Builds a limit error.
pub fn limit_error<T>(what: impl Into<String>) -> Result<T> {
    Err(Error::Limit(what.into()))
}

/// Builds a platform error.
pub fn platform_error<T>(what: impl Into<String>) -> Result<T> {
    Err(Error::Platform(what.into()))
}

/// One fault of an input: the field, what it held, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Path of the field, such as `targets.rank-0.hall`.
    pub field: String,
    /// The value as it was given.
    pub value: String,
    /// What would be right.
    pub expected: String,
}

impl Fault {
    /// Makes a fault.
    pub fn new(
        field: impl Into<String>,
        value: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Fault { field: field.into(), value: value.into(), expected: expected.into() }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: `{}`: {}", self.field, self.value, self.expected)
    }
}

/// All faults of an input, found in one pass.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub fn add(
        &mut self,
        field: impl Into<String>,
        value: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.0.push(Fault::new(field, value, expected));
    }

    /// Gives `value` where nothing was found, or else all faults.
    pub fn into_result<T>(self, value: T) -> std::result::Result<T, Faults> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();

        write!(f, "{}", lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

impl From<Faults> for Error {
    fn from(faults: Faults) -> Self {
        Error::Faults(faults)
    }
}
