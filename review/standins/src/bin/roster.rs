//! Case: a model's group makes no pass any more, as the process beside the rank that holds one knows
//! no other process.
//!
//! Sixteen rank processes stand beside sixteen engines of this program, and two gateways pass
//! clients' streams on. A leader orders a pass to be held; the order gets no answer and is carried
//! out late (`applied_late`). The processes beside the first two ranks, the leader and the one that
//! was to hold the pass, are killed (`node_kill`), and a rank turns slow, so that passes are long
//! (`srv_slow`). The second of the two is killed once more, shortly before the late order is carried
//! out at its engine.
//!
//! Exits with 1 if less than a quarter of the requests is served later than `recover_s` after that,
//! 0 if more are, 2 if the case did not come about.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::clients;
use review_standins::engines::{Engines, Fate, Group, PASS, RANKS};
use review_standins::process::Process;
use review_standins::record::Record;
use review_standins::recover;
use review_standins::site::Site;
use review_standins::text::{number, word};

/// Killed processes start again after this time.
const RESTART: Duration = Duration::from_millis(500);
/// The ranks whose processes are killed as the order is given.
const KILLED: [usize; 2] = [0, 1];
/// How much longer passes are beside a slow rank, and for how long.
const SLOWNESS: u32 = 24;
const SLOW_FOR: Duration = Duration::from_millis(6500);
/// When the process that was to hold the pass is killed again, and when the late order is carried
/// out, after it was sent.
const KILLED_AGAIN_AT: Duration = Duration::from_millis(1750);
const LATE_AT: Duration = Duration::from_millis(2050);
/// Pause between two requests of the clients.
const PAUSE: Duration = Duration::from_millis(125);

/// The order that gets no answer.
#[derive(Clone, Copy)]
struct Hold {
    rank: usize,
    pass: u64,
    at: Instant,
}

type Ranks = Arc<Mutex<Vec<Process>>>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let with_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let [root, folder, record] = [1, 2, 3].map(|at| Path::new(&arguments[at]));

    std::process::exit(run(root, folder, record, with_trouble));
}

fn run(root: &Path, folder: &Path, record: &Path, with_trouble: bool) -> i32 {
    let site = Site::start();
    let engines = Arc::new(Engines::new(Record::create(record), site.app, false));
    engines.record.line(if with_trouble { "with the disruption" } else { "without it" });
    let late: Arc<Mutex<Option<Hold>>> = Arc::default();
    let ranks: Ranks = Arc::default();
    let (shared, processes) = (late.clone(), ranks.clone());
    engines.start(Arc::new(move |group: &mut Group, record: &Record, rank, text: &str| {
        let mut late = shared.lock().expect("not poisoned");

        if !with_trouble || late.is_some() || word(text, "op") != Some("hold") {
            return Fate::Now;
        }

        let pass = number(text, "step").unwrap_or_default();
        *late = Some(Hold { rank, pass, at: Instant::now() });
        group.pass_length = PASS * SLOWNESS;
        let mut processes = processes.lock().expect("not poisoned");
        KILLED.iter().for_each(|rank| processes[*rank].kill_now());
        record.line(&format!("the processes beside ranks {KILLED:?} are killed"));
        record.line("a rank turns slow, and passes are long");
        Fate::Late
    }));
    let start = |rank| site.start_rank(root, folder, rank);
    ranks.lock().expect("not poisoned").extend((0..RANKS).map(start));
    let gateways: Vec<Process> =
        (0..2).map(|number| site.start_gateway(root, folder, number)).collect();
    let is_over = Arc::new(AtomicBool::new(false));

    if !clients::wait_ready(
        &[site.ready(0), site.ready(1)],
        Duration::from_secs(10),
        &engines.record,
    ) {
        return engines.record.end(2, "the case did not run: the gateways are not ready");
    }

    let shared = engines.clone();
    let line = move |text: &str| shared.record.line(text);
    let book = clients::start(vec![site.front(0), site.front(1)], PAUSE, line, is_over.clone());
    let began = Instant::now();
    std::thread::sleep(Duration::from_secs(5));
    engines.lock().wanted = Some(3);
    engines.record.line("other experts are in demand");
    let came_about =
        if with_trouble { bring_about(&engines, &late, &ranks) } else { wait_for_map(&engines) };
    let status = match came_about {
        Err(missing) => engines.record.end(2, &format!("the case did not run: {missing}")),
        Ok(at) => {
            let (served, asked) = clients::served(&book, began, began + Duration::from_secs(3));
            engines.record.line(&format!("before: {served} of {asked} requests were served"));
            recover::judge(&engines, &book, at, served * 4 >= asked && asked > 0)
        }
    };
    is_over.store(true, Ordering::Relaxed);
    ranks.lock().expect("not poisoned").clear();
    drop(gateways);
    status
}

fn wait_for_map(engines: &Engines) -> Result<Instant, &'static str> {
    let until = Instant::now() + Duration::from_secs(10);

    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));

        if engines.lock().changes > 0 {
            return Ok(Instant::now());
        }
    }

    Err("no map came into use")
}

/// Brings the case about; returns when the last disruption ended.
fn bring_about(
    engines: &Engines,
    late: &Mutex<Option<Hold>>,
    ranks: &Ranks,
) -> Result<Instant, &'static str> {
    let until = Instant::now() + Duration::from_secs(10);

    let hold = loop {
        if let Some(hold) = *late.lock().expect("not poisoned") {
            break hold;
        }

        if Instant::now() > until {
            return Err("no pass was ordered to be held");
        }

        std::thread::sleep(Duration::from_millis(1));
    };

    if hold.rank != KILLED[1] {
        return Err("another rank was to hold the pass");
    }

    sleep_until(hold.at + RESTART);
    restart(engines, ranks, &KILLED);
    sleep_until(hold.at + KILLED_AGAIN_AT);
    ranks.lock().expect("not poisoned")[hold.rank].kill();
    engines.record.line(&format!("the process beside rank {} is killed again", hold.rank));
    sleep_until(hold.at + LATE_AT);

    if engines.lock().pass >= hold.pass {
        return Err("the pass had begun before the late order was carried out");
    }

    engines.lock().carry_out_late(&engines.record, |_| true);
    sleep_until(hold.at + KILLED_AGAIN_AT + RESTART);
    restart(engines, ranks, &[hold.rank]);
    sleep_until(hold.at + SLOW_FOR);
    engines.lock().pass_length = PASS;
    engines.record.line("the rank is no longer slow");

    Ok(Instant::now())
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn restart(engines: &Engines, ranks: &Ranks, killed: &[usize]) {
    let mut ranks = ranks.lock().expect("not poisoned");

    for rank in killed {
        ranks[*rank].kill();
        ranks[*rank].restart();
        engines.record.line(&format!("the process beside rank {rank} starts again"));
    }
}
