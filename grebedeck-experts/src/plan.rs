//! Deciding which map comes next, and whether it is worth its cost.
//!
//! Shares are levelled first, since that moves no weights. Only where a rank stays above its
//! layer's ideal does the planner look for one replica to load: the expert that weighs most on the
//! slowest rank, on a rank that has little to do, in place of the replica that is missed least.
//! A move is taken if what it saves over the time that popularity is expected to hold, weighed by
//! the group's profile, exceeds what loading it costs.

use grebedeck_core::{Expert, Layer, Moment, Rank};

use crate::map::{ExpertMap, LayerMap, Move, Replica};
use crate::popularity::Popularity;
use crate::share::{DEFAULT_PASSES, balance};

/// Settings of the planner. Times are in milliseconds of a group's step time.
#[derive(Clone, Debug)]
pub struct PlanOptions {
    /// How far above the ideal the slowest rank may stay, as a fraction.
    pub tolerance: f32,
    /// Smallest gain that is worth a switch, as a fraction of a layer's ideal time.
    pub min_gain: f32,
    /// Weight of step time in the total cost.
    pub skew_weight: f32,
    /// Weight of moved weights and of switches in the total cost.
    pub cost_weight: f32,
    /// Cost of loading one expert of one layer, in milliseconds.
    pub move_cost_ms: f32,
    /// Cost of a switch without any moves, in milliseconds.
    pub switch_cost_ms: f32,
    /// Steps that pass between a change of popularity and the switch that answers it.
    pub lag_steps: f32,
    /// Usual time of a step, in milliseconds.
    pub step_ms: f32,
    /// Longest time over which a gain is counted, in steps.
    pub max_horizon_steps: f32,
    /// Most moves in one plan, so that a plan is loaded before it is out of date.
    pub max_moves: usize,
}

impl Default for PlanOptions {
    fn default() -> Self {
        PlanOptions {
            tolerance: 0.03,
            min_gain: 0.03,
            skew_weight: 3.0,
            cost_weight: 1.0,
            move_cost_ms: 44.0,
            switch_cost_ms: 6.0,
            lag_steps: 200.0,
            step_ms: 6.0,
            max_horizon_steps: 20_000.0,
            max_moves: 16,
        }
    }
}

/// What the planner knows of the group.
#[derive(Clone, Debug)]
pub struct GroupState<'a> {
    /// The map in use.
    pub map: &'a ExpertMap,
    /// The estimated popularity.
    pub popularity: &'a Popularity,
    /// Time that all tokens of one layer would take on a single rank of normal speed, in
    /// milliseconds.
    pub layer_work_ms: f32,
    /// Each rank's time per token, relative to a normal rank.
    pub rank_costs: &'a [f32],
    /// Most experts whose placement or shares may change, since each has to be sent to every member.
    pub max_changed_experts: usize,
}

/// A map that is worth switching to.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The proposed map.
    pub map: ExpertMap,
    /// The weights that it needs loaded, best gain first.
    pub moves: Vec<Move>,
    /// The expected gain in milliseconds per step.
    pub gain_ms_per_step: f32,
}

/// Budget for what is sent of maps: a bucket that time fills and changed experts empty.
#[derive(Clone, Debug)]
pub struct ChangeBudget {
    saved: f32,
    filled_at: Moment,
}

/// Changed experts that the budget allows each second; about 6 bytes of each go to every member.
const CHANGED_PER_S: f32 = 200.0;
/// Changed experts that can be saved up: a whole map of 60 layers with 128 experts.
const MAX_CHANGED_SAVED: f32 = 7_680.0;

impl Default for ChangeBudget {
    fn default() -> Self {
        ChangeBudget { saved: MAX_CHANGED_SAVED, filled_at: Moment::ZERO }
    }
}

impl ChangeBudget {
    /// Gets how many experts may change now.
    pub fn available(&mut self, now: Moment) -> usize {
        let passed_s = now.saturating_sub(self.filled_at).as_secs_f32();
        self.filled_at = now;
        self.saved = (self.saved + passed_s * CHANGED_PER_S).min(MAX_CHANGED_SAVED);

        self.saved.max(0.0) as usize
    }

    /// Notes what a plan changes.
    pub fn spend(&mut self, changed: usize) {
        self.saved -= changed as f32;
    }
}

/// Decides on the next map of a group.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    options: PlanOptions,
}

/// A layer that is worth changing.
struct LayerPlan {
    layer: Layer,
    map: LayerMap,
    moves: Vec<(Move, f32)>,
    gain: f32,
    /// Experts whose placement or shares change.
    changed: usize,
}

impl LayerPlan {
    fn move_gain(&self) -> f32 {
        self.moves.iter().map(|(_, gain)| gain).sum()
    }

    fn gain_per_changed(&self) -> f32 {
        self.gain / self.changed.max(1) as f32
    }
}

impl Planner {
    /// Makes a planner.
    pub fn new(options: PlanOptions) -> Self {
        Planner { options }
    }

