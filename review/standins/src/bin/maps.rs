//! Case: a group's pass begins while its ranks hold different maps.
//!
//! Sixteen rank processes stand beside sixteen engines of this program. Two of the processes are
//! killed, and again as they start (`node_kill`): first one beside any rank, then the one that
//! drives a change of the map, as it has just ordered the first rank's engine to arm. That order
//! gets no answer and is carried out late (`applied_late`).
//!
//! Exits with 1 if a pass began with different maps, 0 if none did, 2 if the case did not come
//! about.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use review_standins::http::{Message, answer, read_message};
use review_standins::process::{Process, free_port};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::text::{array, number, parts, word};

const RANKS: usize = 16;
const SETS: usize = 4;
const EXPERTS: usize = 64;
const PLACES: usize = 5;
/// Length of a pass: 5 steps, as beside a rank that is slow.
const PASS: Duration = Duration::from_millis(60);
const COPY: Duration = Duration::from_millis(40);
/// Age of a report that another machine gets.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// An order without an answer is carried out between these times after it arrived.
const LATE_FROM: Duration = Duration::from_secs(2);
const LATE_UNTIL: Duration = Duration::from_secs(12);
/// A killed process starts again after this time.
const RESTART: Duration = Duration::from_millis(500);
/// How long a process lives that is killed again as it starts.
const SHORT_LIFE: Duration = Duration::from_millis(3);
/// How long the process that drives the change is killed again and again after its order.
const KILLED_FOR: Duration = Duration::from_millis(1700);
/// The rank whose process is killed first.
const FIRST_KILLED: usize = 5;
const LIMIT: Duration = Duration::from_secs(70);

/// An engine. All of its state is the platform's.
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
    /// Reports as they stood, for other machines.
    reports: Vec<(Instant, String)>,
    late: Vec<(Instant, String)>,
}

struct Group {
    engines: Vec<Engine>,
    pass: u64,
    pass_at: Instant,
    /// The rank whose experts are in demand.
    wanted: usize,
    /// Whether orders to arm get no answer at the rank whose process was killed.
    is_late: bool,
    /// When such an order arrived first.
    late_at: Option<Instant>,
    /// Whether the held pass was let go after that.
    is_let_go: bool,
    /// Rank at which the last pass was held.
    holder: Option<usize>,
    broken: Option<String>,
    changes: u64,
}

struct World {
    group: Mutex<Group>,
    record: Record,
    processes: Mutex<Vec<Process>>,
    /// The rank whose process was killed as it drove a change of the map.
    killed: Mutex<Option<usize>>,
    with_trouble: bool,
}

impl World {
    fn lock(&self) -> MutexGuard<'_, Group> {
        self.group.lock().expect("no panic while the group is locked")
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (root, folder, record) =
        (Path::new(&arguments[1]), PathBuf::from(&arguments[2]), Path::new(&arguments[3]));
    let with_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");

    std::process::exit(run(root, &folder, record, with_trouble));
}

fn ip(rank: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 21 + rank as u8))
}

fn run(root: &Path, folder: &Path, record: &Path, with_trouble: bool) -> i32 {
    let addresses: Vec<IpAddr> = (0..RANKS).map(ip).collect();
    let (app, group_port, metrics) =
        (free_port(&addresses), free_port(&addresses), free_port(&addresses));
    let store_address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), free_port(&[IpAddr::V4(Ipv4Addr::LOCALHOST)]));
    let store = Store::default();
    put_rows(&store, app);
    store.serve(store_address);

    let first = Engine {
        content: initial_map(),
        counts: vec![0; SETS * EXPERTS],
        ..Engine::default()
    };
    let world = Arc::new(World {
        group: Mutex::new(Group {
            engines: vec![first; RANKS],
            pass: 0,
            pass_at: Instant::now(),
            wanted: 1,
            is_late: false,
            late_at: None,
            is_let_go: false,
            holder: None,
            broken: None,
            changes: 0,
        }),
        record: Record::create(record),
        processes: Mutex::default(),
        killed: Mutex::default(),
        with_trouble,
    });
    world.record.line(if with_trouble { "with the disruption" } else { "without the disruption" });

    for rank in 0..RANKS {
        let shared = world.clone();
        review_standins::http::serve(SocketAddr::new(ip(rank), app), move |stream| {
            serve_engine(&shared, rank, stream);
        });
    }

    let ticking = world.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(1));
            tick(&ticking);
        }
    });

    for rank in 0..RANKS {
        let settings = format!(
            "{{\"name\":\"side-{rank}\",\"hall\":\"burnaby-hall\",\"ip\":\"{0}\",\
             \"target_address\":\"{0}:{app}\",\"service\":\"notes\",\"group_port\":{group_port},\
             \"metrics_address\":\"{0}:{metrics}\",\"store_address\":\"{store_address}\"}}",
            ip(rank)
        );
        let process = Process::start(root, folder, "rank", &format!("side-{rank}"), &settings);
        world.processes.lock().expect("not poisoned").push(process);
    }

    let status = play(&world);
    world.processes.lock().expect("not poisoned").clear();
    status
}

