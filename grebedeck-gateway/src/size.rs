//! Approximate memory of what a process holds of the store's contents.
//!
//! The figures count the values and their texts. They leave out the allocator's overhead, so they
//! serve to compare owners of memory and to bound them, and not to predict a process's size.

use std::sync::Arc;

use crate::site::{Organisation, RouteRule, ServiceSpec, Site};
use crate::source::{OperatorChange, OperatorState, TargetChange, Unreadable};
use crate::targets::{ListedTarget, TargetEntry, TargetListing};

/// A value whose memory is known.
pub trait HeldBytes {
    /// Memory of the value and of what it owns, in bytes.
    fn held_bytes(&self) -> usize;
}

impl HeldBytes for String {
    fn held_bytes(&self) -> usize {
        size_of::<Self>() + self.len()
    }
}

impl<T: HeldBytes> HeldBytes for Vec<T> {
    fn held_bytes(&self) -> usize {
        size_of::<Self>() + self.iter().map(T::held_bytes).sum::<usize>()
    }
}

impl<T: HeldBytes> HeldBytes for Arc<T> {
    fn held_bytes(&self) -> usize {
        self.as_ref().held_bytes()
    }
}

impl HeldBytes for RouteRule {
    fn held_bytes(&self) -> usize {
        let services = self.services.iter().map(|s| size_of_val(s) + s.service.len());
        let texts = self.name.len() + self.host.len() + self.path_prefix.len();

        size_of::<Self>() + texts + services.sum::<usize>()
    }
}

impl HeldBytes for ServiceSpec {
    fn held_bytes(&self) -> usize {
        size_of::<Self>() + self.name.len()
    }
}

impl HeldBytes for Organisation {
    fn held_bytes(&self) -> usize {
        size_of::<Self>() + self.name.len() + self.keys.held_bytes()
    }
}

impl HeldBytes for Site {
    fn held_bytes(&self) -> usize {
        let lists = self.services.held_bytes() + self.organisations.held_bytes();

        size_of::<Self>() + self.routes.held_bytes() + lists
    }
}

impl HeldBytes for Unreadable {
    fn held_bytes(&self) -> usize {
        size_of::<Self>() + self.key.len() + self.error.len()
    }
}

impl HeldBytes for OperatorState {
    fn held_bytes(&self) -> usize {
        let site = self.site.as_ref().map_or(0, Arc::held_bytes);

        size_of::<Self>() + site + self.evacuated.held_bytes() + self.unreadable.held_bytes()
    }
}

impl HeldBytes for OperatorChange {
    fn held_bytes(&self) -> usize {
        let owned = match self {
            OperatorChange::Site(site) => site.held_bytes(),
            OperatorChange::Evacuated { hall, .. } | OperatorChange::Reopened { hall, .. } => {
                hall.len()
            }
            OperatorChange::Unreadable(what) => what.key.len() + what.error.len(),
        };

        size_of::<Self>() + owned
    }
}

impl HeldBytes for TargetEntry {
    fn held_bytes(&self) -> usize {
        size_of::<Self>() + self.id.len() + self.service.len() + self.hall.len()
    }
}

impl HeldBytes for ListedTarget {
    fn held_bytes(&self) -> usize {
        size_of_val(&self.version) + self.entry.held_bytes()
    }
}

impl HeldBytes for TargetListing {
    fn held_bytes(&self) -> usize {
        let unreadable = self.unreadable.iter();
        let unreadable = unreadable.map(|row| size_of_val(row) + row.0.len() + row.2.len());

        size_of::<Self>() + self.targets.held_bytes() + unreadable.sum::<usize>()
    }
}

impl HeldBytes for TargetChange {
    fn held_bytes(&self) -> usize {
        match self {
            TargetChange::Set(listed) => listed.held_bytes(),
            TargetChange::Removed { id, .. } => size_of::<Self>() + id.len(),
            TargetChange::Unreadable { id, reason, .. } => {
                size_of::<Self>() + id.len() + reason.len()
            }
        }
    }
}
