//! Stand-ins for the cases of the review. They speak what PROTOCOL says, on loopback addresses, and
//! use the standard library only.

pub mod clients;
pub mod engines;
pub mod http;
pub mod process;
pub mod record;
pub mod recover;
pub mod site;
pub mod store;
pub mod text;
