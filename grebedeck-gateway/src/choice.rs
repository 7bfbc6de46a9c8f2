//! How a gateway chooses among a service's targets.

use std::time::Duration;

use grebedeck_routing::ChooserOptions;

/// Targets that are looked at for a request. All gateways hear the same loads, a tenth of a second late:
/// each looking at all targets, they ran to the same idle one, where prompts are read one after the other.
/// With 12 gateways and 72 ranks, 6 in 100 streams began later than their objective; with three, 1 in 1,000.
const DRAWS: usize = 3;
/// Requests that run which one that waits counts as, beside itself. One that waits takes a new request two
/// passes, one that runs takes it a hundredth of a pass; but places must not run out, either.
const WAITING_WEIGHT: f64 = 4.0;
/// Age after which a target's word on its load is no longer believed: much longer and a target that
/// others have filled since would be taken for a free one.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Slowdown from which a rank gets no requests while enough others are well: all ranks wait in each pass
/// for the slowest one, so what it does itself costs the whole group. Ranks that only differ from each other
/// stay below it.
const SLOW_FROM: f32 = 1.5;

/// Gets the settings of a gateway's choice.
pub fn chooser_options() -> ChooserOptions {
    ChooserOptions {
        draws: DRAWS,
        waiting_weight: WAITING_WEIGHT,
        report_lifetime: REPORT_LIFETIME,
        slow_threshold: SLOW_FROM,
        ..ChooserOptions::default()
    }
}
