//! Starts programs of the workspace, reads their resource usage from `/proc`, and ends them by process id.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for start-up, long enough for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for the answer to a PING, long enough for a busy machine.
const PING_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks for the exit of a program.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Text of the log line that controllers and aggregators write once they listen. The address follows, up to the next
/// space.
const LISTENING_LOG_TEXT: &str = "listening for collectors address=";

/// Returns the listen address if `line` is the log line that announces it.
pub(crate) fn listening_address(line: &str) -> Option<SocketAddr> {
    line.split_once(LISTENING_LOG_TEXT)?.1.split(' ').next()?.trim().parse().ok()
}

/// The reason why a process could not be started or observed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// An operation on a file, pipe, socket or process failed.
    #[error("{operation}: {source}")]
    Io {
        /// The failed operation or the path of the file.
        operation: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The program does not exist, or cargo failed to build it.
    #[error("{0} not found: build it with cargo build --release")]
    NotBuilt(PathBuf),
    /// The program exited, or did not log its listen address before the time limit.
    #[error("program exited or did not listen within {START_TIMEOUT:?}; last log line: {0:?}")]
    NoStart(String),
    /// A file of `/proc` lacks a field, or the field does not parse.
    #[error("{0}: missing or malformed field {1}")]
    MalformedProcFile(String, &'static str),
    /// A connection did not answer a PING with PONG.
    #[error("expected PONG, got {0:?}")]
    NoPong(String),
}

pub(crate) fn io_error(operation: impl Into<String>) -> impl FnOnce(std::io::Error) -> ProcessError {
    let operation = operation.into();
    |source| ProcessError::Io { operation, source }
}

/// The resource usage of a process so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time of all threads.
    pub processor_time: Duration,
    /// Resident memory, in bytes (VmRSS).
    pub resident: u64,
    /// Peak resident memory, in bytes (VmHWM).
    pub resident_peak: u64,
    /// The current number of threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the usage of the process with this id. CPU time has a resolution of nanoseconds if the kernel offers
    /// `schedstat`; otherwise it is read from `stat` in clock ticks, usually of 10 ms.
    ///
    /// # Errors
    ///
    /// When `/proc` has no such process, or an expected field is missing or malformed.
    pub fn of(id: u32) -> Result<Usage, ProcessError> {
        let path = format!("/proc/{id}/status");
        let status = std::fs::read_to_string(&path).map_err(io_error(&path))?;
        let field = |key: &'static str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key));
            let number = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
            number.ok_or(ProcessError::MalformedProcFile(path.clone(), key))
        };
        let processor_time = match processor_time_from_scheduler(id) {
            Some(time) => time,
            None => processor_time_from_ticks(id)?,
        };
        Ok(Usage {
            processor_time,
            resident: field("VmRSS:")? << 10,
            resident_peak: field("VmHWM:")? << 10,
            threads: field("Threads:")?,
        })
    }

    /// Reads the usage of this process: the harness with all its fakes.
    ///
    /// # Errors
    ///
    /// As for [`Usage::of`].
    pub fn of_self() -> Result<Usage, ProcessError> {
        Usage::of(std::process::id())
    }
}

/// Returns the CPU time of all threads that are alive.
fn processor_time_from_scheduler(id: u32) -> Option<Duration> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).ok()?;
    let mut total = Duration::ZERO;
    for thread in threads {
        // The file is missing if the thread ended after the folder was listed.
        let Ok(text) = std::fs::read_to_string(thread.ok()?.path().join("schedstat")) else { continue };
        total += Duration::from_nanos(text.split_whitespace().next()?.parse().ok()?);
    }
    (!total.is_zero()).then_some(total)
}

/// Returns the CPU time of the calling thread in nanoseconds; `None` if the kernel does not offer `schedstat`.
pub fn current_thread_processor_time() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    Some(Duration::from_nanos(text.split_whitespace().next()?.parse().ok()?))
}

/// Returns the CPU time in user and system mode, measured in clock ticks.
fn processor_time_from_ticks(id: u32) -> Result<Duration, ProcessError> {
    const USER_TIME_FIELD: usize = 11;
    const SYSTEM_TIME_FIELD: usize = 12;
    let path = format!("/proc/{id}/stat");
    let stat = std::fs::read_to_string(&path).map_err(io_error(&path))?;
    // The process name in parentheses may contain spaces, so fields are counted from the closing parenthesis.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let field = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
    let ticks = field(USER_TIME_FIELD).zip(field(SYSTEM_TIME_FIELD)).map(|(user, system)| user + system);
    let ticks = ticks.ok_or(ProcessError::MalformedProcFile(path, "utime or stime"))?;
    Ok(Duration::from_secs_f64(ticks as f64 / rustix::param::clock_ticks_per_second() as f64))
}

/// Returns the machine's load average over one minute, including unrelated processes; NaN if the kernel does not offer
/// it.
pub fn machine_load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|load| load.parse().ok()).unwrap_or(f64::NAN)
}

/// The parameters of a controller's start.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// The content of the configuration file; the listen address is replaced by a free port on loopback.
    pub configuration: Value,
    /// The address of its discovery agent.
    pub discovery: SocketAddr,
    /// The content of the operators' file; `None` to start without one.
    pub operators: Option<String>,
}

