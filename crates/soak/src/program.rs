//! The program under test: its files, its processes on the same store, and the faults injected into a process.

use crate::plan::FaultKind;
use rustix::process::{getrlimit, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, ExitStatus};
use std::time::Duration;
use whinwall_scale_tests::process::{ProcessError, RunningProgram, Usage};

/// The time limit from process start until the override store has been read.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The limit of active overrides and of listed ended overrides, the default of the operators' file.
pub(crate) const MAX_LISTED_ENDED: usize = 1000;
/// Ignores SIGXFSZ, which would end the process: writes beyond the file size limit fail with EFBIG instead.
const IGNORE_FILE_SIZE_SIGNAL: &str = "trap '' XFSZ; exec \"$@\"";

/// A failure of the soak test itself. Violations are not errors.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The program could not be started or controlled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A fake service could not be started, or a file not written.
    #[error("{resource}: {source}")]
    Io {
        /// The service or file.
        resource: &'static str,
        /// The cause.
        source: std::io::Error,
    },
}

impl SoakError {
    pub(crate) fn io(resource: &'static str) -> impl FnOnce(std::io::Error) -> SoakError {
        move |source| SoakError::Io { resource, source }
    }
}

/// The resources used by a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResourceUsage {
    pub descriptors: usize,
    pub threads: u64,
    pub resident_bytes: u64,
}

/// The files of the program, which persist across restarts.
pub(crate) struct Installation {
    folder: tempfile::TempDir,
    program: PathBuf,
    discovery: SocketAddr,
}

impl Installation {
    pub fn new(program: PathBuf, mut configuration: Value, discovery: SocketAddr) -> Result<Self, SoakError> {
        let folder = tempfile::tempdir().map_err(SoakError::io("temporary folder"))?;
        configuration["listen"] = "127.0.0.1:0".into();
        let installation = Installation { folder, program, discovery };
        let write = |name: &str, text: String| {
            std::fs::write(installation.path(name), text).map_err(SoakError::io("configuration"))
        };
        write("configuration.json", configuration.to_string())?;
        let (store, socket) = (installation.path("store"), installation.socket());
        write(
            "operators.xml",
            format!(
                "<operators version=\"1\">\n<store folder=\"{}\"/>\n<management socket=\"{}\"/>\n\
                 <overrides most=\"{MAX_LISTED_ENDED}\"/>\n</operators>\n",
                store.display(),
                socket.display()
            ),
        )?;
        Ok(installation)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn socket(&self) -> PathBuf {
        self.path("m.sock")
    }

    /// Starts the program and waits until it listens and has read its override store.
    pub fn start(&self) -> Result<RunningController, SoakError> {
        let mut command = Command::new("sh");
        command.arg("-c").arg(IGNORE_FILE_SIZE_SIGNAL).arg("sh").arg(&self.program);
        command.arg("--operators").arg(self.path("operators.xml"));
        command.env_clear().env("PROXY_CONFIG", self.path("configuration.json"));
        command.env("PROXY_DISCOVERY", self.discovery.to_string());
        let process = RunningProgram::start(command)?;
        let address = process.address()?;
        process.wait_for_log_line("override store read", START_TIMEOUT);
        Ok(RunningController { process, address })
    }
}

/// A running process of the program.
pub(crate) struct RunningController {
    process: RunningProgram,
    pub address: SocketAddr,
}

impl RunningController {
    pub fn signal(&self, signal: Signal) {
        // The process may have exited already.
        _ = self.process.signal(signal);
    }

    pub fn wait_for_exit(&mut self, within: Duration) -> Result<Option<ExitStatus>, SoakError> {
        Ok(self.process.wait_for_exit(within)?)
    }

    pub fn log_lines(&self) -> Vec<String> {
        self.process.take_log_lines()
    }

    fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.process.id() as i32)
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).map_or(0, Iterator::count)
    }

    pub fn resource_usage(&self) -> Result<ResourceUsage, SoakError> {
        let Usage { resident, threads, .. } = self.process.usage()?;
        Ok(ResourceUsage { descriptors: self.descriptors(), threads, resident_bytes: resident })
    }

    pub fn begin_fault(&self, kind: FaultKind) {
        match kind {
            FaultKind::DiskFull => self.set_soft_limit(Resource::Fsize, Some(0)),
            FaultKind::DescriptorsShort => {
                self.set_soft_limit(Resource::Nofile, Some(self.descriptors() as u64));
            }
            FaultKind::Stopped => self.signal(Signal::STOP),
        }
    }

    pub fn end_fault(&self, kind: FaultKind) {
        match kind {
            FaultKind::DiskFull => self.set_soft_limit(Resource::Fsize, getrlimit(Resource::Fsize).current),
            FaultKind::DescriptorsShort => {
                self.set_soft_limit(Resource::Nofile, getrlimit(Resource::Nofile).current);
            }
            FaultKind::Stopped => self.signal(Signal::CONT),
        }
    }

    /// Sets a soft resource limit of the process. The hard limit stays, so that the soft one can be raised again.
    fn set_soft_limit(&self, resource: Resource, current: Option<u64>) {
        let maximum = getrlimit(resource).maximum;
        // The process may have exited already.
        _ = prlimit(self.pid(), resource, Rlimit { current, maximum });
    }
}
