//! How fast a gateway gives prompts to a model's group.
//!
//! All ranks wait in each pass for the one that reads most, so prompts that begin together make every stream pause.
//! After an outage hundreds of callers wait at all gateways at once. Each gateway may use its share of what the group
//! reads; the share follows the requests in flight, slowly, since what others have sent a moment ago is not known yet.

use std::time::Duration;

use grebedeck_core::Moment;

/// Time over which a gateway's share follows the requests in flight: some reports of the ranks' load, and less than
/// the time in which callers move from one gateway to others. A share that followed them at once was 1 for every one
/// of 16 gateways in the moment in which a group opened, as none had heard of the others' requests yet: 520 prompts
/// began within 0.1 s, and passes took 0.17 to 0.2 s.
const SHARE_TIME: Duration = Duration::from_secs(1);

/// Requests that a gateway knows of.
#[derive(Clone, Copy, Debug)]
pub struct InFlightCounts {
    /// The gateway's own.
    pub own: f64,
    /// Those of all gateways.
    pub all: f64,
}

/// A gateway's share of the requests for a group.
#[derive(Clone, Copy, Debug)]
struct Share {
    value: f64,
    seen_at: Moment,
}

impl Share {
    /// Follows the requests in flight; it is an equal part at the least.
    fn follow(&mut self, counts: InFlightCounts, equal: f64, now: Moment) {
        let seen = (counts.own / counts.all.max(1.0)).clamp(equal, 1.0);
        let since_s = now.saturating_sub(self.seen_at).as_secs_f64();
        let weight = 1.0 - (-since_s / SHARE_TIME.as_secs_f64()).exp();

        self.value = (self.value + weight * (seen - self.value)).max(equal);
        self.seen_at = now;
    }
}

/// Rate at which a gateway gives prompts to a group.
#[derive(Clone, Copy, Debug)]
pub struct PromptRate {
    group_tokens_per_s: f64,
    share: Option<Share>,
    burst: Duration,
    free_at: Moment,
}

impl PromptRate {
    /// Makes a rate; prompts worth `burst` of it may begin at once after a pause.
    pub fn new(burst: Duration) -> Self {
        PromptRate { group_tokens_per_s: 0.0, share: None, burst, free_at: Moment::ZERO }
    }

    /// Sets what the whole group may read, as targets come and go, and the requests of this gateway and all
    /// `gateways`.
    pub fn observe(
        &mut self,
        group_tokens_per_s: f64,
        counts: InFlightCounts,
        gateways: usize,
        now: Moment,
    ) {
        let equal = 1.0 / gateways.max(1) as f64;
        let first = Share { value: equal, seen_at: now };
        self.group_tokens_per_s = group_tokens_per_s;
        self.share.get_or_insert(first).follow(counts, equal, now);
    }

    /// Gets the time until the next prompt may begin that wants the reading to rest for `pause` before it.
    pub fn wait(&self, pause: Duration, now: Moment) -> Duration {
        (self.free_at + pause).saturating_sub(now)
    }

    /// Notes that a prompt begins.
    pub fn take(&mut self, tokens: u64, now: Moment) {
        let earliest = now.saturating_sub(self.burst);
        let takes = Duration::from_secs_f64(tokens as f64 / self.tokens_per_s().max(1.0));
        self.free_at = self.free_at.max(earliest) + takes;
    }

    fn tokens_per_s(&self) -> f64 {
        self.group_tokens_per_s * self.share.map_or(1.0, |share| share.value)
    }
}
