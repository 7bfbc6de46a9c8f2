//! The error type shared by all crates, and constructors for its variants.

use std::time::Duration;

use thiserror::Error as ThisError;

/// Result with the project's error type.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of an internal operation. The result of a caller's request is an
/// [`Outcome`](crate::Outcome) instead.
#[derive(Debug, ThisError)]
pub enum Error {
    /// I/O on a stream, socket or file failed.
    #[error("i/o: {0}")]
    Io(#[from] std::io::Error),
    /// A peer violated the protocol.
    #[error("protocol: {0}")]
    Protocol(String),
    /// An operation did not finish in time.
    #[error("timed out: {0}")]
    TimedOut(&'static str),
    /// A limit was exceeded.
    #[error("limit: {0}")]
    Limit(String),
    /// Input was rejected; each fault names its field.
    #[error("{0}")]
    Faults(Faults),
    /// A peer refused a call and asked for no further calls for this long.
    #[error("call refused, retry after {0:?}")]
    RetryAfter(Duration),
    /// The platform could not be reached or returned an error.
    #[error("platform: {0}")]
    Platform(String),
}

/// Returns a protocol error as a result.
pub fn protocol_error<T>(what: impl Into<String>) -> Result<T> {
    Err(Error::Protocol(what.into()))
}

/// Returns a time-out error as a result.
pub fn timeout_error<T>(what: &'static str) -> Result<T> {
    Err(Error::TimedOut(what))
}

/// Returns a limit error as a result.
pub fn limit_error<T>(what: impl Into<String>) -> Result<T> {
    Err(Error::Limit(what.into()))
}

/// Returns a platform error as a result.
pub fn platform_error<T>(what: impl Into<String>) -> Result<T> {
    Err(Error::Platform(what.into()))
}

/// One validation fault of an input.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Path of the field, such as `targets.rank-0.hall`.
    pub field: String,
    /// The rejected value as given.
    pub value: String,
    /// Description of a valid value.
    pub expected: String,
}

impl Fault {
    /// Creates a fault.
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

/// All validation faults of an input, collected in one pass.
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

    /// Returns `value` if there are no faults, and the faults otherwise.
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
