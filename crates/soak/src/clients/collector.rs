//! Peers at the collectors' listener that ping without a pause, authenticated or not, whole or in two parts.

use super::{draw_cut, Shared, ANSWER_TIMEOUT, RECONNECT_DELAY};
use crate::incarnation::Incarnation;
use crate::violation::Violation;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};
use whinwall_policy::random::Random;

const SOURCE: &str = "{\"@type\":\"SOURCE\",\"az\":\"z0\"}\n";
const PING: &str = "{\"@type\":\"PING\"}\n";
/// An unauthenticated peer may stay for 1.5 s.
const UNAUTHENTICATED_STAY: Duration = Duration::from_millis(800);
/// An authenticated one comes anew so often, as new peers are to be let in as well.
const AUTHENTICATED_STAY: Duration = Duration::from_millis(2000);
/// A new peer has its first answer in this time.
const MAX_FIRST_ANSWER: Duration = Duration::from_secs(1);

/// Whether a peer names its zone.
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
        // One that may be evicted can't tell whether its ping was read.
        let may_come = |incarnation: &Arc<Incarnation>| {
            incarnation.is_serving() && (kind == PeerKind::Authenticated || !incarnation.may_evict)
        };
        if let Some(incarnation) = incarnation.filter(may_come) {
            _ = visit(shared, &mut random, kind, &incarnation);
        }
        std::thread::sleep(RECONNECT_DELAY);
    }
}

/// One connection, from its first ping to its end.
fn visit(
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
    let stay = match kind {
        PeerKind::Authenticated => {
            stream.write_all(SOURCE.as_bytes())?;
            AUTHENTICATED_STAY
        }
        PeerKind::Unauthenticated => UNAUTHENTICATED_STAY,
    };
    let mut is_first = true;
    while began.elapsed() < stay && !shared.is_stopped() {
        let sent_at = send_ping(&mut stream, random, kind)?;
        let mut answer = String::new();
        match reader.read_line(&mut answer) {
            Ok(1..) if answer.contains("PONG") => shared.count_answer(),
            // The last answer at the end, which an unauthenticated peer gets for half a ping.
            Ok(1..) if answer.contains("NACK") && !incarnation.is_serving() => return Ok(()),
            Ok(1..) => {
                shared.violations.note(Violation::WrongAnswer { exchange: format!("ping: {answer}") });
                return Ok(());
            }
            result => {
                note_unanswered(shared, kind, incarnation, sent_at, result);
                return Ok(());
            }
        }
        let took = began.elapsed();
        if is_first && took > MAX_FIRST_ANSWER && incarnation.is_serving() && !incarnation.is_stopped_at_times
        {
            let since_start = incarnation.started_at.elapsed();
            let round = &incarnation.round;
            let who =
                format!("a new peer had its first answer after {took:?}, at {since_start:?} of {round}");
            shared.violations.note(Violation::SlowStart { who });
        }
        is_first = false;
    }
    Ok(())
}

/// Sends a ping; returns when the part was sent that is owed an answer: the first of an unauthenticated peer, else the last.
fn send_ping(stream: &mut TcpStream, random: &mut Random, kind: PeerKind) -> std::io::Result<Instant> {
    let bytes = PING.as_bytes();
    let Some((at, delay)) = draw_cut(random, bytes.len()) else {
        stream.write_all(bytes)?;
        return Ok(Instant::now());
    };
    stream.write_all(&bytes[..at])?;
    let first_at = Instant::now();
    std::thread::sleep(delay);
    let is_whole = stream.write_all(&bytes[at..]).is_ok();
    let last_at = Instant::now();
    match kind {
        PeerKind::Unauthenticated => Ok(first_at),
        PeerKind::Authenticated if is_whole => Ok(last_at),
        PeerKind::Authenticated => Err(ErrorKind::BrokenPipe.into()),
    }
}

fn note_unanswered(
    shared: &Shared,
    kind: PeerKind,
    incarnation: &Incarnation,
    sent_at: Instant,
    result: std::io::Result<usize>,
) {
    if incarnation.owes_answer(sent_at) {
        let who = if kind == PeerKind::Authenticated { "collector" } else { "peer" };
        let request = format!("ping of a {who}: {result:?}, in {}", incarnation.round);
        shared.violations.note(Violation::Unanswered { request });
    }
}
