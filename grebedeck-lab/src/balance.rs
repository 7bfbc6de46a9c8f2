//! Simulation of the balance of experts in one group, in virtual time, to compare policies.
//!
//! The popularity of experts follows a [`Trace`], and a policy adjusts the expert map to it. A step
//! takes its base time plus, for each layer, the time of the layer's slowest rank, since ranks
//! synchronise at the end of every layer. Weights are loaded one expert at a time, at the rate of
//! the weight store, and slow the rank that loads. Reports of token counts arrive late, and some
//! are lost.

pub mod pack;
pub mod policy;
pub mod sim;
pub mod trace;

pub use policy::PolicyKind;
pub use sim::{Report, Setup, run};
pub use trace::{Trace, TraceKind};
