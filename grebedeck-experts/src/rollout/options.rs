//! Settings of a node: how long it waits for others, and what it allows for.

use std::time::Duration;

use grebedeck_core::Rank;

/// Settings of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeOptions {
    /// Silence of the leader after which rank 0 takes the lead: more than two periods of its messages, so
    /// that a lost one is no reason. With 700 ms, and others asked for only then, the first plan came 1.57 s
    /// after all processes had been killed; it comes after 0.85 s, by the logs of such a day.
    pub election_timeout: Duration,
    /// What each doubling of the rank's number adds to that, so that rarely two of the first ones claim at
    /// once, and the last of 192 waits for 0.9 s and not for 23 s.
    pub election_timeout_per_doubling: Duration,
    /// What ranks wait for beyond that which the leader has not named all nodes to: each of them would have to ask the
    /// store for the nodes, and there are hundreds.
    pub late_candidate_delay: Duration,
    /// How long before it would take the lead a node asks for the other nodes: a call to the store.
    pub peer_lookup_lead_time: Duration,
    /// How often a leader tells what it wants, and a node its status, where nothing changes.
    pub heartbeat_period: Duration,
    /// Age at which a status is no longer believed.
    pub status_lifetime: Duration,
    /// Pause before an order is given again: several times what an engine takes to answer.
    pub order_retry_delay: Duration,
    /// How long copying may take before a plan is given up: many times what the links need.
    pub prepare_timeout: Duration,
    /// How long nodes have to say that they are ready for a changeover: some round trips, and less than
    /// the passes ahead take.
    pub ready_timeout: Duration,
    /// How often a holder tells what it wants while answers are missing.
    pub changeover_retry_delay: Duration,
    /// How long a node has to arm its own rank before the holder does it.
    pub remote_access_delay: Duration,
    /// How long a holder waits for its leader's word on a hold that it sees.
    pub hold_grace: Duration,
    /// How long it takes from ordering a hold until all ranks are armed, beside what each rank adds, until
    /// it was seen: some round trips and readings of the engines. The next pass is held that begins later
    /// than this: with passes of 0.9 s, as beside a slow rank, 9 in 10 changeovers take 0.73 s at the
    /// most, and 1.63 s with a hold always two passes ahead, in virtual time.
    pub initial_arm_time: Duration,
    /// What each rank of the group adds to a word to all of them and their answers: some 150 bytes each way,
    /// 0.4 ms over the smallest link, 6 Mbit/s, and a little for taking them in.
    pub round_trip_per_rank: Duration,
    /// Holds that are tried for one placement before it is given up.
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
            hold_grace: Duration::from_millis(100),
            initial_arm_time: Duration::from_millis(60),
            round_trip_per_rank: Duration::from_micros(500),
            max_hold_attempts: 3,
        }
    }
}

impl NodeOptions {
    /// Gets a time that a word to all ranks and their answers are allowed, for a group of this size.
    pub(super) fn for_all(&self, time: Duration, size: Rank) -> Duration {
        time + self.round_trip_per_rank * u32::from(size)
    }
}
