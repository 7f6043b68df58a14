//! The limit on queued lines in the command channel, while proxies disconnect, return and fall behind.
//!
//! The tests guard against a controller that underestimates the queued lines and exceeds the limit. The failure
//! comes about as follows:
//!
//! 1. The channel is slow. The proxies that stay connected are seconds behind, and the controller holds commands back,
//!    as their lines are unacknowledged.
//! 2. Other proxies reconnect. Nothing is queued for them, so that they receive and acknowledge new messages at once.
//! 3. The controller takes these acknowledgements as proof that all earlier messages have left the channel. It drops
//!    the lines of the slow proxies from its count and sends more commands.
//!
//! In one run 279 slow proxies had twelve messages to acknowledge, and their newest acknowledgements were 7.9 s old,
//! when 111 reconnected proxies acknowledged the newest message within 0.2 s. The controller's count fell from
//! 112,972 to 59,791 lines.
//!
//! It is not enough to count the unacknowledged lines of each proxy. In six further runs the relay counted the lines of
//! the oldest message that some connected proxy had not received, and of all later messages, including lines that other
//! proxies had acknowledged.

mod support;

use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::channel_model::ChannelModel;
use support::rig::{Rig, OUTCOME_UNKNOWN};
use support::{ControllerProcess, FakeDiscovery, FakeRelay, RegistryWatch, RelayRequest};
use whinwall_policy::time::Span;
use whinwall_protocol::relay::Response;
use whinwall_routing::Event;
use whinwall_transport::{RequestError, StreamError};

const REPLICAS: usize = 12;
const SLICES: usize = 120;
/// Proxies that stay connected and fall behind.
const SLOW_PROXIES: std::ops::Range<u32> = 0..6;
/// Proxies that disconnect and reconnect, with nothing queued for them.
const RETURNING_PROXIES: std::ops::Range<u32> = 6..12;
const ALL_PROXIES: std::ops::Range<u32> = 0..12;
const OVERHEAD_LINES: usize = 8;
const QUEUE_CAPACITY: usize = 1200;
/// Replicas that are drained while the returning proxies are disconnected, as the slow proxies fall behind.
const DRAINED_WHILE_AWAY: std::ops::Range<usize> = 0..3;
/// Replicas that are drained after the returning proxies have reconnected.
const DRAINED_AFTER_RETURN: std::ops::Range<usize> = 3..9;

fn limit_queue(settings: &mut serde_json::Value) {
    settings["familyInfo"]["queueCap"] = json!(QUEUE_CAPACITY);
    settings["familyInfo"]["fixedCost"] = json!(OVERHEAD_LINES);
}

/// A controller of this fleet that has received no list and no snapshot yet.
fn rig_with(change: impl Fn(&mut serde_json::Value)) -> Rig {
    let mut rig = Rig::with_settings(SLICES as u32, |settings| {
        limit_queue(settings);
        change(settings);
    });
    rig.proxies = ALL_PROXIES.end;
    rig.replicas = (0..REPLICAS).map(|n| (format!("s-{n}"), "active")).collect();
    let table = |n| BTreeMap::from([(format!("s-{}", n as usize % REPLICAS), 1.0)]);
    rig.store = (0..SLICES as u32).map(|n| (n, table(n))).collect();
    rig
}

/// A controller that has managed the fleet for 20 s.
fn serving_rig() -> Rig {
    let mut rig = rig_with(|_| {}).start_serving();
    rig.advance_ms(20_000);
    rig
}

/// Advances the time. Requests are accepted, and only the proxies in `acknowledging` acknowledge them.
fn advance(rig: &mut Rig, channel: &mut ChannelModel, time: Span, acknowledging: &[u32]) {
    let end = rig.now + time;
    while rig.now < end {
        rig.now = rig.now + Span::ms(20);
        rig.drain_input();
        let Some(request) = rig.pending_request.take() else { continue };
        let accepted = channel.apply_request(&request);
        rig.apply(Event::RelayResponse(Ok(Response::Accepted(accepted))));
        for proxy in acknowledging {
            for version in channel.deliver_all(*proxy) {
                rig.relay_event(&format!("* ACK {proxy} {version} 90.5"));
            }
        }
    }
}

