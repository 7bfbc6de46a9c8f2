//! Stand-ins for the systems around grebedeck, and simulations and measurements of its decisions.
//! Not shipped.
//!
//! [`platform`] stands in for the platform, [`model`] for a lock-step group of ranks and [`plain`]
//! for a plain service. [`site`] runs them together with real entries and agents on loopback.
//! [`routing`], [`balance`] and [`switch_model`] are models without real processes. [`losses`]
//! evaluates logs.

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
