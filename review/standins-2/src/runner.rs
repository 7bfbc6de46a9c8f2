//! A runner of a plain service.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};
use crate::record::Record;

/// A request that reached a runner.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    record: Record,
    is_ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Tokens that its memory holds; a larger request is rejected as though it were full.
    memory_tokens: u64,
    /// Requests that were rejected as too large.
    too_large: Arc<Mutex<Vec<String>>>,
    /// Requests that it was working on when it ended.
    cut: Arc<Mutex<Vec<String>>>,
}

impl Runner {
    pub fn start(ip: &str, id: &str, work: Duration, record: &Record) -> std::io::Result<Runner> {
        let listener = TcpListener::bind((ip, 0))?;
        let runner = Runner {
            id: id.to_string(),
            address: listener.local_addr()?,
            work,
            record: record.clone(),
            is_ended: Arc::default(),
            streams: Arc::default(),
            arrivals: Arc::default(),
            memory_tokens: 372_000,
            too_large: Arc::default(),
            cut: Arc::default(),
        };
        let served = runner.clone();

        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_ended.load(Ordering::SeqCst) {
                    return;
                }

                if let Ok(copy) = stream.try_clone() {
                    served.streams.lock().expect("no panic").push(copy);
                }

                let runner = served.clone();
                std::thread::spawn(move || runner.serve(Wire::new(stream)));
            }
        });

        Ok(runner)
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":4}}"#,
            self.address
        )
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no panic").clone()
    }

    pub fn too_large(&self) -> Vec<String> {
        self.too_large.lock().expect("no panic").clone()
    }

    pub fn cut(&self) -> Vec<String> {
        self.cut.lock().expect("no panic").clone()
    }

    /// Ends: its port refuses connections, and open ones are closed.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);

        for stream in self.streams.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(request) = wire.read() {
            let id = request.header("attempt-id").unwrap_or_default().to_string();

            if request.header("target-instance").is_some_and(|other| other != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = wire.stream.write_all(text.as_bytes());
                continue;
            }

            if tokens(&request) > self.memory_tokens {
                self.record
                    .line(&format!("runner {} rejects {id}: larger than its memory", self.id));
                self.too_large.lock().expect("no panic").push(id);
                let text = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\
                            Content-Length: 0\r\n\r\n";
                let _ = wire.stream.write_all(text.as_bytes());
                continue;
            }

            let arrival = Arrival { at: Instant::now(), id: id.clone() };
            self.arrivals.lock().expect("no panic").push(arrival);
            self.record.line(&format!("runner {} runs {id}", self.id));
            std::thread::sleep(self.work);

            if self.is_ended.load(Ordering::SeqCst) {
                self.record.line(&format!("runner {} ended at work on {id}", self.id));
                return self.cut.lock().expect("no panic").push(id);
            }

            let is_stream = request.header("token-usage").is_some();
            let (body, kind) = match is_stream {
                true => ("id: 1\ndata: answer\n\n".to_string(), "text/event-stream"),
                false => ("x".repeat(800), "text/plain"),
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {}.{id}\r\n\
                 Content-Type: {kind}\r\nServer-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );

            if wire.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Tokens that a request needs: its prompt, and the most that it generates.
fn tokens(request: &Message) -> u64 {
    let stated = request.header("token-usage").unwrap_or_default();

    stated.split(',').filter_map(|number| number.trim().parse::<u64>().ok()).sum()
}
