//! Stand-in for a lock-step group: ranks that make each step together, on one expert map.
//!
//! All ranks of a group live in one task, which is their step barrier. A step begins only when no
//! rank is held, and the task stops the process if two ranks would use different maps in it.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::TryStreamExt;
use grebedeck_core::{Epoch, Layer, RandomSource, Rank, Step, random::SeededSource};
use grebedeck_experts::ExpertMap;
use grebedeck_experts::plan::max_rank_time;
use grebedeck_net::platform::engine::{
    EngineAction, EngineAnswer, EngineOrder, EngineState, LayerTokens,
};
use http_types::{Body, Request, Response};

use crate::http::{Server, any_port, json_answer};

/// Shape and speed of a group.
#[derive(Clone, Debug)]
pub struct ModelOptions {
    /// Number of ranks.
    pub ranks: Rank,
    /// Experts of each layer.
    pub experts: u16,
    /// Layers.
    pub layers: Layer,
    /// Experts of a layer that fit on one rank.
    pub slots_per_rank: u16,
    /// Time of a step without tokens.
    pub base: Duration,
    /// Time that all tokens of a step would take on one rank.
    pub work: Duration,
    /// Tokens routed in each layer and step, over all experts.
    pub tokens_per_step: u32,
    /// How often the popular experts change; zero for never.
    pub shift_every: Duration,
}

