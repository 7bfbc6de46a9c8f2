//! HTTP client and server on `async-h1`, and the choice of headers that a proxy forwards.

pub mod client;
pub mod server;

pub use client::HttpClient;
pub use server::{ServerOptions, serve_http};

/// Hop-by-hop headers, which a proxy must not forward.
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

/// Whether a header is hop-by-hop; `connection` is the value of the message's `connection` header.
pub fn is_hop_by_hop(name: &str, connection: &str) -> bool {
    let listed = connection.split(',').any(|n| n.trim().eq_ignore_ascii_case(name));

    listed || HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name))
}

/// The end-to-end headers of a message, with one entry for each value.
pub fn end_to_end_headers(headers: &http_types::Headers) -> Vec<(String, String)> {
    let connection = headers.get("connection").map(|v| v.as_str().to_string()).unwrap_or_default();
    let mut forwarded = Vec::new();

    for (name, values) in headers {
        if is_hop_by_hop(name.as_str(), &connection) {
            continue;
        }

        forwarded
            .extend(values.iter().map(|v| (name.as_str().to_string(), v.as_str().to_string())));
    }

    forwarded
}
