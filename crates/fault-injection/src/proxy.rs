//! Forwards bytes between two loopback sockets and carries out the steps of the injectors.

use crate::injector::{InjectedFault, Injector, Step};
use crate::record::RecordedFaults;
use crate::schedule::Schedule;
use crate::{ConnectionNumber, Direction};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use whinwall_policy::time::Span;

/// The maximum number of open connections. Further connections are accepted when an earlier one has ended.
const MAX_CONNECTIONS: usize = 256;
/// The size of the read buffer. A direction buffers no more bytes than that, except for a line that is held
/// back for a rule that needs the whole line.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The source of the faults.
#[derive(Clone)]
pub enum FaultSource {
    /// The rules of a schedule.
    Schedule(Arc<Schedule>),
    /// The faults of a record.
    Replay(Arc<RecordedFaults>),
}

impl FaultSource {
    fn injector(&self, connection: ConnectionNumber, direction: Direction) -> Injector {
        match self {
            FaultSource::Schedule(schedule) => Injector::new(schedule, connection, direction),
            FaultSource::Replay(faults) => {
                let direction_faults = faults.get(&(connection, direction)).cloned().unwrap_or_default();
                Injector::replaying(connection, direction, direction_faults)
            }
        }
    }
}

/// The faults injected so far, shared by all connections.
pub type InjectionLog = Arc<Mutex<Vec<InjectedFault>>>;

/// Accepts connections until an error occurs and forwards each to the target.
///
/// # Errors
///
/// Fails if an address is not a loopback address, or if the listener fails.
pub async fn forward(
    listener: TcpListener,
    target: SocketAddr,
    source: FaultSource,
    log: InjectionLog,
) -> io::Result<()> {
    if !target.ip().is_loopback() || !listener.local_addr()?.ip().is_loopback() {
        return Err(io::Error::other(format!(
            "listen and target address must be loopback addresses: got {} and {target}",
            listener.local_addr()?
        )));
    }
    let capacity = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    for number in 1.. {
        let permit = capacity.clone().acquire_owned().await.map_err(io::Error::other)?;
        let (stream, _) = listener.accept().await?;
        let (source, log) = (source.clone(), log.clone());
        tokio::spawn(async move {
            let up = source.injector(number, Direction::Up);
            let down = source.injector(number, Direction::Down);
            forward_connection(stream, target, up, down, &log).await;
            drop(permit);
        });
    }
    Ok(())
}

/// The state of a connection, shared by both directions.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionState {
    Open,
    /// Both sides are to be reset.
    Cut,
    /// Both sides are to be closed gracefully.
    Ended,
}

async fn forward_connection(
    stream: TcpStream,
    target: SocketAddr,
    mut up: Injector,
    mut down: Injector,
    log: &InjectionLog,
) {
    let _ = stream.set_nodelay(true);
    let up_steps = first_steps(&mut up, log);
    // A connection that is refused or muted at its start is not opened to the target.
    match up_steps.iter().find(|step| matches!(step, Step::Cut | Step::End | Step::Silence)) {
        Some(Step::Cut) => return reset_on_close(&stream),
        Some(Step::End) => return,
        Some(_) => return read_and_discard(stream).await,
        None => {}
    }
    let Ok(target_stream) = TcpStream::connect(target).await else { return reset_on_close(&stream) };
    let _ = target_stream.set_nodelay(true);
    let down_steps = first_steps(&mut down, log);
    let state = watch::channel(ConnectionState::Open).0;
    let opened_at = Instant::now();
    let (client_read, client_write) = stream.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let upward = DirectionForwarder {
        read: client_read,
        write: target_write,
        injector: up,
        opened_at,
        state: &state,
        log,
    };
    let downward = DirectionForwarder {
        read: target_read,
        write: client_write,
        injector: down,
        opened_at,
        state: &state,
        log,
    };
    let (up, down) = tokio::join!(upward.run(up_steps), downward.run(down_steps));
    if *state.borrow() == ConnectionState::Cut {
        // Resets both sides at the same time, without a graceful close.
        for (read, write) in [(up.0, down.1), (down.0, up.1)] {
            read.reunite(write).into_iter().for_each(|stream| reset_on_close(&stream));
        }
    }
}

