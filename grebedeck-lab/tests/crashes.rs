//! A request that crashes each target that runs it is not sent on and on through entries and agents either.
//!
//! An entry saw an attempt fail and sent the request to the next agent, whose target crashed as well; its caller's next
//! try began anew at the next entry. An agent knows that its target is gone, and told its entry no more than that it had
//! no answer.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use grebedeck_config::Change;
use grebedeck_lab::caller::Caller;
use grebedeck_lab::site::{Site, SiteOptions};
use http_types::Method;

/// How long a crashed target is away.
const DOWN: Duration = Duration::from_millis(600);
/// How long after its start the deadly request crashes its target.
const FUSE: Duration = Duration::from_millis(30);
/// Crashes after which a request is deadly.
const CRASHES: usize = 3;
/// How soon after them no more than some sends may follow, and how many.
const SETTLED: Duration = Duration::from_millis(250);
const MAX_SENDS_AFTER: usize = 3;
/// Times that the deadly request comes, and the pause between them.
const TIMES: usize = 24;
const PAUSE: Duration = Duration::from_millis(150);

/// Runs of the deadly request, and the crashes by it.
#[derive(Default)]
struct Deadly {
    runs: Vec<Instant>,
    crashes: Vec<Instant>,
}

/// A target that crashes where it is told to.
#[derive(Clone)]
struct Target {
    address: SocketAddr,
    listener: Arc<Mutex<Option<TcpListener>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    deadly: Arc<Mutex<Deadly>>,
}

impl Target {
    fn start(deadly: &Arc<Mutex<Deadly>>) -> Self {
        let listener = TcpListener::bind((own_ip(), 0)).expect("a free port");
        let address = listener.local_addr().expect("its address");
        let (listener, streams) = (Arc::new(Mutex::new(Some(listener))), Arc::default());
        let target = Target { address, listener, streams, deadly: deadly.clone() };
        target.serve();

        target
    }

    fn serve(&self) {
        let target = self.clone();
        std::thread::spawn(move || target.accept());
    }

    fn accept(&self) {
        loop {
            let accepted = match &*self.listener.lock().expect("whole") {
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
            self.streams.lock().expect("whole").push(other);
            let target = self.clone();
            std::thread::spawn(move || target.answer(stream));
        }
    }

    fn answer(&self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream) {
            if !head.contains("/deadly") {
                let whole = "HTTP/1.1 200 S\r\ncontent-length: 2\r\n\r\nok";

                if stream.write_all(whole.as_bytes()).is_err() {
                    return;
                }

                continue;
            }

            self.deadly.lock().expect("whole").runs.push(Instant::now());

            if head.contains("/deadly/stream") {
                let begun = "HTTP/1.1 200 S\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
                // Whether it is taken makes no difference.
                let _ = stream.write_all(begun.as_bytes());
            }

            std::thread::sleep(FUSE);
            self.deadly.lock().expect("whole").crashes.push(Instant::now());
            return self.crash();
        }
    }

    fn crash(&self) {
        if self.listener.lock().expect("whole").take().is_none() {
            return;
        }

        for stream in self.streams.lock().expect("whole").drain(..) {
            // Its peer may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }

        std::thread::sleep(DOWN);
        *self.listener.lock().expect("whole") =
            Some(TcpListener::bind(self.address).expect("its own port"));
        self.serve();
    }
}

/// Gets an address that no other target has, so that nobody gets its port while it is down.
fn own_ip() -> Ipv4Addr {
    static TARGETS: AtomicU8 = AtomicU8::new(1);
    let target = TARGETS.fetch_add(1, Ordering::Relaxed);

    Ipv4Addr::new(127, 220, (std::process::id() % 250) as u8, target)
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

/// Starts a site whose service `brittle` has targets that crash.
async fn start(deadly: &Arc<Mutex<Deadly>>) -> Site {
    let options = SiteOptions { groups: 0, plain_targets: 1, ..SiteOptions::default() };
    let mut site = Site::start(&options).await.expect("a site");
    let mut change = Change { id: "brittle".to_string(), ..Change::default() };

    for number in 0..8 {
        let name = format!("brittle-{number}");
        let address = Target::start(deadly).address;
        let mut target = site.start_agent(&name, "hall-a", address, false).await.expect("an agent");
        target.labels.insert("service".to_string(), "brittle".to_string());
        change.targets.insert(name, Some(target));
    }

    site.publish_instances();
    let revision = site.apply(&change).await.expect("in force");
    site.wait_in_force(revision).await.expect("in force");
    // Entries read the list of instances each few seconds, and know each other by it.
    async_std::task::sleep(Duration::from_secs(4)).await;
    site
}

/// Sends the deadly request at each entry in turn; gets the status and the outcome of the last.
async fn send_deadly(site: &Site, method: Method, path: &str) -> (u16, String) {
    let entries = site.entry_addresses();
    let mut last = (0, String::new());

    for number in 0..TIMES {
        async_std::task::sleep(PAUSE).await;
        let caller = Caller::new(entries[number % entries.len()], "northwind", "brittle");

        // A stream that is cut has no end.
        if let Ok(answer) = caller.send(caller.request(method, path)).await {
            last = (answer.status, answer.outcome);
        }
    }

    last
}

fn check(deadly: &Mutex<Deadly>) {
    let deadly = deadly.lock().expect("whole");
    let third = deadly.crashes.get(CRASHES - 1).expect("three crashes");
    let after = deadly.runs.iter().filter(|at| **at > *third + SETTLED).count();

    assert!(after <= MAX_SENDS_AFTER, "{after} of {} sends after", deadly.runs.len());
}

async fn play(method: Method, path: &str) {
    let deadly: Arc<Mutex<Deadly>> = Arc::default();
    let site = start(&deadly).await;
    let last = send_deadly(&site, method, path).await;
    check(&deadly);
    assert_eq!(last, (503, "not-run".to_string()));

    async_std::task::sleep(DOWN * 2).await;
    let other = Caller::new(site.entry_addresses()[0], "northwind", "brittle");

    for _ in 0..40 {
        assert_eq!(other.get("/other").await.expect("an answer").status, 200);
    }

    site.stop().await;
}

#[test]
fn entries_do_not_send_a_deadly_request_on_that_may_be_repeated() {
    async_std::task::block_on(play(Method::Put, "/deadly"));
}

#[test]
fn entries_do_not_send_a_deadly_request_on_that_runs_at_most_once() {
    async_std::task::block_on(play(Method::Post, "/deadly"));
}

#[test]
fn entries_do_not_send_a_deadly_stream_on() {
    async_std::task::block_on(play(Method::Put, "/deadly/stream"));
}

#[test]
fn an_entry_that_starts_later_does_not_send_it_either() {
    async_std::task::block_on(async {
        let deadly: Arc<Mutex<Deadly>> = Arc::default();
        let mut site = start(&deadly).await;
        send_deadly(&site, Method::Put, "/deadly").await;
        let before = deadly.lock().expect("whole").runs.len();
        assert!(before >= CRASHES);
        site.start_entry(2, &SiteOptions::default()).await.expect("an entry");
        site.publish_instances();
        site.wait_in_force(2).await.expect("in force");
        async_std::task::sleep(Duration::from_secs(4)).await;

        let caller = Caller::new(site.entry_addresses()[2], "northwind", "brittle");
        let answer = caller.send(caller.request(Method::Put, "/deadly")).await.expect("an answer");
        assert_eq!((answer.status, deadly.lock().expect("whole").runs.len()), (503, before));
        site.stop().await;
    });
}
