//! The processes beside two ranks are killed, while an order to arm gets no answer and is carried
//! out late.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use standins_2::engine::{EXPERTS, Group, SETS};
use standins_2::process::{Folder, RankProcess, could_not_run, free_port, has_trouble, network};
use standins_2::record::Record;
use standins_2::store::Store;

/// Ranks of the group, as on cedarline-hq.
const RANKS: usize = 16;
/// The rank whose process is killed first.
const AWAY: usize = 5;
/// `node_kill`, `for_s = 3.5`: how long a process is away.
const DOWN: Duration = Duration::from_millis(3500);
/// `applied_late`: orders are carried out 2 to 12 s later.
const LATE: Duration = Duration::from_millis(9000);
/// Most orders to arm that are late.
const LATE_ARMS: usize = 6;
/// From the first of them until the second process is killed.
const KILL_AFTER: Duration = Duration::from_millis(250);
/// Pause in the clients' requests, from the second kill.
const LULL: Duration = Duration::from_millis(11_000);
/// Longest time until a map changes.
const LIMIT: Duration = Duration::from_secs(25);

fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-2yhvz3p","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"gap_aim_ms":120}}],"services":[{{"name":"huvo11a","health_check":"/health","max_connections":348,"protocol":"h1","tls":false,"engine":{{"slots":12,"kv_capacity_tokens":372000,"kv_token_bytes":96256,"link_mbps":180000.0,"stride":5,"models":[{{"name":"m"}}],"step_ms":5.85,"per_seq_ms":0.355,"context_per_k":0.036,"read_per_s":61200.0,"pairs_per_m":0.325,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":835,"answer":139}},"sets":{SETS},"experts":{EXPERTS},"places":5,"spare":2,"expert_mb":880.0,"expert_share":0.85,"form_ms":600.0}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
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

fn until(what: &str, limit: Duration, holds: impl Fn() -> bool) -> std::io::Result<()> {
    let end = Instant::now() + limit;

    while !holds() {
        if Instant::now() > end {
            return Err(std::io::Error::other(format!("not in time: {what}")));
        }

        std::thread::sleep(Duration::from_millis(2));
    }

    Ok(())
}

/// Whether clients send requests at present; each rank gets one after the other.
struct Traffic {
    is_on: Arc<AtomicBool>,
}

impl Traffic {
    fn start(group: &Group, record: &Record) -> Self {
        let is_on = Arc::new(AtomicBool::new(true));

        for rank in 0..RANKS {
            let (is_on, group, record) = (is_on.clone(), group.clone(), record.clone());

            std::thread::spawn(move || {
                for number in 0.. {
                    while !is_on.load(Ordering::SeqCst) {
                        std::thread::sleep(Duration::from_millis(5));
                    }

                    let is_whole = group.request(rank, 28);
                    let end = if is_whole { "complete" } else { "left after a gap of 2 s" };
                    record.line(&format!("request {rank}-{number} at rank {rank}: {end}"));
                }
            });
        }

        Traffic { is_on }
    }

    fn set(&self, is_on: bool) {
        self.is_on.store(is_on, Ordering::SeqCst);
    }
}

fn play(record: &Record) -> std::io::Result<bool> {
    let net = network();
    let folder = Folder::create()?;
    let store = Store::start(&format!("{net}.1"))?;
    store.put("op", "config", &config());
    let ips: Vec<String> = (0..RANKS).map(|at| format!("{net}.{}", 100 + at)).collect();
    let group = Group::start(&ips, record)?;
    let group_port = free_port(&ips[0])?;
    let mut processes = Vec::new();

    for (at, (ip, address)) in ips.iter().zip(&group.addresses).enumerate() {
        let entry = format!(
            r#"{{"service":"huvo11a","address":"{address}","zone":"burnaby-hall","version":"v1","slots":12,"state":"ready","cold_remaining_ms":0,"stage":"dual","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":4}}"#
        );
        store.put("servers", &format!("i-{at}"), &entry);
        let name = format!("side-burnaby-hall-{}", at + 1);
        let mut process =
            RankProcess::create(ip, &name, *address, group_port, store.address, &folder.0)?;
        process.start()?;
        processes.push(process);
    }

    let traffic = Traffic::start(&group, record);
    let changes = group.changes();
    until("a first change of the map", LIMIT, || group.changes() > changes)?;
    std::thread::sleep(Duration::from_secs(2));

    if has_trouble() {
        record.show(&format!("the process beside rank {AWAY} is killed"));
        processes[AWAY].kill();
    }

    let away_at = Instant::now();
    std::thread::sleep(Duration::from_millis(900));
    let changes = group.changes();
    let orders_before = group.orders().0;

    if has_trouble() {
        group.make_arms_late(AWAY, LATE_ARMS, LATE);
    }

    record.show("other experts are in demand");
    group.shift();

    if !has_trouble() {
        until("a change of the map", LIMIT, || group.changes() > changes)?;
        record.show("no requests for a while");
        traffic.set(false);
        std::thread::sleep(LULL);
        traffic.set(true);
        std::thread::sleep(Duration::from_secs(4));
        group.stop();
        return Ok(finish(record, &group));
    }

    until("an order to arm that is late", Duration::from_secs(3), || group.first_late().is_some())?;
    std::thread::sleep(KILL_AFTER);
    record.line(&group.describe());
    let holder = group.holder().ok_or(std::io::Error::other("no rank holds a pass"))?;
    record.show(&format!("the process beside rank {holder}, which holds a pass, is killed"));
    processes[holder].kill();
    let killed_at = Instant::now();
    group.make_arms_late(AWAY, 0, LATE);
    let (orders, late) = group.orders();
    record.show(&format!(
        "since the experts in demand changed {} orders came, and {late} of them got no answer",
        orders - orders_before
    ));
    record.show("no requests for a while; those in progress are left by their clients");
    traffic.set(false);

    let mut due = [(away_at + DOWN, AWAY), (killed_at + DOWN, holder)];
    due.sort();

    for (at, rank) in due {
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        processes[rank].start()?;
        record.show(&format!("the process beside rank {rank} starts again"));
    }

    std::thread::sleep((killed_at + LULL).saturating_duration_since(Instant::now()));
    record.line(&group.describe());
    record.show("requests come again");
    traffic.set(true);
    std::thread::sleep(Duration::from_secs(3));
    record.line(&group.describe());
    group.stop();

    Ok(finish(record, &group))
}

fn finish(record: &Record, group: &Group) -> bool {
    let (orders, late) = group.orders();
    let broken = group.broken();
    record.show(&format!("{orders} orders, {late} of them late; {} map changes", group.changes()));
    record.show(&format!("passes that began with different maps: {}", broken.len()));
    record.show(if broken.is_empty() { "rule MAP: held" } else { "rule MAP: broken" });

    !broken.is_empty()
}
