//! Input and output: streams between grebedeck's processes, HTTP towards callers and targets, and
//! clients of the platform.
//!
//! Thin shells only. What is sent, and what follows from an answer, is decided elsewhere.

#![forbid(unsafe_code)]

pub mod codec;
pub mod frame;
pub mod http;
pub mod link;
pub mod listen;
pub mod platform;
pub mod pool;
pub mod wire;

pub use codec::{decode, encode};
pub use frame::{FrameReader, FrameWriter};
pub use link::{Link, Stream};
pub use listen::{IncomingStream, StreamHandler, listen};
pub use pool::LinkPool;
