//! Datagrams of other processes, above all being told the load of a model's ranks by the processes beside them.
//!
//! What targets say of their load in their answers is as old as the answer. The processes beside them
//! read the engines all the time, and tell whoever asked for it in the last seconds. A lost datagram is
//! made good by the next.

use std::net::SocketAddr;
use std::rc::Rc;

use async_std::net::UdpSocket;
use futures::FutureExt;

use super::gossip;
use super::options::{FIRST_SUBSCRIBE_PERIOD, SUBSCRIBE_PERIOD};
use super::quota;
use super::service::Gateway;
use crate::rank::message::{Body, Datagram, DatagramReader, MAX_DATAGRAM_BYTES};

/// Datagrams that are taken in before other tasks get their turn: some milliseconds' worth of work.
const MAX_AT_ONCE: usize = 64;

/// Takes datagrams in until the task is dropped.
pub async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut reader = DatagramReader::default();

    loop {
        if let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            receive_one(&gateway, &socket, &mut reader, &buffer[..length]).await;
        }

        // Those that have come already are taken in without waiting for the socket once more for each.
        for _ in 1..MAX_AT_ONCE {
            match socket.recv_from(&mut buffer).now_or_never() {
                Some(Ok((length, _))) => {
                    receive_one(&gateway, &socket, &mut reader, &buffer[..length]).await;
                }
                _ => break,
            }
        }
    }
}

async fn receive_one(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    reader: &mut DatagramReader,
    bytes: &[u8],
) {
    match reader.read(bytes, gateway.now()) {
        Some(Datagram { from, body: Body::Load(load), .. }) => gateway.note_rank(from, &load),
        Some(Datagram { from, body: Body::Suspects(message), .. }) => {
            gossip::take(gateway, socket, from, message).await;
        }
        Some(Datagram { from, body: Body::Quota(message), .. }) => {
            quota::receive(gateway, socket, from.ip(), message).await;
        }
        // Between ranks.
        _ => {}
    }
}

/// Asks for loads from time to time until the task is dropped.
pub async fn subscribe(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        ask(&gateway, &socket).await;
        let period = if gateway.hears_ranks() { SUBSCRIBE_PERIOD } else { FIRST_SUBSCRIBE_PERIOD };
        async_std::task::sleep(period).await;
    }
}

/// Asks the processes beside the targets of models that this gateway deals with.
async fn ask(gateway: &Gateway, socket: &UdpSocket) {
    let settings = gateway.settings();
    let own = SocketAddr::new(settings.ip, settings.group_port);
    let Ok(bytes) = (Datagram { from: own, group: None, body: Body::Watch }).to_bytes() else {
        return;
    };
    let table = gateway.table();
    let is_model = |service: &str| table.service(service).is_some_and(|s| s.engine.is_some());
    let addresses: Vec<SocketAddr> = gateway.with_targets(|targets| {
        targets.all_candidates().filter(|t| is_model(&t.service)).map(|t| t.address).collect()
    });

    for address in addresses {
        // A target without a process beside it, or one that is gone, does not answer.
        let to = SocketAddr::new(address.ip(), settings.group_port);
        drop(socket.send_to(&bytes, to).await);
    }
}
