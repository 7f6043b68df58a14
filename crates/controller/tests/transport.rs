//! Tests of the transport: slow and hanging connect attempts, connections of an incarnation that has ended, and replies
//! during the shutdown.

use std::cell::Cell;
use std::future::Future;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
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

/// Each connect attempt takes three times the interval between attempts. It has to continue when the next one starts,
/// otherwise none would succeed.
#[test]
fn slow_connect_attempts_succeed() {
    let interval = Duration::from_millis(20);
    let attempts_started = Cell::new(0);
    let slow = async || {
        attempts_started.set(attempts_started.get() + 1);
        actix_rt::time::sleep(interval * 3).await;
        Ok(attempts_started.get())
    };
    let result = run(first_success(interval, 8, slow));
    assert!(result.is_ok_and(|attempts| attempts > 1), "another attempt starts meanwhile");
    let hangs = async || std::future::pending::<Result<(), StreamError>>().await;
    assert_eq!(
        run(first_success(interval, 2, hangs)),
        Err(StreamError::TimedOut),
        "hanging attempts time out"
    );
}

/// A refused attempt fails at once. After an attempt that gets no response the next one succeeds.
#[test]
fn refused_connect_fails_at_once_and_a_hanging_one_is_retried() {
    let refused = async || Err::<(), _>(StreamError::Unreachable("refused".into()));
    let long_interval = Duration::from_secs(60);
    assert_eq!(
        run(first_success(long_interval, 8, refused)),
        Err(StreamError::Unreachable("refused".into()))
    );
    let attempts = Cell::new(0);
    let first_hangs = async || {
        attempts.set(attempts.get() + 1);
        match attempts.get() {
            1 => std::future::pending().await,
            attempt => Ok(attempt),
        }
    };
    assert_eq!(run(first_success(Duration::from_millis(5), 8, first_hangs)), Ok(2));
}

/// Returns a listener with a full backlog that accepts no connections, so that a connect attempt to its address is
/// neither accepted nor refused.
fn unresponsive_listener() -> (std::net::TcpListener, Vec<std::net::TcpStream>, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::net::listen(&listener, 0).unwrap();
    let address = listener.local_addr().unwrap();
    let connect = || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(300));
    let queued = std::iter::from_fn(|| connect().ok()).collect();
    (listener, queued, address)
}

/// A hanging connect attempt delays neither a change of the relay nor the shutdown: the request fails as not sent.
#[test]
fn hanging_connect_is_abandoned_when_the_relay_changes() {
    let (_listener, _queued, relay) = unresponsive_listener();
    for new_relay in [None, Some(SocketAddr::from(([127, 0, 0, 1], 9)))] {
        run(async {
            let ((request_sender, request_receiver), (inbox, mut arrived)) =
                (mpsc::channel(1), mpsc::channel(1));
            let (relay_sender, relay_receiver) = watch::channel(Some(relay));
            actix_rt::spawn(relay_requests::serve(request_receiver, relay_receiver, inbox));
            let (_canceller, cancellation) = oneshot::channel();
            request_sender
                .send(relay_requests::RelayRequest {
                    relay,
                    line: "APPLY SYNC,1,1".into(),
                    needs_new_connection: false,
                    cancellation,
                })
                .await
                .unwrap();
            // Waits until the request is taken from the channel and the connect attempt has started.
            while request_sender.capacity() == 0 {
                actix_rt::task::yield_now().await;
            }
            relay_sender.send(new_relay).unwrap();
            let time_limit = limits::CONNECT_RETRY_INTERVAL * limits::MAX_CONNECT_ATTEMPTS as u32 / 2;
            let response = actix_rt::time::timeout(time_limit, arrived.recv())
                .await
                .expect("no response before the connect attempt times out");
            let Some(Input::RelayResponse(Err(RequestError::NotSent(_)))) = response else {
                panic!("{response:?}")
            };
        });
    }
}

