//! Probes of the request path: choice of a target, admission, the gate and the frames.

use std::hint::black_box;
use std::time::Duration;

use grebedeck::message::{AnswerHead, BodyDigest, EndMark, FromAgent, ToAgent, WorkStart};
use grebedeck_core::random::SeededSource;
use grebedeck_core::{AttemptId, RandomSource};
use grebedeck_net::encode;
use grebedeck_routing::subset::{SubsetOptions, subset};
use grebedeck_routing::{
    Admission, AdmissionOptions, Chooser, ChooserOptions, Gate, GateOptions, Key, LoadReport,
    StartRequest,
};

use super::config::allowed_routes;
use super::{min_time_s, retained_bytes};

/// Time of one choice of a target.
pub fn choice_us(targets: usize) -> f64 {
    let allowed = allowed_routes(targets);
    let mut chooser = Chooser::new("hall-0", ChooserOptions::default());
    let mut random = SeededSource::new(1);

    for route in allowed.iter() {
        let report = LoadReport { in_flight: random.below(60) as u32, waiting: 0, slots: 64 };
        chooser.record_report(&route.name, report, Duration::ZERO);
    }

    const ROUNDS: usize = 200;
    min_time_s(5, || {
        for _ in 0..ROUNDS {
            black_box(chooser.choose(&allowed, &[], Duration::ZERO, &mut random));
        }
    }) * 1e6
        / ROUNDS as f64
}

/// Subset options of an entry, as in its settings.
const SUBSET: SubsetOptions = SubsetOptions { size: 24, in_other_halls: 12 };

/// Time to compute one subset.
pub fn subset_us(targets: usize) -> f64 {
    let allowed = allowed_routes(targets);
    const ROUNDS: usize = 100;

    min_time_s(5, || {
        for _ in 0..ROUNDS {
            black_box(subset(&allowed, "entry-17", "hall-0", SUBSET));
        }
    }) * 1e6
        / ROUNDS as f64
}

/// Memory of a chooser that has a load report of each target.
pub fn view_bytes(targets: usize) -> f64 {
    retained_bytes(|| {
        let mut chooser = Chooser::new("hall-0", ChooserOptions::default());

        for n in 0..targets {
            chooser.record_report(&format!("runner-{n:05}"), LoadReport::default(), Duration::ZERO);
        }

        chooser
    })
}

fn filled_admission(organisations: usize) -> Admission {
    let options = AdmissionOptions { max_in_flight: usize::MAX / 2, ..AdmissionOptions::default() };
    let mut admission = Admission::new(options);

    for n in 0..organisations {
        let _ = admission.enter(&format!("organisation-{n:05}"), false);
    }

    admission
}

/// Time to admit one request and to release it.
pub fn admission_us(organisations: usize) -> f64 {
    let mut admission = filled_admission(organisations);
    const ROUNDS: usize = 2_000;

    min_time_s(5, || {
        for _ in 0..ROUNDS {
            let _ = black_box(admission.enter("organisation-00000", false));
            admission.leave("organisation-00000");
        }
    }) * 1e6
        / ROUNDS as f64
}

/// Memory of the admission state with one request per organisation in flight.
pub fn admission_bytes(organisations: usize) -> f64 {
    retained_bytes(|| filled_admission(organisations))
}

fn filled_gate(keys: usize) -> Gate {
    let options = GateOptions { max_keys: 1 << 20, ..GateOptions::default() };
    let mut gate = Gate::new(1, 0, options);

    for n in 0..keys {
        admit_and_finish(&mut gate, n as u128);
    }

    gate
}

fn admit_and_finish(gate: &mut Gate, n: u128) {
    let at = Duration::ZERO;
    let attempt = AttemptId { request: n, number: 0 };
    let key = Key { digest: n, issued_unix_ms: Some(9_000) };
    let start = StartRequest {
        attempt,
        incarnation: 1,
        sent_unix_ms: 10_000,
        may_wait: true,
        key: Some(key),
        deadline: None,
    };

    black_box(gate.admit(&start, at, 10_000));
    gate.finish(attempt, true, at);
}

/// Time to admit and finish one attempt at the gate.
pub fn gate_us(keys: usize) -> f64 {
    let mut gate = filled_gate(keys);
    let mut next_key = keys as u128;
    const ROUNDS: usize = 500;

    min_time_s(5, || {
        for _ in 0..ROUNDS {
            admit_and_finish(&mut gate, next_key);
            next_key += 1;
        }
    }) * 1e6
        / ROUNDS as f64
}

/// Memory of a gate that remembers `keys` keys.
pub fn gate_bytes(keys: usize) -> f64 {
    retained_bytes(|| filled_gate(keys))
}

const ATTEMPT: AttemptId = AttemptId { request: u128::MAX, number: 0 };

fn end_mark(body: &[u8]) -> EndMark {
    let mut digest = BodyDigest::new(ATTEMPT);
    digest.update(body);

    digest.end_mark()
}

/// Encoded size of the frames of a request.
pub fn request_bytes(body: usize) -> f64 {
    let body = vec![7u8; body];
    let start = WorkStart {
        attempt: ATTEMPT,
        incarnation: 1 << 40,
        organisation: "organisation-00000".into(),
        service: "model-1".into(),
        revision: 365_000,
        may_wait: true,
        key: None,
        sent_unix_ms: 1 << 40,
        deadline_ms: Some(30_000),
        method: "POST".into(),
        path: "/v1/generate".into(),
        headers: vec![("content-type".into(), "application/json".into())],
    };
    let frames = [
        encode(&ToAgent::Start(Box::new(start))),
        encode(&ToAgent::Body(body.clone())),
        encode(&ToAgent::End(end_mark(&body))),
    ];

    frames.into_iter().map(|f| f.map_or(0.0, |b| b.len() as f64)).sum()
}

/// Encoded size of the frames of a streamed answer.
pub fn answer_bytes(events: usize) -> f64 {
    let event = vec![b'x'; 24];
    let head = AnswerHead {
        attempt: ATTEMPT,
        status: 200,
        headers: vec![("content-type".into(), "text/event-stream".into())],
        len_bytes: None,
    };
    let size = |f: &FromAgent| encode(f).map_or(0.0, |b| b.len() as f64);
    let end = FromAgent::End(end_mark(&event), LoadReport::default());

    size(&FromAgent::Head(head)) + size(&end) + events as f64 * size(&FromAgent::Body(event))
}
