//! Three ranks of a group crash within a second, under prompts that share a part.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use standins_2::client::{Call, exchange_body};
use standins_2::http::Wire;
use standins_2::process::{Folder, Gateway, could_not_run, free_port, has_trouble, network};
use standins_2::ranks::{Group, Rank};
use standins_2::record::Record;
use standins_2::runner::Runner;
use standins_2::store::Store;

const GATEWAYS: usize = 4;
const RANKS: usize = 16;
/// Clients of streams, each with a request every 1.5 s: 74.7 a second.
const STREAM_CLIENTS: usize = 112;
const STREAM_PERIOD: Duration = Duration::from_millis(1500);
/// Clients of the plain service, each with a request every 0.64 s: 9.4 a second.
const PLAIN_CLIENTS: usize = 6;
const PLAIN_PERIOD: Duration = Duration::from_millis(640);
const PLAIN_WORK: Duration = Duration::from_millis(15);
/// Ranks that crash, with the milliseconds until they do: two at once, and one half a second later.
const CRASHING: [(usize, u64); 3] = [(1, 0), (6, 0), (11, 500)];
/// How long each is down.
const DOWN: Duration = Duration::from_millis(4500);
/// How long after a crash the entry of the runner goes: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3600);
/// From the first crash to the final fault.
const FINAL_AFTER: Duration = Duration::from_secs(9);
/// How long all gateways are down (`closing`, `kill_all`).
const KILLED: Duration = Duration::from_millis(1100);
/// `recover_s` of cedarline-hq.
const RECOVER: Duration = Duration::from_secs(12);
/// How long requests count after that.
const COUNTED: Duration = Duration::from_secs(12);
/// Path of the route for unsafe requests.
const UNSAFE: &str = "/puxa403/2f";
/// The part that all prompts share.
const SHARED: &str = "5c1e07a2:40";

fn config() -> String {
    let stream = |name: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"{prefix}","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"gap_aim_ms":120}}"#
        )
    };
    let plain = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"wuno96b","max_attempts":{attempts},"public":false,"session_affinity":false,"stream_resume":false}}"#
        )
    };

    format!(
        r#"{{"version":3,"routes":[{},{},{},{},{}],"services":[{{"name":"huvo11a","health_check":"/health","max_connections":348,"protocol":"h1","tls":false,"engine":{{"slots":12,"kv_capacity_tokens":372000,"kv_token_bytes":96256,"link_mbps":180000.0,"stride":5,"models":[{{"name":"m"}}],"step_ms":5.85,"per_seq_ms":0.355,"context_per_k":0.036,"read_per_s":61200.0,"pairs_per_m":0.325,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":835,"answer":139}},"sets":4,"experts":64,"places":5,"spare":2,"expert_mb":880.0,"expert_share":0.85,"form_ms":600.0}}}},{{"name":"wuno96b","health_check":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#,
        stream("r-2yhvz3p", "/lohu930/"),
        stream("r-1ksb5s7", "/bopu901/"),
        stream("r-8dfn2aa", "/gono990/"),
        plain("r-fi6y7z5", "/cufi504/", "safe", 2),
        plain("r-7ca9u3m", "/puxa403/", "unsafe", 1)
    )
}

/// Clients' requests: when each was sent, whether it was a stream, and whether it was served.
#[derive(Clone, Default)]
struct Requests {
    ended: Arc<Mutex<Vec<(Instant, bool, bool)>>>,
    stop: Arc<AtomicBool>,
}

impl Requests {
    /// Served and all of those sent in a span: all requests, and streams alone. A retry is a request
    /// of its own.
    fn served(&self, from: Instant, to: Instant) -> [(usize, usize); 2] {
        let ended = self.ended.lock().expect("no panic");
        let count = |streams_only: bool| {
            let counted = ended.iter().filter(|(at, is_stream, _)| {
                from <= *at && *at < to && (*is_stream || !streams_only)
            });
            let all: Vec<bool> = counted.map(|(_, _, is_served)| *is_served).collect();
            (all.iter().filter(|is_served| **is_served).count(), all.len())
        };

        [count(false), count(true)]
    }

    /// Starts a client that sends a request every `period` and repeats it once at another gateway.
    fn start(
        &self,
        name: String,
        fronts: [SocketAddr; 2],
        call: Call,
        period: Duration,
        record: &Record,
    ) -> JoinHandle<()> {
        let (requests, record) = (self.clone(), record.clone());

        std::thread::spawn(move || {
            let mut wire = None;
            // The clients begin at different times.
            let share = name.bytes().fold(7u64, |sum, byte| sum * 31 + u64::from(byte)) % 1000;
            std::thread::sleep(period.mul_f64(share as f64 / 1000.0));
            let mut next = Instant::now();

            for number in 0.. {
                if requests.stop.load(Ordering::SeqCst) {
                    return;
                }

                requests.send(&mut wire, fronts, &call, &format!("{name}{number:04x}"), &record);
                next += period;
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                next = next.max(Instant::now() - period);
            }
        })
    }

