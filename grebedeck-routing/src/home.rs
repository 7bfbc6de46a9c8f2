//! The home of a key: the one target whose agent remembers it.
//!
//! The home is found by rendezvous hashing over all targets that the configuration allows, dead or
//! alive, so it changes only with a revision. A key that may have been sent to an earlier home is
//! in doubt; so the lists of the recent past are kept, and a key is sent only if every list since
//! it was issued gives the same home.

use std::sync::Arc;
use std::time::Duration;

use grebedeck_config::routes::Route;
use grebedeck_core::{Reason, UnixMs, rendezvous};

use crate::key::Key;

/// The targets that a request's organisation and service were allowed from some time on.
#[derive(Clone, Copy, Debug)]
pub struct AllowedSince<'a> {
    /// When the revision was accepted.
    pub from_unix_ms: UnixMs,
    /// The allowed targets, ordered by name.
    pub allowed: &'a [Arc<Route>],
}

/// Gets the key's home, or why it cannot be told.
///
/// `lists` holds the newest list first and reaches back without a gap. `margin` is the time that a
/// revision may take until it is in force everywhere, with the skew of clocks.
pub fn find_home<'a>(
    lists: impl Iterator<Item = AllowedSince<'a>>,
    key: &Key,
    margin: Duration,
) -> Result<&'a Arc<Route>, Reason> {
    let margin_ms = margin.as_millis() as UnixMs;
    let issued = key.issued_unix_ms.unwrap_or(0);
    let mut home: Option<&'a Arc<Route>> = None;

    for list in lists {
        let here = home_in(list.allowed, key).ok_or(Reason::NoCapacity)?;
        let newest = *home.get_or_insert(here);

        if newest.name != here.name {
            return Err(Reason::KeyOlderThanMemory);
        }

        // Lists before this one were out of use everywhere when the key was issued.
        if issued > list.from_unix_ms + margin_ms {
            return Ok(newest);
        }
    }

    // What was allowed before the oldest known list is not known.
    Err(if home.is_some() { Reason::KeyOlderThanMemory } else { Reason::NoCapacity })
}

fn home_in<'a>(allowed: &'a [Arc<Route>], key: &Key) -> Option<&'a Arc<Route>> {
    let folded = (key.digest as u64) ^ ((key.digest >> 64) as u64);

    allowed.iter().max_by_key(|r| rendezvous(folded, &r.name))
}
