//! The `fleet-…` commands, which measure many real processes on loopback: they write the processes'
//! settings, run the platform and the target that the processes call, and measure resource usage
//! and the time in which a configuration change takes effect.
//!
//! The commands start no processes; `scripts/fleet.sh` does.

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

/// Options of the `fleet-…` commands.
#[derive(Clone, Debug, Bpaf)]
pub struct FleetOptions {
    /// Directory of the fleet's settings
    #[bpaf(long, argument("DIR"))]
    pub dir: PathBuf,
    /// Number of entries
    #[bpaf(long, argument("N"), fallback(4))]
    pub entries: usize,
    /// Number of agents
    #[bpaf(long, argument("N"), fallback(46))]
    pub agents: usize,
    /// First port, for the platform; the target has the next one, and each process three further
    #[bpaf(long, argument("PORT"), fallback(20_000))]
    pub first_port: u16,
    /// Number of organisations in the configuration
    #[bpaf(long, argument("N"), fallback(100))]
    pub organisations: usize,
    /// Number of configuration changes to time
    #[bpaf(long, argument("N"), fallback(8))]
    pub changes: usize,
    /// Duration of the measurement without requests, in seconds
    #[bpaf(long, argument("S"), fallback(10))]
    pub idle_s: u64,
    /// Request rate per second of a second measurement, of the same duration
    #[bpaf(long, argument("N"), fallback(200))]
    pub requests_per_s: u64,
    /// Number of events of a streamed answer; every fourth request to an entry asks for a stream
    #[bpaf(long, argument("N"), fallback(40))]
    pub events: u64,
}

const PLATFORM_PORT_OFFSET: u16 = 0;
const TARGET_PORT_OFFSET: u16 = 1;
const FIRST_PROCESS_PORT_OFFSET: u16 = 10;
/// Timeout for all processes to start, or to have a revision in force.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

impl FleetOptions {
    fn address(&self, port_offset: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.first_port + port_offset))
    }

    fn process_address(&self, process: usize, port_index: u16) -> SocketAddr {
        self.address(FIRST_PROCESS_PORT_OFFSET + process as u16 * 3 + port_index)
    }

    fn common_settings(&self, name: &str, process: usize) -> Value {
        json!({
            "name": name,
            "hall": format!("hall-{}", process % 12),
            "peer_address": self.process_address(process, 0),
            "operator_address": self.process_address(process, 1),
            "table_address": self.address(PLATFORM_PORT_OFFSET),
            "instances_address": self.address(PLATFORM_PORT_OFFSET),
        })
    }
}

/// Writes one settings file per process.
pub fn write_settings(options: &FleetOptions) -> Result<()> {
    std::fs::create_dir_all(&options.dir)?;

    for process in 0..options.entries + options.agents {
        let is_entry = process < options.entries;
        let role = if is_entry { "entry" } else { "agent" };
        let name = format!("{role}-{process}");
        let mut process_settings = json!({ "common": options.common_settings(&name, process) });

        if is_entry {
            process_settings["caller_address"] = json!(options.process_address(process, 2));
            process_settings["spread_limit_ms"] = json!(2_000);
        } else {
            process_settings["target_address"] = json!(options.address(TARGET_PORT_OFFSET));
        }

        let file = options.dir.join(format!("{name}.json"));
        std::fs::write(&file, serde_json::to_string_pretty(&process_settings)?)?;
    }

    Ok(())
}

