//! Case: a group's pass begins while its ranks hold different maps.
//!
//! Sixteen rank processes stand beside sixteen engines of this program. Two of the processes are
//! killed, and again as they start (`node_kill`): first one beside any rank, then the one that
//! drives a change of the map, as it has just ordered the first rank's engine to arm. That order
//! gets no answer and is carried out late (`applied_late`).
//!
//! Exits with 1 if a pass began with different maps, 0 if none did, 2 if the case did not come
//! about.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::engines::{Engines, Fate, Group, LATE_UNTIL, RANKS};
use review_standins::process::Process;
use review_standins::record::Record;
use review_standins::site::Site;
use review_standins::text::word;

/// A killed process starts again after this time.
const RESTART: Duration = Duration::from_millis(500);
/// How long a process lives that is killed again as it starts.
const SHORT_LIFE: Duration = Duration::from_millis(3);
/// How long the process that drives the change is killed again and again after its order.
const KILLED_FOR: Duration = Duration::from_millis(1700);
/// The rank whose process is killed first.
const FIRST_KILLED: usize = 5;

/// What the disruption has done.
#[derive(Default)]
struct Trouble {
    /// Whether orders to arm get no answer at the rank whose process was killed.
    is_late: bool,
    /// When such an order arrived first.
    late_at: Option<Instant>,
    /// Whether the held pass was let go after that.
    is_let_go: bool,
    /// Rank whose process is to be killed.
    to_kill: Option<usize>,
}

struct World {
    engines: Arc<Engines>,
    trouble: Arc<Mutex<Trouble>>,
    processes: Mutex<Vec<Process>>,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let with_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let [root, folder, record] = [1, 2, 3].map(|at| Path::new(&arguments[at]));

    std::process::exit(run(root, folder, record, with_trouble));
}

fn run(root: &Path, folder: &Path, record: &Path, with_trouble: bool) -> i32 {
    let site = Site::start();
    let engines = Arc::new(Engines::new(Record::create(record), site.app, true));
    engines.record.line(if with_trouble { "with the disruption" } else { "without it" });
    engines.lock().wanted = Some(1);
    let trouble: Arc<Mutex<Trouble>> = Arc::default();
    let shared = trouble.clone();
    engines.start(Arc::new(move |group: &mut Group, record: &Record, rank, text: &str| {
        decide(&mut shared.lock().expect("not poisoned"), group, record, rank, text)
    }));
    let start = |rank| site.start_rank(root, folder, rank);
    let processes = Mutex::new((0..RANKS).map(start).collect());
    let world = Arc::new(World { engines, trouble, processes });
    let status = play(&world, with_trouble);
    world.processes.lock().expect("not poisoned").clear();
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
    let op = word(text, "op").unwrap_or_default();

    if op == "arm" && rank == FIRST_KILLED && trouble.is_late {
        if trouble.late_at.is_none() {
            trouble.late_at = Some(Instant::now());
            trouble.to_kill = group.holder;
        }

        return Fate::Late;
    }

    // The late order is carried out just before the held pass is let go, if its time has come.
    if op == "go" && trouble.late_at.is_some() {
        trouble.is_let_go = true;
        group.carry_out_late(record, |_| true);
    }

    Fate::Now
}

/// Waits until `holds`, the limit passes or the rule is broken; returns whether it held.
fn wait(world: &World, limit: Duration, holds: impl Fn(&Group, &Trouble) -> bool) -> bool {
    let until = Instant::now() + limit;

    while Instant::now() < until {
        {
            let group = world.engines.lock();

            if holds(&group, &world.trouble.lock().expect("not poisoned")) {
                return true;
            }

            if group.differing.is_some() {
                return false;
            }
        }

        std::thread::sleep(Duration::from_millis(1));
    }

    false
}

fn play(world: &Arc<World>, with_trouble: bool) -> i32 {
    let record = &world.engines.record;

    if !wait(world, Duration::from_secs(20), |group, _| group.changes >= 2) {
        return end(world, Some("no map came into use"));
    }

    if with_trouble {
        record.line(&format!("the process beside rank {FIRST_KILLED} is killed"));
        world.trouble.lock().expect("not poisoned").is_late = true;
        keep_killed(world, FIRST_KILLED, |trouble| {
            trouble.is_let_go || trouble.late_at.is_some_and(|at| at.elapsed() > LATE_UNTIL)
        });
        // Its silence has to show before the next change of the map.
        std::thread::sleep(Duration::from_millis(1000));
    }

    let changes = world.engines.lock().changes;
    world.engines.lock().wanted = Some(7);
    record.line("other experts are in demand");

    if !with_trouble {
        if !wait(world, Duration::from_secs(20), |group, _| group.changes > changes) {
            return end(world, Some("no map came into use"));
        }

        wait(world, Duration::from_secs(12), |_, _| false);
        return end(world, None);
    }

    if !wait(world, Duration::from_secs(5), |_, trouble| trouble.late_at.is_some()) {
        return end(world, Some("no order to arm came to the rank without its process"));
    }

    let to_kill = world.trouble.lock().expect("not poisoned").to_kill;
    let Some(holder) = to_kill else {
        return end(world, Some("nobody was known to drive the change"));
    };
    record.line(&format!("the process beside rank {holder}, which gave this order, is killed"));
    keep_killed(world, holder, |trouble| {
        trouble.late_at.is_some_and(|at| at.elapsed() > KILLED_FOR)
    });
    wait(world, Duration::from_secs(20), |_, _| false);
    end(world, None)
}

fn end(world: &World, missing: Option<&str>) -> i32 {
    let group = world.engines.lock();
    let record = &world.engines.record;

    match (&group.differing, missing) {
        (Some(differing), _) => record.end(1, &format!("MAP broken: {differing}")),
        (None, Some(missing)) => record.end(2, &format!("the case did not run: {missing}")),
        (None, None) => record.end(
            0,
            &format!(
                "held: {} passes and {} changes of the map, the same at all ranks",
                group.pass, group.changes
            ),
        ),
    }
}

/// Kills the process beside a rank, and again each time that it starts, until `is_over`.
fn keep_killed(
    world: &Arc<World>,
    rank: usize,
    is_over: impl Fn(&Trouble) -> bool + Send + 'static,
) {
    let world = world.clone();
    world.processes.lock().expect("not poisoned")[rank].kill();
    world.engines.lock().is_away[rank] = true;

    std::thread::spawn(move || {
        loop {
            std::thread::sleep(RESTART);
            let is_last = is_over(&world.trouble.lock().expect("not poisoned"));
            let mut processes = world.processes.lock().expect("not poisoned");
            let Some(process) = processes.get_mut(rank) else {
                return;
            };
            process.restart();

            if is_last {
                world.engines.lock().is_away[rank] = false;
                world.engines.record.line(&format!("the process beside rank {rank} is back"));
                return;
            }

            std::thread::sleep(SHORT_LIFE);
            process.kill();
            let text = format!("the process beside rank {rank} started and was killed");
            world.engines.record.line(&text);
        }
    });
}
