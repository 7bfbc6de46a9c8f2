//! Connections: what a wait that is given up must not change.

use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use futures::{AsyncWriteExt, FutureExt};
use grebedeck_http::Connection;
use grebedeck_http::connection::SILENCE_TIMEOUT;
use rustix::net::sockopt;

async fn pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peer = TcpStream::connect(listener.local_addr().expect("its address")).await;
    let (stream, _) = listener.accept().await.expect("the peer's connection");

    (Connection::new(stream), peer.expect("a connection"))
}

#[test]
fn a_read_that_is_given_up_leaves_no_bytes() {
    async_std::task::block_on(async {
        let (mut connection, mut peer) = pair().await;
        assert!(connection.read_more().now_or_never().is_none(), "nothing was sent");
        assert!(connection.is_idle(), "nothing was sent");

        peer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.expect("written");
        let head = connection.read_response_head(1024).await.expect("a head");
        assert_eq!(head.status, 204);
    });
}

#[test]
fn a_connection_with_bytes_that_nobody_asked_for_is_not_quiet() {
    async_std::task::block_on(async {
        let (mut connection, mut peer) = pair().await;
        peer.write_all(b"HTTP/1.1 200 OK\r\n").await.expect("written");

        while connection.is_idle() {
            async_std::task::yield_now().await;
        }
    });
}

#[test]
fn a_closed_connection_is_noticed_behind_bytes_of_a_next_request() {
    async_std::task::block_on(async {
        let (mut connection, mut peer) = pair().await;
        peer.write_all(b"GET / HTTP/1.1\r\n").await.expect("written");
        drop(peer);

        connection.wait_closed(1024).await;
        assert_eq!(connection.buffer().as_ref(), b"GET / HTTP/1.1\r\n");
    });
}

/// A connection that went silent without a reset held a request until its own time was over.
#[test]
fn a_silent_peer_is_given_up_after_a_limit() {
    async_std::task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("its address");
        let connection = Connection::connect(address, Duration::from_secs(1)).await;
        let stream = connection.expect("a connection").writer();

        let unacknowledged_ms = sockopt::tcp_user_timeout(&stream).expect("the limit");
        assert_eq!(Duration::from_millis(unacknowledged_ms.into()), SILENCE_TIMEOUT);
        assert_eq!(sockopt::socket_keepalive(&stream), Ok(true));
        assert_eq!(sockopt::tcp_keepidle(&stream), Ok(SILENCE_TIMEOUT));
    });
}