/// Guards against a request that is sent although the state it was based on is no longer known (review/1): the
/// connection comes up only after the request was cancelled.
#[test]
fn request_that_is_cancelled_while_connecting_is_not_sent() {
    let (listener, queued, relay) = unresponsive_listener();
    run(async {
        let ((request_sender, request_receiver), (inbox, mut arrived)) = (mpsc::channel(1), mpsc::channel(1));
        let (_relay_sender, relay_receiver) = watch::channel(Some(relay));
        actix_rt::spawn(relay_requests::serve(request_receiver, relay_receiver, inbox));
        let (canceller, cancellation) = oneshot::channel();
        let line = "APPLY SYNC,1,1".into();
        let request = relay_requests::RelayRequest { relay, line, needs_new_connection: false, cancellation };
        request_sender.send(request).await.unwrap();
        while request_sender.capacity() == 0 {
            actix_rt::task::yield_now().await;
        }
        drop(canceller);
        let time_limit = limits::CONNECT_RETRY_INTERVAL * limits::MAX_CONNECT_ATTEMPTS as u32 / 2;
        let response = actix_rt::time::timeout(time_limit, arrived.recv())
            .await
            .expect("no response before the connect attempt times out");
        let Some(Input::RelayResponse(Err(RequestError::NotSent(_)))) = response else {
            panic!("{response:?}")
        };
    });
    // Whatever was queued at the listener has been sent nothing.
    let queued: Vec<std::net::TcpStream> = queued;
    drop(queued);
    listener.set_nonblocking(true).unwrap();
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    for (mut stream, _) in accepted {
        stream.set_nonblocking(false).unwrap();
        let mut received = Vec::new();
        _ = std::io::Read::read_to_end(&mut stream, &mut received);
        assert_eq!(received, b"", "a cancelled request was sent");
    }
}

/// After a panic a new incarnation accepts connections. Those of the previous incarnation are closed, even if they are
/// idle.
#[test]
fn connections_end_with_the_incarnation_that_accepted_them() {
    let (address_sender, address) = channel();
    let (end_incarnation, incarnation_ended) = tokio::sync::oneshot::channel::<()>();
    let incarnation = std::thread::spawn(move || {
        run(async {
            let listener = Rc::new(actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            let (inbox, mut arrived) = mpsc::channel(8);
            let reader = LocalReader { bounds: Bounds::new(8, 1 << 20), inputs: inbox };
            let bounds = Bounds::new(8, 1 << 20);
            let accept_task = actix_rt::spawn(listener::listen(listener.clone(), bounds, reader));
            let line = arrived.recv().await;
            assert!(matches!(line, Some(Input::Line { .. })), "{line:?}");
            accept_task.abort();
            _ = incarnation_ended.await;
        });
    });
    let mut idle = std::net::TcpStream::connect(address.recv().unwrap()).unwrap();
    idle.write_all(b"{\"@type\":\"PING\"}\n").unwrap();
    // Shorter than the time that an unauthenticated peer may stay connected.
    idle.set_read_timeout(Some(limits::AUTHENTICATION_TIMEOUT / 2)).unwrap();
    let ended = idle.read(&mut [0; 64]);
    assert!(
        matches!(ended, Ok(0))
            || ended.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
    );
    end_incarnation.send(()).unwrap();
    incarnation.join().unwrap();
}

/// Versions start at a number derived from the seed, so that after a panic an acknowledgement for the previous
/// incarnation is not taken for one of the new incarnation.
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
        assert!(versions.insert(config.seed as u16), "two incarnations start at the same version");
    }
}

/// A collector that keeps sending during the shutdown gets a reply to each line that was read. The connection used to
/// be closed after 20 ms, when the time-out for the rest of a partial line expired, although replies were pending.
#[test]
fn collector_that_keeps_sending_gets_a_reply_to_each_line_that_was_read() {
    let (address_sender, address) = channel();
    let owner = std::thread::spawn(move || {
        run(async {
            let listener = Rc::new(actix_rt::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            let (inbox, mut arrived) = mpsc::channel(8);
            let bounds = Bounds::new(8, 1 << 20);
            let reader = LocalReader { bounds: bounds.clone(), inputs: inbox };
            let (trigger, signal, mut running) = shutdown::channel();
            let connection_shutdown = ConnectionShutdown { signal, notice: "".into() };
            actix_rt::spawn(listener::listen_until(listener, bounds, reader, connection_shutdown));
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
                        // Replies are delayed by 10 ms, so that some are pending at any time.
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
    // The connection may end with a reset, because the collector keeps sending. Replies received before the reset
    // count.
    let (mut replies, mut byte) = (0, [0]);
    while matches!(stream.read(&mut byte), Ok(1)) {
        replies += usize::from(byte[0] == b'\n');
    }
    _ = stream.shutdown(std::net::Shutdown::Both);
    sending.join().unwrap();
    let lines = owner.join().unwrap();
    assert_eq!(replies, lines);
}
