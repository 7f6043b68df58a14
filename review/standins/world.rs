//! Stand-ins of the platform for the cases of the second review: relay with store and channel, discovery, collectors,
//! proxies, replicas and clients, in one process, on loopback addresses and the real clock. The governors are the
//! project's own program, started as separate processes by the command of the deploy file.
//!
//! The behaviour follows the users' pages: PROTOCOL (lines, answers, news), WIRE (tables, levels, marks, charge, the
//! rules), BENCH (streams, store, tenure). Where a page is silent, the stand-ins behave like a sound platform.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the start of the run.
pub type Ms = f64;
pub const CLASSES: [&str; 2] = ["lookup", "post"];
const WRITE: usize = 1;

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn range(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.draw()
    }
    pub fn below(&mut self, n: usize) -> usize {
        (self.draw() * n as f64) as usize % n.max(1)
    }
}

/// The figures of the deployment. Times in milliseconds.
#[derive(Clone)]
pub struct Site {
    pub single_writer: bool,
    pub level_kind: &'static str,
    pub governors: usize,
    pub proxies: usize,
    pub replicas: usize,
    pub slices: usize,
    pub zones: Vec<&'static str>,
    pub ops_per_second: f64,
    pub push_rate: f64,
    pub head_lines: f64,
    pub queue_cap: f64,
    pub messages_most: usize,
    pub messages_span: Ms,
    pub tenure: Ms,
    pub write_life: Ms,
    pub drain_grace: Ms,
    pub empty_for: Ms,
    pub late: (Ms, Ms),
    pub sync: (Ms, Ms),
    pub redial: (Ms, Ms),
    pub takeover: (Ms, Ms),
    pub notice: (Ms, Ms),
    pub period: Ms,
    pub report_late: (Ms, Ms),
    pub service: (Ms, Ms),
    pub op_timeout: Ms,
    pub membership: &'static str,
    pub gone_is_advice: bool,
}

impl Site {
    /// A small deployment with the figures of regina-rating.
    pub fn regina() -> Site {
        Site {
            single_writer: false,
            level_kind: "fraction",
            governors: 1,
            proxies: 10,
            replicas: 9,
            slices: 40,
            zones: vec!["regina", "saskatoon", "moose-jaw"],
            ops_per_second: 200.0,
            push_rate: 40_000.0,
            head_lines: 8.0,
            queue_cap: 60_000.0,
            messages_most: 0,
            messages_span: 10_000.0,
            tenure: 4000.0,
            write_life: 3000.0,
            drain_grace: 1500.0,
            empty_for: 3000.0,
            late: (91.0, 290.0),
            sync: (150.0, 360.0),
            redial: (270.0, 2100.0),
            takeover: (1200.0, 3400.0),
            notice: (870.0, 1700.0),
            period: 1000.0,
            report_late: (220.0, 980.0),
            service: (60.0, 240.0),
            op_timeout: 3000.0,
            membership: "push",
            gone_is_advice: false,
        }
    }

    /// A small deployment with the figures of kitchen-help: one writer a slice, 12 messages in 10 s.
    pub fn kitchen() -> Site {
        Site {
            single_writer: true,
            governors: 1,
            proxies: 10,
            replicas: 9,
            slices: 36,
            ops_per_second: 200.0,
            push_rate: 8000.0,
            head_lines: 16.0,
            queue_cap: 12_000.0,
            messages_most: 12,
            tenure: 4000.0,
            write_life: 620.0,
            drain_grace: 2000.0,
            late: (130.0, 430.0),
            sync: (94.0, 490.0),
            redial: (270.0, 2300.0),
            takeover: (980.0, 2400.0),
            notice: (410.0, 1900.0),
            period: 500.0,
            report_late: (650.0, 1600.0),
            op_timeout: 600.0,
            service: (30.0, 200.0),
            ..Site::regina()
        }
    }

    fn settings(&self, me: usize) -> String {
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("{zone:?}")).collect();
        let class = |name: &str, value: f64, repeat: &str| {
            format!(
                r#"{{"name":"{name}","value":{value},"targetNs":1200000000,"deadlineNs":{:.0},"repeat":"{repeat}","group":"all","windowNs":5000000000,"lateShare":0.1}}"#,
                self.op_timeout * 1e6
            )
        };
        format!(
            r#"{{"classes":[{},{}],"familyInfo":{{"agents":{},"partitionsN":{},"periodNs":{:.0},"levelKind":"{}","singleWriter":{},"tenureNs":{:.0},"writeLifeNs":{:.0},"fixedCost":{:.1},"pushRate":{:.1},"queueCap":{:.1},"updateCap":{},"reloadSpanNs":{:.0},"emptyForNs":{:.0},"lateMostNs":{:.0},"transitNs":{:.0},"defaultRetry":1,"tryFactor":1.2,"waitsForTableNs":500000000,"writers":[false,true],"zonal":false,"lbMethod":"p2c"}},"obligations":{{"coldFrom":0.21,"warmAfterNs":15000000000,"fallMultiple":3.0,"fallNs":2000000000,"drainGraceNs":{:.0},"askEveryNs":10000000000,"goneIsAdvice":{}}},"membershipMode":"{}","weights":"rough","peersTotal":{},"me":{},"domainType":"control","tickNs":5000000,"worthBy":"request","zones":[{}],"locality":{:?}}}"#,
            class("lookup", 2.0, "safe"),
            class("post", 5.0, "unsafe"),
            self.proxies,
            self.slices,
            self.period * 1e6,
            self.level_kind,
            self.single_writer,
            self.tenure * 1e6,
            self.write_life * 1e6,
            self.head_lines,
            self.push_rate,
            self.queue_cap,
            self.messages_most,
            self.messages_span * 1e6,
            self.empty_for * 1e6,
            self.late.1 * 1e6,
            (self.late.0 + self.late.1) / 2.0 * 1e6,
            self.drain_grace * 1e6,
            self.gone_is_advice,
            self.membership,
            self.governors,
            me,
            zones.join(","),
            self.zones[0],
        )
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum State {
    Active,
    Leaving,
    Left,
}

pub struct Replica {
    /// The times of the newest attempts that count for rule 4.
    arrivals: VecDeque<Ms>,
    /// When the replica last started, by this run's clock.
    pub started_at: Option<Ms>,
    pub id: String,
    pub zone: usize,
    pub state: State,
    pub started_ms: u64,
    pub runs: bool,
    /// Takes work and answers none.
    pub hangs: bool,
    /// Service times are this many times longer.
    pub slow: f64,
}

#[derive(Clone, Debug)]
enum Order {
    Set(usize, usize, f64),
    Del(usize),
    Out(usize),
    In(usize),
    Limit(Option<usize>, Vec<usize>, f64),
    Sync(u32, bool),
}

#[derive(Clone, Default, Debug)]
struct Table {
    lines: BTreeMap<usize, f64>,
    levels: [f64; 2],
}

pub struct InHand {
    pub replica: usize,
    pub until: Ms,
    pub op: u64,
    pub sent: Ms,
}

struct Slice {
    holder: Option<usize>,
    table: Table,
    weight: f64,
    owners: Vec<usize>,
    newest_epoch_written: usize,
    in_hand: Vec<InHand>,
    given_at: Ms,
    held_since: Option<Ms>,
}

struct View {
    table: Table,
    /// Since when the proxy goes on with what it holds: its stream to the governor broke, or the slice changed hands.
    stale_since: Option<Ms>,
    empty_since: Option<Ms>,
}

struct Proxy {
    runs: bool,
    zone: usize,
    joined: Vec<Option<Ms>>,
    stream: Vec<u64>,
    first: Vec<bool>,
    cut_until: Vec<Ms>,
    views: Vec<View>,
    withdrawn: Vec<BTreeSet<usize>>,
    global: Vec<[f64; 2]>,
    message_times: Vec<VecDeque<Ms>>,
    last_delivery: Vec<Ms>,
}

struct Message {
    proxy: usize,
    stream: u64,
    orders: Arc<Vec<Order>>,
    version: Option<u32>,
    lines: f64,
}

struct Delivery {
    at: Ms,
    governor: usize,
    message: Message,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    n: f64,
    bad: f64,
    time: f64,
}

struct Watcher {
    id: u64,
    lines: Sender<Option<String>>,
    mute: bool,
}

/// What the relay does with the calls of a governor.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CallFault {
    None,
    /// Carried out, but the connection is reset instead of an answer.
    ResetAfter,
    /// Not carried out, and the connection is reset.
    ResetBefore,
    /// Carried out; no answer comes.
    Silent,
    /// Not carried out; no answer comes.
    Lost,
    /// Carried out; the answer can't be read.
    Spoilt,
}

