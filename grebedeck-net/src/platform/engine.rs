//! Control interface of a model engine: it reports its state and carries out fenced orders.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::{Epoch, Rank, Result, Step};
use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::call;
use crate::http::HttpClient;

/// Token counts of one layer since the engine started to count.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LayerTokens {
    /// Tokens that this engine's ranks have sent to each expert; never reset.
    pub tokens: Vec<u64>,
}

/// State reported by an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// The next step, which has not started.
    pub next_step: Step,
    /// Version of the expert map in use.
    pub map_version: String,
    /// Ranks that this engine runs.
    pub ranks: Vec<Rank>,
    /// Number of ranks in the group, as the engine knows it.
    pub group_ranks: Rank,
    /// Number of experts that fit on one rank in each layer.
    pub slots_per_rank: u16,
    /// Time per token of the engine's ranks, relative to a normal rank.
    pub rank_costs: Vec<f32>,
    /// Token counts by layer.
    pub layers: Vec<LayerTokens>,
}

/// An order to an engine, with a fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token; an engine that checks orders rejects a token lower than one it has seen.
    pub epoch: Epoch,
    /// Action that the order demands.
    pub action: EngineAction,
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Load the weights that a map needs, and respond once they are loaded.
    Load {
        /// Version of the map.
        version: String,
        /// The expert map.
        map: Value,
    },
    /// Hold before `at_step`.
    HoldAt {
        /// The first step that must not start.
        at_step: Step,
    },
    /// Use a loaded map from `at_step` on, and release any hold.
    Use {
        /// Version of the map.
        version: String,
        /// The first step that uses the map.
        at_step: Step,
    },
    /// Keep the map in use, and release any hold.
    Keep,
}

/// Response of an engine to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineResponse {
    /// Whether the order was carried out.
    pub done: bool,
    /// The next step, which has not started.
    pub next_step: Step,
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Reads the engine's state.
    fn state(&self) -> impl Future<Output = Result<EngineState>> + Send;

    /// Sends an order and returns the engine's response.
    fn order(&self, order: &EngineOrder) -> impl Future<Output = Result<EngineResponse>> + Send;
}

/// HTTP client of an engine's control interface.
#[derive(Clone)]
pub struct HttpEngine {
    client: HttpClient,
    time_limit: Duration,
}

impl HttpEngine {
    /// Creates a client; `time_limit` applies to each call.
    pub fn new(address: SocketAddr, time_limit: Duration) -> Self {
        HttpEngine { client: HttpClient::new(address, time_limit), time_limit }
    }
}

impl Engine for HttpEngine {
    async fn state(&self) -> Result<EngineState> {
        call::<(), _>(&self.client, Method::Get, "/engine/state", None, self.time_limit).await
    }

    async fn order(&self, order: &EngineOrder) -> Result<EngineResponse> {
        call(&self.client, Method::Post, "/engine/order", Some(order), self.time_limit).await
    }
}
