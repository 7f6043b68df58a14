//! The limit on lines that wait in the command channel, while proxies come, go and fall behind.
//!
//! The failure that this file begins with: during a release of the replicas, under fault injection, many proxies lost their
//! streams and came back. Clients were served; monitoring showed once, for a moment, more lines waiting in one controller's
//! channel than its limit allows. The order of events:
//!
//! 1. The channel is slow: the proxies that stayed connected are seconds behind, and the controller holds its commands back, as
//!    their lines are not acknowledged.
//! 2. The other proxies come back. Nothing waits for them, so they get new messages at once, and acknowledge them.
//! 3. The controller takes these acknowledgements for proof that everything sent before has left the channel, forgets the lines
//!    that wait for the slow proxies, and fills the channel once more.
//!
//! The evidence: in a run that broke the limit, all 279 proxies that had stayed were still to acknowledge twelve messages sent
//! seconds ago (their newest acknowledgements were 7.9 s old) when 111 proxies that had come back acknowledged the newest one
//! within 0.2 s. In that moment the controller's own count fell from 112,972 to 59,791 lines, and it went on sending. In six
//! further runs with a first repair, which counted each proxy's lines by themselves, the relay's count of waiting lines agreed
//! with the lines from the oldest message on that some connected proxy lacks, and with no other count: what is behind such a
//! message waits as well, also where its proxy has acknowledged it.
//!
//! The other tests are of the same kind: the channel is never taken for emptier than it can be.

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
/// These stay connected and fall behind.
const SLOW_PROXIES: std::ops::Range<u32> = 0..6;
/// These lose their streams, come back, and have nothing waiting.
const RETURNING_PROXIES: std::ops::Range<u32> = 6..12;
const ALL_PROXIES: std::ops::Range<u32> = 0..12;
const OVERHEAD_LINES: usize = 8;
const QUEUE_CAPACITY: usize = 1200;
/// Replicas that are drained while the slow proxies fall behind, and after the others came back.
const DRAINED_WHILE_AWAY: std::ops::Range<usize> = 0..3;
const DRAINED_AFTER_RETURN: std::ops::Range<usize> = 3..9;

fn limit_queue(settings: &mut serde_json::Value) {
    settings["familyInfo"]["queueCap"] = json!(QUEUE_CAPACITY);
    settings["familyInfo"]["fixedCost"] = json!(OVERHEAD_LINES);
}

/// A controller of this fleet that knows nothing yet.
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

/// A controller that has served the fleet for a while.
fn serving_rig() -> Rig {
    let mut rig = rig_with(|_| {}).start_serving();
    rig.advance_ms(20_000);
    rig
}

/// Time passes; requests are accepted, and only these proxies acknowledge.
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
    let waited_before = channel.waiting_lines();
    assert!(waited_before > QUEUE_CAPACITY / 4, "the slow proxies are behind: {waited_before}");
    for proxy in RETURNING_PROXIES {
        channel.join(proxy);
        rig.relay_event(&format!("* SUBSCRIBE {proxy} north 21.5 1"));
    }
    let returning: Vec<u32> = RETURNING_PROXIES.collect();
    for replica in DRAINED_AFTER_RETURN {
        rig.drain(&format!("s-{replica}"));
        advance(&mut rig, &mut channel, Span::ms(600), &returning);
    }
    assert!(channel.most_waiting <= QUEUE_CAPACITY, "{} lines waited", channel.most_waiting);
    // The slow ones catch up: what was held back is sent.
    let all: Vec<u32> = ALL_PROXIES.collect();
    for proxy in SLOW_PROXIES {
        for version in channel.deliver_all(proxy) {
            rig.relay_event(&format!("* ACK {proxy} {version} 4000.5"));
        }
    }
    advance(&mut rig, &mut channel, Span::ms(10_000), &all);
    let drained = DRAINED_AFTER_RETURN.last().expect("one");
    assert!(rig.requests.iter().any(|request| request.contains(&format!("OUT,s-{drained}"))));
    assert!(channel.most_waiting <= QUEUE_CAPACITY, "{} lines waited", channel.most_waiting);
}

