//! The processes of grebedeck.
//!
//! An [`entry`] accepts callers' requests and an [`agent`] runs beside each target. Both have the
//! same [`config`] service, the same listener for their [`peer`]s, and the same [`operator`] port.
//! A [`gateway`] and the [`rank`] processes replace them on platforms whose targets register
//! themselves. This crate does the I/O; the decisions are made in crates that do none.

#![forbid(unsafe_code)]

pub mod agent;
pub mod command;
pub mod config;
pub mod directory;
pub mod entry;
pub mod gateway;
pub mod liveness;
pub mod message;
pub mod operator;
pub mod pages;
pub mod peer;
pub mod process;
pub mod random;
pub mod rank;
pub mod settings;
pub mod stop;
pub mod wire;
