//! Time limits of a client's calls.

use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, sleep};
use futures::AsyncWriteExt;
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