/// A proxy that stays connected and never acknowledges anything, as its machine may have vanished, counts with its own lines: it
/// stops no commands to the others.
#[test]
fn proxy_that_never_acknowledges_stops_no_commands() {
    let mut rig = serving_rig();
    let mut channel = ChannelModel::new(OVERHEAD_LINES, ALL_PROXIES);
    let responsive: Vec<u32> = ALL_PROXIES.skip(1).collect();
    for replica in 0..REPLICAS - 2 {
        rig.drain(&format!("s-{replica}"));
        advance(&mut rig, &mut channel, Span::ms(3000), &responsive);
    }
    for replica in 0..REPLICAS - 2 {
        let withdrawal = format!("OUT,s-{replica}");
        assert!(rig.requests.iter().any(|request| request.contains(&withdrawal)), "{withdrawal}");
    }
}

/// Proxies connect while a request waits for the relay, and get it: as many as the fleet has may do so, known or not.
#[test]
fn proxies_that_join_before_a_request_is_carried_out_are_counted() {
    const KNOWN: u32 = 3;
    let mut rig = rig_with(|settings| settings["familyInfo"]["agents"] = json!(ALL_PROXIES.end));
    rig.proxies = KNOWN;
    let mut rig = rig.start_serving();
    rig.advance_ms(20_000);
    let mut channel = ChannelModel::new(OVERHEAD_LINES, 0..KNOWN);
    (0..REPLICAS / 2).for_each(|replica| _ = rig.replicas.insert(format!("s-{replica}"), "leaving"));
    rig.send_list();
    rig.drain_input();
    // The relay can't be reached for a while.
    for _ in 0..10 {
        assert!(rig.pending_request.take().is_some(), "it tries again");
        rig.apply(Event::RelayResponse(Err(RequestError::NotSent(StreamError::TimedOut))));
        rig.now = rig.now + Span::ms(200);
        rig.drain_input();
    }
    // It carries the request out for all that have connected; their events come later.
    (KNOWN..ALL_PROXIES.end).for_each(|proxy| channel.join(proxy));
    advance(&mut rig, &mut channel, Span::ms(1000), &[]);
    assert!(channel.most_waiting > 0, "it was carried out");
    assert!(channel.most_waiting <= QUEUE_CAPACITY, "{} lines waited", channel.most_waiting);
}

/// While the relay watch is down no acknowledgement can come: its silence does not show that a request was not carried out.
#[test]
fn silence_of_a_broken_watch_makes_no_room_for_a_resend() {
    let mut rig = serving_rig();
    let mut channel = ChannelModel::new(OVERHEAD_LINES, ALL_PROXIES);
    (0..REPLICAS - 2).for_each(|replica| _ = rig.replicas.insert(format!("s-{replica}"), "leaving"));
    rig.send_list();
    rig.drain_input();
    rig.apply(Event::RelayWatchLost(StreamError::TimedOut));
    // Each attempt is carried out, and its answer lost.
    for _ in 0..100 {
        if let Some(request) = rig.pending_request.take() {
            channel.apply_request(&request);
            rig.apply(OUTCOME_UNKNOWN);
        }
        rig.now = rig.now + Span::ms(100);
        rig.drain_input();
    }
    assert!(channel.most_waiting > 0, "an attempt was carried out");
    assert!(channel.most_waiting <= QUEUE_CAPACITY, "{} lines waited", channel.most_waiting);
}

