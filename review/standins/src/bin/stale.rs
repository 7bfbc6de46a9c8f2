//! Case: gateways go on to take a key that was taken away.
//!
//! Four gateways stand before a plain service. Machines are replaced, one generation after another
//! (`replace_core`). Then the store turns three of the four gateways away and serves the other one
//! (`platform_down`, how nodes), while keys are taken away one after another (`revoke`).
//!
//! Exits with 1 if a request runs with a key that was taken away more than `config_apply_ms` +
//! `max_stretch_ms` before it was sent, 0 if none does, 2 if the case did not come about.

use std::collections::HashMap;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::clients::wait_ready;
use review_standins::http::{answer, read_message};
use review_standins::process::{Process, free_port};
use review_standins::record::Record;
use review_standins::store::Store;

const GATEWAYS: usize = 4;
/// Halls of the gateways of a generation. The store serves only the first of them in the end.
const HALLS: [&str; GATEWAYS] = ["surrey-hall", "burnaby-hall", "burnaby-hall", "richmond-hall"];
/// Generations of machines that are replaced before the one that stays.
const GENERATIONS: usize = 30;
/// How long a generation lives after it has published itself.
const LIFE: Duration = Duration::from_millis(500);
/// Keys that are taken away.
const CHANGES: usize = 4;
/// `config_apply_ms` and `max_stretch_ms` of the site.
const BOUND: Duration = Duration::from_millis(2000 + 5000);
/// How long requests are sent after each change.
const WATCHED: Duration = Duration::from_millis(10_000);
const PAUSE: Duration = Duration::from_millis(100);
const RUNNERS: usize = 3;

struct Ports {
    caller: u16,
    ready: u16,
    peer: u16,
    group: u16,
    metrics: u16,
    store: u16,
    app: u16,
}

/// When each request was sent, by its id.
type Sent = Arc<Mutex<HashMap<String, Instant>>>;

/// A request that ran with a key that had been taken away.
#[derive(Clone)]
struct Run {
    tenant: String,
    id: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let with_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let [root, folder, record] = [1, 2, 3].map(|at| Path::new(&arguments[at]));

    std::process::exit(run(root, folder, record, with_trouble));
}

fn machine(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1 + number as u8))
}

fn runner(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1 + number as u8))
}

fn run(root: &Path, folder: &Path, record: &Path, with_trouble: bool) -> i32 {
    let record = Record::create(record);
    record.line(if with_trouble { "with the disruption" } else { "without it" });
    let generations = if with_trouble { GENERATIONS + 1 } else { 1 };
    let machines = generations * GATEWAYS;
    let ports = ports(machines);
    let store = Store::default();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    start_runners(&store, &ports, &runs);
    put_config(&store, 0);
    let mut away = Vec::new();

    for number in 0..machines {
        let is_away: Arc<AtomicBool> = Arc::default();
        store.serve_unless(SocketAddr::new(machine(number), ports.store), is_away.clone());
        away.push(is_away);
    }

    let mut gateways: Vec<Process> = Vec::new();

    for generation in 0..generations {
        let numbers: Vec<usize> = (0..GATEWAYS).map(|n| generation * GATEWAYS + n).collect();
        // The machines before them are gone for good.
        gateways = numbers.iter().map(|n| start_gateway(root, folder, &ports, *n)).collect();

        if !wait_published(&store, &numbers) {
            return record.end(2, "the case did not run: a gateway did not publish itself");
        }

        std::thread::sleep(LIFE);
    }

    record.line(&format!("{machines} gateways have been started, of which {GATEWAYS} are left"));
    let live: Vec<usize> = (machines - GATEWAYS..machines).collect();
    let ready: Vec<SocketAddr> =
        live.iter().map(|n| SocketAddr::new(machine(*n), ports.ready)).collect();

    if !wait_ready(&ready, Duration::from_secs(10), &record) {
        return record.end(2, "the case did not run: the gateways are not ready");
    }

    if with_trouble {
        live[1..].iter().for_each(|n| away[*n].store(true, Ordering::Relaxed));
        record.line("the store turns three of them away");
        std::thread::sleep(Duration::from_secs(1));
    }

    let status = take_keys_away(&record, &store, &ports, &live[1..], &runs);
    drop(gateways);
    status
}

