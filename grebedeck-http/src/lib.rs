//! HTTP/1.1 messages and connections.
//!
//! A load balancer has to pass method, path and body on exactly as they came, to know where each
//! answer ends and whether it ended whole, and to notice at once that a peer has gone. Client and
//! server libraries hide these, so this crate parses heads with `httparse` and frames bodies itself.
//! [`head`] and [`body`] are pure; [`connection`] moves their bytes.

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
