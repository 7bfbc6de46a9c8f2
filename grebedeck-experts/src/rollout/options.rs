//! Timeouts and allowances of a node.

use std::time::Duration;

use grebedeck_core::Rank;

/// Options of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeOptions {
    /// Silence of the leader after which rank 0 takes the lead: more than two heartbeat periods, so
    /// that the loss of one does not matter. With 700 ms, and peers looked up only then, the first
    /// plan came 1.57 s after all processes had been killed, instead of 0.85 s.
    pub election_timeout: Duration,
    /// Added for each doubling of the rank's number, so that the first ranks rarely claim at once,
    /// and the last of 192 waits for 0.9 s instead of 23 s.
    pub election_timeout_per_doubling: Duration,
    /// Added for ranks to which the leader does not send the roster: each of them, and there may be
    /// hundreds, would have to read the list of nodes from the store.
    pub late_candidate_delay: Duration,
    /// How long before it would take the lead a node looks up its peers: a call to the store.
    pub peer_lookup_lead_time: Duration,
    /// Interval at which a leader repeats its directive, and a node its status, while nothing
    /// changes.
    pub heartbeat_period: Duration,
    /// Age at which a status expires.
    pub status_lifetime: Duration,
    /// Delay before an order is repeated: several times what an engine takes to answer.
    pub order_retry_delay: Duration,
    /// How long copying may take before a plan is abandoned: many times what the links need.
    pub prepare_timeout: Duration,
    /// How long nodes may take to answer that they are ready for a changeover: some round trips,
    /// and less than the passes until the hold take.
    pub ready_timeout: Duration,
    /// Delay before a holder repeats its message while answers are missing.
    pub changeover_retry_delay: Duration,
    /// How long a holder waits for a node, to arm its own rank or to answer after the holder's
    /// restart, before it turns to that rank's engine.
    pub remote_access_delay: Duration,
    /// How long ranks may take to be armed before the changeover is given up: less than the gap of
    /// 2 s after which callers abandon their streams.
    pub arming_timeout: Duration,
    /// How long a holder waits for its leader's directive on a hold that it sees.
    pub hold_grace: Duration,
    /// Assumed time from ordering a hold until all ranks are armed, until one was measured: some
    /// round trips and readings of the engines, to which each rank adds its part. The first pass
    /// that begins later than this is held. With passes of 0.9 s, as beside a slow rank, 9 in 10
    /// changeovers take at most 0.73 s of virtual time; with a hold always two passes ahead it was
    /// 1.63 s.
    pub initial_arm_time: Duration,
    /// Added by each rank of the group to a message to all and their answers: some 150 bytes each
    /// way, 0.4 ms over the smallest link of 6 Mbit/s, and a little for handling them.
    pub round_trip_per_rank: Duration,
    /// Holds that are attempted for one placement before it is given up.
    pub max_hold_attempts: u32,
}

impl Default for NodeOptions {
    fn default() -> Self {
        NodeOptions {
            election_timeout: Duration::from_millis(450),
            election_timeout_per_doubling: Duration::from_millis(120),
            late_candidate_delay: Duration::from_secs(1),
            peer_lookup_lead_time: Duration::from_millis(200),
            heartbeat_period: Duration::from_millis(200),
            status_lifetime: Duration::from_millis(700),
            order_retry_delay: Duration::from_millis(100),
            prepare_timeout: Duration::from_secs(4),
            ready_timeout: Duration::from_millis(80),
            changeover_retry_delay: Duration::from_millis(25),
            remote_access_delay: Duration::from_millis(80),
            arming_timeout: Duration::from_millis(1000),
            hold_grace: Duration::from_millis(100),
            initial_arm_time: Duration::from_millis(60),
            round_trip_per_rank: Duration::from_micros(500),
            max_hold_attempts: 3,
        }
    }
}

impl NodeOptions {
    /// Returns `time` with the allowance for a message to all ranks and their answers.
    pub(super) fn for_all(&self, time: Duration, size: Rank) -> Duration {
        time + self.round_trip_per_rank * u32::from(size)
    }
}