/// Returns the steps of one direction before the first byte.
fn first_steps(injector: &mut Injector, log: &InjectionLog) -> Vec<Step> {
    let mut steps = injector.on_connect();
    steps.extend(injector.replay_on_connect());
    append_to_log(injector, log);
    steps
}

fn reset_on_close(stream: &TcpStream) {
    // Deprecated because a positive linger time may block the thread on close. A linger time of zero does not block.
    #[allow(deprecated)]
    let _ = stream.set_linger(Some(Duration::ZERO));
}

/// Keeps the connection open and discards all received bytes.
async fn read_and_discard(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
}

/// Completes when both directions of the connection are to be reset or closed.
async fn connection_ended(state: &mut watch::Receiver<ConnectionState>) {
    let is_ended = state.wait_for(|state| *state != ConnectionState::Open).await.is_ok();
    if !is_ended {
        std::future::pending::<()>().await;
    }
}

fn append_to_log(injector: &mut Injector, log: &InjectionLog) {
    if let Ok(mut log) = log.lock() {
        log.append(&mut injector.injected);
    }
}

/// One direction of a connection.
struct DirectionForwarder<'a> {
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    injector: Injector,
    /// The time at which the connection was open on both sides. The durations of `after` rules count from it.
    opened_at: Instant,
    state: &'a watch::Sender<ConnectionState>,
    log: &'a InjectionLog,
}

impl DirectionForwarder<'_> {
    /// Forwards bytes until this direction or the connection ends. Returns both halves.
    async fn run(mut self, first_steps: Vec<Step>) -> (OwnedReadHalf, OwnedWriteHalf) {
        let mut state = self.state.subscribe();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut steps = first_steps;
        // True if this direction is closed or silent. Received bytes are then discarded.
        let mut is_closed = false;
        loop {
            for step in std::mem::take(&mut steps) {
                tokio::select! {
                    // On a write error the receiver is closed; the opposite direction detects the close and ends.
                    outcome = self.carry_out(step, &mut is_closed) => if outcome.is_err() {
                        return (self.read, self.write);
                    },
                    _ = connection_ended(&mut state) => return (self.read, self.write),
                }
            }
            if *state.borrow() != ConnectionState::Open {
                return (self.read, self.write);
            }
            let remaining = self.injector.next_deadline().map(|deadline| deadline - self.elapsed());
            let wait = remaining.map(|span| Duration::from_nanos(span.as_ns()));
            tokio::select! {
                _ = connection_ended(&mut state) => return (self.read, self.write),
                _ = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => {
                    steps = self.injector.on_time(self.elapsed());
                }
                outcome = self.read.read(&mut buffer) => match outcome {
                    Ok(0) | Err(_) => return self.end(is_closed).await,
                    Ok(count) => steps = self.injector.on_bytes(&buffer[..count]),
                },
            }
            append_to_log(&mut self.injector, self.log);
        }
    }

    fn elapsed(&self) -> Span {
        Span::ns(self.opened_at.elapsed().as_nanos() as u64)
    }

    async fn carry_out(&mut self, step: Step, is_closed: &mut bool) -> io::Result<()> {
        match step {
            Step::Pass(bytes) if !*is_closed => self.write.write_all(&bytes).await,
            Step::Pass(_) => Ok(()),
            Step::Wait(span) => {
                tokio::time::sleep(Duration::from_nanos(span.as_ns())).await;
                Ok(())
            }
            Step::HalfClose => {
                *is_closed = true;
                self.write.shutdown().await
            }
            Step::Silence => {
                *is_closed = true;
                Ok(())
            }
            Step::Cut => Ok(_ = self.state.send(ConnectionState::Cut)),
            Step::End => Ok(_ = self.state.send(ConnectionState::Ended)),
        }
    }

    /// Handles the end of the sender: forwards the bytes held back, then closes the direction.
    async fn end(mut self, is_closed: bool) -> (OwnedReadHalf, OwnedWriteHalf) {
        for step in self.injector.on_end() {
            if let (Step::Pass(bytes), false) = (step, is_closed) {
                let _ = self.write.write_all(&bytes).await;
            }
        }
        append_to_log(&mut self.injector, self.log);
        if !is_closed {
            let _ = self.write.shutdown().await;
        }
        (self.read, self.write)
    }
}
