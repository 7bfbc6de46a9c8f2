//! HTTP towards callers and targets.

pub mod client;
pub mod server;

pub use client::HttpClient;
pub use server::{ServerOptions, serve_http};

/// Headers that concern one connection only and are not passed on.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Tells whether a header concerns one connection only; `connection` is the message's own list.
pub fn is_hop_by_hop(name: &str, connection: &str) -> bool {
    let listed = connection.split(',').any(|n| n.trim().eq_ignore_ascii_case(name));

    listed || HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name))
}

/// Gets the end-to-end headers of a message, in order, each with all its values.
pub fn end_to_end_headers(headers: &http_types::Headers) -> Vec<(String, String)> {
    let connection = headers.get("connection").map(|v| v.as_str().to_string()).unwrap_or_default();
    let mut kept = Vec::new();

    for (name, values) in headers {
        if is_hop_by_hop(name.as_str(), &connection) {
            continue;
        }

        kept.extend(values.iter().map(|v| (name.as_str().to_string(), v.as_str().to_string())));
    }

    kept
}
