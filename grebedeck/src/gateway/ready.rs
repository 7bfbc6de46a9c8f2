//! Telling the platform's balancer whether the process takes requests.

use std::rc::Rc;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use grebedeck_http::{Connection, ResponseHead};
use grebedeck_kernel::log;

use super::options::{ACCEPT_PAUSE, MAX_ANSWER_HEAD_BYTES};
use super::service::Gateway;

/// How long a connection of the balancer may rest; it asks each second.
const REST_LIMIT: std::time::Duration = std::time::Duration::from_secs(5);

/// Answers the balancer until the task is dropped.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => gateway.tasks.spawn(answer(gateway.clone(), stream)).detach(),
            Err(error) => {
                log::warn!("accept failed", kv: { error = error.to_string() });
                async_std::task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(gateway: Rc<Gateway>, stream: TcpStream) {
    let mut connection = Connection::new(stream);

    loop {
        let read = timeout(REST_LIMIT, connection.read_request_head(MAX_ANSWER_HEAD_BYTES)).await;
        let Ok(Ok(request)) = read else {
            return;
        };
        let mut head = ResponseHead::new(if gateway.is_ready() { 200 } else { 503 });
        head.headers.push("content-length", "0");
        let mut bytes = Vec::new();
        head.write(&mut bytes);

        if connection.write_all(&bytes).await.is_err() || !request.keeps_alive() {
            return;
        }
    }
}
