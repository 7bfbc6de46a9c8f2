//! What a gateway has learnt of pauses outlasts a reload of its settings.

mod lone;

use std::time::Duration;

use grebedeck::gateway::service::Gateway;
use grebedeck::gateway::{GatewaySettings, Tasks};
use lone::{NAMES, rule, settings};

/// After each reload as many requests were taken as fit, until pauses had been seen anew.
#[test]
fn pauses_are_forgotten_only_where_the_figures_of_the_load_change() {
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
