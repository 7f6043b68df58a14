//! Stand-ins for all that the program meets, and the program itself, on loopback sockets.
#![allow(dead_code)] // each file of tests compiles this one for itself and uses a part of it

pub mod managed;
pub mod rig;
pub mod world;

use actix_http::body::BodyStream;
use actix_http::{HttpService, Request, Response};
use actix_service::{Service, ServiceFactory};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};

/// Far longer than anything takes: a test that waits so long has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// What others say, to be waited for in any order.
pub struct Heard<T> {
    pub arrives: Receiver<T>,
    pub kept: VecDeque<T>,
}

impl<T> Heard<T> {
    pub fn new(arrives: Receiver<T>) -> Self {
        Heard { arrives, kept: VecDeque::new() }
    }

    /// The first that fits; what does not is kept for later.
    pub fn wait(&mut self, what: &str, fits: impl Fn(&T) -> bool) -> T {
        if let Some(at) = self.kept.iter().position(&fits) {
            return self.kept.remove(at).unwrap();
        }
        let end = Instant::now() + PATIENCE;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.arrives.recv_timeout(left) {
                Ok(next) if fits(&next) => return next,
                Ok(next) => self.kept.push_back(next),
                Err(_) => panic!("waited in vain for {what}"),
            }
        }
    }
}

/// A line that came to the relay, with the way back.
pub struct Said {
    pub line: String,
    pub way: TcpStream,
}

pub struct Relay {
    pub address: SocketAddr,
    pub heard: Heard<Said>,
}

impl Relay {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (says, heard) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let says = says.clone();
                thread::spawn(move || {
                    let lines = BufReader::new(stream.try_clone().unwrap()).split(b'\n');
                    for line in lines.map_while(Result::ok) {
                        let line = match String::from_utf8(line) {
                            Ok(line) => {
                                line.strip_suffix('\r').expect("a line that ends in CRLF").to_string()
                            }
                            // Garbled on its way by a test.
                            Err(garbled) => String::from_utf8_lossy(garbled.as_bytes()).into_owned(),
                        };
                        if says.send(Said { line, way: stream.try_clone().unwrap() }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Relay { address, heard: Heard::new(heard) }
    }

    /// A fleet of this size: each slice on the replica that has its number, by turns.
    pub fn introduce_fleet(&mut self, replicas: usize, slices: usize, proxies: usize) -> TcpStream {
        let mut way = self.watcher();
        let mut lines = vec!["OK".to_string()];
        lines.extend((0..proxies).map(|proxy| format!("* SUBSCRIBE {proxy} north 21.5 1")));
        for slice in 0..slices {
            lines.push(format!("* GRANT {slice} 1"));
            lines.push(format!("* ROW {slice} s-{} 1.0", slice % replicas));
        }
        lines.push("*".into());
        way.write_all(format!("{}\r\n", lines.join("\r\n")).as_bytes()).unwrap();
        way
    }

    /// A connection that asks for news.
    pub fn watcher(&mut self) -> TcpStream {
        self.heard.wait("WATCH", |said| said.line == "WATCH").way
    }

    /// ... and what stands, told to it.
    pub fn introduce(&mut self) -> TcpStream {
        let mut way = self.watcher();
        let mut lines = vec!["OK".to_string()];
        lines.extend((0..3).map(|proxy| format!("* SUBSCRIBE {proxy} north 21.5 1")));
        for slice in 0..6 {
            lines.push(format!("* GRANT {slice} 1"));
            lines.push(format!("* ROW {slice} s-{} 1.0", slice % 3));
        }
        lines.push("*".into());
        // In pieces that end anywhere.
        for piece in format!("{}\r\n", lines.join("\r\n")).as_bytes().chunks(37) {
            way.write_all(piece).unwrap();
            thread::yield_now();
        }
        way
    }

    pub fn call(&mut self, with: &str) -> Said {
        self.heard.wait(&format!("a call with {with}"), |said| said.line.contains(with))
    }

    /// Answers calls until one has this in it.
    pub fn answer_until(&mut self, with: &str) -> Said {
        loop {
            let said = self.call("APPLY ");
            if said.line.contains(with) {
                return said;
            }
            said.carried_out();
        }
    }
}

impl Said {
    /// The version that it asks proxies to answer.
    pub fn version(&self) -> Option<&str> {
        self.line.split(';').find_map(|order| order.strip_prefix("SYNC,")?.split(',').next())
    }

    pub fn carried_out(mut self) {
        let orders = self.line.split(';').count();
        // On a busy machine the answer may come too late, and the call again.
        _ = write!(self.way, "OK {orders}\r\n");
    }
}

/// A request for the list, with the way to say something: dropped, the answer ends.
pub struct Watch {
    pub path: String,
    pub say: UnboundedSender<String>,
}

pub struct Discovery {
    pub address: SocketAddr,
    pub heard: Heard<Watch>,
}

impl Discovery {
    pub fn start() -> Self {
        let (started, address) = channel();
        let (asked, heard) = channel();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                started.send(listener.local_addr().unwrap()).unwrap();
                let answer = move |request: Request| {
                    let (say, said) = unbounded_channel::<String>();
                    _ = asked.send(Watch { path: request.uri().to_string(), say });
                    let lines = futures_util::stream::unfold(said, |mut said| async move {
                        let line = said.recv().await?;
                        Some((Ok::<_, Infallible>(bytes::Bytes::from(line)), said))
                    });
                    async { Ok::<_, Infallible>(Response::ok().set_body(BodyStream::new(lines))) }
                };
                let service = HttpService::build().h1(answer).new_service(()).await.unwrap();
                loop {
                    let (stream, from) = listener.accept().await.unwrap();
                    actix_rt::spawn(service.call((stream, Some(from))));
                }
            });
        });
        Discovery { address: address.recv().unwrap(), heard: Heard::new(heard) }
    }

    pub fn watch(&mut self, since: u64) -> Watch {
        let path = format!("/registry/instances?follow=1&since={since}");
        self.heard.wait(&path, |watch| watch.path == path)
    }

    /// A watch from the start, and the whole list told to it.
    pub fn introduce(&mut self) -> Watch {
        let watch = self.watch(0);
        watch.list(41, true, &["active", "active", "active"]);
        watch
    }
}

