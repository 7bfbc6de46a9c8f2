//! The platform's interfaces, each as a small trait, with HTTP clients that implement them.
//!
//! `docs/PLATFORM.md` describes the interfaces that these clients expect. To integrate another
//! platform, implement the traits; no decision logic depends on the clients in this module.

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

/// Maximum body length of a platform response.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Sends a request with an optional JSON body and parses the JSON response.
async fn call<Q: Serialize, A: DeserializeOwned>(
    client: &HttpClient,
    method: Method,
    path: &str,
    body: Option<&Q>,
    time_limit: Duration,
) -> Result<A> {
    let url = Url::parse(&format!("http://{}{path}", client.address()))
        .map_err(|e| Error::Protocol(e.to_string()))?;
    let mut request = Request::new(method, url);

    if let Some(body) = body {
        let bytes = serde_json::to_vec(body).map_err(|e| Error::Protocol(e.to_string()))?;
        request.set_body(bytes);
        request.insert_header("content-type", "application/json");
    }

    let (status, body) = client.fetch(request, MAX_RESPONSE_BYTES, time_limit).await?;

    if !(200..300).contains(&status) {
        return platform_error(format!("{path} answered with status {status}"));
    }

    match serde_json::from_slice(&body) {
        Ok(response) => Ok(response),
        Err(error) => protocol_error(format!("{path}: {error}")),
    }
}
