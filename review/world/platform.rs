//! The state of the platform: store, proxies, replicas, discovery's list, reports. Time is in microseconds since the
//! start of the program.

use crate::net::Watcher;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;
/// The time limits of the rules are longer on sockets by this time.
const SOCKET_SLACK: u64 = 300 * MS;
/// Time limits wait for this time after a call of the relay that gets no answer.
const WAIT_AFTER_SILENCE: u64 = 1500 * MS;

/// A small random number generator (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + (self.next() * (high - low) as f64) as u64
    }

    pub fn below(&mut self, count: usize) -> usize {
        ((self.next() * count as f64) as usize).min(count - 1)
    }
}

/// The figures of a deployment.
#[derive(Clone)]
pub struct Site {
    pub governors: usize,
    pub proxies: usize,
    pub replicas: usize,
    pub slices: usize,
    pub zones: Vec<&'static str>,
    /// Name, share of the operations, whether it writes, worth, target latency in ms.
    pub classes: Vec<(&'static str, f64, bool, f64, u64)>,
    pub ops_per_s: f64,
    /// The part of the traffic that goes to slice 0, which is in demand.
    pub hot_share: f64,
    pub exclusive: bool,
    pub lease_ms: u64,
    pub write_life_ms: u64,
    /// The time that a replica takes for an operation, in ms.
    pub work_ms: (u64, u64),
    /// The time from the channel to the proxy, in ms.
    pub transit_ms: (u64, u64),
    /// The time until a proxy has read a slice from the store that is given anew, in ms.
    pub sync_ms: (u64, u64),
    pub head: f64,
    pub lines_per_s: f64,
    pub queue_cap: f64,
    pub message_cap: u32,
    pub period_ms: u64,
    pub report_delay_ms: (u64, u64),
    pub grace_ms: u64,
    pub cold_from: f64,
    pub warm_ms: u64,
    pub fall_multiple: f64,
    pub weights: &'static str,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum State {
    Active,
    Leaving,
    Left,
}

impl State {
    fn word(self) -> &'static str {
        match self {
            State::Active => "active",
            State::Leaving => "leaving",
            State::Left => "left",
        }
    }
}

pub struct Replica {
    pub id: String,
    pub zone: usize,
    pub state: State,
    pub changed: u64,
    pub runs: bool,
}

/// A slice in the store.
pub struct Slice {
    pub holder: usize,
    pub grant: u64,
    pub given_at: u64,
    /// Weight and the governor that set the line, by replica.
    pub lines: BTreeMap<usize, (f64, Option<usize>)>,
    pub levels: Vec<f64>,
    /// Counts the changes of owner (exclusive sites).
    pub epoch: u64,
}

/// What a proxy holds of a slice.
#[derive(Clone)]
pub struct Table {
    pub holder: usize,
    pub lines: BTreeMap<usize, f64>,
    pub levels: Vec<f64>,
    pub epoch: u64,
}

pub struct Proxy {
    pub zone: usize,
    pub tables: Vec<Table>,
    /// Replicas shut out, by governor.
    pub out: Vec<BTreeSet<usize>>,
    pub global: Vec<Vec<f64>>,
    /// The arrival of the last message, by governor.
    last_arrival: Vec<u64>,
}

#[derive(Clone)]
enum Line {
    Set { slice: usize, grant: u64, replica: usize, weight: f64, epoch: u64 },
    Clear { slice: usize, grant: u64 },
    Out(usize),
    In(usize),
    Level { slice: usize, grant: u64, classes: Vec<usize>, share: f64 },
    Global { classes: Vec<usize>, share: f64 },
}

#[derive(Clone)]
struct Message {
    governor: usize,
    lines: Vec<Line>,
    mark: Option<u32>,
    sent_at: u64,
}

enum Event {
    Op,
    Apply { proxy: usize, message: Message },
    Ack { governor: usize, proxy: usize, mark: u32, lag_ms: f64 },
    Reread { proxy: usize, slice: usize },
    Done { slice: usize, id: u64 },
    Heartbeat,
    EmptyListLine,
    Reports,
    Report { governor: usize, zone: usize, text: String },
}

#[derive(Default, Clone, Copy)]
struct Sum {
    tries: u64,
    bad: u64,
    ms: f64,
}

