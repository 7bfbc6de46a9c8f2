//! The ranks of a model's group, as PROTOCOL.md says: every pass is made by all of them together.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};
use crate::record::Record;

/// Requests that a rank works on at once.
const SLOTS: usize = 12;
/// Events of a stream (`28 events out`).
const EVENTS: u64 = 28;
/// Time to the first event, and from one event to the next.
const FIRST: Duration = Duration::from_millis(80);
const PASS: Duration = Duration::from_millis(40);
/// How long work that depends on a dead rank stands still (`stall_ms`).
const STALL: Duration = Duration::from_millis(1500);
/// How long a group takes to open again (`form_ms`).
const FORM: Duration = Duration::from_millis(600);

#[derive(Default)]
struct State {
    /// Ranks that are down, by their last ids.
    down: Vec<String>,
    broken_at: Option<Instant>,
    opens_at: Option<Instant>,
    epoch: u64,
}

/// What a rank finds when it wants to make a pass.
enum Pass {
    Made,
    StandsStill,
    /// The group has stood still for too long, because of this rank.
    GivenUp(String),
}

/// The group that all ranks belong to.
#[derive(Clone, Default)]
pub struct Group(Arc<Mutex<State>>);

impl Group {
    fn pass(&self) -> Pass {
        let mut state = self.0.lock().expect("no panic while locked");

        if state.opens_at.is_some_and(|at| at <= Instant::now()) {
            (state.opens_at, state.broken_at) = (None, None);
            state.epoch += 1;
        }

        match state.broken_at {
            None => Pass::Made,
            Some(at) if at.elapsed() < STALL => Pass::StandsStill,
            Some(_) => Pass::GivenUp(state.down.first().cloned().unwrap_or_default()),
        }
    }

    fn leave(&self, id: &str) {
        let mut state = self.0.lock().expect("no panic while locked");
        state.down.push(id.to_string());
        state.opens_at = None;
        state.broken_at.get_or_insert_with(Instant::now);
    }

    fn join(&self, id: &str) {
        let mut state = self.0.lock().expect("no panic while locked");
        state.down.retain(|other| other != id);

        if state.down.is_empty() && state.broken_at.is_some() {
            state.opens_at = Some(Instant::now() + FORM);
        }
    }

    fn epoch(&self) -> u64 {
        self.0.lock().expect("no panic while locked").epoch
    }
}

/// One start of a rank.
#[derive(Clone)]
pub struct Rank {
    pub id: String,
    pub address: SocketAddr,
    number: usize,
    group: Group,
    record: Record,
    is_ended: Arc<AtomicBool>,
    running: Arc<AtomicUsize>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Rank {
    pub fn start(
        ip: &str,
        id: &str,
        number: usize,
        group: &Group,
        record: &Record,
    ) -> std::io::Result<Rank> {
        let listener = TcpListener::bind((ip, 0))?;
        let rank = Rank {
            id: id.to_string(),
            address: listener.local_addr()?,
            number,
            group: group.clone(),
            record: record.clone(),
            is_ended: Arc::default(),
            running: Arc::default(),
            streams: Arc::default(),
        };
        let served = rank.clone();

        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_ended.load(Ordering::SeqCst) {
                    return;
                }

                if let Ok(copy) = stream.try_clone() {
                    served.streams.lock().expect("no panic").push(copy);
                }

                let rank = served.clone();
                std::thread::spawn(move || rank.serve(Wire::new(stream)));
            }
        });

        Ok(rank)
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"sequence":4}}"#,
            self.address
        )
    }

    /// Requests that it is running.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Crashes: the group stands still, the port refuses connections, and open ones are closed.
    pub fn crash(&self) {
        self.group.leave(&self.id);
        self.is_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);

        for stream in self.streams.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again with a new id after a crash; the group forms once all ranks are there.
    pub fn start_again(&self, id: &str) -> std::io::Result<Rank> {
        let ip = self.address.ip().to_string();
        let rank = Rank::start(&ip, id, self.number, &self.group, &self.record)?;
        self.group.join(&self.id);

        Ok(rank)
    }

    fn load(&self) -> String {
        format!("{},0,{SLOTS}", self.running())
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(request) = wire.read() {
            let is_kept = match request.target() {
                "/health" => self.answer_health(&mut wire),
                "/-/report" => self.answer_report(&mut wire),
                _ if request.header("target-instance").is_some_and(|other| other != self.id) => {
                    let text = format!(
                        "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\n\
                         Content-Length: 0\r\n\r\n",
                        self.id
                    );
                    wire.stream.write_all(text.as_bytes()).is_ok()
                }
                _ => self.run(&request, &mut wire),
            };

            if !is_kept {
                let _ = wire.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer_health(&self, wire: &mut Wire) -> bool {
        let text = format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
            self.id,
            self.load()
        );

        wire.stream.write_all(text.as_bytes()).is_ok()
    }

    fn answer_report(&self, wire: &mut Wire) -> bool {
        let state = if matches!(self.group.pass(), Pass::Made) { "open" } else { "broken" };
        let body = format!(
            r#"{{"stage":"dual","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"running":{},"kv_used":0,"kv_total":372000,"handles":0,"pace":1.0,"group":{{"name":"g","epoch":{},"rank":{},"state":"{state}"}},"size":16,"step":1,"map":{{"version":0}}}}"#,
            self.running(),
            self.group.epoch(),
            self.number
        );
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );

        wire.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Answers with a stream of events; returns whether the connection is kept.
    fn run(&self, request: &Message, wire: &mut Wire) -> bool {
        let id = request.header("attempt-id").unwrap_or_default().to_string();
        let last: u64 = request.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);

        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return self.refuse(&id, "", wire);
        }

        let is_kept = self.stream(&id, last, wire);
        self.running.fetch_sub(1, Ordering::SeqCst);
        is_kept
    }

    fn refuse(&self, id: &str, at_fault: &str, wire: &mut Wire) -> bool {
        let named = match at_fault {
            "" => String::new(),
            rank => format!("At-Server: {rank}\r\n"),
        };
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
             {named}Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
            self.load()
        );

        wire.stream.write_all(text.as_bytes()).is_ok()
    }

    fn stream(&self, id: &str, last: u64, wire: &mut Wire) -> bool {
        let mut next = last + 1;
        let mut pause = FIRST;

        while next <= EVENTS.max(last + 1) {
            std::thread::sleep(pause);
            pause = PASS;

            if self.is_ended.load(Ordering::SeqCst) {
                return false;
            }

            match self.group.pass() {
                Pass::Made => {}
                Pass::StandsStill => continue,
                Pass::GivenUp(rank) if next == last + 1 => return self.refuse(id, &rank, wire),
                Pass::GivenUp(_) => {
                    self.record.line(&format!("rank {} cuts {id}", self.id));
                    return false;
                }
            }

            let mut text = String::new();

            if next == last + 1 {
                self.record.line(&format!("rank {} runs {id}", self.id));
                text = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {}.{id}\r\n\
                     Content-Type: text/event-stream\r\nServer-Load: {}\r\n\
                     Transfer-Encoding: chunked\r\n\r\n",
                    self.id,
                    self.load()
                );
            }

            let event = format!("id: {next}\ndata: five tokens of an answer\n\n");
            text += &format!("{:x}\r\n{event}\r\n", event.len());

            if wire.stream.write_all(text.as_bytes()).is_err() {
                return false;
            }

            next += 1;
        }

        wire.stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
