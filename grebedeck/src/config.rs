//! The configuration service of a process.
//!
//! It holds the revision in force, periodically reads the table service, exchanges revisions with
//! its peers, and writes operators' changes to the table. A newer revision is put in force at once
//! and passed on to the peers, whichever way it arrives.

pub mod service;
pub mod store;
pub mod sync;

pub use service::{ConfigService, NAME};
