//! The same world on loopback sockets and in real time, for controllers that run as programs: a relay and a
//! discovery for each, a collector for each place.

use crate::day::{Day, Heard, Outcome, Wire};
use crate::policy::Policy;
use crate::sizes::Sizes;
use crate::trouble::Trouble;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use whinwall_policy::time::Span;

/// How long anybody may leave unread what it is told.
const READS: Duration = Duration::from_secs(1);
/// Discovery gives a sign of life this often.
const ALIVE: Duration = Duration::from_secs(1);

type Way = Arc<Mutex<Option<TcpStream>>>;

/// Where one controller finds its relay and its discovery.
#[derive(Clone, Copy, Debug)]
pub struct Found {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
}

/// One controller's world before the day: its addresses are there, nobody has come yet.
pub struct Stage {
    pub found: Found,
    news: Way,
    list: Way,
    call: Way,
}

/// A line to somebody who may be gone.
fn say(way: &Way, bytes: &[u8]) {
    let Ok(mut open) = way.lock() else { return };
    if open.as_mut().is_some_and(|stream| stream.write_all(bytes).is_err()) {
        *open = None;
    }
}

fn cut(way: &Way) {
    if let Some(stream) = way.lock().ok().and_then(|mut open| open.take()) {
        _ = stream.shutdown(Shutdown::Both);
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// All stages of a day, and what is heard at them.
pub struct Stages {
    pub stages: Vec<Stage>,
    heard: Receiver<(usize, Heard)>,
}

impl Stages {
    pub fn open(controllers: usize) -> std::io::Result<Self> {
        let (say, heard) = channel();
        let stages = (0..controllers).map(|at| Stage::open(at, &say)).collect::<Result<_, _>>()?;
        Ok(Stages { stages, heard })
    }

    /// Plays the day with controllers that serve at these addresses.
    pub fn play(
        self,
        sizes: &Sizes,
        troubles: &[Trouble],
        seed: u64,
        controllers: &[SocketAddr],
    ) -> std::io::Result<Outcome> {
        let mut day = Day::new(sizes.clone(), Policy::Governed, troubles.to_vec(), seed);
        for (at, (stage, address)) in self.stages.into_iter().zip(controllers).enumerate() {
            let mut collectors = Vec::new();
            for zone in 0..sizes.zones {
                let mut collector = TcpStream::connect(address)?;
                collector.set_write_timeout(Some(READS))?;
                writeln!(collector, "{{\"@type\":\"SOURCE\",\"az\":\"{}\"}}", sizes.zone(zone))?;
                collectors.push(collector);
            }
            day.seat(at, Box::new(Lines { stage, collectors }));
        }
        let morning = day.begins_now() - sizes.lasts;
        let began = Instant::now();
        let mut wait = Duration::ZERO;
        while began.elapsed().as_nanos() < u128::from(sizes.lasts.as_ns()) {
            let heard = self.heard.recv_timeout(wait);
            let now = || morning + Span::ns(began.elapsed().as_nanos() as u64);
            day.catch_up(now());
            match heard {
                Ok((at, heard)) => day.heard(at, heard),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            let next = day.catch_up(now());
            wait = next.map_or(ALIVE, |at| Duration::from_nanos((at - now()).as_ns()).min(ALIVE));
        }
        Ok(day.is_over())
    }
}

impl Stage {
    fn open(at: usize, heard: &Sender<(usize, Heard)>) -> std::io::Result<Self> {
        let (relay, discovery) = (TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?);
        let found = Found { relay: relay.local_addr()?, discovery: discovery.local_addr()? };
        let (news, list, call) = (Way::default(), Way::default(), Way::default());
        let stage = Stage { found, news: news.clone(), list: list.clone(), call: call.clone() };
        let says = heard.clone();
        thread::spawn(move || {
            for stream in relay.incoming().map_while(Result::ok) {
                let (says, news, call) = (says.clone(), news.clone(), call.clone());
                thread::spawn(move || serve_relay(at, stream, &says, &news, &call));
            }
        });
        let says = heard.clone();
        thread::spawn(move || {
            for stream in discovery.incoming().map_while(Result::ok) {
                let (says, list) = (says.clone(), list.clone());
                thread::spawn(move || serve_discovery(at, stream, &says, &list));
            }
        });
        Ok(stage)
    }
}

fn serve_relay(at: usize, stream: TcpStream, says: &Sender<(usize, Heard)>, news: &Way, call: &Way) {
    _ = stream.set_write_timeout(Some(READS));
    _ = stream.set_nodelay(true);
    let Ok(reads) = stream.try_clone() else { return };
    for line in BufReader::new(reads).lines().map_while(Result::ok) {
        let line = line.trim_end().to_string();
        let (way, heard) = match line.as_str() {
            "WATCH" => (news, Heard::Watch),
            _ => (call, Heard::Call(line)),
        };
        way.lock().into_iter().for_each(|mut open| *open = stream.try_clone().ok());
        if says.send((at, heard)).is_err() {
            return;
        }
    }
}

fn serve_discovery(at: usize, mut stream: TcpStream, says: &Sender<(usize, Heard)>, list: &Way) {
    _ = stream.set_write_timeout(Some(READS));
    let Ok(reads) = stream.try_clone() else { return };
    // The request's head is all that there is of it.
    let head = BufReader::new(reads).lines().map_while(Result::ok).take_while(|line| !line.trim().is_empty());
    if head.count() == 0 {
        return;
    }
    let begins = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    if stream.write_all(begins).is_err() {
        return;
    }
    list.lock().into_iter().for_each(|mut open| *open = stream.try_clone().ok());
    if says.send((at, Heard::List)).is_err() {
        return;
    }
    // A sign of life now and then, for as long as it is the one that is followed.
    loop {
        thread::sleep(ALIVE);
        let Ok(mut open) = list.lock() else { return };
        let ours = open.as_ref().and_then(|open| open.peer_addr().ok()) == stream.peer_addr().ok();
        if !ours || open.as_mut().is_some_and(|open| open.write_all(&chunk("\n")).is_err()) {
            return;
        }
    }
}

/// A controller's ways, as the day sees them.
struct Lines {
    stage: Stage,
    collectors: Vec<TcpStream>,
}

impl Wire for Lines {
    fn news(&mut self, line: &str) {
        say(&self.stage.news, format!("{line}\r\n").as_bytes());
    }

    fn cut_news(&mut self) {
        cut(&self.stage.news);
    }

    fn list(&mut self, line: &str) {
        say(&self.stage.list, &chunk(&format!("{line}\n")));
    }

    fn cut_list(&mut self) {
        cut(&self.stage.list);
    }

    fn report(&mut self, zone: usize, line: &str) {
        if let Some(collector) = self.collectors.get_mut(zone) {
            _ = collector.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn answer(&mut self, line: Option<&str>) {
        match line {
            Some(line) => say(&self.stage.call, format!("{line}\r\n").as_bytes()),
            // Whoever waits for it hears nothing, or that the connection is no more.
            None => cut(&self.stage.call),
        }
    }
}
