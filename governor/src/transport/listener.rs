//! Our own address: bounded connections, each read line by line in a task of its own.

use super::framing::{Lines, Unfinished};
use super::{limits, Back, ConnectionId, Inbox, Input};
use actix_codec::Framed;
use actix_rt::net::{TcpListener, TcpStream};
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::{timeout, timeout_at, Instant};

/// What all connections together may cost.
#[derive(Clone)]
pub struct Bounds {
    connections: usize,
    unfinished: Unfinished,
    /// Bytes of lines that wait for the loop.
    waiting: Arc<Semaphore>,
}

impl Bounds {
    /// So many connections, and so many bytes each of unfinished lines and of lines that wait; the longest
    /// line always fits.
    pub fn new(connections: usize, bytes: usize) -> Self {
        let waiting = bytes.clamp(limits::LINE, u32::MAX as usize);
        Bounds {
            connections,
            unfinished: Unfinished::new(bytes, connections),
            waiting: Arc::new(Semaphore::new(waiting)),
        }
    }
}

struct Peer {
    /// Whoever has not joined is the first to go.
    has_joined: bool,
    heard: Instant,
    /// Dropped, it ends the connection.
    _hold: oneshot::Sender<()>,
}

type Peers = Rc<RefCell<BTreeMap<ConnectionId, Peer>>>;

/// Takes connections for ever. Where there are too many, one that has not joined goes, else the one that has
/// been silent longest: hundreds of strangers must not cost a collector its place.
pub async fn listen(listener: Rc<TcpListener>, bounds: Bounds, inbox: Inbox) {
    let peers = Peers::default();
    for id in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(why) => {
                tracing::warn!("a connection could not be taken: {why}");
                actix_rt::time::sleep(limits::PAUSE).await;
                continue;
            }
        };
        let (hold, let_go) = oneshot::channel();
        peers.borrow_mut().insert(id, Peer { has_joined: false, heard: Instant::now(), _hold: hold });
        if peers.borrow().len() > bounds.connections {
            let silent = peers
                .borrow()
                .iter()
                .min_by_key(|(_, peer)| (peer.has_joined, peer.heard))
                .map(|(id, _)| *id);
            silent.and_then(|id| peers.borrow_mut().remove(&id));
        }
        let (peers, bounds, inbox) = (peers.clone(), bounds.clone(), inbox.clone());
        actix_rt::spawn(async move {
            let served = serve(id, stream, &peers, &bounds, &inbox);
            tokio::select! {
                why = served => tracing::debug!("connection {id} ended: {why}"),
                _ = let_go => tracing::debug!("connection {id} was let go, others need its place"),
            }
            peers.borrow_mut().remove(&id);
            _ = inbox.send(Input::Ended(id)).await;
        });
    }
}

/// Until it has joined, a connection may say little and stay shortly, whatever it says: what goes on without
/// end, or bit by bit, gains no time by that.
async fn serve(id: ConnectionId, stream: TcpStream, peers: &Peers, bounds: &Bounds, inbox: &Inbox) -> String {
    let mut framed = Framed::new(stream, Lines::within(limits::FIRST_LINE, &bounds.unfinished));
    let (back, mut answers) = mpsc::channel(limits::UNREAD_ANSWERS);
    let mut patience = Instant::now() + limits::JOIN;
    let mut has_joined = false;
    loop {
        tokio::select! {
            biased;
            Some(answer) = answers.recv() => {
                let (line, ends) = match answer {
                    Back::Say(line) => (Some(line), false),
                    Back::End(line) => (line, true),
                    Back::Keep => {
                        has_joined = true;
                        patience = Instant::now() + limits::QUIET_PEER;
                        framed.codec_mut().allow(limits::LINE);
                        peers.borrow_mut().get_mut(&id).into_iter().for_each(|peer| peer.has_joined = true);
                        continue;
                    }
                };
                if let Some(line) = line {
                    match timeout(limits::READS, framed.send(line)).await {
                        Ok(Ok(())) => {}
                        Ok(Err(why)) => return why.to_string(),
                        Err(_) => return "it reads nothing".into(),
                    }
                }
                if ends {
                    return "what it said is of no use".into();
                }
            }
            line = timeout_at(patience, framed.next()) => match line {
                Ok(Some(Ok(line))) => {
                    let now = Instant::now();
                    if has_joined {
                        patience = now + limits::QUIET_PEER;
                    }
                    peers.borrow_mut().get_mut(&id).into_iter().for_each(|peer| peer.heard = now);
                    let bytes = line.len().clamp(1, limits::LINE) as u32;
                    let Ok(weight) = bounds.waiting.clone().acquire_many_owned(bytes).await else {
                        return "the program ends".into();
                    };
                    let line = Input::Line { from: id, line, back: back.clone(), _weight: weight };
                    if inbox.send(line).await.is_err() {
                        return "the program ends".into();
                    }
                }
                Ok(Some(Err(why))) => return why.to_string(),
                Ok(None) => return "closed by the other side".into(),
                Err(_) if has_joined => return "silent".into(),
                Err(_) => return "it has not joined".into(),
            },
        }
    }
}