pub struct Governor {
    child: Option<Child>,
    pub starts: u32,
    pub answered_at: Option<Ms>,
    pub listen: SocketAddr,
    relay: SocketAddr,
    discovery: SocketAddr,
    /// Incremented when a new configuration moves relay and discovery.
    generation: u32,
    open: Vec<(u32, TcpStream)>,
    watchers: Vec<Watcher>,
    list_readers: Vec<Sender<Option<String>>>,
    pub list_silent: bool,
    pub relay_silent: bool,
    pub call_fault: CallFault,
    pub call_fault_share: f64,
    queue: VecDeque<Message>,
    queued_lines: f64,
    budget: f64,
    /// By replica: when the governor was told that it drains or is gone.
    told: BTreeMap<usize, Ms>,
    told_version: usize,
    told_since: BTreeMap<usize, Ms>,
    load: BTreeMap<(usize, usize), Counts>,
    demand: BTreeMap<(usize, usize), Counts>,
    pub calls: u64,
    pub rss: u64,
    excused_until: Ms,
}

struct Op {
    ends: Ms,
    started: Ms,
    proxy: usize,
    slice: usize,
    class: usize,
    replica: usize,
    good: bool,
}

type Event = Box<dyn FnOnce(&mut World) + Send>;

pub struct World {
    pub site: Site,
    pub rng: Rng,
    started: Instant,
    pub folder: PathBuf,
    root: PathBuf,
    record: File,
    pub replicas: Vec<Replica>,
    slices: Vec<Slice>,
    proxies: Vec<Proxy>,
    pub governors: Vec<Governor>,
    /// The replica that each version of the list changed, with the entry as it was then.
    list_log: Vec<(usize, String, State)>,
    deliveries: Vec<Delivery>,
    ops: Vec<Op>,
    events: Vec<(Ms, Event)>,
    next_id: u64,
    pub broken: Vec<String>,
    pub sent_ops: u64,
    pub good_ops: u64,
    pub refused_ops: u64,
    /// Ops that were sent to a replica that no longer runs.
    pub ops_at_gone: u64,
    last_tick: Ms,
    last_heartbeat: Ms,
    last_list_heartbeat: Ms,
    last_check: Ms,
    pub ended: bool,
    pub traffic: bool,
    pub log_orders: bool,
    /// All connections between governor and relay are reset while the next call that sets an owner is under way: it has
    /// been carried out and is not answered yet.
    pub reset_at_next_set: bool,
    /// Writes stay in hand for their whole life with this probability.
    pub long_writes: f64,
    /// What a warm replica can do, in ops a second; 0: rule 4 is not checked.
    pub capacity: f64,
    /// The list in the configuration is this many versions old.
    pub known_lag: usize,
}

pub type Shared = Arc<Mutex<World>>;

pub fn lock(shared: &Shared) -> MutexGuard<'_, World> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port on loopback")
}

/// An address that nobody uses, for the governor to listen on: outside the range that the system gives to clients, as
/// it stays unused until the governor has started.
fn free_address(number: usize) -> SocketAddr {
    let first = std::process::id() * 64 + number as u32 * 8;
    let ports = (0..10_000).map(|step| 20_000 + (first + step * 37) % 10_000);
    let mut free = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port as u16)).ok());
    free.next().and_then(|listener| listener.local_addr().ok()).expect("a free port on loopback")
}

impl World {
    pub fn now(&self) -> Ms {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn note(&mut self, text: &str) {
        let now = self.now();
        _ = writeln!(self.record, "{now:9.1} {text}");
    }

    pub fn broke(&mut self, rule: &str, text: String) {
        let line = format!("BROKEN {rule}: {text}");
        self.note(&line);
        self.broken.push(line);
    }

    pub fn at(&mut self, at: Ms, event: impl FnOnce(&mut World) + Send + 'static) {
        self.events.push((at, Box::new(event)));
    }

    pub fn after(&mut self, delay: Ms, event: impl FnOnce(&mut World) + Send + 'static) {
        let at = self.now() + delay;
        self.at(at, event);
    }

    fn unix_ms() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
    }

    fn entry(&self, replica: usize) -> String {
        let Replica { id, zone, state, started_ms, .. } = &self.replicas[replica];
        let state = match state {
            State::Active => "active",
            State::Leaving => "leaving",
            State::Left => "left",
        };
        format!(
            r#"{{"id":"{id}","addr":"127.1.0.{replica}:8443","zone":"{}","kind":"std-6","cell":1,"state":"{state}","weight":1.0,"started_ms":{started_ms}}}"#,
            self.site.zones[*zone]
        )
    }

