//! Stand-ins for what grebedeck meets, and experiments with its decisions. None of this is
//! shipped.
//!
//! [`platform`] stands in for the platform, [`model`] for a lock-step group of ranks, [`plain`] for
//! a plain service, and [`site`] puts them and the real processes together on loopback.

#![forbid(unsafe_code)]

pub mod balance;
pub mod caller;
pub mod command;
pub mod cost;
pub mod http;
pub mod losses;
pub mod model;
pub mod plain;
pub mod platform;
pub mod routing;
pub mod site;
pub mod switch_model;
