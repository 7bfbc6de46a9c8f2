//! Case: a stream that its runner's crash cut short looks complete to its client.
//!
//! One gateway stands before six runners, whose answers have no length and end with their
//! connection (`garble`, how unframed). While a runner answers, the gateway's machine stands still
//! for 1.5 s (`node_freeze`); meanwhile the runner crashes and a new one starts at its address
//! (`srv_crash`).
//!
//! Exits with 1 if a client gets a stream that ends as complete before its last event, 0 if none
//! does, 2 if the case did not come about.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use review_standins::clients::wait_ready;
use review_standins::http::read_head;
use review_standins::process::{Process, free_port, note_id};
use review_standins::record::Record;
use review_standins::store::Store;

const EVENTS: u64 = 28;
const PAUSE_MS: u64 = 60;
const RUNNERS: usize = 6;
/// How often the disruption comes.
const ROUNDS: usize = 3;
/// When the gateway's machine stands still, after the request was sent, and for how long.
const FROZEN_AT: Duration = Duration::from_millis(600);
const FROZEN_FOR: Duration = Duration::from_millis(1500);
/// When the runner crashes after that, and when the new one starts.
const CRASH_AFTER: Duration = Duration::from_millis(200);
const START_AFTER: Duration = Duration::from_millis(700);

struct Runner {
    id: String,
    child: Child,
}

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let with_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let [root, folder, record] = [1, 2, 3].map(|at| Path::new(&arguments[at]));

    std::process::exit(run(root, folder, record, with_trouble));
}

fn machine(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 3, number))
}

fn run(root: &Path, folder: &Path, record: &Path, with_trouble: bool) -> i32 {
    let record = Record::create(record);
    record.line(if with_trouble { "with the disruption" } else { "without it" });
    let addresses: Vec<IpAddr> = (1..=1 + RUNNERS as u8).map(machine).collect();
    let mut ports = Vec::new();

    while ports.len() < 7 {
        let port = free_port(&addresses);

        if !ports.contains(&port) {
            ports.push(port);
        }
    }

    let store = Store::default();
    put_config(&store);
    store.serve(SocketAddr::new(machine(1), ports[0]));
    let address = |number: usize| SocketAddr::new(machine(2 + number as u8), ports[6]);
    let mut runners: Vec<Runner> = (0..RUNNERS)
        .map(|number| start_runner(root, folder, &store, address(number), format!("i-{number}a")))
        .collect();
    let settings = format!(
        "{{\"name\":\"edge-1\",\"hall\":\"burnaby-hall\",\"caller_address\":\"{0}:{1}\",\
         \"ready_address\":\"{0}:{2}\",\"peer_address\":\"{0}:{3}\",\"ip\":\"{0}\",\
         \"group_port\":{4},\"metrics_address\":\"{0}:{5}\",\"seed_peers\":[\"{0}:{3}\"],\
         \"store_address\":\"{0}:{6}\",\"stop_limit_ms\":8000,\"leaving_ms\":2000,\
         \"catch_up_ms\":3000,\"engine_stall_ms\":1500,\"memory_mb\":260,\"link_mbps\":1000.0,\
         \"retry\":{{\"ratio\":0.2,\"window_s\":10,\"allowance\":90}}}}",
        machine(1),
        ports[1],
        ports[2],
        ports[3],
        ports[4],
        ports[5],
        ports[0]
    );
    let gateway = Process::start(root, folder, "gateway", "edge-1", &settings);
    let front = SocketAddr::new(machine(1), ports[1]);
    let ready = SocketAddr::new(machine(1), ports[2]);

    if !wait_ready(&[ready], Duration::from_secs(10), &record) {
        return record.end(2, "the case did not run: the gateway is not ready");
    }

    let mut cut = 0;

    for round in 0..ROUNDS {
        let (answering, answers) = mpsc::channel();
        let client = std::thread::spawn(move || ask(front, round, &answering));
        std::thread::sleep(FROZEN_AT);

        if with_trouble {
            let began = Instant::now();
            gateway.signal("STOP");
            record.line(&format!("round {round}: the gateway's machine stands still"));
            std::thread::sleep(CRASH_AFTER);

            let signature: String = answers.try_recv().unwrap_or_default();
            let answering = runners.iter().position(|r| signature == format!("s-{}", r.id));
            let Some(number) = answering else {
                gateway.signal("CONT");
                return record.end(2, "the case did not run: no runner was answering");
            };
            let runner = &mut runners[number];
            let _ = runner.child.kill();
            let _ = runner.child.wait();
            store.remove("servers", &runner.id);
            record.line(&format!("round {round}: runner {}, which answers, crashes", runner.id));
            std::thread::sleep(START_AFTER - CRASH_AFTER);
            let id = format!("i-{number}{}", (b'b' + round as u8) as char);
            record.line(&format!("round {round}: runner {id} starts at its address"));
            *runner = start_runner(root, folder, &store, address(number), id);
            std::thread::sleep(FROZEN_FOR.saturating_sub(began.elapsed()));
            gateway.signal("CONT");
            record.line(&format!("round {round}: the gateway's machine goes on"));
        }

        let (status, ids, is_whole) = client.join().expect("the client has ended");
        let ids_text = match (ids.first(), ids.last()) {
            (Some(first), Some(last)) => format!("{} events, {first} to {last}", ids.len()),
            _ => "no event".to_string(),
        };
        let end = if is_whole { "ends as complete" } else { "is cut or silent" };
        record.line(&format!("round {round}: the client gets {status:?}, {ids_text}; it {end}"));
        let is_right = ids == (1..=EVENTS).collect::<Vec<u64>>();

        if status == Some(200) && is_whole && !is_right {
            cut += 1;
        }

        if !with_trouble && !(is_whole && is_right) {
            return record.end(2, "the case did not run: a stream without trouble is not whole");
        }

        std::thread::sleep(Duration::from_secs(2));
    }

    if cut > 0 {
        let text = format!(
            "ORDER broken: {cut} of {ROUNDS} streams end as complete before event {EVENTS}"
        );
        return record.end(1, &text);
    }

    record.end(0, &format!("held: none of {ROUNDS} streams ends as complete before its last event"))
}

