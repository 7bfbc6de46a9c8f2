//! Local search for a placement that balances the ranks better with few copies of experts.
//!
//! Each round takes the set whose busiest rank is furthest above the mean and relieves that rank by
//! one step: it drops a replica, exchanges an expert with another rank, or lets another rank hold
//! one more replica, if necessary in place of one of that rank's replicas. The step with the best
//! ratio of relief to copies is applied. The search ends when all sets meet the target, no step is
//! worth its copies, or the limits on new experts are reached.
//!
//! A rank copies the experts of all sets one after the other over a single link, and all ranks wait
//! for the one that copies most. The number of copies per rank is therefore limited over all sets
//! together.

use grebedeck_core::{Expert, Rank};

use crate::placement::{Placement, SetPlacement, rank_times};

/// Options of the search.
#[derive(Clone, Copy, Debug)]
pub struct AssignOptions {
    /// Maximum number of experts of one set that a rank can hold.
    pub slots_per_rank: usize,
    /// Maximum number of new experts per rank and set in one placement.
    pub max_new_per_rank: usize,
    /// Maximum number of new experts per rank over all sets in one placement.
    pub max_copies_per_rank: usize,
    /// Load of the busiest rank relative to the mean at which a set needs no further steps.
    pub target_skew: f32,
    /// Minimum reduction of the skew per copied expert, in a group of up to 16 ranks; larger groups
    /// need proportionally less.
    pub min_gain_per_copy: f32,
}

/// Largest group in which a copy has to gain the whole of [`AssignOptions::min_gain_per_copy`].
///
/// In a larger group more ranks are above the mean, one copy relieves only one of them, and all
/// ranks copy at the same time. With 192 ranks and the unscaled minimum, the search ends at a skew
/// of 2.19 after 70 copies, although 449 copies reach 1.40.
const FULL_GAIN_RANKS: f32 = 16.0;
/// Maximum number of ranks, the least loaded ones, considered as partners of the busiest rank.
///
/// For 10 sets of 384 experts on 192 ranks the search takes 19 ms of CPU time with this limit, and
/// 105 ms when all 191 other ranks are considered. At 0.15 of a core the latter would silence a
/// leader for longer than the other ranks wait for it.
const MAX_CANDIDATES: usize = 24;

/// A step of the search: the experts that one or two ranks drop and add.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    rank: Rank,
    removed: Option<Expert>,
    added: Option<Expert>,
    other: Option<(Rank, Option<Expert>, Option<Expert>)>,
}

impl Step {
    /// Returns the ranks whose experts change.
    fn ranks(&self) -> impl Iterator<Item = Rank> + use<> {
        let other = self.other.map(|(rank, _, _)| rank);

        std::iter::once(self.rank).chain(other)
    }
}

/// Added to the number of copies by which a step's relief is divided when steps are compared.
const BASE_COPIES: f32 = 0.25;
/// Number of copies charged to a step without copies, since it needs a changeover as well.
const MIN_CHARGED_COPIES: f32 = 0.25;
/// Exponent of the power mean over ranks: high enough that the busiest ranks dominate, low enough
/// that ranks close to them still count.
const PEAK_EXPONENT: i32 = 8;
/// Maximum number of steps per set, as an average over the sets. Each step makes at most two
/// copies, and few are ever needed.
const MAX_STEPS_PER_SET: usize = 200;

/// Returns an improved placement, or a copy of `current` if no step is worth its copies.
///
/// `popularity` is the load of each expert of each set, and `costs` each rank's time per unit of
/// load.
pub fn improve(
    current: &Placement,
    popularity: &[Vec<f32>],
    costs: &[f32],
    options: &AssignOptions,
) -> Placement {
    let sets = current.sets.iter().zip(popularity);
    let mut searches: Vec<_> = sets.map(|(s, p)| Search::new(s, p, costs, options)).collect();
    let mut copied = vec![0; costs.len()];

    for _ in 0..MAX_STEPS_PER_SET * searches.len() {
        let open = searches.iter_mut().filter(|s| !s.is_done);

        let Some(search) = open.max_by(|a, b| a.skew().total_cmp(&b.skew())) else {
            break;
        };

        search.advance(&mut copied);
    }

    Placement { sets: searches.into_iter().map(|s| s.set).collect() }
}

