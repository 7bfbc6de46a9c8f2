//! HTTP server loop on `async-h1`, with Nagle's algorithm disabled.
//!
//! The listener of `tide` leaves Nagle's algorithm on, which delays the end of a response by tens
//! of milliseconds, so this module accepts connections itself. `async-h1` limits a request's head
//! to 60 seconds, 8 KiB and 128 headers, and none of these limits is configurable.

use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use futures::{AsyncReadExt, AsyncWriteExt};
use http_types::{Request, Response};

/// Interval at which a connection with unread data is polled for a close.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a refused caller's further data is read before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Amount of a refused caller's further data that is read before its connection is closed.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Backoff after a failed accept, and while the limit of connections is reached.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Options of the server loop.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Maximum number of open connections; further ones wait in the listener's backlog.
    pub max_connections: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions { max_connections: 8192 }
    }
}

/// Accepts connections until the future is dropped and answers each request with `handler`.
///
/// If the caller disconnects, the handler's future is dropped. `on_malformed` is called for each
/// request that cannot be read.
pub async fn serve_http<H, F, R>(
    listener: TcpListener,
    options: ServerOptions,
    handler: H,
    on_malformed: R,
) where
    H: Fn(Request, Option<SocketAddr>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send,
    R: Fn() + Clone + Send + Sync + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));

    loop {
        if open.load(Ordering::Relaxed) >= options.max_connections {
            async_std::task::sleep(ACCEPT_BACKOFF).await;
            continue;
        }

        let Ok((tcp, peer)) = listener.accept().await else {
            async_std::task::sleep(ACCEPT_BACKOFF).await;
            continue;
        };

        let (open, handler, on_malformed) = (open.clone(), handler.clone(), on_malformed.clone());
        open.fetch_add(1, Ordering::Relaxed);

        async_std::task::spawn(async move {
            let _ = tcp.set_nodelay(true);
            serve_connection(tcp, peer, handler, on_malformed).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection<H, F, R>(tcp: TcpStream, peer: SocketAddr, handler: H, on_malformed: R)
where
    H: Fn(Request, Option<SocketAddr>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send,
    R: Fn() + Clone + Send + Sync + 'static,
{
    let endpoint = |request: Request| {
        let response = handler(request, Some(peer));
        async move { Ok(response.await) }
    };

    let serving = async_h1::accept(tcp.clone(), endpoint);
    let disconnected = caller_disconnected(tcp.clone());
    futures::pin_mut!(serving, disconnected);

    // Dropping the other future cancels the request of a caller that has disconnected.
    let ended = futures::future::select(serving, disconnected).await;

    if let futures::future::Either::Left((Err(error), _)) = ended {
        on_malformed();
        refuse(tcp, &error.to_string()).await;
    }
}

/// Responds to a request whose head could not be read.
async fn refuse(mut tcp: TcpStream, error: &str) {
    let too_large = error.contains("length") || error.contains("many");
    let status = if too_large { "431 Request Header Fields Too Large" } else { "400 Bad Request" };
    let body =
        format!("{{\"outcome\":\"refused\",\"error\":\"request head: {}\"}}\n", json_safe(error));
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         grebedeck-outcome: refused\r\nconnection: close\r\n\r\n",
        body.len()
    );

    let _ = tcp.write_all(format!("{head}{body}").as_bytes()).await;
    let _ = tcp.shutdown(Shutdown::Write);
    let _ = async_std::future::timeout(LINGER_TIMEOUT, discard_input(tcp)).await;
}

/// Discards what the caller still sends, up to a limit. The kernel resets a connection that is
/// closed with unread data, and the caller might then never see the response.
async fn discard_input(mut tcp: TcpStream) {
    let mut buffer = [0; 4096];
    let mut left = MAX_DISCARDED_BYTES;

    while let Ok(read) = tcp.read(&mut buffer).await {
        if read == 0 || read > left {
            return;
        }

        left -= read;
    }
}

/// Removes the characters that a JSON string cannot contain unescaped; keeps at most 200 others.
fn json_safe(text: &str) -> String {
    text.chars().filter(|c| !c.is_control() && !matches!(c, '"' | '\\')).take(200).collect()
}

/// Completes when the caller closes its side of the connection.
async fn caller_disconnected(tcp: TcpStream) {
    let mut byte = [0];

    loop {
        match tcp.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // Unread data hides a later close, so the connection is polled until it is read.
            Ok(_) => async_std::task::sleep(DISCONNECT_POLL_INTERVAL).await,
        }
    }
}
