//! What can go wrong with a message or its connection.

use thiserror::Error as ThisError;

/// Result with the crate's error type.
pub type Result<T> = std::result::Result<T, HttpError>;

/// A message that cannot be read or written.
#[derive(Debug, ThisError)]
pub enum HttpError {
    /// The connection failed.
    #[error("i/o: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed the connection before the message was whole.
    #[error("the connection was closed")]
    Closed,
    /// The bytes are no HTTP/1.1 message, or one that could be understood in two ways.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head is longer than the limit, in bytes.
    #[error("head over {0} bytes")]
    HeadTooLarge(usize),
    /// The body is longer than the limit, in bytes.
    #[error("body over {0} bytes")]
    BodyTooLarge(usize),
    /// The message did not arrive in time.
    #[error("timed out")]
    TimedOut,
}

impl HttpError {
    /// Tells whether nobody listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, HttpError::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}
