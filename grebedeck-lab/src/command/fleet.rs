//! Many real processes on loopback: their settings, their stand-ins, and what they cost.
//!
//! `scripts/fleet.sh` starts the processes; the commands here never start any.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use futures::StreamExt;
use grebedeck::command::client::OperatorClient;
use grebedeck::settings::{self, AgentSettings, CommonSettings, EntrySettings};
use grebedeck_config::{AcceptResult, Change, Organisation, SelectorRule, Target};
use grebedeck_core::time::unix_ms;
use grebedeck_net::platform::Role;
use serde_json::{Value, json};

use crate::caller::Caller;
use crate::plain::PlainService;
use crate::platform::Platform;

/// Where a fleet's settings are and how large it is.
#[derive(Clone, Debug, Bpaf)]
pub struct FleetOptions {
    /// Directory of the fleet's settings
    #[bpaf(long, argument("DIR"))]
    pub dir: PathBuf,
    /// Entries
    #[bpaf(long, argument("N"), fallback(4))]
    pub entries: usize,
    /// Agents
    #[bpaf(long, argument("N"), fallback(46))]
    pub agents: usize,
    /// First port; each process takes three
    #[bpaf(long, argument("PORT"), fallback(20_000))]
    pub first_port: u16,
    /// Organisations in the configuration
    #[bpaf(long, argument("N"), fallback(100))]
    pub organisations: usize,
    /// Changes to time
    #[bpaf(long, argument("N"), fallback(8))]
    pub changes: usize,
    /// Seconds to watch the fleet without requests
    #[bpaf(long, argument("S"), fallback(10))]
    pub idle_s: u64,
    /// Requests a second, for the same time again
    #[bpaf(long, argument("N"), fallback(200))]
    pub requests_per_s: u64,
    /// Events of a streamed answer; every fourth request asks for one
    #[bpaf(long, argument("N"), fallback(40))]
    pub events: u64,
}

const PLATFORM_OFFSET: u16 = 0;
const TARGET_OFFSET: u16 = 1;
const FIRST_PROCESS_OFFSET: u16 = 10;
/// How long the fleet may take to start or to have a revision in force.
const START_LIMIT: Duration = Duration::from_secs(60);

impl FleetOptions {
    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.first_port + offset))
    }

    fn process_address(&self, process: usize, port: u16) -> SocketAddr {
        self.address(FIRST_PROCESS_OFFSET + process as u16 * 3 + port)
    }

    fn common(&self, name: &str, process: usize) -> Value {
        json!({
            "name": name,
            "hall": format!("hall-{}", process % 12),
            "peer_address": self.process_address(process, 0),
            "operator_address": self.process_address(process, 1),
            "table_address": self.address(PLATFORM_OFFSET),
            "instances_address": self.address(PLATFORM_OFFSET),
        })
    }
}

/// Writes a settings file for each process.
pub fn write_settings(options: &FleetOptions) -> Result<()> {
    std::fs::create_dir_all(&options.dir)?;

    for process in 0..options.entries + options.agents {
        let is_entry = process < options.entries;
        let role = if is_entry { "entry" } else { "agent" };
        let name = format!("{role}-{process}");
        let mut text = json!({ "common": options.common(&name, process) });

        if is_entry {
            text["caller_address"] = json!(options.process_address(process, 2));
            text["spread_limit_ms"] = json!(2_000);
        } else {
            text["target_address"] = json!(options.address(TARGET_OFFSET));
        }

        let file = options.dir.join(format!("{name}.json"));
        std::fs::write(&file, serde_json::to_string_pretty(&text)?)?;
    }

    Ok(())
}

