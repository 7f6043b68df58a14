//! A controller process with an operators' file, an override store and a management API in a temporary folder.

use super::fake_fleet::FakeFleet;
use super::*;
use std::path::PathBuf;
use whinwall_management_api::client::{Client, ClientError, ManagementAddress};
use whinwall_management_api::wire::{ChangeOutcome, KindName, OverrideItem, SetBody};

/// A controller process that is connected to a [`FakeFleet`].
pub struct ManagedController {
    pub folder: tempfile::TempDir,
    pub fleet: FakeFleet,
    pub program: Option<ControllerProcess>,
    /// Limit on cores in the configuration file, as set by the platform.
    pub granted_cores: f64,
    pub memory_mb: f64,
}

/// The body of a request that takes a replica out of service for `duration`.
pub fn out_of_service(replica: &str, duration: &str) -> SetBody {
    let (author, reason) = ("mb".into(), "disk".into());
    SetBody {
        kind: KindName::Out,
        replica: replica.into(),
        factor: None,
        slices: None,
        author,
        reason,
        duration: duration.into(),
    }
}

impl ManagedController {
    /// Starts a controller without overrides, on a fake fleet with three proxies.
    pub fn start(replicas: usize, slices: usize) -> Self {
        let (folder, fleet) = (tempfile::tempdir().unwrap(), FakeFleet::start(replicas, slices, 3));
        let mut managed =
            ManagedController { folder, fleet, program: None, granted_cores: 8.0, memory_mb: 192.0 };
        managed.write_operators_file("<overrides/>");
        managed.restart();
        managed
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes the operators' file with these overrides.
    pub fn write_operators_file(&self, overrides: &str) {
        let (store, socket) = (self.path("store"), self.path("m.sock"));
        let text = format!(
            "<operators version=\"1\">\n<log form=\"text\"/>\n<store folder=\"{}\"/>\n<management socket=\"{}\"/>\n{overrides}\n</operators>",
            store.display(),
            socket.display()
        );
        std::fs::write(self.path("operators.xml"), text).unwrap();
    }

    /// Writes the configuration file. Returns it with a command that starts the controller.
    pub fn command(&self) -> (Command, ConfigFile) {
        let mut file = example_config();
        file["distributor"]["address"] = json!(self.fleet.relay.to_string());
        file["limits"]["cores"] = json!(self.granted_cores);
        file["limits"]["memory_mb"] = json!(self.memory_mb);
        let file = ConfigFile::write(&file.to_string());
        let mut command = command(&file);
        command.env("PROXY_DISCOVERY", self.fleet.discovery.to_string());
        command.arg("--operators").arg(self.path("operators.xml"));
        (command, file)
    }

    /// Kills the process if one runs, starts a process, and waits until it has read the override store and the relay
    /// snapshot.
    pub fn restart(&mut self) {
        self.program = None;
        let (command, file) = self.command();
        self.spawn(command, file);
        self.wait_for_log("override store read");
        self.wait_for_log("relay snapshot complete");
    }

    pub fn spawn(&mut self, command: Command, file: ConfigFile) {
        self.program = Some(ControllerProcess::spawn(command, file));
    }

    pub fn program(&mut self) -> &mut ControllerProcess {
        self.program.as_mut().unwrap()
    }

    /// Waits for a log line that contains `text`.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        self.program().log.wait(text, |line: &String| line.contains(text))
    }

    /// Calls `send` with a client of the management API.
    pub fn request<T>(&self, send: impl AsyncFn(&Client) -> T) -> T {
        let address = ManagementAddress::Socket(self.path("m.sock"));
        actix_rt::System::new().block_on(async { send(&Client::new(address, None)).await })
    }

    pub fn set(&self, id: &str, set: &SetBody) -> Result<ChangeOutcome, ClientError> {
        self.request(async |client| client.set(id, set).await)
    }

    pub fn clear(&self, id: &str) -> Result<ChangeOutcome, ClientError> {
        self.request(async |client| client.clear(id, "mb").await)
    }

    pub fn list(&self) -> Vec<OverrideItem> {
        self.request(async |client| client.list().await).unwrap().overrides
    }

    pub fn item(&self, id: &str) -> OverrideItem {
        self.list().into_iter().find(|item| item.id == id).unwrap_or_else(|| panic!("{id} is not listed"))
    }

    /// Polls the list of overrides until the override satisfies `condition`.
    pub fn wait_for_item(&self, id: &str, condition: impl Fn(&OverrideItem) -> bool) -> OverrideItem {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            let item = self.item(id);
            if condition(&item) {
                return item;
            }
            assert!(Instant::now() < end, "override does not reach the expected state: {item:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}
