//! Complete site on loopback in one process: stand-ins, and real entries and agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, bail};
use grebedeck::agent::Agent;
use grebedeck::entry::Entry;
use grebedeck::settings::{self, AgentSettings, EntrySettings};
use grebedeck_config::{Change, Group, Organisation, SelectorRule, Target};
use grebedeck_net::platform::Role;
use serde_json::json;

use crate::http::{Server, any_port};
use crate::model::{GroupOptions, ModelGroup};
use crate::plain::PlainService;
use crate::platform::Platform;

/// Size and settings of a site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Caller port of the first entry; further entries use the ports after it. 0 for any free
    /// ports.
    pub entry_port: u16,
    /// Operator port of the first entry; further entries use the ports after it. 0 for any free
    /// ports.
    pub operator_port: u16,
    /// Number of entries.
    pub entries: usize,
    /// Number of groups.
    pub groups: usize,
    /// Number of plain targets.
    pub plain_targets: usize,
    /// Size and speed of each group.
    pub group: GroupOptions,
    /// Seed of the groups' stand-ins.
    pub seed: u64,
    /// Maximum time until a revision is in force in all processes.
    pub spread_limit: Duration,
}

impl Default for SiteOptions {
    fn default() -> Self {
        SiteOptions {
            entry_port: 0,
            operator_port: 0,
            entries: 2,
            groups: 2,
            plain_targets: 3,
            group: GroupOptions::default(),
            seed: 1,
            spread_limit: Duration::from_secs(2),
        }
    }
}

/// Running site.
pub struct Site {
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Entries.
    pub entries: Vec<Entry>,
    /// Agents by target.
    pub agents: BTreeMap<String, Agent>,
    /// Stand-ins for the groups.
    pub model_groups: Vec<ModelGroup>,
    /// Stand-ins for the plain targets, by target.
    pub plain_services: BTreeMap<String, PlainService>,
    /// HTTP servers of the stand-ins by target; that of the platform is `platform`.
    pub servers: BTreeMap<String, Server>,
    platform_address: SocketAddr,
}

/// Names of the halls, to which groups, plain targets and entries are assigned in turn.
const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// Maximum time that [`Site::wait_in_force`] waits.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

impl Site {
    /// Starts a site and waits until its first configuration is in force.
    pub async fn start(options: &SiteOptions) -> Result<Site> {
        let platform = Platform::default();
        let server = platform.serve(any_port()).await?;
        let platform_address = server.address;
        let mut site = Site {
            platform,
            entries: Vec::new(),
            agents: BTreeMap::new(),
            model_groups: Vec::new(),
            plain_services: BTreeMap::new(),
            servers: BTreeMap::from([("platform".to_string(), server)]),
            platform_address,
        };
        let mut change = Change { id: "first".to_string(), ..Change::default() };

        for group in 0..options.groups {
            site.start_group(group, options, &mut change).await?;
        }

        for number in 0..options.plain_targets {
            site.start_plain(number, &mut change).await?;
        }

        for number in 0..options.entries {
            site.start_entry(number, options).await?;
        }

        site.publish_instances();
        add_organisations(&mut change);
        site.apply(&change).await?;
        site.wait_in_force(1).await?;

        Ok(site)
    }

    async fn start_group(
        &mut self,
        group: usize,
        options: &SiteOptions,
        change: &mut Change,
    ) -> Result<()> {
        let group_name = format!("summary-{group}");
        let model_group = ModelGroup::start(options.group.clone(), options.seed + group as u64);
        let labels = BTreeMap::from([("service".to_string(), "summary".to_string())]);
        change.groups.insert(group_name.clone(), Some(Group { labels }));

        for rank in 0..options.group.ranks {
            let name = format!("{group_name}-rank-{rank}");
            let server = model_group.serve(rank).await?;
            let hall = HALLS[group % HALLS.len()];
            let target = self.start_agent(&name, hall, server.address, true).await?;
            let target = Target { group: Some(group_name.clone()), ranks: vec![rank], ..target };
            change.targets.insert(name.clone(), Some(target));
            self.servers.insert(name, server);
        }

        self.model_groups.push(model_group);
        Ok(())
    }

    async fn start_plain(&mut self, number: usize, change: &mut Change) -> Result<()> {
        let name = format!("roster-{number}");
        let (plain, server) = PlainService::serve(&name).await?;
        let hall = HALLS[number % HALLS.len()];
        let mut target = self.start_agent(&name, hall, server.address, false).await?;
        target.labels.insert("service".to_string(), "roster".to_string());
        change.targets.insert(name.clone(), Some(target));
        self.plain_services.insert(name.clone(), plain);
        self.servers.insert(name, server);

        Ok(())
    }

