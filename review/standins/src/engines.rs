//! The engines of a group of ranks, by the rules of PROTOCOL: passes, maps, orders and streams.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Message, answer, read_message};
use crate::record::Record;
use crate::store::Store;
use crate::text::{array, number, parts, word};

pub const RANKS: usize = 16;
const SETS: usize = 4;
const EXPERTS: usize = 64;
const PLACES: usize = 5;
const SLOTS: usize = 12;
/// Events of a whole stream; each pass makes one.
pub const EVENTS: u64 = 28;
/// Length of a pass.
pub const PASS: Duration = Duration::from_millis(60);
const COPY: Duration = Duration::from_millis(40);
/// Age of a report that another machine gets.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// An order without an answer is carried out between these times after it arrived.
pub const LATE_FROM: Duration = Duration::from_secs(2);
pub const LATE_UNTIL: Duration = Duration::from_secs(12);

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out and answered.
    Now,
    /// It gets no answer and is carried out late.
    Late,
    /// It gets no answer and is not taken, as its sender was killed while it was on its way.
    Lost,
}

/// An order that is carried out late.
#[derive(Clone, Debug)]
pub struct LateOrder {
    pub rank: usize,
    pub text: String,
    pub at: Instant,
}

#[derive(Clone, Default)]
struct Engine {
    map: u64,
    /// Experts by set and rank, as the order that brought the map wrote them.
    content: String,
    highest: u64,
    copying: Option<(u64, String, Instant)>,
    prepared: Option<(u64, String)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    sequence: u64,
    counts: Vec<u64>,
    running: usize,
    /// Reports as they stood, for other machines.
    reports: Vec<(Instant, String)>,
}

/// State of the group.
pub struct Group {
    engines: Vec<Engine>,
    pub pass: u64,
    pub pass_at: Instant,
    /// Length of a pass at present.
    pub pass_length: Duration,
    /// The rank whose experts are in demand; all are alike if there is none.
    pub wanted: Option<usize>,
    /// Whether the group always has requests, without those of clients.
    pub is_busy: bool,
    pub late: Vec<LateOrder>,
    /// Rank at which a pass was held last.
    pub holder: Option<usize>,
    /// Passes that began with a new map.
    pub changes: u64,
    /// How the rule on maps was broken.
    pub differing: Option<String>,
    /// Ranks whose own machine's process is away, so that only other machines ask.
    pub is_away: [bool; RANKS],
}

/// Decides on an order before the engine gets it; it may have late orders carried out first.
pub type Script = dyn Fn(&mut Group, &Record, usize, &str) -> Fate + Send + Sync;

/// The engines, with the addresses that all ranks share.
pub struct Engines {
    group: Mutex<Group>,
    pub record: Record,
    pub app: u16,
}

/// Address of the machine of a rank.
pub fn ip(rank: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 21 + rank as u8))
}

impl Engines {
    pub fn new(record: Record, app: u16, is_busy: bool) -> Self {
        let first =
            Engine { content: initial_map(), counts: vec![0; SETS * EXPERTS], ..Engine::default() };
        let group = Group {
            engines: vec![first; RANKS],
            pass: 0,
            pass_at: Instant::now(),
            pass_length: PASS,
            wanted: None,
            is_busy,
            late: Vec::new(),
            holder: None,
            changes: 0,
            differing: None,
            is_away: [false; RANKS],
        };

        Engines { group: Mutex::new(group), record, app }
    }

