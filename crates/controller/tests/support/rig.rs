//! The reducer without sockets, connected to a simulated relay that applies relay requests or loses them.

use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use whinwall_management_api::messages::Reply;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::relay::{decode_event, Response};
use whinwall_protocol::{collector, discovery};
use whinwall_routing::{Effect, Event, LogEvent, Reducer};
use whinwall_settings::Settings;
use whinwall_transport::{RequestError, StreamError, Targets};

/// Stored routing tables: weights by replica, for each slice.
pub type Store = BTreeMap<u32, BTreeMap<String, f64>>;

/// A reducer with its simulated environment: relay, endpoint list and proxies.
pub struct Rig {
    pub reducer: Reducer,
    settings: Settings,
    /// The seed of the running controller, another one at each start.
    seed: u64,
    pub now: Moment,
    pub wake_at: Option<Moment>,
    pub store: Store,
    pub single_writer: bool,
    pub replicas: BTreeMap<String, &'static str>,
    pub proxies: u32,
    /// The request that is in flight.
    pub pending_request: Option<String>,
    pub relay: Option<SocketAddr>,
    pub requests: Vec<String>,
    pub other_effects: Vec<Effect>,
    /// Log lines, without those about single relay requests.
    pub logs: Vec<String>,
    /// Log lines about single relay requests.
    pub request_logs: Vec<String>,
    pub replies: Vec<Reply>,
}

pub const RELAY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 6400);
pub const DISCOVERY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8500);
/// The event after a relay request that may or may not have been applied.
pub const OUTCOME_UNKNOWN: Event =
    Event::RelayResponse(Err(RequestError::OutcomeUnknown(StreamError::TimedOut)));

impl Rig {
    /// Six replicas, twelve slices and four proxies. The reducer has received no list and no snapshot yet.
    pub fn new() -> Self {
        Rig::with_settings(12, |_| {})
    }

    pub fn with_settings(slices: u32, change: impl Fn(&mut serde_json::Value)) -> Self {
        Rig::with_seed(slices, 7, change)
    }

    pub fn with_seed(slices: u32, seed: u64, change: impl Fn(&mut serde_json::Value)) -> Self {
        let example = include_str!("../../../../deploy/example.json");
        let mut example: serde_json::Value = serde_json::from_str(example).unwrap();
        change(&mut example["settings"]);
        let settings = whinwall_settings::parse_settings(&example["settings"]).unwrap();
        let single_writer = settings.deployment.single_writer;
        let now = Moment::default() + Span::ms(1_800_000_000_000);
        let targets = Targets { discovery: DISCOVERY, relay: RELAY };
        let mut rig = Rig {
            reducer: Reducer::new(settings.clone(), targets, seed, &discovery::List::default(), now),
            settings,
            seed,
            now,
            wake_at: None,
            store: (0..slices).map(|n| (n, BTreeMap::from([(format!("s-{}", n % 6), 1.0)]))).collect(),
            replicas: (0..6).map(|n| (format!("s-{n}"), "active")).collect(),
            single_writer,
            proxies: 4,
            pending_request: None,
            relay: None,
            requests: Vec::new(),
            other_effects: Vec::new(),
            logs: Vec::new(),
            request_logs: Vec::new(),
            replies: Vec::new(),
        };
        rig.apply(Event::Started);
        rig
    }

    /// Replaces the controller by a new one that knows nothing. The store and the proxies stay as they are.
    pub fn restart(&mut self) {
        self.seed += 1;
        let targets = Targets { discovery: DISCOVERY, relay: RELAY };
        let (settings, known_list) = (self.settings.clone(), discovery::List::default());
        self.reducer = Reducer::new(settings, targets, self.seed, &known_list, self.now);
        self.pending_request = None;
        self.wake_at = None;
        self.other_effects.clear();
        self.apply(Event::Started);
    }

    /// A reducer that has received the endpoint list and the relay snapshot and has sent its first commands.
    pub fn serving() -> Self {
        Rig::new().start_serving()
    }

    pub fn start_serving(mut self) -> Self {
        self.send_list();
        self.send_snapshot(&[]);
        self.advance_ms(2000);
        self
    }

    pub fn apply(&mut self, event: Event) {
        for effect in self.reducer.apply(self.now, event) {
            match effect {
                Effect::RelayRequest { relay, line, .. } => {
                    self.relay = Some(relay);
                    assert_eq!(self.pending_request.replace(line.clone()), None, "two requests in flight");
                    self.requests.push(line);
                }
                Effect::WakeAt(at) => self.wake_at = Some(at),
                Effect::Log(
                    event @ (LogEvent::RequestSent { .. }
                    | LogEvent::RequestAccepted { .. }
                    | LogEvent::RequestAttemptFailed { .. }
                    | LogEvent::ResendHeld { .. }),
                ) => self.request_logs.push(event.to_string()),
                Effect::Log(event) => self.logs.push(event.to_string()),
                Effect::Reply { reply, .. } => self.replies.push(reply),
                other => self.other_effects.push(other),
            }
        }
    }

    pub fn drain_input(&mut self) {
        self.wake_at = None;
        self.apply(Event::InputDrained);
    }

    pub fn relay_event(&mut self, line: &str) {
        self.apply(Event::Relay(decode_event(line).unwrap()));
    }

