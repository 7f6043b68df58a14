//! Decoding and the reducer in virtual time, one thread: what it takes, without sockets.

use crate::load::{memory_mb, Figures, Size};
use rustix::time::{clock_gettime, ClockId};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use whinwall_aggregation::aggregator::Aggregator;
use whinwall_aggregation::configuration::{Configuration, ControllerMember};
use whinwall_aggregation::coverage::ConnectionId;
use whinwall_aggregation::limits::{HEARTBEAT, TICK};
use whinwall_aggregation::messages::{Effect, Event};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::{collector, discovery};
use whinwall_subsetting::Parameters;

/// Until it is ready and has what it serves.
const WARM_UP_S: u64 = 8;

/// Processor time of this thread: others on the machine do not count.
fn processor() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

struct Bench {
    aggregator: Aggregator,
    now: Moment,
    /// Time that the aggregator took.
    busy: Duration,
    longest_tick: Duration,
    bytes_in: u64,
}

impl Bench {
    fn apply(&mut self, event: Event) {
        let began = processor();
        let is_tick = matches!(event, Event::Tick);
        let effects = self.aggregator.apply(self.now, event);
        let took = processor() - began;
        self.busy += took;
        if is_tick {
            self.longest_tick = self.longest_tick.max(took);
        }
        self.answer(effects);
    }

    /// Controllers take a connection at once, and answer each heartbeat.
    fn answer(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Connect { controller, .. } => self.apply(Event::ControllerConnected(&controller)),
                Effect::Send { controller, .. } => self.apply(Event::ControllerAnswered(&controller)),
                _ => {}
            }
        }
    }

    fn lines(&mut self, connection: ConnectionId, text: &str) {
        let began = processor();
        for line in text.lines() {
            if let Some(report) = collector::decode_report(line) {
                _ = self.aggregator.apply(self.now, Event::ReportReceived { connection, report });
            }
        }
        self.busy += processor() - began;
        self.bytes_in += text.len() as u64;
    }
}

fn members(size: &Size) -> Vec<ControllerMember> {
    let address = |n: usize| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1 + n as u16);
    let member = |n: usize| ControllerMember {
        name: size.controller(n),
        address: Some(address(n)),
        slices: vec![size.slices_of(n)],
    };
    (0..size.controllers).map(member).collect()
}

/// Measures it.
pub fn measure(size: &Size, seconds: u64) -> Result<Figures, String> {
    let parameters = Parameters::new(size.subset).map_err(|why| why.to_string())?;
    let names = size.aggregators();
    let configuration = Configuration::new(&names[0], parameters, size.budget, members(size), &names);
    let configuration = configuration.map_err(|why| why.to_string())?;
    let now = Moment::default() + Span::ms(1_000_000);
    let aggregator = Aggregator::new(now, configuration, None);
    let (busy, longest_tick) = Default::default();
    let mut bench = Bench { aggregator, now, busy, longest_tick, bytes_in: 0 };
    let list = discovery::decode(&size.list()).map_err(|why| why.to_string())?.ok_or("no list")?;
    bench.apply(Event::RegistryListed(list));
    for zone in 0..size.zones {
        let name = size.zone(zone);
        bench.apply(Event::CollectorJoined { connection: zone as u64, zone: &name });
    }
    run(&mut bench, size, WARM_UP_S);
    let start_tick = bench.longest_tick;
    let before = (bench.busy, bench.bytes_in, bench.aggregator.counters());
    bench.longest_tick = Duration::ZERO;
    run(&mut bench, size, seconds);
    let (counters, status) = (bench.aggregator.counters(), bench.aggregator.status());
    let each = seconds as f64;
    let bytes_out = (counters.bytes_sent - before.2.bytes_sent) as f64 / each / 1000.0;
    Ok(Figures {
        size: *size,
        way: "in process, virtual time: decoding and the reducer, no sockets",
        seconds: each,
        cores: (bench.busy - before.0).as_secs_f64() / each,
        memory_mb: memory_mb("self", "VmRSS")?,
        memory_peak_mb: memory_mb("self", "VmHWM")?,
        lines_in_per_second: (counters.reports - before.2.reports) as f64 / each,
        kb_in_per_second: (bench.bytes_in - before.1) as f64 / each / 1000.0,
        controllers_served: status.controllers_connected,
        lines_out_per_second: (counters.lines_sent - before.2.lines_sent) as f64 / each,
        kb_out_per_second: bytes_out,
        kb_out_per_second_each: bytes_out / status.controllers_connected.max(1) as f64,
        budget_stretches: counters.budget_stretches - before.2.budget_stretches,
        longest_tick_ms: Some(bench.longest_tick.as_secs_f64() * 1000.0),
        longest_start_tick_ms: Some(start_tick.as_secs_f64() * 1000.0),
    })
}

fn run(bench: &mut Bench, size: &Size, seconds: u64) {
    let ticks = 1_000_000_000 / TICK.as_ns();
    let heartbeats_each = HEARTBEAT.as_ns() / TICK.as_ns();
    for second in 0..seconds {
        // Each zone at its own tick of the second.
        let zones: BTreeMap<u64, usize> =
            (0..size.zones).map(|zone| (zone as u64 * ticks / size.zones as u64, zone)).collect();
        for tick in 0..ticks {
            bench.now = bench.now + TICK;
            if let Some(zone) = zones.get(&tick) {
                bench.lines(*zone as u64, &size.second(*zone, second));
            }
            if tick % heartbeats_each == 0 {
                size.heartbeats().into_iter().for_each(|one| bench.apply(Event::HeartbeatReceived(one)));
                bench.apply(Event::RegistryAlive);
            }
            bench.apply(Event::Tick);
        }
    }
}
