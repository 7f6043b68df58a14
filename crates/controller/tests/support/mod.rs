//! A fake relay and a fake discovery agent on loopback sockets, and the controller as a child process.
#![allow(dead_code)] // each test file compiles this module separately and uses a part of it

pub mod channel_model;
pub mod fake_fleet;
pub mod managed_controller;
pub mod random_orders;
pub mod rig;
pub mod store_model;

use actix_http::body::BodyStream;
use actix_http::{HttpService, Request, Response};
use actix_service::{Service, ServiceFactory};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::convert::Infallible;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
pub use whinwall_test_support::message_queue::MessageQueue;

/// Upper bound of each wait, far longer than any correct run needs: a test that reaches it has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A line received by the relay, with the connection for the response.
pub struct RelayRequest {
    pub line: String,
    pub stream: TcpStream,
}

/// A fake relay: tests read the received lines from `messages` and write the responses themselves.
pub struct FakeRelay {
    pub address: SocketAddr,
    pub messages: MessageQueue<RelayRequest>,
}

impl FakeRelay {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, messages) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                thread::spawn(move || {
                    let lines = BufReader::new(stream.try_clone().unwrap()).split(b'\n');
                    for line in lines.map_while(Result::ok) {
                        let line = match String::from_utf8(line) {
                            Ok(line) => {
                                line.strip_suffix('\r').expect("request line ends with CRLF").to_string()
                            }
                            // A test with injected faults has corrupted the line.
                            Err(invalid) => String::from_utf8_lossy(invalid.as_bytes()).into_owned(),
                        };
                        if sender.send(RelayRequest { line, stream: stream.try_clone().unwrap() }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        FakeRelay { address, messages: MessageQueue::new(messages, TEST_TIMEOUT) }
    }

    /// Accepts a relay watch and sends a snapshot of a fleet of this size. Slice n is on replica n modulo `replicas`.
    pub fn serve_fleet_snapshot(&mut self, replicas: usize, slices: usize, proxies: usize) -> TcpStream {
        let mut stream = self.accept_watch();
        let mut lines = vec!["OK".to_string()];
        lines.extend((0..proxies).map(|proxy| format!("* SUBSCRIBE {proxy} north 21.5 1")));
        for slice in 0..slices {
            lines.push(format!("* GRANT {slice} 1"));
            lines.push(format!("* ROW {slice} s-{} 1.0", slice % replicas));
        }
        lines.push("*".into());
        stream.write_all(format!("{}\r\n", lines.join("\r\n")).as_bytes()).unwrap();
        stream
    }

    /// Waits for a relay watch and returns its connection.
    pub fn accept_watch(&mut self) -> TcpStream {
        self.messages.wait("WATCH", |request| request.line == "WATCH").stream
    }

    /// Accepts a relay watch and sends a snapshot of three replicas, six slices and three proxies.
    pub fn serve_snapshot(&mut self) -> TcpStream {
        let mut stream = self.accept_watch();
        let mut lines = vec!["OK".to_string()];
        lines.extend((0..3).map(|proxy| format!("* SUBSCRIBE {proxy} north 21.5 1")));
        for slice in 0..6 {
            lines.push(format!("* GRANT {slice} 1"));
            lines.push(format!("* ROW {slice} s-{} 1.0", slice % 3));
        }
        lines.push("*".into());
        // Sent in pieces that end within lines.
        for piece in format!("{}\r\n", lines.join("\r\n")).as_bytes().chunks(37) {
            stream.write_all(piece).unwrap();
            thread::yield_now();
        }
        stream
    }

    /// Waits for a request line that contains `text`.
    pub fn wait_for_request(&mut self, text: &str) -> RelayRequest {
        self.messages.wait(&format!("request with {text}"), |request| request.line.contains(text))
    }

    /// Accepts requests until one contains `text`. Returns that request without a response.
    pub fn accept_requests_until(&mut self, text: &str) -> RelayRequest {
        loop {
            let request = self.wait_for_request("APPLY ");
            if request.line.contains(text) {
                return request;
            }
            request.accept();
        }
    }
}

impl RelayRequest {
    /// The version of the command set, which proxies are asked to acknowledge.
    pub fn version(&self) -> Option<&str> {
        self.line.split(';').find_map(|command| command.strip_prefix("SYNC,")?.split(',').next())
    }

    /// Responds that all commands are accepted.
    pub fn accept(mut self) {
        let commands = self.line.split(';').count();
        // On a busy machine the response may be late: the controller has closed the connection and retries.
        _ = write!(self.stream, "OK {commands}\r\n");
    }
}

/// An open registry watch with the sender of its response lines. Dropping it ends the response.
pub struct RegistryWatch {
    pub path: String,
    pub lines: UnboundedSender<String>,
}

/// A fake discovery agent: tests accept the registry watches from `messages` and send the lists themselves.
pub struct FakeDiscovery {
    pub address: SocketAddr,
    pub messages: MessageQueue<RegistryWatch>,
}

impl FakeDiscovery {
    pub fn start() -> Self {
        let (address_sender, address) = channel();
        let (sender, messages) = channel();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                address_sender.send(listener.local_addr().unwrap()).unwrap();
                let respond = move |request: Request| {
                    let (lines, receiver) = unbounded_channel::<String>();
                    _ = sender.send(RegistryWatch { path: request.uri().to_string(), lines });
                    let lines = futures_util::stream::unfold(receiver, |mut receiver| async move {
                        let line = receiver.recv().await?;
                        Some((Ok::<_, Infallible>(bytes::Bytes::from(line)), receiver))
                    });
                    async { Ok::<_, Infallible>(Response::ok().set_body(BodyStream::new(lines))) }
                };
                let service = HttpService::build().h1(respond).new_service(()).await.unwrap();
                loop {
                    let (stream, peer) = listener.accept().await.unwrap();
                    actix_rt::spawn(service.call((stream, Some(peer))));
                }
            });
        });
        FakeDiscovery {
            address: address.recv().unwrap(),
            messages: MessageQueue::new(messages, TEST_TIMEOUT),
        }
    }

    /// Waits for a registry watch that starts after version `since`.
    pub fn accept_watch(&mut self, since: u64) -> RegistryWatch {
        let path = format!("/registry/instances?follow=1&since={since}");
        self.messages.wait(&path, |watch| watch.path == path)
    }

    /// Accepts a watch from version 0 and sends a complete list, version 41, of three ready replicas.
    pub fn serve_snapshot(&mut self) -> RegistryWatch {
        let watch = self.accept_watch(0);
        watch.send_list(41, true, &["active", "active", "active"]);
        watch
    }
}

