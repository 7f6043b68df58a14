//! The attacked programs and their listeners.

use super::protocol::{Protocol, TOKEN};
use super::stream::Endpoint;
use crate::program::SoakError;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use whinwall_scale_tests::fakes::discovery::Discovery;
use whinwall_scale_tests::fakes::fleet::FleetSize;
use whinwall_scale_tests::fakes::relay::Relay;
use whinwall_scale_tests::fakes::Traffic;
use whinwall_scale_tests::process::RunningProgram;
use whinwall_scale_tests::programs::release_program;

/// The time limit for the start of a program.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A listener of one of the programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// The controller's own address, for collectors.
    Controller,
    /// The controller's management API at a Unix socket.
    ManagementSocket,
    /// The controller's management API at a TCP address.
    ManagementAddress,
    /// The aggregator's address, for collectors.
    Aggregator,
    /// The aggregator's metrics.
    AggregatorMetrics,
}

impl Listener {
    /// All listeners.
    pub const ALL: [Listener; 5] = [
        Listener::Controller,
        Listener::ManagementSocket,
        Listener::ManagementAddress,
        Listener::Aggregator,
        Listener::AggregatorMetrics,
    ];
}

impl fmt::Display for Listener {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Listener::Controller => "controller",
            Listener::ManagementSocket => "management API by socket",
            Listener::ManagementAddress => "management API by address",
            Listener::Aggregator => "aggregator",
            Listener::AggregatorMetrics => "aggregator's metrics",
        })
    }
}

/// A running program with its fake services.
pub struct Target {
    listener: Listener,
    process: RunningProgram,
    endpoint: Endpoint,
    _setup: Setup,
}

/// A port that was free a moment ago, for listeners whose port has to be in a file.
fn free_address() -> Result<SocketAddr, SoakError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(SoakError::io("free port"))?;
    listener.local_addr().map_err(SoakError::io("free port"))
}

fn fleet() -> FleetSize {
    FleetSize { replicas: 30, zones: 3, slices: 20, proxies: 20, controllers: 1, ..FleetSize::target() }
}

/// The files, services and addresses of a program that is about to start.
struct Setup {
    size: FleetSize,
    folder: tempfile::TempDir,
    discovery: Discovery,
    relay: Relay,
    /// The address of the management API or of the aggregator's metrics.
    second_address: SocketAddr,
}

impl Setup {
    fn new() -> Result<Self, SoakError> {
        let (size, traffic) = (fleet(), Arc::new(Traffic::default()));
        let relay = Relay::start(&size, &traffic).map_err(SoakError::io("relay"))?;
        let discovery = Discovery::start(&size, &traffic).map_err(SoakError::io("discovery"))?;
        let folder = tempfile::tempdir().map_err(SoakError::io("temporary folder"))?;
        Ok(Setup { size, folder, discovery, relay, second_address: free_address()? })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write(&self, name: &str, text: &str) -> Result<(), SoakError> {
        std::fs::write(self.path(name), text).map_err(SoakError::io("configuration"))
    }

    fn controller(&self, listener: Listener) -> Result<Command, SoakError> {
        let mut configuration = self.size.configuration(self.relay.address());
        configuration["listen"] = "127.0.0.1:0".into();
        self.write("configuration.json", &configuration.to_string())?;
        self.write("token", TOKEN)?;
        let (store, token, socket) = (self.path("store"), self.path("token"), self.path("m.sock"));
        let management = if listener == Listener::ManagementAddress {
            format!("address=\"{}\" token-file=\"{}\"", self.second_address, token.display())
        } else {
            format!("socket=\"{}\"", socket.display())
        };
        let store = format!("<store folder=\"{}\"/>", store.display());
        self.write(
            "operators.xml",
            &format!("<operators version=\"1\">{store}<management {management}/></operators>"),
        )?;
        let mut command = Command::new(release_program("whinwall-controller", "whinwall-controller")?);
        command.env_clear().env("PROXY_CONFIG", self.path("configuration.json"));
        command.env("PROXY_DISCOVERY", self.discovery.address().to_string());
        Ok(command)
    }

    fn aggregator(&self) -> Result<Command, SoakError> {
        let controller = free_address()?;
        let members = format!(
            "<governor name=\"g0\" address=\"{controller}\" slices=\"0-19\"/>\
             <aggregator name=\"m0\" address=\"127.0.0.1:7\"/>"
        );
        self.write(
            "operators.xml",
            &format!(
                "<operators version=\"1\"><subsetting subset=\"2\" bytes-per-second=\"27000\">{members}\
                 </subsetting></operators>"
            ),
        )?;
        let mut command = Command::new(release_program("whinwall-aggregation", "whinwall-aggregator")?);
        command.args(["--name", "m0", "--listen", "127.0.0.1:0"]);
        command.args(["--discovery", &self.discovery.address().to_string()]);
        command.args(["--metrics", &self.second_address.to_string()]);
        Ok(command)
    }
}

impl Target {
    /// Starts the program of a listener.
    ///
    /// # Errors
    /// [`SoakError`] if the program or a fake service cannot be started.
    pub fn start(listener: Listener) -> Result<Self, SoakError> {
        let setup = Setup::new()?;
        let is_aggregator = matches!(listener, Listener::Aggregator | Listener::AggregatorMetrics);
        let mut command = if is_aggregator { setup.aggregator()? } else { setup.controller(listener)? };
        command.arg("--operators").arg(setup.path("operators.xml"));
        let process = RunningProgram::start(command)?;
        let address = process.address()?;
        if !is_aggregator {
            process.wait_for_log_line("override store read", START_TIMEOUT);
        }
        let endpoint = match listener {
            Listener::Controller | Listener::Aggregator => Endpoint::Tcp(address),
            Listener::ManagementSocket => Endpoint::Unix(setup.path("m.sock")),
            Listener::ManagementAddress | Listener::AggregatorMetrics => Endpoint::Tcp(setup.second_address),
        };
        Ok(Target { listener, process, endpoint, _setup: setup })
    }

    pub(super) fn endpoint(&self) -> Endpoint {
        self.endpoint.clone()
    }

    pub(super) fn protocol(&self) -> Protocol {
        match self.listener {
            Listener::Controller | Listener::Aggregator => Protocol::Lines,
            Listener::ManagementSocket | Listener::ManagementAddress => Protocol::Management,
            Listener::AggregatorMetrics => Protocol::Metrics,
        }
    }

    /// Returns the peak of the program's resident memory since its start, in bytes.
    pub(super) fn peak_bytes(&self) -> Result<u64, SoakError> {
        Ok(self.process.usage()?.resident_peak)
    }

    pub(super) fn is_running(&mut self) -> Result<bool, SoakError> {
        Ok(self.process.wait_for_exit(Duration::ZERO)?.is_none())
    }
}