/// A write that a replica has in hand.
struct InHand {
    id: u64,
    replica: usize,
    proxy: usize,
    since: u64,
}

pub struct Governor {
    pub name: String,
    pub listen: String,
    /// True while the way between the governor and the relay is cut.
    pub cut: bool,
    /// True while the relay leaves calls without an answer and does not carry them out.
    pub loses_calls: bool,
    /// Connections of an earlier number are dead.
    pub connection_epoch: u64,
    pub watchers: Vec<Watcher>,
    pub list_watchers: Vec<TcpStream>,
    pub collectors: Vec<Option<TcpStream>>,
    /// When the governor was told that a replica drains or is gone.
    pub told: BTreeMap<usize, u64>,
    channel_free_at: u64,
    loads: BTreeMap<(usize, usize), Sum>,
    demands: BTreeMap<(usize, usize), Sum>,
    /// The time at which a level of 0 of a slice was last carried out.
    pub halted: BTreeMap<usize, u64>,
}

pub struct World {
    pub site: Site,
    pub started: Instant,
    pub random: Random,
    pub replicas: Vec<Replica>,
    pub slices: Vec<Slice>,
    pub proxies: Vec<Proxy>,
    pub governors: Vec<Governor>,
    pub list_version: u64,
    pub serves: bool,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    in_hand: BTreeMap<usize, Vec<InHand>>,
    latest_epoch: BTreeMap<usize, u64>,
    record: BufWriter<File>,
    pub violations: Vec<String>,
    /// The spans during which time limits wait, in order and without overlap.
    waits: Vec<(u64, u64)>,
    pub sends: u64,
    pub refused: u64,
    pub writes: u64,
}

impl World {
    pub fn new(site: Site, record: &str, seed: u64) -> World {
        let file = File::create(record).expect("record file");
        let classes = site.classes.len();
        let replicas = (0..site.replicas)
            .map(|number| Replica {
                id: format!("s-{:08x}", 0x5be2_a07cu32.wrapping_mul(2 * number as u32 + 7)),
                zone: number % site.zones.len(),
                state: State::Active,
                changed: 1,
                runs: true,
            })
            .collect();
        let slices: Vec<Slice> = (0..site.slices)
            .map(|number| Slice {
                holder: number * site.governors / site.slices,
                grant: 1,
                given_at: 0,
                lines: BTreeMap::from([(number % site.replicas, (1.0, None))]),
                levels: vec![1.0; classes],
                epoch: 1,
            })
            .collect();
        let table = |slice: &Slice| Table {
            holder: slice.holder,
            lines: slice.lines.iter().map(|(replica, (weight, _))| (*replica, *weight)).collect(),
            levels: slice.levels.clone(),
            epoch: slice.epoch,
        };
        let proxies = (0..site.proxies)
            .map(|number| Proxy {
                zone: number % site.zones.len(),
                tables: slices.iter().map(table).collect(),
                out: vec![BTreeSet::new(); site.governors],
                global: vec![vec![1.0; classes]; site.governors],
                last_arrival: vec![0; site.governors],
            })
            .collect();
        World {
            started: Instant::now(),
            random: Random(seed | 1),
            replicas,
            slices,
            proxies,
            governors: Vec::new(),
            list_version: 1,
            serves: false,
            queue: BTreeMap::new(),
            sequence: 0,
            in_hand: BTreeMap::new(),
            latest_epoch: BTreeMap::new(),
            record: BufWriter::new(file),
            violations: Vec::new(),
            waits: Vec::new(),
            sends: 0,
            refused: 0,
            writes: 0,
            site,
        }
    }