impl RegistryWatch {
    /// Sends a complete list or a list of changes. The state at index n is that of replica `s-n`.
    pub fn send_list(&self, version: u64, is_complete: bool, states: &[&str]) {
        let entry = |(n, state): (usize, &&str)| {
            json!({"id": format!("s-{n}"), "addr": "127.0.0.9:1", "zone": "north", "kind": "m2", "cell": 3,
                "state": state, "weight": 1.0, "started_ms": 0})
        };
        let replicas: Vec<_> = states.iter().enumerate().map(entry).collect();
        let list = json!({"version": version, "full": is_complete, "servers": replicas});
        self.lines.send(format!("{list}\n")).unwrap();
    }
}

/// A temporary configuration file, removed on drop.
pub struct ConfigFile(pub std::path::PathBuf);

impl ConfigFile {
    pub fn write(text: &str) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("whinwall-{}-{count}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        ConfigFile(path)
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        _ = std::fs::remove_file(&self.0);
    }
}

/// A controller process, killed on drop.
pub struct ControllerProcess {
    pub child: Child,
    pub address: SocketAddr,
    pub log: MessageQueue<String>,
    pub file: ConfigFile,
}

/// The configuration of `deploy/example.json`, listening on a free port.
pub fn example_config() -> Value {
    let mut file: Value = serde_json::from_str(include_str!("../../../../deploy/example.json")).unwrap();
    file["listen"] = json!("127.0.0.1:0");
    file
}

