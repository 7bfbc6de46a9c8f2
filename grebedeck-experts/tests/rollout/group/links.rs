//! The links of a group's machines.

use std::time::Duration;

use grebedeck_experts::rollout::{Message, Stage};

use super::Group;

/// Bytes of a datagram beside its message: the headers of the network, the sender and the group.
const HEADER_BYTES: usize = 50;
/// Bytes of a node's address, which stands as a number here.
const ADDRESS_BYTES: usize = 8;
impl Group {
    /// Gets how long a message is on its way over the links of both machines, or `None` where too much waits there.
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

        let takes = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        let now = self.now;
        let up = self.machines[from].link_free.up.max(now);
        let down = self.machines[to].link_free.down.max(up + takes);

        let is_dropped = up > now + self.link_queue || down > up + self.link_queue;

        if is_dropped && !self.drops_take_time {
            return None;
        }

        self.machines[from].link_free.up = up + takes;

        if is_dropped {
            return None;
        }

        self.machines[to].link_free.down = down + takes;
        Some(down + takes - now)
    }
}

/// Gets what a page about links calls a message.
fn kind(message: &Message<usize>) -> &'static str {
    match message {
        Message::Lead { roster, .. } if !roster.is_empty() => "names",
        Message::Lead { directive, .. } if directive.stage == Stage::Idle => "idle word",
        Message::Lead { .. } => "word on a plan",
        Message::Relay { .. } => "plan, passed on",
        Message::Status(_) => "status",
        Message::Changeover(_) | Message::Answer(_) => "changeover",
        _ => "placement asked for",
    }
}
