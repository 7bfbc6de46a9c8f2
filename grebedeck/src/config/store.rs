//! Storage of the configuration in the platform's table service.
//!
//! Keys: `config/head` holds the newest revision, `config/log/N` the log entry of revision N,
//! `config/change/ID` the revision at which a change was accepted, and `config/snapshot` the
//! document at some revision, so that a new process does not need to read the whole log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use grebedeck_config::{
    AcceptAction, AcceptResult, Acceptor, ApplyResult, CatchUp, Change, LogEntry, Snapshot,
    StoreResponse,
};
use grebedeck_core::error::protocol_error;
use grebedeck_core::time::unix_ms;
use grebedeck_core::{Result, Revision};
use grebedeck_kernel::log;
use grebedeck_net::platform::{Table, Transaction, TransactionEnd, Versioned};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::service::ConfigService;

const HEAD_KEY: &str = "config/head";
const SNAPSHOT_KEY: &str = "config/snapshot";
/// Maximum number of log entries read in one call.
const MAX_ENTRIES_PER_READ: u64 = 64;
/// Number of revisions between two snapshots.
const REVISIONS_PER_SNAPSHOT: u64 = 64;
/// Delay before a retry, and before a write whose answer was lost is checked by reading.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of retries of catching up with the store before the outcome counts as unknown.
const MAX_CATCH_UP_RETRIES: u32 = 5;

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Head {
    revision: Revision,
}

/// Configuration in the table service.
#[derive(Clone)]
pub struct ConfigStore<T> {
    table: T,
    service: Arc<ConfigService>,
}

impl<T: Table> ConfigStore<T> {
    /// Creates the store that feeds a process's configuration service from `table`.
    pub fn new(table: T, service: Arc<ConfigService>) -> Self {
        ConfigStore { table, service }
    }

    /// Reads all revisions newer than the one in force and puts them in force.
    pub async fn catch_up(&self) -> Result<()> {
        let (head, _, _) = self.read_head(None).await?;

        self.catch_up_to(head).await
    }

    async fn catch_up_to(&self, head: Revision) -> Result<()> {
        let mut own = self.service.revision();

        if head > own + MAX_ENTRIES_PER_READ {
            self.load_snapshot().await?;
            own = self.service.revision();
        }

        while own < head {
            let until = head.min(own + MAX_ENTRIES_PER_READ);
            let entries = self.read_entries(own + 1, until).await?;

            match self.service.apply(CatchUp::Entries(entries)) {
                // Stale entries mean that a peer has delivered them in the meantime.
                ApplyResult::Applied | ApplyResult::Stale => {}
                result => return protocol_error(format!("invalid store log: {result:?}")),
            }

            own = self.service.revision();
        }

        Ok(())
    }

    async fn load_snapshot(&self) -> Result<()> {
        let keys = [SNAPSHOT_KEY.to_string()];
        let mut values = self.table.read(&keys).await?;
        let value = values.remove(SNAPSHOT_KEY).unwrap_or_default().value;

        if !value.is_null() {
            let snapshot: Snapshot = parse(value)?;
            self.service.apply(CatchUp::Snapshot(Box::new(snapshot)));
        }

        Ok(())
    }

    async fn read_entries(&self, from: Revision, until: Revision) -> Result<Vec<LogEntry>> {
        let keys: Vec<String> = (from..=until).map(log_key).collect();
        let mut values = self.table.read(&keys).await?;

        keys.iter()
            .map(|key| parse(values.remove(key).unwrap_or_default().value))
            .collect::<Result<Vec<_>>>()
    }

    /// Reads the head, its version, and the revision at which change `id` was accepted, if it was.
    async fn read_head(&self, id: Option<&str>) -> Result<(Revision, u64, Option<Revision>)> {
        let mut keys = vec![HEAD_KEY.to_string()];
        keys.extend(id.map(change_key));

        let mut values = self.table.read(&keys).await?;
        self.service.record_store_answer();

        let head = values.remove(HEAD_KEY).unwrap_or_default();
        let accepted = id.and_then(|id| values.remove(&change_key(id))).unwrap_or_default();

        Ok((parse_head(&head)?.revision, head.version, accepted.value.as_u64()))
    }

