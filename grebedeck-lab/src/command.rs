//! The subcommands of `grebedeck-lab`, one module each.

pub mod cost;
pub mod experts;
pub mod fleet;
pub mod losses;
pub mod path;
pub mod routing;
pub mod storm;
pub mod switch;
