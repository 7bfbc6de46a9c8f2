//! A group of model runners that make every pass together, as PROTOCOL.md says: their reports,
//! their counts, and the orders for maps. Chosen orders get no answer and are carried out late.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};
use crate::json::Json;
use crate::record::Record;

pub const SETS: usize = 4;
pub const EXPERTS: usize = 64;
const SPARE: usize = 2;
/// Length of a pass: `stride` steps of `step_ms`.
const PASS: Duration = Duration::from_millis(30);
/// `expert_mb` over `link_mbps`.
const COPY: Duration = Duration::from_millis(39);
/// Experts that a rank's requests choose in each set and pass.
const PICKS: u64 = 200;
/// Experts of a set that most picks go to, and their share.
const LIKED: usize = 4;
const LIKED_SHARE: u64 = 80;

type RankMap = Vec<Vec<u64>>;

#[derive(Clone)]
struct Rank {
    map: (u64, RankMap),
    prepared: Option<(u64, RankMap)>,
    copying: Option<(u64, RankMap, Instant)>,
    highest: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    sequence: u64,
    running: usize,
    counts: Vec<u64>,
}

struct State {
    step: u64,
    ranks: Vec<Rank>,
    /// First of the experts that are liked.
    liked: usize,
    /// Passes that began while two ranks had different maps.
    broken: Vec<u64>,
    changes: u64,
    orders: u64,
    late: u64,
    /// How many orders to arm this rank are still to be late, and by how much.
    late_arms: Option<(usize, usize, Duration)>,
    first_late: Option<Instant>,
    is_over: bool,
}

/// A group of ranks.
#[derive(Clone)]
pub struct Group {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pub addresses: Vec<SocketAddr>,
}

