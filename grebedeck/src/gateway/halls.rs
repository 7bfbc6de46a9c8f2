//! What operators have written, as a gateway takes it in: the configuration, and the halls that they evacuate.
//!
//! News are taken in one step without a pause: a request is never routed by a configuration while evacuations of
//! the same answer are not in force yet.

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

/// Unreadable keys that are remembered so that each is told once; some more than an operator has.
const MAX_TOLD: usize = 64;

/// What is known of what operators have written, beside the halls themselves.
#[derive(Default)]
pub struct OperatorView {
    knows_halls: Cell<bool>,
    /// The last moment at which nothing that operators had written was unknown.
    current_at: Cell<Option<Moment>>,
    /// Keys that could not be read, with the versions that were told.
    told: RefCell<BTreeMap<String, StoreVersion>>,
}

impl OperatorView {
    /// Tells whether the evacuated halls were read once, or told by another gateway.
    pub fn knows_halls(&self) -> bool {
        self.knows_halls.get()
    }

    /// Notes an unreadable key; tells whether it is to be told. Once too many were told, others are not.
    fn is_news(&self, unreadable: &Unreadable) -> bool {
        let mut told = self.told.borrow_mut();

        if told.get(&unreadable.key).is_some_and(|version| *version >= unreadable.version) {
            return false;
        }

        let has_room = told.len() < MAX_TOLD || told.contains_key(&unreadable.key);

        if has_room {
            told.insert(unreadable.key.clone(), unreadable.version);
        }

        has_room
    }
}

impl Gateway {
    /// Takes in all that operators have written, asked for at a moment. Fails where no configuration is known and the
    /// one in the store cannot be read, so that other gateways are asked for theirs.
    pub fn take_operator_state(
        &self,
        snapshot: Snapshot<OperatorState>,
        asked_at: Moment,
    ) -> Result<()> {
        let Snapshot { version, value: OperatorState { site, evacuated, unreadable } } = snapshot;
        let known_at = asked_at.saturating_sub(self.relay.operator_age());
        let since = self.operator.current_at.replace(Some(known_at));
        self.take_halls("store", |halls, now| {
            halls.apply_snapshot(version, &evacuated, since, now)
        });
        self.operator.knows_halls.set(true);
        unreadable.iter().for_each(|what| self.note_unreadable_key(what));

        if let Some(site) = site {
            self.apply_site(&site, "store");
        }

        match unreadable.first() {
            Some(first) if self.table().version() == 0 => platform_error(first.error.clone()),
            _ => Ok(()),
        }
    }

    /// Takes in changes of what operators have written, in their order, up to a version.
    pub fn take_operator_changes(&self, version: StoreVersion, changes: Vec<OperatorChange>) {
        for change in changes {
            match change {
                OperatorChange::Site(site) => {
                    self.apply_site(&site, "store");
                }
                OperatorChange::Evacuated { version, hall } => {
                    self.take_halls("store", |halls, now| {
                        halls.apply_change(version, &hall, true, now)
                    });
                }
                OperatorChange::Reopened { version, hall } => {
                    self.take_halls("store", |halls, now| {
                        halls.apply_change(version, &hall, false, now)
                    });
                }
                OperatorChange::Unreadable(what) => self.note_unreadable_key(&what),
            }
        }

        self.targets.borrow_mut().advance_halls_version(version);
        self.note_operator_quiet();
    }

    /// Notes that nothing that operators have written is unknown.
    pub fn note_operator_quiet(&self) {
        let known_at = self.now().saturating_sub(self.relay.operator_age());
        self.operator.current_at.set(Some(known_at));
    }

    /// Gets what is known of halls, for other gateways.
    pub fn hall_words(&self) -> HallStatuses {
        let now = self.now();

        self.with_targets(|targets| targets.evacuations().statuses(now))
    }

    /// Takes in what another gateway knows of halls.
    pub fn take_hall_words(&self, words: &HallStatuses) {
        self.take_halls("peer", |halls, now| halls.merge(words, now));

        if words.version > 0 {
            self.operator.knows_halls.set(true);
        }
    }

    /// Tells whether all targets of a service stand in evacuated halls.
    pub fn is_evacuated(&self, service: &str) -> bool {
        self.refresh_halls();
        self.with_targets(|targets| targets.is_evacuated(service))
    }

    /// Lets targets leave whose time to do so is over, where housekeeping is late: a process that was frozen may look
    /// for a place before it.
    pub(super) fn refresh_halls(&self) {
        let is_late = self.with_targets(|t| t.is_index_stale(HOUSEKEEPING_PERIOD, self.now()));

        if is_late {
            self.remove_lapsed_targets();
        }
    }

    /// Puts the settings' bound on evacuations in force.
    pub(super) fn set_evacuation_bound(&self) {
        let bound = millis(self.settings().evacuate_ms);
        let now = self.now();

        self.targets.borrow_mut().update_evacuations(|halls| halls.set_bound(bound), now);
    }

    fn take_halls<E: IntoIterator<Item = HallEvent>>(
        &self,
        from: &'static str,
        take: impl FnOnce(&mut Evacuations, Moment) -> E,
    ) {
        let now = self.now();
        let events = self.targets.borrow_mut().update_evacuations(|halls| take(halls, now), now);

        for event in events {
            self.note_hall_event(&event, from);
        }
    }

    fn note_hall_event(&self, event: &HallEvent, from: &'static str) {
        match event {
            HallEvent::Evacuated { hall, version } => {
                self.counters.hall_news.add("evacuated");
                log::info!("hall evacuated", kv: {
                    hall = hall.as_str(), version = *version, from,
                });
            }
            HallEvent::Reopened { hall, version } => {
                self.counters.hall_news.add("taken_back");
                log::info!("hall taken back", kv: {
                    hall = hall.as_str(), version = *version, from,
                });
                self.suspect_starts_in(hall);
            }
            HallEvent::Dropped { hall, version } => {
                self.counters.hall_news.add("left_out");
                self.note_unreadable_key(&Unreadable {
                    version: *version,
                    key: hall.clone(),
                    error: "too many halls, or a name that is too long".to_string(),
                });
            }
        }

        self.slot_freed.notify(usize::MAX);
    }

    fn note_unreadable_key(&self, what: &Unreadable) {
        if self.operator.is_news(what) {
            log::error!("refused", kv: {
                what = what.key.as_str(), version = what.version, error = what.error.as_str(),
            });
        }
    }
}

/// Gets the evacuated halls for a dump.
pub fn evacuated_view(halls: &Evacuations) -> Vec<serde_json::Value> {
    let view = |(hall, version)| json!({ "hall": hall, "version": version });

    halls.halls().map(view).collect()
}