    fn whole_list(&self) -> String {
        let listed = (0..self.replicas.len()).filter(|replica| self.replicas[*replica].state != State::Left);
        let entries: Vec<String> = listed.map(|replica| self.entry(replica)).collect();
        format!(r#"{{"version":{},"full":true,"servers":[{}]}}"#, self.list_log.len() + 1, entries.join(","))
    }

    /// The whole list after this number of changes.
    fn list_as_of(&self, changes: usize) -> String {
        let mut entries: BTreeMap<usize, (String, State)> = (0..self.replicas.len())
            .map(|replica| {
                let Replica { id, zone, .. } = &self.replicas[replica];
                let zone = self.site.zones[*zone];
                let entry = format!(
                    r#"{{"id":"{id}","addr":"127.1.0.{replica}:8443","zone":"{zone}","kind":"std-6","cell":1,"state":"active","weight":1.0,"started_ms":0}}"#
                );
                (replica, (entry, State::Active))
            })
            .collect();
        for (replica, entry, state) in &self.list_log[..changes] {
            entries.insert(*replica, (entry.clone(), *state));
        }
        let listed: Vec<String> = entries
            .into_values()
            .filter(|(_, state)| *state != State::Left)
            .map(|(entry, _)| entry)
            .collect();
        format!(r#"{{"version":{},"full":true,"servers":[{}]}}"#, changes + 1, listed.join(","))
    }

    /// Changes a replica's state in the list and tells all governors.
    pub fn list_change(&mut self, replica: usize, state: State) {
        self.replicas[replica].state = state;
        let entry = self.entry(replica);
        self.list_log.push((replica, entry.clone(), state));
        let line = format!(r#"{{"version":{},"full":false,"servers":[{entry}]}}"#, self.list_log.len() + 1);
        self.note(&format!("list {} {state:?}", self.replicas[replica].id));
        for governor in 0..self.governors.len() {
            self.tell(governor, &line);
        }
    }

    fn tell(&mut self, governor: usize, line: &str) {
        let now = self.now();
        let version = self.list_log.len();
        let me = &mut self.governors[governor];
        if me.list_silent || me.list_readers.is_empty() {
            return;
        }
        me.list_readers.retain(|reader| reader.send(Some(format!("{line}\n"))).is_ok());
        self.record_told(governor, version, now);
    }

    /// Everything up to this version counts as told to the governor.
    fn record_told(&mut self, governor: usize, version: usize, now: Ms) {
        let from = self.governors[governor].told_version;
        for index in from..version {
            let (replica, _, state) = self.list_log[index];
            let told = &mut self.governors[governor].told;
            if state == State::Active {
                told.remove(&replica);
            } else {
                told.entry(replica).or_insert(now);
            }
        }
        self.governors[governor].told_version = version.max(from);
    }

    pub fn replica_index(&self, id: &str) -> Option<usize> {
        self.replicas.iter().position(|replica| replica.id == id)
    }

    pub fn owner(&self, slice: usize) -> Option<usize> {
        self.slices[slice].table.lines.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|(replica, _)| *replica)
    }

    pub fn slices_of(&self, replica: usize) -> Vec<usize> {
        (0..self.slices.len())
            .filter(|slice| self.slices[*slice].table.lines.contains_key(&replica))
            .collect()
    }

    /// The slices whose ops have all been refused for longer than `span`.
    pub fn held_back(&self, span: Ms) -> Vec<usize> {
        let now = self.now();
        let is_held = |slice: &usize| self.slices[*slice].held_since.is_some_and(|since| now - since > span);
        (0..self.slices.len()).filter(is_held).collect()
    }

    pub fn in_hand(&self, slice: usize) -> &[InHand] {
        &self.slices[slice].in_hand
    }

    fn broadcast(&mut self, governor: usize, line: &str) {
        for watcher in &self.governors[governor].watchers {
            if !watcher.mute {
                _ = watcher.lines.send(Some(format!("{line}\r\n")));
            }
        }
    }

    fn snapshot(&self, governor: usize) -> String {
        let mut text = String::from("OK\r\n");
        for (number, proxy) in self.proxies.iter().enumerate() {
            if proxy.joined[governor].is_some() {
                let first = u8::from(proxy.first[governor]);
                text += &format!("* SUBSCRIBE {number} {} 21.5 {first}\r\n", self.site.zones[proxy.zone]);
            }
        }
        for (number, slice) in self.slices.iter().enumerate() {
            if slice.holder == Some(governor) {
                text += &format!("* GRANT {number} 1\r\n");
                for (replica, weight) in &slice.table.lines {
                    text += &format!("* ROW {number} {} {weight}\r\n", self.replicas[*replica].id);
                }
            }
        }
        text
    }

    /// Gives a slice into the charge of a governor: its levels are reset, and the proxies read it again.
    fn give(&mut self, slice: usize, governor: usize) {
        let now = self.now();
        let former = self.slices[slice].holder;
        if let Some(former) = former.filter(|former| *former != governor) {
            self.broadcast(former, &format!("* GRANT {slice} 0"));
        }
        let given = &mut self.slices[slice];
        given.holder = Some(governor);
        given.table.levels = [1.0; 2];
        given.given_at = now;
        let mut lines = vec![format!("* GRANT {slice} 1")];
        for (replica, weight) in &given.table.lines {
            lines.push(format!("* ROW {slice} {} {weight}", self.replicas[*replica].id));
        }
        for line in lines {
            self.broadcast(governor, &line);
        }
        for proxy in 0..self.proxies.len() {
            let view = &mut self.proxies[proxy].views[slice];
            view.stale_since.get_or_insert(now);
            self.read_later(proxy, slice);
        }
    }

    /// The proxy reads the slice from the store soon.
    fn read_later(&mut self, proxy: usize, slice: usize) {
        let (low, high) = self.site.sync;
        let delay = self.rng.range(low, high);
        self.after(delay, move |world| {
            if !world.proxies[proxy].runs {
                return;
            }
            let (table, holder) = (world.slices[slice].table.clone(), world.slices[slice].holder);
            let has_stream = holder.is_some_and(|holder| world.proxies[proxy].joined[holder].is_some());
            let view = &mut world.proxies[proxy].views[slice];
            view.table = table;
            // Without a stream to the governor in charge the tenure runs on: nobody could tell the proxy of a change.
            if has_stream {
                view.stale_since = None;
            }
        });
    }

    fn join(&mut self, proxy: usize, governor: usize) {
        let now = self.now();
        let joining = &mut self.proxies[proxy];
        if !joining.runs
            || joining.joined[governor].is_some()
            || self.governors[governor].answered_at.is_none()
        {
            return;
        }
        if joining.cut_until[governor] > now {
            let at = joining.cut_until[governor] + 50.0;
            return self.at(at, move |world| world.join(proxy, governor));
        }
        joining.joined[governor] = Some(now);
        joining.stream[governor] += 1;
        joining.message_times[governor].clear();
        joining.last_delivery[governor] = 0.0;
        let zone = self.site.zones[joining.zone];
        let first = u8::from(joining.first[governor]);
        self.broadcast(governor, &format!("* SUBSCRIBE {proxy} {zone} 21.5 {first}"));
        self.proxies[proxy].first[governor] = false;
        for slice in 0..self.slices.len() {
            if self.slices[slice].holder == Some(governor) {
                self.read_later(proxy, slice);
            }
        }
    }

    fn redial(&mut self, proxy: usize, governor: usize) {
        let (low, high) = self.site.redial;
        let delay = self.rng.range(low, high);
        self.after(delay, move |world| world.join(proxy, governor));
    }

    /// The proxy's stream breaks. The governor hears of it after `notice`.
    fn part(&mut self, proxy: usize, governor: usize, notice: Ms) {
        let now = self.now();
        if self.proxies[proxy].joined[governor].take().is_none() {
            return;
        }
        self.proxies[proxy].stream[governor] += 1;
        for slice in 0..self.slices.len() {
            if self.slices[slice].holder == Some(governor) {
                self.proxies[proxy].views[slice].stale_since.get_or_insert(now);
            }
        }
        let queue = &mut self.governors[governor].queue;
        queue.retain(|message| message.proxy != proxy);
        self.governors[governor].queued_lines = self.governors[governor].queue.iter().map(|m| m.lines).sum();
        let stream = self.proxies[proxy].stream[governor];
        self.after(notice, move |world| {
            if world.proxies[proxy].stream[governor] == stream {
                world.broadcast(governor, &format!("* CLOSED {proxy}"));
                if world.proxies[proxy].runs {
                    world.redial(proxy, governor);
                }
            }
        });
    }

    /// A proxy's streams break; it comes back as soon as the cut ends.
    pub fn cut_proxy(&mut self, proxy: usize, length: Ms, silent: bool) {
        let now = self.now();
        for governor in 0..self.governors.len() {
            self.proxies[proxy].cut_until[governor] = now + length;
            let (low, high) = self.site.notice;
            let notice = if silent { self.rng.range(low, high) } else { 0.0 };
            self.part(proxy, governor, notice);
        }
        self.note(&format!("proxy {proxy} reaches no governor for {length:.0} ms"));
    }

    pub fn kill_proxy(&mut self, proxy: usize, length: Ms) {
        if !self.proxies[proxy].runs {
            return;
        }
        self.note(&format!("proxy {proxy} dies for {length:.0} ms"));
        self.proxies[proxy].runs = false;
        for governor in 0..self.governors.len() {
            self.part(proxy, governor, 0.0);
            self.proxies[proxy].first[governor] = true;
            self.proxies[proxy].withdrawn[governor].clear();
            self.proxies[proxy].global[governor] = [1.0; 2];
        }
        self.after(length, move |world| {
            world.proxies[proxy].runs = true;
            for slice in 0..world.slices.len() {
                let view = &mut world.proxies[proxy].views[slice];
                view.table = Table { lines: BTreeMap::new(), levels: [1.0; 2] };
                view.stale_since = Some(f64::MIN);
            }
            for governor in 0..world.governors.len() {
                world.redial(proxy, governor);
            }
        });
    }

    /// Starts the governor by the command of the deploy file.
    pub fn start_governor(&mut self, governor: usize) {
        let name = format!("n{governor}");
        let config = self.folder.join(format!("{name}.json"));
        self.write_config(governor);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("log file");
        let run = std::env::var("RUN_COMMAND").unwrap_or("exec target/release/whinwall-controller".into());
        let me = &self.governors[governor];
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&self.root)
            .env("PROXY_NAME", &name)
            .env("PROXY_LISTEN", me.listen.to_string())
            .env("PROXY_DISCOVERY", me.discovery.to_string())
            .env("PROXY_CONFIG", &config)
            .env("TMPDIR", &self.folder)
            .env("WHINWALL_LOG", std::env::var("WHINWALL_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .process_group(0)
            .spawn()
            .expect("the program starts");
        if let Ok(path) = std::env::var("PIDS") {
            if let Ok(mut pids) = std::fs::OpenOptions::new().create(true).append(true).open(path) {
                _ = writeln!(pids, "{}", child.id());
            }
        }
        self.note(&format!("governor {name} started"));
        let me = &mut self.governors[governor];
        me.child = Some(child);
        me.starts += 1;
        me.told_version = 0;
        me.told.clear();
    }

    pub fn write_config(&mut self, governor: usize) {
        let known = self.list_as_of(self.list_log.len().saturating_sub(self.known_lag));
        let seed = (self.rng.draw() * 2f64.powi(53)) as u64;
        let me = &self.governors[governor];
        let text = format!(
            r#"{{"name":"n{governor}","listen":"{}","discovery":"{}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"distributor":{{"address":"{}"}},"known":{known},"settings":{}}}"#,
            me.listen,
            me.discovery,
            me.relay,
            self.site.settings(governor)
        );
        let path = self.folder.join(format!("n{governor}.json"));
        std::fs::write(&path, text).expect("configuration file");
    }

    pub fn signal(&mut self, governor: usize, signal: &str) {
        let Some(child) = &self.governors[governor].child else { return };
        let pid = child.id().to_string();
        self.note(&format!("{signal} to governor n{governor}"));
        _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
    }

    /// The process has ended: its streams break, and what waited or travelled is lost.
    fn governor_ended(&mut self, governor: usize) {
        let me = &mut self.governors[governor];
        if let Some(mut child) = me.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
        let me = &mut self.governors[governor];
        me.answered_at = None;
        me.watchers.clear();
        me.list_readers.clear();
        me.queue.clear();
        me.queued_lines = 0.0;
        me.load.clear();
        me.demand.clear();
        self.deliveries.retain(|delivery| delivery.governor != governor);
        let now = self.now();
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].joined[governor].take().is_some() {
                self.proxies[proxy].stream[governor] += 1;
                for slice in 0..self.slices.len() {
                    if self.slices[slice].holder == Some(governor) {
                        self.proxies[proxy].views[slice].stale_since.get_or_insert(now);
                    }
                }
            }
        }
        if self.governors.len() > 1 {
            let (low, high) = self.site.takeover;
            let delay = self.rng.range(low, high);
            self.after(delay, move |world| world.take_over(governor));
        }
    }

    fn take_over(&mut self, from: usize) {
        let up: Vec<usize> = (0..self.governors.len())
            .filter(|g| *g != from && self.governors[*g].answered_at.is_some())
            .collect();
        let up: Vec<usize> = up.into_iter().filter(|g| !self.governors[*g].relay_silent).collect();
        let is_back = self.governors[from].answered_at.is_some() && !self.governors[from].relay_silent;
        if is_back || up.is_empty() {
            return;
        }
        for slice in 0..self.slices.len() {
            if self.slices[slice].holder == Some(from) {
                let to = up[slice % up.len()];
                self.give(slice, to);
            }
        }
        self.note(&format!("slices of n{from} given to {up:?}"));
    }

    /// Kills the governor (SIGKILL) and starts it again after `down`.
    pub fn kill_governor(&mut self, governor: usize, down: Ms) {
        self.note(&format!("SIGKILL to governor n{governor}, down for {down:.0} ms"));
        self.governor_ended(governor);
        self.after(down, move |world| world.start_governor(governor));
    }

    /// A planned restart: SIGTERM, SIGKILL 0.7 s later, and a start after `down`.
    pub fn restart_governor(&mut self, governor: usize, down: Ms) {
        self.signal(governor, "TERM");
        self.after(700.0, move |world| {
            world.governor_ended(governor);
            world.after(down, move |world| world.start_governor(governor));
        });
    }

    /// The governor answered a ping for the first time since its start: it is used.
    fn governor_answered(&mut self, governor: usize) {
        let now = self.now();
        self.governors[governor].answered_at = Some(now);
        self.note(&format!("governor n{governor} answers"));
        let single = self.governors.len() == 1;
        for slice in 0..self.slices.len() {
            let home = slice % self.governors.len();
            if self.slices[slice].holder.is_none() || (single && self.governors[governor].starts > 1) {
                if home == governor || single {
                    self.give(slice, governor);
                }
            } else if !single && home == governor && self.governors[governor].starts > 1 {
                let delay = self.rng.range(3000.0, 12_000.0);
                self.after(delay, move |world| {
                    if world.governors[governor].answered_at.is_some()
                        && world.slices[slice].holder != Some(governor)
                    {
                        world.give(slice, governor);
                    }
                });
            }
        }
        for proxy in 0..self.proxies.len() {
            self.redial(proxy, governor);
        }
    }

    fn parse_order(&self, text: &str) -> Option<Order> {
        let fields: Vec<&str> = text.split(',').collect();
        let replica = |id: &str| self.replica_index(id);
        let slice = |text: &str| text.parse::<usize>().ok().filter(|slice| *slice < self.slices.len());
        Some(match fields[..] {
            ["SET", s, r, w] => Order::Set(slice(s)?, replica(r)?, w.parse().ok().filter(|w| *w >= 0.0)?),
            ["DEL", s] => Order::Del(slice(s)?),
            ["OUT", r] => Order::Out(replica(r)?),
            ["IN", r] => Order::In(replica(r)?),
            ["LIMIT", s, classes, level, how] => {
                let s = if s == "*" { None } else { Some(slice(s)?) };
                let classes = if classes == "*" {
                    vec![0, 1]
                } else {
                    let known = |name: &str| CLASSES.iter().position(|class| *class == name);
                    classes.split('+').map(known).collect::<Option<Vec<_>>>()?
                };
                how.parse::<u8>().ok()?;
                Order::Limit(s, classes, level.parse().ok().filter(|l| *l >= 0.0)?)
            }
            ["SYNC", version, scope] => Order::Sync(version.parse().ok()?, scope == "1"),
            _ => return None,
        })
    }

    /// Carries out a call of the governor; the answer is the number of orders taken.
    fn call(&mut self, governor: usize, text: &str) -> String {
        if self.governors[governor].answered_at.is_none() {
            return "ERR too_many_calls".into();
        }
        let now = self.now();
        let mut taken = 0;
        let mut effective = Vec::new();
        let mut sync = None;
        for order in text.split(';') {
            let Some(order) = self.parse_order(order) else { break };
            taken += 1;
            let holds = |slice: usize| self.slices[slice].holder == Some(governor);
            match &order {
                Order::Sync(version, all) => sync = Some((*version, *all)),
                Order::Set(slice, ..) | Order::Del(slice) | Order::Limit(Some(slice), ..)
                    if !holds(*slice) => {}
                _ => effective.push(order),
            }
        }
        if self.log_orders {
            self.note(&format!("n{governor} APPLY {text}"));
        }
        for order in &effective {
            match order {
                Order::Set(slice, replica, weight) => {
                    let slice = &mut self.slices[*slice];
                    if *weight > 0.0 && self.site.single_writer {
                        slice.table.lines.clear();
                        if slice.owners.last() != Some(replica) {
                            slice.owners.push(*replica);
                        }
                    }
                    set_line(&mut slice.table, *replica, *weight);
                }
                Order::Del(slice) => {
                    self.slices[*slice].table = Table { lines: BTreeMap::new(), levels: [1.0; 2] }
                }
                Order::Limit(Some(slice), classes, level) => {
                    for class in classes {
                        self.slices[*slice].table.levels[*class] = *level;
                    }
                }
                _ => {}
            }
        }
        let reaches = !effective.is_empty() || sync.is_some_and(|(_, all)| all);
        if reaches {
            let lines = self.site.head_lines + effective.len() as f64 + f64::from(u8::from(sync.is_some()));
            let orders = Arc::new(effective);
            for proxy in 0..self.proxies.len() {
                if self.proxies[proxy].joined[governor].is_none() {
                    continue;
                }
                let stream = self.proxies[proxy].stream[governor];
                let version = sync.map(|(version, _)| version);
                self.governors[governor].queue.push_back(Message {
                    proxy,
                    stream,
                    orders: orders.clone(),
                    version,
                    lines,
                });
                self.governors[governor].queued_lines += lines;
                let span = self.site.messages_span;
                let times = &mut self.proxies[proxy].message_times[governor];
                times.push_back(now);
                while times.front().is_some_and(|at| now - at > span) {
                    times.pop_front();
                }
                let count = times.len();
                if self.site.messages_most > 0 && count > self.site.messages_most {
                    self.broke("rule 5", format!("{count} messages to proxy {proxy} within {span} ms"));
                }
            }
            let queued = self.governors[governor].queued_lines;
            if queued > self.site.queue_cap {
                self.broke("rule 5", format!("{queued} lines wait in the channel of n{governor}"));
            }
        }
        format!("OK {taken}")
    }

    fn deliver(&mut self, Delivery { governor, message, .. }: Delivery) {
        let Message { proxy, stream, orders, version, .. } = message;
        if self.proxies[proxy].stream[governor] != stream || self.proxies[proxy].joined[governor].is_none() {
            return;
        }
        let single_writer = self.site.single_writer;
        let receiver = &mut self.proxies[proxy];
        for order in orders.iter() {
            match order {
                Order::Set(slice, replica, weight) => {
                    let table = &mut receiver.views[*slice].table;
                    if single_writer && *weight > 0.0 {
                        table.lines.clear();
                    }
                    set_line(table, *replica, *weight);
                }
                Order::Del(slice) => {
                    receiver.views[*slice].table = Table { lines: BTreeMap::new(), levels: [1.0; 2] };
                }
                Order::Out(replica) => _ = receiver.withdrawn[governor].insert(*replica),
                Order::In(replica) => _ = receiver.withdrawn[governor].remove(replica),
                Order::Limit(Some(slice), classes, level) => {
                    for class in classes {
                        receiver.views[*slice].table.levels[*class] = *level;
                    }
                }
                Order::Limit(None, classes, level) => {
                    for class in classes {
                        receiver.global[governor][*class] = *level;
                    }
                }
                Order::Sync(..) => {}
            }
        }
        if let Some(version) = version {
            self.broadcast(governor, &format!("* ACK {proxy} {version} 120.5"));
        }
    }

    fn pump_channels(&mut self, now: Ms, elapsed: Ms) {
        for governor in 0..self.governors.len() {
            let rate = self.site.push_rate;
            let me = &mut self.governors[governor];
            me.budget = (me.budget + rate * elapsed / 1000.0).min(rate * 0.05);
            while let Some(message) = me.queue.pop_front_if(|message| message.lines <= me.budget) {
                me.budget -= message.lines;
                me.queued_lines -= message.lines;
                let (low, high) = self.site.late;
                let at = now + self.rng.range(low, high);
                let proxy = &mut self.proxies[message.proxy];
                let at = at.max(proxy.last_delivery[governor]);
                proxy.last_delivery[governor] = at;
                self.deliveries.push(Delivery { at, governor, message });
            }
        }
        let mut due: Vec<Delivery> = Vec::new();
        let mut index = 0;
        while index < self.deliveries.len() {
            if self.deliveries[index].at <= now {
                due.push(self.deliveries.remove(index));
            } else {
                index += 1;
            }
        }
        due.sort_by(|a, b| a.at.total_cmp(&b.at));
        due.into_iter().for_each(|delivery| self.deliver(delivery));
    }

    fn count(&mut self, proxy: usize, slice: usize, class: usize, change: impl Fn(&mut Counts)) {
        let Some(holder) = self.slices[slice].holder else { return };
        if self.proxies[proxy].joined[holder].is_some() {
            change(self.governors[holder].demand.entry((slice, class)).or_default());
        }
    }

    /// A client's op comes to a proxy.
    pub fn op(&mut self, proxy: usize, slice: usize, class: usize) {
        if !self.proxies[proxy].runs {
            return;
        }
        let now = self.now();
        self.sent_ops += 1;
        self.count(proxy, slice, class, |counts| counts.n += 1.0);
        let holder = self.slices[slice].holder;
        let view = &self.proxies[proxy].views[slice];
        let global = holder.map_or(1.0, |holder| self.proxies[proxy].global[holder][class]);
        let level = view.table.levels[class].min(global);
        let draw = self.rng.draw();
        let admitted = self.site.level_kind == "none" || draw < level;
        let is_write = class == WRITE;
        let view = &self.proxies[proxy].views[slice];
        let may_write = view.stale_since.is_none_or(|since| now - since < self.site.tenure);
        if !admitted || (is_write && self.site.single_writer && !may_write) {
            self.refused_ops += 1;
            return;
        }
        let withdrawn = |replica: &usize| {
            holder.is_some_and(|holder| self.proxies[proxy].withdrawn[holder].contains(replica))
        };
        let lines: Vec<(usize, f64)> =
            view.table.lines.iter().filter(|(r, _)| !withdrawn(r)).map(|(r, w)| (*r, *w)).collect();
        let total: f64 = lines.iter().map(|(_, w)| w).sum();
        let mut left = self.rng.draw() * total;
        let Some((replica, _)) = lines.iter().find(|(_, w)| {
            left -= w;
            left <= 0.0
        }) else {
            self.refused_ops += 1;
            return;
        };
        self.attempt(proxy, slice, class, *replica);
    }

    fn attempt(&mut self, proxy: usize, slice: usize, class: usize, replica: usize) {
        let now = self.now();
        self.next_id += 1;
        let op = self.next_id;
        self.check_drain(proxy, slice, replica, now);
        self.check_cold(proxy, slice, replica, now);
        let target = &self.replicas[replica];
        let (low, high) = self.site.service;
        let (time, good) = match () {
            _ if !target.runs => (1.0, false),
            _ if target.hangs => (self.site.op_timeout, false),
            _ => ((self.rng.range(low, high) * target.slow).min(self.site.op_timeout), true),
        };
        let runs = target.runs;
        self.ops_at_gone += u64::from(!runs);
        let mut time = time;
        if class == WRITE && self.site.single_writer && runs {
            if self.rng.draw() < self.long_writes {
                time = time.max(self.site.write_life * self.rng.range(0.9, 0.99));
            }
            self.check_writers(proxy, slice, replica, op, now, now + time);
        }
        self.ops.push(Op { ends: now + time, started: now, proxy, slice, class, replica, good });
    }

    /// Rule 2 where a slice has one owner.
    fn check_writers(&mut self, proxy: usize, slice: usize, replica: usize, op: u64, now: Ms, until: Ms) {
        let written = &mut self.slices[slice];
        written.in_hand.retain(|write| write.until > now);
        let epoch = written.owners.iter().rposition(|owner| *owner == replica).unwrap_or(0);
        let other = written.in_hand.iter().find(|write| write.replica != replica);
        let overlap = other.map(|write| (write.replica, write.op, write.sent, write.until));
        let is_former = epoch < written.newest_epoch_written;
        let later = written.owners.get(written.newest_epoch_written).copied();
        written.newest_epoch_written = written.newest_epoch_written.max(epoch);
        written.in_hand.push(InHand { replica, until, op, sent: now });
        let name = |world: &World, replica: usize| world.replicas[replica].id.clone();
        if let Some((holder, first, sent, ends)) = overlap {
            let (at, has) = (name(self, replica), name(self, holder));
            self.broke(
                "rule 2",
                format!(
                    "write {op} of slice {slice} reaches {at} by proxy {proxy} while {has} has write {first} of it in \
                     hand (sent at {sent:.0}, ends at {ends:.0})"
                ),
            );
        } else if is_former {
            let (at, took) = (name(self, replica), later.map(|later| name(self, later)));
            self.broke(
                "rule 2",
                format!("write {op} of slice {slice} reaches former owner {at} after later owner {took:?} took one"),
            );
        }
    }

    /// Rule 3: joined proxies send nothing to a replica later than the grace after the governor was told.
    fn check_drain(&mut self, proxy: usize, slice: usize, replica: usize, now: Ms) {
        let Some(holder) = self.slices[slice].holder else { return };
        let me = &self.governors[holder];
        let (Some(answered), Some(joined)) = (me.answered_at, self.proxies[proxy].joined[holder]) else {
            return;
        };
        if self.site.gone_is_advice && self.replicas[replica].state == State::Left {
            return;
        }
        let Some(told) = me.told.get(&replica) else { return };
        let since =
            told.max(joined).max(self.slices[slice].given_at).max(answered + 1000.0).max(me.excused_until);
        if now - since > self.site.drain_grace + 300.0 {
            let id = self.replicas[replica].id.clone();
            self.broke(
                "rule 3",
                format!(
                    "proxy {proxy} sends to {id} for slice {slice} {:.0} ms after the governor was told",
                    now - since
                ),
            );
        }
    }

    /// Rule 4: a cold replica is not sent more than three times its present capacity over 2 s.
    fn check_cold(&mut self, proxy: usize, slice: usize, replica: usize, now: Ms) {
        let Some(started) = self.replicas[replica].started_at else { return };
        let age = now - started;
        let Some(holder) = self.slices[slice].holder else { return };
        let knows = self.governors[holder]
            .answered_at
            .is_some_and(|at| now - at.max(started + 200.0) > self.site.drain_grace)
            && self.proxies[proxy].joined[holder].is_some();
        if !self.replicas[replica].runs || age > 15_000.0 {
            return;
        }
        let share = 0.21 + 0.79 * (age - 1000.0).max(0.0) / 15_000.0;
        let limit = 3.0 * self.capacity * share * 2.0 + 8.0;
        let arrivals = &mut self.replicas[replica].arrivals;
        if knows {
            arrivals.push_back(now);
        }
        while arrivals.front().is_some_and(|at| now - at > 2000.0) {
            arrivals.pop_front();
        }
        let count = arrivals.len();
        if self.capacity > 0.0 && count as f64 > limit {
            self.replicas[replica].arrivals.clear();
            let id = self.replicas[replica].id.clone();
            self.broke("rule 4", format!("{id}, {age:.0} ms old, got {count} ops in 2 s, limit {limit:.0}"));
        }
    }

    pub fn set_weight(&mut self, slice: usize, weight: f64) {
        self.slices[slice].weight = weight;
    }

    pub fn revive(&mut self, replica: usize) {
        let now = self.now();
        let back = &mut self.replicas[replica];
        back.runs = true;
        back.started_at = Some(now);
        back.arrivals.clear();
        back.started_ms = World::unix_ms();
    }

    /// Rule 1: a joined proxy has a line to pick for each slice.
    fn check_empty(&mut self, now: Ms) {
        for governor in 0..self.governors.len() {
            let Some(answered) = self.governors[governor].answered_at else { continue };
            let excused = self.governors[governor].excused_until;
            let told = self.governors[governor].told.clone();
            let unix = World::unix_ms();
            let ready = self.replicas.iter().enumerate().any(|(number, replica)| {
                replica.state == State::Active
                    && !told.contains_key(&number)
                    && unix.saturating_sub(replica.started_ms) > 15_000
            });
            for proxy in 0..self.proxies.len() {
                let Some(joined) = self.proxies[proxy].joined[governor] else { continue };
                for slice in 0..self.slices.len() {
                    if self.slices[slice].holder != Some(governor) {
                        continue;
                    }
                    let given = self.slices[slice].given_at;
                    let held = &self.proxies[proxy];
                    let usable = held.views[slice]
                        .table
                        .lines
                        .keys()
                        .any(|replica| !held.withdrawn[governor].contains(replica));
                    let view = &mut self.proxies[proxy].views[slice];
                    if usable || !ready {
                        view.empty_since = None;
                        continue;
                    }
                    let since =
                        view.empty_since.get_or_insert(now).max(joined).max(given).max(answered + 1000.0);
                    let limit = self.site.empty_for + 300.0;
                    if now - since.max(excused) > limit {
                        view.empty_since = Some(now);
                        self.broke(
                            "rule 1",
                            format!(
                                "proxy {proxy} has no line to pick for slice {slice} for over {limit:.0} ms"
                            ),
                        );
                    }
                }
            }
        }
    }

    fn finish_ops(&mut self, now: Ms) {
        let mut index = 0;
        while index < self.ops.len() {
            if self.ops[index].ends > now {
                index += 1;
                continue;
            }
            let Op { started, proxy, slice, class, replica, good, ends } = self.ops.swap_remove(index);
            let good = good && self.replicas[replica].runs;
            if good {
                self.good_ops += 1;
            } else {
                self.count(proxy, slice, class, |counts| counts.bad += 1.0);
            }
            let Some(holder) = self.slices[slice].holder else { continue };
            if self.proxies[proxy].joined[holder].is_some() {
                let zone = self.proxies[proxy].zone;
                let counts = self.governors[holder].load.entry((zone, replica)).or_default();
                counts.n += 1.0;
                if good {
                    counts.time += ends - started;
                } else {
                    counts.bad += 1.0;
                }
            }
        }
    }

    /// The replica takes work and answers none.
    pub fn kill_replica_quietly(&mut self, replica: usize) {
        self.replicas[replica].hangs = true;
    }

    pub fn kill_replica(&mut self, replica: usize) {
        self.replicas[replica].runs = false;
        for slice in &mut self.slices {
            slice.in_hand.retain(|write| write.replica != replica);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let elapsed = now - self.last_tick;
        self.last_tick = now;
        let mut due = Vec::new();
        let mut index = 0;
        while index < self.events.len() {
            if self.events[index].0 <= now {
                due.push(self.events.swap_remove(index));
            } else {
                index += 1;
            }
        }
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, event) in due {
            event(self);
        }
        self.pump_channels(now, elapsed);
        self.finish_ops(now);
        if self.traffic {
            let mut expected = self.site.ops_per_second * elapsed / 1000.0;
            while expected > 0.0 {
                if expected >= 1.0 || self.rng.draw() < expected {
                    let proxy = self.rng.below(self.proxies.len());
                    let total: f64 = self.slices.iter().map(|slice| slice.weight).sum();
                    let mut left = self.rng.draw() * total;
                    let slice = self.slices.iter().position(|slice| {
                        left -= slice.weight;
                        left <= 0.0
                    });
                    let class = usize::from(self.rng.draw() < 0.4);
                    self.op(proxy, slice.unwrap_or(0), class);
                }
                expected -= 1.0;
            }
        }
        if now - self.last_heartbeat >= 1000.0 {
            self.last_heartbeat = now;
            for governor in 0..self.governors.len() {
                if !self.governors[governor].relay_silent {
                    self.broadcast(governor, "*");
                }
            }
        }
        if now - self.last_list_heartbeat >= 2000.0 {
            self.last_list_heartbeat = now;
            for me in &mut self.governors {
                if !me.list_silent {
                    me.list_readers.retain(|reader| reader.send(Some("\n".into())).is_ok());
                }
            }
        }
        if now - self.last_check >= 50.0 {
            self.last_check = now;
            self.check_empty(now);
            for slice in &mut self.slices {
                let is_held = slice.table.levels == [0.0; 2];
                slice.held_since = slice.held_since.filter(|_| is_held).or(is_held.then_some(now));
            }
            for governor in 0..self.governors.len() {
                // Whatever discovery has to tell counts as told after 6 s.
                let version = self.list_log.len();
                if self.governors[governor].told_version < version {
                    let since = *self.governors[governor].told_since.entry(version).or_insert(now);
                    if now - since > 6000.0 {
                        self.record_told(governor, version, now);
                    }
                }
                let exited = match &mut self.governors[governor].child {
                    Some(child) => child.try_wait().ok().flatten(),
                    None => None,
                };
                if let Some(status) = exited {
                    self.note(&format!("governor n{governor} ended: {status}"));
                    self.governors[governor].child = None;
                    self.governor_ended(governor);
                }
            }
        }
    }

    /// Breaks the news connections of a governor; the governor opens new ones.
    pub fn break_watch(&mut self, governor: usize) {
        self.note(&format!("relay breaks off the news to n{governor}"));
        self.excuse(governor, 4000.0);
        for watcher in std::mem::take(&mut self.governors[governor].watchers) {
            _ = watcher.lines.send(None);
        }
    }

    /// The governor is cut off from everything for `length`: connections stay open and silent, and are reset after it.
    pub fn isolate(&mut self, governor: usize, length: Ms) {
        self.note(&format!("n{governor} is cut off for {length:.0} ms"));
        self.excuse(governor, length + 4000.0);
        let me = &mut self.governors[governor];
        if me.relay_silent {
            return;
        }
        me.relay_silent = true;
        me.list_silent = true;
        me.watchers.iter_mut().for_each(|watcher| watcher.mute = true);
        for proxy in 0..self.proxies.len() {
            let now = self.now();
            self.proxies[proxy].cut_until[governor] = now + length;
            self.part(proxy, governor, 0.0);
        }
        if self.governors.len() > 1 {
            let (low, high) = self.site.takeover;
            let delay = self.rng.range(low, high);
            self.after(delay, move |world| world.take_over(governor));
        }
        self.after(length, move |world| {
            let me = &mut world.governors[governor];
            me.relay_silent = false;
            me.list_silent = false;
            me.open.iter().for_each(|(_, stream)| _ = stream.shutdown(std::net::Shutdown::Both));
            me.open.clear();
            for slice in 0..world.slices.len() {
                if slice % world.governors.len() == governor && world.slices[slice].holder != Some(governor) {
                    let delay = world.rng.range(3000.0, 12_000.0);
                    world.after(delay, move |world| {
                        let me = &world.governors[governor];
                        if me.answered_at.is_some() && !me.relay_silent {
                            world.give(slice, governor);
                        }
                    });
                }
            }
        });
    }

    /// The open news connections of a governor fall silent.
    pub fn mute_watch(&mut self, governor: usize) {
        self.note(&format!("news to n{governor} fall silent"));
        self.excuse(governor, 6500.0);
        for watcher in &mut self.governors[governor].watchers {
            watcher.mute = true;
        }
    }

    pub fn break_list(&mut self, governor: usize) {
        self.note(&format!("list watch of n{governor} breaks"));
        for reader in std::mem::take(&mut self.governors[governor].list_readers) {
            _ = reader.send(None);
        }
    }

    pub fn excuse(&mut self, governor: usize, span: Ms) {
        let until = self.now() + span;
        let me = &mut self.governors[governor];
        me.excused_until = me.excused_until.max(until);
    }
}

fn set_line(table: &mut Table, replica: usize, weight: f64) {
    if weight > 0.0 {
        table.lines.insert(replica, weight);
    } else {
        table.lines.remove(&replica);
    }
}

fn pump(stream: TcpStream, lines: Receiver<Option<String>>, chunked: bool) {
    let mut stream = stream;
    for line in lines {
        let Some(line) = line else { break };
        let text = if chunked { format!("{:x}\r\n{line}\r\n", line.len()) } else { line };
        if stream.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    _ = stream.shutdown(std::net::Shutdown::Both);
}

fn serve_relay(shared: Shared, governor: usize, stream: TcpStream) {
    _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return;
        }
        let text = line.trim_end().to_string();
        let mut world = lock(&shared);
        if world.ended {
            return;
        }
        if world.governors[governor].relay_silent {
            continue;
        }
        if text == "WATCH" {
            let (sender, lines) = channel();
            _ = sender.send(Some(world.snapshot(governor)));
            world.next_id += 1;
            let id = world.next_id;
            world.governors[governor].watchers.push(Watcher { id, lines: sender, mute: false });
            drop(world);
            let copy = writer.try_clone();
            let Ok(copy) = copy else { return };
            thread::spawn(move || pump(copy, lines, false));
            // The governor says nothing more here; the end of the connection ends the watch.
            let mut rest = [0; 64];
            while matches!(reader.get_mut().read(&mut rest), Ok(1..)) {}
            lock(&shared).governors[governor].watchers.retain(|watcher| watcher.id != id);
            return;
        }
        let Some(orders) = text.strip_prefix("APPLY ") else {
            drop(world);
            _ = writer.write_all(b"ERR bad_request\r\n");
            continue;
        };
        world.governors[governor].calls += 1;
        let (fault, share) =
            (world.governors[governor].call_fault, world.governors[governor].call_fault_share);
        let mut fault = if world.rng.draw() < share { fault } else { CallFault::None };
        let resets = world.reset_at_next_set && orders.contains("SET,");
        if resets {
            world.reset_at_next_set = false;
            fault = CallFault::ResetAfter;
        }
        if fault != CallFault::None {
            world.note(&format!("call of n{governor}: {fault:?}"));
            world.excuse(
                governor,
                if matches!(fault, CallFault::Silent | CallFault::Lost | CallFault::Spoilt) {
                    1500.0
                } else {
                    500.0
                },
            );
        }
        let answer = if matches!(fault, CallFault::ResetBefore | CallFault::Lost) {
            String::new()
        } else {
            world.call(governor, orders)
        };
        if resets {
            world.break_watch(governor);
        }
        drop(world);
        match fault {
            CallFault::None => {
                if writer.write_all(format!("{answer}\r\n").as_bytes()).is_err() {
                    return;
                }
            }
            CallFault::ResetAfter | CallFault::ResetBefore => {
                _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            }
            CallFault::Silent | CallFault::Lost => {}
            CallFault::Spoilt => _ = writer.write_all(b"OK x\r\n"),
        }
    }
}

