//! HTTP server loop over `async-h1`, with small segments sent at once.
//!
//! The listener of `tide` leaves Nagle's algorithm on, which holds back the end of an answer by
//! tens of milliseconds; so connections are accepted here. The library gives a request's head 60
//! seconds, 8 KiB and 128 headers, and none of the three can be set.

use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use futures::{AsyncReadExt, AsyncWriteExt};
use http_types::{Request, Response};

/// How often a caller's connection is looked at while its request is under way.
const GONE_CHECK: Duration = Duration::from_millis(250);
/// How long a refused caller may go on sending before its connection is closed.
const LINGER: Duration = Duration::from_secs(1);
/// How much a refused caller may go on sending, in bytes.
const LINGER_BYTES: usize = 1 << 20;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Settings of a server loop.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Most connections at once; further ones wait in the listener's queue.
    pub max_connections: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions { max_connections: 8192 }
    }
}

/// Takes connections until the task is dropped and answers each request with `handler`.
///
/// Where the caller goes away, the handler's future is dropped. `rejected` is called for each
/// request that could not be read.
pub async fn serve_http<H, F, R>(
    listener: TcpListener,
    options: ServerOptions,
    handler: H,
    rejected: R,
) where
    H: Fn(Request, Option<SocketAddr>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send,
    R: Fn() + Clone + Send + Sync + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));

    loop {
        if open.load(Ordering::Relaxed) >= options.max_connections {
            async_std::task::sleep(ACCEPT_PAUSE).await;
            continue;
        }

        let Ok((tcp, peer)) = listener.accept().await else {
            async_std::task::sleep(ACCEPT_PAUSE).await;
            continue;
        };

        let (open, handler, rejected) = (open.clone(), handler.clone(), rejected.clone());
        open.fetch_add(1, Ordering::Relaxed);

        async_std::task::spawn(async move {
            let _ = tcp.set_nodelay(true);
            serve_connection(tcp, peer, handler, rejected).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection<H, F, R>(tcp: TcpStream, peer: SocketAddr, handler: H, rejected: R)
where
    H: Fn(Request, Option<SocketAddr>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send,
    R: Fn() + Clone + Send + Sync + 'static,
{
    let endpoint = |request: Request| {
        let answer = handler(request, Some(peer));
        async move { Ok(answer.await) }
    };

    let serving = async_h1::accept(tcp.clone(), endpoint);
    let gone = caller_gone(tcp.clone());
    futures::pin_mut!(serving, gone);

    // Dropping the other future is what cancels a request whose caller has left.
    let ended = futures::future::select(serving, gone).await;

    if let futures::future::Either::Left((Err(error), _)) = ended {
        rejected();
        refuse(tcp, &error.to_string()).await;
    }
}

/// Answers a request whose head could not be read.
async fn refuse(mut tcp: TcpStream, error: &str) {
    let too_large = error.contains("length") || error.contains("many");
    let status = if too_large { "431 Request Header Fields Too Large" } else { "400 Bad Request" };
    let body =
        format!("{{\"outcome\":\"refused\",\"error\":\"request head: {}\"}}\n", plain(error));
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         grebedeck-outcome: refused\r\nconnection: close\r\n\r\n",
        body.len()
    );

    let _ = tcp.write_all(format!("{head}{body}").as_bytes()).await;
    let _ = tcp.shutdown(Shutdown::Write);
    let _ = async_std::future::timeout(LINGER, read_away(tcp)).await;
}

/// Reads what the caller still sends, for a while. Closing a connection with unread data in it makes
/// the kernel reset it, and the caller might never see its answer.
async fn read_away(mut tcp: TcpStream) {
    let mut buffer = [0; 4096];
    let mut left = LINGER_BYTES;

    while let Ok(read) = tcp.read(&mut buffer).await {
        if read == 0 || read > left {
            return;
        }

        left -= read;
    }
}

/// Leaves out what may not stand within a JSON string.
fn plain(text: &str) -> String {
    text.chars().filter(|c| !c.is_control() && !matches!(c, '"' | '\\')).take(200).collect()
}

/// Completes when the caller has closed its side.
async fn caller_gone(tcp: TcpStream) {
    let mut byte = [0];

    loop {
        match tcp.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // Data that waits to be read hides a close behind it for a while.
            Ok(_) => async_std::task::sleep(GONE_CHECK).await,
        }
    }
}
