//! Requests on loopback from callers through entries and agents to stand-ins.

use std::collections::BTreeMap;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};
use grebedeck_core::time::unix_ms;
use grebedeck_kernel::Service;
use grebedeck_lab::caller::{Caller, CallerAnswer};
use grebedeck_lab::plain::RUN_HEADER;
use grebedeck_lab::site::{Site, SiteOptions};
use http_types::Method;

fn block_on<F: std::future::Future<Output = ()>>(test: F) {
    async_std::task::block_on(test);
}

async fn site(groups: usize) -> Site {
    let options =
        SiteOptions { groups, spread_limit: Duration::from_millis(50), ..SiteOptions::default() };

    Site::start(&options).await.unwrap()
}

/// Sends bytes and reads one answer, or what is received before the connection ends.
async fn send_raw(address: std::net::SocketAddr, text: &[u8]) -> String {
    let mut tcp = TcpStream::connect(address).await.unwrap();
    tcp.write_all(text).await.unwrap();
    let mut answer = String::new();
    let mut part = vec![0; 4096];

    while !is_complete(&answer) {
        match tcp.read(&mut part).await {
            Ok(read) if read > 0 => answer.push_str(&String::from_utf8_lossy(&part[..read])),
            _ => break,
        }
    }

    answer
}

/// Whether the body of an HTTP answer is as long as its head says.
fn is_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let length =
        head.lines().find_map(|l| l.to_lowercase().strip_prefix("content-length: ")?.parse().ok());

    length.is_some_and(|length: usize| body.len() >= length)
}

/// Sends a request that must run at most once, with a key issued now.
async fn send_keyed(
    entry: &Caller,
    key: &str,
    run: &str,
    path: &str,
) -> grebedeck_core::Result<CallerAnswer> {
    let mut request = entry.request(Method::Post, path);
    request.insert_header("idempotency-key", key);
    request.insert_header("idempotency-issued-ms", unix_ms().to_string());
    request.insert_header(RUN_HEADER, run);

    entry.send(request).await
}

/// Waits until the key memory of every process covers newly issued keys.
async fn wait_for_key_memory() {
    async_std::task::sleep(Duration::from_millis(400)).await;
}

#[test]
fn a_thousand_mixed_requests_get_their_own_complete_answers() {
    block_on(async {
        let site = site(1).await;
        let entries = site.entry_addresses();
        let workers: Vec<_> = (0..32)
            .map(|worker| {
                let entry = entries[worker % entries.len()];

                async_std::task::spawn(async move {
                    let roster = Caller::new(entry, "northwind", "roster");
                    let summary = Caller::new(entry, "fabrikam", "summary");

                    for call in 0..32 {
                        if call % 8 == 0 {
                            let answer = summary.get("/generate?tokens=3").await.unwrap();
                            assert_eq!(answer.text().matches("data:").count(), 3);
                            continue;
                        }

                        let body = format!("{worker}-{call}-").repeat(1 + call * 60);
                        let mut request =
                            roster.request(Method::Put, &format!("/slots/{worker}/{call}"));
                        request.set_body(body.clone());
                        let answer = roster.send(request).await.unwrap();
                        let text = answer.text();
                        let (head, echoed) = text.split_once('\n').unwrap();

                        assert_eq!(answer.status, 200);
                        assert!(head.ends_with(&format!("PUT /slots/{worker}/{call}")), "{head}");
                        assert_eq!(echoed, body);
                    }
                })
            })
            .collect();

        for worker in workers {
            worker.await;
        }

        site.stop().await;
    });
}

#[test]
fn events_arrive_while_the_stream_continues() {
    block_on(async {
        let site = site(1).await;
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "summary");
        let request = caller.request(Method::Get, "/generate?tokens=300");
        let mut answer = caller.begin(request).await.unwrap();

        let mut buffer = vec![0; 64];
        assert!(answer.read(&mut buffer).await.unwrap() > 0);
        let steps_before = site.model_groups[0].take_stats().steps;
        let mut rest = String::new();
        answer.response.take_body().read_to_string(&mut rest).await.unwrap();

        let last = rest.rsplit("\"step\":").next().unwrap();
        let last: u64 = last.trim_end_matches(|c: char| !c.is_ascii_digit()).parse().unwrap();
        assert!(steps_before < last, "{steps_before} {last}");
        site.stop().await;
    });
}

#[test]
fn methods_and_paths_pass_through() {
    block_on(async {
        let site = site(0).await;
        let caller = Caller::new(site.entry_addresses()[0], "contoso", "roster");
        let mut request = caller.request(Method::Delete, "/a%20b/c?x=1&x=2");
        request.insert_header("x-kept", "yes");

        let answer = caller.send(request).await.unwrap();

        assert_eq!(answer.status, 200);
        assert_eq!(answer.outcome, "done");
        assert!(answer.text().contains("DELETE /a%20b/c"), "{}", answer.text());
        site.stop().await;
    });
}

