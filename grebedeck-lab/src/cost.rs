//! Slopes of costs over the number of things, measured on the real code.

pub mod fit;
pub mod page;
pub mod plot;
pub mod probes;

pub use fit::Slope;
