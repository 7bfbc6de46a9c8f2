//! Metrics of the traffic between processes.

use grebedeck_kernel::Metrics;
use grebedeck_net::counting::{received_bytes, sent_bytes};

/// Registers the gauges of sent and received bytes.
pub fn add_metrics(metrics: &Metrics) {
    metrics.gauge("grebedeck_peer_sent_bytes", "Bytes sent to peers", || sent_bytes() as f64);
    metrics.gauge("grebedeck_peer_received_bytes", "Bytes received from peers", || {
        received_bytes() as f64
    });
}
