//! A runner as a process of its own, so that it can be killed: `runner ADDRESS ID EVENTS PAUSE_MS`.
//!
//! It answers each request with a stream of events without a length and without chunks, which ends
//! with its connection. A request that expects another instance gets 421.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use review_standins::http::{answer, read_message, serve};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let address: SocketAddr = arguments[1].parse().expect("an address");
    let id = arguments[2].clone();
    let events: u64 = arguments[3].parse().expect("a number of events");
    let pause = Duration::from_millis(arguments[4].parse().expect("a pause in milliseconds"));

    serve(address, move |stream| run(stream, &id, events, pause));

    loop {
        std::thread::sleep(Duration::from_secs(3600));
    }
}

fn run(mut stream: TcpStream, id: &str, events: u64, pause: Duration) {
    let Some(request) = read_message(&mut stream) else {
        return;
    };

    if request.path() == "/health" {
        answer(&mut stream, 200, &format!("Instance-Id: {id}\r\n"), "");
        return;
    }

    let attempt = request.header("attempt-id").unwrap_or_default();

    if request.header("target-instance").is_some_and(|expected| expected != id) {
        answer(&mut stream, 421, &format!("Attempt-Id: {attempt}\r\nInstance-Id: {id}\r\n"), "");
        return;
    }

    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s-{id}\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let mut text = head;

    for event in last + 1..=events {
        text += &format!("id: {event}\ndata: piece {event} of {events}\n\n");

        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }

        text.clear();
        std::thread::sleep(pause);
    }
}
