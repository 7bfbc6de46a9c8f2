//! Case: a model's group makes no pass any more, and no request for it is served.
//!
//! Sixteen rank processes stand beside sixteen engines of this program, and two gateways pass
//! clients' streams on. All rank processes are killed at once (`herd_kill`) as a leader's plan
//! reaches the first engine; this one order is carried out late (`applied_late`). They start again,
//! and the next leader's plan is carried through up to the point at which ranks are armed.
//!
//! Exits with 1 if less than a quarter of the requests is served later than `recover_s` after that,
//! 0 if more are, 2 if the case did not come about.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::clients;
use review_standins::engines::{Engines, Fate, Group, LATE_UNTIL, RANKS};
use review_standins::process::Process;
use review_standins::record::Record;
use review_standins::recover;
use review_standins::site::Site;
use review_standins::text::{number, word};

/// Killed processes start again after this time.
const RESTART: Duration = Duration::from_millis(500);
/// Pause between two requests of the clients.
const PAUSE: Duration = Duration::from_millis(125);
/// Most times that the processes are killed until the plans' numbers fall.
const MAX_KILLS: usize = 5;
/// How long all experts are alike after a restart, so that the next plan comes once the late order
/// may be carried out.
const CALM: Duration = Duration::from_millis(1600);

/// What the disruption has done.
#[derive(Default)]
struct Trouble {
    /// Numbers of the plans whose first order is carried out late.
    late: Vec<u64>,
    /// Whether the processes are to be killed, or are away.
    is_killing: bool,
    /// The plan that is carried through.
    plan: Option<u64>,
    /// When the late order was carried out.
    done_at: Option<Instant>,
}

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
    let trouble: Arc<Mutex<Trouble>> = Arc::default();
    let ranks: Arc<Mutex<Vec<Process>>> = Arc::default();
    let (shared, processes) = (trouble.clone(), ranks.clone());
    engines.start(Arc::new(move |group: &mut Group, record: &Record, rank, text: &str| {
        if !with_trouble {
            return Fate::Now;
        }

        let mut trouble = shared.lock().expect("not poisoned");
        let was_killing = trouble.is_killing;
        let fate = decide(&mut trouble, group, record, rank, text);

        if trouble.is_killing && !was_killing {
            let mut processes = processes.lock().expect("not poisoned");
            processes.iter_mut().for_each(Process::kill_now);
            record.line("all rank processes are killed at the same moment");
        }

        fate
    }));
    let start = |rank| site.start_rank(root, folder, rank);
    ranks.lock().expect("not poisoned").extend((0..RANKS).map(start));
    let gateways: Vec<Process> =
        (0..2).map(|number| site.start_gateway(root, folder, number)).collect();
    let ready = [site.ready(0), site.ready(1)];
    let is_over = Arc::new(AtomicBool::new(false));

    if !clients::wait_ready(&ready, Duration::from_secs(10), &engines.record) {
        return engines.record.end(2, "the case did not run: the gateways are not ready");
    }

    let shared = engines.clone();
    let line = move |text: &str| shared.record.line(text);
    let book = clients::start(vec![site.front(0), site.front(1)], PAUSE, line, is_over.clone());
    let began = Instant::now();
    std::thread::sleep(Duration::from_secs(5));

    let came_about = bring_about(&engines, &trouble, &ranks, with_trouble);
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

/// Decides what becomes of an order.
fn decide(
    trouble: &mut Trouble,
    group: &mut Group,
    record: &Record,
    rank: usize,
    text: &str,
) -> Fate {
    // The process that sent it has just been killed.
    if trouble.is_killing {
        return Fate::Lost;
    }

    let op = word(text, "op").unwrap_or_default();
    let version = number(text, "version");

    match (op, version, trouble.plan) {
        ("prepare", Some(version), None) => {
            if trouble.late.iter().any(|late| version < *late) || trouble.late.len() >= MAX_KILLS {
                trouble.plan = Some(version);
                return Fate::Now;
            }

            // Another rank's copy of the plan, or the same plan again.
            if trouble.late.contains(&version) {
                return Fate::Lost;
            }

            trouble.late.push(version);
            trouble.is_killing = true;
            record.line(&format!("the first order of plan {version} reaches rank {rank}"));
            Fate::Late
        }
        // The ranks are about to be armed. The late orders are carried out first.
        ("arm", Some(version), Some(plan)) if version == plan && trouble.done_at.is_none() => {
            trouble.done_at = Some(Instant::now());
            group.carry_out_late(record, |_| true);
            Fate::Now
        }
        _ => Fate::Now,
    }
}

/// Brings the case about; returns when the last disruption ended.
fn bring_about(
    engines: &Engines,
    trouble: &Mutex<Trouble>,
    ranks: &Mutex<Vec<Process>>,
    with_trouble: bool,
) -> Result<Instant, &'static str> {
    let until = Instant::now() + Duration::from_secs(25);
    let mut late_from: Option<Instant> = None;
    engines.lock().wanted = Some(3);
    engines.record.line("other experts are in demand");

    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(1));

        if !with_trouble {
            if engines.lock().changes > 0 {
                return Ok(Instant::now());
            }

            continue;
        }

        let (is_killing, done_at) = {
            let trouble = trouble.lock().expect("not poisoned");
            (trouble.is_killing, trouble.done_at)
        };

        if let Some(at) = done_at {
            return Ok(at);
        }

        if is_killing {
            engines.lock().wanted = None;
            std::thread::sleep(RESTART);
            trouble.lock().expect("not poisoned").is_killing = false;
            let mut ranks = ranks.lock().expect("not poisoned");
            ranks.iter_mut().for_each(Process::kill);
            ranks.iter_mut().for_each(Process::restart);
            drop(ranks);
            engines.record.line("they start again");
            late_from.get_or_insert(Instant::now());
            std::thread::sleep(CALM);
            engines.lock().wanted = Some(3);
            engines.record.line("other experts are in demand");
        }

        if late_from.is_some_and(|at| at.elapsed() > LATE_UNTIL) {
            return Err("the plans' numbers did not fall in time");
        }
    }

    Err("no plan was made")
}
