//! Balances ranks by the shares with which the replicas of an expert split its load.
//!
//! Changing shares loads no weights. Each expert's load is distributed over its ranks by water
//! filling: the ranks' times become as equal as possible, given the load of all other experts. A
//! few passes over all experts come close to the split with the lowest maximum, because each pass
//! decreases the sum of squares, which is minimal at that split.

use grebedeck_core::Rank;

use crate::map::{LayerMap, Replica};

/// Number of passes that suffices in practice; balancing stops earlier if shares no longer change.
pub const DEFAULT_PASSES: usize = 12;

/// Balances the ranks' times by changing shares alone, and returns the resulting load of each rank.
///
/// `rank_costs` is each rank's time per unit of load; it is above 1 for a slow rank.
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
                moved += distribute(replicas, *load, &mut loads, rank_costs);
            }
        }

        let total: f32 = loads.iter().sum();

        if moved <= total * 1e-4 {
            break;
        }
    }

    loads
}

/// Distributes one expert's load over its ranks by water filling, and returns the sum of the
/// changes of load over these ranks.
fn distribute(replicas: &mut [Replica], load: f32, loads: &mut [f32], costs: &[f32]) -> f32 {
    for replica in replicas.iter() {
        loads[usize::from(replica.rank)] -= load * replica.share;
    }

    let level = water_level(replicas, load, loads, costs);
    let mut moved = 0.0;
    let mut total = 0.0;

    for replica in replicas.iter_mut() {
        let rank = usize::from(replica.rank);
        let new_load = (level / costs[rank] - loads[rank]).max(0.0);
        moved += (new_load - load * replica.share).abs();
        replica.share = new_load / load;
        total += replica.share;
    }

    let equal_share = 1.0 / replicas.len() as f32;

    for replica in replicas.iter_mut() {
        // Normalising prevents rounding from losing tokens. A load too small to change the ranks'
        // loads is split evenly.
        replica.share = if total > 0.0 { replica.share / total } else { equal_share };
        loads[usize::from(replica.rank)] += load * replica.share;
    }

    moved
}

/// Returns the water level: the time that all ranks below it reach if `load` is distributed over
/// them.
fn water_level(replicas: &[Replica], load: f32, loads: &[f32], costs: &[f32]) -> f32 {
    let time_of = |r: &Replica| loads[usize::from(r.rank)] * costs[usize::from(r.rank)];
    let mut excluded_from = f32::INFINITY;

    // Exclude the slowest rank until the level is above the times of all others. Each round
    // excludes at least one rank, so the loop ends in spite of rounding.
    loop {
        let (mut speed, mut current_load, mut slowest, mut count) = (0.0, 0.0, 0.0_f32, 0);

        for replica in replicas.iter().filter(|r| time_of(r) < excluded_from) {
            speed += 1.0 / costs[usize::from(replica.rank)];
            current_load += loads[usize::from(replica.rank)];
            slowest = slowest.max(time_of(replica));
            count += 1;
        }

        let level = (load + current_load) / speed;

        if slowest <= level || count <= 1 {
            return level.max(slowest);
        }

        excluded_from = slowest;

        // Several equally slow ranks must not all be excluded.
        if !replicas.iter().any(|r| time_of(r) < excluded_from) {
            return level.max(slowest);
        }
    }
}