/// Search within one set.
struct Search<'a> {
    before: &'a SetPlacement,
    popularity: &'a [f32],
    costs: &'a [f32],
    options: &'a AssignOptions,
    set: SetPlacement,
    /// The ranks that hold each expert.
    holders: Vec<Vec<Rank>>,
    times: Vec<f32>,
    /// Number of experts that each rank has to copy.
    new_counts: Vec<usize>,
    mean: f32,
    /// [`AssignOptions::min_gain_per_copy`], scaled to the size of the group.
    min_gain_per_copy: f32,
    /// Whether the target is met or no step is worth its copies.
    is_done: bool,
}

/// Changes of the ranks' times by a step; a rank may occur more than once.
type TimeChanges = Vec<(Rank, f32)>;

impl<'a> Search<'a> {
    fn new(
        before: &'a SetPlacement,
        popularity: &'a [f32],
        costs: &'a [f32],
        options: &'a AssignOptions,
    ) -> Self {
        let total: f32 = popularity.iter().sum();
        let mut holders = vec![Vec::new(); popularity.len()];

        for (rank, held) in before.iter().enumerate() {
            held.iter().for_each(|e| holders[usize::from(*e)].push(rank as Rank));
        }

        Search {
            before,
            popularity,
            costs,
            options,
            set: before.clone(),
            holders,
            times: rank_times(before, popularity, costs),
            new_counts: vec![0; before.len()],
            mean: total / before.len() as f32,
            min_gain_per_copy: options.min_gain_per_copy
                * (FULL_GAIN_RANKS / before.len() as f32).min(1.0),
            is_done: false,
        }
    }

    /// Returns the time of the busiest rank relative to the mean at normal cost.
    fn skew(&self) -> f32 {
        self.times[usize::from(self.busiest())] / self.mean
    }

    /// Applies the best step, or marks the set as done. `copied` is the number of copies of each
    /// rank over all sets, and is updated.
    fn advance(&mut self, copied: &mut [usize]) {
        if self.skew() <= self.options.target_skew {
            self.is_done = true;
            return;
        }

        let Some(step) = self.best_step(self.busiest(), copied) else {
            self.is_done = true;
            return;
        };

        for rank in step.ranks() {
            copied[usize::from(rank)] -= self.new_counts[usize::from(rank)];
        }

        self.apply(&step);

        for rank in step.ranks() {
            copied[usize::from(rank)] += self.new_counts[usize::from(rank)];
        }
    }

