//! Probes of expert maps: wire sizes, popularity estimates, plans and switches.

use std::hint::black_box;

use grebedeck::message::{Control, GroupCounts};
use grebedeck_core::RandomSource;
use grebedeck_core::random::SeededSource;
use grebedeck_experts::counter::encode_count;
use grebedeck_experts::plan::GroupState;
use grebedeck_experts::popularity::LayerCounts;
use grebedeck_experts::share::{DEFAULT_PASSES, balance};
use grebedeck_experts::switch::{Body, MapVersion, Message, Standing};
use grebedeck_experts::{ExpertMap, Planner, Popularity, PopularityOptions};
use grebedeck_net::encode;

use super::{min_time_s, retained_bytes};

/// Encoded size of an engine's token counts for one second.
pub fn counts_bytes(layers: usize) -> f64 {
    let mut random = SeededSource::new(1);
    // The counts are those of one second of an engine with 8 of 32 ranks at 160 steps per second.
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

/// Encoded size of the delta between two maps that differ in every layer.
pub fn map_bytes(layers: usize) -> f64 {
    let map = ExpertMap::spread(32, 128, layers as u16, 6);
    let mut popularity = popularity(layers);
    observe_layers(&mut popularity, layers, 1, &mut SeededSource::new(1));
    let mut next = map.clone();

    for (layer, placement) in next.layers.iter_mut().enumerate() {
        balance(placement, popularity.fractions(layer as u16), &[1.0; 32], DEFAULT_PASSES);
    }

    encode(&map.delta_to(&next)).map_or(0.0, |b| b.len() as f64)
}

fn popularity(layers: usize) -> Popularity {
    Popularity::new(layers as u16, 128, PopularityOptions::default())
}

/// Memory of a popularity estimate.
pub fn popularity_bytes(layers: usize) -> f64 {
    retained_bytes(|| popularity(layers))
}

fn observe_layers(
    popularity: &mut Popularity,
    layers: usize,
    report: u64,
    random: &mut SeededSource,
) {
    for layer in 0..layers as u16 {
        let drawn = (0..128).map(|e| 50.0 + 3_000.0 / (1 + e) as f32 + random.unit() as f32 * 9.0);
        let tokens: Vec<f32> = drawn.collect();
        popularity.observe(&LayerCounts { layer, until_step: report * 160, tokens: &tokens });
    }
}

/// Time to record one report of all layers in the estimate.
pub fn popularity_ms(layers: usize) -> f64 {
    let mut popularity = popularity(layers);
    let mut random = SeededSource::new(1);
    let mut report = 0;

    min_time_s(5, || {
        report += 1;
        observe_layers(&mut popularity, layers, report, &mut random);
    }) * 1e3
}

/// Time of one plan.
pub fn plan_ms(layers: usize) -> f64 {
    let map = ExpertMap::spread(32, 128, layers as u16, 6);
    let mut popularity = popularity(layers);
    let mut random = SeededSource::new(1);

    for report in 1..20 {
        observe_layers(&mut popularity, layers, report, &mut random);
    }

    let group = GroupState {
        map: &map,
        popularity: &popularity,
        layer_work_ms: 3.0 * 32.0 / layers as f32,
        rank_costs: &[1.0; 32],
        max_changed_experts: usize::MAX,
    };
    min_time_s(5, || {
        black_box(Planner::default().plan(&group));
    }) * 1e3
}

/// Encoded size of the messages of one switch, summed over the members, without the map.
pub fn switch_bytes(members: usize) -> f64 {
    let version = MapVersion { epoch: 70, proposer: 0, number: 900 };
    let roster = vec![1u64 << 40; members];
    let (base, step, at_step) = (version, 1 << 30, 1 << 30);
    let standing = Standing::Armed;
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
