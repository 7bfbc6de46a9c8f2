//! Cancelled reads, detection of a close, and TCP options of connections.

use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use futures::{AsyncWriteExt, FutureExt};
use grebedeck_http::Connection;
use grebedeck_http::connection::SILENCE_TIMEOUT;
use rustix::net::sockopt;

async fn pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peer = TcpStream::connect(listener.local_addr().expect("the listener's address")).await;
    let (stream, _) = listener.accept().await.expect("the peer's connection");

    (Connection::new(stream), peer.expect("a connection"))
}

#[test]
fn a_cancelled_read_adds_nothing_to_the_buffer() {
    async_std::task::block_on(async {
        let (mut connection, mut peer) = pair().await;
        assert!(connection.read_more().now_or_never().is_none(), "nothing was sent");
        assert!(connection.is_idle(), "nothing was sent");

        peer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.expect("a completed write");
        let head = connection.read_response_head(1024).await.expect("a head");
        assert_eq!(head.status, 204);
    });
}

#[test]
fn a_connection_with_unsolicited_data_is_not_idle() {
    async_std::task::block_on(async {
        let (mut connection, mut peer) = pair().await;
        peer.write_all(b"HTTP/1.1 200 OK\r\n").await.expect("a completed write");

        while connection.is_idle() {
            async_std::task::yield_now().await;
        }
    });
}

#[test]
fn a_close_is_detected_behind_data_of_the_next_request() {
    async_std::task::block_on(async {
        let (mut connection, mut peer) = pair().await;
        peer.write_all(b"GET / HTTP/1.1\r\n").await.expect("a completed write");
        drop(peer);

        connection.wait_closed(1024).await;
        assert_eq!(connection.buffer().as_ref(), b"GET / HTTP/1.1\r\n");
    });
}

/// Guards against a peer that falls silent without a reset, which would block a request until its
/// deadline: the kernel must end such a connection.
#[test]
fn connect_sets_time_limits_for_a_silent_peer() {
    async_std::task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener's address");
        let connection = Connection::connect(address, Duration::from_secs(1)).await;
        let stream = connection.expect("a connection").writer();

        let user_timeout_ms = sockopt::tcp_user_timeout(&stream).expect("the user time-out");
        assert_eq!(Duration::from_millis(user_timeout_ms.into()), SILENCE_TIMEOUT);
        assert_eq!(sockopt::socket_keepalive(&stream), Ok(true));
        assert_eq!(sockopt::tcp_keepidle(&stream), Ok(SILENCE_TIMEOUT));
    });
}
