//! The program with an operators' file, a store and a management front in a folder of its own.

use super::world::World;
use super::*;
use std::path::PathBuf;
use whinwall_management_api::client::{Client, ClientError, ManagementAddress};
use whinwall_management_api::wire::{ChangeOutcome, KindName, OverrideItem, SetBody};

pub struct Managed {
    pub folder: tempfile::TempDir,
    pub world: World,
    pub program: Option<Program>,
    /// Cores that the platform lends.
    pub lent: f64,
    pub memory_mb: f64,
}

pub fn out(replica: &str, lasts: &str) -> SetBody {
    let (author, reason) = ("mb".into(), "disk".into());
    SetBody {
        kind: KindName::Out,
        replica: replica.into(),
        factor: None,
        slices: None,
        author,
        reason,
        duration: lasts.into(),
    }
}

impl Managed {
    pub fn start(replicas: usize, slices: usize) -> Self {
        let (folder, world) = (tempfile::tempdir().unwrap(), World::start(replicas, slices, 3));
        let mut managed = Managed { folder, world, program: None, lent: 8.0, memory_mb: 192.0 };
        managed.operators("<overrides/>");
        managed.restart();
        managed
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes the operators' file with these overrides.
    pub fn operators(&self, overrides: &str) {
        let (store, socket) = (self.path("store"), self.path("m.sock"));
        let text = format!(
            "<operators version=\"1\">\n<log form=\"text\"/>\n<store folder=\"{}\"/>\n<management socket=\"{}\"/>\n{overrides}\n</operators>",
            store.display(),
            socket.display()
        );
        std::fs::write(self.path("operators.xml"), text).unwrap();
    }

    pub fn command(&self) -> (Command, ConfigurationFile) {
        let mut file = configuration();
        file["distributor"]["address"] = json!(self.world.relay.to_string());
        file["limits"]["cores"] = json!(self.lent);
        file["limits"]["memory_mb"] = json!(self.memory_mb);
        let file = ConfigurationFile::write(&file.to_string());
        let mut command = command(&file);
        command.env("PROXY_DISCOVERY", self.world.discovery.to_string());
        command.arg("--operators").arg(self.path("operators.xml"));
        (command, file)
    }

    /// Kills it, if it runs, and starts it again: it is there once its store was read.
    pub fn restart(&mut self) {
        self.program = None;
        let (command, file) = self.command();
        self.spawn(command, file);
        self.log("override store read");
        self.log("relay snapshot complete");
    }

    pub fn spawn(&mut self, command: Command, file: ConfigurationFile) {
        self.program = Some(Program::spawn(command, file));
    }

    pub fn program(&mut self) -> &mut Program {
        self.program.as_mut().unwrap()
    }

    pub fn log(&mut self, with: &str) -> String {
        self.program().log.wait(with, |line: &String| line.contains(with))
    }

    pub fn ask<T>(&self, call: impl AsyncFn(&Client) -> T) -> T {
        let zone = ManagementAddress::Socket(self.path("m.sock"));
        actix_rt::System::new().block_on(async { call(&Client::new(zone, None)).await })
    }

    pub fn set(&self, id: &str, set: &SetBody) -> Result<ChangeOutcome, ClientError> {
        self.ask(async |client| client.set(id, set).await)
    }

    pub fn clear(&self, id: &str) -> Result<ChangeOutcome, ClientError> {
        self.ask(async |client| client.clear(id, "mb").await)
    }

    pub fn list(&self) -> Vec<OverrideItem> {
        self.ask(async |client| client.list().await).unwrap().overrides
    }

    pub fn item(&self, id: &str) -> OverrideItem {
        self.list().into_iter().find(|item| item.id == id).unwrap_or_else(|| panic!("{id} is not listed"))
    }

    /// Asks until the list shows it so.
    pub fn becomes(&self, id: &str, fits: impl Fn(&OverrideItem) -> bool) -> OverrideItem {
        let end = Instant::now() + PATIENCE;
        loop {
            let item = self.item(id);
            if fits(&item) {
                return item;
            }
            assert!(Instant::now() < end, "{item:?} stays as it is");
            thread::sleep(Duration::from_millis(20));
        }
    }
}
