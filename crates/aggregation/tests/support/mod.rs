//! Stand-ins for discovery, collectors and controllers, and the program itself, on loopback sockets.

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

/// Far longer than anything takes: a test that waits so long has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Collectors report, and discovery gives a sign of life, this often.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Discovery's agent: each request is answered by the whole list and signs of life.
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
                thread::spawn(move || answer(stream, &list));
            }
        });
        Discovery { address }
    }
}

fn answer(mut stream: TcpStream, list: &str) -> std::io::Result<()> {
    // A request ends in an empty line.
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

/// A collector that says the same again and again, until it is dropped.
pub struct Collector {
    ends: Arc<AtomicBool>,
}

impl Collector {
    pub fn start(to: SocketAddr, zone: &str, reports: &[String]) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let (over, zone) = (ends.clone(), zone.to_string());
        let text: String = reports.iter().map(|line| format!("{line}\n")).collect();
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                // A broken connection is dialed again.
                _ = report(to, &zone, &text, &over);
                thread::sleep(REPORT_INTERVAL);
            }
        });
        Collector { ends }
    }
}

fn report(to: SocketAddr, zone: &str, text: &str, over: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to)?;
    stream.write_all(format!("{{\"@type\":\"SOURCE\",\"az\":\"{zone}\"}}\n").as_bytes())?;
    while !over.load(Ordering::Relaxed) {
        stream.write_all(text.as_bytes())?;
        thread::sleep(REPORT_INTERVAL);
    }
    Ok(())
}

impl Drop for Collector {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

/// A line that came to a controller.
pub struct Line {
    pub text: String,
}

/// A controller: it answers signs of life, and keeps what it is told.
pub struct Controller {
    pub address: SocketAddr,
    pub heard: MessageQueue<Line>,
}

impl Controller {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (says, heard) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let says = says.clone();
                thread::spawn(move || {
                    let mut back = stream.try_clone().unwrap();
                    for text in BufReader::new(stream).lines().map_while(Result::ok) {
                        if text.contains("PING") {
                            _ = back.write_all(b"{\"@type\":\"PONG\"}\n");
                        }
                        if says.send(Line { text }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Controller { address, heard: MessageQueue::new(heard, TEST_TIMEOUT) }
    }

    pub fn hears(&mut self, what: &str) -> Line {
        self.heard.wait(what, |line| line.text.contains(what))
    }
}

/// The program.
pub struct Program {
    child: Child,
    pub address: SocketAddr,
    pub log: MessageQueue<String>,
    file: tempfile::TempPath,
}

impl Program {
    pub fn start(name: &str, file: &str, discovery: &Discovery, more: &[&str]) -> Self {
        let mut program = Program::launch(name, file, discovery, more);
        let serves =
            program.log.wait("the address", |line| line.contains("listening for collectors address="));
        program.address =
            serves.split("address=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap();
        program
    }

    /// One that need not serve.
    pub fn launch(name: &str, file: &str, discovery: &Discovery, more: &[&str]) -> Self {
        let path = tempfile::NamedTempFile::new().unwrap().into_temp_path();
        std::fs::write(&path, file).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_whinwall-aggregator"))
            .args(["--name", name, "--listen", "127.0.0.1:0"])
            .args(["--discovery", &discovery.address.to_string()])
            .args([PathBuf::from("--operators"), path.to_path_buf()])
            .args(more)
            .env_clear()
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (says, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| says.send(line)));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Program { child, address, log: MessageQueue::new(log, TEST_TIMEOUT), file: path }
    }

    pub fn logs(&mut self, with: &str) -> String {
        self.log.wait(with, |line| line.contains(with))
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// The file is replaced, and the program told.
    pub fn reads_anew(&self, file: &str) {
        std::fs::write(&self.file, file).unwrap();
        self.signal(Signal::HUP);
    }

    /// Gone at once, without a word.
    pub fn dies(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn ends(&mut self) -> ExitStatus {
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("it does not end");
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

/// Somebody at the aggregator's address.
pub struct Peer {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn says(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    pub fn hears(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line
    }

    /// Whether the other side closes or resets the connection.
    pub fn is_let_go(&mut self) -> bool {
        match self.reader.read_to_end(&mut Vec::new()) {
            Err(why) => !matches!(why.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
            Ok(_) => true,
        }
    }
}

/// What `path` answers over HTTP.
pub fn get(address: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}
