//! A model engine's control interface: counters out, fenced orders in.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::{Epoch, Rank, Result, Step};
use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::call;
use crate::http::HttpClient;

/// Token counts of one layer since the engine started counting.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LayerTokens {
    /// Tokens that this engine's ranks sent to each expert, ever.
    pub tokens: Vec<u64>,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// The next step, which has not begun.
    pub next_step: Step,
    /// Text that names the map in use.
    pub map_version: String,
    /// The engine's ranks.
    pub ranks: Vec<Rank>,
    /// Its count of the group's ranks.
    pub group_ranks: Rank,
    /// Experts that fit on one rank, by layer.
    pub slots_per_rank: u16,
    /// Time its ranks took per token, relative to a normal rank.
    pub rank_costs: Vec<f32>,
    /// Token counts by layer.
    pub layers: Vec<LayerTokens>,
}

/// An order to an engine with its fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing token; an engine that checks orders refuses a lower one than it has seen.
    pub epoch: Epoch,
    /// What to do.
    pub action: EngineAction,
}

/// What an engine can be told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Load the weights that a map needs, and answer when they are there.
    Load {
        /// Text that names the map.
        version: String,
        /// The map.
        map: Value,
    },
    /// Do not begin `at_step`.
    HoldAt {
        /// The first step that must not begin.
        at_step: Step,
    },
    /// Use a loaded map from `at_step` on, and hold no more.
    Use {
        /// Text that names the map.
        version: String,
        /// The first step with the map.
        at_step: Step,
    },
    /// Stay with the map in use, and hold no more.
    Keep,
}

/// What an engine answers to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAnswer {
    /// Whether the order was carried out.
    pub done: bool,
    /// The next step, which has not begun.
    pub next_step: Step,
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Reads the engine's state.
    fn state(&self) -> impl Future<Output = Result<EngineState>> + Send;

    /// Gives an order.
    fn order(&self, order: &EngineOrder) -> impl Future<Output = Result<EngineAnswer>> + Send;
}

/// Client of an engine's control interface over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    client: HttpClient,
    limit: Duration,
}

impl HttpEngine {
    /// Makes a client; each call may take at most `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        HttpEngine { client: HttpClient::new(address, limit), limit }
    }
}

impl Engine for HttpEngine {
    async fn state(&self) -> Result<EngineState> {
        call::<(), _>(&self.client, Method::Get, "/engine/state", None, self.limit).await
    }

    async fn order(&self, order: &EngineOrder) -> Result<EngineAnswer> {
        call(&self.client, Method::Post, "/engine/order", Some(order), self.limit).await
    }
}
