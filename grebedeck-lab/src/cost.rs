//! Costs in time, memory and message size, measured on the real code at several sizes, and the
//! slopes of lines fitted to them. The capacity page shows them extrapolated to a large deployment.

pub mod fit;
pub mod page;
pub mod plot;
pub mod probes;

pub use fit::Slope;
