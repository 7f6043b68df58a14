//! Authenticated and unauthenticated peers at the collectors' listener. They send pings continuously, some of them in
//! two parts.

use super::{draw_split, Shared, ANSWER_TIMEOUT, RECONNECT_DELAY};
use crate::incarnation::Incarnation;
use crate::violation::Violation;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};
use whinwall_policy::random::Random;

const SOURCE: &str = "{\"@type\":\"SOURCE\",\"az\":\"z0\"}\n";
const PING: &str = "{\"@type\":\"PING\"}\n";
/// Below the 1.5 s after which the controller may disconnect an unauthenticated peer.
const UNAUTHENTICATED_CONNECTION_TIME: Duration = Duration::from_millis(800);
/// Authenticated peers reconnect at this interval, so that admission of new peers is tested too.
const AUTHENTICATED_CONNECTION_TIME: Duration = Duration::from_millis(2000);
/// The time limit of the first answer to a new peer.
const MAX_FIRST_ANSWER_DELAY: Duration = Duration::from_secs(1);

/// An authenticated peer has sent its zone.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PeerKind {
    Authenticated,
    Unauthenticated,
}

pub(super) fn run_authenticated(shared: &Shared, _number: u64, random: Random) {
    run(shared, random, PeerKind::Authenticated);
}

pub(super) fn run_unauthenticated(shared: &Shared, _number: u64, random: Random) {
    run(shared, random, PeerKind::Unauthenticated);
}

fn run(shared: &Shared, mut random: Random, kind: PeerKind) {
    while !shared.is_stopped() {
        let incarnation = shared.incarnation();
        // The controller may evict an unauthenticated peer before it reads the ping, so an answer cannot be required.
        let may_connect = |incarnation: &Arc<Incarnation>| {
            incarnation.is_serving() && (kind == PeerKind::Authenticated || !incarnation.may_evict)
        };
        if let Some(incarnation) = incarnation.filter(may_connect) {
            _ = run_connection(shared, &mut random, kind, &incarnation);
        }
        std::thread::sleep(RECONNECT_DELAY);
    }
}

/// Opens a connection and sends pings until the connection time is over or the connection ends.
fn run_connection(
    shared: &Shared,
    random: &mut Random,
    kind: PeerKind,
    incarnation: &Incarnation,
) -> std::io::Result<()> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&incarnation.address, ANSWER_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let connection_time = match kind {
        PeerKind::Authenticated => {
            stream.write_all(SOURCE.as_bytes())?;
            AUTHENTICATED_CONNECTION_TIME
        }
        PeerKind::Unauthenticated => UNAUTHENTICATED_CONNECTION_TIME,
    };
    let mut is_first_answer = true;
    while began.elapsed() < connection_time && !shared.is_stopped() {
        let sent_at = send_ping(&mut stream, random, kind)?;
        let mut answer = String::new();
        match reader.read_line(&mut answer) {
            Ok(1..) if answer.contains("PONG") => shared.count_answer(),
            // At shutdown a truncated ping of an unauthenticated peer is answered with NACK.
            Ok(1..) if answer.contains("NACK") && !incarnation.is_serving() => return Ok(()),
            Ok(1..) => {
                shared.violations.record(Violation::WrongAnswer { exchange: format!("ping: {answer}") });
                return Ok(());
            }
            result => {
                record_unanswered(shared, kind, incarnation, sent_at, result);
                return Ok(());
            }
        }
        let took = began.elapsed();
        if is_first_answer
            && took > MAX_FIRST_ANSWER_DELAY
            && incarnation.is_serving()
            && !incarnation.has_stop_fault
        {
            let since_start = incarnation.started_at.elapsed();
            let round = &incarnation.round;
            let delay = format!(
                "first answer to a new peer after {took:?}, {since_start:?} after start-up, in {round}"
            );
            shared.violations.record(Violation::SlowFirstAnswer { delay });
        }
        is_first_answer = false;
    }
    Ok(())
}

/// Sends a ping. Returns the time at which the part that requires an answer was sent: the first part for an
/// unauthenticated peer, the last part for an authenticated one.
fn send_ping(stream: &mut TcpStream, random: &mut Random, kind: PeerKind) -> std::io::Result<Instant> {
    let bytes = PING.as_bytes();
    let Some((position, delay)) = draw_split(random, bytes.len()) else {
        stream.write_all(bytes)?;
        return Ok(Instant::now());
    };
    stream.write_all(&bytes[..position])?;
    let first_sent_at = Instant::now();
    std::thread::sleep(delay);
    let is_completely_sent = stream.write_all(&bytes[position..]).is_ok();
    let last_sent_at = Instant::now();
    match kind {
        PeerKind::Unauthenticated => Ok(first_sent_at),
        PeerKind::Authenticated if is_completely_sent => Ok(last_sent_at),
        PeerKind::Authenticated => Err(ErrorKind::BrokenPipe.into()),
    }
}

fn record_unanswered(
    shared: &Shared,
    kind: PeerKind,
    incarnation: &Incarnation,
    sent_at: Instant,
    result: std::io::Result<usize>,
) {
    if incarnation.requires_answer(sent_at) {
        let sender = if kind == PeerKind::Authenticated { "collector" } else { "peer" };
        let request = format!("ping of a {sender}: {result:?}, in {}", incarnation.round);
        shared.violations.record(Violation::Unanswered { request });
    }
}
