//! Stand-in for a plain service: echoes requests and counts runs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::TryStreamExt;
use http_types::{Body, Request, Response};

use crate::http::{Server, any_port, json_answer};

/// Header with the name of a run, to detect requests that ran more than once.
pub const RUN_HEADER: &str = "x-run";

/// Path of the number of executions of each named run.
pub const RUNS_PATH: &str = "/runs-so-far";

/// Plain service with its counts of runs.
#[derive(Clone, Default)]
pub struct PlainService {
    name: String,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl PlainService {
    /// Starts the stand-in's server on any free port.
    pub async fn serve(name: &str) -> std::io::Result<(PlainService, Server)> {
        Self::serve_at(name, any_port()).await
    }

    /// Starts the stand-in's server on the given address.
    pub async fn serve_at(
        name: &str,
        address: SocketAddr,
    ) -> std::io::Result<(PlainService, Server)> {
        let plain = PlainService { name: name.to_string(), runs: Arc::default() };
        let state = plain.clone();
        let server = Server::start(address, move |request| {
            let state = state.clone();
            async move { state.answer(request).await }
        })
        .await?;

        Ok((plain, server))
    }

    /// Gets the number of executions of each named run.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn answer(&self, mut request: Request) -> Response {
        if request.url().path() == RUNS_PATH {
            return json_answer(200, &self.runs());
        }

        if let Some(run) = request.header(RUN_HEADER).map(|v| v.as_str().to_string()) {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            *runs.entry(run).or_insert(0) += 1;
        }

        let query_number = |name: &str| {
            let pairs = request.url().query_pairs();
            pairs.filter(|(key, _)| key == name).find_map(|(_, value)| value.parse::<u64>().ok())
        };

        if let Some(seconds) = query_number("rest_s") {
            let mut response = Response::new(503);
            response.insert_header("retry-after", seconds.to_string());
            response.set_body(format!("{} requested a delay", self.name));
            return response;
        }

        if let Some(events) = query_number("events") {
            return stream_events(events, query_number("every_ms").unwrap_or(10));
        }

        async_std::task::sleep(Duration::from_millis(query_number("delay_ms").unwrap_or(0))).await;

        let body = request.body_bytes().await.unwrap_or_default();
        let mut response = Response::new(200);
        let request_line = format!("{} {} {}\n", self.name, request.method(), request.url().path());
        response.set_body([request_line.as_bytes(), &body].concat());
        response.insert_header("content-type", "text/plain");
        response.insert_header("x-target", self.name.as_str());
        response
    }
}

/// Streams events at an interval.
fn stream_events(events: u64, every_ms: u64) -> Response {
    let (sender, receiver) = async_channel::bounded(16);

    async_std::task::spawn(async move {
        for event in 0..events {
            async_std::task::sleep(Duration::from_millis(every_ms)).await;
            let text = format!("data: {{\"token\":{event}}}\n\n").into_bytes();

            if sender.send(Ok::<_, std::io::Error>(text)).await.is_err() {
                return;
            }
        }
    });

    let mut response = Response::new(200);
    response.set_body(Body::from_reader(Box::pin(receiver).into_async_read(), None));
    response.insert_header("content-type", "text/event-stream");
    response
}