/// Takes one key away after another, and sends requests with it afterwards.
fn take_keys_away(
    record: &Record,
    store: &Store,
    ports: &Ports,
    gateways: &[usize],
    runs: &Mutex<Vec<Run>>,
) -> i32 {
    let sent: Sent = Arc::default();
    let mut worst = Duration::ZERO;

    for change in 0..CHANGES {
        let front = |n: &usize| SocketAddr::new(machine(*n), ports.caller);
        let before: Vec<Option<u16>> =
            gateways.iter().map(|n| ask(front(n), change, &format!("b{change}-{n}"))).collect();

        if change == 0 && before.iter().any(|status| *status != Some(200)) {
            return record
                .end(2, &format!("the case did not run: before, answers were {before:?}"));
        }

        put_config(store, change + 1);
        let acknowledged = Instant::now();
        record.line(&format!("key {change} is taken away and key {} is added", change + 1));
        let mut number = 0;

        while acknowledged.elapsed() < WATCHED {
            for gateway in gateways {
                let id = format!("r{change}-{gateway}-{number:03}");
                let at = Instant::now();
                sent.lock().expect("not poisoned").insert(id.clone(), at);
                let status = ask(front(gateway), change, &id);

                if status == Some(200) {
                    worst = worst.max(at - acknowledged);
                }
            }

            number += 1;
            std::thread::sleep(PAUSE);
        }

        let tenant = format!("tenant-{change}");
        let sent = sent.lock().expect("not poisoned");
        let runs = runs.lock().expect("not poisoned");
        let of_key = runs.iter().filter(|run| run.tenant == tenant);
        let late = |run: &&Run| {
            sent.get(&run.id).is_some_and(|at| at.saturating_duration_since(acknowledged) > BOUND)
        };
        let late: Vec<&Run> = of_key.filter(late).collect();

        for gateway in gateways {
            let prefix = format!("r{change}-{gateway}-");
            let last = runs.iter().filter(|run| run.id.starts_with(&prefix)).filter_map(|run| {
                sent.get(&run.id).map(|at| at.saturating_duration_since(acknowledged))
            });
            let last = last.max().unwrap_or_default().as_secs_f64();
            record.line(&format!(
                "gateway {gateway}: the last request with it that ran was sent {last:.1} s later"
            ));
        }

        if let Some(first) = late.first() {
            let at = sent[&first.id] - acknowledged;
            let text = format!(
                "CONFIG broken: {} requests ran with key {change}, sent more than {:.1} s after \
                 the store took the configuration without it; the first, {}, {:.1} s after it",
                late.len(),
                BOUND.as_secs_f64(),
                first.id,
                at.as_secs_f64()
            );
            return record.end(1, &text);
        }
    }

    let worst = worst.as_secs_f64();
    record.end(
        0,
        &format!("held: the last request with a key taken away was sent {worst:.1} s later"),
    )
}

/// Sends a request with a key; returns the status.
fn ask(gateway: SocketAddr, key: usize, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!(
        "GET /join/x HTTP/1.1\r\nHost: bridge.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1500\r\nAuthorization: Bearer key{key}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;

    read_message(&mut stream)?.second().parse().ok()
}

fn ports(machines: usize) -> Ports {
    let mut addresses: Vec<IpAddr> = (0..machines).map(machine).collect();
    addresses.extend((0..RUNNERS).map(runner));
    let mut found = Vec::new();

    while found.len() < 7 {
        let port = free_port(&addresses);

        if !found.contains(&port) {
            found.push(port);
        }
    }

    Ports {
        caller: found[0],
        ready: found[1],
        peer: found[2],
        group: found[3],
        metrics: found[4],
        store: found[5],
        app: found[6],
    }
}

fn start_gateway(root: &Path, folder: &Path, ports: &Ports, number: usize) -> Process {
    let seeds: Vec<String> = (0..3).map(|n| format!("\"{}:{}\"", machine(n), ports.peer)).collect();
    let hall = HALLS[number % GATEWAYS];
    let settings = format!(
        "{{\"name\":\"edge-{number}\",\"hall\":\"{hall}\",\"caller_address\":\"{0}:{1}\",\
         \"ready_address\":\"{0}:{2}\",\"peer_address\":\"{0}:{3}\",\"ip\":\"{0}\",\
         \"group_port\":{4},\"metrics_address\":\"{0}:{5}\",\"seed_peers\":[{6}],\
         \"store_address\":\"{0}:{7}\",\"stop_limit_ms\":8000,\"leaving_ms\":2000,\
         \"catch_up_ms\":3000,\"engine_stall_ms\":1500,\"memory_mb\":260,\"link_mbps\":1000.0,\
         \"retry\":{{\"ratio\":0.2,\"window_s\":10,\"allowance\":90}}}}",
        machine(number),
        ports.caller,
        ports.ready,
        ports.peer,
        ports.group,
        ports.metrics,
        seeds.join(","),
        ports.store
    );

    Process::start(root, folder, "gateway", &format!("edge-{number}"), &settings)
}

/// Waits until the gateways' rows are in the store.
fn wait_published(store: &Store, numbers: &[usize]) -> bool {
    let until = Instant::now() + Duration::from_secs(8);

    while Instant::now() < until {
        if numbers.iter().all(|n| store.has("gateways", &format!("edge-{n}"))) {
            return true;
        }

        std::thread::sleep(Duration::from_millis(10));
    }

    false
}

fn start_runners(store: &Store, ports: &Ports, runs: &Arc<Mutex<Vec<Run>>>) {
    for number in 0..RUNNERS {
        let address = SocketAddr::new(runner(number), ports.app);
        let runs = runs.clone();
        review_standins::http::serve(address, move |mut stream| {
            while let Some(request) = read_message(&mut stream) {
                let id = request.header("attempt-id").unwrap_or_default().to_string();
                let tenant = request.header("tenant").unwrap_or_default().to_string();
                let extra = format!("Attempt-Id: {id}\r\nResponse-Signature: s-{id}\r\n");
                runs.lock().expect("not poisoned").push(Run { tenant, id });

                if !answer(&mut stream, 200, &extra, "{}") {
                    return;
                }
            }
        });
        let entry = format!(
            "{{\"service\":\"bridge\",\"address\":\"{address}\",\"zone\":\"burnaby-hall\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1}}"
        );
        store.put("servers", &format!("i-{number:02}"), &entry);
    }
}

/// Puts the configuration in which one key is valid.
fn put_config(store: &Store, key: usize) {
    let config = format!(
        "{{\"version\":{},\"routes\":[{{\"name\":\"r\",\"host\":\"bridge.example\",\
         \"path_prefix\":\"/join/\",\"kind\":\"safe\",\"timeout_ms\":800,\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"bridge\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"bridge\",\"health_check\":\"/health\",\
         \"max_connections\":100}}],\"tenants\":[{{\"name\":\"tenant-{key}\",\
         \"api_keys\":[\"key{key}\"]}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        3 + key * 2
    );
    store.put("op", "config", &config);
}
