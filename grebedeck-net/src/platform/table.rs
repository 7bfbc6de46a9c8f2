//! The platform's transactional table service.

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

/// A value with the version of its last write; version 0 stands for no value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// The version, which each write of the key raises.
    pub version: u64,
    /// The value; `null` where there is none.
    pub value: Value,
}

/// Writes that take effect together if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Keys with the versions that they must have.
    pub conditions: BTreeMap<String, u64>,
    /// Keys with their new values.
    pub writes: BTreeMap<String, Value>,
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionEnd {
    /// All writes took effect.
    Written,
    /// A condition did not hold; nothing was written.
    Conflict,
}

/// The table service. Reads see every write that was answered before.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads some keys at one moment.
    fn read(
        &self,
        keys: &[String],
    ) -> impl Future<Output = Result<BTreeMap<String, Versioned>>> + Send;

    /// Writes; after an error it is not known whether the writes took effect.
    fn write(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionEnd>> + Send;
}

/// Client of the table service over HTTP.
#[derive(Clone)]
pub struct HttpTable {
    client: HttpClient,
    limit: Duration,
}

#[derive(Serialize)]
struct ReadRequest<'a> {
    keys: &'a [String],
}

#[derive(Deserialize)]
struct ReadAnswer {
    values: BTreeMap<String, Versioned>,
}

#[derive(Deserialize)]
struct WriteAnswer {
    end: TransactionEnd,
}

impl HttpTable {
    /// Makes a client; each call may take at most `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        HttpTable { client: HttpClient::new(address, limit), limit }
    }
}

impl Table for HttpTable {
    async fn read(&self, keys: &[String]) -> Result<BTreeMap<String, Versioned>> {
        let request = ReadRequest { keys };
        let answer: ReadAnswer =
            call(&self.client, Method::Post, "/table/read", Some(&request), self.limit).await?;

        Ok(answer.values)
    }

    async fn write(&self, transaction: &Transaction) -> Result<TransactionEnd> {
        let answer: WriteAnswer =
            call(&self.client, Method::Post, "/table/write", Some(transaction), self.limit).await?;

        Ok(answer.end)
    }
}
