//! Errors of messages and connections.

use thiserror::Error as ThisError;

/// Result with [`HttpError`].
pub type Result<T> = std::result::Result<T, HttpError>;

/// Failure to read or write a message.
#[derive(Debug, ThisError)]
pub enum HttpError {
    /// An I/O operation on the connection failed.
    #[error("i/o: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed the connection before the message was complete.
    #[error("the connection was closed")]
    Closed,
    /// The bytes are not a valid HTTP/1.1 message, or their framing is ambiguous.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head exceeds the limit, in bytes.
    #[error("head over {0} bytes")]
    HeadTooLarge(usize),
    /// The body exceeds the limit, in bytes.
    #[error("body over {0} bytes")]
    BodyTooLarge(usize),
    /// The connection or message did not complete in time.
    #[error("timed out")]
    TimedOut,
}

impl HttpError {
    /// Whether the connection was refused because nothing listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, HttpError::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}