impl Watch {
    pub fn list(&self, version: u64, whole: bool, states: &[&str]) {
        let entry = |(n, state): (usize, &&str)| {
            json!({"id": format!("s-{n}"), "addr": "127.0.0.9:1", "zone": "north", "kind": "m2", "cell": 3,
                "state": state, "weight": 1.0, "started_ms": 0})
        };
        let replicas: Vec<_> = states.iter().enumerate().map(entry).collect();
        let list = json!({"version": version, "full": whole, "servers": replicas});
        self.say.send(format!("{list}\n")).unwrap();
    }
}

/// A folder entry that is gone after the test.
pub struct ConfigurationFile(pub std::path::PathBuf);

impl ConfigurationFile {
    pub fn write(text: &str) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("whinwall-{}-{count}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        ConfigurationFile(path)
    }
}

impl Drop for ConfigurationFile {
    fn drop(&mut self) {
        _ = std::fs::remove_file(&self.0);
    }
}

pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    pub log: Heard<String>,
    pub file: ConfigurationFile,
}

pub fn configuration() -> Value {
    let mut file: Value = serde_json::from_str(include_str!("../../../../deploy/example.json")).unwrap();
    file["listen"] = json!("127.0.0.1:0");
    file
}

pub fn command(file: &ConfigurationFile) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinwall-controller"));
    command.env_clear().env("PROXY_CONFIG", &file.0).stderr(Stdio::piped()).stdin(Stdio::null());
    command
}

impl Program {
    pub fn start(relay: &Relay, discovery: &Discovery) -> Self {
        Program::start_with(relay, discovery, |_| {})
    }

    pub fn start_with(relay: &Relay, discovery: &Discovery, change: impl Fn(&mut Value)) -> Self {
        let mut file = configuration();
        file["distributor"]["address"] = json!(relay.address.to_string());
        change(&mut file);
        let file = ConfigurationFile::write(&file.to_string());
        let mut command = command(&file);
        command.env("PROXY_DISCOVERY", discovery.address.to_string());
        Program::spawn(command, file)
    }

    pub fn spawn(command: Command, file: ConfigurationFile) -> Self {
        let mut program = Program::launch(command, file);
        program.serves();
        program
    }

    /// One that need not serve yet.
    pub fn launch(mut command: Command, file: ConfigurationFile) -> Self {
        let mut child = command.spawn().unwrap();
        let (says, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| says.send(line)));
        Program { child, address: SocketAddr::from(([127, 0, 0, 1], 0)), log: Heard::new(log), file }
    }

    pub fn serves(&mut self) {
        let serves =
            self.log.wait("the address", |line: &String| line.contains("listening for collectors address="));
        self.address = serves.split("address=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap();
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Stands still: whatever happens until it goes on, it meets at once.
    pub fn stops(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            thread::yield_now();
        }
    }

    pub fn goes_on(&self) {
        self.signal(Signal::CONT);
    }

    pub fn logs(&mut self, with: &str) -> String {
        self.log.wait(with, |line: &String| line.contains(with))
    }

    pub fn connect(&self) -> Peer {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Peer { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// The configuration is replaced, and the program told.
    pub fn reads_anew(&self, text: &str) {
        std::fs::write(&self.file.0, text).unwrap();
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
    }

    pub fn ends(&mut self) -> ExitStatus {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("it does not end");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Somebody at the controller's address.
pub struct Peer {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn says(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    pub fn pings(&mut self) {
        self.says(r#"{"@type":"PING"}"#);
        let mut answer = String::new();
        self.reader.read_line(&mut answer).unwrap();
        assert_eq!(answer, "{\"@type\":\"PONG\"}\n");
    }

    pub fn joins(&mut self) {
        self.says(r#"{"@type":"SOURCE","az":"north"}"#);
        self.pings();
    }

    /// Nothing more can be read: the other side has let go.
    pub fn is_let_go(&mut self) -> bool {
        self.let_go_in(PATIENCE)
    }

    /// ... within this time, whatever it said before.
    pub fn let_go_in(&mut self, time: Duration) -> bool {
        self.stream.set_read_timeout(Some(time)).unwrap();
        match self.reader.read_to_end(&mut Vec::new()) {
            Err(why) => !matches!(why.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
            Ok(_) => true,
        }
    }
}

pub fn all() -> (Relay, Discovery, Program) {
    let (relay, discovery) = (Relay::start(), Discovery::start());
    let program = Program::start(&relay, &discovery);
    (relay, discovery, program)
}
