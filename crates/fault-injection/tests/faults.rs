//! Schedules, lanes and records without sockets; then each kind of fault between two sockets, and a record
//! that is replayed twice with the same result.

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
    schedule::read(text).unwrap_or_else(|wrong| panic!("{wrong}"))
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
        let wrong = schedule::read(text).unwrap_err();
        assert_eq!(wrong.line, line, "{text}: {wrong}");
        assert!(wrong.column.abs_diff(column) <= 6, "{text}: {wrong}");
    }
}

/// What passes, with waits as `~` and ends as `!`.
fn passed(steps: Vec<Step>) -> String {
    let one = |step| match step {
        Step::Pass(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Step::Wait(_) => "~".into(),
        _ => "!".into(),
    };
    steps.into_iter().map(one).collect()
}

fn injector(text: &str) -> Injector {
    Injector::new(&read(text), 1, Up)
}

#[test]
fn rules_hold_where_they_say_and_as_often() {
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
        assert_eq!(passed(steps), expected, "{rules}");
    }
    let mut garbled = injector("on offset 1: garble flip 1");
    let out = passed(garbled.on_bytes(b"abc\n"));
    assert!(out.len() >= 3 && out != "abc\n" && out.starts_with('a'));
}

#[derive(Clone, Debug)]
struct Cuts(Vec<usize>);

impl Arbitrary for Cuts {
    fn arbitrary(gen: &mut Gen) -> Self {
        Cuts((0..12).map(|_| usize::arbitrary(gen) % 7 + 1).collect())
    }
}

const ALL: &str =
    "seed 9\non line 2: garble insert 3\non offset 9: garble flip 2\non line ~ \"five\": delay 1ms..9ms\n\
    on line 4: swap\non line ~ \"six\": garble drop 1\non offset 30: pieces 2\non line 9: end";
const TEXT: &[u8] = b"one\ntwo\nthree\nfour\nfive\nsix\nseven\neight\nnine\nten\n";

/// The faults of a stream and all that came out of it, read in pieces of these sizes.
fn through(
    mut injector: Injector,
    cuts: &[usize],
    replays: bool,
) -> (Vec<u8>, Vec<whinwall_fault_injection::injector::InjectedFault>) {
    let mut steps = if replays { injector.replay_on_connect() } else { injector.on_connect() };
    let (mut rest, mut sizes) = (TEXT, cuts.iter().cycle());
    while !rest.is_empty() {
        let (now, later) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
        steps.extend(injector.on_bytes(now));
        rest = later;
    }
    steps.extend(injector.on_end());
    let out = steps
        .iter()
        .filter_map(|step| if let Step::Pass(bytes) = step { Some(bytes.to_vec()) } else { None });
    (out.flatten().collect(), injector.injected)
}

/// However the bytes are cut into reads, what is done to them and what is recorded of it is the same; and so
/// it is when the record is replayed.
#[test]
fn faults_depend_on_bytes_and_not_on_reads_and_replays_are_the_same() {
    fn holds(cuts: Cuts, others: Cuts) -> bool {
        let (out, injected) = through(injector(ALL), &cuts.0, false);
        assert_eq!((out.clone(), injected.clone()), through(injector(ALL), &others.0, false));
        let recorded = record::read(&record::write(&injected)).unwrap();
        let again = || Injector::replaying(1, Up, recorded[&(1, Up)].clone());
        let (replayed, same) = through(again(), &others.0, true);
        assert_eq!(String::from_utf8_lossy(&replayed), String::from_utf8_lossy(&out));
        record::write(&same) == record::write(&injected)
    }
    quickcheck::QuickCheck::new().tests(300).quickcheck(holds as fn(Cuts, Cuts) -> bool);
}

#[test]
fn a_spoilt_record_is_refused_whatever_byte_it_is() {
    let (_, injected) = through(injector(ALL), &[3], false);
    let bytes = record::write(&injected);
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x10;
        assert!(record::read(&spoilt).is_err(), "byte {at}");
        assert!(record::read(&bytes[..at]).is_err(), "cut at {at}");
    }
}

/// A tool between the test and an echoing target.
struct Between {
    address: SocketAddr,
    log: InjectionLog,
}

fn between(source: FaultSource) -> Between {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = target.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in target.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let (mut buffer, mut reader) = ([0; 4096], stream.try_clone().unwrap());
                while let Ok(many @ 1..) = reader.read(&mut buffer) {
                    if stream.write_all(&buffer[..many]).is_err() {
                        return;
                    }
                }
                // Whoever has half-closed still hears this.
                _ = stream.write_all(b"heard the end\n");
            });
        }
    });
    let (say, address) = std::sync::mpsc::channel();
    let log = InjectionLog::default();
    let logs = log.clone();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            say.send(listener.local_addr().unwrap()).unwrap();
            _ = forward(listener, to, source, logs).await;
        });
    });
    Between { address: address.recv().unwrap(), log }
}

fn scheduled(text: &str) -> Between {
    between(FaultSource::Schedule(Arc::new(read(text))))
}