fn serve_discovery(shared: Shared, governor: usize, stream: TcpStream) {
    _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut request = String::new();
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return;
        }
        if line.trim().is_empty() {
            break;
        }
        request += &line;
    }
    let path = request.split_whitespace().nth(1).unwrap_or("").to_string();
    let mut world = lock(&shared);
    if world.governors[governor].list_silent || world.ended {
        drop(world);
        let mut rest = [0; 64];
        while matches!(reader.get_mut().read(&mut rest), Ok(1..)) {}
        return;
    }
    let version = world.list_log.len() + 1;
    let now = world.now();
    if !path.contains("follow=1") {
        let body = world.whole_list();
        world.record_told(governor, version - 1, now);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        _ = writer.write_all((head + &body).as_bytes());
        return;
    }
    let since = path.split("since=").nth(1).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
    let first = if since == 0 || since > version {
        world.whole_list()
    } else {
        let mut newest: BTreeMap<usize, String> = BTreeMap::new();
        for (replica, entry, _) in &world.list_log[since - 1..] {
            newest.insert(*replica, entry.clone());
        }
        let entries: Vec<String> = newest.into_values().collect();
        format!(r#"{{"version":{version},"full":false,"servers":[{}]}}"#, entries.join(","))
    };
    let (sender, lines) = channel();
    world.note(&format!("list watch of n{governor} opened since={since}, answered with version {version}"));
    _ = sender.send(Some(first + "\n"));
    world.record_told(governor, version - 1, now);
    world.governors[governor].list_readers.push(sender);
    drop(world);
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
    if writer.write_all(head.as_bytes()).is_ok() {
        pump(writer, lines, true);
    }
}

