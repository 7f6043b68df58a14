//! A fake relay and a fake discovery service for one controller, which listen on the loopback interface.

use super::connection::{write_chunk, SharedStream};
use super::WRITE_TIMEOUT;
use crate::scenario::ControllerInput;
use crate::ControllerIndex;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

/// The interval of the keepalives on discovery's stream.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// An input and the controller that sent it.
pub(super) struct ReceivedInput {
    pub(super) controller: ControllerIndex,
    pub(super) input: ControllerInput,
}

/// The addresses of the fake services of one controller.
#[derive(Clone, Copy, Debug)]
pub struct FakeServiceAddresses {
    /// The address of the relay.
    pub relay: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
}

/// The fake relay and the fake discovery service of one controller. Their threads end with the process.
pub struct FakeServices {
    /// The addresses on which the services listen.
    pub addresses: FakeServiceAddresses,
    pub(super) relay_watch: SharedStream,
    pub(super) discovery_watch: SharedStream,
    pub(super) relay_requests: SharedStream,
}

/// The state shared by the connection threads of one controller.
#[derive(Clone)]
struct ConnectionContext {
    controller: ControllerIndex,
    inputs: Sender<ReceivedInput>,
    relay_watch: SharedStream,
    discovery_watch: SharedStream,
    relay_requests: SharedStream,
}

impl ConnectionContext {
    /// Passes an input to the scenario. Returns false if the scenario has ended.
    fn send(&self, input: ControllerInput) -> bool {
        self.inputs.send(ReceivedInput { controller: self.controller, input }).is_ok()
    }
}

impl FakeServices {
    pub(super) fn open(controller: ControllerIndex, inputs: &Sender<ReceivedInput>) -> std::io::Result<Self> {
        let (relay, discovery) = (TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?);
        let addresses =
            FakeServiceAddresses { relay: relay.local_addr()?, discovery: discovery.local_addr()? };
        let context = ConnectionContext {
            controller,
            inputs: inputs.clone(),
            relay_watch: SharedStream::default(),
            discovery_watch: SharedStream::default(),
            relay_requests: SharedStream::default(),
        };
        accept_connections(relay, context.clone(), serve_relay);
        accept_connections(discovery, context.clone(), serve_discovery);
        let ConnectionContext { relay_watch, discovery_watch, relay_requests, .. } = context;
        Ok(FakeServices { addresses, relay_watch, discovery_watch, relay_requests })
    }
}

/// Serves each connection of a listener in a separate thread.
fn accept_connections(
    listener: TcpListener,
    context: ConnectionContext,
    serve: fn(TcpStream, &ConnectionContext),
) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let context = context.clone();
            thread::spawn(move || serve(stream, &context));
        }
    });
}

fn serve_relay(stream: TcpStream, context: &ConnectionContext) {
    _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else { return };
    for line in BufReader::new(reader).lines().map_while(Result::ok) {
        let line = line.trim_end().to_string();
        let (shared, input) = match line.as_str() {
            "WATCH" => (&context.relay_watch, ControllerInput::WatchRelay),
            _ => (&context.relay_requests, ControllerInput::RelayRequest(line)),
        };
        shared.lock().into_iter().for_each(|mut open| *open = stream.try_clone().ok());
        if !context.send(input) {
            return;
        }
    }
}

fn serve_discovery(mut stream: TcpStream, context: &ConnectionContext) {
    _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let Ok(reader) = stream.try_clone() else { return };
    // The request has no body, so it ends at the first empty line.
    let head =
        BufReader::new(reader).lines().map_while(Result::ok).take_while(|line| !line.trim().is_empty());
    if head.count() == 0 || stream.write_all(RESPONSE_HEAD).is_err() {
        return;
    }
    let shared = &context.discovery_watch;
    shared.lock().into_iter().for_each(|mut open| *open = stream.try_clone().ok());
    if context.send(ControllerInput::WatchDiscovery) {
        send_keepalives(&stream, shared);
    }
}

/// Sends keepalives until another connection replaces this stream for the delivery of lists.
fn send_keepalives(stream: &TcpStream, shared: &SharedStream) {
    loop {
        thread::sleep(KEEPALIVE_INTERVAL);
        let Ok(mut open) = shared.lock() else { return };
        let is_current = open.as_ref().and_then(|open| open.peer_addr().ok()) == stream.peer_addr().ok();
        if !is_current || open.as_mut().is_some_and(|open| write_chunk(open, "\n").is_err()) {
            return;
        }
    }
}
