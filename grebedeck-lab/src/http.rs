//! HTTP server of the stand-ins.

use std::future::Future;
use std::net::SocketAddr;

use async_std::net::TcpListener;
use async_std::task::JoinHandle;
use grebedeck_net::http::{ServerOptions, serve_http};
use http_types::{Request, Response};

/// Running HTTP server.
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on the address; port 0 selects any free port.
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

    /// Stops listening. Open connections close with their last stream.
    pub async fn stop(self) {
        self.task.cancel().await;
    }
}

/// Creates an answer with a JSON body.
pub fn json_answer<T: serde::Serialize>(status: u16, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_string(value).unwrap_or_default());
    response.insert_header("content-type", "application/json");

    response
}

/// Gets the loopback address for any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