#[test]
fn bad_requests_get_an_error_and_the_entry_keeps_serving() {
    block_on(async {
        let site = site(0).await;
        let entry = site.entry_addresses()[0];
        let good = Caller::new(entry, "northwind", "roster");

        let unknown = Caller::new(entry, "nobody", "roster").get("/").await.unwrap();
        assert_eq!((unknown.status, unknown.outcome.as_str()), (403, "refused"));
        let service = Caller::new(entry, "northwind", "nothing").get("/").await.unwrap();
        assert_eq!((service.status, service.outcome.as_str()), (403, "refused"));

        let headless = send_raw(entry, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await;
        assert!(headless.starts_with("HTTP/1.1 400"), "{headless}");
        assert!(headless.contains("grebedeck-organisation: missing"), "{headless}");

        let mut twice = good.request(Method::Get, "/");
        twice.insert_header("grebedeck-repeatable", "perhaps");
        assert_eq!(good.send(twice).await.unwrap().status, 400);

        let mut large = good.request(Method::Post, "/");
        large.set_body(vec![0; 5 << 20]);
        assert_eq!(good.send(large).await.unwrap().status, 413);

        let long = format!("GET / HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n", "a".repeat(20_000));

        // A connection reset, caused by unread request data, sometimes discarded the answer.
        for _ in 0..50 {
            let refused = send_raw(entry, long.as_bytes()).await;
            assert!(refused.starts_with("HTTP/1.1 431"), "{refused}");
        }

        let garbage = send_raw(entry, b"\x00\x01\x02 nonsense\r\n\r\n").await;
        assert!(garbage.starts_with("HTTP/1.1 400"), "{garbage}");

        assert_eq!(good.get("/").await.unwrap().status, 200);
        site.stop().await;
    });
}

#[test]
fn garbage_on_the_peer_port_is_counted_and_ignored() {
    block_on(async {
        let site = site(0).await;
        let agent = &site.agents["roster-0"];
        let peer = agent.settings.common.peer_address;
        send_raw(peer, b"this is not h2 at all, and never will be\r\n\r\n").await;

        let link = grebedeck_net::Link::connect(peer, Duration::from_secs(1)).await.unwrap();
        let mut stream = link.open("/work").await.unwrap();
        let _ = stream.writer.send_last(&vec![7u8; 100]).await;
        let _ = stream.reader().await;

        let operator = agent.settings.common.operator_address;
        let mut text = String::new();

        // The counter may be updated after the answer was sent, so it is polled.
        for _ in 0..200 {
            text = send_raw(operator, b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await;

            if text.contains("on=\"stream\",otel_scope_name=\"grebedeck\"} 1") {
                break;
            }

            async_std::task::sleep(Duration::from_millis(10)).await;
        }

        assert!(text.contains("on=\"connection\",otel_scope_name=\"grebedeck\"} 1"), "{text}");
        assert!(text.contains("on=\"stream\",otel_scope_name=\"grebedeck\"} 1"), "{text}");
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "roster");
        assert_eq!(caller.get("/").await.unwrap().status, 200);
        site.stop().await;
    });
}

#[test]
fn a_key_runs_once_whichever_entry_it_comes_through() {
    block_on(async {
        let site = site(0).await;
        let entries = site.entry_addresses();
        let callers: Vec<_> =
            entries.iter().map(|e| Caller::new(*e, "northwind", "roster")).collect();
        wait_for_key_memory().await;

        let first = send_keyed(&callers[0], "grant-1", "run-1", "/grant").await.unwrap();
        assert_eq!((first.status, first.outcome.as_str()), (200, "done"), "{}", first.text());

        for caller in &callers {
            let again = send_keyed(caller, "grant-1", "run-1", "/grant").await.unwrap();
            assert_eq!((again.status, again.outcome.as_str()), (409, "unknown"));
        }

        // Keys are separate for each organisation.
        let other = Caller::new(entries[1], "fabrikam", "roster");
        assert_eq!(send_keyed(&other, "grant-1", "run-2", "/grant").await.unwrap().status, 200);

        let runs: Vec<_> = site.plain_services.values().flat_map(|p| p.runs()).collect();
        assert!(runs.iter().all(|(_, count)| *count == 1), "{runs:?}");
        assert_eq!(runs.len(), 2);
        site.stop().await;
    });
}

#[test]
fn a_key_without_a_time_of_issue_has_an_unknown_outcome() {
    block_on(async {
        let site = site(0).await;
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "roster");
        let mut request = caller.request(Method::Post, "/grant");
        request.insert_header("idempotency-key", "opaque");

        let answer = caller.send(request).await.unwrap();

        assert_eq!((answer.status, answer.outcome.as_str()), (409, "unknown"));
        site.stop().await;
    });
}

#[test]
fn repeatable_requests_succeed_after_an_agent_has_stopped() {
    block_on(async {
        let mut site = site(0).await;
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "roster");
        assert_eq!(caller.get("/").await.unwrap().status, 200);
        site.agents.remove("roster-1").unwrap().stop().await;

        for _ in 0..60 {
            let answer = caller.get("/").await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
        }

        site.stop().await;
    });
}