impl Group {
    /// Starts the engines at these loopback addresses.
    pub fn start(ips: &[String], record: &Record) -> std::io::Result<Group> {
        let size = ips.len();
        let dealt = |rank: usize| -> RankMap {
            let held: Vec<u64> = (rank..EXPERTS).step_by(size).map(|e| e as u64).collect();
            vec![held; SETS]
        };
        let rank = |at: usize| Rank {
            map: (0, dealt(at)),
            prepared: None,
            copying: None,
            highest: 0,
            armed: None,
            held: None,
            sequence: 0,
            running: 0,
            counts: vec![0; SETS * EXPERTS],
        };
        let state = State {
            step: 0,
            ranks: (0..size).map(rank).collect(),
            liked: 0,
            broken: Vec::new(),
            changes: 0,
            orders: 0,
            late: 0,
            late_arms: None,
            first_late: None,
            is_over: false,
        };
        let listeners: Vec<TcpListener> =
            ips.iter().map(|ip| TcpListener::bind((ip.as_str(), 0))).collect::<Result<_, _>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let group = Group { state, record: record.clone(), addresses };

        for (at, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();

            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    std::thread::spawn(move || group.serve(at, Wire::new(stream)));
                }
            });
        }

        let passes = group.clone();
        std::thread::spawn(move || passes.run());
        Ok(group)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no panic while locked")
    }

    pub fn stop(&self) {
        self.lock().is_over = true;
    }

    /// Map changes of the whole group so far.
    pub fn changes(&self) -> u64 {
        self.lock().changes
    }

    /// Passes that began while two ranks had different maps.
    pub fn broken(&self) -> Vec<u64> {
        self.lock().broken.clone()
    }

    /// Orders that came, and how many of them got no answer.
    pub fn orders(&self) -> (u64, u64) {
        let state = self.lock();

        (state.orders, state.late)
    }

    /// Other experts are in demand from now on.
    pub fn shift(&self) {
        let mut state = self.lock();
        state.liked = (state.liked + 21) % EXPERTS;
    }

    /// The next `count` orders to arm a rank get no answer and are carried out late.
    pub fn make_arms_late(&self, rank: usize, count: usize, by: Duration) {
        self.lock().late_arms = Some((rank, count, by));
    }

    /// When the first of these came.
    pub fn first_late(&self) -> Option<Instant> {
        self.lock().first_late
    }

    /// The rank whose engine holds a pass.
    pub fn holder(&self) -> Option<usize> {
        let state = self.lock();

        state.ranks.iter().position(|rank| rank.held.is_some_and(|held| held > state.step))
    }

    /// What the ranks hold, for the record.
    pub fn describe(&self) -> String {
        let state = self.lock();
        let ranks = state.ranks.iter().enumerate().map(|(at, r)| {
            let prepared = r.prepared.as_ref().map_or(0, |(version, _)| *version);
            format!(
                "{at}: map {} prepared {prepared} armed {:?} held {:?}",
                r.map.0, r.armed, r.held
            )
        });

        format!("last pass {}; {}", state.step, ranks.collect::<Vec<_>>().join("; "))
    }

    /// Runs a request on a rank for a number of passes; its client leaves after a gap of two
    /// seconds. Returns whether it was complete.
    pub fn request(&self, rank: usize, passes: u64) -> bool {
        let mut state = self.lock();
        state.ranks[rank].running += 1;
        let until = state.step + passes;
        let (mut seen, mut seen_at) = (state.step, Instant::now());

        while state.step < until && seen_at.elapsed() < Duration::from_secs(2) && !state.is_over {
            state = self.state.1.wait_timeout(state, PASS).expect("no panic").0;

            if state.step != seen {
                (seen, seen_at) = (state.step, Instant::now());
            }
        }

        state.ranks[rank].running -= 1;
        state.step >= until
    }

    fn run(&self) {
        loop {
            std::thread::sleep(PASS);
            let mut state = self.lock();

            if state.is_over {
                return;
            }

            let next = state.step + 1;
            let is_idle = state.ranks.iter().all(|rank| rank.running == 0);
            let is_held = state.ranks.iter().any(|rank| rank.held == Some(next));

            if is_idle || is_held {
                continue;
            }

            state.begin_pass(next, &self.record);
            drop(state);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, at: usize, mut wire: Wire) {
        while let Ok(call) = wire.read() {
            let answer = match call.target() {
                "/-/report" => Some((200, self.lock().report(at))),
                "/-/picked" => Some((200, self.lock().picked(at))),
                "/-/picked?lists=1" => Some((200, self.lock().lists(at))),
                "/-/order" => self.order(at, &call),
                _ => Some((404, "{}".to_string())),
            };

            // An order without an answer: its connection conveys nothing further.
            let Some((status, body)) = answer else {
                while wire.read().is_ok() {}
                return;
            };
            let head = format!(
                "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );

            if wire.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn order(&self, at: usize, call: &Message) -> Option<(u16, String)> {
        let text = String::from_utf8_lossy(&call.body).to_string();
        let order = Json::parse(&text)?;
        let op = order.text("op");
        let (version, step) = (order.number("version"), order.number("step"));
        let mut state = self.lock();
        state.orders += 1;
        let what = format!("order to rank {at}: {op} version {version} step {step}");

        if let Some((rank, left, by)) = state.late_arms
            && rank == at
            && left > 0
            && op == "arm"
        {
            state.late_arms = Some((rank, left - 1, by));
            state.late += 1;
            state.first_late.get_or_insert_with(Instant::now);
            self.record.show(&format!("{what}: no answer, carried out {by:?} later"));
            let group = self.clone();

            std::thread::spawn(move || {
                std::thread::sleep(by);
                let status = group.lock().carry_out(at, &order);
                group.record.show(&format!("{what}, late: {status}"));
            });
            return None;
        }

        let status = state.carry_out(at, &order);
        self.record.line(&format!("{what}: {status}"));
        Some((status, "{}".to_string()))
    }
}

impl State {
    fn begin_pass(&mut self, next: u64, record: &Record) {
        self.step = next;
        let before = self.ranks[0].map.0;

        for rank in &mut self.ranks {
            if rank.armed.is_some_and(|(_, step)| step == next) {
                rank.armed = None;

                if let Some(map) = rank.prepared.clone() {
                    rank.map = map;
                }
            }
        }

        let versions: Vec<u64> = self.ranks.iter().map(|rank| rank.map.0).collect();

        if versions.iter().any(|version| *version != versions[0]) {
            if self.broken.is_empty() {
                record.show(&format!("pass {next} begins with different maps: {versions:?}"));
            }

            self.broken.push(next);
        } else if versions[0] != before {
            self.changes += 1;
            record.show(&format!("pass {next} begins with map {} at all ranks", versions[0]));
        }

        let liked = self.liked;

        for rank in self.ranks.iter_mut().filter(|rank| rank.running > 0) {
            for set in 0..SETS {
                for pick in 0..PICKS {
                    let expert = match pick % 100 < LIKED_SHARE {
                        true => liked + pick as usize % LIKED * 16,
                        false => pick as usize * 7 + next as usize,
                    };
                    rank.counts[set * EXPERTS + expert % EXPERTS] += 1;
                }
            }
        }
    }

    fn finish_copy(&mut self, at: usize) {
        let rank = &mut self.ranks[at];

        if rank.copying.as_ref().is_some_and(|(_, _, until)| Instant::now() >= *until) {
            rank.prepared = rank.copying.take().map(|(version, map, _)| (version, map));
        }
    }

    fn report(&mut self, at: usize) -> String {
        self.finish_copy(at);
        let (rank, size) = (&self.ranks[at], self.ranks.len());
        let number = |value: Option<u64>| value.map_or("null".to_string(), |v| v.to_string());
        let armed = rank.armed.map_or("null".to_string(), |(version, step)| {
            format!(r#"{{"version":{version},"step":{step}}}"#)
        });

        format!(
            r#"{{"stage":"dual","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{},"sequence":{},"queued":0,"running":{},"kv_used":0,"kv_total":372000,"handles":0,"pace":1.0,"group":{{"name":"g1","epoch":1,"rank":{at},"state":"open"}},"size":{size},"step":{},"map":{},"prepared":{},"armed":{armed},"held":{}}}"#,
            rank.copying.is_some(),
            rank.sequence,
            rank.running,
            self.step,
            rank.map.0,
            number(rank.prepared.as_ref().map(|(version, _)| *version)),
            number(rank.held.filter(|held| *held > self.step)),
        )
    }

    fn picked(&self, at: usize) -> String {
        let counts: Vec<String> = self.ranks[at].counts.iter().map(u64::to_string).collect();

        format!(r#"{{"step":{},"epoch":1,"counts":[{}]}}"#, self.step, counts.join(","))
    }

    fn lists(&self, at: usize) -> String {
        let text = |(version, map): &(u64, RankMap)| {
            let sets: Vec<String> = map.iter().map(|set| format!("{set:?}")).collect();
            format!(r#"{{"version":{version},"experts":[{}]}}"#, sets.join(","))
        };
        let rank = &self.ranks[at];
        let prepared = rank.prepared.as_ref().map_or("null".to_string(), text);

        format!(r#"{{"map":{},"prepared":{prepared}}}"#, text(&rank.map))
    }

    /// Carries an order out; returns its status.
    fn carry_out(&mut self, at: usize, order: &Json) -> u16 {
        self.finish_copy(at);
        let (version, step) = (order.number("version"), order.number("step"));
        let now = self.step;
        let rank = &mut self.ranks[at];

        if order.number("epoch") != 1 {
            return 409;
        }

        let status = match order.text("op").as_str() {
            "prepare" => {
                let map: RankMap = order
                    .list("map")
                    .iter()
                    .map(|set| match set {
                        Json::List(ranks) => numbers(ranks.get(at)),
                        _ => Vec::new(),
                    })
                    .collect();
                let is_new = |(set, has): (usize, &Vec<u64>)| {
                    has.iter().filter(|e| !rank.map.1[set].contains(e)).count()
                };
                let most_new = map.iter().enumerate().map(is_new).max().unwrap_or(0);

                if rank.prepared.as_ref().is_some_and(|(prepared, _)| *prepared == version) {
                    return 200;
                }

                if version <= rank.highest || rank.armed.is_some() || most_new > SPARE {
                    return 409;
                }

                let new: usize = map.iter().enumerate().map(is_new).sum();
                rank.highest = version;
                rank.prepared = None;
                rank.copying = Some((version, map, Instant::now() + COPY * new as u32));
                202
            }
            "arm" => {
                if rank.armed == Some((version, step)) {
                    return 200;
                }

                let is_prepared = rank.prepared.as_ref().is_some_and(|(v, _)| *v == version);

                if !is_prepared || step <= now {
                    return 409;
                }

                rank.armed = Some((version, step));
                202
            }
            "hold" => {
                if rank.held == Some(step) {
                    return 200;
                }

                if step <= now || rank.held.is_some_and(|held| held > now) {
                    return 409;
                }

                rank.held = Some(step);
                202
            }
            "go" => {
                if rank.held != Some(step) {
                    return if step <= now { 200 } else { 409 };
                }

                rank.held = None;
                202
            }
            _ => return 400,
        };
        rank.sequence += 1;
        status
    }
}

fn numbers(list: Option<&Json>) -> Vec<u64> {
    match list {
        Some(Json::List(list)) => list
            .iter()
            .filter_map(|n| match n {
                Json::Number(number) => Some(*number as u64),
                _ => None,
            })
            .collect(),
        _ => Vec::new(),
    }
}