/// The collector of a zone: connects, names its zone and passes reports on, late.
fn collect(shared: Shared, governor: usize, zone: usize) {
    let mut connection: Option<TcpStream> = None;
    let mut waiting: VecDeque<(Ms, String)> = VecDeque::new();
    let period = lock(&shared).site.period;
    let mut next = 0.0;
    loop {
        thread::sleep(Duration::from_millis(20));
        let mut world = lock(&shared);
        if world.ended {
            return;
        }
        let now = world.now();
        let listen = world.governors[governor].listen;
        let zone_name = world.site.zones[zone];
        if now >= next {
            next = now + period;
            let mut text = String::new();
            let me = &mut world.governors[governor];
            let load: Vec<_> =
                me.load.iter().filter(|((z, _), _)| *z == zone).map(|(k, c)| (*k, *c)).collect();
            load.iter().for_each(|(key, _)| _ = me.load.remove(key));
            let zones = world.site.zones.len();
            let me = &mut world.governors[governor];
            let demand: Vec<_> =
                me.demand.iter().filter(|((s, _), _)| s % zones == zone).map(|(k, c)| (*k, *c)).collect();
            demand.iter().for_each(|(key, _)| _ = me.demand.remove(key));
            for ((_, replica), counts) in load {
                let good = counts.n - counts.bad;
                let average = if good > 0.0 { counts.time / good } else { 0.0 };
                text += &format!(
                    "{{\"@type\":\"LOAD\",\"az\":\"{zone_name}\",\"host\":\"{}\",\"n\":{},\"bad\":{},\"avg\":{average:.2},\"window\":{period:.1},\"report\":{{\"inflight\":7}}}}\n",
                    world.replicas[replica].id, counts.n, counts.bad
                );
            }
            for ((slice, class), counts) in demand {
                text += &format!(
                    "{{\"@type\":\"SHARD\",\"partition\":{slice},\"kind\":\"{}\",\"n\":{},\"bad\":{},\"window\":{period:.1}}}\n",
                    CLASSES[class], counts.n, counts.bad
                );
            }
            let (low, high) = world.site.report_late;
            let late = world.rng.range(low, high);
            waiting.push_back((now + late, text));
        }
        let is_up = world.governors[governor].answered_at.is_some();
        drop(world);
        if !is_up {
            connection = None;
            waiting.clear();
            continue;
        }
        if connection.is_none() {
            if let Ok(mut stream) = TcpStream::connect(listen) {
                let hello = format!("{{\"@type\":\"SOURCE\",\"az\":\"{zone_name}\"}}\n");
                if stream.write_all(hello.as_bytes()).is_ok() {
                    connection = Some(stream);
                }
            }
        }
        while let Some((_, text)) = waiting.pop_front_if(|(at, _)| *at <= now) {
            if connection.as_mut().is_some_and(|stream| stream.write_all(text.as_bytes()).is_err()) {
                connection = None;
            }
        }
    }
}

