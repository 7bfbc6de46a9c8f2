//! Estimate of popularity: it smooths noise, follows an abrupt shift quickly, and ignores late
//! counts.

use grebedeck_core::RandomSource;
use grebedeck_core::random::SeededSource;
use grebedeck_experts::popularity::LayerCounts;
use grebedeck_experts::{Popularity, PopularityOptions};

const EXPERTS: usize = 16;
const REPORT_STEPS: u64 = 160;

fn noisy_counts(fractions: &[f32], tokens: f32, random: &mut SeededSource) -> Vec<f32> {
    let noisy = |f: &f32| {
        let expected = f * tokens;
        let uniform = (random.unit() as f32 - 0.5) * 3.46;

        (expected + expected.sqrt() * uniform).max(0.0)
    };

    fractions.iter().map(noisy).collect()
}

fn zipf(offset: usize) -> Vec<f32> {
    let weights: Vec<f32> =
        (0..EXPERTS).map(|e| 1.0 / ((e + offset) % EXPERTS + 1) as f32).collect();
    let sum: f32 = weights.iter().sum();

    weights.iter().map(|w| w / sum).collect()
}

fn error(popularity: &Popularity, truth: &[f32]) -> f32 {
    popularity.fractions(0).iter().zip(truth).map(|(f, t)| (f - t).abs()).sum()
}

fn observe_reports(popularity: &mut Popularity, truth: &[f32], from: u64, reports: u64) {
    let mut random = SeededSource::new(from + 1);

    for report in from..from + reports {
        let tokens = noisy_counts(truth, 20_000.0, &mut random);
        let until_step = (report + 1) * REPORT_STEPS;
        assert!(popularity.observe(&LayerCounts { layer: 0, until_step, tokens: &tokens }));
    }
}

fn new_popularity() -> Popularity {
    Popularity::new(1, EXPERTS as u16, PopularityOptions::default())
}

#[test]
fn noise_is_averaged_out() {
    let (mut popularity, truth) = (new_popularity(), zipf(0));
    let mut random = SeededSource::new(9);
    let single: Vec<f32> =
        noisy_counts(&truth, 20_000.0, &mut random).iter().map(|c| c / 20_000.0).collect();
    let single_error: f32 = single.iter().zip(&truth).map(|(s, t)| (s - t).abs()).sum();

    observe_reports(&mut popularity, &truth, 0, 60);

    assert!(error(&popularity, &truth) < single_error * 0.6, "{}", error(&popularity, &truth));
    assert!(popularity.horizon_steps(0) > 5_000.0, "{}", popularity.horizon_steps(0));
}

#[test]
fn an_abrupt_shift_is_followed_within_two_reports() {
    let mut popularity = new_popularity();
    observe_reports(&mut popularity, &zipf(0), 0, 40);

    observe_reports(&mut popularity, &zipf(5), 40, 2);

    assert!(error(&popularity, &zipf(5)) < 0.1, "{}", error(&popularity, &zipf(5)));
}

#[test]
fn recurring_shifts_limit_the_horizon_to_their_interval() {
    let mut popularity = new_popularity();

    for round in 0..8 {
        observe_reports(&mut popularity, &zipf(5 * (round as usize % 2)), round * 10, 10);
    }

    let horizon = popularity.horizon_steps(0);
    assert!((800.0..=2_400.0).contains(&horizon), "{horizon}");
}

#[test]
fn late_and_duplicate_counts_are_ignored() {
    let mut popularity = new_popularity();
    observe_reports(&mut popularity, &zipf(0), 0, 5);
    let before = popularity.fractions(0).to_vec();
    let tokens = vec![100.0; EXPERTS];

    for until_step in [5 * REPORT_STEPS, 3 * REPORT_STEPS, 0] {
        assert!(!popularity.observe(&LayerCounts { layer: 0, until_step, tokens: &tokens }));
    }

    assert!(!popularity.observe(&LayerCounts { layer: 7, until_step: 9999, tokens: &tokens }));
    assert!(!popularity.observe(&LayerCounts { layer: 0, until_step: 9999, tokens: &[1.0] }));
    assert_eq!(popularity.fractions(0), before);
}
