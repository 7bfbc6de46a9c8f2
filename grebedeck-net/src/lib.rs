//! Network I/O: streams between Grebedeck processes, HTTP with callers and targets, and clients of
//! the platform.
//!
//! This crate only transports messages. Other crates decide what to send and how to react to a
//! response.

#![forbid(unsafe_code)]

pub mod codec;
pub mod counting;
pub mod frame;
pub mod http;
pub mod link;
pub mod listen;
pub mod platform;
pub mod pool;

pub use codec::{decode, encode};
pub use frame::{FrameReader, FrameWriter};
pub use link::{Link, Stream};
pub use listen::{IncomingStream, StreamHandler, listen};
pub use pool::LinkPool;