    /// Sends a request, and once more if it is not served.
    fn send(
        &self,
        wire: &mut Option<Wire>,
        fronts: [SocketAddr; 2],
        call: &Call,
        id: &str,
        record: &Record,
    ) {
        let until = Instant::now() + call.deadline;
        let is_stream = call.headers.contains("Model");
        // No two requests are alike; a retry sends the same body.
        let body = if call.method == "POST" { format!("{id} ").repeat(60) } else { String::new() };

        for (attempt, front) in fronts.into_iter().enumerate() {
            let attempt_id = format!("{id}-{attempt}");
            let mut call = call.clone();
            call.deadline = until.saturating_duration_since(Instant::now());

            // The last part of the prompt is the request's own.
            if is_stream {
                call.headers += &format!("Prompt-Prefix: {SHARED},{}:674\r\n", own_part(id));
            }

            record.line(&format!("client sends {attempt_id} {} {}", call.method, call.path));
            // A retry takes a new connection.
            let mut new = None;
            let taken = if attempt == 0 { &mut *wire } else { &mut new };
            let sent = Instant::now();
            let status = exchange_body(taken, front, &call, &attempt_id, &body);
            let text = status.map_or("no whole answer".to_string(), |status| status.to_string());
            record.line(&format!("client gets {attempt_id} {text}"));
            let is_served = status == Some(200);
            self.ended.lock().expect("no panic").push((sent, is_stream, is_served));
            // Other answers of an unsafe request may mean that it ran.
            let may_retry = matches!(status, Some(503 | 429)) || call.path != UNSAFE;
            // Clients wait as told, up to a third of the time that remains.
            let wait = until.saturating_duration_since(Instant::now()) / 3;

            if is_served || !may_retry || wait.is_zero() {
                return;
            }

            std::thread::sleep(wait);
        }
    }
}

/// Id of a part that no other request has.
fn own_part(id: &str) -> String {
    let number = id
        .bytes()
        .fold(0xcbf2_9ce4u64, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));

    format!("{:012x}", number & 0xffff_ffff_ffff)
}

fn main() {
    let code = run(Path::new(&std::env::args().nth(1).expect("the path of the record")));
    std::process::exit(code);
}

