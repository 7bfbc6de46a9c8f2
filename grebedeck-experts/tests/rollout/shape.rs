//! What engines hold, and the placements that are made of it.

use std::sync::Arc;

use grebedeck_core::Rank;
use grebedeck_experts::Placement;

/// What the engines' experts look like.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Sets of layers.
    pub sets: u16,
    /// Experts of a set that each rank starts with.
    pub per_rank: u16,
}

/// One set, two experts a rank.
pub const SMALL_SHAPE: Shape = Shape { sets: 1, per_rank: 2 };

impl Shape {
    /// Gets the placement that engines start with.
    pub fn dealt(self, size: usize) -> Arc<Placement> {
        let experts = self.per_rank * size as u16;
        Arc::new(Placement::round_robin(size as Rank, usize::from(self.sets), experts))
    }

    /// Gets a placement with one more expert at each rank than it starts with.
    pub fn shifted(self, size: Rank, shift: u16) -> Placement {
        let experts = self.per_rank * size;
        let held = |set: u16, rank: Rank| -> Vec<u16> {
            let dealt = (0..self.per_rank).map(|turn| rank + turn * size);
            dealt.chain([(rank + shift + set) % experts]).collect()
        };
        let set = |set| (0..size).map(|rank| held(set, rank)).collect();

        Placement { sets: (0..self.sets).map(set).collect() }
    }
}
