//! Stand-in for a lock-step group: the ranks take each step together, on the same expert map.
//!
//! All ranks of a group run in one task, which acts as their step barrier. A step begins only if no
//! rank is held. The task panics if two ranks would use different maps in the same step.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::TryStreamExt;
use grebedeck_core::{Epoch, Layer, RandomSource, Rank, Step, random::SeededSource};
use grebedeck_experts::ExpertMap;
use grebedeck_experts::plan::max_rank_time;
use grebedeck_net::platform::engine::{
    EngineAction, EngineOrder, EngineResponse, EngineState, LayerTokens,
};
use http_types::{Body, Request, Response};

use crate::http::{Server, any_port, json_answer};

/// Size and speed of a group.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// Number of ranks.
    pub ranks: Rank,
    /// Experts per layer.
    pub experts: u16,
    /// Number of layers.
    pub layers: Layer,
    /// Experts of one layer that fit on one rank.
    pub slots_per_rank: u16,
    /// Duration of a step without tokens.
    pub base: Duration,
    /// Time that all tokens of a step would take on a single rank.
    pub work: Duration,
    /// Tokens routed per layer and step, over all experts.
    pub tokens_per_step: u32,
    /// Interval of changes of the popular experts; zero for no changes.
    pub shift_every: Duration,
}

impl Default for GroupOptions {
    fn default() -> Self {
        GroupOptions {
            ranks: 4,
            experts: 16,
            layers: 2,
            slots_per_rank: 6,
            base: Duration::from_millis(3),
            work: Duration::from_millis(12),
            tokens_per_step: 4096,
            shift_every: Duration::from_secs(20),
        }
    }
}

struct Stream {
    tokens_left: u32,
    sender: async_channel::Sender<io::Result<Vec<u8>>>,
}

#[derive(Default)]
struct RankState {
    hold_at: Option<Step>,
    map: String,
    /// Next map and the first step that uses it.
    next_map: Option<(String, Step)>,
    seen_epoch: Epoch,
    streams: Vec<Stream>,
    tokens: Vec<Vec<u64>>,
    slowdown: f32,
}

struct GroupState {
    next_step: Step,
    held_waits: u64,
    popularity: Vec<f32>,
    maps: HashMap<String, ExpertMap>,
    ranks: Vec<RankState>,
    skew_sum: f64,
    skew_steps: u64,
}

/// Stand-in for a lock-step group.
#[derive(Clone)]
pub struct ModelGroup {
    options: GroupOptions,
    state: Arc<Mutex<GroupState>>,
}

/// Statistics of a group.
#[derive(Clone, Copy, Debug)]
pub struct GroupStats {
    /// Steps taken since the start.
    pub steps: Step,
    /// Time that the group has waited for held ranks since the start, in milliseconds.
    pub held_ms: u64,
    /// Mean skew since the statistics were last taken: step time of the slowest rank, divided by
    /// the mean over all ranks.
    pub skew: f64,
}

/// Version of the map that engines start with.
const FIRST_MAP_VERSION: &str = "0.0.0";
/// Poll interval while a rank is held. [`GroupStats::held_ms`] counts these polls.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(1);

impl ModelGroup {
    /// Creates a group and starts its task.
    pub fn start(options: GroupOptions, seed: u64) -> ModelGroup {
        let first_map = ExpertMap::spread(
            options.ranks,
            options.experts,
            options.layers,
            options.slots_per_rank,
        );
        let rank = || RankState {
            map: FIRST_MAP_VERSION.to_string(),
            tokens: vec![vec![0; options.experts.into()]; options.layers.into()],
            slowdown: 1.0,
            ..RankState::default()
        };
        let state = GroupState {
            next_step: 0,
            held_waits: 0,
            popularity: vec![1.0 / f32::from(options.experts); options.experts.into()],
            maps: HashMap::from([(FIRST_MAP_VERSION.to_string(), first_map)]),
            ranks: (0..options.ranks).map(|_| rank()).collect(),
            skew_sum: 0.0,
            skew_steps: 0,
        };
        let group = ModelGroup { options, state: Arc::new(Mutex::new(state)) };
        async_std::task::spawn(group.clone().run(SeededSource::new(seed)));

        group
    }

