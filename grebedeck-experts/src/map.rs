//! Expert maps: for each layer, the ranks that hold each expert and their shares of its tokens.

use grebedeck_core::{Expert, Layer, Rank};
use serde::{Deserialize, Serialize};

/// A copy of an expert on one rank.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// The rank that holds it.
    pub rank: Rank,
    /// Fraction of the expert's tokens that this replica processes.
    pub share: f32,
}

/// Placement of the experts of one layer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LayerMap {
    /// Replicas of each expert: at least one, each on a different rank.
    pub experts: Vec<Vec<Replica>>,
}

/// Placement of all experts of a model on the ranks of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Number of ranks.
    pub ranks: Rank,
    /// Maximum number of experts of one layer that a rank can hold.
    pub slots_per_rank: u16,
    /// Placement of each layer.
    pub layers: Vec<LayerMap>,
}

/// Difference between two maps, as it is sent to members.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MapDelta {
    /// The experts whose replicas or shares differ.
    pub experts: Vec<ExpertDelta>,
}

/// The new placement of one expert.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertDelta {
    /// The expert's layer.
    pub layer: Layer,
    /// The expert.
    pub expert: Expert,
    /// Ranks with their weights; a replica's share is its weight divided by the sum of weights.
    pub replicas: Vec<(Rank, u8)>,
}

/// An expert whose weights a rank has to load for a new map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Move {
    /// The layer of the expert.
    pub layer: Layer,
    /// The expert to load.
    pub expert: Expert,
    /// The rank that loads it.
    pub rank: Rank,
}

impl LayerMap {
    /// Returns the load of each rank for the given loads of the experts.
    pub fn rank_loads(&self, expert_loads: &[f32], ranks: Rank) -> Vec<f32> {
        let mut loads = vec![0.0; usize::from(ranks)];

        for (replicas, load) in self.experts.iter().zip(expert_loads) {
            for replica in replicas {
                loads[usize::from(replica.rank)] += load * replica.share;
            }
        }

        loads
    }

    /// Returns whether the rank holds the expert.
    pub fn holds(&self, expert: Expert, rank: Rank) -> bool {
        self.experts[usize::from(expert)].iter().any(|r| r.rank == rank)
    }

    /// Returns the number of experts that the rank holds.
    pub fn expert_count(&self, rank: Rank) -> usize {
        self.experts.iter().flatten().filter(|r| r.rank == rank).count()
    }
}

impl ExpertMap {
    /// Creates an initial map: each expert has one home rank, and the other slots hold replicas.
    ///
    /// Replicas of the experts of one rank go to different other ranks. Load can then move between
    /// any two ranks, along a chain of experts, by changing shares alone.
    ///
    /// # Panics
    ///
    /// Panics if the ranks have too few slots for one replica of each expert.
    pub fn spread(ranks: Rank, experts: Expert, layers: Layer, slots_per_rank: u16) -> Self {
        let layers = (0..layers).map(|l| spread_layer(ranks, experts, l, slots_per_rank)).collect();

        ExpertMap { ranks, slots_per_rank, layers }
    }

    /// Returns the weights that ranks have to load to get from this map to the next.
    pub fn moves_to(&self, next: &ExpertMap) -> Vec<Move> {
        let mut moves = Vec::new();

        for (layer, (before, after)) in self.layers.iter().zip(&next.layers).enumerate() {
            for (expert, replicas) in after.experts.iter().enumerate() {
                let expert = expert as Expert;
                let new = replicas.iter().filter(|r| !before.holds(expert, r.rank));
                moves.extend(new.map(|r| Move { layer: layer as Layer, expert, rank: r.rank }));
            }
        }

        moves
    }