    pub fn add_governor(&mut self, listen: String) {
        let name = format!("n{}", self.governors.len());
        self.governors.push(Governor {
            name,
            listen,
            cut: false,
            loses_calls: false,
            connection_epoch: 0,
            watchers: Vec::new(),
            list_watchers: Vec::new(),
            collectors: self.site.zones.iter().map(|_| None).collect(),
            told: BTreeMap::new(),
            channel_free_at: 0,
            loads: BTreeMap::new(),
            demands: BTreeMap::new(),
            halted: BTreeMap::new(),
        });
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    pub fn log(&mut self, text: &str) {
        let now = self.now();
        _ = writeln!(self.record, "{:9.3} {text}", now as f64 / SECOND as f64);
    }

    pub fn flush_record(&mut self) {
        _ = self.record.flush();
    }

    pub fn violated(&mut self, text: String) {
        self.log(&format!("VIOLATION {text}"));
        self.violations.push(text);
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    /// Starts traffic, reports and signs of life.
    pub fn start_traffic(&mut self) {
        let now = self.now();
        self.serves = true;
        self.at(now, Event::Op);
        self.at(now + self.site.period_ms * MS, Event::Reports);
        self.at(now, Event::Heartbeat);
        self.at(now, Event::EmptyListLine);
        self.log("traffic begins");
    }

    /// Carries out what is due.
    pub fn run_due(&mut self) {
        loop {
            let now = self.now();
            match self.queue.first_key_value() {
                Some(((time, _), _)) if *time <= now => {}
                _ => return,
            }
            let Some((_, event)) = self.queue.pop_first() else { return };
            self.carry_out(event);
        }
    }

    fn carry_out(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Op => {
                let gap = -(1.0 - self.random.next()).ln() / self.site.ops_per_s;
                self.at(now + (gap * SECOND as f64) as u64, Event::Op);
                self.operation();
            }
            Event::Apply { proxy, message } => self.apply_message(proxy, message),
            Event::Ack { governor, proxy, mark, lag_ms } => {
                self.news(governor, &format!("* ACK {proxy} {mark} {lag_ms:.1}\r\n"));
            }
            Event::Reread { proxy, slice } => {
                let table = self.table_of(slice);
                self.proxies[proxy].tables[slice] = table;
            }
            Event::Done { slice, id } => {
                if let Some(list) = self.in_hand.get_mut(&slice) {
                    list.retain(|write| write.id != id);
                }
            }
            Event::Heartbeat => {
                for governor in 0..self.governors.len() {
                    self.news(governor, "*\r\n");
                }
                self.at(now + SECOND, Event::Heartbeat);
            }
            Event::EmptyListLine => {
                for governor in &mut self.governors {
                    governor.list_watchers.retain_mut(|stream| stream.write_all(b"1\r\n\n\r\n").is_ok());
                }
                self.at(now + 2 * SECOND, Event::EmptyListLine);
            }
            Event::Reports => {
                self.collect_reports();
                self.at(now + self.site.period_ms * MS, Event::Reports);
            }
            Event::Report { governor, zone, text } => self.send_report(governor, zone, &text),
        }
    }

    fn table_of(&self, slice: usize) -> Table {
        let stored = &self.slices[slice];
        Table {
            holder: stored.holder,
            lines: stored.lines.iter().map(|(replica, (weight, _))| (*replica, *weight)).collect(),
            levels: stored.levels.clone(),
            epoch: stored.epoch,
        }
    }

    // ---- clients, proxies and replicas -------------------------------------------------------------------------

    fn operation(&mut self) {
        let proxy = self.random.below(self.proxies.len());
        let slice = if self.random.next() < self.site.hot_share { 0 } else { self.random.below(self.slices.len()) };
        let draw = self.random.next();
        let (mut class, mut sum) = (0, 0.0);
        for (number, (_, share, ..)) in self.site.classes.iter().enumerate() {
            sum += share;
            class = number;
            if draw < sum {
                break;
            }
        }
        let table = &self.proxies[proxy].tables[slice];
        let holder = table.holder;
        let level = table.levels[class].min(self.proxies[proxy].global[holder][class]);
        let demand = self.governors[holder].demands.entry((slice, class)).or_default();
        demand.tries += 1;
        if self.random.next() >= level {
            self.refused += 1;
            return;
        }
        let mut failed = BTreeSet::new();
        // One further try after proof that the first never ran.
        for _ in 0..2 {
            let Some(replica) = self.pick(proxy, slice, &failed) else {
                self.refused += 1;
                break;
            };
            if self.send(proxy, slice, class, replica) {
                return;
            }
            failed.insert(replica);
        }
        self.governors[holder].demands.entry((slice, class)).or_default().bad += 1;
    }

    fn pick(&mut self, proxy: usize, slice: usize, failed: &BTreeSet<usize>) -> Option<usize> {
        let holder = &self.proxies[proxy];
        let table = &holder.tables[slice];
        let out = &holder.out[table.holder];
        let lines: Vec<(usize, f64)> = table
            .lines
            .iter()
            .filter(|(replica, _)| !out.contains(replica) && !failed.contains(replica))
            .map(|(replica, weight)| (*replica, *weight))
            .collect();
        let total: f64 = lines.iter().map(|(_, weight)| weight).sum();
        let mut draw = self.random.next() * total;
        for (replica, weight) in &lines {
            draw -= weight;
            if draw <= 0.0 {
                return Some(*replica);
            }
        }
        lines.last().map(|(replica, _)| *replica)
    }

    /// Sends one try; returns false if the replica's machine refuses the connection.
    fn send(&mut self, proxy: usize, slice: usize, class: usize, replica: usize) -> bool {
        let now = self.now();
        self.sends += 1;
        self.check_drain(proxy, slice, replica);
        let (holder, epoch) = {
            let table = &self.proxies[proxy].tables[slice];
            (table.holder, table.epoch)
        };
        let zone = self.proxies[proxy].zone;
        let runs = self.replicas[replica].runs;
        let (low, high) = self.site.work_ms;
        let work = self.random.between(low * MS, high * MS);
        let sum = self.governors[holder].loads.entry((zone, replica)).or_default();
        sum.tries += 1;
        if !runs {
            sum.bad += 1;
            return false;
        }
        sum.ms += work as f64 / MS as f64;
        let (name, _, is_write, ..) = self.site.classes[class];
        let id = self.replicas[replica].id.clone();
        if is_write {
            self.writes += 1;
            self.log(&format!("{name} of slice {slice} by proxy {proxy} runs at {id} for {} ms", work / MS));
            if self.site.exclusive {
                self.check_writer(proxy, slice, replica, epoch);
            }
            self.sequence += 1;
            let id = self.sequence;
            self.in_hand.entry(slice).or_default().push(InHand { id, replica, proxy, since: now });
            self.at(now + work, Event::Done { slice, id });
        }
        true
    }

    /// Rule 2 at sites with a single owner: a write may not reach a replica while another one has a write of the
    /// slice in hand, nor reach a former owner after a later one took a write.
    fn check_writer(&mut self, proxy: usize, slice: usize, replica: usize, epoch: u64) {
        let now = self.now();
        let other = self
            .in_hand
            .get(&slice)
            .and_then(|list| list.iter().find(|write| write.replica != replica))
            .map(|write| (write.replica, write.proxy, write.since));
        let id = self.replicas[replica].id.clone();
        if let Some((holder, from, since)) = other {
            let holder = self.replicas[holder].id.clone();
            self.violated(format!(
                "rule 2: a write of slice {slice} by proxy {proxy} reached {id} while {holder} had one by proxy {from} \
                 in hand for {} ms",
                (now - since) / MS
            ));
        }
        let latest = self.latest_epoch.entry(slice).or_insert(epoch);
        if epoch < *latest {
            self.violated(format!(
                "rule 2: a write of slice {slice} by proxy {proxy} reached the former owner {id} after a later one \
                 took a write"
            ));
        } else {
            *latest = epoch;
        }
    }

    /// Rule 3: no try reaches a replica past the grace after the governor in charge was told that it drains or is
    /// gone, counted from the giving of the slice if that is later.
    fn check_drain(&mut self, proxy: usize, slice: usize, replica: usize) {
        if self.replicas[replica].state == State::Active {
            return;
        }
        let now = self.now();
        let holder = self.slices[slice].holder;
        let Some(told) = self.governors[holder].told.get(&replica).copied() else { return };
        let since = told.max(self.slices[slice].given_at);
        let waited: u64 = self.waits.iter().map(|(from, to)| (*to).min(now).saturating_sub((*from).max(since))).sum();
        if now - since - waited > self.site.grace_ms * MS + SOCKET_SLACK {
            let text = format!(
                "rule 3: proxy {proxy} sent an operation of slice {slice} to {} ({}), {} ms after {} was told",
                self.replicas[replica].id,
                self.replicas[replica].state.word(),
                (now - told) / MS,
                self.governors[holder].name
            );
            self.violated(text);
        }
    }

    // ---- relay and store ---------------------------------------------------------------------------------------

    /// Writes a line of news to a governor.
    pub fn news(&mut self, governor: usize, text: &str) {
        let governor = &mut self.governors[governor];
        if governor.cut {
            return;
        }
        let epoch = governor.connection_epoch;
        governor
            .watchers
            .retain_mut(|watcher| watcher.epoch == epoch && watcher.stream.write_all(text.as_bytes()).is_ok());
    }

    /// What stands: proxies, slices in charge, and their lines.
    pub fn snapshot(&self, governor: usize) -> String {
        let mut text = String::from("OK\r\n");
        for (number, proxy) in self.proxies.iter().enumerate() {
            _ = write!(text, "* SUBSCRIBE {number} {} 21.5 0\r\n", self.site.zones[proxy.zone]);
        }
        for (number, slice) in self.slices.iter().enumerate().filter(|(_, slice)| slice.holder == governor) {
            text.push_str(&self.grant_lines(number, slice));
        }
        text
    }

    fn grant_lines(&self, number: usize, slice: &Slice) -> String {
        let mut text = format!("* GRANT {number} 1\r\n");
        for (replica, (weight, _)) in &slice.lines {
            _ = write!(text, "* ROW {number} {} {weight}\r\n", self.replicas[*replica].id);
        }
        text
    }

    /// Gives a slice into the charge of a governor: its levels are reset, and the proxies read it again.
    pub fn give(&mut self, slice: usize, governor: usize) {
        let now = self.now();
        let classes = self.site.classes.len();
        let before = self.slices[slice].holder;
        self.news(before, &format!("* GRANT {slice} 0\r\n"));
        let stored = &mut self.slices[slice];
        stored.holder = governor;
        stored.grant += 1;
        stored.given_at = now;
        stored.levels = vec![1.0; classes];
        let lines = self.grant_lines(slice, &self.slices[slice]);
        self.news(governor, &lines);
        let (low, high) = self.site.sync_ms;
        for proxy in 0..self.proxies.len() {
            let delay = self.random.between(low * MS, high * MS);
            self.at(now + delay, Event::Reread { proxy, slice });
        }
    }

    /// Leaves a call without an answer. Time limits wait.
    pub fn lose_call(&mut self, governor: usize, orders: &str) {
        let now = self.now();
        let text = format!("{} ordered {orders}: not carried out, no answer", self.governors[governor].name);
        self.log(&text);
        match self.waits.last_mut() {
            Some((_, end)) if *end >= now => *end = now + WAIT_AFTER_SILENCE,
            _ => self.waits.push((now, now + WAIT_AFTER_SILENCE)),
        }
    }

    fn replica_of(&self, id: &str) -> Option<usize> {
        self.replicas.iter().position(|replica| replica.id == id)
    }

    /// Carries out a call; returns the number of orders that were taken.
    pub fn call(&mut self, governor: usize, orders: &str) -> usize {
        let now = self.now();
        let mut message = Message { governor, lines: Vec::new(), mark: None, sent_at: now };
        let mut asks_all = false;
        let mut taken = 0;
        for order in orders.split(';') {
            let parts: Vec<&str> = order.split(',').collect();
            if !self.carry_out_order(governor, &parts, &mut message, &mut asks_all) {
                break;
            }
            taken += 1;
        }
        self.log(&format!("{} ordered {orders}: OK {taken}", self.governors[governor].name));
        if !message.lines.is_empty() || (asks_all && message.mark.is_some()) {
            self.send_message(governor, &message);
        }
        taken
    }

    fn carry_out_order(&mut self, governor: usize, parts: &[&str], message: &mut Message, asks_all: &mut bool) -> bool {
        let now = self.now();
        match parts {
            ["SET", slice, replica, weight] => {
                let (Ok(slice), Some(replica), Ok(weight)) =
                    (slice.parse::<usize>(), self.replica_of(replica), weight.parse::<f64>())
                else {
                    return false;
                };
                if slice >= self.slices.len() || weight < 0.0 {
                    return false;
                }
                let exclusive = self.site.exclusive;
                let stored = &mut self.slices[slice];
                if stored.holder != governor {
                    return true;
                }
                if weight == 0.0 {
                    stored.lines.remove(&replica);
                } else {
                    if exclusive && !stored.lines.contains_key(&replica) {
                        stored.lines.clear();
                        stored.epoch += 1;
                    }
                    stored.lines.insert(replica, (weight, Some(governor)));
                }
                let (grant, epoch) = (stored.grant, stored.epoch);
                message.lines.push(Line::Set { slice, grant, replica, weight, epoch });
            }
            ["DEL", slice] => {
                let Some(slice) = slice.parse().ok().filter(|slice: &usize| *slice < self.slices.len()) else {
                    return false;
                };
                let stored = &mut self.slices[slice];
                if stored.holder == governor {
                    stored.lines.clear();
                    stored.levels.fill(1.0);
                    message.lines.push(Line::Clear { slice, grant: stored.grant });
                }
            }
            [verb @ ("OUT" | "IN"), replica] => {
                let Some(replica) = self.replica_of(replica) else { return false };
                message.lines.push(if *verb == "OUT" { Line::Out(replica) } else { Line::In(replica) });
            }
            ["LIMIT", slice, classes, share, _] => {
                let Ok(share) = share.parse::<f64>() else { return false };
                let names: Vec<&str> = self.site.classes.iter().map(|(name, ..)| *name).collect();
                let classes: Vec<usize> = if *classes == "*" {
                    (0..names.len()).collect()
                } else {
                    let numbers = classes.split('+').map(|name| names.iter().position(|known| *known == name));
                    let Some(numbers) = numbers.collect() else { return false };
                    numbers
                };
                if *slice == "*" {
                    message.lines.push(Line::Global { classes, share });
                    return true;
                }
                let Some(slice) = slice.parse().ok().filter(|slice: &usize| *slice < self.slices.len()) else {
                    return false;
                };
                if self.slices[slice].holder != governor {
                    return true;
                }
                for class in &classes {
                    self.slices[slice].levels[*class] = share;
                }
                if share == 0.0 {
                    self.governors[governor].halted.insert(slice, now);
                }
                let grant = self.slices[slice].grant;
                message.lines.push(Line::Level { slice, grant, classes, share });
            }
            ["SYNC", mark, all] => {
                let Ok(mark) = mark.parse() else { return false };
                message.mark = Some(mark);
                *asks_all = *all == "1";
            }
            _ => return false,
        }
        true
    }

    /// Sends a message to every proxy: one after the other at the channel's pace, then on its way.
    fn send_message(&mut self, governor: usize, message: &Message) {
        let now = self.now();
        let lines = self.site.head + message.lines.len() as f64 + f64::from(u8::from(message.mark.is_some()));
        let cost = (lines / self.site.lines_per_s * SECOND as f64) as u64;
        let mut free_at = self.governors[governor].channel_free_at.max(now);
        let (low, high) = self.site.transit_ms;
        for proxy in 0..self.proxies.len() {
            free_at += cost;
            let arrival = free_at + self.random.between(low * MS, high * MS);
            let arrival = arrival.max(self.proxies[proxy].last_arrival[governor] + 1);
            self.proxies[proxy].last_arrival[governor] = arrival;
            self.at(arrival, Event::Apply { proxy, message: message.clone() });
        }
        self.governors[governor].channel_free_at = free_at;
    }

    fn apply_message(&mut self, proxy: usize, message: Message) {
        let now = self.now();
        let governor = message.governor;
        for line in message.lines {
            let held = &mut self.proxies[proxy];
            match line {
                Line::Set { slice, grant, replica, weight, epoch } if grant == self.slices[slice].grant => {
                    let table = &mut held.tables[slice];
                    if weight == 0.0 {
                        table.lines.remove(&replica);
                    } else {
                        if self.site.exclusive {
                            table.lines.clear();
                            table.epoch = epoch;
                        }
                        table.lines.insert(replica, weight);
                    }
                }
                Line::Clear { slice, grant } if grant == self.slices[slice].grant => {
                    held.tables[slice].lines.clear();
                    held.tables[slice].levels.fill(1.0);
                }
                Line::Level { slice, grant, classes, share } if grant == self.slices[slice].grant => {
                    for class in classes {
                        held.tables[slice].levels[class] = share;
                    }
                }
                Line::Set { .. } | Line::Clear { .. } | Line::Level { .. } => {}
                Line::Out(replica) => _ = held.out[governor].insert(replica),
                Line::In(replica) => _ = held.out[governor].remove(&replica),
                Line::Global { classes, share } => {
                    for class in classes {
                        held.global[governor][class] = share;
                    }
                }
            }
        }
        if let Some(mark) = message.mark {
            let lag_ms = (now - message.sent_at) as f64 / MS as f64;
            let delay = self.random.between(MS, 3 * MS);
            self.at(now + delay, Event::Ack { governor, proxy, mark, lag_ms });
        }
    }

    // ---- discovery ---------------------------------------------------------------------------------------------

    fn entry(&self, replica: &Replica) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"127.0.0.1:9\",\"zone\":\"{}\",\"kind\":\"m2\",\"cell\":0,\"state\":\"{}\",\
             \"weight\":1.0,\"started_ms\":0}}",
            replica.id,
            self.site.zones[replica.zone],
            replica.state.word()
        )
    }

    /// The list as a JSON object: complete, or what changed after a version.
    pub fn list(&self, since: Option<u64>) -> String {
        let listed = |replica: &&Replica| match since {
            Some(since) => replica.changed > since,
            None => replica.state != State::Left,
        };
        let entries: Vec<String> =
            self.replicas.iter().filter(listed).map(|replica| self.entry(replica)).collect();
        let full = since.is_none();
        format!("{{\"version\":{},\"full\":{full},\"servers\":[{}]}}", self.list_version, entries.join(","))
    }

    /// Changes the state of replicas and tells all governors.
    pub fn change_state(&mut self, replicas: &[usize], state: State) {
        let before = self.list_version;
        self.list_version += 1;
        for replica in replicas {
            let version = self.list_version;
            let replica = &mut self.replicas[*replica];
            replica.state = state;
            replica.changed = version;
            replica.runs = state != State::Left;
        }
        let line = self.list(Some(before));
        let now = self.now();
        for governor in 0..self.governors.len() {
            let held = &mut self.governors[governor];
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            held.list_watchers.retain_mut(|stream| stream.write_all(chunk.as_bytes()).is_ok());
            let told = if held.list_watchers.is_empty() { now + 6 * SECOND } else { now };
            for replica in replicas {
                held.told.entry(*replica).or_insert(told);
            }
        }
        let names: Vec<String> = replicas.iter().map(|replica| self.replicas[*replica].id.clone()).collect();
        self.log(&format!("discovery tells: {} {}", names.join(" "), state.word()));
    }

    // ---- reports -----------------------------------------------------------------------------------------------

    fn collect_reports(&mut self) {
        let now = self.now();
        let window = self.site.period_ms as f64;
        for governor in 0..self.governors.len() {
            let loads = std::mem::take(&mut self.governors[governor].loads);
            let demands = std::mem::take(&mut self.governors[governor].demands);
            let mut texts = vec![String::new(); self.site.zones.len()];
            for ((zone, replica), sum) in loads {
                let good = (sum.tries - sum.bad).max(1) as f64;
                _ = writeln!(
                    texts[zone],
                    "{{\"@type\":\"LOAD\",\"az\":\"{}\",\"host\":\"{}\",\"n\":{},\"bad\":{},\"avg\":{:.1},\"window\":{window:.1}}}",
                    self.site.zones[zone],
                    self.replicas[replica].id,
                    sum.tries,
                    sum.bad,
                    sum.ms / good
                );
            }
            for ((slice, class), sum) in demands {
                _ = writeln!(
                    texts[0],
                    "{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"{}\",\"n\":{},\"bad\":{},\"window\":{window:.1}}}",
                    self.site.classes[class].0, sum.tries, sum.bad
                );
            }
            let (low, high) = self.site.report_delay_ms;
            let delay = self.random.between(low * MS, high * MS);
            for (zone, text) in texts.into_iter().enumerate() {
                self.at(now + delay, Event::Report { governor, zone, text });
            }
        }
    }

    fn send_report(&mut self, governor: usize, zone: usize, text: &str) {
        let name = self.site.zones[zone];
        let held = &mut self.governors[governor];
        if held.collectors[zone].is_none() {
            let address = held.listen.parse().expect("address");
            held.collectors[zone] = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
            if let Some(stream) = &mut held.collectors[zone] {
                _ = stream.set_nodelay(true);
                _ = stream.write_all(format!("{{\"@type\":\"SOURCE\",\"az\":\"{name}\"}}\n").as_bytes());
            }
        }
        if let Some(stream) = &mut held.collectors[zone] {
            if stream.write_all(text.as_bytes()).is_err() {
                held.collectors[zone] = None;
            }
        }
    }

    // ---- configuration of the governors ------------------------------------------------------------------------

    pub fn configuration(&self, governor: usize, discovery: &str, relay: &str) -> String {
        let site = &self.site;
        let ns = |ms: u64| ms * 1_000_000;
        let classes: Vec<String> = site
            .classes
            .iter()
            .map(|(name, _, is_write, worth, target)| {
                let repeat = if *is_write { "unsafe" } else { "safe" };
                format!(
                    "{{\"name\":\"{name}\",\"value\":{worth:.1},\"targetNs\":{},\"deadlineNs\":{},\"repeat\":\"{repeat}\",\
                     \"group\":\"all\",\"lateShare\":0.2,\"windowNs\":5000000000}}",
                    ns(*target),
                    ns(*target * 5 / 2)
                )
            })
            .collect();
        let writers: Vec<String> = site.classes.iter().map(|class| class.2.to_string()).collect();
        let zones: Vec<String> = site.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        let transit = (site.transit_ms.0 + site.transit_ms.1) / 2;
        format!(
            "{{\"name\":\"n{governor}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"distributor\":{{\"address\":\"{relay}\"}},\"known\":{known},\
             \"settings\":{{\"classes\":[{classes}],\
             \"familyInfo\":{{\"agents\":{agents},\"bootstrap\":6,\"defaultRetry\":1,\"emptyForNs\":{bare},\
             \"fixedCost\":{head:.1},\"intakePerS\":400.0,\"lateMostNs\":{late},\"lbMethod\":\"rotate\",\
             \"levelKind\":\"fraction\",\"minConnCap\":440.0,\"movePrice\":0.02,\"orderPrice\":0.04,\"outlierAfter\":0,\
             \"partitionsN\":{slices},\"periodNs\":{period},\"pushRate\":{rate:.1},\"queueCap\":{cap:.1},\
             \"reloadSpanNs\":10000000000,\"singleWriter\":{exclusive},\"tenureNs\":{lease},\"transitNs\":{transit},\
             \"tryFactor\":1.2,\"updateCap\":{messages},\"waitsForTableNs\":300000000,\"warmKeys\":true,\
             \"writeLifeNs\":{life},\"writers\":[{writers}],\"zonal\":false,\"zoneBound\":[false,false]}},\
             \"me\":{governor},\"peersTotal\":{governors},\"membershipMode\":\"push\",\
             \"obligations\":{{\"askEveryNs\":10000000000,\"coldFrom\":{cold},\"drainGraceNs\":{grace},\
             \"fallMultiple\":{multiple},\"fallNs\":2000000000,\"warmAfterNs\":{warm}}},\
             \"weights\":\"{weights}\",\"locality\":\"{zone}\",\"zones\":[{zones}]}}}}",
            listen = self.governors[governor].listen,
            seed = unix_ms.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ governor as u64,
            known = self.list(None),
            classes = classes.join(","),
            agents = site.proxies,
            bare = ns(9000),
            head = site.head,
            late = ns(site.transit_ms.1),
            slices = site.slices,
            period = ns(site.period_ms),
            rate = site.lines_per_s,
            cap = site.queue_cap,
            exclusive = site.exclusive,
            lease = ns(site.lease_ms),
            transit = ns(transit),
            messages = site.message_cap,
            life = ns(site.write_life_ms),
            writers = writers.join(","),
            governors = site.governors,
            cold = site.cold_from,
            grace = ns(site.grace_ms),
            multiple = site.fall_multiple,
            warm = ns(site.warm_ms),
            weights = site.weights,
            zone = site.zones[governor % site.zones.len()],
            zones = zones.join(","),
        )
    }
}
