//! The platform's store: rows in tables, as PROTOCOL.md says. It can leave the calls of a span of
//! time without an answer.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};
use crate::json::Json;

/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(4);
/// Time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(8);
/// How long changes are kept for feeds (`history_s`).
const HISTORY: Duration = Duration::from_secs(20);
/// Most rows of an answer.
const PAGE: usize = 500;

struct Change {
    at: Instant,
    ver: u64,
    table: String,
    key: String,
}

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<Change>,
    /// Version up to which the history is gone.
    gone_to: u64,
    /// Calls that reach the store in this span get no answer.
    mute: Option<(Instant, Instant)>,
    unanswered: u64,
    /// When a feed of the list of runners last got an answer, and how many wait for one.
    fed_at: Option<Instant>,
    feeds_waiting: usize,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    pub address: SocketAddr,
    began: Instant,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = Store { rows: Arc::default(), address, began: Instant::now() };
        let served = store.clone();

        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });

        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.0.lock().expect("no panic while locked")
    }

    /// Writes a row, as the operator and the runners do; returns when it was acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Instant {
        self.change(table, key, Some(base64(value.as_bytes())))
    }

    /// Removes a row; returns when that was acknowledged.
    pub fn remove(&self, table: &str, key: &str) -> Instant {
        self.change(table, key, None)
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) -> Instant {
        std::thread::sleep(TRANSACTION);
        let mut rows = self.lock();
        rows.ver += 1;
        rows.apply(table, key, value);
        drop(rows);
        self.rows.1.notify_all();

        Instant::now()
    }

    /// Leaves the calls that arrive in a span without an answer.
    pub fn mute(&self, from: Instant, to: Instant) {
        self.lock().mute = Some((from, to));
    }

    /// Number of calls that got no answer.
    pub fn unanswered(&self) -> u64 {
        self.lock().unanswered
    }

    /// When the last feed of the list of runners was answered, if no other waits since.
    pub fn fed_at(&self) -> Option<Instant> {
        let rows = self.lock();

        rows.fed_at.filter(|_| rows.feeds_waiting == 0)
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(call) = wire.read() {
            let now = Instant::now();
            let is_mute = {
                let mut rows = self.lock();
                let is_mute = rows.mute.is_some_and(|(from, to)| from <= now && now < to);
                rows.unanswered += u64::from(is_mute);
                is_mute
            };

            // This connection conveys nothing further.
            if is_mute {
                while wire.read().is_ok() {}
                return;
            }

            let (status, body) = self.answer(&call);
            std::thread::sleep(ANSWER);
            let head = format!(
                "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );

            if wire.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let given = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut same = pairs.filter(|(other, _)| *other == name);
            same.next().map(|(_, value)| decode_percent(value)).unwrap_or_default()
        };

        match path {
            "/-/rows-get" => (200, self.get(&given("table"), &given("from"))),
            "/-/rows-feed" => {
                let number = |name: &str| given(name).parse().unwrap_or(0);
                self.feed(&given("table"), number("after"), number("wait_ms"))
            }
            "/-/rows-tx" => self.transact(&String::from_utf8_lossy(&call.body)),
            _ => (404, "{}".to_string()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    fn get(&self, table: &str, from: &str) -> String {
        let rows = self.lock();
        let all = rows.rows.iter().filter(|((t, key), _)| t == table && key.as_str() >= from);
        let listed: Vec<String> = all
            .clone()
            .take(PAGE)
            .map(|((_, key), (value, ver))| row_text(table, key, value, *ver))
            .collect();
        let more = all.count() > PAGE;

        format!(
            r#"{{"rows":[{}],"more":{more},"ver":{},"now_ms":{}}}"#,
            listed.join(","),
            rows.ver,
            self.now_ms()
        )
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let is_list = table == "servers";
        let mut rows = self.lock();
        rows.feeds_waiting += usize::from(is_list);

        let answer = loop {
            rows.trim();

            if after < rows.gone_to {
                break (410, "{}".to_string());
            }

            let listed = rows.changed(table, after);
            let now = Instant::now();

            if !listed.is_empty() || now >= until {
                let text = format!(
                    r#"{{"rows":[{}],"ver":{},"now_ms":{}}}"#,
                    listed.join(","),
                    rows.ver,
                    self.now_ms()
                );
                break (200, text);
            }

            rows = self.rows.1.wait_timeout(rows, until - now).expect("no panic").0;
        };

        if is_list {
            rows.feeds_waiting -= 1;
            rows.fed_at = Some(Instant::now());
        }

        answer
    }

    fn transact(&self, body: &str) -> (u16, String) {
        std::thread::sleep(TRANSACTION);
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_string());
        };
        let mut rows = self.lock();
        let is_met = call.list("expected_revision").iter().all(|row| {
            let key = (row.text("table"), row.text("private_key"));
            rows.rows.get(&key).map_or(0, |(_, ver)| *ver) == row.number("ver")
        });

        if !is_met {
            return (412, format!(r#"{{"rows":[],"ver":{}}}"#, rows.ver));
        }

        rows.ver += 1;

        for row in call.list("put") {
            let value = Some(row.text("value"));
            rows.apply(&row.text("table"), &row.text("private_key"), value);
        }

        for row in call.list("remove") {
            rows.apply(&row.text("table"), &row.text("private_key"), None);
        }

        let answer = format!(r#"{{"ver":{},"now_ms":{}}}"#, rows.ver, self.now_ms());
        drop(rows);
        self.rows.1.notify_all();
        (200, answer)
    }
}

impl Rows {
    /// Applies one entry of the transaction whose version is the newest.
    fn apply(&mut self, table: &str, key: &str, value: Option<String>) {
        let (ver, id) = (self.ver, (table.to_string(), key.to_string()));

        match value {
            Some(value) => drop(self.rows.insert(id, (value, ver))),
            None => drop(self.rows.remove(&id)),
        }

        let (table, key) = (table.to_string(), key.to_string());
        self.changes.push(Change { at: Instant::now(), ver, table, key });
    }

    fn trim(&mut self) {
        let is_old = |change: &Change| change.at.elapsed() > HISTORY;
        let old = self.changes.iter().take_while(|change| is_old(change)).count();

        if let Some(last) = self.changes.drain(..old).next_back() {
            self.gone_to = last.ver;
        }
    }

    /// The rows of a table that changed after a version, in the order of their newest changes.
    fn changed(&self, table: &str, after: u64) -> Vec<String> {
        let mut seen = BTreeSet::new();
        let newer = self.changes.iter().rev().take_while(|change| change.ver > after);
        let mut listed = Vec::new();

        for Change { ver, table: of, key, .. } in newer.filter(|change| change.table == table) {
            if !seen.insert(key) {
                continue;
            }

            listed.push(match self.rows.get(&(of.clone(), key.clone())) {
                Some((value, ver)) => row_text(table, key, value, *ver),
                None => format!(
                    r#"{{"table":"{table}","part":"","private_key":"{key}","ver":{ver},"gone":true}}"#
                ),
            });
        }

        listed.reverse();
        listed
    }
}

fn row_text(table: &str, key: &str, value: &str, ver: u64) -> String {
    format!(
        r#"{{"table":"{table}","part":"","private_key":"{key}","value":"{value}","ver":{ver}}}"#
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);

    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|h| u8::from_str_radix(h, 16).ok());

        match hex.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }

    String::from_utf8_lossy(&decoded).to_string()
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);

    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);

        for at in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * at)) as usize & 63] as char;
            text.push(if at <= part.len() { sign } else { '=' });
        }
    }

    text
}
