//! Quarantine of a poison request, which crashes every target that runs it, with entries and
//! agents.
//!
//! Guards against such a request crashing one target after another: an entry retried it at the next
//! agent, whose target crashed too, and the caller's next try started over at another entry. The
//! agent knew that its target had crashed but only reported that it had no answer.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use grebedeck_config::Change;
use grebedeck_lab::caller::Caller;
use grebedeck_lab::site::{Site, SiteOptions};
use http_types::Method;

/// Time that a crashed target is down.
const DOWNTIME: Duration = Duration::from_millis(600);
/// Time from the start of the poison request to the crash of its target.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Number of crashes after which a request is quarantined.
const POISON_CRASHES: usize = 3;
/// Time after the last of these crashes from which the number of runs is limited.
const NOTIFY_TIME: Duration = Duration::from_millis(250);
/// Maximum number of runs after that time.
const MAX_RUNS_AFTER: usize = 3;
/// Part of a prompt that crashes targets.
const POISON_PART: &str = "deadbeef";
/// Number of times that the caller sends the poison request.
const POISON_REQUESTS: usize = 24;
/// Pause before each of them.
const POISON_PAUSE: Duration = Duration::from_millis(150);

/// Times of the runs of the poison request and of the crashes that it caused.
#[derive(Default)]
struct PoisonRuns {
    started: Vec<Instant>,
    crashes: Vec<Instant>,
}

/// Target that crashes on poison requests, whose paths start with `/deadly`.
#[derive(Clone)]
struct Target {
    address: SocketAddr,
    listener: Arc<Mutex<Option<TcpListener>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    poison_runs: Arc<Mutex<PoisonRuns>>,
}

impl Target {
    fn start(poison_runs: &Arc<Mutex<PoisonRuns>>) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).expect("a free port");
        let address = listener.local_addr().expect("its address");
        let (listener, streams) = (Arc::new(Mutex::new(Some(listener))), Arc::default());
        let target = Target { address, listener, streams, poison_runs: poison_runs.clone() };
        target.serve();

        target
    }

    fn serve(&self) {
        let target = self.clone();
        std::thread::spawn(move || target.accept());
    }

    fn accept(&self) {
        loop {
            let accepted = match &*self.listener.lock().expect("mutex not poisoned") {
                Some(listener) => {
                    listener.set_nonblocking(true).expect("a listener");
                    listener.accept()
                }
                None => return,
            };
            let Ok((stream, _)) = accepted else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("a stream");
            let other = stream.try_clone().expect("another handle");
            self.streams.lock().expect("mutex not poisoned").push(other);
            let target = self.clone();
            std::thread::spawn(move || target.answer(stream));
        }
    }

    fn answer(&self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream) {
            if !head.contains("/deadly") && !has_poison_part(&head) {
                let answer = "HTTP/1.1 200 S\r\ncontent-length: 2\r\n\r\nok";

                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }

                continue;
            }

            self.poison_runs.lock().expect("mutex not poisoned").started.push(Instant::now());

            if head.contains("/deadly/stream") {
                let begun = "HTTP/1.1 200 S\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
                // The peer may have disconnected; the target crashes in any case.
                let _ = stream.write_all(begun.as_bytes());
            }

            std::thread::sleep(CRASH_DELAY);
            self.poison_runs.lock().expect("mutex not poisoned").crashes.push(Instant::now());
            return self.crash();
        }
    }

    fn crash(&self) {
        if self.listener.lock().expect("mutex not poisoned").take().is_none() {
            return;
        }

        for stream in self.streams.lock().expect("mutex not poisoned").drain(..) {
            // The peer may have closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
        }

        std::thread::sleep(DOWNTIME);
        *self.listener.lock().expect("mutex not poisoned") =
            Some(TcpListener::bind(self.address).expect("its own port"));
        self.serve();
    }
}

/// Gets an IP address that no other target has, so that no other process can take the target's port
/// while it is down.
fn own_ip() -> Ipv4Addr {
    static TARGETS: AtomicU8 = AtomicU8::new(1);
    let target = TARGETS.fetch_add(1, Ordering::Relaxed);

    Ipv4Addr::new(127, 220, (std::process::id() % 250) as u8, target)
}

/// Whether a part of the prompt other than the last is the poison part.
fn has_poison_part(head: &str) -> bool {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let header = lines.find(|(name, _)| name.eq_ignore_ascii_case("grebedeck-prompt-parts"));

    header.is_some_and(|(_, parts)| {
        parts.rsplit_once(',').is_some_and(|(shared, _)| shared.contains(POISON_PART))
    })
}

/// Reads the head of a request without a body.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];

    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }

    String::from_utf8(bytes).ok()
}

/// Starts a site with a service `brittle`, whose targets crash on poison requests.
async fn start(poison_runs: &Arc<Mutex<PoisonRuns>>) -> Site {
    let options = SiteOptions { groups: 0, plain_targets: 1, ..SiteOptions::default() };
    let mut site = Site::start(&options).await.expect("a site");
    let mut change = Change { id: "brittle".to_string(), ..Change::default() };

    for number in 0..8 {
        let name = format!("brittle-{number}");
        let address = Target::start(poison_runs).address;
        let mut target = site.start_agent(&name, "hall-a", address, false).await.expect("an agent");
        target.labels.insert("service".to_string(), "brittle".to_string());
        change.targets.insert(name, Some(target));
    }

    site.publish_instances();
    let revision = site.apply(&change).await.expect("in force");
    site.wait_in_force(revision).await.expect("in force");
    // Entries find each other in the list of instances, which they read every few seconds.
    async_std::task::sleep(Duration::from_secs(4)).await;
    site
}