/// A running program whose log lines are read. It is killed and waited for when dropped.
pub struct RunningProgram {
    child: Child,
    log: Receiver<String>,
    started: Instant,
}

impl RunningProgram {
    /// Starts the program.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start(mut command: Command) -> Result<RunningProgram, ProcessError> {
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let started = Instant::now();
        let mut child = command.spawn().map_err(io_error(command.get_program().display().to_string()))?;
        let (sender, log) = channel();
        if let Some(stderr) = child.stderr.take() {
            let lines = BufReader::new(stderr).lines();
            thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        }
        Ok(RunningProgram { child, log, started })
    }

    /// Waits until the program logs its listen address, and returns the address.
    ///
    /// # Errors
    ///
    /// When the program exits, or does not log its address within 30 s of its start.
    pub fn address(&self) -> Result<SocketAddr, ProcessError> {
        let deadline = self.started + START_TIMEOUT;
        let mut last_line = String::new();
        while let Ok(line) = self.log.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            if let Some(address) = listening_address(&line) {
                return Ok(address);
            }
            last_line = line;
        }
        Err(ProcessError::NoStart(last_line))
    }

    /// Returns the time at which the program was started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the resource usage so far.
    ///
    /// # Errors
    ///
    /// As for [`Usage::of`].
    pub fn usage(&self) -> Result<Usage, ProcessError> {
        Usage::of(self.id())
    }

    /// Returns the lines logged since the previous call.
    pub fn take_log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Waits until the program logs a line that contains `text`; returns false if it does not within the given time.
    pub fn wait_for_log_line(&self, text: &str, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        let next = || self.log.recv_timeout(deadline.saturating_duration_since(Instant::now())).ok();
        std::iter::from_fn(next).any(|line| line.contains(text))
    }

    /// Makes the program reload its files (SIGHUP).
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn reload(&self) -> Result<(), ProcessError> {
        self.signal(Signal::HUP)
    }

    /// Sends a signal to the program.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(|error| io_error(format!("{signal:?}"))(error.into()))
    }

    /// Waits for the program's exit and returns its status; returns `None` if it still runs after the given time.
    ///
    /// # Errors
    ///
    /// When the status of the process cannot be read.
    pub fn wait_for_exit(&mut self, within: Duration) -> Result<Option<ExitStatus>, ProcessError> {
        let deadline = Instant::now() + within;
        loop {
            let status = self.child.try_wait().map_err(io_error("wait for exit"))?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// A running controller process. It is killed when dropped.
pub struct Controller {
    /// The process.
    pub process: RunningProgram,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Controller {
    /// Starts a controller and waits until it listens.
    ///
    /// # Errors
    ///
    /// When its files cannot be written, the program cannot be started, or it does not listen in time.
    pub fn start(launch: &Launch) -> Result<Controller, ProcessError> {
        let folder = tempfile::tempdir().map_err(io_error("create temporary folder"))?;
        let mut configuration = launch.configuration.clone();
        configuration["listen"] = "127.0.0.1:0".into();
        let path = folder.path().join("configuration.json");
        std::fs::write(&path, configuration.to_string()).map_err(io_error("write configuration file"))?;
        let mut command = Command::new(&launch.program);
        command.env_clear().env("PROXY_CONFIG", &path).env("PROXY_DISCOVERY", launch.discovery.to_string());
        if let Some(text) = &launch.operators {
            let path = folder.path().join("operators.xml");
            std::fs::write(&path, text).map_err(io_error("write operators' file"))?;
            command.arg("--operators").arg(path);
        }
        let process = RunningProgram::start(command)?;
        let address = process.address()?;
        Ok(Controller { process, address, _folder: folder })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time at which the controller was started.
    pub fn started(&self) -> Instant {
        self.process.started()
    }

    /// Reads the resource usage so far.
    ///
    /// # Errors
    ///
    /// As for [`Usage::of`].
    pub fn usage(&self) -> Result<Usage, ProcessError> {
        self.process.usage()
    }

    /// Returns the lines logged since the previous call.
    pub fn take_log_lines(&self) -> Vec<String> {
        self.process.take_log_lines()
    }

    /// Opens a connection, sends a PING and waits for the PONG.
    ///
    /// # Errors
    ///
    /// When the connection fails, or is answered by something other than PONG.
    pub fn ping(&self) -> Result<(), ProcessError> {
        let stream = TcpStream::connect(self.address).map_err(io_error("connect"))?;
        ping(&stream)
    }
}

/// Sends a PING on an open connection and waits for the PONG. The PONG shows that the peer has read all lines that were
/// sent before the PING.
///
/// # Errors
///
/// When the connection fails, or is answered by something other than PONG.
pub fn ping(mut stream: &TcpStream) -> Result<(), ProcessError> {
    stream.set_read_timeout(Some(PING_TIMEOUT)).map_err(io_error("PING"))?;
    stream.write_all(b"{\"@type\":\"PING\"}\n").map_err(io_error("PING"))?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).map_err(io_error("PONG"))?;
    answer.contains("PONG").then_some(()).ok_or(ProcessError::NoPong(answer))
}
