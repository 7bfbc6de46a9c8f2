//! Names of the headers that a platform gives a meaning, and what targets say in them.

/// Header names; each platform has its own.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a caller's request; targets echo it.
    pub request_id: &'static str,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: &'static str,
    /// The target's signature of an answer; without it, a success is not the target's.
    pub signature: &'static str,
    /// The organisation, towards targets.
    pub organisation: &'static str,
    /// Id of the only target that may run the request.
    pub expected_target: &'static str,
    /// A target's own id, in its answers.
    pub target_id: &'static str,
    /// A target's load: requests running, requests waiting, slots.
    pub load: &'static str,
    /// Milliseconds for which the target is still cold.
    pub cold_ms: &'static str,
    /// Says that the target has not run the request.
    pub not_run: &'static str,
    /// Id of the last event that the caller of a stream has.
    pub last_event_id: &'static str,
    /// A caller's proof of its organisation.
    pub authorization: &'static str,
    /// The scheme in front of a caller's key.
    pub key_scheme: &'static str,
    /// A request's tokens: those of the prompt, and the most that are generated.
    pub tokens: &'static str,
    /// A request's rank towards a model's engine.
    pub priority: &'static str,
    /// Seconds after which the caller may come back; in a target's refusal, for which it wants nothing from this
    /// process.
    pub retry_after: &'static str,
    /// Says that the target is leaving.
    pub leaving: &'static str,
    /// Requests a second that the target takes from all gateways together.
    pub limit: &'static str,
}

/// What a target's answer says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
}

impl TargetLoad {
    /// Reads the value of the load header.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);

        Some(TargetLoad { running, waiting, slots })
    }

    /// Gets the requests that run or wait.
    pub fn in_flight(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Tells whether the target has a place free.
    pub fn has_room(self) -> bool {
        self.in_flight() < self.slots
    }
}

/// Tells whether a target says that it leaves. Whatever is not a plain no is taken for it: a target that is passed over
/// is missed less than one that ends under a request.
pub fn says_leaving(value: &[u8]) -> bool {
    value.trim_ascii() != b"0"
}