/// Runs the platform and one target for all agents until it is stopped.
pub fn run_stand_ins(options: &FleetOptions) -> Result<()> {
    async_std::task::block_on(async {
        let platform = Platform::default();
        let _server = platform.serve(options.address(PLATFORM_OFFSET)).await?;
        let _target = PlainService::serve_at("target", options.address(TARGET_OFFSET)).await?;
        let (entries, agents) = read_settings(&options.dir)?;
        let listed = entries
            .iter()
            .map(|e| e.common.instance(Role::Entry, 1))
            .chain(agents.iter().map(|a| a.common.instance(Role::Agent, 1)));
        platform.set_instances(listed.collect());

        let mut last = platform.calls();

        // The calls of each second go to standard output, for the one who watches.
        loop {
            async_std::task::sleep(Duration::from_secs(1)).await;
            let now = platform.calls();
            println!("{}", json!({ "reads": now.0 - last.0, "writes": now.1 - last.1 }));
            last = now;
        }
    })
}

fn read_settings(dir: &Path) -> Result<(Vec<EntrySettings>, Vec<AgentSettings>)> {
    let (mut entries, mut agents) = (Vec::new(), Vec::new());

    for file in std::fs::read_dir(dir).with_context(|| dir.display().to_string())? {
        let path = file?.path();
        let name = path.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();

        if name.starts_with("entry-") && name.ends_with(".json") {
            entries.push(settings::read::<EntrySettings>(&path)?);
        } else if name.starts_with("agent-") && name.ends_with(".json") {
            agents.push(settings::read::<AgentSettings>(&path)?);
        }
    }

    if entries.is_empty() || agents.is_empty() {
        bail!("dir: `{}`: expected settings of entries and agents", dir.display());
    }

    Ok((entries, agents))
}

/// Measures a running fleet and prints the figures as JSON.
pub fn measure(options: &FleetOptions) -> Result<()> {
    async_std::task::block_on(async {
        let fleet = Fleet::try_new(&options.dir)?;
        fleet.wait_until_up().await?;
        let first = fleet.apply(&fleet.first_change(options.organisations)).await?;
        fleet.wait_in_force(first).await?;

        let spread = fleet.time_changes(options.changes).await?;
        let idle = fleet.watch(Duration::from_secs(options.idle_s), None).await?;
        let busy = fleet.watch(Duration::from_secs(options.idle_s), Some(options)).await?;

        println!(
            "{}",
            json!({
                "processes": options.entries + options.agents,
                "entries": options.entries,
                "agents": options.agents,
                "organisations": options.organisations,
                "spread_ms": spread,
                "idle": idle,
                "busy": busy,
                "requests_per_s": options.requests_per_s,
            })
        );
        Ok(())
    })
}

/// The processes of a fleet, as their settings name them.
pub struct Fleet {
    entries: Vec<EntrySettings>,
    agents: Vec<AgentSettings>,
    dir: PathBuf,
}

/// What a group of processes used since it was last read.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_s: f64,
    memory_bytes: f64,
    peer_bytes: f64,
}

impl Fleet {
    /// Reads the settings of a fleet.
    pub fn try_new(dir: &Path) -> Result<Self> {
        let (entries, agents) = read_settings(dir)?;

        Ok(Fleet { entries, agents, dir: dir.to_path_buf() })
    }

