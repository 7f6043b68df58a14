//! Real controller processes: building, starting, observing through `/proc`, and ending them by their id.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::ffi::OsString;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time for a start, with a wide margin for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for the answer to a PING, with the same margin.
const PING_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks whether a program has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The package of the controller, and its program.
const CONTROLLER: &str = "whinwall-controller";
/// What a program of whinwall's logs once it listens; its address follows, up to a blank.
const LISTENING: &str = "listening for collectors address=";

/// The address in a line of the log that says that a program listens.
pub(crate) fn listening_address(line: &str) -> Option<SocketAddr> {
    line.split_once(LISTENING)?.1.split(' ').next()?.trim().parse().ok()
}

/// Why a process could not be started or observed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A file, pipe or socket failed.
    #[error("{what}: {source}")]
    Io {
        /// What was attempted.
        what: String,
        /// How it failed.
        source: std::io::Error,
    },
    /// The program is not there, or cargo could not build it.
    #[error("{0} is not there: build it with cargo build --release")]
    NotBuilt(PathBuf),
    /// It ended, or said nothing, before it served.
    #[error("the program did not serve within {START_TIMEOUT:?}; its log ends with {0:?}")]
    NoStart(String),
    /// `/proc` shows something unexpected.
    #[error("{0} has no usable {1}")]
    Unreadable(String, &'static str),
    /// A connection did not answer a PING with PONG.
    #[error("no PONG came, but {0:?}")]
    NoPong(String),
}

fn io_error(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ProcessError {
    let what = what.into();
    |source| ProcessError::Io { what, source }
}

/// The controller's program beside the running executable; under cargo it is built first.
///
/// # Errors
///
/// As for [`program`].
pub fn controller_program() -> Result<PathBuf, ProcessError> {
    program(CONTROLLER, CONTROLLER)
}

/// A program of the workspace beside the running executable. Under cargo it is built first, so that it is never stale.
///
/// # Errors
///
/// When the path of this executable is unknown, cargo fails to build the program, or the program is missing.
pub fn program(package: &str, name: &str) -> Result<PathBuf, ProcessError> {
    let own = std::env::current_exe().map_err(io_error("own executable"))?;
    let folder = own.parent().unwrap_or(Path::new("."));
    // Executables of tests are one folder further down.
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    let program = folder.join(name);
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(cargo, package, name, folder)?;
    }
    program.is_file().then_some(program.clone()).ok_or(ProcessError::NotBuilt(program))
}

fn build(cargo: OsString, package: &str, name: &str, folder: &Path) -> Result<(), ProcessError> {
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--jobs", "3", "--package", package, "--bin", name]);
    if folder.ends_with("release") {
        command.arg("--release");
    }
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    let status = command.status().map_err(io_error("cargo build"))?;
    status.success().then_some(()).ok_or_else(|| ProcessError::NotBuilt(folder.join(name)))
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time of all its threads.
    pub processor_time: Duration,
    /// Memory resident now, in bytes (VmRSS).
    pub resident: u64,
    /// The most memory that was ever resident, in bytes (VmHWM).
    pub resident_peak: u64,
    /// Threads now.
    pub threads: u64,
}

impl Usage {
    /// Reads the usage of the process with this id. Its CPU time comes in nanoseconds from `schedstat` where the
    /// kernel offers it, otherwise in ticks of 10 ms from `stat`.
    ///
    /// # Errors
    ///
    /// When `/proc` has no such process, or a file of it lacks an expected field.
    pub fn of(id: u32) -> Result<Usage, ProcessError> {
        let path = format!("/proc/{id}/status");
        let status = std::fs::read_to_string(&path).map_err(io_error(&path))?;
        let figure = |key: &'static str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key));
            let number = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
            number.ok_or(ProcessError::Unreadable(path.clone(), key))
        };
        let processor_time = match processor_time_from_scheduler(id) {
            Some(time) => time,
            None => processor_time_from_ticks(id)?,
        };
        Ok(Usage {
            processor_time,
            resident: figure("VmRSS:")? << 10,
            resident_peak: figure("VmHWM:")? << 10,
            threads: figure("Threads:")?,
        })
    }

    /// Usage of the running process itself: the harness with all its stand-ins.
    ///
    /// # Errors
    ///
    /// As for [`Usage::of`].
    pub fn of_self() -> Result<Usage, ProcessError> {
        Usage::of(std::process::id())
    }
}

/// The CPU time of all threads that are alive.
fn processor_time_from_scheduler(id: u32) -> Option<Duration> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).ok()?;
    let mut total = Duration::ZERO;
    for thread in threads {
        // A thread that ends between the two steps has no file any more.
        let Ok(text) = std::fs::read_to_string(thread.ok()?.path().join("schedstat")) else { continue };
        total += Duration::from_nanos(text.split_whitespace().next()?.parse().ok()?);
    }
    (!total.is_zero()).then_some(total)
}