/// Sends a request; returns the status, the ids of the events, and whether the stream ended as
/// complete.
fn ask(
    gateway: SocketAddr,
    round: usize,
    answering: &mpsc::Sender<String>,
) -> (Option<u16>, Vec<u64>, bool) {
    let mut ids = Vec::new();
    let Ok(mut stream) = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)) else {
        return (None, ids, false);
    };
    // Clients leave a stream after a gap of two seconds.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let request = format!(
        "POST /notes/live HTTP/1.1\r\nHost: notes.example\r\nAttempt-Id: a{round}\r\nModel: m\r\n\
         Token-Usage: 640,140\r\nPrompt-Prefix: 5c1e07a2:40,{round:08x}:600\r\n\
         Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\ntext"
    );

    if stream.write_all(request.as_bytes()).is_err() {
        return (None, ids, false);
    }

    let Some(head) = read_head(&mut stream) else {
        return (None, ids, false);
    };
    let status = head.second().parse().ok();
    let _ = answering.send(head.header("response-signature").unwrap_or_default().to_string());
    let is_chunked = head.header("transfer-encoding") == Some("chunked");
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    let mut is_closed = false;

    loop {
        match stream.read(&mut part) {
            Ok(0) => {
                is_closed = true;
                break;
            }
            Ok(length) => bytes.extend_from_slice(&part[..length]),
            Err(_) => break,
        }

        if is_chunked && bytes.ends_with(b"0\r\n\r\n") {
            break;
        }
    }

    let text = String::from_utf8_lossy(&bytes).to_string();
    let id = |line: &str| line.strip_prefix("id: ").and_then(|id| id.trim().parse::<u64>().ok());
    ids.extend(text.lines().filter_map(id));
    let is_whole = if is_chunked { text.ends_with("0\r\n\r\n") } else { is_closed };

    (status, ids, is_whole)
}

fn start_runner(
    root: &Path,
    folder: &Path,
    store: &Store,
    address: SocketAddr,
    id: String,
) -> Runner {
    let child = Command::new(root.join("target/review/release/runner"))
        .args([address.to_string(), id.clone(), EVENTS.to_string(), PAUSE_MS.to_string()])
        .stdin(Stdio::null())
        .spawn()
        .expect("the stand-in was built");
    note_id(folder, child.id());
    let entry = format!(
        "{{\"service\":\"notes\",\"address\":\"{address}\",\"zone\":\"burnaby-hall\",\
         \"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"sequence\":1}}"
    );
    store.put("servers", &id, &entry);
    // Until it listens.
    let until = Instant::now() + Duration::from_secs(5);

    while TcpStream::connect(address).is_err() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(2));
    }

    Runner { id, child }
}

fn put_config(store: &Store) {
    let config = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"notes.example\",\
         \"path_prefix\":\"/notes/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":400,\"priority\":1,\"service\":\"notes\",\"max_attempts\":2,\
         \"stream_resume\":true,\"gap_aim_ms\":120}],\"services\":[{\"name\":\"notes\",\
         \"health_check\":\"/health\",\"max_connections\":348}],\"tenants\":[],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    store.put("op", "config", config);
}
