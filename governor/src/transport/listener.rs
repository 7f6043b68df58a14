//! Our own address: bounded connections, each read line by line in a task of its own.

use super::framing::{Lines, Unfinished};
use super::{limits, ConnectionId, Inbox, Input};
use actix_codec::Framed;
use actix_rt::net::{TcpListener, TcpStream};
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

struct Peer {
    /// Whoever has not said anything yet is the first to go.
    has_spoken: bool,
    heard: Instant,
    /// Dropped, it ends the connection.
    _hold: oneshot::Sender<()>,
}

type Peers = Rc<RefCell<BTreeMap<ConnectionId, Peer>>>;

/// Takes connections for ever. Where there are too many, one that never spoke goes, else the one that has
/// been silent longest: strangers who connect and say nothing must not cost a collector its place.
pub async fn listen(listener: Rc<TcpListener>, most: usize, unfinished: Unfinished, inbox: Inbox) {
    let peers = Peers::default();
    for id in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(why) => {
                log::warn!("a connection could not be taken: {why}");
                actix_rt::time::sleep(limits::PAUSE).await;
                continue;
            }
        };
        let (hold, let_go) = oneshot::channel();
        peers.borrow_mut().insert(id, Peer { has_spoken: false, heard: Instant::now(), _hold: hold });
        if peers.borrow().len() > most {
            let silent = peers
                .borrow()
                .iter()
                .min_by_key(|(_, peer)| (peer.has_spoken, peer.heard))
                .map(|(id, _)| *id);
            silent.and_then(|id| peers.borrow_mut().remove(&id));
        }
        let (peers, inbox) = (peers.clone(), inbox.clone());
        let framed = Framed::new(stream, Lines::within(limits::LINE, &unfinished));
        actix_rt::spawn(async move {
            let served = serve(id, framed, &peers, inbox);
            tokio::select! {
                why = served => log::debug!("connection {id} ended: {why}"),
                _ = let_go => log::debug!("connection {id} was let go, others need its place"),
            }
            peers.borrow_mut().remove(&id);
        });
    }
}

async fn serve(
    id: ConnectionId,
    mut framed: Framed<TcpStream, Lines>,
    peers: &Peers,
    inbox: Inbox,
) -> String {
    let (back, mut answers) = mpsc::channel(limits::UNREAD_ANSWERS);
    let mut patience = limits::FIRST_WORD;
    loop {
        tokio::select! {
            line = actix_rt::time::timeout(patience, framed.next()) => match line {
                Ok(Some(Ok(line))) => {
                    patience = limits::QUIET_PEER;
                    if let Some(peer) = peers.borrow_mut().get_mut(&id) {
                        (peer.has_spoken, peer.heard) = (true, Instant::now());
                    }
                    if inbox.send(Input::Line { from: id, line, back: back.clone() }).await.is_err() {
                        return "the program ends".into();
                    }
                }
                Ok(Some(Err(why))) => return why.to_string(),
                Ok(None) => return "closed by the other side".into(),
                Err(_) => return "silent".into(),
            },
            Some(answer) = answers.recv() => {
                match actix_rt::time::timeout(limits::FIRST_WORD, framed.send(answer)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(why)) => return why.to_string(),
                    Err(_) => return "it reads nothing".into(),
                }
            }
        }
    }
}
