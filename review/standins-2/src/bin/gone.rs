//! The store leaves one call without an answer just after a runner's entry has gone.

use std::path::Path;
use std::time::{Duration, Instant};

use standins_2::client::{Call, Clients};
use standins_2::process::{Folder, Gateway, could_not_run, free_port, has_trouble, network};
use standins_2::record::Record;
use standins_2::runner::Runner;
use standins_2::store::Store;

/// Bounds of cedarline-hq.
const DRAIN: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);
/// From the entry's end to the silence of the store, and how long that lasts.
const SILENT_AFTER: Duration = Duration::from_millis(100);
const SILENT_FOR: Duration = Duration::from_millis(500);
/// How long the runner serves on after its entry has gone.
const SERVES_ON: Duration = Duration::from_millis(4600);
const CLIENTS: usize = 12;
const WORK: Duration = Duration::from_millis(60);

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":{attempts},"public":false,"session_affinity":false,"stream_resume":false}}"#
        )
    };

    format!(
        r#"{{"version":3,"routes":[{},{}],"services":[{{"name":"wuno96b","health_check":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#,
        route("r-fi6y7z5", "/cufi504/", "safe", 2),
        route("r-2yhvz3p", "/puxa403/", "unsafe", 1)
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

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn play(record: &Record) -> std::io::Result<bool> {
    let net = network();
    let folder = Folder::create()?;
    let store = Store::start(&format!("{net}.1"))?;
    store.put("op", "config", &config());
    let start =
        |at: u32| Runner::start(&format!("{net}.{}", 20 + at), &format!("i-{at}"), WORK, record);
    let list = |runner: &Runner| {
        store.put("servers", &runner.id, &runner.entry("wuno96b", "burnaby-hall"))
    };
    let runners = [start(0)?, start(1)?, start(2)?];
    runners.iter().for_each(|runner| _ = list(runner));

    let ip = format!("{net}.10");
    let group_port = free_port(&ip)?;
    let seeds = [format!("{ip}:{}", free_port(&ip)?).parse().expect("an address")];
    let mut gateway =
        Gateway::create(&ip, "edge-burnaby-hall-1", group_port, store.address, &seeds, &folder.0)?;
    gateway.start()?;

    if !gateway.wait_ready(Duration::from_secs(15)) {
        return Err(std::io::Error::other("the gateway is not ready"));
    }

    let clients = Clients::default();
    let mut threads = Vec::new();

    for at in 0..CLIENTS {
        let call = Call {
            method: if at % 2 == 0 { "GET" } else { "POST" },
            path: if at % 2 == 0 { "/cufi504/2f" } else { "/puxa403/2f" }.to_string(),
            host: "ficu95.example".to_string(),
            key: "n2ctnfzs989anu6wsjnb".to_string(),
            deadline: Duration::from_millis(1500),
            headers: String::new(),
        };
        let (name, period) = (format!("c{at}-"), Duration::from_millis(80));
        threads.push(clients.start(name, gateway.front, call, period, record));
    }

    // Longer than `contact_ms` without any trouble.
    std::thread::sleep(CONTACT + Duration::from_secs(2));

    // A release: the new runner starts first, and then the entry of the old one goes.
    let (old, new) = (&runners[0], start(3)?);
    list(&new);
    record.show(&format!("runner {} is listed", new.id));
    let until = Instant::now() + Duration::from_secs(3);

    // The gateway has read that, and reads the list again in half a second.
    while store.fed_at().is_none_or(|at| at.elapsed() > Duration::from_millis(50)) {
        if Instant::now() > until {
            return Err(std::io::Error::other("the gateway does not follow the list"));
        }

        std::thread::sleep(Duration::from_millis(1));
    }

    std::thread::sleep(Duration::from_millis(100));
    let gone = store.remove("servers", &old.id);
    record.show(&format!("the entry of runner {} has gone: acknowledged", old.id));
    let silent = (gone + SILENT_AFTER, gone + SILENT_AFTER + SILENT_FOR);

    if has_trouble() {
        store.mute(silent.0, silent.1);
        sleep_until(silent.0);
        record.show("the store answers no call");
        sleep_until(silent.1);
        record.show(&format!("it answers again; {} calls got no answer", store.unanswered()));
    }

    sleep_until(gone + SERVES_ON);
    old.end();
    record.show(&format!("runner {} ends", old.id));
    sleep_until(gone + SERVES_ON + Duration::from_secs(2));
    clients.stop();
    threads.into_iter().for_each(|thread| thread.join().expect("no panic of a client"));

    for text in ["store lost", "store back", "target missing", "target removed"] {
        gateway.log_lines(text).iter().for_each(|line| record.line(&format!("gateway: {line}")));
    }

    // The rule: later than `drain_ms` after the acknowledgement, by a machine in touch: `contact_ms`
    // after the store was silent.
    let in_touch = if has_trouble() { silent.1 + CONTACT } else { gone };
    let late: Vec<f64> = old
        .arrivals()
        .iter()
        .filter(|arrival| arrival.at > gone + DRAIN && arrival.at > in_touch)
        .map(|arrival| (arrival.at - gone).as_secs_f64())
        .collect();
    let after_drain = old.arrivals().iter().filter(|a| a.at > gone + DRAIN).count();
    let ended = clients.ended();
    let cut = old.cut();
    let without = ended.iter().filter(|e| cut.contains(&e.id) && e.status != Some(200)).count();
    record.show(&format!(
        "runner {} got {after_drain} requests later than {DRAIN:?} after its entry had gone",
        old.id
    ));
    record.show(&format!(
        "of these, from a machine in touch: {}, the last one {:.2} s after it",
        late.len(),
        late.last().copied().unwrap_or(0.0)
    ));
    record.show(&format!(
        "{} requests, {} at work as the runner ended, {without} of them not answered with 200",
        ended.len(),
        cut.len()
    ));
    record.show(if late.is_empty() { "rule DRAIN: held" } else { "rule DRAIN: broken" });

    Ok(!late.is_empty())
}