    fn busiest(&self) -> Rank {
        let ranks = 0..self.set.len();
        let busiest = ranks.max_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));

        busiest.unwrap_or(0) as Rank
    }

    fn best_step(&self, rank: Rank, copied: &[usize]) -> Option<Step> {
        let powers: f32 = self.times.iter().map(|t| self.power(*t)).sum();
        let soft_max = |powers: f32| powers.max(0.0).powf(1.0 / PEAK_EXPONENT as f32);
        let now = soft_max(powers);
        let mut best: Option<(f32, Step)> = None;

        for step in self.steps(rank, copied) {
            if !self.is_allowed(&step, copied) {
                continue;
            }

            let relief = now - soft_max(powers + self.power_sum_change(&step));
            let copies = self.copies(&step) as f32;

            if relief <= self.min_gain_per_copy * copies.max(MIN_CHARGED_COPIES) {
                continue;
            }

            let value = relief / (BASE_COPIES + copies);

            if best.is_none_or(|(most, _)| value > most) {
                best = Some((value, step));
            }
        }

        best.map(|(_, step)| step)
    }

    /// Returns a rank's term in the power sum that approximates the maximum of the ranks' times.
    fn power(&self, time: f32) -> f32 {
        (time / self.mean).powi(PEAK_EXPONENT)
    }

    fn power_sum_change(&self, step: &Step) -> f32 {
        let changes = self.time_changes(step);
        let mut sum = 0.0;

        for (at, (rank, _)) in changes.iter().enumerate() {
            // All changes of a rank are summed where the rank first occurs.
            if changes[..at].iter().any(|(earlier, _)| earlier == rank) {
                continue;
            }

            let own = changes.iter().filter(|(r, _)| r == rank).map(|(_, change)| change);
            let before = self.times[usize::from(*rank)];
            sum += self.power(before + own.sum::<f32>()) - self.power(before);
        }

        sum
    }

    /// Returns the ranks considered as partners of the busiest rank.
    fn candidates(&self, rank: Rank, copied: &[usize]) -> Vec<Rank> {
        let others = (0..self.set.len() as Rank).filter(|other| *other != rank);

        if self.set.len() <= MAX_CANDIDATES {
            return others.collect();
        }

        let may_copy =
            |other: &Rank| copied[usize::from(*other)] < self.options.max_copies_per_rank;
        let mut others: Vec<Rank> = others.filter(may_copy).collect();
        let time = |rank: &Rank| self.times[usize::from(*rank)];

        if others.len() > MAX_CANDIDATES {
            others.select_nth_unstable_by(MAX_CANDIDATES, |a, b| time(a).total_cmp(&time(b)));
            others.truncate(MAX_CANDIDATES);
        }

        others
    }

    fn steps(&self, rank: Rank, copied: &[usize]) -> Vec<Step> {
        let held = &self.set[usize::from(rank)];
        let candidates = self.candidates(rank, copied);
        let mut steps = Vec::new();

        for &expert in held {
            let removal = Step { rank, removed: Some(expert), added: None, other: None };

            if self.holders[usize::from(expert)].len() > 1 {
                steps.push(removal);
            }

            for &other in &candidates {
                if !self.set[usize::from(other)].contains(&expert) {
                    self.add_steps_with_partner(removal, other, expert, &mut steps);
                }
            }
        }

        steps
    }

    /// Adds the steps in which another rank receives an expert of the busiest rank.
    fn add_steps_with_partner(
        &self,
        removal: Step,
        other: Rank,
        expert: Expert,
        steps: &mut Vec<Step>,
    ) {
        let other_held = &self.set[usize::from(other)];
        let has_slot = other_held.len() < self.options.slots_per_rank;
        let replication = Step { removed: None, ..removal };

        if has_slot {
            steps.push(Step { other: Some((other, None, Some(expert))), ..replication });
            steps.push(Step { other: Some((other, None, Some(expert))), ..removal });
        }

        for &replaced in other_held {
            if self.holders[usize::from(replaced)].len() > 1 {
                steps.push(Step {
                    other: Some((other, Some(replaced), Some(expert))),
                    ..replication
                });
            }

            if !self.set[usize::from(removal.rank)].contains(&replaced) {
                let exchange = (other, Some(replaced), Some(expert));
                steps.push(Step { added: Some(replaced), other: Some(exchange), ..removal });
            }
        }
    }

    fn is_new(&self, rank: Rank, expert: Expert) -> bool {
        !self.before[usize::from(rank)].contains(&expert)
    }

    fn is_allowed(&self, step: &Step, copied: &[usize]) -> bool {
        let is_within_limits = |rank: Rank, removed: Option<Expert>, added: Option<Expert>| {
            let before = self.new_counts[usize::from(rank)];
            let undone = usize::from(removed.is_some_and(|e| self.is_new(rank, e)));
            let taken = usize::from(added.is_some_and(|e| self.is_new(rank, e)));
            let after = before + taken - undone;
            let over_all_sets = copied[usize::from(rank)] - before + after;

            after <= self.options.max_new_per_rank
                && over_all_sets <= self.options.max_copies_per_rank
        };

        is_within_limits(step.rank, step.removed, step.added)
            && step
                .other
                .is_none_or(|(rank, removed, added)| is_within_limits(rank, removed, added))
    }

    fn copies(&self, step: &Step) -> usize {
        let is_copy =
            |rank: Rank, added: Option<Expert>| added.is_some_and(|e| self.is_new(rank, e));
        let other = step.other.is_some_and(|(rank, _, added)| is_copy(rank, added));

        usize::from(is_copy(step.rank, step.added)) + usize::from(other)
    }

    /// Returns the change in the number of holders of each expert in a step; 0 for an exchange.
    fn holder_changes(&self, step: &Step) -> Vec<(Expert, i32)> {
        let other = step.other.map(|(_, removed, added)| (removed, added)).unwrap_or_default();
        let moved = [(step.removed, -1), (step.added, 1), (other.0, -1), (other.1, 1)];
        let mut changes: Vec<(Expert, i32)> = Vec::with_capacity(4);

        for (expert, change) in moved.into_iter().filter_map(|(e, c)| Some((e?, c))) {
            match changes.iter_mut().find(|(e, _)| *e == expert) {
                Some((_, sum)) => *sum += change,
                None => changes.push((expert, change)),
            }
        }

        changes
    }

    /// Returns the changes of the times of all ranks that hold one of the step's experts before or
    /// after it.
    fn time_changes(&self, step: &Step) -> TimeChanges {
        let mut changes = Vec::with_capacity(16);

        for (expert, change) in self.holder_changes(step) {
            let popularity = self.popularity[usize::from(expert)];
            let holders = &self.holders[usize::from(expert)];
            let share_before = popularity / holders.len() as f32;
            let count = (holders.len() as u32).saturating_add_signed(change).max(1);
            let share_after = popularity / count as f32;

            for &rank in holders {
                let stays = is_held_after(step, rank, expert, true);
                let after = if stays { share_after } else { 0.0 };
                changes.push((rank, (after - share_before) * self.costs[usize::from(rank)]));
            }

            for (rank, added) in added_experts(step) {
                if added == Some(expert) {
                    changes.push((rank, share_after * self.costs[usize::from(rank)]));
                }
            }
        }

        changes
    }

    fn apply(&mut self, step: &Step) {
        for (rank, change) in self.time_changes(step) {
            self.times[usize::from(rank)] += change;
        }

        self.change(step.rank, step.removed, step.added);

        if let Some((rank, removed, added)) = step.other {
            self.change(rank, removed, added);
        }
    }

    fn change(&mut self, rank: Rank, removed: Option<Expert>, added: Option<Expert>) {
        let had = &self.before[usize::from(rank)];
        let held = &mut self.set[usize::from(rank)];
        held.retain(|e| Some(*e) != removed);
        held.extend(added);
        self.new_counts[usize::from(rank)] = held.iter().filter(|e| !had.contains(e)).count();

        if let Some(expert) = removed {
            self.holders[usize::from(expert)].retain(|r| *r != rank);
        }

        if let Some(expert) = added {
            self.holders[usize::from(expert)].push(rank);
        }
    }
}

/// Returns the ranks of a step with the expert that each adds.
fn added_experts(step: &Step) -> impl Iterator<Item = (Rank, Option<Expert>)> {
    let other = step.other.map(|(rank, _, added)| (rank, added));

    std::iter::once((step.rank, step.added)).chain(other)
}

fn is_held_after(step: &Step, rank: Rank, expert: Expert, had: bool) -> bool {
    let change = |removed: Option<Expert>, added: Option<Expert>| {
        (had && removed != Some(expert)) || added == Some(expert)
    };

    match step.other {
        _ if rank == step.rank => change(step.removed, step.added),
        Some((other, removed, added)) if other == rank => change(removed, added),
        _ => had,
    }
}
