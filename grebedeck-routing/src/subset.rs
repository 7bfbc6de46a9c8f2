//! Subsetting: which of the allowed targets one entry or gateway uses.
//!
//! With hundreds of processes and targets, a full mesh is too expensive. Each process uses the
//! targets with the highest rendezvous weight for its own name, so every target is used by about
//! the same number of processes and a change of the list moves few of them. The cost per process
//! depends on the size of the subset instead of the number of targets.

use std::sync::Arc;

use grebedeck_core::{digest, rendezvous};

use crate::choice::Candidate;

/// Size of a subset and its split between halls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetOptions {
    /// Maximum number of targets in the subset.
    pub size: usize,
    /// How many of them are in other halls, so that some remain if the own hall fails.
    pub in_other_halls: usize,
}

/// Returns the subset of `allowed` for the named process.
///
/// If the own hall or the other halls have too few targets, the other side fills the gap.
pub fn subset<T: Candidate>(
    allowed: &[Arc<T>],
    process: &str,
    own_hall: &str,
    options: SubsetOptions,
) -> Vec<Arc<T>> {
    let SubsetOptions { size, in_other_halls } = options;

    if allowed.len() <= size {
        return allowed.to_vec();
    }

    let key = digest::digest(process.as_bytes());
    let mut ranked = allowed.to_vec();
    ranked.sort_by_cached_key(|target| std::cmp::Reverse(rendezvous(key, target.name())));

    let (own, other): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|t| t.hall() == own_hall);
    let from_other = other.len().min(in_other_halls.max(size.saturating_sub(own.len())));
    let from_own = size - from_other;

    own.into_iter().take(from_own).chain(other.into_iter().take(from_other)).collect()
}
