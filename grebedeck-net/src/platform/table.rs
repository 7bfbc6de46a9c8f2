//! The platform's transactional key-value table service.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::Result;
use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::call;
use crate::http::HttpClient;

/// A value with the version of its last write; version 0 means that the key has no value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// Version, which every write of the key increases.
    pub version: u64,
    /// Value of the key; `null` if it has none.
    pub value: Value,
}

/// Writes that take effect atomically if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Required version of each key.
    pub conditions: BTreeMap<String, u64>,
    /// New value of each key.
    pub writes: BTreeMap<String, Value>,
}

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionEnd {
    /// All writes took effect.
    Written,
    /// A condition failed; nothing was written.
    Conflict,
}

/// The table service. A read sees every write that was acknowledged before it.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads several keys in one consistent snapshot.
    fn read(
        &self,
        keys: &[String],
    ) -> impl Future<Output = Result<BTreeMap<String, Versioned>>> + Send;

    /// Executes a transaction; after an error it is unknown whether the writes took effect.
    fn write(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionEnd>> + Send;
}

/// HTTP client of the table service.
#[derive(Clone)]
pub struct HttpTable {
    client: HttpClient,
    time_limit: Duration,
}

#[derive(Serialize)]
struct ReadRequest<'a> {
    keys: &'a [String],
}

#[derive(Deserialize)]
struct ReadResponse {
    values: BTreeMap<String, Versioned>,
}

#[derive(Deserialize)]
struct WriteResponse {
    end: TransactionEnd,
}

impl HttpTable {
    /// Creates a client; `time_limit` applies to each call.
    pub fn new(address: SocketAddr, time_limit: Duration) -> Self {
        HttpTable { client: HttpClient::new(address, time_limit), time_limit }
    }
}

impl Table for HttpTable {
    async fn read(&self, keys: &[String]) -> Result<BTreeMap<String, Versioned>> {
        let request = ReadRequest { keys };
        let response: ReadResponse =
            call(&self.client, Method::Post, "/table/read", Some(&request), self.time_limit)
                .await?;

        Ok(response.values)
    }

    async fn write(&self, transaction: &Transaction) -> Result<TransactionEnd> {
        let response: WriteResponse =
            call(&self.client, Method::Post, "/table/write", Some(transaction), self.time_limit)
                .await?;

        Ok(response.end)
    }
}