    /// Gives a better map where one is worth its cost.
    pub fn plan(&self, group: &GroupState<'_>) -> Option<Plan> {
        let layers = group.map.layers.len();
        // Every layer may ask for a move, and those that gain the most get it.
        let room = self.options.max_moves.div_ceil(layers.max(1));
        let all = 0..layers as Layer;
        let mut plans: Vec<_> = all.filter_map(|l| self.plan_layer(group, l, room)).collect();

        self.share_moves(group, &mut plans);
        keep_best(&mut plans, group.max_changed_experts);
        let worth: f32 = plans.iter().map(|p| self.worth(group, p)).sum();
        let mut moves: Vec<_> = plans.iter().flat_map(|p| &p.moves).copied().collect();
        let moving = moves.len() as f32 * self.options.move_cost_ms;
        let cost = (self.options.switch_cost_ms + moving) * self.options.cost_weight;

        if plans.is_empty() || worth <= cost {
            return None;
        }

        let gain: f32 = plans.iter().map(|p| p.gain).sum();
        let mut map = group.map.clone();

        for plan in plans {
            map.layers[usize::from(plan.layer)] = plan.map;
        }

        moves.sort_by(|a, b| b.1.total_cmp(&a.1));
        Some(Plan {
            map,
            moves: moves.into_iter().map(|m| m.0).collect(),
            gain_ms_per_step: gain * group.layer_work_ms,
        })
    }

    /// Lets only the layers that gain the most load weights; the others change shares alone.
    fn share_moves(&self, group: &GroupState<'_>, plans: &mut Vec<LayerPlan>) {
        plans.sort_by(|a, b| b.move_gain().total_cmp(&a.move_gain()));
        let mut moves = 0;

        for plan in std::mem::take(plans) {
            moves += plan.moves.len();

            if moves <= self.options.max_moves {
                plans.push(plan);
            } else {
                plans.extend(self.plan_layer(group, plan.layer, 0));
            }
        }
    }

    /// Gets what a layer's gain is worth over the time that it lasts, in milliseconds.
    fn worth(&self, group: &GroupState<'_>, plan: &LayerPlan) -> f32 {
        let horizon = self.horizon(group, plan.layer, plan.moves.len());

        plan.gain * horizon * self.options.skew_weight
    }

    /// Gets the time over which a gain of one unit of a layer's work counts, in milliseconds, where
    /// `moves` weights have to be loaded first.
    fn horizon(&self, group: &GroupState<'_>, layer: Layer, moves: usize) -> f32 {
        let options = &self.options;
        let lasts = group.popularity.horizon_steps(layer).min(options.max_horizon_steps);
        let loading_steps = moves as f32 * options.move_cost_ms / options.step_ms;
        let left = lasts - options.lag_steps - loading_steps;
        // Shares answer what is now, so new ones are worth it at least until the next decision.
        let least = if moves == 0 { options.lag_steps } else { 0.0 };

        left.max(least) * group.layer_work_ms
    }

    fn plan_layer(&self, group: &GroupState<'_>, layer: Layer, room: usize) -> Option<LayerPlan> {
        let fractions = group.popularity.fractions(layer);
        let costs = group.rank_costs;
        let mut map = group.map.layers[usize::from(layer)].clone();

        let before = max_rank_time(&map.rank_loads(fractions, costs.len() as Rank), costs);
        let mut loads = balance(&mut map, fractions, costs, DEFAULT_PASSES);
        let mut moves: Vec<(Move, f32)> = Vec::new();

        let ideal = ideal_time(costs);
        let price = self.options.move_cost_ms * self.options.cost_weight;

        while moves.len() < room {
            let now = max_rank_time(&loads, costs);

            if now <= ideal * (1.0 + self.options.tolerance) {
                break;
            }

            let Some(step) = best_move(&map, fractions, &loads, costs, group.map.slots_per_rank)
            else {
                break;
            };

            let gain = now - step.slowest;
            let horizon = self.horizon(group, layer, moves.len() + 1);

            if gain * horizon * self.options.skew_weight <= price {
                break;
            }

            moves.push((Move { layer, expert: step.expert, rank: step.to }, gain));
            map = step.map;
            loads = step.loads;
        }

        // A later move may have taken an earlier one's place, or brought back what was there.
        let in_use = &group.map.layers[usize::from(layer)];
        moves.retain(|(m, _)| map.holds(m.expert, m.rank) && !in_use.holds(m.expert, m.rank));
        moves.sort_by_key(|(m, _)| (m.expert, m.rank));
        moves.dedup_by_key(|(m, _)| (m.expert, m.rank));

        let gain = before - max_rank_time(&loads, costs);

        // What is within the noise stays as it is, so that the difference of maps stays small.
        if gain < self.options.min_gain * ideal {
            return None;
        }

        let same = map.experts.iter().zip(&in_use.experts).filter(|(a, b)| a == b).count();
        let changed = map.experts.len() - same;
        Some(LayerPlan { layer, map, moves, gain, changed })
    }
}

