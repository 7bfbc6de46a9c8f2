//! What is measured, each at several sizes.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use grebedeck::message::{
    AnswerHead, BodyDigest, Control, EndMark, FromAgent, GroupCounts, ToAgent, WorkStart,
};
use grebedeck_config::{
    Change, Document, LogEntry, Organisation, Replica, Routes, SelectorRule, Snapshot, Target,
};
use grebedeck_core::random::SeededSource;
use grebedeck_core::{AttemptId, RandomSource};
use grebedeck_experts::counter::encode_count;
use grebedeck_experts::plan::GroupState;
use grebedeck_experts::popularity::LayerCounts;
use grebedeck_experts::share::{DEFAULT_PASSES, balance};
use grebedeck_experts::switch::{Body, MapVersion, Message};
use grebedeck_experts::{ExpertMap, Planner, Popularity, PopularityOptions};
use grebedeck_net::encode;
use grebedeck_routing::{
    Admission, AdmissionOptions, Chooser, ChooserOptions, Gate, GateOptions, Key, LoadReport,
    Start, subset,
};

use stats_alloc::INSTRUMENTED_SYSTEM;

use super::fit::Slope;

/// One cost and how to measure it.
pub struct Probe {
    /// The cost's name, as it stands in the page.
    pub name: &'static str,
    unit: &'static str,
    per: &'static str,
    sizes: &'static [usize],
    /// Size in the large fleet.
    at: f64,
    cost: fn(usize) -> f64,
}

impl Probe {
    /// Measures the cost at each size.
    pub fn measure(&self) -> Slope {
        let points = self.sizes.iter().map(|n| (*n as f64, (self.cost)(*n))).collect();

        Slope::fit(self.name, self.unit, self.per, points, self.at)
    }
}

const ORGANISATIONS: &[usize] = &[4_500, 9_000, 18_000, 36_000];
const TARGETS: &[usize] = &[80, 160, 320, 650];
const LAYERS: &[usize] = &[8, 16, 32, 60];
const MEMBERS: &[usize] = &[2, 4, 8, 16];

/// Everything that is measured, in the page's order.
pub const ALL: &[Probe] = &[
    Probe {
        name: "configuration memory",
        unit: "bytes",
        per: "organisation",
        sizes: ORGANISATIONS,
        at: 36_000.0,
        cost: configuration_bytes,
    },
    Probe {
        name: "snapshot on the wire",
        unit: "bytes",
        per: "organisation",
        sizes: ORGANISATIONS,
        at: 36_000.0,
        cost: snapshot_bytes,
    },
    Probe {
        name: "one change put in force",
        unit: "ms",
        per: "organisation",
        sizes: ORGANISATIONS,
        at: 36_000.0,
        cost: change_ms,
    },
    Probe {
        name: "one change checked",
        unit: "ms",
        per: "organisation",
        sizes: ORGANISATIONS,
        at: 36_000.0,
        cost: check_ms,
    },
    Probe {
        name: "log entry on the wire",
        unit: "bytes",
        per: "changed organisation",
        sizes: &[1, 4, 16, 64],
        at: 1.0,
        cost: entry_bytes,
    },
    Probe {
        name: "choice of a target",
        unit: "us",
        per: "allowed target",
        sizes: TARGETS,
        at: 59.0,
        cost: choice_us,
    },
    Probe {
        name: "subset of targets",
        unit: "us",
        per: "allowed target",
        sizes: TARGETS,
        at: 59.0,
        cost: subset_us,
    },
    Probe {
        name: "views of targets",
        unit: "bytes",
        per: "target",
        sizes: &[10_000, 20_000, 40_000, 80_000],
        at: 650.0,
        cost: view_bytes,
    },
    Probe {
        name: "admission",
        unit: "us",
        per: "active organisation",
        sizes: &[1_000, 4_000, 16_000, 36_000],
        at: 36_000.0,
        cost: admission_us,
    },
    Probe {
        name: "admission memory",
        unit: "bytes",
        per: "active organisation",
        sizes: &[36_000, 72_000, 144_000, 288_000],
        at: 36_000.0,
        cost: admission_bytes,
    },
    Probe {
        name: "gate",
        unit: "us",
        per: "remembered key",
        sizes: &[10_000, 40_000, 80_000, 160_000],
        at: 10_000.0,
        cost: gate_us,
    },
    Probe {
        name: "gate memory",
        unit: "bytes",
        per: "remembered key",
        sizes: &[50_000, 100_000, 150_000, 200_000],
        at: 10_000.0,
        cost: gate_bytes,
    },
    Probe {
        name: "request frames",
        unit: "bytes",
        per: "byte of body",
        sizes: &[0, 1_000, 10_000, 100_000],
        at: 1_000.0,
        cost: request_bytes,
    },
    Probe {
        name: "streamed answer frames",
        unit: "bytes",
        per: "event of 24 bytes",
        sizes: &[1, 10, 100, 1_000],
        at: 230.0,
        cost: answer_bytes,
    },
    Probe {
        name: "token counts on the wire",
        unit: "bytes",
        per: "layer of 128 experts",
        sizes: LAYERS,
        at: 60.0,
        cost: counts_bytes,
    },
    Probe {
        name: "expert map on the wire",
        unit: "bytes",
        per: "layer of 128 experts",
        sizes: LAYERS,
        at: 60.0,
        cost: map_bytes,
    },
    Probe {
        name: "popularity memory",
        unit: "bytes",
        per: "layer of 128 experts",
        sizes: &[2_000, 4_000, 8_000, 16_000],
        at: 60.0,
        cost: popularity_bytes,
    },
    Probe {
        name: "popularity update",
        unit: "ms",
        per: "layer of 128 experts",
        sizes: LAYERS,
        at: 60.0,
        cost: popularity_ms,
    },
    Probe {
        name: "plan",
        unit: "ms",
        per: "layer of 128 experts on 32 ranks",
        sizes: LAYERS,
        at: 60.0,
        cost: plan_ms,
    },
    Probe {
        name: "switch messages",
        unit: "bytes",
        per: "member",
        sizes: MEMBERS,
        at: 4.0,
        cost: switch_bytes,
    },
];

