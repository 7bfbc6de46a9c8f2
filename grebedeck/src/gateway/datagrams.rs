//! Datagrams from other processes, mainly load reports from rank processes.
//!
//! The load that a target reports in a response is as old as the response. A rank process reads
//! its engine all the time and sends the load to every gateway that has subscribed within the last
//! seconds. A lost datagram is made up for by the next one.

use std::net::SocketAddr;
use std::rc::Rc;

use async_std::net::UdpSocket;
use futures::FutureExt;

use super::gossip;
use super::options::{FIRST_SUBSCRIBE_PERIOD, SUBSCRIBE_PERIOD};
use super::quota;
use super::service::Gateway;
use crate::rank::message::{Body, Datagram, DatagramReader, MAX_DATAGRAM_BYTES};

/// Maximum number of datagrams handled before the task yields to others: some milliseconds of work.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// Receives and handles datagrams until the task is dropped.
pub async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut reader = DatagramReader::default();

    loop {
        if let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            handle_datagram(&gateway, &socket, &mut reader, &buffer[..length]).await;
        }

        // Datagrams that have already arrived are handled without waiting for the socket for each.
        for _ in 1..MAX_DATAGRAMS_PER_TURN {
            match socket.recv_from(&mut buffer).now_or_never() {
                Some(Ok((length, _))) => {
                    handle_datagram(&gateway, &socket, &mut reader, &buffer[..length]).await;
                }
                _ => break,
            }
        }
    }
}

async fn handle_datagram(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    reader: &mut DatagramReader,
    bytes: &[u8],
) {
    match reader.read(bytes, gateway.now()) {
        Some(Datagram { from, body: Body::Load(load), .. }) => {
            gateway.record_rank_load(from, &load)
        }
        Some(Datagram { from, body: Body::Suspects(message), .. }) => {
            gossip::receive(gateway, socket, from, message).await;
        }
        Some(Datagram { from, body: Body::Quota(message), .. }) => {
            quota::receive(gateway, socket, from.ip(), message).await;
        }
        // Other messages are for ranks only.
        _ => {}
    }
}

/// Renews the subscriptions to load reports until the task is dropped.
pub async fn subscribe(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        send_subscriptions(&gateway, &socket).await;
        let period =
            if gateway.receives_rank_loads() { SUBSCRIBE_PERIOD } else { FIRST_SUBSCRIBE_PERIOD };
        async_std::task::sleep(period).await;
    }
}

/// Sends a subscription to the rank processes of all model targets that this gateway selects from.
async fn send_subscriptions(gateway: &Gateway, socket: &UdpSocket) {
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
        // Targets that have no rank process or are gone do not answer, so errors are ignored.
        let to = SocketAddr::new(address.ip(), settings.group_port);
        drop(socket.send_to(&bytes, to).await);
    }
}
