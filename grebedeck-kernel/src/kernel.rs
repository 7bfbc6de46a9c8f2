//! Registry of a process's services.

use std::any::Any;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::{Map, Value};

/// A part of a process that others find by name.
pub trait Service: Any + Send + Sync {
    /// Gets the state for a dump. It holds no key, token or content of requests.
    fn dump(&self) -> Value;

    /// Takes no new work from now on.
    fn begin_stop(&self) {}

    /// Tells whether nothing is under way any more.
    fn is_idle(&self) -> bool {
        true
    }
}

struct Entry {
    name: &'static str,
    service: Arc<dyn Service>,
}

/// The services of one process. Look-ups happen while services are made, never on a request.
#[derive(Clone, Default)]
pub struct Kernel {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Kernel {
    /// Registers a service and gives its handle back.
    pub fn register<S: Service>(&self, name: &'static str, service: S) -> Arc<S> {
        let service = Arc::new(service);
        let mut entries = self.lock();

        assert!(entries.iter().all(|e| e.name != name), "two services are named `{name}`");
        entries.push(Entry { name, service: service.clone() });

        service
    }

    /// Finds a service by its name.
    pub fn find<S: Service>(&self, name: &str) -> Option<Arc<S>> {
        let entries = self.lock();
        let service = entries.iter().find(|e| e.name == name)?.service.clone();
        let any: Arc<dyn Any + Send + Sync> = service;

        any.downcast().ok()
    }

    /// Finds a service that must have been registered before.
    pub fn require<S: Service>(&self, name: &str) -> Arc<S> {
        match self.find(name) {
            Some(service) => service,
            None => panic!("the service `{name}` is not registered"),
        }
    }

    /// Gets the dump of all services, by name.
    pub fn dump(&self) -> Value {
        let entries = self.lock();
        let dumps: Map<String, Value> =
            entries.iter().map(|e| (e.name.to_string(), e.service.dump())).collect();

        Value::Object(dumps)
    }

    /// Tells all services to take no new work, the last registered first.
    pub fn begin_stop(&self) {
        self.lock().iter().rev().for_each(|e| e.service.begin_stop());
    }

    /// Tells whether no service has anything under way.
    pub fn is_idle(&self) -> bool {
        self.lock().iter().all(|e| e.service.is_idle())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
