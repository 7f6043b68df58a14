//! Tests of schedules, injectors and records without sockets, then of each kind of fault between two sockets and of the
//! replay of a record.

use quickcheck::{Arbitrary, Gen};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use whinwall_fault_injection::injector::{Injector, Step};
use whinwall_fault_injection::proxy::{forward, FaultSource, InjectionLog};
use whinwall_fault_injection::record::{self, RecordedFaults};
use whinwall_fault_injection::schedule::{self, FaultKind, Garble, Rule, Schedule, Trigger};
use whinwall_fault_injection::Direction::{Down, Up};
use whinwall_policy::time::Span;

fn read(text: &str) -> Schedule {
    schedule::read(text).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn schedules_are_read_and_errors_name_line_and_column() {
    let text = "# all kinds\nseed 7\n\non conn 2 up line 5: garble flip 3 # bytes\non down offset 1000 : cut\n  on up line ~ \"A #1\": delay 50ms..200ms, 3 times\non conn 1 down after 2s: half-close\non start: refuse\non line 1: pieces 3, always\n";
    let schedule = read(text);
    assert_eq!((schedule.seed, schedule.rules.len()), (7, 6));
    let first = Rule {
        connection: Some(2),
        direction: Some(Up),
        trigger: Trigger::Line(5),
        kind: FaultKind::Garble(Garble::Flip, 3),
        times: Some(1),
    };
    assert_eq!(schedule.rules[0], first);
    assert_eq!(schedule.rules[2].trigger, Trigger::Matches("A #1".into()));
    assert_eq!(schedule.rules[2].kind, FaultKind::Delay(Span::ms(50), Span::ms(200)));
    assert_eq!((schedule.rules[2].times, schedule.rules[5].times), (Some(3), None));
    for (text, line, column) in [
        ("on up line 5 garble flip 3", 1, 14),
        ("seed 7\non up line x: cut", 2, 12),
        ("on up: cut", 1, 6),
        ("on start: explode", 1, 11),
        ("on start: delay 2h", 1, 17),
        ("on start: cut now", 1, 15),
        ("off start: cut", 1, 1),
        ("on line 1: delay 9s..1s", 1, 18),
    ] {
        let error = schedule::read(text).unwrap_err();
        assert_eq!(error.line, line, "{text}: {error}");
        assert!(error.column.abs_diff(column) <= 6, "{text}: {error}");
    }
}

/// Returns the forwarded text, with each wait as `~` and each step that ends the stream as `!`.
fn format_steps(steps: Vec<Step>) -> String {
    let format_step = |step| match step {
        Step::Pass(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Step::Wait(_) => "~".into(),
        _ => "!".into(),
    };
    steps.into_iter().map(format_step).collect()
}

fn injector(text: &str) -> Injector {
    Injector::new(&read(text), 1, Up)
}

#[test]
fn rules_apply_at_their_trigger_and_as_often_as_given() {
    let text = b"one\ntwo\nthree\nfour\n";
    for (rules, expected) in [
        ("on line 2: stall 1s", "one\n~two\nthree\nfour\n"),
        ("on offset 5: stall 1s", "one\nt~wo\nthree\nfour\n"),
        ("on line ~ \"t\": stall 1s, 2 times", "one\n~two\n~three\nfour\n"),
        ("on line ~ \"t\": stall 1s, always\non line 4: cut", "one\n~two\n~three\n!"),
        ("on line 2: swap", "one\nthree\ntwo\nfour\n"),
        ("on line ~ \"three\": half-close", "one\ntwo\n!"),
        ("on down line 1: cut", "one\ntwo\nthree\nfour\n"),
        ("on conn 2 line 1: cut", "one\ntwo\nthree\nfour\n"),
        ("on line 3: garble drop 2", "one\ntwo\nree\nfour\n"),
        ("on line 3: garble repeat 2", "one\ntwo\ntthhree\nfour\n"),
    ] {
        let mut injector = injector(rules);
        let mut steps = injector.on_connect();
        steps.extend(injector.on_bytes(text));
        steps.extend(injector.on_end());
        assert_eq!(format_steps(steps), expected, "{rules}");
    }
    let mut garbled = injector("on offset 1: garble flip 1");
    let out = format_steps(garbled.on_bytes(b"abc\n"));
    assert!(out.len() >= 3 && out != "abc\n" && out.starts_with('a'));
}

#[derive(Clone, Debug)]
struct ReadSizes(Vec<usize>);

impl Arbitrary for ReadSizes {
    fn arbitrary(gen: &mut Gen) -> Self {
        ReadSizes((0..12).map(|_| usize::arbitrary(gen) % 7 + 1).collect())
    }
}

const ALL_RULES: &str =
    "seed 9\non line 2: garble insert 3\non offset 9: garble flip 2\non line ~ \"five\": delay 1ms..9ms\n\
    on line 4: swap\non line ~ \"six\": garble drop 1\non offset 30: pieces 2\non line 9: end";
const TEXT: &[u8] = b"one\ntwo\nthree\nfour\nfive\nsix\nseven\neight\nnine\nten\n";

/// Passes `TEXT` through an injector in reads of these sizes. Returns the forwarded bytes and the injected faults.
fn run_through(
    mut injector: Injector,
    sizes_of_reads: &[usize],
    is_replay: bool,
) -> (Vec<u8>, Vec<whinwall_fault_injection::injector::InjectedFault>) {
    let mut steps = if is_replay { injector.replay_on_connect() } else { injector.on_connect() };
    let (mut rest, mut sizes) = (TEXT, sizes_of_reads.iter().cycle());
    while !rest.is_empty() {
        let (current, remaining) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
        steps.extend(injector.on_bytes(current));
        rest = remaining;
    }
    steps.extend(injector.on_end());
    let out = steps
        .iter()
        .filter_map(|step| if let Step::Pass(bytes) = step { Some(bytes.to_vec()) } else { None });
    (out.flatten().collect(), injector.injected)
}

/// The forwarded bytes and the recorded faults do not depend on how the bytes are split into reads. A replay of the
/// record gives the same bytes and faults.
#[test]
fn faults_do_not_depend_on_read_sizes_and_replays_repeat_them() {
    fn gives_same_faults(sizes_of_reads: ReadSizes, other_sizes: ReadSizes) -> bool {
        let (out, injected) = run_through(injector(ALL_RULES), &sizes_of_reads.0, false);
        assert_eq!((out.clone(), injected.clone()), run_through(injector(ALL_RULES), &other_sizes.0, false));
        let recorded = record::read(&record::write(&injected)).unwrap();
        let replaying_injector = || Injector::replaying(1, Up, recorded[&(1, Up)].clone());
        let (replayed, replayed_faults) = run_through(replaying_injector(), &other_sizes.0, true);
        assert_eq!(String::from_utf8_lossy(&replayed), String::from_utf8_lossy(&out));
        record::write(&replayed_faults) == record::write(&injected)
    }
    quickcheck::QuickCheck::new()
        .tests(300)
        .quickcheck(gives_same_faults as fn(ReadSizes, ReadSizes) -> bool);
}

#[test]
fn corrupt_or_truncated_record_is_rejected_at_any_byte() {
    let (_, injected) = run_through(injector(ALL_RULES), &[3], false);
    let bytes = record::write(&injected);
    for at in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 0x10;
        assert!(record::read(&corrupt).is_err(), "byte {at}");
        assert!(record::read(&bytes[..at]).is_err(), "truncated at {at}");
    }
}

/// A fault proxy between the test and an echo server.
struct TestProxy {
    address: SocketAddr,
    log: InjectionLog,
}

fn start_proxy(source: FaultSource) -> TestProxy {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let target_address = target.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in target.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let (mut buffer, mut reader) = ([0; 4096], stream.try_clone().unwrap());
                while let Ok(count @ 1..) = reader.read(&mut buffer) {
                    if stream.write_all(&buffer[..count]).is_err() {
                        return;
                    }
                }
                // A client that has half-closed its connection still receives this line.
                _ = stream.write_all(b"end of stream\n");
            });
        }
    });
    let (address_sender, address) = std::sync::mpsc::channel();
    let log = InjectionLog::default();
    let proxy_log = log.clone();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            _ = forward(listener, target_address, source, proxy_log).await;
        });
    });
    TestProxy { address: address.recv().unwrap(), log }
}

