//! The experts that simulated engines hold, and placements made of them.

use std::sync::Arc;

use grebedeck_core::Rank;
use grebedeck_experts::Placement;

/// Number of experts of the engines.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Sets of layers.
    pub sets: u16,
    /// Experts of a set that each rank holds initially.
    pub per_rank: u16,
}

/// One set, two experts per rank.
pub const SMALL_SHAPE: Shape = Shape { sets: 1, per_rank: 2 };

impl Shape {
    /// Returns the placement that engines start with.
    pub fn initial(self, size: usize) -> Arc<Placement> {
        let experts = self.per_rank * size as u16;
        Arc::new(Placement::round_robin(size as Rank, usize::from(self.sets), experts))
    }

    /// Returns a placement with one more expert at each rank than the initial one.
    pub fn with_extra_expert(self, size: Rank, shift: u16) -> Placement {
        let experts = self.per_rank * size;
        let held = |set: u16, rank: Rank| -> Vec<u16> {
            let initial = (0..self.per_rank).map(|turn| rank + turn * size);
            initial.chain([(rank + shift + set) % experts]).collect()
        };
        let set = |set| (0..size).map(|rank| held(set, rank)).collect();

        Placement { sets: (0..self.sets).map(set).collect() }
    }
}
