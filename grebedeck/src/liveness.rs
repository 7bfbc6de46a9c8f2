//! Looking at a target on which an attempt broke, whether it has crashed.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_http::Connection;
use grebedeck_routing::quarantine::ProbeResult;

/// Connections that are tried until one stays open or is refused.
const MAX_LOOKS: u32 = 3;

/// Finds out whether a target has crashed: it then refuses connections. One that is ending may still accept some, so
/// a connection has to stay open for a while. Where the target is alive, the connection is given as well.
pub async fn look(
    address: SocketAddr,
    connect_limit: Duration,
    stays_open: Duration,
) -> (ProbeResult, Option<Connection>) {
    for _ in 0..MAX_LOOKS {
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
