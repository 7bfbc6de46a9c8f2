//! Common infrastructure of a grebedeck process: service registry, clock, logging and metrics.
//!
//! A process is a set of services that register with the [`Kernel`] and look each other up by name.
//! The kernel starts none of their tasks. It hands out handles, collects their state for a dump,
//! and stops them in the reverse order of their registration.

#![forbid(unsafe_code)]

pub mod clock;
pub mod kernel;
pub mod log;
pub mod metrics;

pub use clock::Clock;
pub use kernel::{Kernel, Service};
pub use metrics::{Counter, Histogram, Metrics};
