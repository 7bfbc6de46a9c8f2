//! Observed pauses survive a reload of the settings.

mod unreachable;

use std::time::Duration;

use grebedeck::gateway::service::Gateway;
use grebedeck::gateway::{GatewaySettings, Tasks};
use unreachable::{NAMES, rule, settings};

/// After each reload the gateway admitted as many requests as there were slots until it had
/// observed pauses again.
#[test]
fn pauses_are_reset_only_when_load_settings_change() {
    let settings = settings();
    let gateway = Gateway::new(settings.clone(), NAMES, Tasks::default());
    let pause = Duration::from_millis(90);
    gateway.record_pause("notes", pause, &rule());
    assert_eq!(gateway.mean_pause("notes"), Some(pause));

    gateway.set_settings(GatewaySettings { memory_mb: 90, ..settings.clone() });
    assert_eq!(gateway.mean_pause("notes"), Some(pause));

    let mut changed = settings;
    changed.load.pause_deviations = 1.0;
    gateway.set_settings(changed);
    assert_eq!(gateway.mean_pause("notes"), None);
}
