//! Reports that processes exchange about crashes and the requests that were running during them.
//!
//! Processes share no clock, so reports contain ages instead of times. Reports may arrive in any
//! order and more than once: processes that have the same reports come to the same conclusions.

use serde::{Deserialize, Serialize};

use crate::crashes::TargetStart;
use crate::fingerprint::Fingerprint;

/// Maximum number of items in one part of a report, so that a datagram is not fragmented.
const PART_ITEMS: usize = 48;

/// Crash of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The start of the target that ended with the crash.
    pub start: TargetStart,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Requests that were running on the target and are still suspected.
    pub runs: Vec<Fingerprint>,
}

/// Request in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedReport {
    /// The request.
    pub request: Fingerprint,
    /// Time since it entered quarantine, in milliseconds.
    pub age_ms: u64,
    /// Number of trials since then.
    pub trials: u32,
    /// Time since the last trial, or since it entered quarantine, in milliseconds.
    pub tried_ms: u64,
}

/// Request that was answered and is not suspected for earlier crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedReport {
    /// The request.
    pub request: Fingerprint,
    /// Time since the answer, in milliseconds.
    pub age_ms: u64,
}

/// Recent updates, or a full snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Crashes of targets.
    pub crashes: Vec<CrashReport>,
    /// Requests that were answered after a crash.
    pub cleared: Vec<ClearedReport>,
    /// Requests in quarantine.
    pub quarantined: Vec<QuarantinedReport>,
}

impl Report {
    /// Returns whether the report has no content.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.quarantined.is_empty()
    }

    /// Splits the report into at most `max_parts` parts that each fit into a datagram.
    ///
    /// Quarantined requests come first, then crashes in their order. Crashes no longer contain
    /// cleared requests, so the cleared ones matter least and come last.
    pub fn into_parts(self, max_parts: usize) -> Vec<Report> {
        let quarantined = self.quarantined.chunks(PART_ITEMS);
        let quarantined =
            quarantined.map(|part| Report { quarantined: part.to_vec(), ..Report::default() });
        let cleared = self.cleared.chunks(PART_ITEMS);
        let cleared = cleared.map(|part| Report { cleared: part.to_vec(), ..Report::default() });
        let crashes = self.crashes.iter().flat_map(split_crash);
        let crashes = crashes.map(|crash| Report { crashes: vec![crash], ..Report::default() });

        quarantined.chain(crashes).chain(cleared).take(max_parts).collect()
    }
}

/// Splits a crash with many requests; the receiver merges the parts by their start.
fn split_crash(crash: &CrashReport) -> Vec<CrashReport> {
    if crash.runs.is_empty() {
        return vec![crash.clone()];
    }

    let part = |runs: &[Fingerprint]| CrashReport { runs: runs.to_vec(), ..crash.clone() };

    crash.runs.chunks(PART_ITEMS).map(part).collect()
}
