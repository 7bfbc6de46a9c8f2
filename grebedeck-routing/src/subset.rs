//! The part of the allowed targets that one entry keeps connections to.
//!
//! With hundreds of entries and targets, not everybody talks to everybody. Each entry takes the
//! targets with the highest rendezvous weight for its own name, so that every target is used by
//! about the same number of entries, and a change of the list moves few connections.

use std::sync::Arc;

use grebedeck_config::routes::Route;
use grebedeck_core::{digest, rendezvous};

/// Gets at most `size` of the allowed targets, those in the entry's own hall first.
///
/// Up to half of the places go to other halls, so that a hall's loss is not noticed too late.
pub fn subset(allowed: &[Arc<Route>], entry: &str, own_hall: &str, size: usize) -> Vec<Arc<Route>> {
    if allowed.len() <= size {
        return allowed.to_vec();
    }

    let key = digest::digest(entry.as_bytes());
    let mut ranked = allowed.to_vec();
    ranked.sort_by_key(|r| std::cmp::Reverse(rendezvous(key, &r.name)));

    let (own, other): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|r| r.hall == own_hall);
    let from_other = other.len().min((size / 2).max(size.saturating_sub(own.len())));
    let from_own = size - from_other;

    own.into_iter().take(from_own).chain(other.into_iter().take(from_other)).collect()
}
