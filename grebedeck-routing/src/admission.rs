//! Admission at an entry: a limit on requests in flight, shared fairly among organisations.
//!
//! While there is room, everybody may use it. Once the entry is nearly full, an organisation is
//! refused beyond its fair share of the limit; once the targets have hardly a free place, beyond
//! twice what the others have in flight on average. So a loud organisation finds itself refused and the others do not, and as soon
//! as a target has a place again, anybody may take it. State is kept only for organisations with
//! requests in flight.

use std::collections::HashMap;
use std::time::Duration;

use grebedeck_core::{OrganisationName, Reason};

/// Times the others' average from which an organisation counts as loud; chance alone takes equal
/// ones above the average half of the time.
const LOUD_TIMES: usize = 2;

/// Settings of the admission.
#[derive(Clone, Debug)]
pub struct AdmissionOptions {
    /// Most requests in flight in this entry.
    pub max_in_flight: usize,
    /// Fraction of the limit above which shares are enforced.
    pub contended_above: f64,
    /// How long refused callers are told to wait.
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

/// Requests in flight by organisation.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    in_flight: usize,
    by_organisation: HashMap<OrganisationName, usize>,
}

impl Admission {
    /// Makes an empty admission.
    pub fn new(options: AdmissionOptions) -> Self {
        Admission { options, in_flight: 0, by_organisation: HashMap::new() }
    }

    /// Gets the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Gets the number of organisations with requests in flight.
    pub fn active_organisations(&self) -> usize {
        self.by_organisation.len()
    }

    /// Takes a place, or says why there is none. `crowded` says that the targets that the request
    /// could go to have hardly a free place.
    pub fn enter(&mut self, organisation: &str, crowded: bool) -> Result<(), Reason> {
        let own = self.by_organisation.get(organisation).copied().unwrap_or(0);
        let over_share = self.is_over_share(own) || (crowded && self.is_loud(own));

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

    /// Tells whether an organisation has far more in flight than the others have on average.
    fn is_loud(&self, own: usize) -> bool {
        let others = self.by_organisation.len().saturating_sub(1);

        // An organisation that is alone has nobody to make room for.
        others > 0 && own * others > (self.in_flight - own) * LOUD_TIMES
    }

    /// Gives a place back.
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