/// Sends the poison request to the entries in turn and gets the last answer's status and outcome.
async fn send_poison(site: &Site, method: Method, path: &str) -> (u16, String) {
    let entries = site.entry_addresses();
    let mut last = (0, String::new());

    for number in 0..POISON_REQUESTS {
        async_std::task::sleep(POISON_PAUSE).await;
        let caller = Caller::new(entries[number % entries.len()], "northwind", "brittle");

        // A truncated stream is an error.
        if let Ok(answer) = caller.send(caller.request(method, path)).await {
            last = (answer.status, answer.outcome);
        }
    }

    last
}

fn assert_quarantined(poison_runs: &Mutex<PoisonRuns>) {
    let poison_runs = poison_runs.lock().expect("mutex not poisoned");
    let last_counted =
        poison_runs.crashes.get(POISON_CRASHES - 1).expect("enough crashes for quarantine");
    let after = poison_runs.started.iter().filter(|at| **at > *last_counted + NOTIFY_TIME).count();

    assert!(
        after <= MAX_RUNS_AFTER,
        "{after} of {} runs after quarantine",
        poison_runs.started.len()
    );
}

async fn check_quarantine(method: Method, path: &str) {
    let poison_runs: Arc<Mutex<PoisonRuns>> = Arc::default();
    let site = start(&poison_runs).await;
    let last = send_poison(&site, method, path).await;
    assert_quarantined(&poison_runs);
    assert_eq!(last, (503, "not-run".to_string()));

    async_std::task::sleep(DOWNTIME * 2).await;
    let other = Caller::new(site.entry_addresses()[0], "northwind", "brittle");

    for _ in 0..40 {
        assert_eq!(other.get("/other").await.expect("an answer").status, 200);
    }

    site.stop().await;
}

#[test]
fn a_repeatable_deadly_request_is_quarantined() {
    async_std::task::block_on(check_quarantine(Method::Put, "/deadly"));
}

#[test]
fn a_deadly_request_that_runs_at_most_once_is_quarantined() {
    async_std::task::block_on(check_quarantine(Method::Post, "/deadly"));
}

#[test]
fn a_deadly_stream_is_quarantined() {
    async_std::task::block_on(check_quarantine(Method::Put, "/deadly/stream"));
}

#[test]
fn different_requests_with_a_poison_part_are_quarantined_and_their_other_parts_are_not() {
    async_std::task::block_on(async {
        let poison_runs: Arc<Mutex<PoisonRuns>> = Arc::default();
        let site = start(&poison_runs).await;
        let entries = site.entry_addresses();
        let mut last_poison = 0;
        let mut sound = Vec::new();

        for number in 0..POISON_REQUESTS {
            let caller = Caller::new(entries[number % entries.len()], "northwind", "brittle");
            let ask = async |parts: &str, path: &str| {
                let mut request = caller.request(Method::Put, &format!("{path}/{number}"));
                request
                    .insert_header("grebedeck-prompt-parts", format!("c0:40,{parts}f{number}:9"));
                caller.send(request).await.map(|answer| (answer.status, answer.text()))
            };

            async_std::task::sleep(POISON_PAUSE).await;
            let sent = Instant::now();
            sound.push((sent, ask("", "/sound").await.expect("an answer")));
            // An answer that is cut off is an error.
            last_poison = ask("deadbeef:40,", "/other").await.map_or(0, |(status, _)| status);
        }

        assert_quarantined(&poison_runs);
        assert_eq!(last_poison, 503);

        let last_crash =
            *poison_runs.lock().expect("mutex not poisoned").crashes.last().expect("one");
        let after = sound.iter().filter(|(sent, _)| *sent > last_crash + DOWNTIME * 2);
        assert!(after.clone().count() > 0, "sound requests were sent after the last crash");
        after.for_each(|(_, (status, text))| assert_eq!(*status, 200, "{text}"));

        // While targets are down both attempts may meet one of them.
        let failed = sound.iter().filter(|(_, (status, _))| *status != 200);
        failed.for_each(|(_, (_, text))| {
            assert!(text.contains("no target could be reached"), "{text}")
        });
        site.stop().await;
    });
}

#[test]
fn a_new_entry_knows_of_the_quarantine() {
    async_std::task::block_on(async {
        let poison_runs: Arc<Mutex<PoisonRuns>> = Arc::default();
        let mut site = start(&poison_runs).await;
        send_poison(&site, Method::Put, "/deadly").await;
        let before = poison_runs.lock().expect("mutex not poisoned").started.len();
        assert!(before >= POISON_CRASHES);
        site.start_entry(2, &SiteOptions::default()).await.expect("an entry");
        site.publish_instances();
        site.wait_in_force(2).await.expect("in force");
        async_std::task::sleep(Duration::from_secs(4)).await;

        let caller = Caller::new(site.entry_addresses()[2], "northwind", "brittle");
        let answer = caller.send(caller.request(Method::Put, "/deadly")).await.expect("an answer");
        assert_eq!(
            (answer.status, poison_runs.lock().expect("mutex not poisoned").started.len()),
            (503, before)
        );
        site.stop().await;
    });
}
