//! What the operators' file switches on: the keeper of overrides and the management front, each on a thread
//! of its own, and who waits for a reply of the controller's.

use std::collections::BTreeMap;
use std::path::PathBuf;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::oneshot;
use whinwall_management_api::messages::Reply;
use whinwall_management_api::server::{self, ManagementServer, PendingRequest};
use whinwall_operator_config::{LogFormat, ManagementEndpoint, OperatorsFile};
use whinwall_override_store::storage_thread::{StorageThread, StoreReply};
use whinwall_override_store::{OverrideStore, WriteBatch};
use whinwall_overrides::RequestId;
use whinwall_runtime::logger::Form;

/// Requests that wait for the loop; more are told to come again.
pub const ROOM: usize = 64;
/// Words of the keeper that wait for the loop; there is one job at a time.
const WORDS: usize = 16;

pub struct Fronts {
    keeper: Option<StorageThread>,
    pub words: Receiver<StoreReply>,
    management: Option<(ManagementEndpoint, ManagementServer)>,
    ask: Sender<PendingRequest>,
    pub asked: Receiver<PendingRequest>,
    waiting: BTreeMap<RequestId, oneshot::Sender<Reply>>,
    tickets: RequestId,
    form: Form,
}

impl Fronts {
    /// A front that can't be opened is an error at the start, and a line in the log later.
    pub fn open(name: &str, file: Option<&OperatorsFile>, form: Form) -> Result<Self, String> {
        let (say, words) = channel(WORDS);
        let (ask, asked) = channel(ROOM);
        let folder: Option<PathBuf> = file.and_then(|file| file.store_folder.clone());
        let keeper = folder.map(|folder| {
            let say = say.clone();
            // Called on the keeper's thread: it alone waits where the loop is slow.
            StorageThread::spawn(OverrideStore::new(folder), move |word| _ = say.blocking_send(word))
        });
        let keeper = keeper.transpose().map_err(|why| format!("keeper: {why}"))?;
        let (management, waiting) = (None, BTreeMap::new());
        let mut fronts = Fronts { keeper, words, management, ask, asked, waiting, tickets: 0, form };
        fronts.follow(name, file)?;
        Ok(fronts)
    }

    /// Takes over what may change while the program runs.
    pub fn follow(&mut self, name: &str, file: Option<&OperatorsFile>) -> Result<(), String> {
        self.form.json(file.is_some_and(|file| file.log_format == LogFormat::Json));
        let doors = file.and_then(|file| file.management.clone());
        let Some(doors) = doors else {
            self.management = None;
            return Ok(());
        };
        // A token is read anew also where its file is the same.
        let same = matches!((&self.management, &doors), (Some((open, _)), ManagementEndpoint::Socket(_)) if *open == doors);
        if same {
            return Ok(());
        }
        let open = match doors.clone() {
            ManagementEndpoint::Socket(path) => server::ListenAddress::Socket(path),
            ManagementEndpoint::Address { address, token_file } => {
                let token = server::read_token(&token_file)
                    .map_err(|why| format!("management: token-file: {why}"))?;
                server::ListenAddress::Address { address, token }
            }
        };
        self.management = None; // its address is free from here on
        let serving = ManagementServer::start(open, name.to_string(), self.ask.clone());
        let serving = serving.map_err(|why| format!("management: {doors:?}: {why}"))?;
        match (&doors, serving.address()) {
            (ManagementEndpoint::Socket(path), _) => tracing::info!("managed at {}", path.display()),
            (_, Some(address)) => tracing::info!("managed at {address}"),
            (_, None) => {}
        }
        self.management = Some((doors, serving));
        Ok(())
    }

    /// Has the keeper say all that it has, where there is one.
    pub fn read_store(&self) {
        if let Some(keeper) = &self.keeper {
            // A full queue holds a request already.
            _ = keeper.request_open();
        }
    }

    pub fn has_store(&self) -> bool {
        self.keeper.is_some()
    }

    /// False where nobody will say how it went.
    pub fn keep(&self, serial: u64, batch: WriteBatch) -> bool {
        self.keeper.as_ref().is_some_and(|keeper| keeper.request_write(serial, batch).is_ok())
    }

    pub fn ticket(&mut self, back: oneshot::Sender<Reply>) -> RequestId {
        // Who has stopped waiting is nobody's any more.
        self.waiting.retain(|_, back| !back.is_closed());
        self.tickets += 1;
        self.waiting.insert(self.tickets, back);
        self.tickets
    }

    pub fn reply(&mut self, ticket: RequestId, reply: Reply) {
        if let Some(back) = self.waiting.remove(&ticket) {
            _ = back.send(reply);
        }
    }
}
