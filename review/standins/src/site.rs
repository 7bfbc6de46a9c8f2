//! The processes of a small deployment: rank processes beside the engines, and gateways.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

use crate::engines::{self, RANKS, ip};
use crate::process::{Process, free_port};
use crate::store::Store;

/// Ports that all machines share, and the store.
pub struct Site {
    pub app: u16,
    pub store: Store,
    group_port: u16,
    metrics: u16,
    caller: u16,
    ready: u16,
    peer: u16,
    store_address: SocketAddr,
}

/// Address of a gateway's machine.
pub fn gateway_ip(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 11 + number as u8))
}

impl Site {
    /// Takes free ports and starts the store.
    pub fn start() -> Site {
        let mut addresses: Vec<IpAddr> = (0..RANKS).map(ip).collect();
        addresses.extend((0..4).map(gateway_ip));
        addresses.push(IpAddr::V4(Ipv4Addr::LOCALHOST));
        let mut ports = Vec::new();

        while ports.len() < 7 {
            let port = free_port(&addresses);

            if !ports.contains(&port) {
                ports.push(port);
            }
        }

        let store_address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), ports[6]);
        let store = Store::default();
        engines::put_rows(&store, ports[0]);
        store.serve(store_address);

        Site {
            app: ports[0],
            store,
            group_port: ports[1],
            metrics: ports[2],
            caller: ports[3],
            ready: ports[4],
            peer: ports[5],
            store_address,
        }
    }

    /// Starts the process beside a rank.
    pub fn start_rank(&self, root: &Path, folder: &Path, rank: usize) -> Process {
        let (app, group_port, metrics) = (self.app, self.group_port, self.metrics);
        let settings = format!(
            "{{\"name\":\"side-{rank}\",\"hall\":\"burnaby-hall\",\"ip\":\"{0}\",\
             \"target_address\":\"{0}:{app}\",\"service\":\"notes\",\"group_port\":{group_port},\
             \"metrics_address\":\"{0}:{metrics}\",\"store_address\":\"{1}\"}}",
            ip(rank),
            self.store_address
        );

        Process::start(root, folder, "rank", &format!("side-{rank}"), &settings)
    }

    /// Starts a gateway.
    pub fn start_gateway(&self, root: &Path, folder: &Path, number: usize) -> Process {
        let settings = format!(
            "{{\"name\":\"edge-{number}\",\"hall\":\"burnaby-hall\",\
             \"caller_address\":\"{0}:{1}\",\"ready_address\":\"{0}:{2}\",\
             \"peer_address\":\"{0}:{3}\",\"ip\":\"{0}\",\"group_port\":{4},\
             \"metrics_address\":\"{0}:{5}\",\"seed_peers\":[\"{6}:{3}\",\"{7}:{3}\"],\
             \"store_address\":\"{8}\",\"stop_limit_ms\":8000,\"leaving_ms\":2000,\
             \"catch_up_ms\":3000,\"engine_stall_ms\":1500,\"memory_mb\":260,\
             \"link_mbps\":1000.0,\"retry\":{{\"ratio\":0.2,\"window_s\":10,\"allowance\":90}}}}",
            gateway_ip(number),
            self.caller,
            self.ready,
            self.peer,
            self.group_port,
            self.metrics,
            gateway_ip(0),
            gateway_ip(1),
            self.store_address
        );

        Process::start(root, folder, "gateway", &format!("edge-{number}"), &settings)
    }

    /// Address at which a gateway takes clients.
    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(gateway_ip(number), self.caller)
    }

    /// Address at which a gateway says whether it is ready.
    pub fn ready(&self, number: usize) -> SocketAddr {
        SocketAddr::new(gateway_ip(number), self.ready)
    }
}
