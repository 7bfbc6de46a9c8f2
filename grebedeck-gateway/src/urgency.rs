//! Which requests go first where not all can be served at once.
//!
//! A request that can still be answered within its objective is worth about four late ones, and a moment's wait makes
//! it a late one. A request that is late already loses nothing by another second. So the late ones take what the others
//! leave: after an outage they would otherwise fill a group, and make all that come meanwhile late as well.

use std::collections::HashMap;
use std::time::Duration;

use grebedeck_core::Moment;

/// Part of the allowed load up to which late requests begin. The rest takes the requests that come within the 0.7 s
/// in which streams begin to end in a group that was filled at once.
const LATE_LOAD_PART: f64 = 0.7;
/// How long a group's reading has to rest before a late request's prompt begins: some of the moments in which a gateway
/// finds out that a prompt may begin, so that a request in time that waits for the same moment gets it.
const LATE_PROMPT_PAUSE: Duration = Duration::from_millis(20);

/// Whether a request can still be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It can.
    InTime,
    /// It is late whatever happens.
    Late,
}

impl Urgency {
    /// Judges a request that its caller first asked for at `asked_at`, where an answer takes `answer_time`.
    pub fn of(asked_at: Moment, objective: Duration, answer_time: Duration, now: Moment) -> Self {
        if now + answer_time > asked_at + objective { Urgency::Late } else { Urgency::InTime }
    }

    /// Gets the load up to which such a request begins, where `allowed` is allowed.
    pub fn load_limit(self, allowed: f64) -> f64 {
        match self {
            Urgency::InTime => allowed,
            Urgency::Late => allowed * LATE_LOAD_PART,
        }
    }

    /// Gets how long the group's reading has to rest before such a request's prompt begins.
    pub fn prompt_pause(self) -> Duration {
        match self {
            Urgency::InTime => Duration::ZERO,
            Urgency::Late => LATE_PROMPT_PAUSE,
        }
    }
}

/// Weight of a wait below the longest one in it: where those who waited longest are gone, some hundreds of requests show
/// it, and the few who come back after a failure do not.
const WAIT_GAIN: f64 = 0.002;
/// Difference of two waits that says nothing.
const WAIT_TOLERANCE: Duration = Duration::from_millis(50);

/// How long callers of each route say that they wait. Who comes back after a failure says less than at first, so what
/// is missing from the longest wait is the time since the first attempt.
#[derive(Clone, Debug, Default)]
pub struct CallerWaits {
    longest: HashMap<String, Duration>,
}

impl CallerWaits {
    /// Notes how long a caller of a route says that it waits; gives the time since its first attempt. `limit` is the
    /// longest time that the route allows.
    pub fn note(&mut self, route: &str, wait: Duration, limit: Duration) -> Duration {
        let Some(longest) = self.longest.get_mut(route) else {
            self.longest.insert(route.to_string(), wait);
            return Duration::ZERO;
        };
        *longest = wait.max((*longest).min(limit));
        let missing = *longest - wait;
        *longest -= missing.mul_f64(WAIT_GAIN);

        if missing > WAIT_TOLERANCE { missing } else { Duration::ZERO }
    }

    /// Forgets routes that are no more.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.longest.retain(|route, _| keep(route));
    }
}
