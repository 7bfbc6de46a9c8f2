//! Registry of the services of a process.

use std::any::Any;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::{Map, Value};

/// A component of a process that others look up by name.
pub trait Service: Any + Send + Sync {
    /// Returns the state for a dump. Must not contain keys, tokens or request content.
    fn dump(&self) -> Value;

    /// Stops accepting new work.
    fn begin_stop(&self) {}

    /// Returns whether no work is in progress.
    fn is_idle(&self) -> bool {
        true
    }
}

struct Entry {
    name: &'static str,
    service: Arc<dyn Service>,
}

/// Services of one process. Look-ups happen while services are created, never per request.
#[derive(Clone, Default)]
pub struct Kernel {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Kernel {
    /// Registers a service and returns its handle. Panics if the name is taken.
    pub fn register<S: Service>(&self, name: &'static str, service: S) -> Arc<S> {
        let service = Arc::new(service);
        let mut entries = self.lock();

        assert!(entries.iter().all(|e| e.name != name), "two services are named `{name}`");
        entries.push(Entry { name, service: service.clone() });

        service
    }

    /// Returns the service of this name, or `None` if there is none of type `S`.
    pub fn find<S: Service>(&self, name: &str) -> Option<Arc<S>> {
        let entries = self.lock();
        let service = entries.iter().find(|e| e.name == name)?.service.clone();
        let any: Arc<dyn Any + Send + Sync> = service;

        any.downcast().ok()
    }

    /// Returns the service of this name. Panics if there is none of type `S`.
    pub fn require<S: Service>(&self, name: &str) -> Arc<S> {
        match self.find(name) {
            Some(service) => service,
            None => panic!("the service `{name}` is not registered"),
        }
    }

    /// Returns the state of all services, by name.
    pub fn dump(&self) -> Value {
        let entries = self.lock();
        let dumps: Map<String, Value> =
            entries.iter().map(|e| (e.name.to_string(), e.service.dump())).collect();

        Value::Object(dumps)
    }

    /// Stops all services from accepting new work, the last registered first.
    pub fn begin_stop(&self) {
        self.lock().iter().rev().for_each(|e| e.service.begin_stop());
    }

    /// Returns whether no service has work in progress.
    pub fn is_idle(&self) -> bool {
        self.lock().iter().all(|e| e.service.is_idle())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
