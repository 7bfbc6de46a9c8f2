//! A model of one group's balance in virtual time: popularity drifts, policies answer.
//!
//! A step lasts its base time plus, for each layer, the time of the layer's slowest rank, since
//! ranks meet at the end of every layer. Loading weights takes the weight store's rate, one expert
//! after another, and slows the rank that loads. Counters arrive late and with gaps.

pub mod pack;
pub mod policy;
pub mod sim;
pub mod trace;

pub use policy::PolicyKind;
pub use sim::{Report, Setup, run};
pub use trace::{Trace, TraceKind};
