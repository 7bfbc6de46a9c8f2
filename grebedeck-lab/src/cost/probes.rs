//! The probes, each of which measures one cost at several sizes.
//!
//! Memory probes need the allocator `INSTRUMENTED_SYSTEM`, which the program's `main` installs.

mod config;
mod experts;
mod queue;
mod routing;

use std::hint::black_box;
use std::time::Instant;

use stats_alloc::INSTRUMENTED_SYSTEM;

use super::fit::Slope;

/// A cost and how to measure it.
pub struct Probe {
    /// Name of the cost, which the page and the plots' file names show.
    pub name: &'static str,
    unit: &'static str,
    per: &'static str,
    sizes: &'static [usize],
    /// Size in a large deployment, for which the page gives the cost.
    fleet_size: f64,
    cost: fn(usize) -> f64,
}

impl Probe {
    /// Measures the cost at each size.
    pub fn measure(&self) -> Slope {
        let points = self.sizes.iter().map(|n| (*n as f64, (self.cost)(*n))).collect();

        Slope::fit(self.name, self.unit, self.per, points, self.fleet_size)
    }
}

const ORGANISATION_COUNTS: &[usize] = &[4_500, 9_000, 18_000, 36_000];
const TARGET_COUNTS: &[usize] = &[80, 160, 320, 650];
const LAYER_COUNTS: &[usize] = &[8, 16, 32, 60];
const MEMBER_COUNTS: &[usize] = &[2, 4, 8, 16];

/// All probes, in the order of the page.
pub const ALL: &[Probe] = &[
    Probe {
        name: "configuration memory",
        unit: "bytes",
        per: "organisation",
        sizes: ORGANISATION_COUNTS,
        fleet_size: 36_000.0,
        cost: config::configuration_bytes,
    },
    Probe {
        name: "snapshot on the wire",
        unit: "bytes",
        per: "organisation",
        sizes: ORGANISATION_COUNTS,
        fleet_size: 36_000.0,
        cost: config::snapshot_bytes,
    },
    Probe {
        name: "one change put in force",
        unit: "ms",
        per: "organisation",
        sizes: ORGANISATION_COUNTS,
        fleet_size: 36_000.0,
        cost: config::apply_change_ms,
    },
    Probe {
        name: "one change checked",
        unit: "ms",
        per: "organisation",
        sizes: ORGANISATION_COUNTS,
        fleet_size: 36_000.0,
        cost: config::check_change_ms,
    },
    Probe {
        name: "log entry on the wire",
        unit: "bytes",
        per: "changed organisation",
        sizes: &[1, 4, 16, 64],
        fleet_size: 1.0,
        cost: config::log_entry_bytes,
    },
    Probe {
        name: "choice of a target",
        unit: "us",
        per: "allowed target",
        sizes: TARGET_COUNTS,
        fleet_size: 59.0,
        cost: routing::choice_us,
    },
    Probe {
        name: "subset of targets",
        unit: "us",
        per: "allowed target",
        sizes: TARGET_COUNTS,
        fleet_size: 59.0,
        cost: routing::subset_us,
    },
    Probe {
        name: "views of targets",
        unit: "bytes",
        per: "target",
        sizes: &[10_000, 20_000, 40_000, 80_000],
        fleet_size: 650.0,
        cost: routing::view_bytes,
    },
    Probe {
        name: "admission",
        unit: "us",
        per: "active organisation",
        sizes: &[1_000, 4_000, 16_000, 36_000],
        fleet_size: 36_000.0,
        cost: routing::admission_us,
    },
    Probe {
        name: "admission memory",
        unit: "bytes",
        per: "active organisation",
        sizes: &[36_000, 72_000, 144_000, 288_000],
        fleet_size: 36_000.0,
        cost: routing::admission_bytes,
    },
    Probe {
        name: "order of those who wait",
        unit: "us",
        per: "waiting request",
        sizes: &[1_000, 2_500, 5_000, 10_000],
        fleet_size: 10_000.0,
        cost: queue::queue_us,
    },
    Probe {
        name: "memory of the order",
        unit: "bytes",
        per: "waiting request",
        sizes: &[1_000, 2_500, 5_000, 10_000],
        fleet_size: 10_000.0,
        cost: queue::queue_bytes,
    },
    Probe {
        name: "gate",
        unit: "us",
        per: "remembered key",
        sizes: &[10_000, 40_000, 80_000, 160_000],
        fleet_size: 10_000.0,
        cost: routing::gate_us,
    },
    Probe {
        name: "gate memory",
        unit: "bytes",
        per: "remembered key",
        sizes: &[50_000, 100_000, 150_000, 200_000],
        fleet_size: 10_000.0,
        cost: routing::gate_bytes,
    },
    Probe {
        name: "request frames",
        unit: "bytes",
        per: "byte of body",
        sizes: &[0, 1_000, 10_000, 100_000],
        fleet_size: 1_000.0,
        cost: routing::request_bytes,
    },
    Probe {
        name: "streamed answer frames",
        unit: "bytes",
        per: "event of 24 bytes",
        sizes: &[1, 10, 100, 1_000],
        fleet_size: 230.0,
        cost: routing::answer_bytes,
    },
    Probe {
        name: "token counts on the wire",
        unit: "bytes",
        per: "layer of 128 experts",
        sizes: LAYER_COUNTS,
        fleet_size: 60.0,
        cost: experts::counts_bytes,
    },
    Probe {
        name: "expert map on the wire",
        unit: "bytes",
        per: "layer of 128 experts",
        sizes: LAYER_COUNTS,
        fleet_size: 60.0,
        cost: experts::map_bytes,
    },
    Probe {
        name: "popularity memory",
        unit: "bytes",
        per: "layer of 128 experts",
        sizes: &[2_000, 4_000, 8_000, 16_000],
        fleet_size: 60.0,
        cost: experts::popularity_bytes,
    },
    Probe {
        name: "popularity update",
        unit: "ms",
        per: "layer of 128 experts",
        sizes: LAYER_COUNTS,
        fleet_size: 60.0,
        cost: experts::popularity_ms,
    },
    Probe {
        name: "plan",
        unit: "ms",
        per: "layer of 128 experts on 32 ranks",
        sizes: LAYER_COUNTS,
        fleet_size: 60.0,
        cost: experts::plan_ms,
    },
    Probe {
        name: "switch messages",
        unit: "bytes",
        per: "member",
        sizes: MEMBER_COUNTS,
        fleet_size: 4.0,
        cost: experts::switch_bytes,
    },
];

/// Returns the heap memory that the value of `make` retains, from the allocator's counters.
fn retained_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let live_bytes = || {
        let stats = INSTRUMENTED_SYSTEM.stats();
        stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
    };
    let before = live_bytes();
    let value = make();
    let after = live_bytes();
    drop(black_box(value));

    after - before
}

/// Returns the shortest time of several runs, in seconds.
///
/// The shortest run is the one least disturbed by other load on the machine.
fn min_time_s(runs: usize, mut run: impl FnMut()) -> f64 {
    let timed = |run: &mut dyn FnMut()| {
        let start = Instant::now();
        run();
        start.elapsed().as_secs_f64()
    };

    (0..runs).map(|_| timed(&mut run)).fold(f64::INFINITY, f64::min)
}
