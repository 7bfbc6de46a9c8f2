//! Calls of a client: how long an answer may take.

use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, sleep};
use futures::AsyncWriteExt;
use grebedeck_http::{Client, HttpError};

/// Limit on silence, well above a pause of the machine's own.
const LIMIT: Duration = Duration::from_secs(1);
/// Parts of an answer, and the pause before each of them: together longer than the limit.
const PARTS: usize = 5;
const PART_PAUSE: Duration = Duration::from_millis(300);

/// Answers one call with a length that `sent` parts reach or not, and then says nothing more.
async fn answer(mut stream: TcpStream, sent: usize) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("written");

    for _ in 0..sent {
        sleep(PART_PAUSE).await;
        stream.write_all(b"x").await.expect("written");
    }

    sleep(LIMIT * 3).await;
}

async fn call(sent: usize) -> Result<Vec<u8>, HttpError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    task::spawn(async move {
        let (stream, _) = listener.accept().await.expect("the call");
        answer(stream, sent).await;
    });

    Client::new(address, LIMIT).get("/", LIMIT).await.map(|answer| answer.body)
}

/// A large answer over a thin link was given up however steadily it came.
#[test]
fn an_answer_that_goes_on_may_take_longer_than_the_limit() {
    let body = task::block_on(call(PARTS));
    assert_eq!(body.expect("the whole answer").len(), PARTS);
}

#[test]
fn an_answer_that_stops_is_given_up() {
    let body = task::block_on(call(PARTS - 2));
    assert!(matches!(body, Err(HttpError::TimedOut)), "{body:?}");
}
