//! Handler of the streams that peers open to a process.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_core::Result;
use grebedeck_kernel::Counter;
use grebedeck_net::{FrameReader, FrameWriter, IncomingStream, StreamHandler};

use crate::agent::AgentService;
use crate::agent::group::GroupService;
use crate::config::ConfigService;
use crate::entry::suspects::Suspects;
use crate::message::{
    CONTROL_PATH, Control, ControlAnswer, PROTOCOL_VERSION, PeerHello, WORK_PATH,
};

/// Timeout of receiving a control message.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Handler of peers' streams.
pub struct PeerHandler {
    /// Identity of this process.
    pub hello: PeerHello,
    /// Configuration in force.
    pub config: Arc<ConfigService>,
    /// Service of an agent; `None` in an entry.
    pub agent: Option<Arc<AgentService>>,
    /// Service of a model's group, in an agent beside a rank.
    pub group: Option<Arc<GroupService>>,
    /// Crashes and suspected requests, in an entry.
    pub suspects: Option<Arc<Suspects>>,
    /// Streams and connections that violated the protocol.
    pub faults: Counter,
}

impl StreamHandler for PeerHandler {
    async fn handle(&self, incoming: IncomingStream) {
        let handled = match (incoming.path.as_str(), &self.agent) {
            (WORK_PATH, Some(agent)) => match incoming.accept() {
                Ok((reader, writer)) => agent.handle_work(reader, writer).await,
                Err(error) => Err(error),
            },
            (CONTROL_PATH, _) => match incoming.accept() {
                Ok((reader, writer)) => self.control(reader, writer).await,
                Err(error) => Err(error),
            },
            _ => incoming.refuse(404),
        };

        if let Err(grebedeck_core::Error::Protocol(_) | grebedeck_core::Error::Limit(_)) = handled {
            self.faults.add("stream");
        }
    }

    fn on_protocol_error(&self) {
        self.faults.add("connection");
    }
}

impl PeerHandler {
    async fn control(&self, mut reader: FrameReader, mut writer: FrameWriter) -> Result<()> {
        let Ok(message) = timeout(CONTROL_TIMEOUT, reader.next_required::<Control>()).await else {
            return Ok(());
        };

        let answer = self.answer(message?);
        writer.send_last(&answer).await
    }

    fn answer(&self, message: Control) -> ControlAnswer {
        match message {
            Control::Hello { .. } => ControlAnswer::Hello(self.hello()),
            Control::Heartbeat { revision } => ControlAnswer::Heartbeat {
                revision: self.config.revision(),
                catch_up: self.config.with_replica(|r| r.catch_up(revision)),
            },
            Control::CatchUp(catch_up) => {
                self.config.apply(catch_up);
                ControlAnswer::Taken
            }
            Control::Strike { attempt, incarnation } => match &self.agent {
                Some(agent) => ControlAnswer::Strike(agent.strike(attempt, incarnation)),
                None => ControlAnswer::NotSupported,
            },
            Control::Switch { message, map } => self.with_group(|g| g.receive(message, map)),
            Control::Counts(counts) => self.with_group(|g| g.record_counts(counts)),
            Control::Suspects(message) => match &self.suspects {
                Some(suspects) => ControlAnswer::Suspects(suspects.handle_message(message)),
                None => ControlAnswer::NotSupported,
            },
            Control::MapOf(version) => match &self.group {
                Some(group) => ControlAnswer::Map(group.map_of(version)),
                None => ControlAnswer::NotSupported,
            },
        }
    }

    fn with_group(&self, deliver: impl FnOnce(&GroupService)) -> ControlAnswer {
        match &self.group {
            Some(group) => {
                deliver(group);
                ControlAnswer::Taken
            }
            None => ControlAnswer::NotSupported,
        }
    }

    fn hello(&self) -> PeerHello {
        let leaving = self.agent.as_ref().is_some_and(|a| a.is_draining());

        PeerHello { protocol: PROTOCOL_VERSION, leaving, ..self.hello.clone() }
    }
}