fn start_with_schedule(text: &str) -> TestProxy {
    start_proxy(FaultSource::Schedule(Arc::new(read(text))))
}

impl TestProxy {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream
    }

    /// Sends the text, closes the sending side if `half_closes` is set, and reads until the connection ends.
    fn exchange(&self, text: &[u8], half_closes: bool) -> (Vec<u8>, std::io::Result<()>) {
        let mut stream = self.connect();
        // A reset is reported once, by the next operation. That is the write if the reset came before it.
        let write_result = stream.write_all(text);
        if half_closes {
            _ = stream.shutdown(Shutdown::Write);
        }
        let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return (received, write_result),
                Ok(count) => received.extend(&buffer[..count]),
                Err(error) => return (received, Err(error)),
            }
        }
    }
}

fn received_text(received: (Vec<u8>, std::io::Result<()>)) -> String {
    received.1.unwrap();
    String::from_utf8_lossy(&received.0).into_owned()
}

#[test]
fn half_close_ends_one_direction_and_keeps_the_other_open() {
    let proxy = start_with_schedule("on up line 2: half-close");
    let mut stream = proxy.connect();
    stream.write_all(b"one\ntwo\n").unwrap();
    // The target has received the end; its reply still arrives, and the client's sending side is open.
    let mut received = [0; 18];
    stream.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"one\nend of stream\n");
    stream.write_all(b"discarded\n").unwrap();
    assert_eq!(stream.read(&mut received).unwrap(), 0);
}