fn document(organisations: usize, targets: usize) -> Document {
    document_of(organisations, targets, SERVICES)
}

fn document_of(organisations: usize, targets: usize, services: usize) -> Document {
    let mut document = Document::default();
    let labels = |pairs: &[(&str, String)]| -> BTreeMap<String, String> {
        pairs.iter().map(|(k, v)| (k.to_string(), v.clone())).collect()
    };

    for n in 0..organisations {
        let tier = ["gold", "silver", "bronze"][n % 3].to_string();
        let region = format!("region-{}", n % 3);
        let labels = labels(&[("tier", tier), ("region", region)]);
        document
            .organisations
            .insert(format!("organisation-{n:05}"), Organisation { labels: labels.into() });
    }

    for n in 0..targets {
        let target = Target {
            labels: labels(&[("service", format!("model-{}", n % services))]),
            hall: format!("hall-{}", n % 12),
            agent_address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 7001).into(),
            group: None,
            ranks: Vec::new(),
            checks_orders: true,
        };
        document.targets.insert(format!("runner-{n:03}"), target);
    }

    for tier in ["gold", "silver", "bronze"] {
        let rule = SelectorRule { traffic: format!("tier={tier}"), capacity: "!canary".into() };
        document.selectors.insert(tier.to_string(), rule);
    }

    document
}

/// Models of the large fleet.
const SERVICES: usize = 11;
/// Targets of the large fleet, in every document here.
const FLEET_TARGETS: usize = 650;

fn one_change(n: usize) -> Change {
    let mut change = Change { id: format!("change-{n}"), ..Change::default() };

    for m in 0..n {
        let labels = BTreeMap::from([("tier".to_string(), "gold".to_string())]);
        change
            .organisations
            .insert(format!("organisation-{m:05}"), Some(Organisation { labels: labels.into() }));
    }

    change
}

/// Memory that `make`'s value holds, by the allocator's own account.
fn held<T>(make: impl FnOnce() -> T) -> f64 {
    let account = || {
        let stats = INSTRUMENTED_SYSTEM.stats();
        stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
    };
    let before = account();
    let value = make();
    let after = account();
    drop(black_box(value));

    after - before
}

/// Least time of some runs, in seconds: what the code takes when nothing else disturbs it.
fn least_s(runs: usize, mut run: impl FnMut()) -> f64 {
    let timed = |run: &mut dyn FnMut()| {
        let start = Instant::now();
        run();
        start.elapsed().as_secs_f64()
    };

    (0..runs).map(|_| timed(&mut run)).fold(f64::INFINITY, f64::min)
}

fn replica(organisations: usize) -> Replica {
    let mut replica = Replica::default();
    let document = document(organisations, FLEET_TARGETS);
    replica.adopt_snapshot(Snapshot {
        revision: 1,
        accepted_unix_ms: 1,
        digest: document.digest(),
        document,
    });

    replica
}