    /// Returns the difference from this map to the next. Shares are rounded to multiples of 1/255.
    pub fn delta_to(&self, next: &ExpertMap) -> MapDelta {
        let mut experts = Vec::new();

        for (layer, (before, after)) in self.layers.iter().zip(&next.layers).enumerate() {
            for (expert, replicas) in after.experts.iter().enumerate() {
                let (layer, expert) = (layer as Layer, expert as Expert);

                if before.experts[usize::from(expert)] != *replicas {
                    let weight = |r: &Replica| (r.rank, (r.share * 255.0).round() as u8);
                    let replicas = replicas.iter().map(weight).collect();
                    experts.push(ExpertDelta { layer, expert, replicas });
                }
            }
        }

        MapDelta { experts }
    }

    /// Returns this map with the difference applied, or `None` if it does not fit this map: an
    /// unknown layer, expert or rank, or an expert without replicas.
    pub fn apply_delta(&self, delta: &MapDelta) -> Option<ExpertMap> {
        let mut next = self.clone();

        for change in &delta.experts {
            let layer = next.layers.get_mut(usize::from(change.layer))?;
            let replicas = layer.experts.get_mut(usize::from(change.expert))?;
            *replicas = replicas_from_weights(&change.replicas, self.ranks)?;
        }

        Some(next)
    }

    /// Checks the invariants of a map: the shares of each expert add up to one, and no rank holds
    /// more experts than it has slots.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn assert_valid(&self) {
        for layer in &self.layers {
            let mut held = vec![0u16; usize::from(self.ranks)];

            for replicas in &layer.experts {
                let total: f32 = replicas.iter().map(|r| r.share).sum();
                assert!((total - 1.0).abs() < 1e-3, "the shares of an expert must add up to one");

                for replica in replicas {
                    held[usize::from(replica.rank)] += 1;
                }
            }

            let most = held.iter().max().copied().unwrap_or(0);
            assert!(most <= self.slots_per_rank, "a rank holds more experts than it has slots");
        }
    }
}

fn replicas_from_weights(weights: &[(Rank, u8)], ranks: Rank) -> Option<Vec<Replica>> {
    let sum: u32 = weights.iter().map(|(_, w)| u32::from(*w)).sum();

    if weights.is_empty() || weights.iter().any(|(rank, _)| *rank >= ranks) {
        return None;
    }

    let share = |weight: u8| match sum {
        0 => 1.0 / weights.len() as f32,
        _ => f32::from(weight) / sum as f32,
    };

    Some(weights.iter().map(|(rank, w)| Replica { rank: *rank, share: share(*w) }).collect())
}

fn spread_layer(ranks: Rank, experts: Expert, layer: Layer, slots_per_rank: u16) -> LayerMap {
    let ranks_len = usize::from(ranks);
    let mut held = vec![0u16; ranks_len];
    let mut holders: Vec<Vec<Rank>> = vec![Vec::new(); usize::from(experts)];

    for (expert, expert_ranks) in holders.iter_mut().enumerate() {
        let home = (expert + usize::from(layer)) % ranks_len;
        expert_ranks.push(home as Rank);
        held[home] += 1;
    }

    assert!(held.iter().all(|h| *h <= slots_per_rank), "too few slots for the experts");

    // Each round adds one replica per expert while slots are free. The distance from the home rank
    // differs from expert to expert.
    for round in 0..ranks_len {
        for (expert, expert_ranks) in holders.iter_mut().enumerate() {
            let stride =
                1 + (expert / ranks_len + round * 3 + usize::from(layer)) % (ranks_len - 1).max(1);
            let start = usize::from(expert_ranks[0]);
            let is_free =
                |r: &usize| held[*r] < slots_per_rank && !expert_ranks.contains(&(*r as Rank));
            let candidate =
                (0..ranks_len).map(|k| (start + stride * (k + 1)) % ranks_len).find(is_free);

            if let Some(rank) = candidate.filter(|_| (expert + round) % 2 == 0 || round > 0) {
                expert_ranks.push(rank as Rank);
                held[rank] += 1;
            }
        }
    }

    let with_equal_shares = |expert_ranks: Vec<Rank>| {
        let share = 1.0 / expert_ranks.len() as f32;
        expert_ranks.into_iter().map(|rank| Replica { rank, share }).collect()
    };

    LayerMap { experts: holders.into_iter().map(with_equal_shares).collect() }
}