/// Asks a governor that was started for its first answer.
fn ping(shared: Shared, governor: usize) {
    loop {
        thread::sleep(Duration::from_millis(20));
        let world = lock(&shared);
        if world.ended {
            return;
        }
        let me = &world.governors[governor];
        let (listen, waits) = (me.listen, me.child.is_some() && me.answered_at.is_none());
        let starts = me.starts;
        drop(world);
        if !waits {
            continue;
        }
        let Ok(mut stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(200)) else {
            continue;
        };
        _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        if stream.write_all(b"{\"@type\":\"PING\"}\n").is_err() {
            continue;
        }
        let mut line = String::new();
        if BufReader::new(stream).read_line(&mut line).is_ok() && line.contains("PONG") {
            let mut world = lock(&shared);
            if world.governors[governor].starts == starts && world.governors[governor].child.is_some() {
                world.governor_answered(governor);
            }
        }
    }
}

fn accept(listener: TcpListener, shared: Shared, governor: usize, serve: fn(Shared, usize, TcpStream)) {
    let generation = lock(&shared).governors[governor].generation;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            let mut world = lock(&shared);
            let me = &mut world.governors[governor];
            if me.generation != generation {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                me.open.push((generation, copy));
            }
            drop(world);
            thread::spawn(move || serve(shared, governor, stream));
        }
    });
}

