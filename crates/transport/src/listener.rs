//! Our own address: bounded connections, each read in a task of its own: line by line, and once it has
//! joined, where there are readers, in chunks of whole lines on one of them.

use super::framing::{Held, Lines, Unfinished};
use super::{limits, Back, Chunk, ConnectionId, Inbox, Input, Told};
use actix_codec::Framed;
use actix_rt::net::{TcpListener, TcpStream};
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

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

    /// The place in memory for so many bytes that wait; whoever speaks waits for it.
    async fn weigh(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = bytes.clamp(1, limits::LINE) as u32;
        self.waiting.clone().acquire_many_owned(bytes).await.ok()
    }
}

/// What is known of a connection wherever it is read.
pub struct Peer {
    /// Whoever has not joined is the first to go.
    has_joined: AtomicBool,
    /// When it last spoke, in milliseconds since `began`.
    heard: AtomicU64,
    began: Instant,
}

impl Peer {
    fn new() -> Self {
        Peer { has_joined: AtomicBool::new(false), heard: AtomicU64::new(0), began: Instant::now() }
    }

    fn heard_at(&self) -> Instant {
        self.began + std::time::Duration::from_millis(self.heard.load(Ordering::Relaxed))
    }

    fn speaks(&self, now: Instant) {
        self.heard.store(now.saturating_duration_since(self.began).as_millis() as u64, Ordering::Relaxed);
    }
}

/// A connection on its way to whoever reads it.
pub struct Arrival {
    pub id: ConnectionId,
    pub stream: std::net::TcpStream,
    pub peer: Arc<Peer>,
    /// Gone, it has been let go.
    pub let_go: oneshot::Receiver<()>,
    /// Dropped where the connection has ended.
    pub over: oneshot::Sender<()>,
}

/// Who reads what has been taken.
pub trait Readers {
    /// False where nobody can: the connection is closed.
    fn hand_over(&self, arrival: Arrival) -> bool;
}

/// Where all is read on the loop's own thread.
pub struct Here {
    pub bounds: Bounds,
    pub inbox: Inbox,
}

impl Readers for Here {
    fn hand_over(&self, arrival: Arrival) -> bool {
        let (bounds, inbox) = (self.bounds.clone(), self.inbox.clone());
        actix_rt::spawn(read(arrival, bounds, inbox, None));
        true
    }
}

/// All connections end with whoever took them.
struct LetGo(Peers);

impl Drop for LetGo {
    fn drop(&mut self) {
        self.0.borrow_mut().clear();
    }
}

type Peers = Rc<RefCell<BTreeMap<ConnectionId, (Arc<Peer>, oneshot::Sender<()>)>>>;

/// Takes connections for ever, half of them at the most from those who have not joined. Where there are too many,
/// one that has not joined goes, else the one that has
/// been silent longest: hundreds of strangers must not cost a collector its place.
pub async fn listen(listener: Rc<TcpListener>, bounds: Bounds, readers: impl Readers) {
    let peers = Peers::default();
    let _all = LetGo(peers.clone());
    for id in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(why) => {
                tracing::warn!("a connection could not be taken: {why}");
                actix_rt::time::sleep(limits::PAUSE).await;
                continue;
            }
        };
        let Ok(stream) = stream.into_std() else { continue };
        let ((hold, let_go), (over, is_over)) = (oneshot::channel(), oneshot::channel());
        let peer = Arc::new(Peer::new());
        peers.borrow_mut().insert(id, (peer.clone(), hold));
        let has_joined = |peer: &Peer| peer.has_joined.load(Ordering::Relaxed);
        let strangers = peers.borrow().values().filter(|(peer, _)| !has_joined(peer)).count();
        if peers.borrow().len() > bounds.connections || strangers > bounds.connections.div_ceil(2) {
            let order = |peer: &Peer| (has_joined(peer), peer.heard_at());
            let silent = peers.borrow().iter().min_by_key(|(_, (peer, _))| order(peer)).map(|(id, _)| *id);
            silent.and_then(|id| peers.borrow_mut().remove(&id));
        }
        if !readers.hand_over(Arrival { id, stream, peer, let_go, over }) {
            peers.borrow_mut().remove(&id);
            continue;
        }
        let peers = peers.clone();
        actix_rt::spawn(async move {
            _ = is_over.await;
            peers.borrow_mut().remove(&id);
        });
    }
}

