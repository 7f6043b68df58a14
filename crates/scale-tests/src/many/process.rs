//! Controller processes. Each is started with its own configuration file, and ended by its process id.

use super::cost::{self, Cost};
use super::error::ManyError;
use super::fakes::Addresses;
use super::plan::{ControllerId, Plan};
use super::tracker::{Condition, Tracker};
use crate::process::listening_address;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The name of the controller program.
const CONTROLLER_PROGRAM: &str = "whinwall-controller";
/// Time between SIGTERM and SIGKILL for a controller that does not exit.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(5);
/// Pause between two pings while a controller does not answer.
const PING_RETRY_DELAY: Duration = Duration::from_millis(2);

/// The process of one controller, which may be stopped.
pub struct Process {
    controller: ControllerId,
    configuration_file: PathBuf,
    child: Option<Child>,
    /// The address that collectors connect to; `None` while the process is stopped or not ready.
    address: watch::Sender<Option<SocketAddr>>,
    /// The cost of the earlier processes of this controller.
    exited_cost: Cost,
}

impl Process {
    /// Creates a stopped controller whose configuration file is in `folder`.
    pub fn new(controller: ControllerId, folder: &Path) -> Self {
        let (configuration_file, address) =
            (folder.join(format!("n{controller}.json")), watch::Sender::new(None));
        Process { controller, configuration_file, child: None, address, exited_cost: Cost::default() }
    }

    /// Returns a receiver of the address that collectors connect to.
    pub fn address(&self) -> watch::Receiver<Option<SocketAddr>> {
        self.address.subscribe()
    }

    /// Writes the configuration file, with the addresses of relay and discovery.
    pub fn configure(&self, plan: &Plan, addresses: Addresses) -> std::io::Result<()> {
        let mut configuration = plan.configuration(self.controller);
        configuration["distributor"]["address"] = json!(addresses.relay.to_string());
        configuration["discovery"] = json!(addresses.discovery.to_string());
        std::fs::write(&self.configuration_file, configuration.to_string())
    }

    /// Starts the program.
    pub fn start(&mut self, plan: &Plan) -> Result<(), ManyError> {
        let mut command = Command::new(&plan.program);
        command.env_clear().env("PROXY_CONFIG", &self.configuration_file).kill_on_drop(true);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let child =
            command.spawn().map_err(|error| ManyError::Start { program: plan.program.clone(), error })?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the controller has answered a ping, and publishes its address to the collectors.
    pub async fn wait_until_ready(&mut self, tracker: &Arc<Tracker>) -> Result<(), ManyError> {
        let not_serving = ManyError::NotServing { controller: self.controller };
        let stderr = self.child.as_mut().and_then(|child| child.stderr.take());
        let Some(stderr) = stderr else { return Err(not_serving) };
        let mut lines = BufReader::new(stderr).lines();
        let address = loop {
            match lines.next_line().await {
                Ok(Some(line)) => {
                    if let Some(address) = listening_address(&line) {
                        break address;
                    }
                }
                _ => return Err(not_serving),
            }
        };
        tokio::spawn(discard_log(lines));
        while ping(address).await.is_err() {
            sleep(PING_RETRY_DELAY).await;
        }
        _ = tracker.record_condition(self.controller, Condition::PingAnswered);
        self.address.send_replace(Some(address));
        Ok(())
    }

    /// Sends a signal to the process if it runs.
    pub fn signal(&self, signal: Signal) {
        let process = self.child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(id as i32));
        if let Some(process) = process {
            // The process may have exited; `wait_for_exit` handles that.
            _ = kill_process(process, signal);
        }
    }

    /// Waits for the exit of the process after SIGTERM, and kills it if it does not exit within the grace period.
    pub async fn wait_for_exit(&mut self) {
        self.exited_cost += Cost { memory_kb: 0, threads: 0, ..self.running_cost() };
        self.address.send_replace(None);
        let Some(mut child) = self.child.take() else { return };
        if timeout(SHUTDOWN_GRACE, child.wait()).await.is_err() {
            _ = child.kill().await;
        }
    }

    fn running_cost(&self) -> Cost {
        let process = self.child.as_ref().and_then(Child::id);
        process.and_then(cost::of_process).unwrap_or_default()
    }

    /// Returns the cost of this controller since its first start.
    pub fn cost(&self) -> Cost {
        let running = self.running_cost();
        Cost { processor_time: self.exited_cost.processor_time + running.processor_time, ..running }
    }

    /// Returns true if the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

/// Reads and discards the rest of the log, so that the controller does not block on a full pipe.
async fn discard_log(mut lines: Lines<BufReader<ChildStderr>>) {
    while let Ok(Some(_)) = lines.next_line().await {}
}

async fn ping(address: SocketAddr) -> std::io::Result<()> {
    let mut stream = BufReader::new(TcpStream::connect(address).await?);
    stream.write_all(b"{\"@type\":\"PING\"}\n").await?;
    let mut answer = String::new();
    stream.read_line(&mut answer).await?;
    match answer.contains("PONG") {
        true => Ok(()),
        false => Err(std::io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Returns the most recently built controller program in the folder of this program or of the other build profile.
///
/// # Errors
///
/// When no controller program is found.
pub fn find_program() -> Result<PathBuf, ManyError> {
    let executable = std::env::current_exe().map_err(|_| ManyError::NoProgram)?;
    let folders = executable.ancestors().skip(1).take(3);
    let candidates = folders.flat_map(|folder| {
        ["", "debug", "release"].map(|profile| folder.join(profile).join(CONTROLLER_PROGRAM))
    });
    let programs = candidates.filter_map(|path| {
        let time = std::fs::metadata(&path).ok().filter(std::fs::Metadata::is_file)?.modified().ok()?;
        Some((time, path))
    });
    programs.max().map(|(_, path)| path).ok_or(ManyError::NoProgram)
}
