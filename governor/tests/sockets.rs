//! The program as it is started, spoken to over loopback sockets by stand-ins for all it meets.

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
const PATIENCE: Duration = Duration::from_secs(20);

/// What others say, to be waited for in any order.
struct Heard<T> {
    arrives: Receiver<T>,
    kept: VecDeque<T>,
}

impl<T> Heard<T> {
    fn new(arrives: Receiver<T>) -> Self {
        Heard { arrives, kept: VecDeque::new() }
    }

    /// The first that fits; what does not is kept for later.
    fn wait(&mut self, what: &str, fits: impl Fn(&T) -> bool) -> T {
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
struct Said {
    line: String,
    way: TcpStream,
}

struct Relay {
    address: SocketAddr,
    heard: Heard<Said>,
}

impl Relay {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (says, heard) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let says = says.clone();
                thread::spawn(move || {
                    let lines = BufReader::new(stream.try_clone().unwrap()).split(b'\n');
                    for line in lines.map_while(Result::ok) {
                        let line = String::from_utf8(line).unwrap();
                        let line = line.strip_suffix('\r').expect("a line that ends in CRLF").to_string();
                        if says.send(Said { line, way: stream.try_clone().unwrap() }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Relay { address, heard: Heard::new(heard) }
    }

    /// A connection that asks for news.
    fn watcher(&mut self) -> TcpStream {
        self.heard.wait("WATCH", |said| said.line == "WATCH").way
    }

    /// ... and what stands, told to it.
    fn introduce(&mut self) -> TcpStream {
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

    fn call(&mut self, with: &str) -> Said {
        self.heard.wait(&format!("a call with {with}"), |said| said.line.contains(with))
    }

    /// Answers calls until one has this in it.
    fn answer_until(&mut self, with: &str) -> Said {
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
    fn carried_out(mut self) {
        let orders = self.line.split(';').count();
        // On a busy machine the answer may come too late, and the call again.
        _ = write!(self.way, "OK {orders}\r\n");
    }
}

/// A request for the list, with the way to say something: dropped, the answer ends.
struct Watch {
    path: String,
    say: UnboundedSender<String>,
}

struct Discovery {
    address: SocketAddr,
    heard: Heard<Watch>,
}

impl Discovery {
    fn start() -> Self {
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
            })
        });
        Discovery { address: address.recv().unwrap(), heard: Heard::new(heard) }
    }

    fn watch(&mut self, since: u64) -> Watch {
        let path = format!("/registry/instances?follow=1&since={since}");
        self.heard.wait(&path, |watch| watch.path == path)
    }

    /// A watch from the start, and the whole list told to it.
    fn introduce(&mut self) -> Watch {
        let watch = self.watch(0);
        watch.list(41, true, &["active", "active", "active"]);
        watch
    }
}

impl Watch {
    fn list(&self, version: u64, whole: bool, states: &[&str]) {
        let entry = |(n, state): (usize, &&str)| {
            json!({"id": format!("s-{n}"), "addr": "127.0.0.9:1", "zone": "north", "kind": "m2", "cell": 3,
                "state": state, "weight": 1.0, "started_ms": 0})
        };
        let servers: Vec<_> = states.iter().enumerate().map(entry).collect();
        let list = json!({"version": version, "full": whole, "servers": servers});
        self.say.send(format!("{list}\n")).unwrap();
    }
}

/// A folder entry that is gone after the test.
struct ConfigurationFile(std::path::PathBuf);

impl ConfigurationFile {
    fn write(text: &str) -> Self {
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

struct Program {
    child: Child,
    address: SocketAddr,
    log: Heard<String>,
    file: ConfigurationFile,
}

fn configuration() -> Value {
    let mut file: Value = serde_json::from_str(include_str!("../../deploy/example.json")).unwrap();
    file["listen"] = json!("127.0.0.1:0");
    file
}

fn command(file: &ConfigurationFile) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinwall-governor"));
    command.env_clear().env("PROXY_CONFIG", &file.0).stderr(Stdio::piped()).stdin(Stdio::null());
    command
}

impl Program {
    fn start(relay: &Relay, discovery: &Discovery) -> Self {
        Program::start_with(relay, discovery, |_| {})
    }

    fn start_with(relay: &Relay, discovery: &Discovery, change: impl Fn(&mut Value)) -> Self {
        let mut file = configuration();
        file["distributor"]["address"] = json!(relay.address.to_string());
        change(&mut file);
        let file = ConfigurationFile::write(&file.to_string());
        let discovery = discovery.address.to_string();
        let mut child = command(&file).env("PROXY_DISCOVERY", discovery).spawn().unwrap();
        let (says, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| says.send(line)));
        let mut log = Heard::new(log);
        let serves = log.wait("the address", |line: &String| line.contains("serves at"));
        let address = serves.rsplit(' ').next().unwrap().parse().unwrap();
        Program { child, address, log, file }
    }

    fn connect(&self) -> Peer {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Peer { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// The configuration is replaced, and the program told.
    fn reads_anew(&self, text: &str) {
        std::fs::write(&self.file.0, text).unwrap();
        kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
    }

    fn ends(&mut self) -> ExitStatus {
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

/// Somebody at the governor's address.
struct Peer {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Peer {
    fn says(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    fn pings(&mut self) {
        self.says(r#"{"@type":"PING"}"#);
        let mut answer = String::new();
        self.reader.read_line(&mut answer).unwrap();
        assert_eq!(answer, "{\"@type\":\"PONG\"}\n");
    }

    fn joins(&mut self) {
        self.says(r#"{"@type":"SOURCE","az":"north"}"#);
        self.pings();
    }

    /// Nothing more can be read: the other side has let go.
    fn is_let_go(&mut self) -> bool {
        self.let_go_in(PATIENCE)
    }

    /// ... within this time, whatever it said before.
    fn let_go_in(&mut self, time: Duration) -> bool {
        self.stream.set_read_timeout(Some(time)).unwrap();
        match self.reader.read_to_end(&mut Vec::new()) {
            Err(why) => !matches!(why.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
            Ok(_) => true,
        }
    }
}

fn all() -> (Relay, Discovery, Program) {
    let (relay, discovery) = (Relay::start(), Discovery::start());
    let program = Program::start(&relay, &discovery);
    (relay, discovery, program)
}

#[test]
fn a_faulty_configuration_names_its_key() {
    let refuses = |text: &str, expected: &str| {
        let file = ConfigurationFile::write(text);
        let output = command(&file).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.contains(expected), "{said:?} lacks {expected:?}");
    };
    refuses("{ no JSON", "line 1");
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 11] = [
        (|file| file["settings"]["familyInfo"]["fixedCost"] = json!("eight"), "familyInfo.fixedCost"),
        (|file| _ = file["settings"]["familyInfo"].as_object_mut().unwrap().remove("queueCap"), "queueCap"),
        (|file| file["settings"]["classes"][1]["targetNs"] = json!(-4), "classes[1].targetNs"),
        (|file| file["settings"]["membershipMode"] = json!("guess"), "membershipMode"),
        (|file| file["settings"]["familyInfo"]["queueCap"] = json!(-1), "queueCap"),
        (|file| file["settings"]["classes"] = json!([]), "classes"),
        (|file| file["listen"] = json!("here"), "listen"),
        (|file| _ = file.as_object_mut().unwrap().remove("discovery"), "PROXY_DISCOVERY"),
        (|file| file["distributor"] = json!({}), "distributor"),
        (|file| file["limits"] = json!({"sockets": 3}), "limits.sockets"),
        (|file| file["seed"] = json!("not hexadecimal"), "seed"),
    ];
    for (change, expected) in cases {
        let mut file = configuration();
        change(&mut file);
        refuses(&file.to_string(), expected);
    }
    let gone = ConfigurationFile("/nowhere/at/all.json".into());
    let output = command(&gone).output().unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("PROXY_CONFIG"));
}

#[test]
fn a_drain_goes_from_the_list_to_the_store() {
    let (mut relay, mut discovery, mut program) = all();
    program.connect().pings();
    let watch = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    watch.list(42, false, &["active", "leaving"]);
    let call = relay.answer_until("OUT,s-1;");
    assert!(call.line.contains("SET,1,s-1,0") && call.line.contains("SET,4,s-1,0"), "{}", call.line);
    call.carried_out();
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.ends().success());
}

#[test]
fn what_collectors_report_is_acted_on() {
    let (mut relay, mut discovery, program) = all();
    let _watch = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    let mut collector = program.connect();
    collector.says(r#"{"@type":"SOURCE","az":"north"}"#);
    // One that fails all it is asked, quickly, in between lines that say nothing of use.
    let end = Instant::now() + PATIENCE;
    while !relay.heard.arrives.try_iter().any(|said| {
        let out = said.line.contains("OUT,s-1;");
        said.carried_out();
        out
    }) {
        assert!(Instant::now() < end, "s-1 is not withdrawn");
        for line in [
            r#"{"@type":"LOAD","az":"north","host":"s-0","n":9,"bad":0,"avg":41.7,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"north","host":"s-1","n":9,"bad":9,"avg":0.0,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"north","host":"s-2","n":9,"bad":0,"avg":41.7,"window":100.0}"#,
            r#"{"@type":"SHARD","partition":1,"kind":"lookup","n":9,"bad":9,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"north"}"#,
        ] {
            collector.says(line);
        }
        thread::sleep(Duration::from_millis(100));
    }
    collector.pings();
}

#[test]
fn a_call_is_repeated_until_its_outcome_is_known() {
    let (mut relay, mut discovery, _program) = all();
    let watch = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    watch.list(42, false, &["active", "leaving"]);
    let first = relay.answer_until("OUT,s-1;");
    let line = first.line.clone();
    let mut way = first.way;
    // Silence; a break; half an answer and a break; something that is no answer; a refusal for now.
    for (answer, ends) in
        [("", false), ("", true), ("OK 1", true), ("HELLO\r\n", false), ("ERR unavailable\r\n", false)]
    {
        _ = way.write_all(answer.as_bytes());
        if ends {
            _ = way.shutdown(std::net::Shutdown::Both);
        }
        let again = relay.call("APPLY ");
        assert_eq!(again.line, line, "after {answer:?}");
        way = again.way;
    }
    // A late answer on an old connection is nobody's.
    Said { line, way }.carried_out();
}

#[test]
fn news_are_asked_for_again_when_they_break_off() {
    let (mut relay, mut discovery, mut program) = all();
    let _watch = discovery.introduce();
    let stands = |line: &String| line.contains("3 proxies, 6 slices,");
    let mut news = relay.introduce();
    program.log.wait("a snapshot", stands);
    // Half a line and the end; what can't be read; silence (no sign of life for seconds).
    for (last, ends) in [("* CLOSED 2", true), ("* WHAT 7\r\n", false), ("\u{0}\r\n", false), ("", false)] {
        news.write_all(last.as_bytes()).unwrap();
        if ends {
            news.shutdown(std::net::Shutdown::Both).unwrap();
        }
        news = relay.introduce();
        program.log.wait("a snapshot", stands);
    }
}

#[test]
fn the_list_is_watched_again_when_it_is_lost() {
    let (_relay, mut discovery, program) = all();
    discovery.introduce().list(43, false, &["active"]); // and the answer ends
    let watch = discovery.watch(43);
    watch.say.send("{\"version\":44,\"full\":false,\"ser".into()).unwrap();
    drop(watch); // cut in half, it counts for nothing
    let watch = discovery.watch(43);
    watch.say.send("\nno list\n".into()).unwrap();
    let watch = discovery.watch(0); // who says such things may have said wrong ones before
    watch.list(45, true, &["active"]);
    let silent = discovery.watch(45); // silence
    program.connect().pings();
    drop((watch, silent));
}

#[test]
fn all_ways_may_fail_at_once() {
    let (mut relay, mut discovery, program) = all();
    let watch = discovery.introduce();
    let news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    watch.list(42, false, &["leaving"]);
    let open = relay.answer_until("OUT,s-0;");
    drop(watch);
    _ = news.shutdown(std::net::Shutdown::Both);
    _ = open.way.shutdown(std::net::Shutdown::Both);
    let _strangers: Vec<_> = (0..40).map(|_| program.connect()).collect();
    // All are back, and more has happened: what was open is carried out, then what is new.
    let watch = discovery.watch(42);
    watch.list(43, false, &["leaving", "leaving"]);
    let _news = relay.introduce();
    relay.call("OUT,s-0;").carried_out();
    let call = relay.answer_until("OUT,s-1;");
    assert!(call.line.contains("SET,1,s-1,0") && call.line.contains("SET,4,s-1,0"), "{}", call.line);
}

#[test]
fn strangers_cost_nobody_else_a_place() {
    let (relay, discovery) = (Relay::start(), Discovery::start());
    let program = Program::start_with(&relay, &discovery, |file| {
        file["limits"] = json!({"sockets": 128, "memory_mb": 31.5})
    });
    let mut collector = program.connect();
    collector.joins();
    let mut strangers: Vec<_> = (0..64).map(|_| program.connect()).collect();
    collector.pings();
    assert!(strangers[0].is_let_go(), "64 strangers fit where 32 connections may be");
    let held = || std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
    assert!(held() < 64, "{} descriptors", held());
    collector.pings();
}

#[test]
fn whoever_is_of_no_use_hears_so_and_goes() {
    let (_relay, _discovery, mut program) = all();
    let mut collector = program.connect();
    collector.joins();
    let met = r#"{"@type":"LOAD","az":"north","host":"s-0","n":9,"bad":0,"avg":41.7,"window":100.0}"#;
    for line in [
        "GET / HTTP/1.1\r\nHost: x\r\n\r",
        "{\"@type\":",
        "\0\0\0\u{7f}",
        met,
        r#"{"@type":"SOURCE","az":"nowhere"}"#,
        r#"{"@type":"SUBSCRIBE","sidecar":3,"az":"north","share":1.5,"standing":true}"#,
        r#"{"@type":"SET","partition":1,"host":"s-0","weight":1.0}"#,
    ] {
        let mut stranger = program.connect();
        stranger.says(line);
        let mut answer = String::new();
        _ = stranger.reader.read_line(&mut answer);
        assert!(answer.starts_with(r#"{"@type":"NACK""#), "{line}: {answer}");
        assert!(stranger.is_let_go());
    }
    // Nothing, half a line, no end of a line, a sign of life now and then: all gain no time.
    let began = Instant::now();
    let mut strangers: Vec<_> = (0..4).map(|_| program.connect()).collect();
    strangers[1].stream.write_all(b"{\"@type\":\"SOU").unwrap();
    while strangers[2].stream.write_all(&[b'x'; 4096]).is_ok() {}
    while strangers[3].stream.write_all(b"{\"@type\":\"PING\"}\n").is_ok() {
        thread::sleep(Duration::from_millis(20));
    }
    assert!(strangers.iter_mut().all(|stranger| stranger.let_go_in(Duration::from_millis(10))));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    collector.pings();
    // A spoilt report is passed over; one that can't be read ends the connection, so that it comes back.
    collector
        .says(r#"{"@type":"LOAD","az":"north","host":"s-0","n":"nan","bad":0,"avg":41.7,"window":100.0}"#);
    program.log.wait("a note", |line: &String| line.contains("a report is passed over"));
    collector.pings();
    collector.says(&format!("{}{met}", &met[..40]));
    assert!(collector.is_let_go());
}

#[test]
fn a_new_configuration_moves_calls_news_and_watch() {
    let (mut relay, mut discovery, mut program) = all();
    let watch = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    watch.list(42, false, &["active", "leaving"]);
    let open = relay.answer_until("OUT,s-1;");
    let mut file = configuration();
    for (text, key) in [("{\"name\":", "PROXY_CONFIG"), ("{\"distributor\":{}}", "distributor")] {
        program.reads_anew(text);
        program.log.wait(key, |line: &String| line.contains("stays as it was") && line.contains(key));
        program.connect().pings();
    }
    for round in 0..2 {
        // The second time the variable names what the file named in between.
        let (mut second, mut agent) = (Relay::start(), Discovery::start());
        file["distributor"]["address"] = json!(second.address.to_string());
        file["discovery"] = json!(agent.address.to_string());
        file["limits"]["sockets"] = json!(500 + round);
        program.reads_anew(&file.to_string());
        program.log.wait("limits", |line: &String| line.contains("limits has changed"));
        let watch = agent.watch(42 + round);
        _ = open.way.shutdown(std::net::Shutdown::Both);
        let _news = second.introduce();
        if round == 0 {
            let again = second.call("APPLY ");
            assert_eq!(again.line, open.line, "the open call is the first at the new address");
            again.carried_out();
        }
        watch.list(43 + round, false, &["leaving", "leaving"]);
        if round == 0 {
            second.answer_until("OUT,s-0;").carried_out();
        }
    }
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.ends().success());
}

#[test]
fn it_ends_at_once_though_nobody_answers() {
    let (mut relay, _discovery, mut program) = all();
    let _silent = relay.watcher();
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.ends().success());
}