/// Waits until `holds`, the limit passes or the rule is broken; returns whether it held.
fn wait(world: &World, limit: Duration, holds: impl Fn(&Group) -> bool) -> bool {
    let until = Instant::now() + limit;

    while Instant::now() < until {
        {
            let group = world.lock();

            if holds(&group) {
                return true;
            }

            if group.broken.is_some() {
                return false;
            }
        }

        std::thread::sleep(Duration::from_millis(5));
    }

    false
}

fn play(world: &Arc<World>) -> i32 {
    let began = Instant::now();

    if !wait(world, Duration::from_secs(20), |group| group.changes >= 2) {
        return end(world, Some("no map came into use"));
    }

    if world.with_trouble {
        world.record.line(&format!("the process beside rank {FIRST_KILLED} is killed"));
        keep_killed(world, FIRST_KILLED, |group| {
            group.is_let_go || group.late_at.is_some_and(|at| at.elapsed() > LATE_UNTIL)
        });
        world.lock().is_late = true;
        // Its silence has to show before the next change of the map.
        std::thread::sleep(Duration::from_millis(1000));
    }

    let changes = world.lock().changes;
    world.lock().wanted = 7;
    world.record.line("other experts are in demand");

    if !world.with_trouble {
        if !wait(world, Duration::from_secs(20), |group| group.changes > changes) {
            return end(world, Some("no map came into use"));
        }

        wait(world, Duration::from_secs(12), |_| false);
        return end(world, None);
    }

    if !wait(world, Duration::from_secs(5), |group| group.late_at.is_some()) {
        return end(world, Some("no order to arm came to the rank without its process"));
    }

    std::thread::sleep(Duration::from_millis(50));
    let killed = *world.killed.lock().expect("not poisoned");

    match killed {
        Some(holder) => keep_killed(world, holder, |group| {
            group.late_at.is_some_and(|at| at.elapsed() > KILLED_FOR)
        }),
        None => return end(world, Some("nobody was known to drive the change")),
    }

    let left = LIMIT.saturating_sub(began.elapsed());
    wait(world, left.min(Duration::from_secs(20)), |_| false);
    end(world, None)
}

fn end(world: &World, missing: Option<&str>) -> i32 {
    let group = world.lock();
    let (changes, pass) = (group.changes, group.pass);

    match (&group.broken, missing) {
        (Some(broken), _) => world.record.end(1, &format!("MAP broken: {broken}")),
        (None, Some(missing)) => world.record.end(2, &format!("the case did not run: {missing}")),
        (None, None) => world.record.end(
            0,
            &format!("held: {pass} passes and {changes} changes of the map, the same at all ranks"),
        ),
    }
}