#[test]
fn a_stopping_agent_finishes_requests_in_flight_and_gets_no_new_ones() {
    block_on(async {
        let site = site(0).await;
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "roster");
        let slow: Vec<_> = (0..12)
            .map(|n| {
                let caller = Caller::new(site.entry_addresses()[n % 2], "northwind", "roster");
                async_std::task::spawn(async move { caller.get("/slow?delay_ms=600").await })
            })
            .collect();
        async_std::task::sleep(Duration::from_millis(200)).await;

        let agent = &site.agents["roster-0"];
        let service = agent.kernel.require::<grebedeck::agent::AgentService>("agent");
        agent.kernel.begin_stop();

        for _ in 0..40 {
            let answer = caller.get("/").await.unwrap();
            assert_eq!(answer.status, 200);
            assert!(!answer.text().starts_with("roster-0"), "new request on a stopping target");
        }

        for answer in slow {
            assert_eq!(answer.await.unwrap().status, 200);
        }

        assert!(service.is_idle());
        site.stop().await;
    });
}

#[test]
fn a_disconnected_caller_frees_its_slot() {
    block_on(async {
        let site = site(1).await;
        let entry = site.entry_addresses()[0];
        let caller = Caller::new(entry, "northwind", "summary");
        let answer =
            caller.begin(caller.request(Method::Get, "/generate?tokens=100000")).await.unwrap();
        let kernel = &site.entries[0].kernel;
        let service = kernel.require::<grebedeck::entry::service::EntryService>("entry");
        assert!(!service.is_idle());

        drop(answer);
        drop(caller);

        for _ in 0..500 {
            if service.is_idle() && site.agents.values().all(|a| a.kernel.is_idle()) {
                break;
            }

            async_std::task::sleep(Duration::from_millis(10)).await;
        }

        assert!(service.is_idle());
        assert!(site.agents.values().all(|a| a.kernel.is_idle()));
        site.stop().await;
    });
}

#[test]
fn dumps_contain_no_key() {
    block_on(async {
        let site = site(0).await;
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "roster");
        wait_for_key_memory().await;
        send_keyed(&caller, "secret-key-77", "run", "/grant").await.unwrap();

        let dumps: BTreeMap<_, _> =
            site.agents.iter().map(|(name, agent)| (name, agent.kernel.dump())).collect();
        let text = format!("{dumps:?} {:?}", site.entries[0].kernel.dump());

        assert!(!text.contains("secret-key-77"), "{text}");
        site.stop().await;
    });
}

/// Gets the name of the target, which is the first word of its answer.
fn target_name(answer: &CallerAnswer) -> String {
    answer.text().split(' ').next().unwrap_or_default().to_string()
}

/// Two of a service's three targets refuse one request each and request a delay. They then have the
/// lowest load and must still get no requests.
#[test]
fn a_target_that_requests_a_delay_gets_no_requests() {
    block_on(async {
        let site = site(0).await;
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "roster");
        let mut delayed = std::collections::BTreeSet::new();

        for _ in 0..2 {
            let answer = caller.get("/slots?rest_s=30").await.unwrap();
            assert_eq!(answer.status, 503);
            assert!(delayed.insert(target_name(&answer)), "a delayed target got a request");
        }

        for _ in 0..40 {
            let answer = caller.get("/slots").await.unwrap();
            assert_eq!(answer.status, 200);
            assert!(!delayed.contains(&target_name(&answer)));
        }

        site.stop().await;
    });
}

/// Serves the same bytes as the answer to every request, with a thread per connection.
fn serve_bytes(bytes: &'static [u8]) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();

    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer_with(stream, bytes));
        }
    });

    address
}

fn answer_with(mut stream: std::net::TcpStream, bytes: &[u8]) {
    use std::io::{Read, Write};
    let mut head = Vec::new();
    let mut byte = [0; 1];

    while let Ok(1) = stream.read(&mut byte) {
        head.push(byte[0]);

        if head.ends_with(b"\r\n\r\n") {
            head.clear();

            if stream.write_all(bytes).is_err() {
                return;
            }
        }
    }
}

/// For an answer without a `date` header, the agent's HTTP library adds one that contains a line
/// break. When it was forwarded, the caller got `date: date:` and an empty line, which ended the
/// head early: the remaining headers became part of the body, and the connection was lost for the
/// next request.
#[test]
fn an_answer_without_a_date_header_stays_intact() {
    block_on(async {
        let mut site = site(0).await;
        let address = serve_bytes(b"HTTP/1.1 200 OK\r\nx-last: yes\r\ncontent-length: 2\r\n\r\nok");
        let mut target = site.start_agent("dateless", "hall-a", address, false).await.unwrap();
        target.labels.insert("service".to_string(), "dateless".to_string());
        let mut change =
            grebedeck_config::Change { id: "dateless".to_string(), ..Default::default() };
        change.targets.insert("dateless".to_string(), Some(target));
        let revision = site.apply(&change).await.unwrap();
        site.wait_in_force(revision).await.unwrap();
        let caller = Caller::new(site.entry_addresses()[0], "northwind", "dateless");

        for _ in 0..3 {
            let answer = caller.get("/").await.unwrap();
            assert_eq!(
                (answer.status, answer.outcome.as_str(), answer.text().as_str()),
                (200, "done", "ok")
            );
        }

        site.stop().await;
    });
}
