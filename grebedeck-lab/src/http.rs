//! A small HTTP server for stand-ins.

use std::future::Future;
use std::net::SocketAddr;

use async_std::net::TcpListener;
use async_std::task::JoinHandle;
use grebedeck_net::http::{ServerOptions, serve_http};
use http_types::{Request, Response};

/// A listening stand-in; it ends when it is stopped.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on the address; port 0 takes any free one.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Server>
    where
        H: Fn(Request) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let handler = move |request: Request, _| handler(request);
        let serving = serve_http(listener, ServerOptions::default(), handler, || ());

        Ok(Server { address, task: async_std::task::spawn(serving) })
    }

    /// Stops listening; open connections end with their streams.
    pub async fn stop(self) {
        self.task.cancel().await;
    }
}

/// Makes an answer in JSON.
pub fn json_answer<T: serde::Serialize>(status: u16, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_string(value).unwrap_or_default());
    response.insert_header("content-type", "application/json");

    response
}

/// Any free port on loopback.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
