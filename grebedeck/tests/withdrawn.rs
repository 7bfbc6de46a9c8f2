//! State changes between choosing a target and sending the request. A connection may have to be
//! made in between, or the request may have got its slot while it was queued. A target that stopped
//! accepting work by then gets nothing, and a request that was found to crash targets is neither
//! sent nor kept in the queue.

mod unreachable;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use grebedeck::gateway::Tasks;
use grebedeck::gateway::attempt::{InFlight, open};
use grebedeck::gateway::buffer::Buffer;
use grebedeck::gateway::history::{AttemptHistory, FailureCause, Refusal};
use grebedeck::gateway::request::{CallerRequest, RoutedRequest};
use grebedeck::gateway::service::Gateway;
use grebedeck::gateway::slot::{self, NoSlot, Slot};
use grebedeck_gateway::{
    Admitted, ListedTarget, Permit, RunState, TargetEntry, TargetState, Verdict,
};
use grebedeck_http::{Headers, RequestHead, ResponseHead};
use unreachable::{NAMES, rule, settings};

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

/// Chooses a target, calls `change`, and sends; returns the failure's cause and the number of bytes
/// that reached the target.
fn send_after(change: impl Fn(&Gateway, &TargetEntry)) -> (FailureCause, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let entry = target(listener.local_addr().expect("its address"));
    let gateway = Rc::new(Gateway::new(settings(), NAMES, Tasks::default()));
    let listed = vec![ListedTarget { version: 1, entry: entry.clone() }];
    gateway.update_targets(|targets, now| targets.apply_snapshot(1, listed, now));
    let request = request(&gateway);
    let chosen = Arc::new(entry.clone());
    let in_flight = InFlight::new(&gateway, &chosen);
    let slot = Slot { in_flight, target: chosen, permit: Permit::NotNeeded };
    let mut tried = AttemptHistory::default();
    tried.record_start(&entry);
    change(&gateway, &entry);

    let opened = async_std::task::block_on(open(&gateway, &request, slot, &mut None));
    let failure = opened.err().expect("a failure");
    assert_eq!(failure.run, RunState::NotRun);
    assert!(
        !tried.record_failure(&failure) && tried.targets().is_empty(),
        "it must not count as an attempt"
    );
    drop(gateway);
    let mut bytes = Vec::new();
    let (mut stream, _) = listener.accept().expect("a connection was made");
    let _ = stream.read_to_end(&mut bytes);

    (failure.cause, bytes.len())
}

#[test]
fn a_target_that_asked_for_a_delay_after_the_choice_gets_nothing() {
    let asks_for_delay = |gateway: &Gateway, target: &TargetEntry| {
        let refusal = Refusal { status: 503, requested_delay: Some(Duration::from_secs(3)) };
        gateway.record_refusal(target, refusal, None);
    };

    assert_eq!(send_after(asks_for_delay), (FailureCause::Withdrawn, 0));
}

#[test]
fn a_target_that_announced_a_limit_after_the_choice_gets_nothing_without_a_permit() {
    let announces_limit = |gateway: &Gateway, target: &TargetEntry| {
        let mut head = ResponseHead::new(200);
        head.headers.push(NAMES.limit, "2");
        gateway.record_limit(target, &head, Verdict::Pass, gateway.now());
    };

    assert_eq!(send_after(announces_limit), (FailureCause::Withdrawn, 0));
}

#[test]
fn a_target_that_left_after_the_choice_gets_nothing() {
    let leaves = |gateway: &Gateway, target: &TargetEntry| {
        gateway.update_targets(|targets, now| targets.record_leaving(target, now));
    };
    let is_removed = |gateway: &Gateway, _: &TargetEntry| {
        gateway.update_targets(|targets, now| targets.apply_snapshot(2, vec![], now));
    };

    assert_eq!(send_after(leaves), (FailureCause::Withdrawn, 0));
    assert_eq!(send_after(is_removed), (FailureCause::Withdrawn, 0));
}

#[test]
fn a_request_quarantined_after_it_got_its_slot_is_not_sent() {
    let is_quarantined = |gateway: &Gateway, _: &TargetEntry| {
        gateway.restore_quarantined(request(gateway).fingerprints().request, 0);
    };

    assert_eq!(send_after(is_quarantined), (FailureCause::Withdrawn, 0));
}

#[test]
fn a_queued_request_is_answered_at_once_when_quarantined() {
    let tasks = Tasks::default();
    let gateway = Rc::new(Gateway::new(settings(), NAMES, tasks.clone()));
    let entry = target(SocketAddr::from(([127, 0, 0, 1], 1)));
    let listed = vec![ListedTarget { version: 1, entry: entry.clone() }];
    gateway.update_targets(|targets, now| targets.apply_snapshot(1, listed, now));
    let taken: Vec<InFlight> =
        (0..100).map(|_| InFlight::new(&gateway, &Arc::new(entry.clone()))).collect();
    let request = Rc::new(request(&gateway));
    let (waiting, waiter) = (gateway.clone(), request.clone());
    let found = tasks.spawn(async move { slot::acquire(&waiting, &waiter, &[]).await.err() });
    let quarantining = async {
        while !found.is_finished() && gateway.waiting.is_empty("notes") {
            async_std::task::sleep(Duration::from_millis(1)).await;
        }

        let began = gateway.now();
        gateway.restore_quarantined(request.fingerprints().request, 0);
        (found.await, gateway.now() - began)
    };
    let (reason, took) = async_std::task::block_on(tasks.run(quarantining));

    assert!(matches!(reason, Some(NoSlot::Quarantined(_))), "{reason:?}");
    assert!(took < Duration::from_millis(100), "answered after {took:?}");
    drop(taken);
}
