//! Clients that send requests at a steady rate over kept connections.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::Wire;
use crate::record::Record;

/// Time that a new connection gets to come up.
const CONNECT: Duration = Duration::from_secs(1);

/// How a request ended: its id, and the status, or `None` for a connection that ended.
#[derive(Clone)]
pub struct Ended {
    pub id: String,
    pub status: Option<u16>,
}

/// A route for a client's requests.
#[derive(Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub host: String,
    pub key: String,
    pub deadline: Duration,
    /// Further header lines, each with its end.
    pub headers: String,
}

#[derive(Clone, Default)]
pub struct Clients {
    ended: Arc<Mutex<Vec<Ended>>>,
    stop: Arc<AtomicBool>,
}

impl Clients {
    pub fn ended(&self) -> Vec<Ended> {
        self.ended.lock().expect("no panic").clone()
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Starts a client that sends a request every `period` to a gateway.
    pub fn start(
        &self,
        name: String,
        gateway: SocketAddr,
        call: Call,
        period: Duration,
        record: &Record,
    ) -> JoinHandle<()> {
        let (clients, record) = (self.clone(), record.clone());

        std::thread::spawn(move || {
            let mut wire = None;
            let mut next = Instant::now();

            for number in 0.. {
                if clients.stop.load(Ordering::SeqCst) {
                    return;
                }

                let id = format!("{name}{number:06x}");
                record.line(&format!("client sends {id} {} {}", call.method, call.path));
                let status = exchange(&mut wire, gateway, &call, &id);
                let text = status.map_or("no answer".to_string(), |status| status.to_string());
                record.line(&format!("client gets {id} {text}"));
                clients.ended.lock().expect("no panic").push(Ended { id, status });
                next += period;
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                next = next.max(Instant::now() - period);
            }
        })
    }
}

/// Sends one request and reads its answer.
pub fn exchange(
    wire: &mut Option<Wire>,
    gateway: SocketAddr,
    call: &Call,
    id: &str,
) -> Option<u16> {
    let body = if call.method == "POST" { "b".repeat(600) } else { String::new() };

    exchange_body(wire, gateway, call, id, &body)
}

/// Sends one request with a body and reads its answer.
pub fn exchange_body(
    wire: &mut Option<Wire>,
    gateway: SocketAddr,
    call: &Call,
    id: &str,
    body: &str,
) -> Option<u16> {
    let mut open = match wire.take() {
        Some(open) => open,
        None => Wire::new(TcpStream::connect_timeout(&gateway, CONNECT).ok()?),
    };
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer {}\r\n{}Content-Length: {}\r\n\r\n{body}",
        call.method,
        call.path,
        call.host,
        call.deadline.as_millis(),
        call.key,
        call.headers,
        body.len()
    );
    open.stream.set_read_timeout(Some(call.deadline + Duration::from_secs(1))).ok()?;
    open.stream.write_all(text.as_bytes()).ok()?;
    let answer = open.read_answer().ok()?;
    let closes = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));

    if !closes {
        *wire = Some(open);
    }

    Some(answer.status())
}
