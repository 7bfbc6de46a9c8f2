//! The platform's list of instances, which lags behind the actual processes.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::{HallName, Incarnation, InstanceName, Result};
use http_types::Method;
use serde::{Deserialize, Serialize};

use super::call;
use crate::http::HttpClient;

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts callers' requests.
    Entry,
    /// Runs next to a target and passes requests to it.
    Agent,
}

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// One process in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Role of the instance.
    pub role: Role,
    /// Data hall in which the instance runs.
    pub hall: HallName,
    /// Address on which the instance accepts streams from peers.
    pub peer_address: SocketAddr,
    /// Incarnation of the instance; a replacement has a higher one.
    pub incarnation: Incarnation,
    /// Whether the instance is in service or about to stop.
    pub state: InstanceState,
}

/// The platform's list of instances.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the platform's current list.
    fn read(&self) -> impl Future<Output = Result<Vec<Instance>>> + Send;
}

/// HTTP client of the list.
#[derive(Clone)]
pub struct HttpInstances {
    client: HttpClient,
    time_limit: Duration,
}

impl HttpInstances {
    /// Creates a client; `time_limit` applies to each call.
    pub fn new(address: SocketAddr, time_limit: Duration) -> Self {
        HttpInstances { client: HttpClient::new(address, time_limit), time_limit }
    }
}

impl InstanceList for HttpInstances {
    async fn read(&self) -> Result<Vec<Instance>> {
        call::<(), _>(&self.client, Method::Get, "/instances", None, self.time_limit).await
    }
}
