//! What a request pays for quarantine: nothing where no target crashed, and otherwise its fingerprint and a look-up, here
//! beside 5,000 requests that ran under one crash each. With all of those looked through for each request the look-up took
//! 9.3 µs, with those of three crashes or more 0.05 µs.
#![allow(missing_docs, reason = "the macro's own items have none")]

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use grebedeck_routing::{Identity, Quarantine, TargetStart};

/// Crashes, and requests that ran under each.
const CRASHES: u128 = 50;
const RUNS: u128 = 100;
/// Usual and large bodies, in bytes.
const BODIES: [usize; 2] = [4 << 10, 1 << 20];

fn after_crashes() -> Quarantine {
    let mut quarantine = Quarantine::default();

    for crash in 0..CRASHES {
        let start = TargetStart::listed(&format!("t{crash}"), Some(1));
        let runs = (0..RUNS).map(|run| crash * RUNS + run);
        quarantine.record_crash(&start, runs, Duration::from_secs(crash as u64));
    }

    quarantine
}

fn bench(criterion: &mut Criterion) {
    for len_bytes in BODIES {
        let body = vec![b'x'; len_bytes];
        let identity = Identity {
            caller: "northwind",
            method: "POST",
            host: "a.example",
            path: "/notes/summary?call=1",
            body: &body,
        };
        criterion.bench_function(&format!("fingerprint of {len_bytes} bytes"), |bencher| {
            bencher.iter(|| black_box(&identity).fingerprint());
        });
    }

    let now = Duration::from_secs(CRASHES as u64);
    let idle = Quarantine::default();
    criterion.bench_function("look-up where nothing crashed", |bencher| {
        bencher.iter(|| black_box(&idle).is_idle());
    });
    let mut busy = after_crashes();
    criterion.bench_function("look-up after crashes", |bencher| {
        bencher.iter(|| {
            busy.decide(now);
            busy.clearance(black_box(u128::MAX), now)
        });
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
