//! Minimal HTTP server for a process's internal ports: readiness, metrics, state dumps, and the
//! exchange between gateways.

use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use grebedeck_http::{Connection, RequestHead, ResponseHead};
use grebedeck_kernel::log;

/// Pause after a failed accept, for example when the process is out of file descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum length of the head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// How long a connection may stay idle. Clients send a request every few seconds or more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of writing an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Answer to a request.
pub struct Page {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

impl Page {
    /// Answer without a body.
    pub fn empty(status: u16) -> Self {
        Page { status, content_type: "text/plain", body: Vec::new() }
    }

    /// Answer with a binary body.
    pub fn bytes(body: Vec<u8>) -> Self {
        Page { status: 200, content_type: "application/octet-stream", body }
    }

    /// Answer with JSON.
    pub fn json(value: &serde_json::Value) -> Self {
        let body = value.to_string().into_bytes();

        Page { status: 200, content_type: "application/json", body }
    }

    /// Answer with text in the exposition format of Prometheus.
    pub fn text(text: String) -> Self {
        Page { status: 200, content_type: "text/plain; version=0.0.4", body: text.into_bytes() }
    }

    fn into_bytes(self, keeps_alive: bool) -> Vec<u8> {
        let mut head = ResponseHead::new(self.status);
        head.headers.push("content-type", self.content_type);
        head.headers.push("content-length", self.body.len().to_string());

        if !keeps_alive {
            head.headers.push("connection", "close");
        }

        let mut bytes = Vec::with_capacity(256 + self.body.len());
        head.write(&mut bytes);
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Serves requests without bodies until the task is dropped.
pub async fn serve(
    tasks: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    answer: impl AsyncFn(&RequestHead) -> Page + Clone + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => tasks.spawn(serve_connection(stream, answer.clone())).detach(),
            Err(error) => {
                log::warn!("accept failed", kv: { error = error.to_string() });
                async_std::task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, answer: impl AsyncFn(&RequestHead) -> Page) {
    let mut connection = Connection::new(stream);

    loop {
        let read = timeout(IDLE_TIMEOUT, connection.read_request_head(MAX_HEAD_BYTES)).await;
        let Ok(Ok(request)) = read else {
            return;
        };
        let bytes = answer(&request).await.into_bytes(request.keeps_alive());
        let written = timeout(WRITE_TIMEOUT, connection.write_all(&bytes)).await;

        if !matches!(written, Ok(Ok(()))) || !request.keeps_alive() {
            return;
        }
    }
}
