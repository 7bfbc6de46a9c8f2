//! Splitting the load of replicated experts between their ranks.
//!
//! Changing shares moves no weights. Each expert's load is poured over its ranks so that they end
//! level, given what the other experts put on them; a few passes over all experts come close to
//! the split with the lowest maximum, since the sum of squares that each pass lowers has its
//! minimum there.

use grebedeck_core::Rank;

use crate::map::{LayerMap, Replica};

/// Passes that are enough in practice; the measure stops earlier when nothing moves any more.
pub const DEFAULT_PASSES: usize = 12;

/// Levels the ranks' times by changing shares alone, and gives the resulting loads.
///
/// `rank_costs` is each rank's time per unit of load; a slow rank has more than 1.
pub fn balance(
    layer: &mut LayerMap,
    expert_loads: &[f32],
    rank_costs: &[f32],
    passes: usize,
) -> Vec<f32> {
    let mut loads = layer.rank_loads(expert_loads, rank_costs.len() as Rank);

    for _ in 0..passes {
        let mut moved = 0.0;

        for (replicas, load) in layer.experts.iter_mut().zip(expert_loads) {
            if replicas.len() > 1 && *load > 0.0 {
                moved += pour(replicas, *load, &mut loads, rank_costs);
            }
        }

        let total: f32 = loads.iter().sum();

        if moved <= total * 1e-4 {
            break;
        }
    }

    loads
}

/// Pours one expert's load over its ranks until they are level; gives how much load moved.
fn pour(replicas: &mut [Replica], load: f32, loads: &mut [f32], costs: &[f32]) -> f32 {
    for replica in replicas.iter() {
        loads[usize::from(replica.rank)] -= load * replica.share;
    }

    let level = water_level(replicas, load, loads, costs);
    let mut moved = 0.0;
    let mut total = 0.0;

    for replica in replicas.iter_mut() {
        let rank = usize::from(replica.rank);
        let part = (level / costs[rank] - loads[rank]).max(0.0);
        moved += (part - load * replica.share).abs();
        replica.share = part / load;
        total += replica.share;
    }

    let even = 1.0 / replicas.len() as f32;

    for replica in replicas.iter_mut() {
        // Rounding must not lose tokens, and a load too small to show is split evenly.
        replica.share = if total > 0.0 { replica.share / total } else { even };
        loads[usize::from(replica.rank)] += load * replica.share;
    }

    moved
}

/// Finds the time at which ranks that are below it take exactly `load` to reach it.
fn water_level(replicas: &[Replica], load: f32, loads: &[f32], costs: &[f32]) -> f32 {
    let time_of = |r: &Replica| loads[usize::from(r.rank)] * costs[usize::from(r.rank)];
    let mut cut = f32::INFINITY;

    // Leave out the slowest rank until the level lies above all that are left. Each round leaves
    // out at least one, so rounding cannot keep the loop going.
    loop {
        let (mut speed, mut filled, mut slowest, mut count) = (0.0, 0.0, 0.0_f32, 0);

        for replica in replicas.iter().filter(|r| time_of(r) < cut) {
            speed += 1.0 / costs[usize::from(replica.rank)];
            filled += loads[usize::from(replica.rank)];
            slowest = slowest.max(time_of(replica));
            count += 1;
        }

        let level = (load + filled) / speed;

        if slowest <= level || count <= 1 {
            return level.max(slowest);
        }

        cut = slowest;

        // Ranks that are equally slow must not all be left out.
        if !replicas.iter().any(|r| time_of(r) < cut) {
            return level.max(slowest);
        }
    }
}
