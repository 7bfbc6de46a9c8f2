//! Stand-in for the platform's table service and list of instances, with injected faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use grebedeck_net::platform::{Instance, Transaction, TransactionEnd, Versioned};
use http_types::{Request, Response};
use serde::Deserialize;
use serde_json::json;

use crate::http::{Server, json_answer};

/// Injected faults of the table service.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFaults {
    /// Answers every call with status 503.
    pub down: bool,
    /// Additional delay of each call.
    pub delay: Duration,
    /// Number of writes whose answer is lost after the write took effect.
    pub lose_answers: u32,
}

/// Platform with its table, instances and faults.
#[derive(Clone, Default)]
pub struct Platform {
    table: Arc<Mutex<BTreeMap<String, Versioned>>>,
    instances: Arc<Mutex<Vec<Instance>>>,
    faults: Arc<Mutex<TableFaults>>,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct ReadRequest {
    keys: Vec<String>,
}

impl Platform {
    /// Starts the stand-in's server.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let platform = self.clone();

        Server::start(address, move |request| {
            let platform = platform.clone();
            async move { platform.answer(request).await }
        })
        .await
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: TableFaults) {
        *lock(&self.faults) = faults;
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        *lock(&self.instances) = instances;
    }

    /// Gets the numbers of reads and writes so far.
    pub fn calls(&self) -> (u64, u64) {
        (self.reads.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    async fn answer(&self, mut request: Request) -> Response {
        let path = request.url().path().to_string();
        let body = request.body_bytes().await.unwrap_or_default();

        if path == "/instances" {
            return json_answer(200, &*lock(&self.instances));
        }

        let faults = *lock(&self.faults);
        async_std::task::sleep(faults.delay).await;

        if faults.down {
            return Response::new(503);
        }

        match path.as_str() {
            "/table/read" => self.read(&body),
            "/table/write" => self.write(&body),
            _ => Response::new(404),
        }
    }

    fn read(&self, body: &[u8]) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);

        let Ok(request) = serde_json::from_slice::<ReadRequest>(body) else {
            return Response::new(400);
        };

        let table = lock(&self.table);
        let values: BTreeMap<&String, Versioned> = request
            .keys
            .iter()
            .map(|key| (key, table.get(key).cloned().unwrap_or_default()))
            .collect();

        json_answer(200, &json!({ "values": values }))
    }

    fn write(&self, body: &[u8]) -> Response {
        self.writes.fetch_add(1, Ordering::Relaxed);

        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return Response::new(400);
        };

        let outcome = self.transact(transaction);
        let mut faults = lock(&self.faults);

        if outcome == TransactionEnd::Written && faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            return Response::new(504);
        }

        json_answer(200, &json!({ "end": outcome }))
    }

    fn transact(&self, transaction: Transaction) -> TransactionEnd {
        let mut table = lock(&self.table);
        let version = |key: &String| table.get(key).map_or(0, |v| v.version);

        if transaction.conditions.iter().any(|(key, expected)| version(key) != *expected) {
            return TransactionEnd::Conflict;
        }

        for (key, value) in transaction.writes {
            let entry = table.entry(key).or_default();
            *entry = Versioned { version: entry.version + 1, value };
        }

        TransactionEnd::Written
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