/// A new configuration with SIGHUP: relay and discovery move; the former addresses accept no new connection and close
/// the open ones after 1.5 s.
pub fn move_platform(shared: &Shared, governor: usize) {
    let (relay, discovery) = (free_listener(), free_listener());
    let mut world = lock(shared);
    let me = &mut world.governors[governor];
    let former = me.generation;
    me.generation += 1;
    (me.relay, me.discovery) =
        (relay.local_addr().expect("address"), discovery.local_addr().expect("address"));
    world.write_config(governor);
    world.excuse(governor, 4000.0);
    world.signal(governor, "HUP");
    world.after(1500.0, move |world| {
        for (generation, stream) in &world.governors[governor].open {
            if *generation <= former {
                _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
        world.governors[governor].open.retain(|(generation, _)| *generation > former);
    });
    drop(world);
    accept(relay, shared.clone(), governor, serve_relay);
    accept(discovery, shared.clone(), governor, serve_discovery);
}

/// Builds the world and starts the servers; the governors are started by the scenario.
pub fn build(site: Site, seed: u64, folder: PathBuf, record: File) -> Shared {
    let mut rng = Rng::new(seed);
    let zones = site.zones.len();
    let replicas: Vec<Replica> = (0..site.replicas)
        .map(|number| Replica {
            arrivals: VecDeque::new(),
            started_at: None,
            id: format!("s-{:04x}{number:02x}", rng.below(65536)),
            zone: number % zones,
            state: State::Active,
            started_ms: 0,
            runs: true,
            hangs: false,
            slow: 1.0,
        })
        .collect();
    let slices: Vec<Slice> = (0..site.slices)
        .map(|number| Slice {
            holder: None,
            table: Table { lines: BTreeMap::from([(number % site.replicas, 1.0)]), levels: [1.0; 2] },
            weight: rng.range(0.5, 1.5),
            owners: vec![number % site.replicas],
            newest_epoch_written: 0,
            in_hand: Vec::new(),
            given_at: 0.0,
            held_since: None,
        })
        .collect();
    let governors = site.governors;
    let proxies = (0..site.proxies)
        .map(|number| Proxy {
            runs: true,
            zone: number % zones,
            joined: vec![None; governors],
            stream: vec![0; governors],
            first: vec![true; governors],
            cut_until: vec![0.0; governors],
            views: slices
                .iter()
                .map(|slice| View {
                    table: slice.table.clone(),
                    stale_since: Some(f64::MIN),
                    empty_since: None,
                })
                .collect(),
            withdrawn: vec![BTreeSet::new(); governors],
            global: vec![[1.0; 2]; governors],
            message_times: vec![VecDeque::new(); governors],
            last_delivery: vec![0.0; governors],
        })
        .collect();
    let mut sockets = Vec::new();
    let governors = (0..governors)
        .map(|number| {
            let (relay, discovery) = (free_listener(), free_listener());
            let listen = free_address(number);
            let governor = Governor {
                child: None,
                starts: 0,
                answered_at: None,
                listen,
                relay: relay.local_addr().expect("address"),
                discovery: discovery.local_addr().expect("address"),
                generation: 0,
                open: Vec::new(),
                watchers: Vec::new(),
                list_readers: Vec::new(),
                list_silent: false,
                relay_silent: false,
                call_fault: CallFault::None,
                call_fault_share: 0.0,
                queue: VecDeque::new(),
                queued_lines: 0.0,
                budget: 0.0,
                told: BTreeMap::new(),
                told_version: 0,
                told_since: BTreeMap::new(),
                load: BTreeMap::new(),
                demand: BTreeMap::new(),
                calls: 0,
                rss: 0,
                excused_until: 0.0,
            };
            sockets.push((relay, discovery));
            governor
        })
        .collect();
    let root = std::env::current_dir().expect("current folder");
    let world = World {
        site,
        rng,
        started: Instant::now(),
        folder,
        root,
        record,
        replicas,
        slices,
        proxies,
        governors,
        list_log: Vec::new(),
        deliveries: Vec::new(),
        ops: Vec::new(),
        events: Vec::new(),
        next_id: 0,
        broken: Vec::new(),
        sent_ops: 0,
        good_ops: 0,
        refused_ops: 0,
        ops_at_gone: 0,
        last_tick: 0.0,
        last_heartbeat: 0.0,
        last_list_heartbeat: 0.0,
        last_check: 0.0,
        ended: false,
        traffic: true,
        log_orders: true,
        reset_at_next_set: false,
        long_writes: 0.0,
        capacity: 0.0,
        known_lag: 0,
    };
    let shared = Arc::new(Mutex::new(world));
    for (governor, (relay, discovery)) in sockets.into_iter().enumerate() {
        accept(relay, shared.clone(), governor, serve_relay);
        accept(discovery, shared.clone(), governor, serve_discovery);
        let zones = lock(&shared).site.zones.len();
        for zone in 0..zones {
            let shared = shared.clone();
            thread::spawn(move || collect(shared, governor, zone));
        }
        let copy = shared.clone();
        thread::spawn(move || ping(copy, governor));
    }
    shared
}

/// Plays the world until `length`, then ends all governors.
pub fn play(shared: &Shared, length: Ms) {
    loop {
        thread::sleep(Duration::from_millis(2));
        let mut world = lock(shared);
        world.tick();
        if world.now() >= length {
            break;
        }
    }
    let mut world = lock(shared);
    world.ended = true;
    for governor in 0..world.governors.len() {
        if let Some(mut child) = world.governors[governor].child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

mod scenarios;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    std::process::exit(scenarios::run(&arguments[1..]));
}