/// Where connections leave what they say, in chunks of whole lines, for whichever reader has time.
#[derive(Clone)]
pub struct Bulk {
    pub chunks: async_channel::Sender<Chunk>,
}

impl Bulk {
    /// False where nobody will ever read it.
    async fn say(
        &self,
        from: ConnectionId,
        bounds: &Bounds,
        lines: bytes::Bytes,
        back: &mpsc::Sender<Back>,
        chunks: &mut u64,
    ) -> bool {
        // Its time is that of its arrival, however long it waits for room.
        let told = Told { from, number: *chunks, at: std::time::Instant::now(), bytes: lines.len() };
        let Some(weight) = bounds.weigh(lines.len()).await else { return false };
        *chunks += 1;
        self.chunks.send(Chunk { told, lines, back: back.clone(), weight }).await.is_ok()
    }
}

/// Reads one connection to its end, on the thread that it is called on.
pub async fn read(arrival: Arrival, bounds: Bounds, inbox: Inbox, bulk: Option<Bulk>) {
    let Arrival { id, stream, peer, let_go, over } = arrival;
    let mut chunks = 0;
    let served = async {
        match TcpStream::from_std(stream) {
            Ok(stream) => serve(id, stream, &peer, &bounds, &inbox, bulk, &mut chunks).await,
            Err(why) => why.to_string(),
        }
    };
    // A panic stops at its connection.
    tokio::select! {
        why = super::contained(served) => {
            tracing::debug!("connection {id} ended: {}", why.unwrap_or_else(|panicked| panicked.to_string()));
        }
        _ = let_go => tracing::debug!("connection {id} was let go, others need its place"),
    }
    drop(over);
    _ = inbox.send(Input::Ended(id, chunks)).await;
}

