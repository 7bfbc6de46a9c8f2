//! A runner of a plain service.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Wire;
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

            let arrival = Arrival { at: Instant::now(), id: id.clone() };
            self.arrivals.lock().expect("no panic").push(arrival);
            self.record.line(&format!("runner {} runs {id}", self.id));
            std::thread::sleep(self.work);

            if self.is_ended.load(Ordering::SeqCst) {
                self.record.line(&format!("runner {} ended at work on {id}", self.id));
                return self.cut.lock().expect("no panic").push(id);
            }

            let body = "x".repeat(800);
            let text = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {}.{id}\r\n\
                 Content-Type: text/plain\r\nServer-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );

            if wire.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}
