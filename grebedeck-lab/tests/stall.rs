//! Requests to an agent that hangs: its connections stay open, but it sends nothing.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::net::TcpListener;
use grebedeck::message::{CONTROL_PATH, ControlAnswer, PROTOCOL_VERSION, PeerHello};
use grebedeck_config::{Change, Target};
use grebedeck_lab::caller::Caller;
use grebedeck_lab::http::any_port;
use grebedeck_lab::site::{Site, SiteOptions};
use grebedeck_net::platform::Role;
use grebedeck_net::{IncomingStream, StreamHandler, listen};
use http_types::Method;

/// Agent that answers control messages until the first request arrives, and nothing after that.
struct HangingAgent {
    name: String,
    is_hanging: AtomicBool,
}

impl StreamHandler for HangingAgent {
    async fn handle(&self, incoming: IncomingStream) {
        if incoming.path != CONTROL_PATH {
            self.is_hanging.store(true, Ordering::SeqCst);
        }

        if self.is_hanging.load(Ordering::SeqCst) {
            futures::future::pending::<()>().await;
        }

        let hello = PeerHello {
            protocol: PROTOCOL_VERSION,
            name: self.name.clone(),
            role: Role::Agent,
            incarnation: 1,
            leaving: false,
        };
        let (_reader, mut writer) = incoming.accept().unwrap();
        writer.send_last(&ControlAnswer::Hello(hello)).await.unwrap();
    }

    fn on_protocol_error(&self) {}
}

/// Starts a site with a service `frozen`, whose target hangs. With `spare`, the service has a
/// second target that works.
async fn site(spare: bool) -> Site {
    let site = Site::start(&SiteOptions { groups: 0, ..SiteOptions::default() }).await.unwrap();
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let agent_address = listener.local_addr().unwrap();
    let handler = HangingAgent { name: "freezing".to_string(), is_hanging: AtomicBool::new(false) };
    async_std::task::spawn(listen(listener, Arc::new(handler)));

    let mut change = Change { id: "freeze".to_string(), ..Change::default() };
    let target = Target {
        labels: [("service".to_string(), "frozen".to_string())].into(),
        hall: "hall-a".to_string(),
        agent_address,
        group: None,
        ranks: Vec::new(),
        checks_orders: false,
    };
    change.targets.insert("freezing".to_string(), Some(target.clone()));

    if spare {
        let agent_address = site.agents["roster-0"].settings.common.peer_address;
        let labels = target.labels.clone();
        let spare = Target { agent_address, labels, hall: "hall-b".to_string(), ..target };
        change.targets.insert("roster-0".to_string(), Some(spare));
    }

    let revision = site.apply(&change).await.unwrap();
    site.wait_in_force(revision).await.unwrap();
    site
}

/// Deadline of the requests. An entry waits this long for a target that is merely slow.
const DEADLINE: Duration = Duration::from_secs(600);
/// Maximum time for an answer. The entry must detect the hang well before the deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

async fn send(site: &Site, method: Method) -> grebedeck_lab::caller::CallerAnswer {
    let caller = Caller::new(site.entry_addresses()[0], "northwind", "frozen");
    let mut request = caller.request(method, "/");
    request.insert_header("grebedeck-deadline-ms", DEADLINE.as_millis().to_string());

    async_std::future::timeout(ANSWER_TIMEOUT, caller.send(request)).await.unwrap().unwrap()
}

#[test]
fn repeatable_requests_are_retried_long_before_their_deadline() {
    async_std::task::block_on(async {
        let site = site(true).await;

        for _ in 0..6 {
            let answer = send(&site, Method::Get).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }

        site.stop().await;
    });
}

#[test]
fn a_request_that_may_run_once_ends_with_an_unknown_outcome() {
    async_std::task::block_on(async {
        let site = site(false).await;

        let answer = send(&site, Method::Post).await;

        assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"), "{}", answer.text());
        site.stop().await;
    });
}