/// Keeps the layers that gain the most for what has to be sent of them.
fn keep_best(plans: &mut Vec<LayerPlan>, max_changed_experts: usize) {
    plans.sort_by(|a, b| b.gain_per_changed().total_cmp(&a.gain_per_changed()));
    let mut changed = 0;

    plans.retain(|plan| {
        changed += plan.changed;
        changed <= max_changed_experts
    });
}

struct Candidate {
    expert: Expert,
    to: Rank,
    map: LayerMap,
    loads: Vec<f32>,
    slowest: f32,
}

/// How many of the heaviest experts of the slowest rank are tried.
const EXPERTS_TRIED: usize = 2;
/// How many of the least loaded ranks are tried for each.
const RANKS_TRIED: usize = 3;
/// Passes when comparing candidates.
const CANDIDATE_PASSES: usize = 6;

fn best_move(
    map: &LayerMap,
    fractions: &[f32],
    loads: &[f32],
    costs: &[f32],
    slots_per_rank: u16,
) -> Option<Candidate> {
    let from = slowest_rank(loads, costs);
    let mut tried = Vec::new();

    for expert in heaviest_on(map, fractions, from).into_iter().take(EXPERTS_TRIED) {
        let open = |r: &Rank| !map.holds(expert, *r);

        for to in idlest(loads, costs).into_iter().filter(open).take(RANKS_TRIED) {
            tried.extend(try_move(map, fractions, costs, slots_per_rank, expert, to));
        }
    }

    tried.into_iter().min_by(|a, b| a.slowest.total_cmp(&b.slowest))
}

fn try_move(
    map: &LayerMap,
    fractions: &[f32],
    costs: &[f32],
    slots_per_rank: u16,
    expert: Expert,
    to: Rank,
) -> Option<Candidate> {
    let mut next = map.clone();

    if next.expert_count(to) >= usize::from(slots_per_rank) {
        let evicted = least_missed(&next, fractions, to)?;
        evict(&mut next.experts[usize::from(evicted)], to);
    }

    next.experts[usize::from(expert)].push(Replica { rank: to, share: 0.0 });
    let loads = balance(&mut next, fractions, costs, CANDIDATE_PASSES);
    let slowest = max_rank_time(&loads, costs);

    Some(Candidate { expert, to, map: next, loads, slowest })
}

/// Finds the replica on a rank that takes the least load and is not its expert's only one.
fn least_missed(map: &LayerMap, fractions: &[f32], rank: Rank) -> Option<Expert> {
    let taken = |expert: usize| {
        let replicas = &map.experts[expert];
        let own = replicas.iter().find(|r| r.rank == rank)?;

        (replicas.len() > 1).then_some((expert as Expert, own.share * fractions[expert]))
    };

    let least = (0..map.experts.len()).filter_map(taken).min_by(|a, b| a.1.total_cmp(&b.1));
    least.map(|(expert, _)| expert)
}

/// Removes a rank's replica and gives its share to the others.
fn evict(replicas: &mut Vec<Replica>, rank: Rank) {
    replicas.retain(|r| r.rank != rank);
    let total: f32 = replicas.iter().map(|r| r.share).sum();
    let even = 1.0 / replicas.len() as f32;

    for replica in replicas {
        replica.share = if total > 1e-6 { replica.share / total } else { even };
    }
}

fn heaviest_on(map: &LayerMap, fractions: &[f32], rank: Rank) -> Vec<Expert> {
    let load_of = |expert: usize| {
        let own = map.experts[expert].iter().find(|r| r.rank == rank)?;

        Some((expert as Expert, own.share * fractions[expert]))
    };

    let mut held: Vec<_> = (0..map.experts.len()).filter_map(load_of).collect();
    held.sort_by(|a, b| b.1.total_cmp(&a.1));
    held.into_iter().map(|(expert, _)| expert).collect()
}

fn idlest(loads: &[f32], costs: &[f32]) -> Vec<Rank> {
    let mut ranks: Vec<Rank> = (0..loads.len() as Rank).collect();
    let time = |r: &Rank| loads[usize::from(*r)] * costs[usize::from(*r)];
    ranks.sort_by(|a, b| time(a).total_cmp(&time(b)));

    ranks
}

fn slowest_rank(loads: &[f32], costs: &[f32]) -> Rank {
    idlest(loads, costs).last().copied().unwrap_or(0)
}

/// Gets the time that a layer would take if all ranks were level, in units of its whole work.
fn ideal_time(costs: &[f32]) -> f32 {
    1.0 / costs.iter().map(|c| 1.0 / c).sum::<f32>()
}

/// Gets the slowest rank's time, in units of the layer's whole work.
pub fn max_rank_time(loads: &[f32], costs: &[f32]) -> f32 {
    loads.iter().zip(costs).map(|(l, c)| l * c).fold(0.0, f32::max)
}
