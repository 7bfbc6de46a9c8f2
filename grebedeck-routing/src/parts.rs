//! What became of the requests of this process that had a part of a prompt in common.
//!
//! A part that crashes targets does so in each of its runs, while a part that many requests have is
//! running on a crashed target by chance. Two things tell them apart where too few answers are
//! completed between two crashes to clear the latter: earlier answers, and the share of the runs
//! that ended in a crash.

use std::collections::HashMap;

use grebedeck_core::Moment;

use crate::fingerprint::{Fingerprint, PromptFingerprints};

/// Number of parts after which the older half of the history is dropped.
const MAX_RECENT_PARTS: usize = 4096;
/// Maximum number of services whose answers are counted.
const MAX_SERVICES: usize = 1024;
/// Number of answers of a service after which it is unlikely that a part that many of its requests
/// have is not among them.
const MIN_ANSWERS: u32 = 32;

/// Runs of requests with one part since the last answer to such a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartRuns {
    /// Number of runs.
    pub runs: u32,
    /// Number of runs whose target crashed.
    pub crashes: u32,
    /// Time of the last answer, if any.
    pub answered_at: Option<Moment>,
}

impl PartRuns {
    /// Returns whether at least one in `divisor` runs ended in a crash.
    pub fn has_crash_share(&self, divisor: u32) -> bool {
        self.crashes > 0 && self.crashes.saturating_mul(divisor) >= self.runs
    }

    /// Returns the share of runs that ended in a crash.
    pub fn crash_share(&self) -> f64 {
        f64::from(self.crashes) / f64::from(self.runs.max(1))
    }
}

/// Runs by part, for the most recently used parts.
#[derive(Clone, Debug, Default)]
pub struct PartHistory {
    recent: HashMap<Fingerprint, PartRuns>,
    older: HashMap<Fingerprint, PartRuns>,
    /// Number of answers to requests with parts, by service.
    answers: HashMap<Fingerprint, u32>,
}

impl PartHistory {
    /// Returns the runs of a part.
    pub fn get(&self, part: Fingerprint) -> PartRuns {
        self.recent.get(&part).or_else(|| self.older.get(&part)).copied().unwrap_or_default()
    }

    /// Records that a target runs a request.
    pub fn record_run(&mut self, prompt: &PromptFingerprints) {
        for part in &prompt.parts {
            let runs = self.entry(*part);
            runs.runs = runs.runs.saturating_add(1);
        }
    }

    /// Records that the target of a run crashed.
    pub fn record_crash(&mut self, part: Fingerprint) {
        let runs = self.entry(part);
        runs.crashes = runs.crashes.saturating_add(1);
    }

    /// Records that a request was answered successfully.
    pub fn record_answer(&mut self, prompt: &PromptFingerprints, now: Moment) {
        if prompt.parts.is_empty() {
            return;
        }

        for part in &prompt.parts {
            *self.entry(*part) = PartRuns { answered_at: Some(now), ..PartRuns::default() };
        }

        if self.answers.len() < MAX_SERVICES || self.answers.contains_key(&prompt.service) {
            let answers = self.answers.entry(prompt.service).or_default();
            *answers = answers.saturating_add(1);
        }
    }

    /// Returns whether enough requests for a service were answered to know its common parts.
    pub fn knows_common_parts(&self, service: Fingerprint) -> bool {
        self.answers.get(&service).is_some_and(|answers| *answers >= MIN_ANSWERS)
    }

    fn entry(&mut self, part: Fingerprint) -> &mut PartRuns {
        if self.recent.len() >= MAX_RECENT_PARTS && !self.recent.contains_key(&part) {
            self.older = std::mem::take(&mut self.recent);
        }

        let older = &mut self.older;

        self.recent.entry(part).or_insert_with(|| older.remove(&part).unwrap_or_default())
    }
}