    /// Starts the HTTP server of one rank, for requests and engine orders.
    pub async fn serve(&self, rank: Rank) -> io::Result<Server> {
        let group = self.clone();

        Server::start(any_port(), move |request| {
            let group = group.clone();
            async move { group.answer(rank, request).await }
        })
        .await
    }

    /// Sets the factor by which a rank is slower.
    pub fn set_slowdown(&self, rank: Rank, factor: f32) {
        self.lock().ranks[usize::from(rank)].slowdown = factor;
    }

    /// Gets the statistics and resets the skew.
    pub fn take_stats(&self) -> GroupStats {
        let mut state = self.lock();
        let skew = state.skew_sum / state.skew_steps.max(1) as f64;
        state.skew_sum = 0.0;
        state.skew_steps = 0;

        GroupStats { steps: state.next_step, held_ms: state.held_waits, skew }
    }

    async fn run(self, mut random: SeededSource) {
        let mut since_shift = Duration::MAX;

        loop {
            if since_shift >= self.options.shift_every && !self.options.shift_every.is_zero() {
                self.lock().popularity = draw_popularity(self.options.experts, &mut random);
                since_shift = Duration::ZERO;
            }

            let duration = self.try_step(&mut random).unwrap_or(HELD_POLL_INTERVAL);
            since_shift = since_shift.saturating_add(duration);
            async_std::task::sleep(duration).await;
        }
    }

    /// Takes one step and returns its duration, or `None` while a rank is held.
    fn try_step(&self, random: &mut SeededSource) -> Option<Duration> {
        let mut state = self.lock();
        let step = state.next_step;

        if state.ranks.iter().any(|r| r.hold_at.is_some_and(|at| step >= at)) {
            state.held_waits += 1;
            return None;
        }

        for rank in &mut state.ranks {
            if let Some((map, _)) = rank.next_map.take_if(|(_, at)| step >= *at) {
                rank.map = map;
            }
        }

        let map = state.ranks[0].map.clone();
        assert!(state.ranks.iter().all(|r| r.map == map), "step {step} would run on two maps");

        let duration = state.run_step(&map, &self.options, random);
        state.next_step += 1;
        Some(duration)
    }

    async fn answer(&self, rank: Rank, mut request: Request) -> Response {
        match request.url().path() {
            "/engine/state" => json_answer(200, &self.engine_state(rank)),
            "/engine/order" => match request.body_json::<EngineOrder>().await {
                Ok(order) => json_answer(200, &self.order(rank, order)),
                Err(_) => Response::new(400),
            },
            _ => self.generate(rank, &request),
        }
    }

    fn engine_state(&self, rank: Rank) -> EngineState {
        let state = self.lock();
        let own = &state.ranks[usize::from(rank)];

        EngineState {
            next_step: state.next_step,
            map_version: own.map.clone(),
            ranks: vec![rank],
            group_ranks: self.options.ranks,
            slots_per_rank: self.options.slots_per_rank,
            rank_costs: vec![own.slowdown],
            layers: own.tokens.iter().map(|t| LayerTokens { tokens: t.clone() }).collect(),
        }
    }