fn configuration_bytes(organisations: usize) -> f64 {
    held(|| {
        let replica = replica(organisations);
        let routes = Routes::new(1, replica.document());

        (replica, routes)
    })
}

fn snapshot_bytes(organisations: usize) -> f64 {
    encode(&replica(organisations).snapshot()).map_or(0.0, |b| b.len() as f64)
}

fn change_ms(organisations: usize) -> f64 {
    let replica = replica(organisations);
    let routes = Routes::new(1, replica.document());
    let change = one_change(1);
    let digest = change.apply(replica.document()).digest();
    let entry = LogEntry { revision: 2, digest, accepted_unix_ms: 2, change };

    least_s(5, || {
        let mut next = replica.clone();
        next.adopt(entry.clone());
        black_box(routes.next(2, next.document(), &entry.change));
    }) * 1e3
}

fn check_ms(organisations: usize) -> f64 {
    let document = document(organisations, FLEET_TARGETS);
    let change = one_change(1);

    least_s(5, || {
        let _ = black_box(change.check(&document));
    }) * 1e3
}

fn entry_bytes(changed: usize) -> f64 {
    let change = one_change(changed);
    let entry = LogEntry { revision: 2, digest: u64::MAX, accepted_unix_ms: 1 << 40, change };

    encode(&entry).map_or(0.0, |b| b.len() as f64)
}

fn all_routes(targets: usize) -> std::sync::Arc<[std::sync::Arc<grebedeck_config::Route>]> {
    let routes = Routes::new(1, &document_of(1, targets, 1));

    routes.allowed("organisation-00000", "model-0").cloned().unwrap_or_default()
}

fn choice_us(targets: usize) -> f64 {
    let allowed = all_routes(targets);
    let mut chooser = Chooser::new("hall-0", ChooserOptions::default());
    let mut random = SeededSource::new(1);

    for route in allowed.iter() {
        let report = LoadReport { in_flight: random.below(60) as u32, places: 64 };
        chooser.reported(&route.name, report, Duration::ZERO);
    }

    const ROUNDS: usize = 200;
    least_s(5, || {
        for _ in 0..ROUNDS {
            black_box(chooser.choose(&allowed, &[], Duration::ZERO, &mut random));
        }
    }) * 1e6
        / ROUNDS as f64
}

fn subset_us(targets: usize) -> f64 {
    let allowed = all_routes(targets);
    const ROUNDS: usize = 100;

    least_s(5, || {
        for _ in 0..ROUNDS {
            black_box(subset::subset(&allowed, "entry-17", "hall-0", 24));
        }
    }) * 1e6
        / ROUNDS as f64
}

fn view_bytes(targets: usize) -> f64 {
    held(|| {
        let mut chooser = Chooser::new("hall-0", ChooserOptions::default());

        for n in 0..targets {
            chooser.reported(&format!("runner-{n:05}"), LoadReport::default(), Duration::ZERO);
        }

        chooser
    })
}

fn filled_admission(organisations: usize) -> Admission {
    let options = AdmissionOptions { max_in_flight: usize::MAX / 2, ..AdmissionOptions::default() };
    let mut admission = Admission::new(options);

    for n in 0..organisations {
        let _ = admission.enter(&format!("organisation-{n:05}"));
    }

    admission
}

fn admission_us(organisations: usize) -> f64 {
    let mut admission = filled_admission(organisations);
    const ROUNDS: usize = 2_000;

    least_s(5, || {
        for _ in 0..ROUNDS {
            let _ = black_box(admission.enter("organisation-00000"));
            admission.leave("organisation-00000");
        }
    }) * 1e6
        / ROUNDS as f64
}

fn admission_bytes(organisations: usize) -> f64 {
    held(|| filled_admission(organisations))
}

fn filled_gate(keys: usize) -> Gate {
    let options = GateOptions { max_keys: 1 << 20, ..GateOptions::default() };
    let mut gate = Gate::new(1, 0, options);

    for n in 0..keys {
        admit(&mut gate, n as u128);
    }

    gate
}

