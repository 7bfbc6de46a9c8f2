//! Processes of the project, started with the commands of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process of a role. It is killed when this is dropped.
pub struct Process {
    role: String,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a role with settings, which are written into `folder` as NAME.json.
    pub fn start(root: &Path, folder: &Path, role: &str, name: &str, settings: &str) -> Process {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let mut process =
            Process { role: role.into(), settings: path, log, root: root.into(), child: None };
        process.restart();
        process
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(self.root.join("target/release/grebedeck"))
            .arg(&self.role)
            .current_dir(&self.root)
            .env("GREBEDECK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the program was built");
        note_id(self.log.parent().expect("a folder"), child.id());
        self.child = Some(child);
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let kill = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &kill]).status();
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGKILL and does not wait for the end.
    pub fn kill_now(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Exit status, once the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;

        Some(status.to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Notes the id of a process, so that the script can end it if this program is stopped.
pub fn note_id(folder: &Path, id: u32) {
    let path = folder.join("ids");
    let mut file = File::options().create(true).append(true).open(path).expect("a list of ids");
    let _ = writeln!(file, "{id}");
}

/// A port that is free at all of these addresses, for TCP and UDP.
pub fn free_port(addresses: &[IpAddr]) -> u16 {
    loop {
        let first = TcpListener::bind(SocketAddr::new(addresses[0], 0)).expect("a free port");
        let port = first.local_addr().expect("its address").port();
        drop(first);
        let is_free = |ip: &IpAddr| {
            let address = SocketAddr::new(*ip, port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        };

        if addresses.iter().all(is_free) {
            return port;
        }
    }
}