    /// Starts the agent of a target and returns the target for the configuration.
    pub async fn start_agent(
        &mut self,
        name: &str,
        hall: &str,
        target_address: SocketAddr,
        has_engine: bool,
    ) -> Result<Target> {
        let text = json!({
            "common": self.common_settings(name, hall, any_port()),
            "target_address": target_address,
            "engine_address": has_engine.then_some(target_address),
            "clock_margin_ms": 100,
        });
        let settings: AgentSettings = settings::parse(&text.to_string())?;
        let agent = Agent::try_new(settings).await?;
        let agent_address = agent.settings.common.peer_address;
        self.agents.insert(name.to_string(), agent);

        Ok(Target {
            labels: BTreeMap::new(),
            hall: hall.to_string(),
            agent_address,
            group: None,
            ranks: Vec::new(),
            checks_orders: has_engine,
        })
    }

    /// Starts an additional entry.
    pub async fn start_entry(&mut self, number: usize, options: &SiteOptions) -> Result<()> {
        let port_of = |first: u16| if first == 0 { 0 } else { first + number as u16 };
        let name = format!("entry-{number}");
        let operator = SocketAddr::from(([127, 0, 0, 1], port_of(options.operator_port)));
        let text = json!({
            "common": self.common_settings(&name, HALLS[number % HALLS.len()], operator),
            "caller_address": SocketAddr::from(([127, 0, 0, 1], port_of(options.entry_port))),
            "spread_limit_ms": options.spread_limit.as_millis() as u64,
        });
        let settings: EntrySettings = settings::parse(&text.to_string())?;
        self.entries.push(Entry::try_new(settings).await?);

        Ok(())
    }

    fn common_settings(&self, name: &str, hall: &str, operator: SocketAddr) -> serde_json::Value {
        json!({
            "name": name,
            "hall": hall,
            "peer_address": any_port(),
            "operator_address": operator,
            "table_address": self.platform_address,
            "instances_address": self.platform_address,
            "heartbeat_ms": 500,
        })
    }

    /// Sets the platform's list of instances to all running processes.
    pub fn publish_instances(&self) {
        let entries = self.entries.iter().map(|e| e.settings.common.instance(Role::Entry, 1));
        let agents =
            self.agents.values().map(|a| a.settings.common.instance(Role::Agent, a.incarnation));

        self.platform.set_instances(entries.chain(agents).collect());
    }

    /// Gets the caller addresses of all entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.settings.caller_address).collect()
    }

    /// Gets the operator address of the first entry.
    pub fn operator_address(&self) -> SocketAddr {
        self.entries[0].settings.common.operator_address
    }

    /// Applies a change through the first entry.
    pub async fn apply(&self, change: &Change) -> Result<u64> {
        use grebedeck::command::client::OperatorClient;
        use grebedeck_config::AcceptResult;

        let client = OperatorClient::new(self.operator_address());
        let answer = client.post("/config/changes", serde_json::to_vec(change)?).await?;

        match answer.parse()? {
            AcceptResult::Accepted(revision) => Ok(revision),
            AcceptResult::Refused(faults) => bail!("change refused:\n{faults}"),
            AcceptResult::Unknown => bail!("unknown"),
        }
    }

    /// Waits until a revision is in force in all processes.
    pub async fn wait_in_force(&self, revision: u64) -> Result<()> {
        let start = std::time::Instant::now();

        while self.revisions().iter().any(|r| *r < revision) {
            if start.elapsed() > IN_FORCE_TIMEOUT {
                bail!("revision {revision} is not in force everywhere: {:?}", self.revisions());
            }

            async_std::task::sleep(Duration::from_millis(10)).await;
        }

        Ok(())
    }

    /// Gets the revision in force in each process.
    pub fn revisions(&self) -> Vec<u64> {
        let entries = self.entries.iter().map(|e| &e.kernel);
        let agents = self.agents.values().map(|a| &a.kernel);
        let revision = |k: &grebedeck_kernel::Kernel| {
            k.require::<grebedeck::config::ConfigService>(grebedeck::config::NAME).revision()
        };

        entries.chain(agents).map(revision).collect()
    }

    /// Drains and stops all processes and stand-ins.
    pub async fn stop(self) {
        for entry in self.entries {
            grebedeck::stop::drain(&entry.kernel, Duration::from_secs(10)).await;
            entry.stop().await;
        }

        for agent in self.agents.into_values() {
            grebedeck::stop::drain(&agent.kernel, Duration::from_secs(10)).await;
            agent.stop().await;
        }

        for server in self.servers.into_values() {
            server.stop().await;
        }
    }
}

fn add_organisations(change: &mut Change) {
    for (name, tier) in [("northwind", "gold"), ("fabrikam", "silver"), ("contoso", "bronze")] {
        let labels = BTreeMap::from([("tier".to_string(), tier.to_string())]);
        change.organisations.insert(name.to_string(), Some(Organisation { labels: labels.into() }));
    }

    let rule = |traffic: &str, capacity: &str| {
        Some(SelectorRule { traffic: traffic.to_string(), capacity: capacity.to_string() })
    };
    change.selectors.insert("paying".to_string(), rule("tier in (gold, silver)", "!canary"));
    change.selectors.insert("others".to_string(), rule("tier=bronze", "service=roster, !canary"));
}
