//! Finding a better placement with few copies.
//!
//! Each set is improved by itself: the busiest rank gives something away, by dropping a replica, by an
//! exchange, or by a replica elsewhere in place of one that is missed least. Of all such steps the one
//! is taken that lowers the ranks' times most for its copies, until the target is met, no step is worth
//! its copies, or the engines take no more new experts at once.

use grebedeck_core::{Expert, Rank};

use crate::placement::{Placement, SetPlacement, holders, rank_times};

/// Settings of the search.
#[derive(Clone, Copy, Debug)]
pub struct AssignOptions {
    /// Experts of a set that a rank can hold.
    pub places: usize,
    /// Most experts of a set that a placement may bring to a rank.
    pub max_new: usize,
    /// Load of the busiest rank, relative to the mean, that is good enough.
    pub target_skew: f32,
    /// Least gain in skew that is worth the copy of one expert.
    pub min_gain_per_copy: f32,
}

/// A step of the search: what each of one or two ranks loses and takes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    rank: Rank,
    loses: Option<Expert>,
    takes: Option<Expert>,
    other: Option<(Rank, Option<Expert>, Option<Expert>)>,
}

/// Weight of a copy against the relief of the ranks' times when steps are compared.
const COPY_WEIGHT: f32 = 0.25;
/// Power that makes a sum over ranks follow the busiest ones, without ignoring those close to them.
const PEAK_POWER: i32 = 8;
/// Most steps in one set: each brings at most two copies, and few are ever needed.
const MAX_STEPS: usize = 200;

/// Finds a better placement for the experts' popularity and the ranks' costs.
pub fn improve(
    current: &Placement,
    popularity: &[Vec<f32>],
    costs: &[f32],
    options: &AssignOptions,
) -> Placement {
    let improve = |(set, popularity): (&SetPlacement, &Vec<f32>)| {
        Search::new(set, popularity, costs, options).run()
    };

    Placement { sets: current.sets.iter().zip(popularity).map(improve).collect() }
}

struct Search<'a> {
    before: &'a SetPlacement,
    popularity: &'a [f32],
    costs: &'a [f32],
    options: &'a AssignOptions,
    set: SetPlacement,
    holders: Vec<u32>,
    times: Vec<f32>,
    mean: f32,
}

impl<'a> Search<'a> {
    fn new(
        before: &'a SetPlacement,
        popularity: &'a [f32],
        costs: &'a [f32],
        options: &'a AssignOptions,
    ) -> Self {
        let total: f32 = popularity.iter().sum();

        Search {
            before,
            popularity,
            costs,
            options,
            set: before.clone(),
            holders: holders(before, popularity.len()),
            times: rank_times(before, popularity, costs),
            mean: total / before.len() as f32,
        }
    }

    fn run(mut self) -> SetPlacement {
        for _ in 0..MAX_STEPS {
            let busiest = self.busiest();

            if self.times[usize::from(busiest)] <= self.mean * self.options.target_skew {
                break;
            }

            let Some(step) = self.best_step(busiest) else {
                break;
            };

            self.apply(&step);
        }

        self.set
    }

