//! Finding a better placement with few copies.
//!
//! The set whose busiest rank stands highest above the mean is improved first: that rank gives something
//! away, by dropping a replica, by an exchange, or by a replica elsewhere in place of one that is missed
//! least. Of all such steps the one is taken that lowers the ranks' times most for its copies, until the
//! target is met everywhere, no step is worth its copies, or the engines take no more new experts at once.
//!
//! A rank copies over one link for all sets, one expert after the other, and all ranks wait for the one
//! that copies most; so what a rank copies is limited over all sets together.

use grebedeck_core::{Expert, Rank};

use crate::placement::{Placement, SetPlacement, rank_times};

/// Settings of the search.
#[derive(Clone, Copy, Debug)]
pub struct AssignOptions {
    /// Experts of a set that a rank can hold.
    pub slots_per_rank: usize,
    /// Most experts of a set that a placement may bring to a rank.
    pub max_new_per_rank: usize,
    /// Most experts that a placement may bring to a rank, over all sets.
    pub max_copies_per_rank: usize,
    /// Load of the busiest rank, relative to the mean, that is good enough.
    pub target_skew: f32,
    /// Least gain in skew that is worth the copy of one expert, in a group of up to [`GAIN_RANKS`] ranks.
    pub min_gain_per_copy: f32,
}

/// Ranks up to which a copy has to gain the whole of [`AssignOptions::min_gain_per_copy`]. With more of them,
/// more ranks stand above the mean, one copy relieves one of them, and all copy at the same time: with 192 and
/// the whole gain the search ended at a skew of 2.19 after 70 copies, where 449 reach 1.40.
const GAIN_RANKS: f32 = 16.0;
/// Ranks that may take something from the busiest one: the least loaded ones. Looking at all 191 others took
/// 105 ms of a core for a placement of 10 sets of 384 experts, 19 ms with this limit; a leader with 0.15 of a core
/// was silent for longer than the others wait.
const MAX_CANDIDATES: usize = 24;

/// A step of the search: what each of one or two ranks loses and takes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    rank: Rank,
    loses: Option<Expert>,
    takes: Option<Expert>,
    other: Option<(Rank, Option<Expert>, Option<Expert>)>,
}

impl Step {
    /// Gets the ranks whose experts it changes.
    fn ranks(&self) -> impl Iterator<Item = Rank> + use<> {
        let other = self.other.map(|(rank, _, _)| rank);

        std::iter::once(self.rank).chain(other)
    }
}

/// Weight of a copy against the relief of the ranks' times when steps are compared.
const COPY_WEIGHT: f32 = 0.25;
/// Copies that a step without any counts as when its gain is weighed: it needs a changeover, too.
const FREE_STEP_COPIES: f32 = 0.25;
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
    let sets = current.sets.iter().zip(popularity);
    let mut searches: Vec<_> = sets.map(|(s, p)| Search::new(s, p, costs, options)).collect();
    let mut copied = vec![0; costs.len()];

    for _ in 0..MAX_STEPS * searches.len() {
        let open = searches.iter_mut().filter(|s| !s.is_done);

        let Some(search) = open.max_by(|a, b| a.peak().total_cmp(&b.peak())) else {
            break;
        };

        search.advance(&mut copied);
    }

    Placement { sets: searches.into_iter().map(|s| s.set).collect() }
}

struct Search<'a> {
    before: &'a SetPlacement,
    popularity: &'a [f32],
    costs: &'a [f32],
    options: &'a AssignOptions,
    set: SetPlacement,
    /// Ranks that hold each expert.
    holders: Vec<Vec<Rank>>,
    times: Vec<f32>,
    /// Experts that each rank has to copy.
    new: Vec<usize>,
    mean: f32,
    /// Least gain that is worth a copy, for as many ranks as there are.
    min_gain_per_copy: f32,
    /// Whether no further step is needed or worth its copies.
    is_done: bool,
}

