//! Probe of a target after a failed attempt, to find out whether the target has crashed.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_http::Connection;
use grebedeck_routing::quarantine::ProbeResult;

/// Maximum number of connections to try until one stays open or is refused.
const MAX_CONNECTS: u32 = 3;

/// Determines whether a target has crashed.
///
/// A crashed target refuses connections. A target that is exiting may still accept some, so it
/// counts as alive only if a connection stays open for `stays_open`; that connection is returned.
pub async fn probe(
    address: SocketAddr,
    connect_limit: Duration,
    stays_open: Duration,
) -> (ProbeResult, Option<Connection>) {
    for _ in 0..MAX_CONNECTS {
        let mut connection = match Connection::connect(address, connect_limit).await {
            Ok(connection) => connection,
            Err(error) if error.is_connection_refused() => return (ProbeResult::Crashed, None),
            Err(_) => return (ProbeResult::Unknown, None),
        };

        if timeout(stays_open, connection.wait_closed(1)).await.is_err() {
            return (ProbeResult::Alive, Some(connection));
        }
    }

    (ProbeResult::Unknown, None)
}