    /// Gets where the entries take requests.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.caller_address).collect()
    }

    /// Gets the address of the one target that all agents stand before.
    pub fn target_address(&self) -> SocketAddr {
        self.agents[0].target_address
    }

    fn commons(&self) -> impl Iterator<Item = &CommonSettings> {
        self.entries.iter().map(|e| &e.common).chain(self.agents.iter().map(|a| &a.common))
    }

    /// Waits until all processes answer.
    pub async fn wait_until_up(&self) -> Result<()> {
        let start = Instant::now();

        for common in self.commons() {
            let client = OperatorClient::new(common.operator_address);

            while client.get("/dump").await.is_err() {
                if start.elapsed() > START_LIMIT {
                    bail!("{} does not answer", common.name);
                }

                async_std::task::sleep(Duration::from_millis(50)).await;
            }
        }

        Ok(())
    }

    /// Makes the change that sets all targets and some organisations.
    pub fn first_change(&self, organisations: usize) -> Change {
        let mut change = Change { id: format!("first-{}", unix_ms()), ..Change::default() };

        for agent in &self.agents {
            let labels = BTreeMap::from([("service".to_string(), "roster".to_string())]);
            let target = Target {
                labels,
                hall: agent.common.hall.clone(),
                agent_address: agent.common.peer_address,
                group: None,
                ranks: Vec::new(),
                checks_orders: false,
            };
            change.targets.insert(agent.common.name.clone(), Some(target));
        }

        for number in 0..organisations {
            change.organisations.insert(format!("org-{number}"), Some(organisation(number)));
        }

        let all = SelectorRule { traffic: String::new(), capacity: String::new() };
        change.selectors.insert("all".to_string(), Some(all));
        change
    }

    /// Applies a change through the first entry; gives its revision.
    pub async fn apply(&self, change: &Change) -> Result<u64> {
        let client = OperatorClient::new(self.entries[0].common.operator_address);
        let answer = client.post("/config/changes", serde_json::to_vec(change)?).await?;

        match answer.parse()? {
            AcceptResult::Accepted(revision) => Ok(revision),
            other => bail!("{other:?}"),
        }
    }

    async fn dumps(&self) -> Vec<Value> {
        let asks = self.commons().map(|common| async move {
            let client = OperatorClient::new(common.operator_address);
            client.get("/dump").await.ok()?.parse::<Value>().ok()
        });

        futures::stream::iter(asks).buffer_unordered(32).filter_map(|d| async { d }).collect().await
    }

    /// Waits until all have a revision in force; gives how long each took, in milliseconds.
    pub async fn wait_in_force(&self, revision: u64) -> Result<Vec<f64>> {
        let start = Instant::now();

        loop {
            let dumps = self.dumps().await;
            let has = |d: &&Value| d["config"]["revision"].as_u64() >= Some(revision);

            if dumps.iter().filter(has).count() == self.entries.len() + self.agents.len() {
                let took = |d: &Value| {
                    let from = d["config"]["accepted_unix_ms"].as_f64().unwrap_or(0.0);
                    d["config"]["in_force_unix_ms"].as_f64().unwrap_or(0.0) - from
                };
                return Ok(dumps.iter().map(took).collect());
            }

            if start.elapsed() > START_LIMIT {
                bail!("revision {revision} is not in force everywhere");
            }

            async_std::task::sleep(Duration::from_millis(200)).await;
        }
    }

    async fn time_changes(&self, changes: usize) -> Result<Value> {
        let mut all = Vec::new();

        for number in 0..changes {
            let mut change =
                Change { id: format!("timed-{}-{number}", unix_ms()), ..Change::default() };
            change.organisations.insert(format!("new-{number}"), Some(organisation(number)));
            let revision = self.apply(&change).await?;
            all.extend(self.wait_in_force(revision).await?);
        }

        all.sort_by(f64::total_cmp);
        let at = |q: f64| all[((all.len() as f64 * q) as usize).min(all.len() - 1)];
        Ok(json!({ "p50": at(0.5), "p99": at(0.99), "max": at(1.0) }))
    }

    /// Watches for a while, with requests or without; gives what each process used.
    async fn watch(&self, time: Duration, load: Option<&FleetOptions>) -> Result<Value> {
        let before = self.usages().await;
        let start = Instant::now();
        let done = match load {
            Some(options) => self.load(options, time).await?,
            None => {
                async_std::task::sleep(time).await;
                json!({})
            }
        };
        let took = start.elapsed().as_secs_f64();
        let after = self.usages().await;

        let role = |from: usize, until: usize| {
            let n = (until - from) as f64;
            let mean = |read: &dyn Fn(&Usage) -> f64, list: &[Usage]| {
                list[from..until].iter().map(read).sum::<f64>() / n
            };
            let since =
                |read: &dyn Fn(&Usage) -> f64| (mean(read, &after) - mean(read, &before)) / took;

            json!({
                "cpu_percent": since(&|u| u.cpu_s) * 100.0,
                "peer_bytes_per_s": since(&|u| u.peer_bytes),
                "memory_mb": mean(&|u| u.memory_bytes, &after) / 1e6,
            })
        };
        let (entries, all) = (self.entries.len(), after.len());

        Ok(json!({ "entry": role(0, entries), "agent": role(entries, all), "load": done }))
    }

    async fn usages(&self) -> Vec<Usage> {
        let asks = self.commons().map(|common| async move {
            let client = OperatorClient::new(common.operator_address);
            let metrics = client.get("/metrics").await.map(|a| a.body).unwrap_or_default();
            let text = String::from_utf8_lossy(&metrics).into_owned();
            let pid = std::fs::read_to_string(self.dir.join(format!("{}.pid", common.name)));
            let pid = pid.unwrap_or_default().trim().to_string();
            let sent = gauge(&text, "grebedeck_peer_sent_bytes");

            Usage {
                cpu_s: cpu_seconds(&pid).unwrap_or(0.0),
                memory_bytes: resident_bytes(&pid).unwrap_or(0.0),
                peer_bytes: sent + gauge(&text, "grebedeck_peer_received_bytes"),
            }
        });

        futures::stream::iter(asks).buffered(32).collect().await
    }

    /// Sends requests at a steady rate, whether or not earlier ones were answered.
    async fn load(&self, options: &FleetOptions, time: Duration) -> Result<Value> {
        let total = options.requests_per_s * time.as_secs();
        let gap = Duration::from_secs_f64(1.0 / options.requests_per_s as f64);
        let callers: Vec<Caller> =
            self.entries.iter().map(|e| Caller::new(e.caller_address, "org-0", "roster")).collect();
        let start = Instant::now();
        let mut calls = Vec::new();

        for number in 0..total {
            let due = start + gap * number as u32;
            async_std::task::sleep(due.saturating_duration_since(Instant::now())).await;
            let caller = callers[number as usize % callers.len()].clone();
            // Streams are dealt out to all entries in turn.
            let streams = (number / callers.len() as u64).is_multiple_of(4);
            let path = if streams {
                format!("/stream?events={}&every_ms=10", options.events)
            } else {
                "/members/7".to_string()
            };

            calls.push(async_std::task::spawn(async move {
                let answer = caller.get(&path).await.ok().filter(|a| a.status == 200);
                (streams, answer.map(|_| due.elapsed().as_secs_f64() * 1e3))
            }));
        }

        let mut plain = Vec::new();
        let (mut failed, mut streamed) = (0u64, 0u64);

        for call in calls {
            match call.await {
                (_, None) => failed += 1,
                (true, Some(_)) => streamed += 1,
                (false, Some(ms)) => plain.push(ms),
            }
        }

        plain.sort_by(f64::total_cmp);
        let at = |q: f64| plain.get((plain.len() as f64 * q) as usize).copied().unwrap_or(0.0);
        Ok(json!({
            "requests": total,
            "failed": failed,
            "streams": streamed,
            "events": streamed * options.events,
            "plain_ms": { "p50": at(0.5), "p99": at(0.99) },
        }))
    }
}

fn organisation(number: usize) -> Organisation {
    let tier = ["gold", "silver", "bronze"][number % 3];

    Organisation { labels: BTreeMap::from([("tier".to_string(), tier.to_string())]).into() }
}

fn gauge(metrics: &str, name: &str) -> f64 {
    let line = metrics.lines().find(|l| l.starts_with(name));

    line.and_then(|l| l.split_whitespace().last()?.parse().ok()).unwrap_or(0.0)
}

/// Clock ticks a second in the kernel's accounts.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page in the kernel's accounts.
const PAGE_BYTES: f64 = 4096.0;

/// Gets a process's processor time so far, from the kernel's accounts.
pub fn cpu_seconds(pid: &str) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;

    Some(ticks / TICKS_PER_S)
}

/// Gets a process's resident memory, from the kernel's accounts.
pub fn resident_bytes(pid: &str) -> Option<f64> {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;

    Some(pages * PAGE_BYTES)
}