/// The CPU time of the calling thread so far, where the kernel offers it in nanoseconds.
pub fn current_thread_processor_time() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    Some(Duration::from_nanos(text.split_whitespace().next()?.parse().ok()?))
}

/// CPU time in user and system mode, in ticks.
fn processor_time_from_ticks(id: u32) -> Result<Duration, ProcessError> {
    const USER: usize = 11;
    const SYSTEM: usize = 12;
    let path = format!("/proc/{id}/stat");
    let stat = std::fs::read_to_string(&path).map_err(io_error(&path))?;
    // The name in brackets may hold spaces; the fields are counted behind it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let field = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok());
    let count = field(USER).zip(field(SYSTEM)).map(|(user, system)| user + system);
    let count = count.ok_or(ProcessError::Unreadable(path, "times"))?;
    Ok(Duration::from_secs_f64(count as f64 / rustix::param::clock_ticks_per_second() as f64))
}

/// The machine's load average over one minute, of whatever runs on it; not a number where the kernel does not offer it.
pub fn machine_load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|load| load.parse().ok()).unwrap_or(f64::NAN)
}

/// What a controller is started with.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// Its configuration file; the listen address is replaced by a free port on loopback.
    pub configuration: Value,
    /// Where its discovery agent listens.
    pub discovery: SocketAddr,
    /// The text of its operators' file, where there is one.
    pub operators: Option<String>,
}

/// A running program that logs lines; it is killed by its id and waited for when dropped.
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
        if let Some(errors) = child.stderr.take() {
            let lines = BufReader::new(errors).lines();
            thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        }
        Ok(RunningProgram { child, log, started })
    }

    /// Waits until it logs the address at which it listens.
    ///
    /// # Errors
    ///
    /// When the program ends, or logs no address within the start timeout.
    pub fn address(&self) -> Result<SocketAddr, ProcessError> {
        let end = self.started + START_TIMEOUT;
        let mut last = String::new();
        while let Ok(line) = self.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if let Some(address) = listening_address(&line) {
                return Ok(address);
            }
            last = line;
        }
        Err(ProcessError::NoStart(last))
    }

    /// When it was started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has used so far.
    ///
    /// # Errors
    ///
    /// As for [`Usage::of`].
    pub fn usage(&self) -> Result<Usage, ProcessError> {
        Usage::of(self.id())
    }

    /// All that it has logged since the previous call.
    pub fn take_log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Waits until it logs a line with this text; false where none comes in time.
    pub fn wait_for_log_line(&self, text: &str, within: Duration) -> bool {
        let end = Instant::now() + within;
        let next = || self.log.recv_timeout(end.saturating_duration_since(Instant::now())).ok();
        std::iter::from_fn(next).any(|line| line.contains(text))
    }

    /// Makes it reload its files (SIGHUP).
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn reload(&self) -> Result<(), ProcessError> {
        self.signal(Signal::HUP)
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(|why| io_error(format!("{signal:?}"))(why.into()))
    }

    /// How it has ended, once it has; none where it still runs after this time.
    ///
    /// # Errors
    ///
    /// When it cannot be waited for.
    pub fn wait_for_exit(&mut self, within: Duration) -> Result<Option<ExitStatus>, ProcessError> {
        let end = Instant::now() + within;
        loop {
            let status = self.child.try_wait().map_err(io_error("wait"))?;
            if status.is_some() || Instant::now() >= end {
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

/// A running controller; it is killed when dropped.
pub struct Controller {
    /// Its process.
    pub process: RunningProgram,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Controller {
    /// Starts it, and waits until it listens.
    ///
    /// # Errors
    ///
    /// When its files cannot be written, the program cannot be started, or it does not listen in time.
    pub fn start(launch: &Launch) -> Result<Controller, ProcessError> {
        let folder = tempfile::tempdir().map_err(io_error("temporary folder"))?;
        let mut configuration = launch.configuration.clone();
        configuration["listen"] = "127.0.0.1:0".into();
        let path = folder.path().join("configuration.json");
        std::fs::write(&path, configuration.to_string()).map_err(io_error("configuration"))?;
        let mut command = Command::new(&launch.program);
        command.env_clear().env("PROXY_CONFIG", &path).env("PROXY_DISCOVERY", launch.discovery.to_string());
        if let Some(text) = &launch.operators {
            let path = folder.path().join("operators.xml");
            std::fs::write(&path, text).map_err(io_error("operators' file"))?;
            command.arg("--operators").arg(path);
        }
        let process = RunningProgram::start(command)?;
        let address = process.address()?;
        Ok(Controller { process, address, _folder: folder })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// When it was started.
    pub fn started(&self) -> Instant {
        self.process.started()
    }

    /// What it has used so far.
    ///
    /// # Errors
    ///
    /// As for [`Usage::of`].
    pub fn usage(&self) -> Result<Usage, ProcessError> {
        self.process.usage()
    }

    /// All that it has logged since the previous call.
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

/// Sends a PING on an open connection and waits for the PONG: all lines sent there before it have been read.
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
