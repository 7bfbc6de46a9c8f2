//! Stand-ins for the platform's store, for runners and for clients, and the processes of a small
//! deployment. They speak what the users' pages say.

pub mod client;
pub mod http;
pub mod json;
pub mod process;
pub mod ranks;
pub mod record;
pub mod runner;
pub mod store;
