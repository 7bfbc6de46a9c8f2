//! Names of the platform's HTTP headers, and parsers for the values that targets send in them.

/// Header names of a platform.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a caller's request, which targets echo.
    pub request_id: &'static str,
    /// Time that the sender still waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// Signature of an answer by its target; a success without it does not come from the target.
    pub signature: &'static str,
    /// The caller's organisation, in requests to targets.
    pub organisation: &'static str,
    /// Id of the only target that may run a request.
    pub expected_target: &'static str,
    /// Id of the target that sends an answer.
    pub target_id: &'static str,
    /// A target's load: running requests, waiting requests and slots, as in [`TargetLoad`].
    pub load: &'static str,
    /// Time that a target is still cold, in milliseconds.
    pub cold_ms: &'static str,
    /// Marks an answer to a request that the target did not run.
    pub not_run: &'static str,
    /// Id of the last event that the caller of a stream received.
    pub last_event_id: &'static str,
    /// A caller's API key, after the scheme.
    pub authorization: &'static str,
    /// Authorization scheme in front of a caller's API key.
    pub key_scheme: &'static str,
    /// A request's tokens: those of its prompt, and the maximum to generate.
    pub tokens: &'static str,
    /// The parts of a request's prompt, in order.
    pub prompt_parts: &'static str,
    /// A request's priority at a model's engine.
    pub priority: &'static str,
    /// Seconds after which a caller may retry; in a target's refusal, the time in which it wants no
    /// requests from this gateway.
    pub retry_after: &'static str,
    /// Announces that the target is leaving.
    pub leaving: &'static str,
    /// Requests per second that the target accepts from all gateways together.
    pub limit: &'static str,
}

/// A target's load, as announced in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub slots: u32,
}

impl TargetLoad {
    /// Parses a value of the load header.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);

        Some(TargetLoad { running, waiting, slots })
    }

    /// Number of running and waiting requests.
    pub fn in_flight(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Whether the target has a free slot.
    pub fn has_room(self) -> bool {
        self.in_flight() < self.slots
    }
}

/// Whether a value of the leaving header announces that the target leaves. Every value but `0`
/// does: skipping a target without need costs less than a request that its stop interrupts.
pub fn says_leaving(value: &[u8]) -> bool {
    value.trim_ascii() != b"0"
}
