//! The transport alone: dials that are slow or hang, and connections of a life that is over.

use std::cell::Cell;
use std::future::Future;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use whinwall_controller::program::configuration::{self, ProcessEnvironment};
use whinwall_serving::shutdown;
use whinwall_transport::listener::{self, LocalReader};
use whinwall_transport::{
    first_success, limits, relay_requests, Bounds, ConnectionCommand, ConnectionShutdown, Input,
    RequestError, StreamError,
};

fn run<T>(work: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(work)
}

/// Each dial takes three times as long as we wait before the next: begun anew each time, none would ever succeed.
#[test]
fn slow_connect_attempts_succeed() {
    let every = Duration::from_millis(20);
    let begun = Cell::new(0);
    let slow = async || {
        begun.set(begun.get() + 1);
        actix_rt::time::sleep(every * 3).await;
        Ok(begun.get())
    };
    let reached = run(first_success(every, 8, slow));
    assert!(reached.is_ok_and(|dials| dials > 1), "another is begun meanwhile");
    let hangs = async || std::future::pending::<Result<(), StreamError>>().await;
    assert_eq!(
        run(first_success(every, 2, hangs)),
        Err(StreamError::TimedOut),
        "for ever it is not waited for"
    );
}

/// One that is refused says so at once; one that is lost on its way is made up for by the next.
#[test]
fn refused_and_lost_connect_attempts_cost_no_time() {
    let refused = async || Err::<(), _>(StreamError::Unreachable("refused".into()));
    let long = Duration::from_secs(60);
    assert_eq!(run(first_success(long, 8, refused)), Err(StreamError::Unreachable("refused".into())));
    let dials = Cell::new(0);
    let first_is_lost = async || {
        dials.set(dials.get() + 1);
        match dials.get() {
            1 => std::future::pending().await,
            dial => Ok(dial),
        }
    };
    assert_eq!(run(first_success(Duration::from_millis(5), 8, first_is_lost)), Ok(2));
}

/// Nobody takes connections from its backlog, which is full: a dial there is neither taken nor refused.
fn mute() -> (std::net::TcpListener, Vec<std::net::TcpStream>, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::listen(&listener, 0).unwrap();
    let address = listener.local_addr().unwrap();
    let dial = || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(300));
    let held = std::iter::from_fn(|| dial().ok()).collect();
    (listener, held, address)
}

/// A dial that hangs holds up neither a move to another relay nor the end: the call is given up as not sent.
#[test]
fn hanging_connect_is_abandoned_where_requests_go_elsewhere() {
    let (_listener, _held, relay) = mute();
    for elsewhere in [None, Some(SocketAddr::from(([127, 0, 0, 1], 9)))] {
        run(async {
            let ((make, to_make), (inbox, mut arrived)) = (mpsc::channel(1), mpsc::channel(1));
            let (at, at_relay) = watch::channel(Some(relay));
            actix_rt::spawn(relay_requests::serve(to_make, at_relay, inbox));
            make.send(relay_requests::RelayRequest {
                relay,
                line: "APPLY SYNC,1,1".into(),
                needs_new_connection: false,
            })
            .await
            .unwrap();
            // It is dialling: another call would find no room.
            while make.capacity() == 0 {
                actix_rt::task::yield_now().await;
            }
            at.send(elsewhere).unwrap();
            let bound = limits::CONNECT_RETRY_INTERVAL * limits::MAX_CONNECT_ATTEMPTS as u32 / 2;
            let answer =
                actix_rt::time::timeout(bound, arrived.recv()).await.expect("before the dial's own end");
            let Some(Input::RelayResponse(Err(RequestError::NotSent(_)))) = answer else {
                panic!("{answer:?}")
            };
        });
    }
}