fn run(path: &Path) -> i32 {
    let record = Record::create(path).unwrap_or_else(|e| could_not_run(&e.to_string()));
    let code = match play(&record) {
        Ok(is_broken) => i32::from(is_broken),
        Err(error) => {
            record.show(&format!("could not run: {error}"));
            2
        }
    };
    record.flush();
    code
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn wait_ready(gateways: &mut [Gateway]) -> std::io::Result<()> {
    match gateways.iter_mut().all(|gateway| gateway.wait_ready(Duration::from_secs(15))) {
        true => Ok(()),
        false => Err(std::io::Error::other("a gateway is not ready")),
    }
}

/// Three ranks crash and come back.
fn crash(ranks: &mut [Rank], store: &Store, record: &Record) -> std::io::Result<()> {
    let first = Instant::now();
    let mut events: Vec<(Instant, usize, usize)> = Vec::new();

    for (rank, after_ms) in CRASHING {
        let at = first + Duration::from_millis(after_ms);
        events.extend([(at, 0, rank), (at + LAPSE, 1, rank), (at + DOWN, 2, rank)]);
    }

    events.sort();

    for (at, what, number) in events {
        sleep_until(at);
        let rank = &mut ranks[number];

        match what {
            0 => {
                record.show(&format!("rank {} crashes under {} requests", rank.id, rank.running()));
                rank.crash();
            }
            1 => {
                store.remove("servers", &rank.id);
                record.show(&format!("the entry of {} lapses", rank.id));
            }
            _ => {
                *rank = rank.start_again(&format!("i-{number}-2"))?;
                store.put("servers", &rank.id, &rank.entry("huvo11a", "burnaby-hall"));
                record.show(&format!("rank {} is there", rank.id));
            }
        }
    }

    Ok(())
}

fn play(record: &Record) -> std::io::Result<bool> {
    let net = network();
    let folder = Folder::create()?;
    let store = Store::start(&format!("{net}.1"))?;
    store.put("op", "config", &config());
    let group = Group::default();
    let mut ranks = Vec::new();

    for at in 0..RANKS {
        let ip = format!("{net}.{}", 20 + at);
        let rank = Rank::start(&ip, &format!("i-{at}"), at, &group, record)?;
        store.put("servers", &rank.id, &rank.entry("huvo11a", "burnaby-hall"));
        ranks.push(rank);
    }

    for at in 0..3 {
        let ip = format!("{net}.{}", 60 + at);
        let runner = Runner::start(&ip, &format!("i-p{at}"), PLAIN_WORK, record)?;
        store.put("servers", &runner.id, &runner.entry("wuno96b", "burnaby-hall"));
    }

    let ips: Vec<String> = (0..GATEWAYS).map(|at| format!("{net}.{}", 10 + at)).collect();
    let group_port = free_port(&ips[0])?;
    let mut seeds = Vec::new();

    for ip in &ips {
        seeds.push(format!("{ip}:{}", free_port(ip)?).parse().expect("an address"));
    }

    let mut gateways = Vec::new();

    for (at, ip) in ips.iter().enumerate() {
        let name = format!("edge-burnaby-hall-{}", at + 1);
        let mut gateway = Gateway::create(ip, &name, group_port, store.address, &seeds, &folder.0)?;
        gateway.start()?;
        gateways.push(gateway);
    }

    wait_ready(&mut gateways)?;
    let requests = Requests::default();
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let fronts = |at: usize| [fronts[at % GATEWAYS], fronts[(at + 1) % GATEWAYS]];
    let call = |method, path: &str, deadline, headers: &str| Call {
        method,
        path: path.to_string(),
        host: "ficu95.example".to_string(),
        key: "n2ctnfzs989anu6wsjnb".to_string(),
        deadline: Duration::from_millis(deadline),
        headers: headers.to_string(),
    };
    let mut threads = Vec::new();

    for at in 0..STREAM_CLIENTS {
        let path = ["/lohu930/2f", "/bopu901/2f", "/gono990/2f"][at / GATEWAYS % 3];
        let call = call("POST", path, 8000, "Model: m\r\nToken-Usage: 714,140\r\n");
        let name = format!("s{at:03}-");
        threads.push(requests.start(name, fronts(at), call, STREAM_PERIOD, record));
    }

    for at in 0..PLAIN_CLIENTS {
        let call = match at % 3 {
            0 => call("GET", "/cufi504/2f", 1500, ""),
            _ => call("POST", UNSAFE, 1500, ""),
        };
        threads.push(requests.start(format!("p{at}-"), fronts(at), call, PLAIN_PERIOD, record));
    }

    std::thread::sleep(Duration::from_secs(4));
    let measured = Instant::now();
    std::thread::sleep(Duration::from_secs(6));
    let began = Instant::now();

    if has_trouble() {
        crash(&mut ranks, &store, record)?;
    }

    sleep_until(began + FINAL_AFTER);
    record.show("all gateways are killed");
    gateways.iter_mut().for_each(Gateway::kill);
    std::thread::sleep(KILLED);

    for gateway in &mut gateways {
        gateway.start()?;
    }

    wait_ready(&mut gateways)?;
    let back = Instant::now();
    record.show("all gateways are back");
    sleep_until(back + RECOVER + COUNTED);
    requests.stop.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| thread.join().expect("no panic of a client"));

    for text in [
        "target crashed",
        "request quarantined",
        "prompt part quarantined",
        "quarantine released",
        "quarantine trial",
    ] {
        for gateway in &gateways {
            let lines = gateway.log_lines(text);
            lines.iter().for_each(|line| record.line(&format!("{}: {line}", gateway.name)));
        }
    }

    let show = |what: &str, [all, streams]: [(usize, usize); 2]| {
        record.show(&format!(
            "{what}: {} of {} requests were served, {} of {} streams",
            all.0, all.1, streams.0, streams.1
        ));
        all
    };
    show("before the crashes", requests.served(measured, began));
    let before = show("before the kill", requests.served(measured, began + FINAL_AFTER));
    let opened = began + Duration::from_secs(7);
    show("in the last 2 s of this", requests.served(opened, began + FINAL_AFTER));
    let counted = (back + RECOVER, back + RECOVER + COUNTED);
    let after = show("from 12 s after all were back", requests.served(counted.0, counted.1));
    let is_broken = before.0 * 4 >= before.1 && after.0 * 4 < after.1;
    record.show(if is_broken { "rule RECOVER: broken" } else { "rule RECOVER: held" });

    Ok(is_broken)
}
