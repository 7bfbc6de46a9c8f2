//! The experiments, one module each.

pub mod experts;
pub mod path;
pub mod switch;