    pub fn lock(&self) -> MutexGuard<'_, Group> {
        self.group.lock().expect("no panic while the group is locked")
    }

    /// Serves all engines and lets time pass.
    pub fn start(self: &Arc<Self>, script: Arc<Script>) {
        for rank in 0..RANKS {
            let (engines, script) = (self.clone(), script.clone());
            crate::http::serve(SocketAddr::new(ip(rank), self.app), move |stream| {
                engines.serve(rank, stream, &*script);
            });
        }

        let engines = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1));
                engines.lock().tick(&engines.record);
            }
        });
    }

    fn serve(&self, rank: usize, mut stream: TcpStream, script: &Script) {
        while let Some(request) = read_message(&mut stream) {
            let (status, body) = match request.path() {
                "/-/report" => (200, self.lock().report_for_reader(rank)),
                "/-/picked" => {
                    let is_lists = request.parameter("lists").is_some();
                    (200, self.lock().picked(rank, is_lists))
                }
                "/-/order" => match self.order(rank, &request, script) {
                    Some(status) => (status, "{}".to_string()),
                    None => {
                        // The order gets no answer: the connection says nothing further.
                        std::thread::sleep(Duration::from_secs(3));
                        return;
                    }
                },
                "/health" => (200, "{}".to_string()),
                _ => {
                    if !self.stream(rank, &request, &mut stream) {
                        return;
                    }

                    continue;
                }
            };

            if !answer(&mut stream, status, "", &body) {
                return;
            }
        }
    }

    /// Takes an order; `None` if it gets no answer.
    fn order(&self, rank: usize, request: &Message, script: &Script) -> Option<u16> {
        let text = String::from_utf8_lossy(&request.body).to_string();
        let shown: String = text.chars().take(70).collect();
        let mut group = self.lock();

        match script(&mut group, &self.record, rank, &text) {
            Fate::Now => {
                let status = group.carry_out(rank, &text);
                self.record.line(&format!("rank {rank}: {shown}: {status}"));
                Some(status)
            }
            Fate::Late => {
                self.record.line(&format!("rank {rank}: {shown}: no answer, carried out late"));
                group.late.push(LateOrder { rank, text, at: Instant::now() });
                None
            }
            Fate::Lost => {
                self.record.line(&format!("rank {rank}: {shown}: lost with its sender"));
                None
            }
        }
    }

    /// Runs a client's request: one event a pass. Returns whether the connection goes on.
    fn stream(&self, rank: usize, request: &Message, stream: &mut TcpStream) -> bool {
        use std::io::Write;

        let id = request.header("attempt-id").unwrap_or_default();
        let first = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);

        if self.lock().engines[rank].running >= SLOTS {
            let extra = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
            return answer(stream, 503, &extra, "");
        }

        self.lock().engines[rank].running += 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s-{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = true;
        let mut is_begun = false;
        let mut pass = self.lock().pass;
        let mut event = first;
        let until = Instant::now() + deadline(request);

        while is_open && event < EVENTS && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(2));
            let now = self.lock().pass;

            if now == pass {
                is_open = !is_closed(stream);
                continue;
            }

            pass = now;
            event += 1;
            let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
            let mut bytes = if is_begun { String::new() } else { head.clone() };
            is_begun = true;
            bytes += &format!("{:x}\r\n{text}\r\n", text.len());

            if event == EVENTS {
                bytes += "0\r\n\r\n";
            }

            is_open = stream.write_all(bytes.as_bytes()).is_ok();
        }

        self.lock().engines[rank].running -= 1;
        is_open && event == EVENTS
    }
}

