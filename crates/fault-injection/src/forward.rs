//! Carries bytes between two loopback sockets, as the lanes say.

use crate::decide::{Act, Injected, Lane};
use crate::record::Faults;
use crate::schedule::Schedule;
use crate::{Direction, Number};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use whinwall_policy::time::Span;

/// Connections at once; more wait to be taken.
const CONNECTIONS: usize = 256;
/// What is read at once, and so all that one direction holds but for a line that a rule has to see whole.
const READ: usize = 16 << 10;

/// Whence the faults come.
#[derive(Clone)]
pub enum Source {
    Schedule(Arc<Schedule>),
    Replay(Arc<Faults>),
}

impl Source {
    fn lane(&self, conn: Number, direction: Direction) -> Lane {
        match self {
            Source::Schedule(schedule) => Lane::new(schedule, conn, direction),
            Source::Replay(faults) => {
                let own = faults.get(&(conn, direction)).cloned().unwrap_or_default();
                Lane::replaying(conn, direction, own)
            }
        }
    }
}

/// What was injected so far.
pub type Log = Arc<Mutex<Vec<Injected>>>;

/// Takes connections for ever and forwards each to the target. Both must be on loopback.
pub async fn forward(listener: TcpListener, target: SocketAddr, source: Source, log: Log) -> io::Result<()> {
    if !target.ip().is_loopback() || !listener.local_addr()?.ip().is_loopback() {
        return Err(io::Error::other("this is for loopback addresses only"));
    }
    let room = Arc::new(Semaphore::new(CONNECTIONS));
    for conn in 1.. {
        let place = room.clone().acquire_owned().await.map_err(io::Error::other)?;
        let (stream, _) = listener.accept().await?;
        let (source, log) = (source.clone(), log.clone());
        tokio::spawn(async move {
            let lanes = [source.lane(conn, Direction::Up), source.lane(conn, Direction::Down)];
            connection(stream, target, lanes, &log).await;
            drop(place);
        });
    }
    Ok(())
}

/// How a connection ends for both of its directions.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    GoesOn,
    Cut,
    Ended,
}

async fn connection(stream: TcpStream, target: SocketAddr, lanes: [Lane; 2], log: &Log) {
    let _ = stream.set_nodelay(true);
    let [mut up, mut down] = lanes;
    let mut first = up.starts();
    first.extend(up.starts_again());
    note(&mut up, log);
    // Refused or mute before the target hears of it.
    match first.iter().find(|act| matches!(act, Act::Cut | Act::End | Act::Silence)) {
        Some(Act::Cut) => return reset(&stream),
        Some(Act::End) => return,
        Some(_) => return hold(stream).await,
        None => {}
    }
    let Ok(onward) = TcpStream::connect(target).await else { return reset(&stream) };
    let _ = onward.set_nodelay(true);
    let (fate, fates) = watch::channel(Fate::GoesOn);
    let mut second = down.starts();
    second.extend(down.starts_again());
    note(&mut down, log);
    let (from, to) = (stream.into_split(), onward.into_split());
    let began = Instant::now();
    let upward = direction(from.0, to.1, up, first, began, &fate, fates.clone(), log);
    let downward = direction(to.0, from.1, down, second, began, &fate, fates, log);
    let (up, down) = tokio::join!(upward, downward);
    if *fate.borrow() == Fate::Cut {
        // Both ends hear of it at once, and not in order.
        for (read, write) in [(up.0, down.1), (down.0, up.1)] {
            read.reunite(write).into_iter().for_each(|stream| reset(&stream));
        }
    }
}

fn reset(stream: &TcpStream) {
    #[allow(deprecated)] // a linger of nothing never blocks
    let _ = stream.set_linger(Some(Duration::ZERO));
}

/// Open, and nothing comes of what is said.
async fn hold(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
}

/// Returns once the connection is to end for both directions.
async fn is_over(fates: &mut watch::Receiver<Fate>) {
    let told = fates.wait_for(|fate| *fate != Fate::GoesOn).await.is_ok();
    if !told {
        std::future::pending::<()>().await;
    }
}

fn note(lane: &mut Lane, log: &Log) {
    if let Ok(mut log) = log.lock() {
        log.append(&mut lane.injected);
    }
}

#[allow(clippy::too_many_arguments)] // both directions' ends, and what they share
async fn direction(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    mut lane: Lane,
    first: Vec<Act>,
    began: Instant,
    fate: &watch::Sender<Fate>,
    mut fates: watch::Receiver<Fate>,
    log: &Log,
) -> (OwnedReadHalf, OwnedWriteHalf) {
    let mut buffer = vec![0; READ];
    let mut acts = first;
    // Ended or silent in this direction: what comes is read and goes nowhere.
    let mut closed = false;
    loop {
        for act in std::mem::take(&mut acts) {
            let carried = async {
                match act {
                    Act::Pass(bytes) if !closed => write.write_all(&bytes).await,
                    Act::Pass(_) => Ok(()),
                    Act::Wait(span) => {
                        tokio::time::sleep(Duration::from_nanos(span.as_ns())).await;
                        Ok(())
                    }
                    Act::HalfClose => {
                        closed = true;
                        write.shutdown().await
                    }
                    Act::Silence => {
                        closed = true;
                        Ok(())
                    }
                    Act::Cut => Ok(_ = fate.send(Fate::Cut)),
                    Act::End => Ok(_ = fate.send(Fate::Ended)),
                }
            };
            tokio::select! {
                done = carried => if done.is_err() {
                    // Nobody reads there any more: the other direction ends by itself.
                    return (read, write);
                },
                _ = is_over(&mut fates) => return (read, write),
            }
        }
        if *fates.borrow() != Fate::GoesOn {
            return (read, write);
        }
        let gone = || Span::ns(began.elapsed().as_nanos() as u64);
        let due = lane.next().map(|at| Duration::from_nanos((at - gone()).as_ns()));
        tokio::select! {
            _ = is_over(&mut fates) => return (read, write),
            _ = tokio::time::sleep(due.unwrap_or_default()), if due.is_some() => acts = lane.time(gone()),
            come = read.read(&mut buffer) => match come {
                Ok(0) | Err(_) => {
                    for act in lane.ends() {
                        if let (Act::Pass(bytes), false) = (act, closed) {
                            let _ = write.write_all(&bytes).await;
                        }
                    }
                    note(&mut lane, log);
                    if !closed {
                        let _ = write.shutdown().await;
                    }
                    return (read, write);
                }
                Ok(many) => acts = lane.bytes(&buffer[..many]),
            },
        }
        note(&mut lane, log);
    }
}
