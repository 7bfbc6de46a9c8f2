//! Clients of a stream: one request on a connection of its own, read to its end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engines::EVENTS;
use crate::http::read_head;
use crate::record::Record;

const DEADLINE: Duration = Duration::from_millis(8000);
/// A client leaves a stream after a pause of this length, also before its first event.
const PATIENCE: Duration = Duration::from_secs(2);

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub sent: Instant,
    /// Status of the answer, if one came.
    pub status: Option<u16>,
    /// Whether it is a success that is whole.
    pub is_served: bool,
}

/// Requests that clients have sent and that have ended.
pub type Book = Arc<Mutex<Vec<Ended>>>;

/// Sends a request each `pause`, to the gateways in turn, until `is_over`.
pub fn start(
    gateways: Vec<SocketAddr>,
    pause: Duration,
    record: impl Fn(&str) + Clone + Send + 'static,
    is_over: Arc<AtomicBool>,
) -> Book {
    let book: Book = Arc::default();
    let shared = book.clone();

    std::thread::spawn(move || {
        let mut number = 0;

        while !is_over.load(Ordering::Relaxed) {
            let (book, record) = (shared.clone(), record.clone());
            let gateway = gateways[number % gateways.len()];
            std::thread::spawn(move || {
                let sent = Instant::now();
                let (status, events) = ask(gateway, number, sent).unwrap_or((None, 0));
                let is_served = status == Some(200) && events == EVENTS;
                let took = sent.elapsed().as_secs_f64();
                let status_text = status.map_or("no answer".to_string(), |s| s.to_string());
                record(&format!(
                    "request {number:04} ended {took:.2} s after it was sent: {status_text}, \
                     {events} events"
                ));
                book.lock().expect("not poisoned").push(Ended { sent, status, is_served });
            });
            number += 1;
            std::thread::sleep(pause);
        }
    });

    book
}

/// Share of the requests sent in a span that were served, and their number.
pub fn served(book: &Book, from: Instant, to: Instant) -> (usize, usize) {
    let book = book.lock().expect("not poisoned");
    let asked: Vec<&Ended> = book.iter().filter(|e| e.sent >= from && e.sent < to).collect();

    (asked.iter().filter(|e| e.is_served).count(), asked.len())
}

/// Sends a request; returns the status and the number of events of a whole stream, or of the part
/// that came.
fn ask(gateway: SocketAddr, number: usize, sent: Instant) -> Option<(Option<u16>, u64)> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let request = format!(
        "POST /notes/live HTTP/1.1\r\nHost: notes.example\r\nAttempt-Id: a{number:06x}\r\n\
         Model: m\r\nToken-Usage: 640,140\r\nPrompt-Prefix: 5c1e07a2:40,{number:08x}:600\r\n\
         Deadline-Ms: {}\r\nContent-Length: 4\r\n\r\ntext",
        DEADLINE.as_millis()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let head = read_head(&mut stream)?;
    let status = head.second().parse().ok();

    if status != Some(200) {
        return Some((status, 0));
    }

    let mut events = 0;

    loop {
        match read_chunk(&mut stream) {
            Some(chunk) if chunk.is_empty() => return Some((status, events)),
            Some(chunk) => {
                let text = String::from_utf8_lossy(&chunk).to_string();
                events += text.lines().filter(|line| line.starts_with("id:")).count() as u64;
            }
            // Cut, or silent for too long.
            None => return Some((status, events.min(EVENTS - 1))),
        }

        if sent.elapsed() > DEADLINE {
            return Some((status, events.min(EVENTS - 1)));
        }
    }
}

fn read_chunk(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut line = Vec::new();
    let mut byte = [0; 1];

    while !line.ends_with(b"\r\n") {
        stream.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }

    let text = std::str::from_utf8(&line).ok()?.trim();
    let length = usize::from_str_radix(text, 16).ok()?;
    let mut chunk = vec![0; length + 2];
    stream.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

/// Waits until gateways say that they are ready; returns whether they did.
pub fn wait_ready(gateways: &[SocketAddr], limit: Duration, record: &Record) -> bool {
    let until = Instant::now() + limit;
    let is_ready = |address: &SocketAddr| {
        let ask = || {
            let mut stream = TcpStream::connect_timeout(address, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
            Some(read_head(&mut stream)?.second() == "200")
        };

        ask().unwrap_or(false)
    };

    while Instant::now() < until {
        if gateways.iter().all(is_ready) {
            record.line("the gateways are ready");
            return true;
        }

        std::thread::sleep(Duration::from_millis(100));
    }

    false
}