fn admit(gate: &mut Gate, n: u128) {
    let at = Duration::ZERO;
    let attempt = AttemptId { request: n, number: 0 };
    let key = Key { digest: n, issued_unix_ms: Some(9_000) };
    let start = Start {
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

fn gate_us(keys: usize) -> f64 {
    let mut gate = filled_gate(keys);
    let mut next = keys as u128;
    const ROUNDS: usize = 500;

    least_s(5, || {
        for _ in 0..ROUNDS {
            admit(&mut gate, next);
            next += 1;
        }
    }) * 1e6
        / ROUNDS as f64
}

fn gate_bytes(keys: usize) -> f64 {
    held(|| filled_gate(keys))
}

const ATTEMPT: AttemptId = AttemptId { request: u128::MAX, number: 0 };

fn end_mark(body: &[u8]) -> EndMark {
    let mut digest = BodyDigest::new(ATTEMPT);
    digest.update(body);

    digest.end_mark()
}

fn request_bytes(body: usize) -> f64 {
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

fn answer_bytes(events: usize) -> f64 {
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

fn counts_bytes(layers: usize) -> f64 {
    let mut random = SeededSource::new(1);
    // Tokens of one second of an engine with eight of 32 ranks, at 160 steps a second.
    let tokens = |random: &mut SeededSource| -> Vec<u8> {
        (0..128).map(|_| encode_count(1_000 + random.below(4_000) as u64)).collect()
    };
    let counts = GroupCounts {
        until_step: 1 << 30,
        ranks: (0..8).collect(),
        rank_costs: vec![1.0; 8],
        layers: (0..layers as u16).map(|l| (l, tokens(&mut random))).collect(),
    };

    encode(&Control::Counts(counts)).map_or(0.0, |b| b.len() as f64)
}

fn map_bytes(layers: usize) -> f64 {
    let map = ExpertMap::spread(32, 128, layers as u16, 6);
    let mut popularity = popularity(layers);
    observe(&mut popularity, layers, 1, &mut SeededSource::new(1));
    let mut next = map.clone();

    for (layer, placed) in next.layers.iter_mut().enumerate() {
        balance(placed, popularity.fractions(layer as u16), &[1.0; 32], DEFAULT_PASSES);
    }

    encode(&map.delta_to(&next)).map_or(0.0, |b| b.len() as f64)
}

fn popularity(layers: usize) -> Popularity {
    Popularity::new(layers as u16, 128, PopularityOptions::default())
}

fn popularity_bytes(layers: usize) -> f64 {
    held(|| popularity(layers))
}

fn observe(popularity: &mut Popularity, layers: usize, report: u64, random: &mut SeededSource) {
    for layer in 0..layers as u16 {
        let drawn = (0..128).map(|e| 50.0 + 3_000.0 / (1 + e) as f32 + random.unit() as f32 * 9.0);
        let tokens: Vec<f32> = drawn.collect();
        popularity.observe(&LayerCounts { layer, until_step: report * 160, tokens: &tokens });
    }
}

fn popularity_ms(layers: usize) -> f64 {
    let mut popularity = popularity(layers);
    let mut random = SeededSource::new(1);
    let mut report = 0;

    least_s(5, || {
        report += 1;
        observe(&mut popularity, layers, report, &mut random);
    }) * 1e3
}

fn plan_ms(layers: usize) -> f64 {
    let map = ExpertMap::spread(32, 128, layers as u16, 6);
    let mut popularity = popularity(layers);
    let mut random = SeededSource::new(1);

    for report in 1..20 {
        observe(&mut popularity, layers, report, &mut random);
    }

    let group = GroupState {
        map: &map,
        popularity: &popularity,
        layer_work_ms: 3.0 * 32.0 / layers as f32,
        rank_costs: &[1.0; 32],
        max_changed: usize::MAX,
    };
    least_s(5, || {
        black_box(Planner::default().plan(&group));
    }) * 1e3
}

/// All messages of one switch without its map, over all members.
fn switch_bytes(members: usize) -> f64 {
    let version = MapVersion { epoch: 70, proposer: 0, number: 900 };
    let roster = vec![1u64 << 40; members];
    let (base, step, at_step) = (version, 1 << 30, 1 << 30);
    let standing = grebedeck_experts::switch::Standing::Armed;
    let bodies = [
        Body::Prepare { version, base },
        Body::Prepared { version, step },
        Body::Arm { version, base, at_step, roster: roster.clone() },
        Body::Report { version, standing, seen_epoch: 70 },
        Body::Commit { version, roster },
    ];
    let size = |body: Body| {
        let message = Message { from: 0, incarnation: 1 << 40, to: 1, body };
        encode(&Control::Switch { message, map: None }).map_or(0.0, |b| b.len() as f64)
    };

    bodies.into_iter().map(size).sum::<f64>() * members as f64
}
