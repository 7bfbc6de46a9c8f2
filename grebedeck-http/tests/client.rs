//! Time limits of a client's calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, sleep};
use futures::{AsyncReadExt, AsyncWriteExt};
use grebedeck_http::{Client, HttpError};

/// Limit on pauses, well above scheduling delays of a busy machine.
const LIMIT: Duration = Duration::from_secs(1);
/// Parts of a response, one byte each. With the pause before each part, the whole response takes
/// longer than the limit.
const PARTS: usize = 5;
const PART_PAUSE: Duration = Duration::from_millis(300);

/// Announces a body of [`PARTS`] bytes, sends the first `sent` of them, and then stays silent.
async fn respond(mut stream: TcpStream, sent: usize) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("a completed write");

    for _ in 0..sent {
        sleep(PART_PAUSE).await;
        stream.write_all(b"x").await.expect("a completed write");
    }

    sleep(LIMIT * 3).await;
}

async fn call(sent: usize) -> Result<Vec<u8>, HttpError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener's address");
    task::spawn(async move {
        let (stream, _) = listener.accept().await.expect("the call");
        respond(stream, sent).await;
    });

    Client::new(address, LIMIT).get("/", LIMIT).await.map(|response| response.body)
}

/// Guards against a limit on the total time, which aborts a large response on a slow link although
/// its data arrives steadily.
#[test]
fn a_steady_response_may_take_longer_than_the_limit() {
    let body = task::block_on(call(PARTS));
    assert_eq!(body.expect("the whole response").len(), PARTS);
}

#[test]
fn a_stalled_response_times_out() {
    let body = task::block_on(call(PARTS - 2));
    assert!(matches!(body, Err(HttpError::TimedOut)), "{body:?}");
}

/// Answers each call but those of one path.
async fn serve(mut stream: TcpStream) {
    let mut request = [0; 1024];

    while let Ok(1..) = stream.read(&mut request).await {
        if request.starts_with(b"GET /silent") {
            sleep(LIMIT * 5).await;
        }

        sleep(PART_PAUSE).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).await.expect("a completed write");
    }
}

/// Failure: all open connections went silent at once, and each call waited for another of them.
#[test]
fn idle_connections_are_closed_after_a_time_out_on_another() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let client = Client::new(listener.local_addr().expect("an address"), LIMIT);
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = accepted.clone();
        task::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                count.fetch_add(1, Ordering::Relaxed);
                task::spawn(serve(stream));
            }
        });

        // Two calls at the same time leave two idle connections.
        let both = futures::future::join(client.get("/a", LIMIT), client.get("/b", LIMIT)).await;
        assert!(both.0.is_ok() && both.1.is_ok());
        let silent = client.get("/silent", LIMIT).await;
        assert!(matches!(silent, Err(HttpError::TimedOut)), "{silent:?}");
        assert!(client.get("/a", LIMIT).await.is_ok());
        assert_eq!(accepted.load(Ordering::Relaxed), 3, "the second idle connection is not used");
    });
}

/// Calls a server that sends `begin`, and then `more` again and again, with a pause each time.
async fn call_endless(begin: &'static str, more: &'static str, pause: Duration) -> HttpError {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the call");
        // Without a pause, many at a time.
        let more = more.repeat(if pause.is_zero() { 1000 } else { 1 });
        let mut text = begin;

        while stream.write_all(text.as_bytes()).await.is_ok() {
            text = &more;

            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
    });

    let client = Client::new(address, SILENCE);
    client.get("/", SILENCE).await.expect_err("no response is complete")
}

/// Limit on pauses of the calls to servers that send without end.
const SILENCE: Duration = Duration::from_millis(300);
/// Time within which such a call fails, whatever comes.
const ENDS_WITHIN: Duration = Duration::from_secs(5);

/// Failure: a server sends bytes that are no response, or a response that has no end. The store, peers
/// and engines are called with this client.
#[test]
fn responses_without_end_are_given_up() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const LAST: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    const OPEN: &str = "HTTP/1.1 200 OK\r\n\r\n";
    const NO_WAIT: Duration = Duration::ZERO;
    let drip = SILENCE / 3;

    for (begin, more, pause) in [
        ("", "HTTP/1.1 100 Continue\r\n\r\n", NO_WAIT),
        ("", "HTTP/1.1 100 Continue\r\n\r\n", drip),
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n", NO_WAIT),
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n", drip),
        ("", "garbage", NO_WAIT),
        (LAST, "x-more: 1\r\n", NO_WAIT),
        (LAST, "x-more: 1\r\n", drip),
        (CHUNKED, "1;x=y\r\nd\r\n", drip),
        (OPEN, "data", NO_WAIT),
        (OPEN, "d", drip),
    ] {
        let call = call_endless(begin, more, pause);
        let error = task::block_on(async_std::future::timeout(ENDS_WITHIN, call));
        assert!(error.is_ok(), "{begin:?}, then {more:?} each {pause:?}: still reading");
    }
}
