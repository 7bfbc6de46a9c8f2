//! The platform's interfaces, each a small trait, and their HTTP clients.
//!
//! The interfaces that are assumed here are described in `docs/PLATFORM.md`. To use a real
//! platform, implement the traits; no decision depends on the clients in this module.

pub mod engine;
pub mod instances;
pub mod table;

pub use engine::{Engine, EngineState, HttpEngine};
pub use instances::{HttpInstances, Instance, InstanceList, InstanceState, Role};
pub use table::{HttpTable, Table, Transaction, TransactionEnd, Versioned};

use std::time::Duration;

use grebedeck_core::error::{platform_error, protocol_error};
use grebedeck_core::{Error, Result};
use http_types::{Method, Request, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::HttpClient;

/// Largest answer of the platform that is read, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Sends JSON and reads JSON.
async fn call<Q: Serialize, A: DeserializeOwned>(
    client: &HttpClient,
    method: Method,
    path: &str,
    body: Option<&Q>,
    limit: Duration,
) -> Result<A> {
    let url = Url::parse(&format!("http://{}{path}", client.address()))
        .map_err(|e| Error::Protocol(e.to_string()))?;
    let mut request = Request::new(method, url);

    if let Some(body) = body {
        let bytes = serde_json::to_vec(body).map_err(|e| Error::Protocol(e.to_string()))?;
        request.set_body(bytes);
        request.insert_header("content-type", "application/json");
    }

    let (status, body) = client.fetch(request, MAX_ANSWER_BYTES, limit).await?;

    if !(200..300).contains(&status) {
        return platform_error(format!("{path} answered with status {status}"));
    }

    match serde_json::from_slice(&body) {
        Ok(answer) => Ok(answer),
        Err(error) => protocol_error(format!("{path}: {error}")),
    }
}
