//! The configuration service of a process.
//!
//! It holds the revision in force, reads the table service now and then, exchanges revisions with
//! its peers, and takes operators' changes to the table. Whatever brings a newer revision, it is
//! put in force at once and handed on.

pub mod service;
pub mod spread;
pub mod store;

pub use service::{ConfigService, NAME};