fn deadline(request: &Message) -> Duration {
    let left = request.header("deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(8000);

    Duration::from_millis(left)
}

/// Whether the peer has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);

    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

impl Group {
    /// The pass that is held, if any.
    pub fn held(&self) -> Option<u64> {
        self.engines.iter().find_map(|engine| engine.held)
    }

    /// Maps of all ranks.
    pub fn maps(&self) -> Vec<u64> {
        self.engines.iter().map(|engine| engine.map).collect()
    }

    /// The map that each rank is armed for.
    pub fn armed(&self) -> Vec<Option<u64>> {
        self.engines.iter().map(|engine| engine.armed.map(|(version, _)| version)).collect()
    }

    /// Carries out the late orders of a rank whose time has come, in the order of their arrival.
    pub fn carry_out_late(&mut self, record: &Record, is_chosen: impl Fn(&LateOrder) -> bool) {
        let is_due = |late: &LateOrder| {
            let age = late.at.elapsed();
            age >= LATE_FROM && age <= LATE_UNTIL && is_chosen(late)
        };

        while let Some(at) = self.late.iter().position(is_due) {
            let late = self.late.remove(at);
            self.carry_out_one(record, &late);
        }
    }

    fn carry_out_one(&mut self, record: &Record, late: &LateOrder) {
        let status = self.carry_out(late.rank, &late.text);
        let shown: String = late.text.chars().take(70).collect();
        let age = late.at.elapsed().as_secs_f64();
        record.line(&format!(
            "rank {}: {shown}: carried out {age:.1} s after it was sent, with status {status}",
            late.rank
        ));
    }

    fn tick(&mut self, record: &Record) {
        let now = Instant::now();

        // Late orders are carried out by then at the latest.
        while let Some(at) = self.late.iter().position(|late| late.at.elapsed() > LATE_UNTIL) {
            let late = self.late.remove(at);
            self.carry_out_one(record, &late);
        }

        for rank in 0..RANKS {
            let engine = &mut self.engines[rank];

            if engine.copying.as_ref().is_some_and(|(.., at)| *at <= now)
                && let Some((version, content, _)) = engine.copying.take()
            {
                engine.prepared = Some((version, content));
            }

            let report = self.report(rank);
            let reports = &mut self.engines[rank].reports;

            if reports.last().is_none_or(|(at, _)| now >= *at + Duration::from_millis(5)) {
                reports.push((now, report));
                reports.retain(|(at, _)| now < *at + 3 * REPORT_LAG);
            }
        }

        let next = self.pass + 1;
        let is_held = self.engines.iter().any(|engine| engine.held == Some(next));
        let has_work = self.is_busy || self.engines.iter().any(|engine| engine.running > 0);

        if now >= self.pass_at + self.pass_length && !is_held && has_work {
            self.begin_pass(record);
        }
    }

    fn begin_pass(&mut self, record: &Record) {
        self.pass += 1;
        self.pass_at = Instant::now();
        let (pass, wanted) = (self.pass, self.wanted);
        let before = self.engines[0].map;

        for engine in &mut self.engines {
            if let Some((version, _)) = engine.armed.filter(|(_, first)| *first == pass) {
                engine.armed = None;

                if let Some((prepared, content)) = engine.prepared.take() {
                    assert_eq!(prepared, version, "an armed rank keeps what it has prepared");
                    engine.map = version;
                    engine.content = content;
                }
            }

            engine.held = engine.held.filter(|held| *held > pass);

            for set in 0..SETS {
                for expert in 0..EXPERTS {
                    let is_wanted = wanted.is_none_or(|wanted| expert % RANKS == wanted);
                    engine.counts[set * EXPERTS + expert] += if is_wanted { 40 } else { 1 };
                }
            }
        }

        let first = &self.engines[0];
        let differs = |e: &Engine| e.map != first.map || e.content != first.content;

        if let Some(other) = self.engines.iter().position(differs) {
            let text =
                format!("pass {pass} begins, and the maps of the ranks are {:?}", self.maps());
            record.line(&text);

            if self.differing.is_none() {
                self.differing = Some(format!("ranks 0 and {other} differ: {text}"));
            }
        } else if first.map != before {
            self.changes += 1;
            record.line(&format!("pass {pass} begins with map {} at all ranks", first.map));
        }
    }

    /// The engine's report: fresh for its own machine, older for others.
    fn report_for_reader(&self, rank: usize) -> String {
        if !self.is_away[rank] {
            return self.report(rank);
        }

        let now = Instant::now();
        let mut older = self.engines[rank].reports.iter().rev();
        let lagged = older.find(|(at, _)| now >= *at + REPORT_LAG);

        lagged.map_or_else(|| self.report(rank), |(_, text)| text.clone())
    }

    fn report(&self, rank: usize) -> String {
        let engine = &self.engines[rank];
        let mut extra = String::new();

        if let Some((version, _)) = &engine.prepared {
            extra += &format!(",\"prepared\":{version}");
        }

        if let Some((version, step)) = engine.armed {
            extra += &format!(",\"armed\":{{\"version\":{version},\"step\":{step}}}");
        }

        if let Some(held) = engine.held {
            extra += &format!(",\"held\":{held}");
        }

        let running = engine.running + if self.is_busy { 6 } else { 0 };

        format!(
            "{{\"stage\":\"dual\",\"busy\":{},\"sequence\":{},\"queued\":0,\"running\":{running},\
             \"kv_used\":41000,\"kv_total\":372000,\"handles\":0,\"group\":{{\"name\":\"g\",\
             \"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\"size\":{RANKS},\"pace\":1.0,\
             \"step\":{},\"map\":{}{extra}}}",
            engine.copying.is_some(),
            engine.sequence,
            self.pass,
            engine.map
        )
    }

    fn picked(&self, rank: usize, is_lists: bool) -> String {
        let engine = &self.engines[rank];

        if !is_lists {
            let counts: Vec<String> = engine.counts.iter().map(u64::to_string).collect();
            let counts = counts.join(",");
            return format!("{{\"step\":{},\"epoch\":1,\"counts\":[{counts}]}}", self.pass);
        }

        let own = |set: &str| parts(set).get(rank).map_or(String::new(), |held| held.to_string());
        let experts: Vec<String> = parts(&engine.content).into_iter().map(own).collect();
        let (map, experts) = (engine.map, experts.join(","));

        format!("{{\"map\":{{\"version\":{map},\"experts\":[{experts}]}}}}")
    }

    /// Carries out an order.
    fn carry_out(&mut self, rank: usize, order: &str) -> u16 {
        let pass = self.pass;
        let engine = &mut self.engines[rank];
        let (version, step) = (number(order, "version"), number(order, "step"));

        if number(order, "epoch") != Some(1) {
            return 409;
        }

        let status = match (word(order, "op"), version, step) {
            (Some("prepare"), Some(version), _) => {
                // Not above every version that it had, or armed.
                if version <= engine.highest || engine.armed.is_some() {
                    return 409;
                }

                engine.highest = version;
                engine.prepared = None;
                let content = array(order, "map").unwrap_or_default().to_string();
                engine.copying = Some((version, content, Instant::now() + COPY));
                202
            }
            (Some("arm"), Some(version), Some(step)) => {
                let is_prepared = engine.prepared.as_ref().is_some_and(|(v, _)| *v == version);

                // Not prepared, or the pass has begun.
                if !is_prepared || step <= pass {
                    return 409;
                }

                engine.armed = Some((version, step));
                202
            }
            (Some("disarm"), Some(version), _) => {
                if engine.map == version {
                    return 409;
                }

                engine.armed = engine.armed.filter(|(v, _)| *v != version);
                202
            }
            (Some("hold"), _, Some(step)) => {
                if step <= pass || engine.held.is_some_and(|held| held != step) {
                    return 409;
                }

                engine.held = Some(step);
                self.holder = Some(rank);
                202
            }
            (Some("go"), _, Some(step)) => {
                engine.held = engine.held.filter(|held| *held != step);
                200
            }
            _ => 400,
        };
        self.engines[rank].sequence += 1;
        status
    }
}

/// The map with which engines start: experts dealt in turn.
fn initial_map() -> String {
    let of_rank = |rank: usize| {
        let held: Vec<String> = (rank..EXPERTS).step_by(RANKS).map(|e| e.to_string()).collect();
        format!("[{}]", held.join(","))
    };
    let set: Vec<String> = (0..RANKS).map(of_rank).collect();
    let set = format!("[{}]", set.join(","));

    format!("[{}]", vec![set; SETS].join(","))
}

/// Puts the configuration and the runners' entries into the store.
pub fn put_rows(store: &Store, app: u16) {
    let config = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r\",\"host\":\"notes.example\",\
         \"path_prefix\":\"/notes/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":400,\"priority\":1,\"service\":\"notes\",\"max_attempts\":2,\
         \"stream_resume\":true,\"gap_aim_ms\":120}}],\"services\":[{{\"name\":\"notes\",\
         \"health_check\":\"/health\",\"max_connections\":348,\"engine\":{{\"slots\":{SLOTS},\
         \"step_ms\":5.85,\"read_per_s\":61200.0,\"stride\":5,\"sets\":{SETS},\
         \"experts\":{EXPERTS},\"places\":{PLACES},\"spare\":2,\"expert_mb\":880.0,\
         \"link_mbps\":180000.0,\"form_ms\":600.0,\"report_lag_ms\":200.0,\
         \"usual\":{{\"prompt\":800,\"answer\":140}}}}}}],\"tenants\":[],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    );
    store.put("op", "config", &config);

    for rank in 0..RANKS {
        let entry = format!(
            "{{\"service\":\"notes\",\"address\":\"{}:{app}\",\"zone\":\"burnaby-hall\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1}}",
            ip(rank)
        );
        store.put("servers", &format!("i-{rank:02}"), &entry);
    }
}