    pub fn collector_line(&mut self, from: u64, line: &str) {
        self.apply(match collector::decode(line) {
            Ok(message) => Event::Message { from, message },
            Err(error) => Event::InvalidMessage { from, error },
        });
    }

    pub fn send_list(&mut self) {
        let entry = |(id, state)| json!({"id": id, "zone": "north", "state": state});
        let entries: Vec<_> = self.replicas.iter().map(entry).collect();
        let list = json!({"version": 41, "full": true, "servers": entries});
        self.apply(Event::EndpointListReceived(discovery::decode(&list.to_string()).unwrap().unwrap()));
    }

    /// Sends the snapshot of a new relay watch, without the slices in `ungranted`.
    pub fn send_snapshot(&mut self, ungranted: &[u32]) {
        let mut lines = vec!["OK".to_string()];
        lines.extend((0..self.proxies).map(|proxy| format!("* SUBSCRIBE {proxy} north 21.5 1")));
        for (slice, table) in self.store.iter().filter(|(slice, _)| !ungranted.contains(slice)) {
            lines.push(format!("* GRANT {slice} 1"));
            lines.extend(table.iter().map(|(replica, weight)| format!("* ROW {slice} {replica} {weight}")));
        }
        lines.push("*".into());
        lines.iter().for_each(|line| self.relay_event(line));
        self.drain_input();
    }

    /// Applies a request to the store and acknowledges its version from all proxies. Returns the number of its
    /// commands.
    pub fn apply_request(&mut self, request: &str) -> usize {
        let commands: Vec<_> = request.strip_prefix("APPLY ").unwrap().split(';').collect();
        for command in &commands {
            match command.split(',').collect::<Vec<_>>()[..] {
                ["SET", slice, replica, weight] => {
                    assert!(self.replicas.contains_key(replica), "unknown replica: {command}");
                    let table = self.store.get_mut(&slice.parse().unwrap()).unwrap();
                    // With single writers a table has one owner, and a new owner replaces the previous one.
                    if self.single_writer {
                        table.clear();
                    }
                    match weight.parse().unwrap() {
                        0.0 => _ = table.remove(replica),
                        weight => _ = table.insert(replica.into(), weight),
                    }
                    assert!(!table.is_empty(), "{command} leaves a routing table empty");
                }
                ["SYNC", version, _] => {
                    (0..self.proxies)
                        .for_each(|proxy| self.relay_event(&format!("* ACK {proxy} {version} 90.5")));
                }
                _ => {}
            }
        }
        commands.len()
    }

    /// Applies the request in flight and accepts it.
    pub fn accept_request(&mut self) {
        let Some(request) = self.pending_request.take() else { return };
        let accepted = self.apply_request(&request);
        self.apply(Event::RelayResponse(Ok(Response::Accepted(accepted))));
        self.drain_input();
    }

    /// Advances the time and accepts each request at once.
    pub fn advance_ms(&mut self, ms: u64) {
        let end = self.now + Span::ms(ms);
        loop {
            self.accept_request();
            if self.pending_request.is_some() {
                continue;
            }
            match self.wake_at {
                Some(at) if at <= end => self.now = at.max(self.now),
                _ => break,
            }
            self.drain_input();
        }
        self.now = end;
        self.drain_input();
    }

    /// Sends a snapshot if the reducer has requested a new relay watch. Returns true if it has.
    pub fn resend_snapshot_if_requested(&mut self) -> bool {
        let is_requested =
            self.other_effects.drain(..).any(|effect| matches!(effect, Effect::WatchRelay { .. }));
        if is_requested {
            self.send_snapshot(&[]);
        }
        is_requested
    }

    /// Lists a replica as draining.
    pub fn drain(&mut self, replica: &str) {
        self.replicas.insert(replica.into(), "leaving");
        self.send_list();
        self.drain_input();
    }

    /// Slices whose table contains a draining replica and whose requests are not held back.
    pub fn slices_sent_to_draining_replicas(&self) -> BTreeSet<u32> {
        let mut held_back = BTreeSet::new();
        let commands =
            self.requests.iter().flat_map(|request| request.trim_start_matches("APPLY ").split(';'));
        for command in commands {
            match command.split(',').collect::<Vec<_>>()[..] {
                ["LIMIT", slice, "*", "0", _] => held_back.extend(slice.parse::<u32>()),
                ["LIMIT", slice, ..] => _ = slice.parse().is_ok_and(|slice| held_back.remove(&slice)),
                _ => {}
            }
        }
        let is_draining = |replica: &String| self.replicas[replica] == "leaving";
        let sent =
            self.store.iter().filter(|(_, table)| table.keys().any(is_draining)).map(|(slice, _)| *slice);
        sent.filter(|slice| !held_back.contains(slice)).collect()
    }

    /// Replicas with a weight of 1 or more in some table.
    pub fn owners(&self) -> BTreeSet<&str> {
        let owner =
            |(replica, weight): (&'_ String, &f64)| (*weight >= 1.0).then_some(replica.as_str().to_owned());
        let owners: Vec<String> =
            self.store.values().flat_map(|table| table.iter().filter_map(owner)).collect();
        self.replicas.keys().map(String::as_str).filter(|id| owners.iter().any(|owner| owner == id)).collect()
    }
}
