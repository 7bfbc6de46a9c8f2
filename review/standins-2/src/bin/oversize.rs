//! A client sends requests that are larger than a runner's memory.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use standins_2::client::{Call, Clients, exchange};
use standins_2::process::{Folder, Gateway, could_not_run, free_port, has_trouble, network};
use standins_2::record::Record;
use standins_2::runner::Runner;
use standins_2::store::Store;

const GATEWAYS: usize = 4;
const RUNNERS: usize = 16;
const CLIENTS: usize = 24;
/// `recover_s` of cedarline-hq.
const RECOVER: Duration = Duration::from_secs(12);
/// How long requests count after that.
const COUNTED: Duration = Duration::from_secs(12);
/// How long all gateways are down (`closing`, `kill_all`).
const DOWN: Duration = Duration::from_millis(1100);
/// Tokens of the large requests; a runner's memory holds 372,000.
const LARGE: u64 = 1_000_000;
/// Pause between two of them.
const PERIOD: Duration = Duration::from_secs(4);

fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-2yhvz3p","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"gap_aim_ms":120}}],"services":[{{"name":"huvo11a","health_check":"/health","max_connections":348,"protocol":"h1","tls":false,"engine":{{"slots":12,"kv_capacity_tokens":372000,"kv_token_bytes":96256,"link_mbps":180000.0,"stride":5,"models":[{{"name":"m"}}],"step_ms":5.85,"per_seq_ms":0.355,"context_per_k":0.036,"read_per_s":61200.0,"pairs_per_m":0.325,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":835,"answer":139}},"sets":4,"experts":64,"places":5,"spare":2,"expert_mb":880.0,"expert_share":0.85,"form_ms":600.0}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}},{{"name":"rado114","api_keys":["anfqasnmgkcuyj8pjbvk"],"priority":1}}]}}"#
    )
}

fn call(key: &str, prompt: u64) -> Call {
    Call {
        method: "POST",
        path: "/lohu930/2f".to_string(),
        host: "ficu95.example".to_string(),
        key: key.to_string(),
        deadline: Duration::from_millis(8000),
        headers: format!("Model: m\r\nToken-Usage: {prompt},80\r\n"),
    }
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

/// Share of the requests that ended between two moments with success.
fn served(clients: &Clients, from: usize, to: usize) -> (usize, usize) {
    let ended = clients.ended();
    let counted = &ended[from..to.min(ended.len())];

    (counted.iter().filter(|ended| ended.status == Some(200)).count(), counted.len())
}

fn wait_ready(gateways: &mut [Gateway]) -> std::io::Result<()> {
    match gateways.iter_mut().all(|gateway| gateway.wait_ready(Duration::from_secs(15))) {
        true => Ok(()),
        false => Err(std::io::Error::other("a gateway is not ready")),
    }
}

fn play(record: &Record) -> std::io::Result<bool> {
    let net = network();
    let folder = Folder::create()?;
    let store = Store::start(&format!("{net}.1"))?;
    store.put("op", "config", &config());
    let mut runners = Vec::new();

    for at in 0..RUNNERS {
        let ip = format!("{net}.{}", 20 + at);
        let runner = Runner::start(&ip, &format!("i-{at}"), Duration::from_millis(300), record)?;
        store.put("servers", &runner.id, &runner.entry("huvo11a", "burnaby-hall"));
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

    wait_ready(&mut gateways)?;
    let clients = Clients::default();
    let mut threads = Vec::new();

    for at in 0..CLIENTS {
        let front = gateways[at % GATEWAYS].front;
        let (name, period) = (format!("c{at:02}-"), Duration::from_millis(600));
        let call = call("n2ctnfzs989anu6wsjnb", 800);
        threads.push(clients.start(name, front, call, period, record));
    }

    std::thread::sleep(Duration::from_secs(8));
    let before = clients.ended().len();
    record.show("all gateways are killed");
    gateways.iter_mut().for_each(Gateway::kill);
    std::thread::sleep(DOWN);

    for gateway in &mut gateways {
        gateway.start()?;
    }

    wait_ready(&mut gateways)?;
    let back = Instant::now();
    record.show("all gateways are back");
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let large = {
        let (is_over, record) = (is_over.clone(), record.clone());
        let call = call("anfqasnmgkcuyj8pjbvk", LARGE);

        std::thread::spawn(move || {
            let mut front = fronts.iter().cycle();

            for number in 0.. {
                if is_over.load(Ordering::SeqCst) || !has_trouble() {
                    return;
                }

                let next = Instant::now() + PERIOD;

                // One retry, at another gateway, after a third of the time that is left.
                for attempt in 0..2 {
                    let id = format!("large-{number}-{attempt}");
                    record.line(&format!("client sends {id}: {LARGE} tokens"));
                    let to = *front.next().expect("there are gateways");
                    let status = exchange(&mut None, to, &call, &id);
                    record.show(&format!("client gets {id}: {status:?}"));
                    std::thread::sleep(Duration::from_millis(2000));
                }

                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        })
    };

    std::thread::sleep((back + RECOVER).saturating_duration_since(Instant::now()));
    let from = clients.ended().len();
    std::thread::sleep((back + RECOVER + COUNTED).saturating_duration_since(Instant::now()));
    let to = clients.ended().len();
    clients.stop();
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| thread.join().expect("no panic of a client"));
    large.join().expect("no panic of a client");

    let (served_before, all_before) = served(&clients, 0, before);
    let (served_after, all_after) = served(&clients, from, to);
    let rejected: usize = runners.iter().map(|runner| runner.too_large().len()).sum();
    record.show(&format!("before the kill {served_before} of {all_before} requests were served"));
    record.show(&format!("from 12 s after all were back {served_after} of {all_after}"));
    record.show(&format!("{rejected} requests were rejected by runners as too large"));
    let paced: usize = gateways.iter().map(|gateway| gateway.log_lines("\"paced\"").len()).sum();
    record.show(&format!("{paced} lines in the gateways' logs give `paced` as the reason"));
    let is_broken = served_before * 4 >= all_before && served_after * 4 < all_after;
    record.show(if is_broken { "rule RECOVER: broken" } else { "rule RECOVER: held" });

    Ok(is_broken)
}
