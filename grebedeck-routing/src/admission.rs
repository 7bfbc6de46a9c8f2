//! Admission control at an entry: a limit on requests in flight, shared fairly by organisations.
//!
//! While there is capacity, any organisation may use it. When the entry is nearly full, an
//! organisation is refused beyond its fair share of the limit. When the targets have hardly any
//! free slots, it is refused beyond twice the average of the other organisations, so that a noisy
//! neighbour is refused and the others are not. As soon as a target has a free slot, any
//! organisation may take it. State is kept only for organisations with requests in flight.

use std::collections::HashMap;
use std::time::Duration;

use grebedeck_core::{OrganisationName, Reason};

/// Multiple of the others' average above which an organisation counts as noisy. Among equal
/// organisations, chance alone puts each above the average half of the time.
const NOISY_FACTOR: usize = 2;

/// Settings of admission control.
#[derive(Clone, Debug)]
pub struct AdmissionOptions {
    /// Maximum number of requests in flight at this entry.
    pub max_in_flight: usize,
    /// Fraction of the limit above which fair shares are enforced.
    pub contended_above: f64,
    /// Wait that refused callers are told.
    pub retry_after: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions {
            max_in_flight: 4096,
            contended_above: 0.8,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Requests in flight at an entry, by organisation.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    in_flight: usize,
    by_organisation: HashMap<OrganisationName, usize>,
}

impl Admission {
    /// Creates a state without requests in flight.
    pub fn new(options: AdmissionOptions) -> Self {
        Admission { options, in_flight: 0, by_organisation: HashMap::new() }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of organisations with requests in flight.
    pub fn active_organisations(&self) -> usize {
        self.by_organisation.len()
    }

    /// Admits a request, or returns why it is refused. `is_crowded` tells that the targets which
    /// may run the request have hardly any free slots.
    pub fn enter(&mut self, organisation: &str, is_crowded: bool) -> Result<(), Reason> {
        let own = self.by_organisation.get(organisation).copied().unwrap_or(0);
        let over_share = self.is_over_share(own) || (is_crowded && self.is_noisy(own));

        if self.in_flight >= self.options.max_in_flight || over_share {
            return Err(Reason::Overloaded(self.options.retry_after));
        }

        self.in_flight += 1;
        *self.by_organisation.entry(organisation.to_string()).or_insert(0) += 1;
        Ok(())
    }

    fn is_over_share(&self, own: usize) -> bool {
        let limit = self.options.max_in_flight as f64;

        if (self.in_flight as f64) < limit * self.options.contended_above {
            return false;
        }

        let newcomer = usize::from(own == 0);
        let share = limit / (self.by_organisation.len() + newcomer) as f64;
        own as f64 >= share
    }

    /// Returns whether an organisation has far more in flight than the average of the others.
    fn is_noisy(&self, own: usize) -> bool {
        let others = self.by_organisation.len().saturating_sub(1);

        // A single organisation takes no capacity from others.
        others > 0 && own * others > (self.in_flight - own) * NOISY_FACTOR
    }

    /// Records the end of an admitted request.
    pub fn leave(&mut self, organisation: &str) {
        let Some(own) = self.by_organisation.get_mut(organisation) else {
            return;
        };

        *own -= 1;
        self.in_flight -= 1;

        if *own == 0 {
            self.by_organisation.remove(organisation);
        }
    }
}