/// A command that starts the controller with this configuration file.
pub fn command(file: &ConfigFile) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinwall-controller"));
    command.env_clear().env("PROXY_CONFIG", &file.0).stderr(Stdio::piped()).stdin(Stdio::null());
    command
}

impl ControllerProcess {
    pub fn start(relay: &FakeRelay, discovery: &FakeDiscovery) -> Self {
        ControllerProcess::start_with(relay, discovery, |_| {})
    }

    pub fn start_with(relay: &FakeRelay, discovery: &FakeDiscovery, change: impl Fn(&mut Value)) -> Self {
        ControllerProcess::start_at(relay.address, discovery.address, change)
    }

    /// Starts the process with these addresses of the relay and of the discovery agent.
    pub fn start_at(relay: SocketAddr, discovery: SocketAddr, change: impl Fn(&mut Value)) -> Self {
        let mut file = example_config();
        file["distributor"]["address"] = json!(relay.to_string());
        change(&mut file);
        let file = ConfigFile::write(&file.to_string());
        let mut command = command(&file);
        command.env("PROXY_DISCOVERY", discovery.to_string());
        ControllerProcess::spawn(command, file)
    }

    pub fn spawn(command: Command, file: ConfigFile) -> Self {
        let mut program = ControllerProcess::launch(command, file);
        program.wait_until_listening();
        program
    }

    /// Starts the process and does not wait until it listens.
    pub fn launch(mut command: Command, file: ConfigFile) -> Self {
        let mut child = command.spawn().unwrap();
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        ControllerProcess {
            child,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            log: MessageQueue::new(log, TEST_TIMEOUT),
            file,
        }
    }

    pub fn wait_until_listening(&mut self) {
        let line = self
            .log
            .wait("listen address", |line: &String| line.contains("listening for collectors address="));
        self.address = line.split("address=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap();
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Stops the process, so that it finds all events before `resume` at the same instant.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            thread::yield_now();
        }
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for a log line that contains `text`.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        self.log.wait(text, |line: &String| line.contains(text))
    }

    pub fn connect(&self) -> Peer {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Peer { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload_with(&self, text: &str) {
        std::fs::write(&self.file.0, text).unwrap();
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("controller has not exited within {TEST_TIMEOUT:?}");
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// A connection to the port for collectors and aggregators of the controller.
pub struct Peer {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn send_line(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// Sends a ping and reads the reply.
    pub fn ping(&mut self) {
        self.send_line(r#"{"@type":"PING"}"#);
        let mut reply = String::new();
        self.reader.read_line(&mut reply).unwrap();
        assert_eq!(reply, "{\"@type\":\"PONG\"}\n");
    }

    /// Authenticates as a collector of the zone `north`.
    pub fn join_zone(&mut self) {
        self.send_line(r#"{"@type":"SOURCE","az":"north"}"#);
        self.ping();
    }

    /// Returns true if the controller closes the connection within [`TEST_TIMEOUT`].
    pub fn is_disconnected(&mut self) -> bool {
        self.is_disconnected_within(TEST_TIMEOUT)
    }

    /// Returns true if the controller closes the connection within `time`. Discards received data.
    pub fn is_disconnected_within(&mut self, time: Duration) -> bool {
        self.stream.set_read_timeout(Some(time)).unwrap();
        match self.reader.read_to_end(&mut Vec::new()) {
            Err(error) => {
                !matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
            }
            Ok(_) => true,
        }
    }
}

/// Starts a fake relay, a fake discovery agent and a controller that is configured for them.
pub fn start_with_fakes() -> (FakeRelay, FakeDiscovery, ControllerProcess) {
    let (relay, discovery) = (FakeRelay::start(), FakeDiscovery::start());
    let program = ControllerProcess::start(&relay, &discovery);
    (relay, discovery, program)
}
