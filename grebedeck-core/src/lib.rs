//! Common types of all grebedeck crates.
//!
//! Contains identifiers, request outcomes, the error type, digests, and the time and randomness
//! types that the decision logic takes as arguments. Nothing here does I/O.

#![forbid(unsafe_code)]

pub mod digest;
pub mod error;
pub mod id;
pub mod outcome;
pub mod random;
pub mod time;

pub use digest::{Digest, DigestWriter, rendezvous};
pub use error::{Error, Fault, Faults, Result};
pub use id::*;
pub use outcome::{Outcome, Reason};
pub use random::RandomSource;
pub use time::{Moment, UnixMs};