impl Default for ModelOptions {
    fn default() -> Self {
        ModelOptions {
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
    /// A map that takes effect at a step.
    next_map: Option<(String, Step)>,
    seen_epoch: Epoch,
    streams: Vec<Stream>,
    tokens: Vec<Vec<u64>>,
    slowed: f32,
}

struct GroupState {
    next_step: Step,
    held_steps: u64,
    popularity: Vec<f32>,
    maps: HashMap<String, ExpertMap>,
    ranks: Vec<RankState>,
    skew_sum: f64,
    skew_steps: u64,
}

/// A group of ranks.
#[derive(Clone)]
pub struct Model {
    options: ModelOptions,
    state: Arc<Mutex<GroupState>>,
}

/// What a group measured since it was last asked.
#[derive(Clone, Copy, Debug)]
pub struct GroupStats {
    /// Steps made since the start.
    pub steps: Step,
    /// Times that the group waited for a held rank, in units of a millisecond.
    pub held_ms: u64,
    /// Mean of the slowest rank's time over the ranks' mean, since it was last asked.
    pub skew: f64,
}

/// Name of the map that engines start with.
const FIRST_MAP: &str = "0.0.0";
/// Wait while a rank is held.
const HELD_WAIT: Duration = Duration::from_millis(1);

impl Model {
    /// Makes a group and starts its steps.
    pub fn start(options: ModelOptions, seed: u64) -> Model {
        let first = ExpertMap::spread(
            options.ranks,
            options.experts,
            options.layers,
            options.slots_per_rank,
        );
        let rank = || RankState {
            map: FIRST_MAP.to_string(),
            tokens: vec![vec![0; options.experts.into()]; options.layers.into()],
            slowed: 1.0,
            ..RankState::default()
        };
        let state = GroupState {
            next_step: 0,
            held_steps: 0,
            popularity: vec![1.0 / f32::from(options.experts); options.experts.into()],
            maps: HashMap::from([(FIRST_MAP.to_string(), first)]),
            ranks: (0..options.ranks).map(|_| rank()).collect(),
            skew_sum: 0.0,
            skew_steps: 0,
        };
        let model = Model { options, state: Arc::new(Mutex::new(state)) };
        async_std::task::spawn(model.clone().run(SeededSource::new(seed)));

        model
    }

    /// Starts the HTTP server of one rank, for requests and for engine orders.
    pub async fn serve(&self, rank: Rank) -> io::Result<Server> {
        let model = self.clone();

        Server::start(any_port(), move |request| {
            let model = model.clone();
            async move { model.answer(rank, request).await }
        })
        .await
    }

    /// Makes one rank slower by a factor.
    pub fn set_slowdown(&self, rank: Rank, factor: f32) {
        self.lock().ranks[usize::from(rank)].slowed = factor;
    }

    /// Gets what was measured since the last call.
    pub fn take_stats(&self) -> GroupStats {
        let mut state = self.lock();
        let skew = state.skew_sum / state.skew_steps.max(1) as f64;
        state.skew_sum = 0.0;
        state.skew_steps = 0;

        GroupStats { steps: state.next_step, held_ms: state.held_steps, skew }
    }

    async fn run(self, mut random: SeededSource) {
        let mut since_shift = Duration::MAX;

        loop {
            if since_shift >= self.options.shift_every && !self.options.shift_every.is_zero() {
                self.lock().popularity = draw_popularity(self.options.experts, &mut random);
                since_shift = Duration::ZERO;
            }

            let took = self.step(&mut random).unwrap_or(HELD_WAIT);
            since_shift = since_shift.saturating_add(took);
            async_std::task::sleep(took).await;
        }
    }

    /// Makes one step, or none while a rank is held; gives its time.
    fn step(&self, random: &mut SeededSource) -> Option<Duration> {
        let mut state = self.lock();
        let step = state.next_step;

        if state.ranks.iter().any(|r| r.hold_at.is_some_and(|at| step >= at)) {
            state.held_steps += 1;
            return None;
        }

        for rank in &mut state.ranks {
            if let Some((map, _)) = rank.next_map.take_if(|(_, at)| step >= *at) {
                rank.map = map;
            }
        }

        let map = state.ranks[0].map.clone();
        assert!(state.ranks.iter().all(|r| r.map == map), "step {step} would run on two maps");

        let took = state.make_step(&map, &self.options, random);
        state.next_step += 1;
        Some(took)
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
            rank_costs: vec![own.slowed],
            layers: own.tokens.iter().map(|t| LayerTokens { tokens: t.clone() }).collect(),
        }
    }

    fn order(&self, rank: Rank, order: EngineOrder) -> EngineAnswer {
        let mut state = self.lock();
        let next_step = state.next_step;
        let refused = EngineAnswer { done: false, next_step };
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

        EngineAnswer { done: true, next_step }
    }

    /// Streams one event per step, as many as the request asks for.
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
    fn make_step(
        &mut self,
        map: &str,
        options: &ModelOptions,
        random: &mut SeededSource,
    ) -> Duration {
        let costs: Vec<f32> = self.ranks.iter().map(|r| r.slowed).collect();
        let mut worst = 0.0;
        let mut mean = 0.0;

        for layer in 0..usize::from(options.layers) {
            let counts = self.count(layer, options, random);
            let loads = self.maps[map].layers[layer].rank_loads(&counts, options.ranks);
            worst += max_rank_time(&loads, &costs);
            mean += loads.iter().zip(&costs).map(|(l, c)| l * c).sum::<f32>() / loads.len() as f32;
        }

        self.skew_sum += f64::from(worst / mean.max(1e-9));
        self.skew_steps += 1;
        self.emit_tokens();

        let whole = options.tokens_per_step as f32 * f32::from(options.layers);
        options.base + options.work.mul_f32(worst / whole)
    }

    /// Draws the tokens of a layer for each expert, and adds them to the ranks' counters.
    fn count(
        &mut self,
        layer: usize,
        options: &ModelOptions,
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

                // A caller that reads too slowly loses its stream, not the group's step.
                stream.sender.try_send(Ok(event)).is_ok() && stream.tokens_left > 0
            });
        }
    }
}

/// Draws fractions with a few popular experts.
fn draw_popularity(experts: u16, random: &mut SeededSource) -> Vec<f32> {
    let mut weights: Vec<f32> = (1..=experts).map(|n| 1.0 / f32::from(n).powf(0.8)).collect();

    for at in (1..weights.len()).rev() {
        weights.swap(at, random.below(at + 1));
    }

    let sum: f32 = weights.iter().sum();
    weights.iter().map(|w| w / sum).collect()
}