/// Runs the platform and one target, shared by all agents, until the process is stopped.
pub fn run_stand_ins(options: &FleetOptions) -> Result<()> {
    async_std::task::block_on(async {
        let platform = Platform::default();
        let _server = platform.serve(options.address(PLATFORM_PORT_OFFSET)).await?;
        let _target = PlainService::serve_at("target", options.address(TARGET_PORT_OFFSET)).await?;
        let (entries, agents) = read_settings(&options.dir)?;
        let instances = entries
            .iter()
            .map(|e| e.common.instance(Role::Entry, 1))
            .chain(agents.iter().map(|a| a.common.instance(Role::Agent, 1)));
        platform.set_instances(instances.collect());

        let mut last = platform.calls();

        // Print the platform's calls of each second; `scripts/fleet.sh` shows the last of them.
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

/// Measures a running fleet, idle and under load, and prints the figures as JSON.
pub fn measure(options: &FleetOptions) -> Result<()> {
    async_std::task::block_on(async {
        let fleet = Fleet::try_new(&options.dir)?;
        fleet.wait_until_up().await?;
        let first = fleet.apply(&fleet.first_change(options.organisations)).await?;
        fleet.wait_in_force(first).await?;

        let spread = fleet.time_changes(options.changes).await?;
        let idle = fleet.measure_usage(Duration::from_secs(options.idle_s), None).await?;
        let busy = fleet.measure_usage(Duration::from_secs(options.idle_s), Some(options)).await?;

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

/// The processes of a fleet, known by their settings.
pub struct Fleet {
    entries: Vec<EntrySettings>,
    agents: Vec<AgentSettings>,
    dir: PathBuf,
}

/// Resident memory of a process, and its processor time and peer traffic since it started.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_s: f64,
    memory_bytes: f64,
    peer_bytes: f64,
}

impl Fleet {
    /// Reads the settings of a fleet from a directory.
    ///
    /// Fails if a file is invalid or if entries or agents are missing.
    pub fn try_new(dir: &Path) -> Result<Self> {
        let (entries, agents) = read_settings(dir)?;

        Ok(Fleet { entries, agents, dir: dir.to_path_buf() })
    }

    /// Returns the entries' addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.caller_address).collect()
    }

    /// Returns the address of the target that all agents share.
    pub fn target_address(&self) -> SocketAddr {
        self.agents[0].target_address
    }

    fn all_common_settings(&self) -> impl Iterator<Item = &CommonSettings> {
        self.entries.iter().map(|e| &e.common).chain(self.agents.iter().map(|a| &a.common))
    }

    /// Waits until all processes answer on their operator ports.
    pub async fn wait_until_up(&self) -> Result<()> {
        let start = Instant::now();

        for common in self.all_common_settings() {
            let client = OperatorClient::new(common.operator_address);

            while client.get("/dump").await.is_err() {
                if start.elapsed() > READY_TIMEOUT {
                    bail!("{} did not answer in time", common.name);
                }

                async_std::task::sleep(Duration::from_millis(50)).await;
            }
        }

        Ok(())
    }

    /// Returns a change that sets all targets, the given number of organisations and one selector.
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

    /// Applies a change through the first entry and returns its revision.
    pub async fn apply(&self, change: &Change) -> Result<u64> {
        let client = OperatorClient::new(self.entries[0].common.operator_address);
        let answer = client.post("/config/changes", serde_json::to_vec(change)?).await?;

        match answer.parse()? {
            AcceptResult::Accepted(revision) => Ok(revision),
            other => bail!("{other:?}"),
        }
    }

    async fn dumps(&self) -> Vec<Value> {
        let requests = self.all_common_settings().map(|common| async move {
            let client = OperatorClient::new(common.operator_address);
            client.get("/dump").await.ok()?.parse::<Value>().ok()
        });

        futures::stream::iter(requests)
            .buffer_unordered(32)
            .filter_map(|d| async { d })
            .collect()
            .await
    }

    /// Waits until all processes have a revision in force.
    ///
    /// Returns the time from acceptance until it was in force, in milliseconds, per process.
    pub async fn wait_in_force(&self, revision: u64) -> Result<Vec<f64>> {
        let start = Instant::now();

        loop {
            let dumps = self.dumps().await;
            let is_in_force = |d: &&Value| d["config"]["revision"].as_u64() >= Some(revision);

            if dumps.iter().filter(is_in_force).count() == self.entries.len() + self.agents.len() {
                let delay_ms = |d: &Value| {
                    let accepted_unix_ms = d["config"]["accepted_unix_ms"].as_f64().unwrap_or(0.0);
                    d["config"]["in_force_unix_ms"].as_f64().unwrap_or(0.0) - accepted_unix_ms
                };
                return Ok(dumps.iter().map(delay_ms).collect());
            }

            if start.elapsed() > READY_TIMEOUT {
                bail!("revision {revision} is not in force everywhere");
            }

            async_std::task::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Applies changes one after another; returns quantiles of the time until they are in force.
    async fn time_changes(&self, changes: usize) -> Result<Value> {
        let mut delays_ms = Vec::new();

        for number in 0..changes {
            let mut change =
                Change { id: format!("timed-{}-{number}", unix_ms()), ..Change::default() };
            change.organisations.insert(format!("new-{number}"), Some(organisation(number)));
            let revision = self.apply(&change).await?;
            delays_ms.extend(self.wait_in_force(revision).await?);
        }

        delays_ms.sort_by(f64::total_cmp);
        let quantile =
            |q: f64| delays_ms[((delays_ms.len() as f64 * q) as usize).min(delays_ms.len() - 1)];
        Ok(json!({ "p50": quantile(0.5), "p99": quantile(0.99), "max": quantile(1.0) }))
    }

    /// Measures the mean usage per entry and per agent for a time, optionally under load.
    async fn measure_usage(&self, time: Duration, load: Option<&FleetOptions>) -> Result<Value> {
        let before = self.read_usages().await;
        let start = Instant::now();
        let load_report = match load {
            Some(options) => self.send_load(options, time).await?,
            None => {
                async_std::task::sleep(time).await;
                json!({})
            }
        };
        let elapsed_s = start.elapsed().as_secs_f64();
        let after = self.read_usages().await;

        let usage = |from: usize, until: usize| {
            let n = (until - from) as f64;
            let mean = |read: &dyn Fn(&Usage) -> f64, list: &[Usage]| {
                list[from..until].iter().map(read).sum::<f64>() / n
            };
            let rate = |read: &dyn Fn(&Usage) -> f64| {
                (mean(read, &after) - mean(read, &before)) / elapsed_s
            };

            json!({
                "cpu_percent": rate(&|u| u.cpu_s) * 100.0,
                "peer_bytes_per_s": rate(&|u| u.peer_bytes),
                "memory_mb": mean(&|u| u.memory_bytes, &after) / 1e6,
            })
        };
        let (entries, all) = (self.entries.len(), after.len());

        Ok(json!({ "entry": usage(0, entries), "agent": usage(entries, all), "load": load_report }))
    }

    async fn read_usages(&self) -> Vec<Usage> {
        let requests = self.all_common_settings().map(|common| async move {
            let client = OperatorClient::new(common.operator_address);
            let metrics = client.get("/metrics").await.map(|a| a.body).unwrap_or_default();
            let text = String::from_utf8_lossy(&metrics).into_owned();
            let pid = std::fs::read_to_string(self.dir.join(format!("{}.pid", common.name)));
            let pid = pid.unwrap_or_default().trim().to_string();
            let sent = metric_value(&text, "grebedeck_peer_sent_bytes");

            Usage {
                cpu_s: cpu_seconds(&pid).unwrap_or(0.0),
                memory_bytes: resident_bytes(&pid).unwrap_or(0.0),
                peer_bytes: sent + metric_value(&text, "grebedeck_peer_received_bytes"),
            }
        });

        futures::stream::iter(requests).buffered(32).collect().await
    }

    /// Sends requests at a constant rate without waiting for earlier answers (an open loop), and
    /// returns counts and the latencies of the requests without streams.
    async fn send_load(&self, options: &FleetOptions, time: Duration) -> Result<Value> {
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
            // Every fourth round over the entries asks for streams, so that each entry serves some.
            let is_stream = (number / callers.len() as u64).is_multiple_of(4);
            let path = if is_stream {
                format!("/stream?events={}&every_ms=10", options.events)
            } else {
                "/members/7".to_string()
            };

            calls.push(async_std::task::spawn(async move {
                let answer = caller.get(&path).await.ok().filter(|a| a.status == 200);
                (is_stream, answer.map(|_| due.elapsed().as_secs_f64() * 1e3))
            }));
        }

        let mut plain_ms = Vec::new();
        let (mut failed, mut streamed) = (0u64, 0u64);

        for call in calls {
            match call.await {
                (_, None) => failed += 1,
                (true, Some(_)) => streamed += 1,
                (false, Some(ms)) => plain_ms.push(ms),
            }
        }

        plain_ms.sort_by(f64::total_cmp);
        let quantile =
            |q: f64| plain_ms.get((plain_ms.len() as f64 * q) as usize).copied().unwrap_or(0.0);
        Ok(json!({
            "requests": total,
            "failed": failed,
            "streams": streamed,
            "events": streamed * options.events,
            "plain_ms": { "p50": quantile(0.5), "p99": quantile(0.99) },
        }))
    }
}

fn organisation(number: usize) -> Organisation {
    let tier = ["gold", "silver", "bronze"][number % 3];

    Organisation { labels: BTreeMap::from([("tier".to_string(), tier.to_string())]).into() }
}

/// Reads the first metric whose name starts with `name`; 0 if there is none.
fn metric_value(metrics: &str, name: &str) -> f64 {
    let line = metrics.lines().find(|l| l.starts_with(name));

    line.and_then(|l| l.split_whitespace().last()?.parse().ok()).unwrap_or(0.0)
}

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page in `/proc/PID/statm`.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the processor time that a process has used, from `/proc/PID/stat`.
pub fn cpu_seconds(pid: &str) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;

    Some(ticks / TICKS_PER_S)
}

/// Returns the resident memory of a process, from `/proc/PID/statm`.
pub fn resident_bytes(pid: &str) -> Option<f64> {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;

    Some(pages * PAGE_BYTES)
}