    fn order(&self, rank: Rank, order: EngineOrder) -> EngineResponse {
        let mut state = self.lock();
        let next_step = state.next_step;
        let refused = EngineResponse { done: false, next_step };
        let own = &mut state.ranks[usize::from(rank)];

        if order.epoch < own.seen_epoch {
            return refused;
        }

        own.seen_epoch = order.epoch;

        match order.action {
            EngineAction::Load { version, map } => match serde_json::from_value(map) {
                Ok(map) => {
                    state.maps.insert(version, map);
                }
                Err(_) => return refused,
            },
            EngineAction::HoldAt { at_step } if next_step > at_step => return refused,
            EngineAction::HoldAt { at_step } => own.hold_at = Some(at_step),
            EngineAction::Use { version, at_step } => {
                own.next_map = Some((version, at_step));
                own.hold_at = None;
            }
            EngineAction::Keep => own.hold_at = None,
        }

        EngineResponse { done: true, next_step }
    }

    /// Streams one event per step, as many as the request's `tokens` parameter says.
    fn generate(&self, rank: Rank, request: &Request) -> Response {
        let tokens_left = request
            .url()
            .query_pairs()
            .find(|(key, _)| key == "tokens")
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(16);
        let (sender, receiver) = async_channel::bounded(64);
        self.lock().ranks[usize::from(rank)].streams.push(Stream { tokens_left, sender });

        let mut response = Response::new(200);
        response.set_body(Body::from_reader(Box::pin(receiver).into_async_read(), None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("x-rank", rank.to_string());
        response
    }

    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GroupState {
    fn run_step(
        &mut self,
        map: &str,
        options: &GroupOptions,
        random: &mut SeededSource,
    ) -> Duration {
        let costs: Vec<f32> = self.ranks.iter().map(|r| r.slowdown).collect();
        let mut slowest = 0.0;
        let mut mean = 0.0;

        for layer in 0..usize::from(options.layers) {
            let counts = self.draw_counts(layer, options, random);
            let loads = self.maps[map].layers[layer].rank_loads(&counts, options.ranks);
            slowest += max_rank_time(&loads, &costs);
            mean += loads.iter().zip(&costs).map(|(l, c)| l * c).sum::<f32>() / loads.len() as f32;
        }

        self.skew_sum += f64::from(slowest / mean.max(1e-9));
        self.skew_steps += 1;
        self.emit_tokens();

        let total_tokens = options.tokens_per_step as f32 * f32::from(options.layers);
        options.base + options.work.mul_f32(slowest / total_tokens)
    }

    /// Draws the tokens for each expert of a layer and adds them to the counters of the ranks.
    fn draw_counts(
        &mut self,
        layer: usize,
        options: &GroupOptions,
        random: &mut SeededSource,
    ) -> Vec<f32> {
        let ranks = self.ranks.len() as f32;
        let mut counts = Vec::with_capacity(self.popularity.len());

        for (expert, fraction) in self.popularity.iter().enumerate() {
            let expected = fraction * options.tokens_per_step as f32;
            let count = (expected + expected.sqrt() * (random.unit() as f32 - 0.5) * 3.4).max(0.0);
            counts.push(count);

            for rank in &mut self.ranks {
                rank.tokens[layer][expert] += (count / ranks).round() as u64;
            }
        }

        counts
    }

    fn emit_tokens(&mut self) {
        let step = self.next_step;

        for rank in &mut self.ranks {
            rank.streams.retain_mut(|stream| {
                let event = format!("data: {{\"step\":{step}}}\n\n").into_bytes();
                stream.tokens_left = stream.tokens_left.saturating_sub(1);

                // A slow reader loses its stream instead of delaying the steps of the group.
                stream.sender.try_send(Ok(event)).is_ok() && stream.tokens_left > 0
            });
        }
    }
}

/// Draws the fraction of tokens per expert, with a few popular experts.
fn draw_popularity(experts: u16, random: &mut SeededSource) -> Vec<f32> {
    let mut weights: Vec<f32> = (1..=experts).map(|n| 1.0 / f32::from(n).powf(0.8)).collect();

    for at in (1..weights.len()).rev() {
        weights.swap(at, random.below(at + 1));
    }

    let sum: f32 = weights.iter().sum();
    weights.iter().map(|w| w / sum).collect()
}
