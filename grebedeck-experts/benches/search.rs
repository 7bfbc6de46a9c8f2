//! Time of a search for a better placement: of 10 sets of 384 experts on 192 ranks, whose skew is 3.3 as engines
//! start. With all ranks looked at for each step it took 105 ms of a core, with the least loaded ones 19 ms.
#![allow(missing_docs, reason = "the macro's own items have none")]

use criterion::{Criterion, criterion_group, criterion_main};
use grebedeck_core::RandomSource;
use grebedeck_core::random::SeededSource;
use grebedeck_experts::Placement;
use grebedeck_experts::assign::{AssignOptions, improve};

const RANKS: u16 = 192;
const SETS: usize = 10;
const EXPERTS: u16 = 384;
/// Deviation of the logarithm of an expert's popularity.
const SPREAD: f64 = 0.7;

/// Draws the popularity of a set's experts.
fn popularity(random: &mut SeededSource) -> Vec<f32> {
    let mut normal = || (0..12).map(|_| random.unit()).sum::<f64>() - 6.0;
    let weights: Vec<f32> = (0..EXPERTS).map(|_| (SPREAD * normal()).exp() as f32).collect();
    let sum: f32 = weights.iter().sum();

    weights.into_iter().map(|weight| weight / sum).collect()
}

fn search(criterion: &mut Criterion) {
    let mut random = SeededSource::new(3);
    let popularity: Vec<Vec<f32>> = (0..SETS).map(|_| popularity(&mut random)).collect();
    let costs = vec![1.0; usize::from(RANKS)];
    let first = Placement::dealt(RANKS, SETS, EXPERTS);
    let options = AssignOptions {
        slots_per_rank: 3,
        max_new_per_rank: 2,
        max_copies_per_rank: 15,
        target_skew: 1.4,
        min_gain_per_copy: 0.05,
    };
    let next = improve(&first, &popularity, &costs, &options);
    println!(
        "skew {:.2} to {:.2} with {} copies",
        first.skew(&popularity, &costs),
        next.skew(&popularity, &costs),
        first.copies_to(&next)
    );
    criterion.bench_function("search, 192 ranks", |bencher| {
        bencher.iter(|| improve(&first, &popularity, &costs, &options));
    });
}

criterion_group!(benches, search);
criterion_main!(benches);
