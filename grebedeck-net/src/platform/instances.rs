//! The platform's list of instances, which lags.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::{HallName, Incarnation, InstanceName, Result};
use http_types::Method;
use serde::{Deserialize, Serialize};

use super::call;
use crate::http::HttpClient;

/// What a process is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside a target.
    Agent,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It is in service.
    Live,
    /// It will stop soon.
    Leaving,
}

/// One process on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: InstanceName,
    /// Its role.
    pub role: Role,
    /// Its hall.
    pub hall: HallName,
    /// Where it takes streams from its peers.
    pub peer_address: SocketAddr,
    /// Its life; a replacement has a higher one.
    pub incarnation: Incarnation,
    /// Whether it stays.
    pub state: InstanceState,
}

/// The platform's list of instances.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list as the platform has it now.
    fn read(&self) -> impl Future<Output = Result<Vec<Instance>>> + Send;
}

/// Client of the list over HTTP.
#[derive(Clone)]
pub struct HttpInstances {
    client: HttpClient,
    limit: Duration,
}

impl HttpInstances {
    /// Makes a client; each call may take at most `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        HttpInstances { client: HttpClient::new(address, limit), limit }
    }
}

impl InstanceList for HttpInstances {
    async fn read(&self) -> Result<Vec<Instance>> {
        call::<(), _>(&self.client, Method::Get, "/instances", None, self.limit).await
    }
}
