//! Client of a process's operator port.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use grebedeck_net::http::HttpClient;
use http_types::{Method, Request, Url};

/// Maximum length of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Timeout of a call; a change may have to wait for a slow store.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Client of a process's operator port.
pub struct OperatorClient {
    client: HttpClient,
}

/// Answer of the operator port.
pub struct OperatorAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

impl OperatorAnswer {
    /// Parses the body as JSON.
    pub fn parse<T: for<'a> serde::Deserialize<'a>>(&self) -> Result<T> {
        let text = || String::from_utf8_lossy(&self.body).into_owned();

        serde_json::from_slice(&self.body)
            .with_context(|| format!("status {}: {}", self.status, text()))
    }
}

impl OperatorClient {
    /// Creates a client, which connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        OperatorClient { client: HttpClient::new(address, Duration::from_secs(5)) }
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<OperatorAnswer> {
        self.call(Method::Get, path, None).await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(&self, path: &str, body: Vec<u8>) -> Result<OperatorAnswer> {
        self.call(Method::Post, path, Some(body)).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<OperatorAnswer> {
        let address = self.client.address();
        let url = Url::parse(&format!("http://{address}{path}"))?;
        let mut request = Request::new(method, url);

        if let Some(body) = body {
            request.set_body(body);
            request.insert_header("content-type", "application/json");
        }

        let (status, body) = self
            .client
            .fetch(request, MAX_ANSWER_BYTES, CALL_TIMEOUT)
            .await
            .with_context(|| format!("operator port {address}"))?;
        Ok(OperatorAnswer { status, body })
    }
}
