//! Stand-in for a plain service: answers with what it was asked, and counts what it ran.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_types::{Request, Response};

use crate::http::{Server, any_port};

/// Header whose value names a run, so that doubled runs show.
pub const RUN_HEADER: &str = "x-run";

/// State of the stand-in.
#[derive(Clone, Default)]
pub struct Plain {
    name: String,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Plain {
    /// Starts the stand-in's server on any free port.
    pub async fn serve(name: &str) -> std::io::Result<(Plain, Server)> {
        let plain = Plain { name: name.to_string(), runs: Arc::default() };
        let state = plain.clone();
        let server = Server::start(any_port(), move |request| {
            let state = state.clone();
            async move { state.answer(request).await }
        })
        .await?;

        Ok((plain, server))
    }

    /// Gets how often each named run was run.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn answer(&self, mut request: Request) -> Response {
        if let Some(run) = request.header(RUN_HEADER).map(|v| v.as_str().to_string()) {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            *runs.entry(run).or_insert(0) += 1;
        }

        let delay_ms = request
            .url()
            .query_pairs()
            .find(|(key, _)| key == "delay_ms")
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(0);
        async_std::task::sleep(Duration::from_millis(delay_ms)).await;

        let body = request.body_bytes().await.unwrap_or_default();
        let mut response = Response::new(200);
        let head = format!("{} {} {}\n", self.name, request.method(), request.url().path());
        response.set_body([head.as_bytes(), &body].concat());
        response.insert_header("content-type", "text/plain");
        response.insert_header("x-target", self.name.as_str());
        response
    }
}