#[test]
fn cut_and_refuse_reset_end_closes_and_mute_and_silence_keep_the_connection_open() {
    assert_eq!(
        received_text(start_with_schedule("").exchange(b"one\ntwo\n", true)),
        "one\ntwo\nend of stream\n"
    );
    let cut = start_with_schedule("on down line 2: cut").exchange(b"one\ntwo\nthree\n", false);
    assert!(cut.1.is_err() && cut.0.len() <= 4, "expected a reset, not a graceful close: {cut:?}");
    assert_eq!(
        received_text(start_with_schedule("on down line 2: end").exchange(b"one\ntwo\n", false)),
        "one\n"
    );
    assert!(start_with_schedule("on start: refuse").exchange(b"one\n", false).1.is_err());
    for rules in ["on start: mute", "on up line 1: silence"] {
        let mut stream = start_with_schedule(rules).connect();
        stream.write_all(b"one\n").unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        let timeout_error = stream.read(&mut [0; 8]).unwrap_err();
        assert!(
            matches!(timeout_error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
            "{rules}"
        );
    }
    // A rule for one connection does not affect the others.
    let second_only = start_with_schedule("on conn 2 up line 1: end");
    assert_eq!(received_text(second_only.exchange(b"one\n", true)), "one\nend of stream\n");
    assert!(!received_text(second_only.exchange(b"one\n", true)).contains("one"));
    assert_eq!(received_text(second_only.exchange(b"one\n", true)), "one\nend of stream\n");
}

#[test]
fn delays_keep_the_order_and_after_rules_apply_without_traffic() {
    let began = Instant::now();
    let received =
        received_text(start_with_schedule("on up line 2: delay 300ms").exchange(b"one\ntwo\nthree\n", true));
    assert_eq!(received, "one\ntwo\nthree\nend of stream\n");
    assert!(began.elapsed() >= Duration::from_millis(300));
    let began = Instant::now();
    assert_eq!(
        received_text(start_with_schedule("on up after 200ms: end").exchange(b"one\n", false)),
        "one\n"
    );
    assert!(began.elapsed() >= Duration::from_millis(200) && began.elapsed() < Duration::from_secs(5));
}

#[test]
fn replays_of_a_record_repeat_bytes_and_faults() {
    let rules = "seed 3\non up line 2: garble flip 4\non down offset 20: garble insert 3\non conn 2 up line 3: swap\n\
        on up line ~ \"five\": delay 1ms..20ms\non conn 3 down line 4: end\non conn 4 start: refuse";
    let run = |proxy: &TestProxy| -> Vec<Vec<u8>> { (0..4).map(|_| proxy.exchange(TEXT, true).0).collect() };
    let first = start_with_schedule(rules);
    let received = run(&first);
    let recorded = record::write(&first.log.lock().unwrap());
    let faults: Arc<RecordedFaults> = Arc::new(record::read(&recorded).unwrap());
    for round in 0..2 {
        let replaying_proxy = start_proxy(FaultSource::Replay(faults.clone()));
        assert_eq!(run(&replaying_proxy), received, "round {round}");
        assert_eq!(record::write(&replaying_proxy.log.lock().unwrap()), recorded, "round {round}");
    }
    assert!(faults.keys().any(|(_, direction)| *direction == Down));
}

/// Random bytes pass through rules with corruption, swaps and small chunks: the connection stays open and forwards most
/// of them.
#[test]
fn connection_stays_open_for_random_bytes() {
    let proxy = start_with_schedule(
        "on line 1: garble flip 9, always\non line ~ \"a\": swap, always\non offset 100: pieces 7",
    );
    for seed in 0..20u64 {
        let mut random = whinwall_policy::random::Random::from_seed(seed);
        let bytes: Vec<u8> = (0..20_000).map(|_| (random.draw() * 256.0) as u8).collect();
        let (received, _) = proxy.exchange(&bytes, true);
        assert!(received.len() > 15_000, "{} of 20,000 bytes", received.len());
    }
}

/// The five example schedules are valid.
#[test]
fn examples_are_valid_schedules() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert_eq!(files.len(), 5);
    for file in files {
        let rules = read(&std::fs::read_to_string(&file).unwrap()).rules;
        assert!(!rules.is_empty(), "{}", file.display());
    }
}