/// A reply that is too long for one request becomes several messages, each with its overhead.
#[test]
fn overhead_of_each_part_of_a_long_reply_is_counted() {
    const OVERHEAD: usize = 20;
    let long = |n: usize| format!("s-{n}-{}", "x".repeat(5000));
    let mut rig = rig_with(|settings| settings["familyInfo"]["fixedCost"] = json!(OVERHEAD));
    rig.replicas = (0..REPLICAS).map(|n| (long(n), "active")).collect();
    let table = |n| BTreeMap::from([(long(n as usize % REPLICAS), 1.0)]);
    rig.store = (0..SLICES as u32).map(|n| (n, table(n))).collect();
    let mut rig = rig.start_serving();
    rig.advance_ms(20_000);
    rig.request_logs.clear();
    let before = rig.requests.len();
    (0..REPLICAS / 2).for_each(|n| _ = rig.replicas.insert(long(n), "leaving"));
    rig.send_list();
    rig.drain_input();
    let first = rig.pending_request.take().expect("a request");
    let commands = first.split(';').count();
    rig.apply(Event::RelayResponse(Ok(Response::Accepted(commands))));
    rig.drain_input();
    let parts = &rig.requests[before..];
    assert!(parts.len() == 2 && !first.contains("SYNC"), "two parts of one reply: {}", parts.len());
    let lines: usize = parts.iter().map(|part| part.split(';').count() + OVERHEAD).sum();
    let sent = rig.request_logs.iter().rfind(|line| line.contains("relay request sent")).expect("a line");
    let counted =
        sent.split("unacked_lines=").nth(1).and_then(|rest| rest.split(' ').next()).expect("a figure");
    let counted: usize = counted.parse().expect("a number");
    assert!(counted >= lines * ALL_PROXIES.len(), "{counted} counted of {}", lines * ALL_PROXIES.len());
}

/// A controller process between a relay and a discovery agent that the test plays.
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

    /// The controller renews a watch without changes.
    fn accept_renewed_registry_watch(&mut self) {
        if let Some(renewed) = self.discovery.messages.receiver.try_iter().last() {
            self.registry_watch = renewed;
            self.registry_watch.send_list(self.list_version, true, &self.states);
        }
    }

    fn send_heartbeats(&mut self) {
        self.say("*");
        self.accept_renewed_registry_watch();
        self.registry_watch.lines.send("\n".into()).expect("the watch is open");
    }

    fn drain(&mut self, replica: usize) {
        self.states[replica] = "leaving";
        self.send_list();
    }

    fn say(&mut self, line: &str) {
        self.relay_watch.write_all(format!("{line}\r\n").as_bytes()).expect("the watch is open");
    }

    /// Serves requests for this long; these proxies acknowledge at once.
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
                self.say(&format!("* ACK {proxy} {version} 90.5"));
            }
        }
    }
}

/// The same on sockets, with the program as it runs in service.
#[test]
fn process_keeps_the_channel_limit_while_proxies_return() {
    let step = Duration::from_millis(700);
    let mut deployment = Deployment::start();
    let all: Vec<u32> = ALL_PROXIES.collect();
    deployment.serve(Duration::from_secs(3), &all);
    deployment.channel.most_waiting = 0;
    for proxy in RETURNING_PROXIES {
        deployment.channel.leave(proxy);
        deployment.say(&format!("* CLOSED {proxy}"));
    }
    for replica in DRAINED_WHILE_AWAY {
        deployment.drain(replica);
        deployment.serve(step, &[]);
    }
    for proxy in RETURNING_PROXIES {
        deployment.channel.join(proxy);
        deployment.say(&format!("* SUBSCRIBE {proxy} north 21.5 1"));
    }
    let returning: Vec<u32> = RETURNING_PROXIES.collect();
    for replica in DRAINED_AFTER_RETURN {
        deployment.drain(replica);
        deployment.serve(step, &returning);
    }
    let waited = deployment.channel.most_waiting;
    assert!(waited > QUEUE_CAPACITY / 4, "the slow proxies are behind: {waited}");
    assert!(waited <= QUEUE_CAPACITY, "{waited} lines waited, {QUEUE_CAPACITY} may");
    assert!(deployment.program.child.try_wait().expect("its state").is_none(), "it runs");
}

/// What an operator needs to follow a request from its first attempt to its outcome.
#[test]
fn attempts_are_logged_with_version_outcome_and_channel() {
    let mut rig = Rig::serving();
    rig.advance_ms(5000);
    rig.request_logs.clear();
    rig.drain("s-2");
    rig.pending_request = None;
    rig.apply(OUTCOME_UNKNOWN);
    rig.drain_input();
    let request = rig.pending_request.clone().expect("it is resent");
    let version = request.split("SYNC,").nth(1).and_then(|sync| sync.split(',').next()).expect("a version");
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
        assert!(lines.contains(&expected), "{expected} in\n{lines}");
    }
    assert!(lines.contains("capacity_lines=60000"), "{lines}");
}