/// Until it has joined, a connection may say little and stay shortly, whatever it says: what goes on without
/// end, or bit by bit, gains no time by that.
async fn serve(
    id: ConnectionId,
    stream: TcpStream,
    peer: &Peer,
    bounds: &Bounds,
    inbox: &Inbox,
    bulk: Option<Bulk>,
    chunks: &mut u64,
) -> String {
    let mut framed = Framed::new(stream, Lines::within(limits::FIRST_LINE, &bounds.unfinished));
    let (back, mut answers) = mpsc::channel(limits::UNREAD_ANSWERS);
    let mut patience = Instant::now() + limits::JOIN;
    let mut has_joined = false;
    // Whoever has not joined hears something on each line: what it says behind one must not take that away.
    let mut is_due_an_answer = false;
    loop {
        tokio::select! {
            biased;
            Some(answer) = answers.recv() => {
                is_due_an_answer = false;
                let Some((line, ends)) = last_word(answer) else {
                    has_joined = true;
                    patience = Instant::now() + limits::QUIET_PEER;
                    framed.codec_mut().allow(limits::LINE);
                    peer.has_joined.store(true, Ordering::Relaxed);
                    if let Some(bulk) = bulk {
                        let talk = Talk { id, peer, bounds, back, answers };
                        return in_bulk(framed, talk, bulk, chunks).await;
                    }
                    continue;
                };
                let has_word = line.is_some();
                if let Some(line) = line {
                    if let Err(why) = read_in_time(framed.send(line)).await {
                        return why;
                    }
                }
                if ends {
                    if has_word {
                        hear_out(&mut framed.into_parts().io, patience).await;
                    }
                    return "what it said is of no use".into();
                }
            }
            _ = sleep_until(patience), if is_due_an_answer => return "it has not joined".into(),
            line = timeout_at(patience, framed.next()), if !is_due_an_answer => match line {
                Ok(Some(Ok(line))) => {
                    let now = Instant::now();
                    if has_joined {
                        patience = now + limits::QUIET_PEER;
                    }
                    is_due_an_answer = !has_joined;
                    peer.speaks(now);
                    let sent = match &bulk {
                        None => {
                            let Some(weight) = bounds.weigh(line.len()).await else {
                                return "the program ends".into();
                            };
                            let line = Input::Line { from: id, line, back: back.clone(), _weight: weight };
                            inbox.send(line).await.is_ok()
                        }
                        Some(bulk) => bulk.say(id, bounds, (line + "\n").into(), &back, chunks).await,
                    };
                    if !sent {
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

/// Closing with something unread resets the connection, and may destroy the last word on its way: what is still sent is
/// read, within the time and bytes that it had left to join.
async fn hear_out(io: &mut TcpStream, until: Instant) {
    let (mut piece, mut left) = ([0; 4096], limits::LAST_READ);
    _ = io.shutdown().await;
    while let Ok(Ok(read @ 1..)) = timeout_at(until, io.read(&mut piece)).await {
        left = left.saturating_sub(read);
        if left == 0 {
            return;
        }
    }
}

/// What is to be said, and whether the connection ends with it; none where it may stay.
fn last_word(back: Back) -> Option<(Option<String>, bool)> {
    match back {
        Back::Say(line) => Some((Some(line), false)),
        Back::End(line) => Some((line, true)),
        Back::Keep => None,
    }
}

/// Whoever is told something reads it, or is let go.
async fn read_in_time(said: impl Future<Output = std::io::Result<()>>) -> Result<(), String> {
    match timeout(limits::READS, said).await {
        Ok(said) => said.map_err(|why| why.to_string()),
        Err(_) => Err("it reads nothing".into()),
    }
}

struct Talk<'a> {
    id: ConnectionId,
    peer: &'a Peer,
    bounds: &'a Bounds,
    back: mpsc::Sender<Back>,
    answers: mpsc::Receiver<Back>,
}

/// Whoever has joined says much: whole lines go on in chunks, as many as have arrived, to whichever reader
/// has time. Only what lacks its end stays here.
async fn in_bulk(framed: Framed<TcpStream, Lines>, talk: Talk<'_>, bulk: Bulk, chunks: &mut u64) -> String {
    let Talk { id, peer, bounds, back, mut answers } = talk;
    let mut parts = framed.into_parts();
    let (io, bytes) = (&mut parts.io, &mut parts.read_buf);
    let mut unfinished = Held::none(&bounds.unfinished);
    loop {
        if let Some(end) = memchr::memrchr(b'\n', bytes) {
            let lines = bytes.split_to(end + 1).freeze();
            peer.speaks(Instant::now());
            if !bulk.say(id, bounds, lines, &back, chunks).await {
                return "the program ends".into();
            }
        }
        if bytes.len() > limits::LINE {
            return "a line is too long".into();
        }
        if !unfinished.set(bytes.len()) {
            return "too much memory is taken by lines without an end".into();
        }
        if bytes.is_empty() && bytes.capacity() > limits::BUFFER {
            *bytes = BytesMut::new();
        }
        // What could be read at once is cut in pieces of this size.
        bytes.reserve(limits::CHUNK);
        tokio::select! {
            biased;
            Some(answer) = answers.recv() => {
                let Some((line, ends)) = last_word(answer) else { continue };
                if let Some(line) = line {
                    let line = line + "\n";
                    let said = io.write_all(line.as_bytes());
                    if let Err(why) = read_in_time(said).await {
                        return why;
                    }
                }
                if ends {
                    return "what it said is of no use".into();
                }
            }
            read = timeout(limits::QUIET_PEER, io.read_buf(bytes)) => match read {
                Ok(Ok(0)) => {
                    // A last line may lack its end: it is no line.
                    return "closed by the other side".into();
                }
                Ok(Ok(_)) => {}
                Ok(Err(why)) => return why.to_string(),
                Err(_) => return "silent".into(),
            },
        }
    }
}
