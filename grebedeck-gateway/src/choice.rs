//! Settings for choosing a target of a service.

use std::time::Duration;

use grebedeck_routing::ChooserOptions;

/// Targets compared for each request. All gateways get the same load reports, a tenth of a second
/// late; when each compared all targets, they all chose the same idle one, where prompts are read
/// one after the other. With 12 gateways and 72 ranks, 6 in 100 streams then started later than
/// their objective; with three draws, 1 in 1,000.
const DRAWS_PER_REQUEST: usize = 3;
/// Weight of a waiting request, in running requests on top of itself. A waiting request delays a
/// new one by two forward passes, a running one by a hundredth of one; but slots must not run out
/// either.
const WAITING_WEIGHT: f64 = 4.0;
/// Age at which a load report expires. If it were much longer, a target that others have filled
/// since would look free.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Slowdown from which a rank gets no requests while enough others are healthy. All ranks wait in
/// each pass for the slowest one, so its own work delays the whole group. The usual differences
/// between ranks stay below this.
const SLOWDOWN_THRESHOLD: f32 = 1.5;

/// Options of a gateway's chooser.
pub fn chooser_options() -> ChooserOptions {
    ChooserOptions {
        draws: DRAWS_PER_REQUEST,
        waiting_weight: WAITING_WEIGHT,
        report_lifetime: REPORT_LIFETIME,
        slow_threshold: SLOWDOWN_THRESHOLD,
        ..ChooserOptions::default()
    }
}
