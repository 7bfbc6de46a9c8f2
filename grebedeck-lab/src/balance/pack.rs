//! Packing of experts onto ranks from scratch, for the baseline policies and the bound.

use grebedeck_core::Rank;
use grebedeck_experts::map::{ExpertMap, LayerMap, Replica};

/// Packs every layer greedily. Spare slots go to the experts with the highest load per replica.
/// Then replicas, the heaviest first, go to the ranks that would finish earliest. The replicas of
/// an expert have equal shares.
pub fn pack(fractions: &[Vec<f32>], costs: &[f32], slots_per_rank: u16) -> ExpertMap {
    let ranks = costs.len() as Rank;
    let layers = fractions.iter().map(|f| pack_layer(f, costs, slots_per_rank)).collect();

    ExpertMap { ranks, slots_per_rank, layers }
}

fn pack_layer(fractions: &[f32], costs: &[f32], slots_per_rank: u16) -> LayerMap {
    let ranks = costs.len() as Rank;
    let slots = usize::from(ranks) * usize::from(slots_per_rank);
    let mut copies = vec![1usize; fractions.len()];

    for _ in fractions.len()..slots {
        let load_per_copy = |e: &usize| fractions[*e] / copies[*e] as f32;
        let can_replicate = |e: &usize| copies[*e] < usize::from(ranks);
        let heaviest = (0..fractions.len())
            .filter(can_replicate)
            .max_by(|a, b| load_per_copy(a).total_cmp(&load_per_copy(b)));

        match heaviest {
            Some(expert) => copies[expert] += 1,
            None => break,
        }
    }

    place(fractions, &copies, costs, slots_per_rank)
}

fn place(fractions: &[f32], copies: &[usize], costs: &[f32], slots_per_rank: u16) -> LayerMap {
    let ranks = costs.len() as Rank;
    let load_of = |expert: usize| fractions[expert] / copies[expert] as f32;
    let mut replicas_by_load: Vec<usize> =
        copies.iter().enumerate().flat_map(|(e, n)| std::iter::repeat_n(e, *n)).collect();
    replicas_by_load.sort_by(|a, b| load_of(*b).total_cmp(&load_of(*a)));

    let mut loads = vec![0.0f32; ranks.into()];
    let mut held = vec![0u16; ranks.into()];
    let mut experts: Vec<Vec<Replica>> = vec![Vec::new(); fractions.len()];

    for expert in replicas_by_load {
        let has_free_slot = |r: &Rank| held[usize::from(*r)] < slots_per_rank;
        let lacks_expert = |r: &Rank| experts[expert].iter().all(|x| x.rank != *r);
        let load = load_of(expert);
        let finish = |r: &Rank| (loads[usize::from(*r)] + load) * costs[usize::from(*r)];
        let by_finish = |a: &Rank, b: &Rank| finish(a).total_cmp(&finish(b));

        // A replica is dropped if all ranks with a free slot already hold the expert.
        let Some(rank) = (0..ranks).filter(has_free_slot).filter(lacks_expert).min_by(by_finish)
        else {
            continue;
        };

        experts[expert].push(Replica { rank, share: 0.0 });
        loads[usize::from(rank)] += load_of(expert);
        held[usize::from(rank)] += 1;
    }

    for replicas in &mut experts {
        let share = 1.0 / replicas.len() as f32;
        replicas.iter_mut().for_each(|r| r.share = share);
    }

    LayerMap { experts }
}