/// Kills the process beside a rank, and again each time that it starts, until `is_over`.
fn keep_killed(
    world: &Arc<World>,
    rank: usize,
    is_over: impl Fn(&Group) -> bool + Send + 'static,
) {
    let world = world.clone();
    world.processes.lock().expect("not poisoned")[rank].kill();

    std::thread::spawn(move || {
        loop {
            std::thread::sleep(RESTART);
            let is_last = is_over(&world.lock());
            let mut processes = world.processes.lock().expect("not poisoned");
            let Some(process) = processes.get_mut(rank) else {
                return;
            };
            process.restart();

            if is_last {
                return world.record.line(&format!("the process beside rank {rank} is back"));
            }

            std::thread::sleep(SHORT_LIFE);
            process.kill();
            world.record.line(&format!("the process beside rank {rank} started and was killed"));
        }
    });
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

fn put_rows(store: &Store, app: u16) {
    let config = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r\",\"host\":\"notes.example\",\
         \"path_prefix\":\"/notes/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":400,\"priority\":1,\"service\":\"notes\",\"max_attempts\":2,\
         \"stream_resume\":true,\"gap_aim_ms\":120}}],\"services\":[{{\"name\":\"notes\",\
         \"health_check\":\"/health\",\"max_connections\":348,\"engine\":{{\"slots\":12,\
         \"step_ms\":5.85,\"read_per_s\":61200.0,\"stride\":5,\"sets\":{SETS},\
         \"experts\":{EXPERTS},\"places\":{PLACES},\"spare\":2,\"expert_mb\":880.0,\
         \"link_mbps\":180000.0,\"form_ms\":600.0,\"report_lag_ms\":200.0,\
         \"usual\":{{\"prompt\":800,\"answer\":100}}}}}}],\"tenants\":[],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    );
    store.put("op", "config", &config);

    for rank in 0..RANKS {
        let entry = format!(
            "{{\"service\":\"notes\",\"address\":\"{}:{app}\",\"zone\":\"burnaby-hall\",\
             \"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1}}",
            ip(rank)
        );
        store.put("servers", &format!("i-{rank:02}"), &entry);
    }
}

/// Lets time pass: copies end, late orders are carried out, and passes begin.
fn tick(world: &World) {
    let mut group = world.lock();
    let now = Instant::now();
    let (pass, size) = (group.pass, group.engines.len());

    for rank in 0..size {
        let engine = &mut group.engines[rank];

        if engine.copying.as_ref().is_some_and(|(.., at)| *at <= now)
            && let Some((version, content, _)) = engine.copying.take()
        {
            engine.prepared = Some((version, content));
        }

        // A late order is carried out by then at the latest.
        let is_due = |(at, _): &(Instant, String)| now >= *at + LATE_UNTIL;

        if engine.late.first().is_some_and(is_due) {
            let (_, order) = engine.late.remove(0);
            carry_out_late(world, &mut group, rank, &order, now);
        }

        let report = report(&group, rank);
        let engine = &mut group.engines[rank];

        if engine.reports.last().is_none_or(|(at, _)| now >= *at + Duration::from_millis(5)) {
            engine.reports.push((now, report));
            engine.reports.retain(|(at, _)| now < *at + 3 * REPORT_LAG);
        }
    }

    let is_held = group.engines.iter().any(|e| e.held == Some(pass + 1));

    if now >= group.pass_at + PASS && !is_held {
        begin_pass(world, &mut group, now);
    }
}

fn begin_pass(world: &World, group: &mut Group, now: Instant) {
    group.pass += 1;
    group.pass_at = now;
    let (pass, wanted) = (group.pass, group.wanted);
    let before = group.engines[0].map;

    for engine in &mut group.engines {
        if let Some((version, _)) = engine.armed.filter(|(_, first)| *first == pass) {
            engine.armed = None;

            if let Some((prepared, content)) = engine.prepared.take() {
                assert_eq!(prepared, version);
                engine.map = version;
                engine.content = content;
            }
        }

        if engine.held.is_some_and(|held| held <= pass) {
            engine.held = None;
        }

        for set in 0..SETS {
            for expert in 0..EXPERTS {
                let is_wanted = expert % RANKS == wanted;
                engine.counts[set * EXPERTS + expert] += if is_wanted { 40 } else { 1 };
            }
        }
    }

    let first = &group.engines[0];

    if let Some(other) =
        group.engines.iter().position(|e| e.map != first.map || e.content != first.content)
    {
        let maps: Vec<u64> = group.engines.iter().map(|e| e.map).collect();
        let text = format!("pass {pass} begins, and the maps of the ranks are {maps:?}");
        world.record.line(&text);

        if group.broken.is_none() {
            group.broken = Some(format!("rank 0 and rank {other} differ: {text}"));
        }
    } else if first.map != before {
        group.changes += 1;
        world.record.line(&format!("pass {pass} begins with map {} at all ranks", first.map));
    }
}

fn serve_engine(world: &World, rank: usize, mut stream: TcpStream) {
    while let Some(request) = read_message(&mut stream) {
        let (status, body) = match request.path() {
            "/-/report" => (200, read_report(world, rank)),
            "/-/picked" => (200, picked(&world.lock(), rank, request.parameter("lists").is_some())),
            "/-/order" => match order(world, rank, &request) {
                Some(status) => (status, "{}".to_string()),
                None => {
                    // The order gets no answer: the connection says nothing further.
                    std::thread::sleep(Duration::from_secs(5));
                    return;
                }
            },
            _ => (404, "{}".to_string()),
        };

        if !answer(&mut stream, status, "", &body) {
            return;
        }
    }
}

/// The engine's report: fresh for its own machine, older for others. While the process beside the
/// engine is away, only other machines ask.
fn read_report(world: &World, rank: usize) -> String {
    let is_own = world.processes.lock().expect("not poisoned").get(rank).is_none_or(|p| p.is_running());
    let group = world.lock();

    if is_own {
        return report(&group, rank);
    }

    let now = Instant::now();
    let mut older = group.engines[rank].reports.iter().rev();
    let lagged = older.find(|(at, _)| now >= *at + REPORT_LAG);

    lagged.map_or_else(|| report(&group, rank), |(_, text)| text.clone())
}

fn report(group: &Group, rank: usize) -> String {
    let engine = &group.engines[rank];
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

    format!(
        "{{\"stage\":\"dual\",\"busy\":{},\"sequence\":{},\"queued\":0,\"running\":6,\
         \"kv_used\":41000,\"kv_total\":372000,\"handles\":0,\"group\":{{\"name\":\"g\",\
         \"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\"size\":{RANKS},\"pace\":1.0,\
         \"step\":{},\"map\":{}{extra}}}",
        engine.copying.is_some(),
        engine.sequence,
        group.pass,
        engine.map
    )
}

fn picked(group: &Group, rank: usize, is_lists: bool) -> String {
    let engine = &group.engines[rank];

    if !is_lists {
        let counts: Vec<String> = engine.counts.iter().map(u64::to_string).collect();
        let counts = counts.join(",");
        return format!("{{\"step\":{},\"epoch\":1,\"counts\":[{counts}]}}", group.pass);
    }

    let own = |set: &str| parts(set).get(rank).map_or(String::new(), |held| held.to_string());
    let experts: Vec<String> = parts(&engine.content).into_iter().map(own).collect();
    let (map, experts) = (engine.map, experts.join(","));

    format!("{{\"map\":{{\"version\":{map},\"experts\":[{experts}]}}}}")
}

/// Takes an order; `None` if it gets no answer.
fn order(world: &World, rank: usize, request: &Message) -> Option<u16> {
    let text = String::from_utf8_lossy(&request.body).to_string();
    let op = word(&text, "op").unwrap_or_default().to_string();
    let now = Instant::now();
    let mut group = world.lock();

    if op == "arm" && rank == FIRST_KILLED && group.is_late {
        group.engines[rank].late.push((now, text.clone()));
        world.record.line(&format!("rank {rank}: {text}: no answer, to be carried out late"));

        if group.late_at.is_none() {
            group.late_at = Some(now);
            let holder = group.holder;
            drop(group);
            kill_holder(world, holder);
        }

        return None;
    }

    // The late order is carried out just before the held pass is let go, if its time has come.
    if op == "go" {
        group.is_let_go = group.late_at.is_some();
        let ready = |(at, _): &(Instant, String)| {
            now >= *at + LATE_FROM && now <= *at + LATE_UNTIL
        };

        while group.engines[FIRST_KILLED].late.first().is_some_and(ready) {
            let (_, late) = group.engines[FIRST_KILLED].late.remove(0);
            carry_out_late(world, &mut group, FIRST_KILLED, &late, now);
        }
    }

    let status = carry_out(&mut group, rank, &text, now);

    if op == "hold" && status < 300 {
        group.holder = Some(rank);
    }

    let shown: String = text.chars().take(70).collect();
    world.record.line(&format!("rank {rank}: {shown}: {status}"));
    Some(status)
}

fn carry_out_late(world: &World, group: &mut Group, rank: usize, order: &str, now: Instant) {
    let status = carry_out(group, rank, order, now);
    let age = group.late_at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
    world.record.line(&format!(
        "rank {rank}: {order}: carried out {age:.1} s after it was sent, with status {status}"
    ));
}

/// Kills the process that drives the change of the map, on a thread of its own.
fn kill_holder(world: &World, holder: Option<usize>) {
    let Some(holder) = holder else {
        return;
    };
    world.record.line(&format!("the process beside rank {holder}, which gave this order, is killed"));
    let mut processes = world.processes.lock().expect("not poisoned");
    processes[holder].kill();
    drop(processes);
    *world.killed.lock().expect("not poisoned") = Some(holder);
}

/// Carries out an order by the rules of PROTOCOL.
fn carry_out(group: &mut Group, rank: usize, order: &str, now: Instant) -> u16 {
    let pass = group.pass;
    let engine = &mut group.engines[rank];
    let (version, step) = (number(order, "version"), number(order, "step"));

    if number(order, "epoch") != Some(1) {
        return 409;
    }

    let status = match (word(order, "op"), version, step) {
        (Some("prepare"), Some(version), _) => {
            if version <= engine.highest || engine.armed.is_some() {
                return 409;
            }

            engine.highest = version;
            engine.prepared = None;
            let content = array(order, "map").unwrap_or_default().to_string();
            engine.copying = Some((version, content, now + COPY));
            202
        }
        (Some("arm"), Some(version), Some(step)) => {
            let is_prepared = engine.prepared.as_ref().is_some_and(|(v, _)| *v == version);

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
            202
        }
        (Some("go"), _, Some(step)) => {
            if engine.held == Some(step) {
                engine.held = None;
            }

            200
        }
        _ => 400,
    };
    engine.sequence += 1;
    status
}
