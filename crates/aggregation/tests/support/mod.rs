//! Fake discovery, collectors and controllers on loopback sockets, and a handle of the aggregator program.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use whinwall_test_support::message_queue::MessageQueue;

/// Time limit of each wait. It is much longer than any step takes, so a test that reaches it has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of collector reports and of heartbeats of discovery.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// A fake discovery agent that answers each request with the complete list and heartbeats.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(list: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = format!("{list}\n");
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let list = list.clone();
                thread::spawn(move || answer_watch(stream, &list));
            }
        });
        Discovery { address }
    }
}

fn answer_watch(mut stream: TcpStream, list: &str) -> std::io::Result<()> {
    // A request ends with an empty line.
    let request = BufReader::new(stream.try_clone()?).lines();
    for line in request {
        if line?.is_empty() {
            break;
        }
    }
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    stream.write_all(chunk(list).as_bytes())?;
    loop {
        stream.write_all(chunk("\n").as_bytes())?;
        thread::sleep(REPORT_INTERVAL);
    }
}

/// A fake collector that sends the same lines repeatedly until it is dropped.
pub struct Collector {
    stop: Arc<AtomicBool>,
}

impl Collector {
    pub fn start(to: SocketAddr, zone: &str, reports: &[String]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, zone) = (stop.clone(), zone.to_string());
        let text: String = reports.iter().map(|line| format!("{line}\n")).collect();
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                // Reconnects after a lost connection.
                _ = send_reports(to, &zone, &text, &stopped);
                thread::sleep(REPORT_INTERVAL);
            }
        });
        Collector { stop }
    }
}

fn send_reports(to: SocketAddr, zone: &str, text: &str, stopped: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to)?;
    stream.write_all(format!("{{\"@type\":\"SOURCE\",\"az\":\"{zone}\"}}\n").as_bytes())?;
    while !stopped.load(Ordering::Relaxed) {
        stream.write_all(text.as_bytes())?;
        thread::sleep(REPORT_INTERVAL);
    }
    Ok(())
}

impl Drop for Collector {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// A line that a controller received.
pub struct Line {
    pub text: String,
}

/// A fake controller that answers pings and records the received lines.
pub struct Controller {
    pub address: SocketAddr,
    pub received: MessageQueue<Line>,
}

impl Controller {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                thread::spawn(move || {
                    let mut replies = stream.try_clone().unwrap();
                    for text in BufReader::new(stream).lines().map_while(Result::ok) {
                        if text.contains("PING") {
                            _ = replies.write_all(b"{\"@type\":\"PONG\"}\n");
                        }
                        if sender.send(Line { text }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Controller { address, received: MessageQueue::new(received, TEST_TIMEOUT) }
    }

    pub fn wait_for_line(&mut self, part: &str) -> Line {
        self.received.wait(part, |line| line.text.contains(part))
    }
}

/// A running aggregator program.
pub struct Program {
    child: Child,
    pub address: SocketAddr,
    pub log: MessageQueue<String>,
    file: tempfile::TempPath,
}

impl Program {
    pub fn start(name: &str, file: &str, discovery: &Discovery, arguments: &[&str]) -> Self {
        let mut program = Program::launch(name, file, discovery, arguments);
        let line = program.log.wait("the address", |line| line.contains("listening for collectors address="));
        program.address = line.split("address=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap();
        program
    }

    /// Starts the program without waiting until it listens.
    pub fn launch(name: &str, file: &str, discovery: &Discovery, arguments: &[&str]) -> Self {
        let path = tempfile::NamedTempFile::new().unwrap().into_temp_path();
        std::fs::write(&path, file).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_whinwall-aggregator"))
            .args(["--name", name, "--listen", "127.0.0.1:0"])
            .args(["--discovery", &discovery.address.to_string()])
            .args([PathBuf::from("--operators"), path.to_path_buf()])
            .args(arguments)
            .env_clear()
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Program { child, address, log: MessageQueue::new(log, TEST_TIMEOUT), file: path }
    }

    pub fn wait_for_log(&mut self, part: &str) -> String {
        self.log.wait(part, |line| line.contains(part))
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Replaces the file and signals the program to reload it.
    pub fn reload(&self, file: &str) {
        std::fs::write(&self.file, file).unwrap();
        self.signal(Signal::HUP);
    }

    /// Kills the program.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the program did not exit within {TEST_TIMEOUT:?}");
    }

    pub fn connect(&self) -> Peer {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Peer { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// A peer that is connected to the aggregator's address.
pub struct Peer {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn send_line(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line
    }

    /// Returns true if the program closes or resets the connection.
    pub fn is_disconnected(&mut self) -> bool {
        match self.reader.read_to_end(&mut Vec::new()) {
            Err(err) => !matches!(err.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
            Ok(_) => true,
        }
    }
}

/// Returns the HTTP response for `path`.
pub fn get(address: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}
