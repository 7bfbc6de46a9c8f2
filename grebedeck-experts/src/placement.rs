//! Placements of experts on ranks, for engines that spread an expert's tokens evenly over the ranks
//! that hold it.

use grebedeck_core::{Expert, Rank};
use serde::{Deserialize, Serialize};

/// Experts of one set of layers, by rank.
pub type SetPlacement = Vec<Vec<Expert>>;

/// Experts by set and rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The sets of layers.
    pub sets: Vec<SetPlacement>,
}

/// The experts of one rank and set in a new placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankChange {
    /// The set.
    pub set: u16,
    /// The rank.
    pub rank: Rank,
    /// Its experts.
    pub experts: Vec<Expert>,
}

impl Placement {
    /// Returns the changes that lead to the next placement, usually a small part of it.
    pub fn changes_to(&self, next: &Placement) -> Vec<RankChange> {
        let mut changes = Vec::new();

        for (set, (before, after)) in self.sets.iter().zip(&next.sets).enumerate() {
            for (rank, (had, has)) in before.iter().zip(after).enumerate() {
                if had != has {
                    let (set, rank) = (set as u16, rank as Rank);
                    changes.push(RankChange { set, rank, experts: has.clone() });
                }
            }
        }

        changes
    }

    /// Returns the placement with changes applied, or `None` if they name a set or rank that it
    /// lacks.
    pub fn with(&self, changes: &[RankChange]) -> Option<Placement> {
        let mut next = self.clone();

        for change in changes {
            let set = next.sets.get_mut(usize::from(change.set))?;
            *set.get_mut(usize::from(change.rank))? = change.experts.clone();
        }

        Some(next)
    }

    /// Returns the placement that engines start with: experts are dealt to the ranks in turn.
    pub fn round_robin(ranks: Rank, sets: usize, experts: Expert) -> Self {
        let held_by = |rank: Rank| (rank..experts).step_by(usize::from(ranks)).collect();
        let set: SetPlacement = (0..ranks).map(held_by).collect();

        Placement { sets: vec![set; sets] }
    }

    /// Assembles a placement from the part of each rank, in the order of ranks.
    pub fn from_parts<'a>(parts: impl Iterator<Item = &'a Vec<Vec<Expert>>>) -> Self {
        let mut sets: Vec<SetPlacement> = Vec::new();

        for part in parts {
            sets.resize(sets.len().max(part.len()), Vec::new());

            for (set, held) in sets.iter_mut().zip(part) {
                set.push(held.clone());
            }
        }

        Placement { sets }
    }

    /// Returns the part of a rank, by set.
    pub fn part_of(&self, rank: Rank) -> Vec<Vec<Expert>> {
        let held = |set: &SetPlacement| set.get(usize::from(rank)).cloned().unwrap_or_default();

        self.sets.iter().map(held).collect()
    }

    /// Returns the number of ranks.
    pub fn ranks(&self) -> Rank {
        self.sets.first().map_or(0, |set| set.len() as Rank)
    }

    /// Returns the number of sets, and of experts in each.
    pub fn shape(&self) -> (u16, Expert) {
        let highest = self.sets.iter().flatten().flatten().max();

        (self.sets.len() as u16, highest.map_or(0, |e| e + 1))
    }

    /// Returns the number of experts that ranks must copy to get from this placement to the next.
    pub fn copies_to(&self, next: &Placement) -> usize {
        let copies = |(before, after): (&SetPlacement, &SetPlacement)| -> usize {
            let ranks = before.iter().zip(after);
            ranks.map(|(had, has)| has.iter().filter(|e| !had.contains(e)).count()).sum()
        };

        self.sets.iter().zip(&next.sets).map(copies).sum()
    }

    /// Returns the load of the busiest rank relative to the mean, averaged over the sets.
    pub fn skew(&self, popularity: &[Vec<f32>], costs: &[f32]) -> f32 {
        let skews = self.sets.iter().zip(popularity).map(|(set, p)| set_skew(set, p, costs));
        let sum: f32 = skews.sum();

        sum / self.sets.len().max(1) as f32
    }
}

/// Returns the number of ranks that hold each expert.
pub fn replica_counts(set: &SetPlacement, experts: usize) -> Vec<u32> {
    let mut replica_counts = vec![0; experts];

    for expert in set.iter().flatten() {
        replica_counts[usize::from(*expert)] += 1;
    }

    replica_counts
}

/// Returns the relative time of each rank, from the experts' popularity and the ranks' costs.
pub fn rank_times(set: &SetPlacement, popularity: &[f32], costs: &[f32]) -> Vec<f32> {
    let replica_counts = replica_counts(set, popularity.len());
    let share = |e: &Expert| popularity[usize::from(*e)] / replica_counts[usize::from(*e)] as f32;
    let load = |held: &Vec<Expert>| held.iter().map(share).sum::<f32>();

    set.iter().zip(costs).map(|(held, cost)| load(held) * cost).collect()
}

fn set_skew(set: &SetPlacement, popularity: &[f32], costs: &[f32]) -> f32 {
    let total: f32 = popularity.iter().sum();
    let busiest = rank_times(set, popularity, costs).into_iter().fold(0.0, f32::max);

    if total > 0.0 { busiest * set.len() as f32 / total } else { 1.0 }
}