#[test]
fn acknowledgements_of_returning_proxies_free_no_lines_of_slow_ones() {
    let mut rig = serving_rig();
    let mut channel = ChannelModel::new(OVERHEAD_LINES, ALL_PROXIES);
    for proxy in RETURNING_PROXIES {
        channel.leave(proxy);
        rig.relay_event(&format!("* CLOSED {proxy}"));
    }
    for replica in DRAINED_WHILE_AWAY {
        rig.drain(&format!("s-{replica}"));
        advance(&mut rig, &mut channel, Span::ms(600), &[]);
    }
    let queued = channel.queued_lines();
    assert!(queued > QUEUE_CAPACITY / 4, "only {queued} lines are queued for the slow proxies");
    for proxy in RETURNING_PROXIES {
        channel.join(proxy);
        rig.relay_event(&format!("* SUBSCRIBE {proxy} north 21.5 1"));
    }
    let returning: Vec<u32> = RETURNING_PROXIES.collect();
    for replica in DRAINED_AFTER_RETURN {
        rig.drain(&format!("s-{replica}"));
        advance(&mut rig, &mut channel, Span::ms(600), &returning);
    }
    assert!(
        channel.max_queued_lines <= QUEUE_CAPACITY,
        "{} lines were queued, limit {QUEUE_CAPACITY}",
        channel.max_queued_lines
    );
    // The slow proxies catch up, and the commands that were held back are sent.
    let all: Vec<u32> = ALL_PROXIES.collect();
    for proxy in SLOW_PROXIES {
        for version in channel.deliver_all(proxy) {
            rig.relay_event(&format!("* ACK {proxy} {version} 4000.5"));
        }
    }
    advance(&mut rig, &mut channel, Span::ms(10_000), &all);
    let drained = DRAINED_AFTER_RETURN.last().expect("range is not empty");
    assert!(rig.requests.iter().any(|request| request.contains(&format!("OUT,s-{drained}"))));
    assert!(
        channel.max_queued_lines <= QUEUE_CAPACITY,
        "{} lines were queued, limit {QUEUE_CAPACITY}",
        channel.max_queued_lines
    );
}

/// The machine of a proxy may be gone while its connection stays open. Such a proxy never acknowledges, and only its
/// own lines count: commands to the other proxies go on.
#[test]
fn proxy_that_never_acknowledges_does_not_block_commands() {
    let mut rig = serving_rig();
    let mut channel = ChannelModel::new(OVERHEAD_LINES, ALL_PROXIES);
    let responsive: Vec<u32> = ALL_PROXIES.skip(1).collect();
    for replica in 0..REPLICAS - 2 {
        rig.drain(&format!("s-{replica}"));
        advance(&mut rig, &mut channel, Span::ms(3000), &responsive);
    }
    for replica in 0..REPLICAS - 2 {
        let withdrawal = format!("OUT,s-{replica}");
        assert!(rig.requests.iter().any(|request| request.contains(&withdrawal)), "not sent: {withdrawal}");
    }
}

/// Proxies that connect before the relay applies a request also receive it. All proxies of the fleet may do so,
/// including those whose connection has not been reported to the controller yet.
#[test]
fn proxies_that_connect_before_a_request_is_applied_are_counted() {
    const KNOWN: u32 = 3;
    let mut rig = rig_with(|settings| settings["familyInfo"]["agents"] = json!(ALL_PROXIES.end));
    rig.proxies = KNOWN;
    let mut rig = rig.start_serving();
    rig.advance_ms(20_000);
    let mut channel = ChannelModel::new(OVERHEAD_LINES, 0..KNOWN);
    (0..REPLICAS / 2).for_each(|replica| _ = rig.replicas.insert(format!("s-{replica}"), "leaving"));
    rig.send_list();
    rig.drain_input();
    // The relay is unreachable for 2 s.
    for _ in 0..10 {
        assert!(rig.pending_request.take().is_some(), "request is not retried");
        rig.apply(Event::RelayResponse(Err(RequestError::NotSent(StreamError::TimedOut))));
        rig.now = rig.now + Span::ms(200);
        rig.drain_input();
    }
    // The relay applies the request for all connected proxies. The events of their connections arrive later.
    (KNOWN..ALL_PROXIES.end).for_each(|proxy| channel.join(proxy));
    advance(&mut rig, &mut channel, Span::ms(1000), &[]);
    assert!(channel.max_queued_lines > 0, "request was not applied");
    assert!(
        channel.max_queued_lines <= QUEUE_CAPACITY,
        "{} lines were queued, limit {QUEUE_CAPACITY}",
        channel.max_queued_lines
    );
}

