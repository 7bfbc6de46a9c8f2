//! Applies what operators write to the store: the configuration and the evacuations of halls.
//!
//! Each response of the store is applied in one step without an await point, so that no request is
//! routed by a new configuration before the evacuations of the same response are in force.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use grebedeck_core::error::platform_error;
use grebedeck_core::{Moment, Result};
use grebedeck_gateway::{
    Evacuations, HallEvent, HallStatuses, OperatorChange, OperatorState, Snapshot, StoreVersion,
    Unreadable,
};
use grebedeck_kernel::log;
use serde_json::json;

use super::options::HOUSEKEEPING_PERIOD;
use super::service::Gateway;
use crate::settings::millis;

/// Maximum number of unreadable keys that are remembered, so that each is logged once; more than
/// operators have.
const MAX_LOGGED_KEYS: usize = 64;

/// How complete and recent the known operator state is.
#[derive(Default)]
pub struct OperatorView {
    has_hall_statuses: Cell<bool>,
    /// Last moment at which all that operators had written was known.
    current_at: Cell<Option<Moment>>,
    /// Unreadable keys, with the versions that were logged.
    logged: RefCell<BTreeMap<String, StoreVersion>>,
}

impl OperatorView {
    /// Returns whether the statuses of halls have been read, or received from another gateway.
    pub fn has_hall_statuses(&self) -> bool {
        self.has_hall_statuses.get()
    }

    /// Records an unreadable key; returns whether to log it. At the maximum, further keys are not
    /// logged.
    fn record_unreadable(&self, unreadable: &Unreadable) -> bool {
        let mut logged = self.logged.borrow_mut();

        if logged.get(&unreadable.key).is_some_and(|version| *version >= unreadable.version) {
            return false;
        }

        let has_room = logged.len() < MAX_LOGGED_KEYS || logged.contains_key(&unreadable.key);

        if has_room {
            logged.insert(unreadable.key.clone(), unreadable.version);
        }

        has_room
    }
}

impl Gateway {
    /// Applies all that operators have written, as requested at `requested_at`. Fails if no
    /// configuration is known and the one in the store is unreadable, so that other gateways are
    /// polled for theirs.
    pub fn apply_operator_snapshot(
        &self,
        snapshot: Snapshot<OperatorState>,
        requested_at: Moment,
    ) -> Result<()> {
        let Snapshot { version, value: OperatorState { site, evacuated, unreadable } } = snapshot;
        let known_at = requested_at.saturating_sub(self.relay.operator_age());
        let since = self.operator.current_at.replace(Some(known_at));
        self.update_halls("store", |halls, now| {
            halls.apply_snapshot(version, &evacuated, since, now)
        });
        self.operator.has_hall_statuses.set(true);
        unreadable.iter().for_each(|unreadable| self.log_unreadable_key(unreadable));

        if let Some(site) = site {
            self.apply_site(&site, "store");
        }

        match unreadable.first() {
            Some(first) if self.table().version() == 0 => platform_error(first.error.clone()),
            _ => Ok(()),
        }
    }

    /// Applies changes of operators in their order, up to a version.
    pub fn apply_operator_changes(&self, version: StoreVersion, changes: Vec<OperatorChange>) {
        for change in changes {
            match change {
                OperatorChange::Site(site) => {
                    self.apply_site(&site, "store");
                }
                OperatorChange::Evacuated { version, hall } => {
                    self.update_halls("store", |halls, now| {
                        halls.apply_change(version, &hall, true, now)
                    });
                }
                OperatorChange::Reopened { version, hall } => {
                    self.update_halls("store", |halls, now| {
                        halls.apply_change(version, &hall, false, now)
                    });
                }
                OperatorChange::Unreadable(unreadable) => self.log_unreadable_key(&unreadable),
            }
        }

        self.targets.borrow_mut().advance_halls_version(version);
        self.record_operator_current();
    }

    /// Records that all that operators have written is known.
    pub fn record_operator_current(&self) {
        let known_at = self.now().saturating_sub(self.relay.operator_age());
        self.operator.current_at.set(Some(known_at));
    }

    /// Returns the known statuses of halls, for other gateways.
    pub fn hall_statuses(&self) -> HallStatuses {
        let now = self.now();

        self.with_targets(|targets| targets.evacuations().statuses(now))
    }

    /// Merges the hall statuses that another gateway knows.
    pub fn merge_hall_statuses(&self, statuses: &HallStatuses) {
        self.update_halls("peer", |halls, now| halls.merge(statuses, now));

        if statuses.version > 0 {
            self.operator.has_hall_statuses.set(true);
        }
    }

    /// Returns whether all targets of a service are in evacuated halls.
    pub fn is_evacuated(&self, service: &str) -> bool {
        self.refresh_if_stale();
        self.with_targets(|targets| targets.is_evacuated(service))
    }

    /// Removes lapsed targets that are due, and applies due changes of halls if housekeeping is late:
    /// a process that was suspended may select a target before housekeeping runs.
    pub(super) fn refresh_if_stale(&self) {
        let now = self.now();
        let is_late = self.with_targets(|targets| {
            targets.has_due_removal(now) || targets.is_index_stale(HOUSEKEEPING_PERIOD, now)
        });

        if is_late {
            self.remove_lapsed_targets();
        }
    }

    /// Applies the settings' bound on the time in which an evacuation completes.
    pub(super) fn set_evacuation_bound(&self) {
        let bound = millis(self.settings().evacuate_ms);
        let now = self.now();

        self.targets.borrow_mut().update_evacuations(|halls| halls.set_bound(bound), now);
    }

    fn update_halls<E: IntoIterator<Item = HallEvent>>(
        &self,
        from: &'static str,
        update: impl FnOnce(&mut Evacuations, Moment) -> E,
    ) {
        let now = self.now();
        let events = self.targets.borrow_mut().update_evacuations(|halls| update(halls, now), now);

        for event in events {
            self.record_hall_event(&event, from);
        }
    }

    fn record_hall_event(&self, event: &HallEvent, from: &'static str) {
        match event {
            HallEvent::Evacuated { hall, version } => {
                self.counters.hall_events.add("evacuated");
                log::info!("hall evacuated", kv: {
                    hall = hall.as_str(), version = *version, from,
                });
            }
            HallEvent::Reopened { hall, version } => {
                self.counters.hall_events.add("taken_back");
                log::info!("hall reopened", kv: {
                    hall = hall.as_str(), version = *version, from,
                });
                self.assume_restarts_in(hall);
            }
            HallEvent::Dropped { hall, version } => {
                self.counters.hall_events.add("left_out");
                self.log_unreadable_key(&Unreadable {
                    version: *version,
                    key: hall.clone(),
                    error: "too many halls, or a name that is too long".to_string(),
                });
            }
        }

        self.slot_freed.notify(usize::MAX);
    }

    fn log_unreadable_key(&self, unreadable: &Unreadable) {
        if self.operator.record_unreadable(unreadable) {
            log::error!("refused", kv: {
                what = unreadable.key.as_str(),
                version = unreadable.version,
                error = unreadable.error.as_str(),
            });
        }
    }
}

/// Returns the evacuated halls for a dump.
pub fn evacuated_view(halls: &Evacuations) -> Vec<serde_json::Value> {
    let view = |(hall, version)| json!({ "hall": hall, "version": version });

    halls.halls().map(view).collect()
}
