//! Caller of a service, for tests and measurements.

use std::net::SocketAddr;
use std::time::Duration;

use grebedeck_core::Result;
use grebedeck_net::http::HttpClient;
use grebedeck_net::http::client::{SendError, StreamedResponse};
use http_types::{Method, Request, Url};

/// Caller on behalf of one organisation, with a keep-alive connection.
#[derive(Clone)]
pub struct Caller {
    client: HttpClient,
    organisation: String,
    service: String,
}

/// Answer with its complete body.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the outcome header.
    pub outcome: String,
    /// Body.
    pub body: Vec<u8>,
}

impl CallerAnswer {
    /// Gets the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Maximum size of an answer's body.
const MAX_BODY_BYTES: usize = 64 << 20;

impl Caller {
    /// Creates a caller that sends to an entry.
    pub fn new(entry: SocketAddr, organisation: &str, service: &str) -> Self {
        Caller {
            client: HttpClient::new(entry, Duration::from_secs(5)),
            organisation: organisation.to_string(),
            service: service.to_string(),
        }
    }

    /// Creates a request with the headers of the organisation and service.
    pub fn request(&self, method: Method, path: &str) -> Request {
        let url = Url::parse(&format!("http://{}{path}", self.client.address()));
        let mut request = Request::new(method, url.expect("valid path"));
        request.insert_header("grebedeck-organisation", self.organisation.as_str());
        request.insert_header("grebedeck-service", self.service.as_str());

        request
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn begin(&self, request: Request) -> Result<StreamedResponse> {
        self.client.send(request).await.map_err(SendError::into_error)
    }

    /// Sends a request and reads the complete answer; a truncated answer is an error.
    pub async fn send(&self, request: Request) -> Result<CallerAnswer> {
        let answer = self.begin(request).await?;
        let status = answer.response.status() as u16;
        let outcome = answer.response.header("grebedeck-outcome").map(|v| v.as_str().to_string());
        let expected = answer.response.len();
        let body = answer.read_all(MAX_BODY_BYTES).await?;

        // The HTTP library treats an early close of the connection as the end of the body.
        if expected.is_some_and(|len| len != body.len()) {
            return grebedeck_core::error::protocol_error("the answer was truncated");
        }

        Ok(CallerAnswer { status, outcome: outcome.unwrap_or_default(), body })
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<CallerAnswer> {
        self.send(self.request(Method::Get, path)).await
    }
}