/// No acknowledgement arrives while the relay watch is lost. Their absence does not prove that a request was not
/// applied.
#[test]
fn lost_watch_frees_no_lines_for_a_resend() {
    let mut rig = serving_rig();
    let mut channel = ChannelModel::new(OVERHEAD_LINES, ALL_PROXIES);
    (0..REPLICAS - 2).for_each(|replica| _ = rig.replicas.insert(format!("s-{replica}"), "leaving"));
    rig.send_list();
    rig.drain_input();
    rig.apply(Event::RelayWatchLost(StreamError::TimedOut));
    // Each attempt is applied, and its response lost.
    for _ in 0..100 {
        if let Some(request) = rig.pending_request.take() {
            channel.apply_request(&request);
            rig.apply(OUTCOME_UNKNOWN);
        }
        rig.now = rig.now + Span::ms(100);
        rig.drain_input();
    }
    assert!(channel.max_queued_lines > 0, "no attempt was applied");
    assert!(
        channel.max_queued_lines <= QUEUE_CAPACITY,
        "{} lines were queued, limit {QUEUE_CAPACITY}",
        channel.max_queued_lines
    );
}

/// Commands that are too long for one request become several messages, each with its own overhead.
#[test]
fn overhead_of_each_part_of_a_long_request_is_counted() {
    const OVERHEAD: usize = 20;
    let long_name = |n: usize| format!("s-{n}-{}", "x".repeat(5000));
    let mut rig = rig_with(|settings| settings["familyInfo"]["fixedCost"] = json!(OVERHEAD));
    rig.replicas = (0..REPLICAS).map(|n| (long_name(n), "active")).collect();
    let table = |n| BTreeMap::from([(long_name(n as usize % REPLICAS), 1.0)]);
    rig.store = (0..SLICES as u32).map(|n| (n, table(n))).collect();
    let mut rig = rig.start_serving();
    rig.advance_ms(20_000);
    rig.request_logs.clear();
    let before = rig.requests.len();
    (0..REPLICAS / 2).for_each(|n| _ = rig.replicas.insert(long_name(n), "leaving"));
    rig.send_list();
    rig.drain_input();
    let first = rig.pending_request.take().expect("no request in flight");
    let commands = first.split(';').count();
    rig.apply(Event::RelayResponse(Ok(Response::Accepted(commands))));
    rig.drain_input();
    let parts = &rig.requests[before..];
    assert!(
        parts.len() == 2 && !first.contains("SYNC"),
        "{} requests, two parts of one command set expected",
        parts.len()
    );
    let lines: usize = parts.iter().map(|part| part.split(';').count() + OVERHEAD).sum();
    let sent = rig
        .request_logs
        .iter()
        .rfind(|line| line.contains("relay request sent"))
        .expect("no log line about a request");
    let counted = sent
        .split("unacked_lines=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next())
        .expect("no unacked_lines in the log line");
    let counted: usize = counted.parse().expect("invalid unacked_lines");
    assert!(
        counted >= lines * ALL_PROXIES.len(),
        "{counted} lines counted, at least {} queued",
        lines * ALL_PROXIES.len()
    );
}

/// A controller process with a fake relay and a fake discovery agent that the test controls.
struct Deployment {
    relay: FakeRelay,
    discovery: FakeDiscovery,
    program: ControllerProcess,
    relay_watch: TcpStream,
    registry_watch: RegistryWatch,
    channel: ChannelModel,
    states: Vec<&'static str>,
    list_version: u64,
}

impl Deployment {
    fn start() -> Self {
        let (mut relay, mut discovery) = (FakeRelay::start(), FakeDiscovery::start());
        let program =
            ControllerProcess::start_with(&relay, &discovery, |file| limit_queue(&mut file["settings"]));
        let registry_watch = discovery.accept_watch(0);
        let relay_watch = relay.serve_fleet_snapshot(REPLICAS, SLICES, ALL_PROXIES.end as usize);
        let mut deployment = Deployment {
            relay,
            discovery,
            program,
            relay_watch,
            registry_watch,
            channel: ChannelModel::new(OVERHEAD_LINES, ALL_PROXIES),
            states: vec!["active"; REPLICAS],
            list_version: 41,
        };
        deployment.send_list();
        deployment
    }

    fn send_list(&mut self) {
        self.list_version += 1;
        self.accept_renewed_registry_watch();
        self.registry_watch.send_list(self.list_version, true, &self.states);
    }

    /// Continues on a new registry watch: the controller renews a watch that has no changes.
    fn accept_renewed_registry_watch(&mut self) {
        if let Some(renewed) = self.discovery.messages.receiver.try_iter().last() {
            self.registry_watch = renewed;
            self.registry_watch.send_list(self.list_version, true, &self.states);
        }
    }

    fn send_heartbeats(&mut self) {
        self.send_watch_event("*");
        self.accept_renewed_registry_watch();
        self.registry_watch.lines.send("\n".into()).expect("registry watch is closed");
    }

    fn drain(&mut self, replica: usize) {
        self.states[replica] = "leaving";
        self.send_list();
    }

    fn send_watch_event(&mut self, line: &str) {
        self.relay_watch.write_all(format!("{line}\r\n").as_bytes()).expect("relay watch is closed");
    }

    /// Serves requests for `time`. The proxies in `acknowledging` acknowledge at once.
    fn serve(&mut self, time: Duration, acknowledging: &[u32]) {
        let end = Instant::now() + time;
        let heartbeat = Duration::from_millis(250);
        while Instant::now() < end {
            match self.relay.messages.receiver.recv_timeout(heartbeat) {
                Ok(request) => self.serve_request(request, acknowledging),
                Err(_) => self.send_heartbeats(),
            }
        }
    }

    fn serve_request(&mut self, request: RelayRequest, acknowledging: &[u32]) {
        self.channel.apply_request(&request.line);
        request.accept();
        for proxy in acknowledging {
            for version in self.channel.deliver_all(*proxy) {
                self.send_watch_event(&format!("* ACK {proxy} {version} 90.5"));
            }
        }
    }
}

/// The failure described at the top of this file, with the controller process and sockets.
#[test]
fn process_keeps_the_channel_limit_while_proxies_return() {
    let step = Duration::from_millis(700);
    let mut deployment = Deployment::start();
    let all: Vec<u32> = ALL_PROXIES.collect();
    deployment.serve(Duration::from_secs(3), &all);
    deployment.channel.max_queued_lines = 0;
    for proxy in RETURNING_PROXIES {
        deployment.channel.leave(proxy);
        deployment.send_watch_event(&format!("* CLOSED {proxy}"));
    }
    for replica in DRAINED_WHILE_AWAY {
        deployment.drain(replica);
        deployment.serve(step, &[]);
    }
    for proxy in RETURNING_PROXIES {
        deployment.channel.join(proxy);
        deployment.send_watch_event(&format!("* SUBSCRIBE {proxy} north 21.5 1"));
    }
    let returning: Vec<u32> = RETURNING_PROXIES.collect();
    for replica in DRAINED_AFTER_RETURN {
        deployment.drain(replica);
        deployment.serve(step, &returning);
    }
    let queued = deployment.channel.max_queued_lines;
    assert!(queued > QUEUE_CAPACITY / 4, "only {queued} lines were queued for the slow proxies");
    assert!(queued <= QUEUE_CAPACITY, "{queued} lines were queued, limit {QUEUE_CAPACITY}");
    assert!(deployment.program.child.try_wait().expect("process state").is_none(), "controller has exited");
}

/// The log lines let an operator follow a request from its first attempt to its outcome.
#[test]
fn attempts_are_logged_with_version_outcome_and_channel() {
    let mut rig = Rig::serving();
    rig.advance_ms(5000);
    rig.request_logs.clear();
    rig.drain("s-2");
    rig.pending_request = None;
    rig.apply(OUTCOME_UNKNOWN);
    rig.drain_input();
    let request = rig.pending_request.clone().expect("request is not resent");
    let version = request.split("SYNC,").nth(1).and_then(|sync| sync.split(',').next()).expect("no version");
    let commands = request.split(';').count();
    rig.accept_request();
    let label = |attempt| format!("version={version} commands={commands} attempt={attempt}");
    let lines = rig.request_logs.join("\n");
    for expected in [
        format!("relay request sent {} proxies=4 unacked_lines=", label(1)),
        format!("relay request attempt failed {} outcome=unknown reason=", label(1)),
        format!("relay request sent {} proxies=4 unacked_lines=", label(2)),
        format!("relay request accepted {} accepted={commands}", label(2)),
    ] {
        assert!(lines.contains(&expected), "{expected} not in\n{lines}");
    }
    assert!(lines.contains("capacity_lines=60000"), "{lines}");
}
