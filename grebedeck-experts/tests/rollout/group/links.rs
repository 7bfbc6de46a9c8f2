//! The network links of a simulated group's machines.

use std::time::Duration;

use grebedeck_experts::rollout::{Message, Stage};

use super::Group;

/// Bytes of a datagram apart from its message: network headers, sender and group.
const HEADER_BYTES: usize = 50;
/// Bytes of a node's address, which is a plain number in this simulation.
const ADDRESS_BYTES: usize = 8;
impl Group {
    /// Returns how long a message takes over the links of both machines, or `None` if a queue is
    /// full and drops it.
    pub(super) fn wait_at_links(
        &mut self,
        from: usize,
        to: usize,
        message: &Message<usize>,
    ) -> Option<Duration> {
        let Some(bytes_per_s) = self.link_bytes_per_s else {
            return Some(Duration::ZERO);
        };
        let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
        let names = match message {
            Message::Lead { roster, .. } => roster.len(),
            Message::Relay { to, .. } => to.len() + 1,
            _ => 0,
        };
        let bytes =
            encoded.expect("a message always encodes").len() + HEADER_BYTES + names * ADDRESS_BYTES;

        for at in [from, to] {
            *self.traffic.entry((at, kind(message))).or_default() += bytes as u64;
        }

        let send_time = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        let now = self.now;
        let up = self.machines[from].link_free_at.up.max(now);
        let down = self.machines[to].link_free_at.down.max(up + send_time);

        let is_dropped = up > now + self.link_queue || down > up + self.link_queue;

        if is_dropped && !self.dropped_use_link {
            return None;
        }

        self.machines[from].link_free_at.up = up + send_time;

        if is_dropped {
            return None;
        }

        self.machines[to].link_free_at.down = down + send_time;
        Some(down + send_time - now)
    }
}

/// Returns the label of a message's kind in the traffic figures.
fn kind(message: &Message<usize>) -> &'static str {
    match message {
        Message::Lead { roster, .. } if !roster.is_empty() => "roster",
        Message::Lead { directive, .. } if directive.stage == Stage::Idle => "idle directive",
        Message::Lead { .. } => "plan directive",
        Message::Relay { .. } => "relayed plan",
        Message::Status(_) => "status",
        Message::Changeover(_) | Message::Answer(_) => "changeover",
        _ => "requested placement",
    }
}
