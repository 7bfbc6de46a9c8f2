//! HTTP/1.1 messages and connections.
//!
//! A load balancer must forward method, path and body unchanged, know where each response ends and
//! whether it is complete, and detect at once that a peer has disconnected. Client and server
//! libraries hide these details, so this crate parses heads with `httparse` and frames bodies
//! itself. [`head`] and [`body`] perform no I/O; [`connection`] reads and writes their bytes.

#![forbid(unsafe_code)]

pub mod body;
pub mod client;
pub mod connection;
pub mod error;
pub mod head;

pub use body::{BodyDecoder, Decoded, Framing, request_framing, response_framing, write_chunk};
pub use client::{Client, Response};
pub use connection::Connection;
pub use error::{HttpError, Result};
pub use head::{Headers, RequestHead, ResponseHead, is_hop_by_hop};
