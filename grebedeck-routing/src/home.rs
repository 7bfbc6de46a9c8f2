//! The home of an idempotency key: the one target whose agent remembers the key.
//!
//! The home is chosen by rendezvous hashing over all targets that the configuration allows, dead or
//! alive, so it changes only with a configuration revision. A key may have been used at an earlier
//! home, so recent target lists are kept, and a keyed request is sent only if every list since the
//! key was issued gives the same home.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_config::routes::Route;
use grebedeck_core::{Reason, UnixMs, rendezvous};

use crate::key::Key;

/// Targets allowed for a request's organisation and service from a revision on.
#[derive(Clone, Copy, Debug)]
pub struct AllowedSince<'a> {
    /// When the revision was accepted, in milliseconds since the Unix epoch.
    pub from_unix_ms: UnixMs,
    /// The allowed targets, ordered by name.
    pub allowed: &'a [Arc<Route>],
}

/// Returns the key's home, or the reason why it is not certain.
///
/// `lists` yields the newest list first, without gaps. `margin` is the maximum time until a
/// revision is in force in all processes, plus the maximum clock skew.
///
/// # Errors
///
/// `KeyOlderThanMemory` if the key may have been used at another home; `NoCapacity` if a list
/// within the key's lifetime has no targets or there is no list.
pub fn find_home<'a>(
    lists: impl Iterator<Item = AllowedSince<'a>>,
    key: &Key,
    margin: Duration,
) -> Result<&'a Arc<Route>, Reason> {
    let margin_ms = margin.as_millis() as UnixMs;
    let issued = key.issued_unix_ms.unwrap_or(0);
    let mut home: Option<&'a Arc<Route>> = None;

    for list in lists {
        let candidate = home_among(list.allowed, key).ok_or(Reason::NoCapacity)?;
        let newest = *home.get_or_insert(candidate);

        if newest.name != candidate.name {
            return Err(Reason::KeyOlderThanMemory);
        }

        // No process used older lists any more when the key was issued.
        if issued > list.from_unix_ms + margin_ms {
            return Ok(newest);
        }
    }

    // The key may be older than the oldest known list.
    Err(if home.is_some() { Reason::KeyOlderThanMemory } else { Reason::NoCapacity })
}

fn home_among<'a>(allowed: &'a [Arc<Route>], key: &Key) -> Option<&'a Arc<Route>> {
    let folded = (key.digest as u64) ^ ((key.digest >> 64) as u64);

    allowed.iter().max_by_key(|r| rendezvous(folded, &r.name))
}
