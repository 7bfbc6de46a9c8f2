//! The micro-kernel of a grebedeck process.
//!
//! A process is a set of services that are registered by name and find each other by name. The
//! kernel starts none of their tasks; it hands out handles, gathers the dump of all of them, and
//! stops them in the reverse order of their registration. [`Metrics`] counts, and [`log`] writes
//! a line when a state changes.

#![forbid(unsafe_code)]

pub mod clock;
pub mod kernel;
pub mod log;
pub mod metrics;

pub use clock::Clock;
pub use kernel::{Kernel, Service};
pub use metrics::{Counter, Histogram, Metrics};