    fn busiest(&self) -> Rank {
        let ranks = 0..self.set.len();
        let busiest = ranks.max_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));

        busiest.unwrap_or(0) as Rank
    }

    fn best_step(&self, rank: Rank) -> Option<Step> {
        let now = self.peak(&self.times);
        let mut best: Option<(f32, Step)> = None;

        for step in self.steps(rank) {
            if !self.is_allowed(&step) {
                continue;
            }

            let times = self.times_after(&step);
            let relief = (now - self.peak(&times)) / self.mean;
            let copies = self.copies(&step) as f32;

            if relief <= self.options.min_gain_per_copy * copies.max(0.25) {
                continue;
            }

            let value = relief / (COPY_WEIGHT + copies);

            if best.is_none_or(|(most, _)| value > most) {
                best = Some((value, step));
            }
        }

        best.map(|(_, step)| step)
    }

    /// Gets a smooth measure of the busiest ranks' times.
    fn peak(&self, times: &[f32]) -> f32 {
        let sum: f32 = times.iter().map(|t| (t / self.mean).powi(PEAK_POWER)).sum();

        sum.powf(1.0 / PEAK_POWER as f32) * self.mean
    }

    fn steps(&self, rank: Rank) -> Vec<Step> {
        let held = &self.set[usize::from(rank)];
        let mut steps = Vec::new();

        for &expert in held {
            let alone = Step { rank, loses: Some(expert), takes: None, other: None };

            if self.holders[usize::from(expert)] > 1 {
                steps.push(alone);
            }

            for other in 0..self.set.len() as Rank {
                let theirs = &self.set[usize::from(other)];

                if other == rank || theirs.contains(&expert) {
                    continue;
                }

                self.add_steps_with(alone, other, expert, &mut steps);
            }
        }

        steps
    }

    /// Adds the steps by which another rank takes an expert of the busiest one.
    fn add_steps_with(&self, alone: Step, other: Rank, expert: Expert, steps: &mut Vec<Step>) {
        let theirs = &self.set[usize::from(other)];
        let has_place = theirs.len() < self.options.places;
        let spread = Step { loses: None, ..alone };

        if has_place {
            steps.push(Step { other: Some((other, None, Some(expert))), ..spread });
            steps.push(Step { other: Some((other, None, Some(expert))), ..alone });
        }

        for &given in theirs {
            if self.holders[usize::from(given)] > 1 {
                steps.push(Step { other: Some((other, Some(given), Some(expert))), ..spread });
            }

            if !self.set[usize::from(alone.rank)].contains(&given) {
                let exchange = (other, Some(given), Some(expert));
                steps.push(Step { takes: Some(given), other: Some(exchange), ..alone });
            }
        }
    }

    fn is_allowed(&self, step: &Step) -> bool {
        let within = |rank: Rank, loses: Option<Expert>, takes: Option<Expert>| {
            let before = &self.before[usize::from(rank)];
            let is_new = |e: &Expert| !before.contains(e);
            let held = &self.set[usize::from(rank)];
            let new = held.iter().filter(|e| is_new(e) && Some(**e) != loses).count();

            new + takes.iter().filter(|e| is_new(e)).count() <= self.options.max_new
        };

        within(step.rank, step.loses, step.takes)
            && step.other.is_none_or(|(rank, loses, takes)| within(rank, loses, takes))
    }

    fn copies(&self, step: &Step) -> usize {
        let is_copy = |rank: Rank, takes: Option<Expert>| {
            takes.is_some_and(|e| !self.before[usize::from(rank)].contains(&e))
        };
        let other = step.other.is_some_and(|(rank, _, takes)| is_copy(rank, takes));

        usize::from(is_copy(step.rank, step.takes)) + usize::from(other)
    }

    /// Gets the change of each expert's number of holders.
    fn holder_changes(step: &Step) -> impl Iterator<Item = (Expert, i32)> {
        let other = step.other.map(|(_, loses, takes)| (loses, takes));
        let sides = [Some((step.loses, step.takes)), other];

        sides.into_iter().flatten().flat_map(|(loses, takes)| {
            loses.map(|e| (e, -1)).into_iter().chain(takes.map(|e| (e, 1)))
        })
    }

    fn times_after(&self, step: &Step) -> Vec<f32> {
        let mut times = self.times.clone();
        let mut after = self.clone_holders(step);
        self.add_share_changes(step, &mut after, &mut times);

        times
    }

    fn clone_holders(&self, step: &Step) -> Vec<(Expert, u32)> {
        let mut after: Vec<(Expert, u32)> = Vec::with_capacity(4);

        for (expert, change) in Self::holder_changes(step) {
            match after.iter_mut().find(|(e, _)| *e == expert) {
                Some((_, count)) => *count = count.saturating_add_signed(change),
                None => {
                    let count = self.holders[usize::from(expert)].saturating_add_signed(change);
                    after.push((expert, count));
                }
            }
        }

        after
    }

    fn add_share_changes(&self, step: &Step, after: &mut [(Expert, u32)], times: &mut [f32]) {
        for (expert, count) in after {
            let popularity = self.popularity[usize::from(*expert)];
            let share_before = popularity / self.holders[usize::from(*expert)] as f32;
            let share_after = popularity / (*count).max(1) as f32;

            for (rank, held) in self.set.iter().enumerate() {
                let had = held.contains(expert);
                let has = holds_after(step, rank as Rank, *expert, had);
                let before = if had { share_before } else { 0.0 };
                let after = if has { share_after } else { 0.0 };
                times[rank] += (after - before) * self.costs[rank];
            }
        }
    }

    fn apply(&mut self, step: &Step) {
        self.times = self.times_after(step);

        for (expert, change) in Self::holder_changes(step) {
            let count = &mut self.holders[usize::from(expert)];
            *count = count.saturating_add_signed(change);
        }

        self.change(step.rank, step.loses, step.takes);

        if let Some((rank, loses, takes)) = step.other {
            self.change(rank, loses, takes);
        }
    }

    fn change(&mut self, rank: Rank, loses: Option<Expert>, takes: Option<Expert>) {
        let held = &mut self.set[usize::from(rank)];
        held.retain(|e| Some(*e) != loses);
        held.extend(takes);
    }
}

fn holds_after(step: &Step, rank: Rank, expert: Expert, had: bool) -> bool {
    let change = |loses: Option<Expert>, takes: Option<Expert>| {
        (had && loses != Some(expert)) || takes == Some(expert)
    };

    match step.other {
        _ if rank == step.rank => change(step.loses, step.takes),
        Some((other, loses, takes)) if other == rank => change(loses, takes),
        _ => had,
    }
}
