//! Commands for operators. Most of them are clients of a process's operator port.

pub mod changes;
pub mod client;
pub mod explain;
pub mod options;

pub use options::{Command, options};

/// Exit code if something was refused or is missing.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code if the outcome is unknown or the process is unreachable.
pub const EXIT_UNKNOWN: u8 = 3;