impl Between {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream
    }

    /// Says this, ends its side where it should, and hears all that comes.
    fn says(&self, text: &[u8], on_end: bool) -> (Vec<u8>, std::io::Result<()>) {
        let mut stream = self.connect();
        // A reset is told once, by whatever is done next: by this, where it came before.
        let said = stream.write_all(text);
        if on_end {
            _ = stream.shutdown(Shutdown::Write);
        }
        let (mut heard, mut buffer) = (Vec::new(), [0; 4096]);
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return (heard, said),
                Ok(many) => heard.extend(&buffer[..many]),
                Err(why) => return (heard, Err(why)),
            }
        }
    }
}

fn text(heard: (Vec<u8>, std::io::Result<()>)) -> String {
    heard.1.unwrap();
    String::from_utf8_lossy(&heard.0).into_owned()
}

#[test]
fn one_direction_is_half_closed_and_the_other_goes_on() {
    let tool = scheduled("on up line 2: half-close");
    let mut stream = tool.connect();
    stream.write_all(b"one\ntwo\n").unwrap();
    // The target has heard the end; what it says still comes, and our own side is open.
    let mut heard = [0; 18];
    stream.read_exact(&mut heard).unwrap();
    assert_eq!(&heard, b"one\nheard the end\n");
    stream.write_all(b"nobody hears this\n").unwrap();
    assert_eq!(stream.read(&mut heard).unwrap(), 0);
}

#[test]
fn each_way_to_end_or_hold_a_connection_is_as_it_says() {
    assert_eq!(text(scheduled("").says(b"one\ntwo\n", true)), "one\ntwo\nheard the end\n");
    let cut = scheduled("on down line 2: cut").says(b"one\ntwo\nthree\n", false);
    assert!(cut.1.is_err() && cut.0.len() <= 4, "a reset, no end: {cut:?}");
    assert_eq!(text(scheduled("on down line 2: end").says(b"one\ntwo\n", false)), "one\n");
    assert!(scheduled("on start: refuse").says(b"one\n", false).1.is_err());
    for rules in ["on start: mute", "on up line 1: silence"] {
        let mut stream = scheduled(rules).connect();
        stream.write_all(b"one\n").unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        let nothing = stream.read(&mut [0; 8]).unwrap_err();
        assert!(
            matches!(nothing.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
            "{rules}"
        );
    }
    // A rule for one connection leaves the others alone.
    let second = scheduled("on conn 2 up line 1: end");
    assert_eq!(text(second.says(b"one\n", true)), "one\nheard the end\n");
    assert!(!text(second.says(b"one\n", true)).contains("one"));
    assert_eq!(text(second.says(b"one\n", true)), "one\nheard the end\n");
}

#[test]
fn delays_keep_the_order_and_time_ends_what_says_nothing() {
    let began = Instant::now();
    let heard = text(scheduled("on up line 2: delay 300ms").says(b"one\ntwo\nthree\n", true));
    assert_eq!(heard, "one\ntwo\nthree\nheard the end\n");
    assert!(began.elapsed() >= Duration::from_millis(300));
    let began = Instant::now();
    assert_eq!(text(scheduled("on up after 200ms: end").says(b"one\n", false)), "one\n");
    assert!(began.elapsed() >= Duration::from_millis(200) && began.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_recorded_night_is_replayed_twice_alike() {
    let night = "seed 3\non up line 2: garble flip 4\non down offset 20: garble insert 3\non conn 2 up line 3: swap\n\
        on up line ~ \"five\": delay 1ms..20ms\non conn 3 down line 4: end\non conn 4 start: refuse";
    let play = |tool: &Between| -> Vec<Vec<u8>> { (0..4).map(|_| tool.says(TEXT, true).0).collect() };
    let first = scheduled(night);
    let heard = play(&first);
    let recorded = record::write(&first.log.lock().unwrap());
    let faults: Arc<RecordedFaults> = Arc::new(record::read(&recorded).unwrap());
    for round in 0..2 {
        let again = between(FaultSource::Replay(faults.clone()));
        assert_eq!(play(&again), heard, "round {round}");
        assert_eq!(record::write(&again.log.lock().unwrap()), recorded, "round {round}");
    }
    assert!(faults.keys().any(|(_, direction)| *direction == Down));
}

/// Bytes of any kind through rules of any kind: it neither ends nor grows.
#[test]
fn whatever_passes_it_goes_on() {
    let tool =
        scheduled("on line 1: garble flip 9, always\non line ~ \"a\": swap, always\non offset 100: pieces 7");
    for seed in 0..20u64 {
        let mut random = whinwall_policy::random::Random::from_seed(seed);
        let bytes: Vec<u8> = (0..20_000).map(|_| (random.draw() * 256.0) as u8).collect();
        let (heard, _) = tool.says(&bytes, true);
        assert!(heard.len() > 15_000, "{} of 20,000 bytes", heard.len());
    }
}

/// The five troubles that operators name ship as schedules.
#[test]
fn the_examples_are_good_schedules() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert_eq!(files.len(), 5);
    for file in files {
        let rules = read(&std::fs::read_to_string(&file).unwrap()).rules;
        assert!(!rules.is_empty(), "{}", file.display());
    }
}
