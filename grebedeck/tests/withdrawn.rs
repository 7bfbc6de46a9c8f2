//! A target that takes no more work once it was chosen gets nothing: a connection may have to be made in between, and
//! the request may have been handed its place while others were served. Nor is a request sent, or kept in line, that is known
//! to crash targets since.

mod lone;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use grebedeck::gateway::Tasks;
use grebedeck::gateway::attempt::{InFlight, open};
use grebedeck::gateway::buffer::Buffer;
use grebedeck::gateway::place::{self, NoSlot, Slot};
use grebedeck::gateway::request::{CallerRequest, RoutedRequest};
use grebedeck::gateway::service::Gateway;
use grebedeck::gateway::tried::{AttemptHistory, FailureCause, Refusal};
use grebedeck_gateway::{
    Admitted, ListedTarget, Permit, RunState, TargetEntry, TargetState, Verdict,
};
use grebedeck_http::{Headers, RequestHead, ResponseHead};
use lone::{NAMES, rule, settings};

fn target(address: SocketAddr) -> TargetEntry {
    TargetEntry {
        id: "i-0".to_string(),
        service: "notes".to_string(),
        address,
        hall: "north".to_string(),
        slots: 4,
        state: TargetState::Serving,
        born_ms: Some(1),
        cold: Duration::ZERO,
    }
}

fn request(gateway: &Gateway) -> RoutedRequest {
    let head = RequestHead {
        method: "GET".to_string(),
        target: "/x".to_string(),
        minor_version: 1,
        headers: Headers::default(),
    };
    let body = Buffer::new(&gateway.bodies);
    let caller = CallerRequest { head, body, arrived: gateway.now() };
    let admitted = Admitted { rule: Arc::new(rule()), organisation: None, priority: 1, version: 1 };

    RoutedRequest::new(caller, admitted, "notes".to_string(), None, &NAMES)
}

/// Chooses a target, lets something happen to it, and sends; gets the cause, and what reached the target.
fn send_after(happens: impl Fn(&Gateway, &TargetEntry)) -> (FailureCause, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let entry = target(listener.local_addr().expect("its address"));
    let gateway = Rc::new(Gateway::new(settings(), NAMES, Tasks::default()));
    let listed = vec![ListedTarget { version: 1, entry: entry.clone() }];
    gateway.change_targets(|targets, now| targets.apply_snapshot(1, listed, now));
    let request = request(&gateway);
    let chosen = Arc::new(entry.clone());
    let in_flight = InFlight::new(&gateway, &chosen);
    let place = Slot { in_flight, target: chosen, permit: Permit::NotNeeded };
    let mut tried = AttemptHistory::default();
    tried.record_start(&entry);
    happens(&gateway, &entry);

    let opened = async_std::task::block_on(open(&gateway, &request, place));
    let failure = opened.err().expect("no answer");
    assert_eq!(failure.run, RunState::NotRun);
    assert!(!tried.record_failure(&failure) && tried.targets().is_empty(), "it counts as no try");
    drop(gateway);
    let mut bytes = Vec::new();
    let (mut stream, _) = listener.accept().expect("a connection was made");
    let _ = stream.read_to_end(&mut bytes);

    (failure.cause, bytes.len())
}

#[test]
fn a_target_that_asked_for_rest_since_it_was_chosen_gets_nothing() {
    let rests = |gateway: &Gateway, target: &TargetEntry| {
        let refusal = Refusal { status: 503, asked: Some(Duration::from_secs(3)) };
        gateway.note_refusal(target, refusal, None);
    };

    assert_eq!(send_after(rests), (FailureCause::Withdrawn, 0));
}

#[test]
fn a_target_that_named_a_limit_since_it_was_chosen_gets_nothing_without_a_permit() {
    let names_limit = |gateway: &Gateway, target: &TargetEntry| {
        let mut head = ResponseHead::new(200);
        head.headers.push(NAMES.limit, "2");
        gateway.record_limit(target, &head, Verdict::Pass, gateway.now());
    };

    assert_eq!(send_after(names_limit), (FailureCause::Withdrawn, 0));
}

#[test]
fn a_target_that_left_since_it_was_chosen_gets_nothing() {
    let leaves = |gateway: &Gateway, target: &TargetEntry| {
        gateway.change_targets(|targets, now| targets.record_leaving(target, now));
    };
    let is_gone = |gateway: &Gateway, _: &TargetEntry| {
        gateway.change_targets(|targets, now| targets.apply_snapshot(2, vec![], now));
    };

    assert_eq!(send_after(leaves), (FailureCause::Withdrawn, 0));
    assert_eq!(send_after(is_gone), (FailureCause::Withdrawn, 0));
}

#[test]
fn a_request_that_is_known_to_crash_targets_since_it_got_its_place_is_not_sent() {
    let is_known = |gateway: &Gateway, _: &TargetEntry| {
        gateway.restore_quarantined(request(gateway).fingerprint(), 0);
    };

    assert_eq!(send_after(is_known), (FailureCause::Withdrawn, 0));
}

#[test]
fn a_request_in_line_that_is_known_to_crash_targets_is_told_at_once() {
    let tasks = Tasks::default();
    let gateway = Rc::new(Gateway::new(settings(), NAMES, tasks.clone()));
    let entry = target(SocketAddr::from(([127, 0, 0, 1], 1)));
    let listed = vec![ListedTarget { version: 1, entry: entry.clone() }];
    gateway.change_targets(|targets, now| targets.apply_snapshot(1, listed, now));
    let taken: Vec<InFlight> =
        (0..100).map(|_| InFlight::new(&gateway, &Arc::new(entry.clone()))).collect();
    let request = Rc::new(request(&gateway));
    let (waiting, waiter) = (gateway.clone(), request.clone());
    let found = tasks.spawn(async move { place::acquire(&waiting, &waiter, &[]).await.err() });
    let known = async {
        while !found.is_finished() && gateway.waiting.is_empty("notes") {
            async_std::task::sleep(Duration::from_millis(1)).await;
        }

        let began = gateway.now();
        gateway.restore_quarantined(request.fingerprint(), 0);
        (found.await, gateway.now() - began)
    };
    let (reason, took) = async_std::task::block_on(tasks.run(known));

    assert!(matches!(reason, Some(NoSlot::Quarantined(_))), "{reason:?}");
    assert!(took < Duration::from_millis(100), "told after {took:?}");
    drop(taken);
}