/// After a panic another life takes connections: those of the former one end, though they say nothing.
#[test]
fn connections_end_with_the_incarnation_that_accepted_them() {
    let (say, address) = channel();
    let (over, is_over) = tokio::sync::oneshot::channel::<()>();
    let incarnation = std::thread::spawn(move || {
        run(async {
            let listener = Rc::new(actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
            say.send(listener.local_addr().unwrap()).unwrap();
            let (inbox, mut arrived) = mpsc::channel(8);
            let here = LocalReader { bounds: Bounds::new(8, 1 << 20), inputs: inbox };
            let bounds = Bounds::new(8, 1 << 20);
            let taking = actix_rt::spawn(listener::listen(listener.clone(), bounds, here));
            let line = arrived.recv().await;
            assert!(matches!(line, Some(Input::Line { .. })), "{line:?}");
            taking.abort();
            _ = is_over.await;
        });
    });
    let mut silent = std::net::TcpStream::connect(address.recv().unwrap()).unwrap();
    silent.write_all(b"{\"@type\":\"PING\"}\n").unwrap();
    // Shorter than it may stay without having joined.
    silent.set_read_timeout(Some(limits::AUTHENTICATION_TIMEOUT / 2)).unwrap();
    let ended = silent.read(&mut [0; 64]);
    assert!(
        matches!(ended, Ok(0)) || ended.is_err_and(|why| why.kind() == std::io::ErrorKind::ConnectionReset)
    );
    over.send(()).unwrap();
    incarnation.join().unwrap();
}

/// Marks begin at a number drawn from the seed: in a life after a panic no ack of the former one may pass for one of its.
#[test]
fn incarnation_after_a_panic_draws_a_new_seed() {
    let file = std::env::temp_dir().join(format!("whinwall-incarnation-{}.json", std::process::id()));
    std::fs::write(&file, include_str!("../../../deploy/example.json")).unwrap();
    let read = configuration::load(ProcessEnvironment {
        config_file: Some(file.clone()),
        ..ProcessEnvironment::default()
    });
    std::fs::remove_file(&file).unwrap();
    let mut config = read.unwrap();
    let mut versions = std::collections::BTreeSet::from([config.seed as u16]);
    for _ in 0..20 {
        config.begin_new_incarnation();
        assert!(versions.insert(config.seed as u16), "an incarnation begins where another did");
    }
}

/// A collector that went on pinging as its connection closed was cut off after 20 ms, with replies due to lines that had been
/// read: the time that the rest of a line may take ended the connection as if nothing were owed.
#[test]
fn collector_that_keeps_sending_has_a_reply_to_each_line_that_was_read() {
    let (say, address) = channel();
    let owner = std::thread::spawn(move || {
        run(async {
            let listener = Rc::new(actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
            say.send(listener.local_addr().unwrap()).unwrap();
            let (inbox, mut arrived) = mpsc::channel(8);
            let bounds = Bounds::new(8, 1 << 20);
            let here = LocalReader { bounds: bounds.clone(), inputs: inbox };
            let (trigger, signal, mut running) = shutdown::channel();
            let ending = ConnectionShutdown { signal, notice: "".into() };
            actix_rt::spawn(listener::listen_until(listener, bounds, here, ending));
            let mut lines = 0;
            loop {
                tokio::select! {
                    Some(input) = arrived.recv() => {
                        let Input::Line { commands, .. } = input else { continue };
                        lines += 1;
                        match lines {
                            1 => commands.try_send(ConnectionCommand::MarkAuthenticated).unwrap(),
                            20 => trigger.close(tokio::time::Instant::now() + limits::CLOSE_TIMEOUT),
                            _ => {}
                        }
                        // Replies take a moment, so that some are due at any time.
                        actix_rt::spawn(async move {
                            actix_rt::time::sleep(Duration::from_millis(10)).await;
                            _ = commands.try_send(ConnectionCommand::Send("reply".into()));
                        });
                    }
                    () = running.ended() => return lines,
                }
            }
        })
    });
    let mut stream = std::net::TcpStream::connect(address.recv().unwrap()).unwrap();
    let mut writer = stream.try_clone().unwrap();
    stream.set_nodelay(true).unwrap();
    let sending = std::thread::spawn(move || {
        while writer.write_all(b"line\n").is_ok() {
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    // The connection may end with a reset, as the collector goes on; what came before counts.
    let (mut replies, mut byte) = (0, [0]);
    while matches!(stream.read(&mut byte), Ok(1)) {
        replies += usize::from(byte[0] == b'\n');
    }
    _ = stream.shutdown(std::net::Shutdown::Both);
    sending.join().unwrap();
    let lines = owner.join().unwrap();
    assert_eq!(replies, lines);
}
