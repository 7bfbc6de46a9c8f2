//! The part of the allowed targets that one entry or gateway deals with.
//!
//! With hundreds of processes on either side, not everybody talks to everybody. Each takes the targets with the
//! highest rendezvous weight for its own name: every target is used by about the same number of processes, and a
//! change of the list moves few of them. What a process spends on its targets follows from the size of the subset,
//! and not from the number of targets.

use std::sync::Arc;

use grebedeck_core::{digest, rendezvous};

use crate::choice::Candidate;

/// Settings of a subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetOptions {
    /// Most targets in it.
    pub size: usize,
    /// How many of them stand in other halls, so that the loss of the own hall leaves some that are known.
    pub in_other_halls: usize,
}

/// Gets the subset of the allowed targets that the process of this name deals with. Where either side has too few
/// targets, the other one makes up for it.
pub fn subset<T: Candidate>(
    allowed: &[Arc<T>],
    process: &str,
    own_hall: &str,
    options: SubsetOptions,
) -> Vec<Arc<T>> {
    let SubsetOptions { size, in_other_halls: elsewhere } = options;

    if allowed.len() <= size {
        return allowed.to_vec();
    }

    let key = digest::digest(process.as_bytes());
    let mut ranked = allowed.to_vec();
    ranked.sort_by_cached_key(|target| std::cmp::Reverse(rendezvous(key, target.name())));

    let (own, other): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|t| t.hall() == own_hall);
    let from_other = other.len().min(elsewhere.max(size.saturating_sub(own.len())));
    let from_own = size - from_other;

    own.into_iter().take(from_own).chain(other.into_iter().take(from_other)).collect()
}
