//! What runs and waits for each service here and at the other gateways.
//!
//! The decision is in [`Places`]; this module counts this gateway's own requests, and carries the words. A word is
//! some twenty bytes for each urgency that is asked with.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task::sleep;
use grebedeck_admission::{Demand, Places, Urgency};
use grebedeck_core::digest::digest;
use grebedeck_core::{Digest, Moment, ServiceName};
use grebedeck_kernel::log;
use serde::{Deserialize, Serialize};

use super::mechanism::Mechanism;
use super::request::RoutedRequest;
use super::service::Gateway;
use crate::rank::message::{Body, Datagram};

/// How often gateways tell each other what they have: about as old as the loads of ranks are.
const TELL_PERIOD: Duration = Duration::from_millis(150);
/// Least time between two words that a gateway hears, of all gateways together: 100 bytes each 4 ms are 25 KB/s.
const TELL_SPACING: Duration = Duration::from_millis(4);
/// Time over which requests that came are counted: as long as streams run.
const RATE_MEMORY: Duration = Duration::from_secs(2);
/// Part of a service's places that are wanted from which gateways tell each other: below it there is room for all.
const TELL_FROM: f64 = 0.5;

/// What a gateway tells others of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayDemand {
    /// Digest of the service's name.
    service: Digest,
    /// Drawn for each start of the gateway.
    life: u64,
    /// Count of its words.
    number: u64,
    /// What it has.
    demand: Demand,
}

/// What a request does for which it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a place.
    Waiting,
    /// A target has it.
    Running,
}

#[derive(Default)]
struct ServiceDemand {
    own: Demand,
    others: Places<IpAddr>,
    faded_at: Moment,
}

impl ServiceDemand {
    /// Lets counts of requests that came fade, so that each is a rate.
    fn fade(&mut self, now: Moment) {
        let passed_s = now.saturating_sub(self.faded_at).as_secs_f32();
        self.faded_at = now;
        let factor = (-passed_s / RATE_MEMORY.as_secs_f32()).exp();
        self.own.values_mut().for_each(|asked| asked.per_s *= factor);
        self.own.retain(|_, asked| asked.wanted() > 0.0 || asked.per_s > 0.01);
    }
}

/// What is asked of each service.
pub struct DemandBoard {
    services: RefCell<HashMap<ServiceName, ServiceDemand>>,
    life: u64,
}

impl Default for DemandBoard {
    fn default() -> Self {
        DemandBoard { services: RefCell::default(), life: rand::random() }
    }
}

/// Counts a request until it is dropped.
pub struct Counted {
    gateway: Rc<Gateway>,
    service: ServiceName,
    urgency: Urgency,
    stage: Stage,
}

impl Counted {
    /// Counts a request.
    pub fn new(gateway: &Rc<Gateway>, request: &RoutedRequest, stage: Stage) -> Self {
        let service = request.service.clone();
        // Where requests do not differ in urgency, none goes before another.
        let urgency = request.rank.map(|_| request.admitted.urgency()).unwrap_or_default();
        gateway.demand.change(&service, urgency, stage, 1);

        Counted { gateway: gateway.clone(), service, urgency, stage }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.gateway.demand.change(&self.service, self.urgency, self.stage, -1);
    }
}

impl DemandBoard {
    fn change(&self, service: &str, urgency: Urgency, stage: Stage, by: i32) {
        let mut services = self.services.borrow_mut();
        let own = &mut services.entry(service.to_string()).or_default().own;
        let asked = own.entry(urgency).or_default();
        let count = match stage {
            Stage::Waiting => &mut asked.waiting,
            Stage::Running => &mut asked.running,
        };
        *count = count.saturating_add_signed(by);

        if stage == Stage::Waiting && by > 0 {
            asked.per_s += 1.0 / RATE_MEMORY.as_secs_f32();
        }
    }

    fn take(&self, from: IpAddr, word: GatewayDemand, now: Moment) {
        let mut services = self.services.borrow_mut();
        let named = services.iter_mut().find(|(name, _)| digest(name.as_bytes()) == word.service);

        if let Some((_, known)) = named {
            known.others.drop_silent(now);
            known.others.take_word(from, word.life, word.number, word.demand, now);
        }
    }
}

impl Gateway {
    /// Tells whether one more request may start here, among all that ask for the service's places.
    pub fn may_start(&self, service: &str, now: Moment) -> bool {
        if !self.is_model(service) || !self.uses(Mechanism::SharedPlaces) {
            return true;
        }

        let serving = self.serving(service).unwrap_or_default();
        let slots: f64 = serving.iter().map(|t| f64::from(t.slots)).sum();
        let places =
            slots * self.allowed_load(service, &serving, now).min(self.settings().load.shared);
        let seen = slots * self.chooser.borrow().mean_load(&serving, now);
        let mut services = self.demand.services.borrow_mut();
        let known = services.entry(service.to_string()).or_default();
        known.others.drop_silent(now);
        let part = known.others.own(&known.own, places, seen);
        let running: u32 = known.own.values().map(|asked| asked.running).sum();

        f64::from(running) + 1.0 <= part.round()
    }

    /// Takes in what another gateway has.
    pub fn take_demand(&self, from: IpAddr, word: GatewayDemand) {
        self.demand.take(from, word, self.now());
    }

    fn words(&self, number: u64, now: Moment) -> Vec<GatewayDemand> {
        let mut services = self.demand.services.borrow_mut();
        let word = |(name, known): (&ServiceName, &mut ServiceDemand)| {
            known.others.drop_silent(now);
            known.fade(now);
            let slots: u32 = self.serving(name).unwrap_or_default().iter().map(|t| t.slots).sum();
            let is_told = known.others.wanted(&known.own) >= TELL_FROM * f64::from(slots)
                || self.chooser.borrow().mean_load(&self.serving(name).unwrap_or_default(), now)
                    > TELL_FROM;
            is_told.then(|| GatewayDemand {
                service: digest(name.as_bytes()),
                life: self.demand.life,
                number,
                demand: known.own.clone(),
            })
        };

        services.iter_mut().filter(|(name, _)| self.is_model(name)).filter_map(word).collect()
    }
}

/// Tells the other gateways what this one has, while places are scarce, until the task is dropped.
pub async fn tell(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut number = 0;

    loop {
        let spaced = TELL_SPACING * gateway.gateways() as u32;
        sleep(TELL_PERIOD.max(spaced)).await;
        number += 1;

        for word in gateway.words(number, gateway.now()) {
            send(&gateway, &socket, word).await;
        }
    }
}

async fn send(gateway: &Gateway, socket: &UdpSocket, word: GatewayDemand) {
    let settings = gateway.settings();
    let from = SocketAddr::new(settings.ip, settings.group_port);
    let datagram = Datagram { from, group: None, body: Body::Demand(word) };

    match datagram.to_bytes() {
        Ok(bytes) => {
            for peer in gateway.peers() {
                let to = SocketAddr::new(peer.ip(), settings.group_port);
                // A lost word is made good by the next one.
                drop(socket.send_to(&bytes, to).await);
            }
        }
        Err(error) => log::error!("demand not told", kv: { error = error.to_string() }),
    }
}
