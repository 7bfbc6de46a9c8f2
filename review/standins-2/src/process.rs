//! The project's processes, started as the deploy file says, with settings as the platform fills
//! its templates for a small deployment.

use std::fs::File;
use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Wire;

/// Program and role of the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/release/grebedeck";

/// Loopback addresses for the machines of one run: 127.x.y.1 and up.
pub fn network() -> String {
    let id = std::process::id();

    format!("127.{}.{}", 40 + id / 250 % 200, 1 + id % 250)
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Has the kernel end a process with the script, should the script itself be killed.
fn end_with_parent() -> Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;

    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// A port of an address that is free now.
pub fn free_port(ip: &str) -> Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;

        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A gateway's machine.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes a gateway's settings: `deploy/gateway.json`, filled for an `edge` machine of the
    /// site cedarline-hq.
    pub fn create(
        ip: &str,
        name: &str,
        group_port: u16,
        store: SocketAddr,
        seeds: &[SocketAddr],
        folder: &Path,
    ) -> Result<Gateway> {
        let port = || free_port(ip).map(|port| format!("{ip}:{port}"));
        let (front, ready, metrics) = (port()?, port()?, port()?);
        let own = seeds.iter().find(|seed| seed.ip().to_string() == ip);
        let control = own.expect("each gateway is a seed");
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            r#"{{
  "name": "{name}",
  "hall": "burnaby-hall",
  "caller_address": "{front}",
  "ready_address": "{ready}",
  "peer_address": "{control}",
  "ip": "{ip}",
  "group_port": {group_port},
  "metrics_address": "{metrics}",
  "seed_peers": [{}],
  "store_address": "{store}",
  "stop_limit_ms": 8000,
  "leaving_ms": 2000,
  "catch_up_ms": 3000,
  "engine_stall_ms": 1500,
  "memory_mb": 260,
  "link_mbps": 1000.0,
  "retry": {{ "ratio": 0.2, "window_s": 10, "allowance": 90 }}
}}
"#,
            seeds.join(",")
        );
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text)?;
        let parse = |text: &str| text.parse().expect("an address");

        Ok(Gateway {
            name: name.to_string(),
            front: parse(&front),
            ready: parse(&ready),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        })
    }

    /// Starts the process.
    pub fn start(&mut self) -> Result<()> {
        let child = spawn("gateway", &self.settings, &self.log)?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Memory that the process holds, in MB.
    pub fn memory_mb(&self) -> f64 {
        let Some(child) = &self.child else {
            return 0.0;
        };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let line = status.unwrap_or_default();
        let held = line.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = held.and_then(|text| text.trim().trim_end_matches("kB").trim().parse().ok());

        kb.unwrap_or(0.0) / 1024.0
    }

    /// Asks `GET /-/ready`, as the platform's balancer does.
    pub fn is_ready(&self) -> bool {
        let asked = || -> Option<u16> {
            let stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            let mut wire = Wire::new(stream);
            let text = "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            std::io::Write::write_all(&mut wire.stream, text.as_bytes()).ok()?;
            wire.read().ok().map(|answer| answer.status())
        };

        asked() == Some(200)
    }

    /// Waits until it calls itself ready.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;

        while Instant::now() < until && !self.has_ended() {
            if self.is_ready() {
                return true;
            }

            std::thread::sleep(Duration::from_millis(50));
        }

        false
    }

    /// Lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();

        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a role as the deploy file says.
fn spawn(role: &str, settings: &Path, log: &Path) -> Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(PROGRAM);
    // SAFETY: the call is safe between fork and exec.
    unsafe { command.pre_exec(end_with_parent) };

    command
        .arg(role)
        .env_clear()
        .env("GREBEDECK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends with 2, as the case could not run.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(2)
}