/// Changes of ranks' times by a step; a rank may stand in it more than once.
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
            new: vec![0; before.len()],
            mean: total / before.len() as f32,
            min_gain_per_copy: options.min_gain_per_copy
                * (GAIN_RANKS / before.len() as f32).min(1.0),
            is_done: false,
        }
    }

    /// Gets the load of the busiest rank, relative to the mean.
    fn peak(&self) -> f32 {
        self.times[usize::from(self.busiest())] / self.mean
    }

    /// Takes the best step, where one is needed; `copied` counts what each rank copies for all sets.
    fn advance(&mut self, copied: &mut [usize]) {
        if self.peak() <= self.options.target_skew {
            self.is_done = true;
            return;
        }

        let Some(step) = self.best_step(self.busiest(), copied) else {
            self.is_done = true;
            return;
        };

        for rank in step.ranks() {
            copied[usize::from(rank)] -= self.new[usize::from(rank)];
        }

        self.apply(&step);

        for rank in step.ranks() {
            copied[usize::from(rank)] += self.new[usize::from(rank)];
        }
    }

    fn busiest(&self) -> Rank {
        let ranks = 0..self.set.len();
        let busiest = ranks.max_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));

        busiest.unwrap_or(0) as Rank
    }

    fn best_step(&self, rank: Rank, copied: &[usize]) -> Option<Step> {
        let powers: f32 = self.times.iter().map(|t| self.power(*t)).sum();
        let peak = |powers: f32| powers.max(0.0).powf(1.0 / PEAK_POWER as f32);
        let now = peak(powers);
        let mut best: Option<(f32, Step)> = None;

        for step in self.steps(rank, copied) {
            if !self.is_allowed(&step, copied) {
                continue;
            }

            let relief = now - peak(powers + self.power_change(&step));
            let copies = self.copies(&step) as f32;

            if relief <= self.min_gain_per_copy * copies.max(FREE_STEP_COPIES) {
                continue;
            }

            let value = relief / (COPY_WEIGHT + copies);

            if best.is_none_or(|(most, _)| value > most) {
                best = Some((value, step));
            }
        }

        best.map(|(_, step)| step)
    }

    /// Gets a rank's part in the smooth measure of the busiest ranks' times.
    fn power(&self, time: f32) -> f32 {
        (time / self.mean).powi(PEAK_POWER)
    }

    fn power_change(&self, step: &Step) -> f32 {
        let changes = self.time_changes(step);
        let mut sum = 0.0;

        for (at, (rank, _)) in changes.iter().enumerate() {
            // Each rank counts once, with all its changes.
            if changes[..at].iter().any(|(earlier, _)| earlier == rank) {
                continue;
            }

            let own = changes.iter().filter(|(r, _)| r == rank).map(|(_, change)| change);
            let before = self.times[usize::from(*rank)];
            sum += self.power(before + own.sum::<f32>()) - self.power(before);
        }

        sum
    }

    /// Gets the ranks that may take something from the busiest one.
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
            let alone = Step { rank, loses: Some(expert), takes: None, other: None };

            if self.holders[usize::from(expert)].len() > 1 {
                steps.push(alone);
            }

            for &other in &candidates {
                if !self.set[usize::from(other)].contains(&expert) {
                    self.add_steps_with(alone, other, expert, &mut steps);
                }
            }
        }

        steps
    }

    /// Adds the steps by which another rank takes an expert of the busiest one.
    fn add_steps_with(&self, alone: Step, other: Rank, expert: Expert, steps: &mut Vec<Step>) {
        let theirs = &self.set[usize::from(other)];
        let has_place = theirs.len() < self.options.slots_per_rank;
        let spread = Step { loses: None, ..alone };

        if has_place {
            steps.push(Step { other: Some((other, None, Some(expert))), ..spread });
            steps.push(Step { other: Some((other, None, Some(expert))), ..alone });
        }

        for &given in theirs {
            if self.holders[usize::from(given)].len() > 1 {
                steps.push(Step { other: Some((other, Some(given), Some(expert))), ..spread });
            }

            if !self.set[usize::from(alone.rank)].contains(&given) {
                let exchange = (other, Some(given), Some(expert));
                steps.push(Step { takes: Some(given), other: Some(exchange), ..alone });
            }
        }
    }

    fn is_new(&self, rank: Rank, expert: Expert) -> bool {
        !self.before[usize::from(rank)].contains(&expert)
    }

    fn is_allowed(&self, step: &Step, copied: &[usize]) -> bool {
        let within = |rank: Rank, loses: Option<Expert>, takes: Option<Expert>| {
            let before = self.new[usize::from(rank)];
            let lost = usize::from(loses.is_some_and(|e| self.is_new(rank, e)));
            let taken = usize::from(takes.is_some_and(|e| self.is_new(rank, e)));
            let after = before + taken - lost;
            let for_all_sets = copied[usize::from(rank)] - before + after;

            after <= self.options.max_new_per_rank
                && for_all_sets <= self.options.max_copies_per_rank
        };

        within(step.rank, step.loses, step.takes)
            && step.other.is_none_or(|(rank, loses, takes)| within(rank, loses, takes))
    }

    fn copies(&self, step: &Step) -> usize {
        let is_copy =
            |rank: Rank, takes: Option<Expert>| takes.is_some_and(|e| self.is_new(rank, e));
        let other = step.other.is_some_and(|(rank, _, takes)| is_copy(rank, takes));

        usize::from(is_copy(step.rank, step.takes)) + usize::from(other)
    }

    /// Gets the experts of a step with the change of the number of ranks that hold them. An exchange
    /// leaves it as it is.
    fn holder_changes(&self, step: &Step) -> Vec<(Expert, i32)> {
        let other = step.other.map(|(_, loses, takes)| (loses, takes)).unwrap_or_default();
        let moved = [(step.loses, -1), (step.takes, 1), (other.0, -1), (other.1, 1)];
        let mut changes: Vec<(Expert, i32)> = Vec::with_capacity(4);

        for (expert, change) in moved.into_iter().filter_map(|(e, c)| Some((e?, c))) {
            match changes.iter_mut().find(|(e, _)| *e == expert) {
                Some((_, sum)) => *sum += change,
                None => changes.push((expert, change)),
            }
        }

        changes
    }

    /// Gets what a step does to the times of the ranks that hold its experts, before or after it.
    fn time_changes(&self, step: &Step) -> TimeChanges {
        let mut changes = Vec::with_capacity(16);

        for (expert, change) in self.holder_changes(step) {
            let popularity = self.popularity[usize::from(expert)];
            let holders = &self.holders[usize::from(expert)];
            let share_before = popularity / holders.len() as f32;
            let count = (holders.len() as u32).saturating_add_signed(change).max(1);
            let share_after = popularity / count as f32;

            for &rank in holders {
                let stays = holds_after(step, rank, expert, true);
                let after = if stays { share_after } else { 0.0 };
                changes.push((rank, (after - share_before) * self.costs[usize::from(rank)]));
            }

            for (rank, takes) in takers(step) {
                if takes == Some(expert) {
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

        self.change(step.rank, step.loses, step.takes);

        if let Some((rank, loses, takes)) = step.other {
            self.change(rank, loses, takes);
        }
    }

    fn change(&mut self, rank: Rank, loses: Option<Expert>, takes: Option<Expert>) {
        let had = &self.before[usize::from(rank)];
        let held = &mut self.set[usize::from(rank)];
        held.retain(|e| Some(*e) != loses);
        held.extend(takes);
        self.new[usize::from(rank)] = held.iter().filter(|e| !had.contains(e)).count();

        if let Some(expert) = loses {
            self.holders[usize::from(expert)].retain(|r| *r != rank);
        }

        if let Some(expert) = takes {
            self.holders[usize::from(expert)].push(rank);
        }
    }
}

/// Gets the ranks of a step with the experts that they take.
fn takers(step: &Step) -> impl Iterator<Item = (Rank, Option<Expert>)> {
    let other = step.other.map(|(rank, _, takes)| (rank, takes));

    std::iter::once((step.rank, step.takes)).chain(other)
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
