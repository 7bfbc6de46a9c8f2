//! Shared vocabulary of grebedeck.
//!
//! Every other crate builds on this one: identifiers, the outcomes that a caller may see, the
//! error type with its short helpers, digests, and the clock types that the pure deciders take.
//! Nothing here does I/O.

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
