//! The platform's store: rows with versions, read whole or watched.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Message, answer, read_message};
use crate::text::{array, base64, parts, word};

#[derive(Default)]
struct Rows {
    /// Value in base64 and version of each row, by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// Changes: version, table, key.
    log: Vec<(u64, String, String)>,
    version: u64,
}

/// The store. Clones share the rows.
#[derive(Clone, Default)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
}

impl Store {
    /// Serves the store at an address.
    pub fn serve(&self, address: SocketAddr) {
        self.serve_unless(address, Arc::default());
    }

    /// Serves the store at an address for machines that it turns away (503) while `is_away` is set.
    pub fn serve_unless(&self, address: SocketAddr, is_away: Arc<AtomicBool>) {
        let store = self.clone();
        crate::http::serve(address, move |stream| store.serve_connection(stream, &is_away));
    }

    /// Whether a row is there.
    pub fn has(&self, table: &str, key: &str) -> bool {
        self.lock().rows.contains_key(&(table.to_string(), key.to_string()))
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().expect("no panic while the rows are locked")
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_encoded(table, key, &base64(value.as_bytes()));
    }

    fn put_encoded(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.lock();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), key.into()), (value.into(), version));
        rows.log.push((version, table.into(), key.into()));
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.lock();
        rows.version += 1;
        let version = rows.version;
        rows.rows.remove(&(table.into(), key.into()));
        rows.log.push((version, table.into(), key.into()));
    }

    fn serve_connection(&self, mut stream: TcpStream, is_away: &AtomicBool) {
        while let Some(request) = read_message(&mut stream) {
            let (status, body) = match is_away.load(Ordering::Relaxed) {
                true => (503, "{}".to_string()),
                false => self.answer(&request, is_away),
            };

            if !answer(&mut stream, status, "", &body) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, is_away: &AtomicBool) -> (u16, String) {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|v| v.parse().ok()).unwrap_or(0);

        match request.path() {
            "/-/rows-get" => (200, self.read(table, request.parameter("from").unwrap_or(""))),
            "/-/rows-feed" => self.watch(table, number("after"), number("wait_ms"), is_away),
            "/-/rows-tx" => self.transact(&request.body),
            _ => (404, "{}".into()),
        }
    }

    fn read(&self, table: &str, from: &str) -> String {
        let rows = self.lock();
        let listed: Vec<String> = rows
            .rows
            .iter()
            .filter(|((t, key), _)| t == table && key.as_str() >= from)
            .map(|((t, key), (value, version))| row(t, key, value, *version))
            .collect();

        page(&listed, rows.version)
    }

    fn watch(&self, table: &str, after: u64, wait_ms: u64, is_away: &AtomicBool) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));

        loop {
            {
                let rows = self.lock();
                let changed = rows.log.iter().filter(|(v, t, _)| *v > after && t == table);
                let listed: Vec<String> =
                    changed.map(|(v, t, key)| rows.change(*v, t, key)).collect();

                if is_away.load(Ordering::Relaxed) {
                    return (503, "{}".to_string());
                }

                if !listed.is_empty() || Instant::now() >= until {
                    return (200, page(&listed, rows.version));
                }
            }

            std::thread::sleep(Duration::from_millis(3));
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);

        for put in array(&text, "put").map(parts).unwrap_or_default() {
            let field = |name| word(put, name).unwrap_or_default();
            self.put_encoded(field("table"), field("private_key"), field("value"));
        }

        for gone in array(&text, "remove").map(parts).unwrap_or_default() {
            let field = |name| word(gone, name).unwrap_or_default();
            self.remove(field("table"), field("private_key"));
        }

        (200, format!("{{\"ver\":{},\"now_ms\":1}}", self.lock().version))
    }
}

impl Rows {
    fn change(&self, version: u64, table: &str, key: &str) -> String {
        match self.rows.get(&(table.to_string(), key.to_string())) {
            Some((value, _)) => row(table, key, value, version),
            None => format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"private_key\":\"{key}\",\"ver\":{version},\
                 \"gone\":true}}"
            ),
        }
    }
}

fn row(table: &str, key: &str, value: &str, version: u64) -> String {
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"private_key\":\"{key}\",\"value\":\"{value}\",\
         \"ver\":{version}}}"
    )
}

fn page(rows: &[String], version: u64) -> String {
    format!("{{\"rows\":[{}],\"more\":false,\"ver\":{version},\"now_ms\":1}}", rows.join(","))
}
