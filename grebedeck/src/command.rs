//! The operators' commands, each a client of a process's operator port.

pub mod changes;
pub mod client;
pub mod explain;
pub mod options;

pub use options::{Command, options};

/// Exit code where the answer is that something was refused or is missing.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code where the outcome cannot be told, or the process could not be reached.
pub const EXIT_UNKNOWN: u8 = 3;