    /// Accepts or refuses an operator's change; returns once the outcome is final or unknown.
    pub async fn accept(&self, change: Change) -> AcceptResult {
        let id = change.id.clone();
        let (mut acceptor, mut order) = Acceptor::new(change);
        let mut head_version = 0;
        let mut retries = 0;

        loop {
            order = match order {
                AcceptAction::Finish(result) => {
                    self.finish_change(&id, &result).await;
                    return result;
                }
                AcceptAction::CatchUp => match self.read_for(&id, &mut acceptor).await {
                    Ok((version, next)) => {
                        head_version = version;
                        next
                    }
                    Err(_) if retries >= MAX_CATCH_UP_RETRIES => {
                        AcceptAction::Finish(acceptor.give_up())
                    }
                    Err(_) => {
                        retries += 1;
                        async_std::task::sleep(RETRY_DELAY).await;
                        AcceptAction::CatchUp
                    }
                },
                AcceptAction::Write(entry) => {
                    acceptor.on_response(self.write(&id, &entry, head_version).await)
                }
                AcceptAction::ReadBack => {
                    async_std::task::sleep(RETRY_DELAY).await;
                    acceptor.on_response(self.read_back(&id).await)
                }
            };
        }
    }

    /// Catches up with the store for a change; returns the head's version and the next step.
    async fn read_for(&self, id: &str, acceptor: &mut Acceptor) -> Result<(u64, AcceptAction)> {
        let (head, version, accepted) = self.read_head(Some(id)).await?;
        self.catch_up_to(head).await?;

        // A peer may have delivered revisions newer than this head. The write then fails with a
        // conflict, because it requires the head's version.
        let document = self.service.with_replica(|r| r.document().clone());
        let revision = self.service.revision().max(head);

        Ok((version, acceptor.on_caught_up(revision, &document, accepted, unix_ms())))
    }

    async fn write(&self, id: &str, entry: &LogEntry, head_version: u64) -> StoreResponse {
        let mut transaction = Transaction {
            conditions: BTreeMap::from([(HEAD_KEY.into(), head_version), (change_key(id), 0)]),
            writes: BTreeMap::new(),
        };
        let head = Head { revision: entry.revision };
        transaction.writes.insert(HEAD_KEY.into(), to_value(&head));
        transaction.writes.insert(log_key(entry.revision), to_value(entry));
        transaction.writes.insert(change_key(id), to_value(&entry.revision));

        match self.table.write(&transaction).await {
            Ok(TransactionEnd::Written) => {
                self.service.apply(CatchUp::Entries(vec![entry.clone()]));
                StoreResponse::Written
            }
            Ok(TransactionEnd::Conflict) => StoreResponse::Conflict,
            Err(_) => StoreResponse::Lost,
        }
    }

    async fn read_back(&self, id: &str) -> StoreResponse {
        match self.read_head(Some(id)).await {
            Ok((_, _, Some(revision))) => StoreResponse::Found(revision),
            Ok((_, _, None)) => StoreResponse::Absent,
            Err(_) => StoreResponse::Lost,
        }
    }

    /// Logs the outcome of a change, and periodically writes a snapshot after it.
    async fn finish_change(&self, id: &str, result: &AcceptResult) {
        match result {
            AcceptResult::Accepted(revision) => {
                log::info!("change accepted", kv: { id, revision = *revision });

                // A change that was found by reading back is not in force here yet.
                if self.service.revision() < *revision {
                    let _ = self.catch_up().await;
                }

                if revision % REVISIONS_PER_SNAPSHOT == 0 {
                    self.write_snapshot().await;
                }
            }
            AcceptResult::Refused(faults) => {
                log::info!("change refused", kv: { id, faults = faults.0.len() });
            }
            AcceptResult::Unknown => log::warn!("outcome of change unknown", kv: { id }),
        }
    }

    async fn write_snapshot(&self) {
        let snapshot = self.service.with_replica(|r| r.snapshot());
        let writes = BTreeMap::from([(SNAPSHOT_KEY.to_string(), to_value(&snapshot))]);
        // A failed write is harmless: new processes read more of the log.
        let _ = self.table.write(&Transaction { writes, ..Transaction::default() }).await;
    }

    /// Returns up to `count` of the last accepted changes, newest first.
    pub async fn history(&self, count: u64) -> Result<Vec<LogEntry>> {
        let (head, _, _) = self.read_head(None).await?;
        let from = head.saturating_sub(count.min(MAX_ENTRIES_PER_READ)) + 1;
        let mut entries = self.read_entries(from, head).await?;
        entries.reverse();

        Ok(entries)
    }
}

fn log_key(revision: Revision) -> String {
    format!("config/log/{revision}")
}

fn change_key(id: &str) -> String {
    format!("config/change/{id}")
}

fn to_value<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("the configuration's types always serialize")
}

fn parse<T: for<'a> Deserialize<'a>>(value: Value) -> Result<T> {
    match serde_json::from_value(value) {
        Ok(parsed) => Ok(parsed),
        Err(error) => protocol_error(format!("unreadable configuration in the store: {error}")),
    }
}

fn parse_head(head: &Versioned) -> Result<Head> {
    if head.value.is_null() { Ok(Head::default()) } else { parse(head.value.clone()) }
}
