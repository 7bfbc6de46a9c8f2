//! Many versions of the configuration in a row, and the memory of the gateways that follow them.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use standins_2::client::{Call, Clients};
use standins_2::process::{Folder, Gateway, could_not_run, free_port, has_trouble, network};
use standins_2::record::Record;
use standins_2::runner::Runner;
use standins_2::store::Store;

/// Memory of an `edge` machine of cedarline-hq; the platform kills a process that goes over it.
const MEMORY_MB: f64 = 260.0;
/// Ends by themselves on a machine that the rule counts (`Fault`).
const ENDS: usize = 3;
/// `big_config`, `count = 350`: as many routes more, each time.
const BIG_CONFIG: usize = 350;
/// How often the configuration grows by many routes.
const BIG_CONFIGS: usize = 7;
/// Routes at the start, as on cedarline-hq (`idle_routes`).
const IDLE_ROUTES: usize = 110;
/// `config_storm`, `for_s = 1.5, gap_s = 0.06`, the densest of cedarline-hq.
const STORM: Duration = Duration::from_millis(1500);
const GAP: Duration = Duration::from_millis(60);
/// Pause between two storms.
const PAUSE: Duration = Duration::from_millis(250);
/// How long the platform waits before it starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(105);
const GATEWAYS: usize = 2;
const CLIENTS: usize = 4;

fn config(version: u64, routes: usize, changed: usize) -> String {
    let used = [("plain", "/cufi504/", "safe", 2), ("write", "/puxa403/", "unsafe", 1)]
        .map(|(name, prefix, kind, attempts)| route(name, prefix, kind, attempts, 800));
    let idle = (0..routes).map(|at| {
        let timeout = if at == changed { 801 + version % 100 } else { 800 };
        route(&format!("r-{at:07}"), &format!("/i{at:06}/"), "unsafe", 1, timeout)
    });
    let routes: Vec<String> = used.into_iter().chain(idle).collect();
    let tenants: Vec<String> = (0..10)
        .map(|at| {
            let key = format!("key{at:017}");
            format!(r#"{{"name":"tenant{at:03}","api_keys":["{key}"],"priority":1}}"#)
        })
        .collect();

    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"wuno96b","health_check":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        tenants.join(",")
    )
}

fn route(name: &str, prefix: &str, kind: &str, attempts: u32, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":100,"priority":2,"service":"wuno96b","max_attempts":{attempts},"public":false,"session_affinity":false,"stream_resume":false}}"#
    )
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

fn play(record: &Record) -> std::io::Result<bool> {
    let net = network();
    let folder = Folder::create()?;
    let store = Store::start(&format!("{net}.1"))?;
    let mut version = 3;
    store.put("op", "config", &config(version, IDLE_ROUTES, 0));
    let work = Duration::from_millis(15);
    let mut runners = Vec::new();

    for at in 0..3 {
        let runner =
            Runner::start(&format!("{net}.{}", 20 + at), &format!("i-{at}"), work, record)?;
        store.put("servers", &runner.id, &runner.entry("wuno96b", "burnaby-hall"));
        runners.push(runner);
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

    for gateway in &mut gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Err(std::io::Error::other("a gateway is not ready"));
        }
    }

    let clients = Clients::default();
    let mut threads = Vec::new();

    for at in 0..CLIENTS {
        let call = Call {
            method: if at % 2 == 0 { "GET" } else { "POST" },
            path: if at % 2 == 0 { "/cufi504/2f" } else { "/puxa403/2f" }.to_string(),
            host: "ficu95.example".to_string(),
            key: format!("key{at:017}"),
            deadline: Duration::from_millis(1500),
            headers: String::new(),
        };
        let front = gateways[at % GATEWAYS].front;
        let period = Duration::from_millis(100);
        threads.push(clients.start(format!("c{at}-"), front, call, period, record));
    }

    // The platform: kills a process that goes over its memory and starts it again.
    let began = Instant::now();
    let ends = Arc::new(Mutex::new(vec![0; GATEWAYS]));
    let is_over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let watch = {
        let (ends, is_over, record) = (ends.clone(), is_over.clone(), record.clone());

        std::thread::spawn(move || {
            let mut down: Vec<Option<Instant>> = vec![None; GATEWAYS];
            let mut peaks = vec![0.0_f64; GATEWAYS];
            let mut shown = Instant::now();

            while !is_over.load(std::sync::atomic::Ordering::SeqCst) {
                for (at, gateway) in gateways.iter_mut().enumerate() {
                    if let Some(since) = down[at] {
                        if since.elapsed() >= RESTART {
                            let _ = gateway.start();
                            down[at] = None;
                            record.show(&format!("{} starts again", gateway.name));
                        }

                        continue;
                    }

                    let held = gateway.memory_mb();
                    peaks[at] = peaks[at].max(held);
                    let has_ended = gateway.has_ended();

                    if held > MEMORY_MB || has_ended {
                        gateway.kill();
                        ends.lock().expect("no panic")[at] += 1;
                        down[at] = Some(Instant::now());
                        record.show(&format!(
                            "{} holds {held:.0} MB of {MEMORY_MB} and is killed{}",
                            gateway.name,
                            if has_ended { " (it had ended by itself)" } else { "" }
                        ));
                    }
                }

                if shown.elapsed() > Duration::from_secs(5) {
                    shown = Instant::now();
                    let held: Vec<String> =
                        gateways.iter().map(|g| format!("{:.0} MB", g.memory_mb())).collect();
                    record.show(&format!("gateways hold {}", held.join(", ")));
                }

                std::thread::sleep(Duration::from_millis(50));
            }

            record.show(&format!("most that a gateway held: {peaks:.0?} MB"));
        })
    };

    // The operator: the configuration grows by many routes, then changes in storms.
    let mut routes = IDLE_ROUTES;
    std::thread::sleep(Duration::from_secs(2));

    for _ in 0..BIG_CONFIGS {
        routes += BIG_CONFIG;
        version += 3;
        let text = config(version, routes, 0);
        record.show(&format!("version {version}: {routes} idle routes, {} bytes", text.len()));
        store.put("op", "config", &text);
        std::thread::sleep(Duration::from_secs(1));
    }

    let all_ended = || ends.lock().expect("no panic").iter().all(|ends| *ends >= ENDS);
    let mut changes = 0;

    while began.elapsed() < LIMIT && !all_ended() {
        let storm = Instant::now();

        while has_trouble() && storm.elapsed() < STORM {
            let next = Instant::now() + GAP;
            version += 2;
            changes += 1;
            store.put("op", "config", &config(version, routes, changes % routes));
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }

        if !has_trouble() {
            std::thread::sleep(STORM);
        }

        std::thread::sleep(PAUSE);
    }

    is_over.store(true, std::sync::atomic::Ordering::SeqCst);
    watch.join().expect("no panic of the platform");
    clients.stop();
    threads.into_iter().for_each(|thread| thread.join().expect("no panic of a client"));

    let ended = clients.ended();
    let lost = ended.iter().filter(|ended| ended.status.is_none()).count();
    let ends = ends.lock().expect("no panic").clone();
    record.show(&format!(
        "{changes} changes in storms; {} requests, {lost} without an answer",
        ended.len()
    ));
    record.show(&format!("processes that ended by themselves, by machine: {ends:?}"));
    let machines = ends.iter().filter(|ends| **ends >= ENDS).count();
    let is_broken = machines >= 2;
    record.show(if is_broken { "rule Fault: broken" } else { "rule Fault: held" });

    Ok(is_broken)
}
