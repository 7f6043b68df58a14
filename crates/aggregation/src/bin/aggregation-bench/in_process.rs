//! Measures decoding and the reducer in virtual time on one thread, without sockets.

use crate::error::BenchError;
use crate::load::{memory_mb, Figures, Size};
use rustix::time::{clock_gettime, ClockId};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use whinwall_aggregation::aggregator::Aggregator;
use whinwall_aggregation::configuration::{Configuration, ControllerMember};
use whinwall_aggregation::coverage::ConnectionId;
use whinwall_aggregation::limits::{HEARTBEAT_PERIOD, TICK_PERIOD};
use whinwall_aggregation::messages::{Effect, Event};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::{collector, discovery};
use whinwall_subsetting::Parameters;

/// Time until the aggregator is ready and serves its controllers.
const WARM_UP_S: u64 = 8;

/// Returns the CPU time of this thread, which excludes other processes on the machine.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

struct Bench {
    aggregator: Aggregator,
    now: Moment,
    /// CPU time used by the aggregator.
    busy: Duration,
    longest_tick: Duration,
    bytes_in: u64,
}

impl Bench {
    fn apply(&mut self, event: Event) {
        let began = thread_cpu_time();
        let is_tick = matches!(event, Event::Tick);
        let effects = self.aggregator.apply(self.now, event);
        let took = thread_cpu_time() - began;
        self.busy += took;
        if is_tick {
            self.longest_tick = self.longest_tick.max(took);
        }
        self.simulate_controllers(effects);
    }

    /// Simulates controllers that accept connections at once and answer each ping.
    fn simulate_controllers(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Connect { controller, .. } => self.apply(Event::ControllerConnected(&controller)),
                Effect::Send { controller, .. } => self.apply(Event::ControllerAnswered(&controller)),
                _ => {}
            }
        }
    }

    fn apply_lines(&mut self, connection: ConnectionId, text: &str) {
        let began = thread_cpu_time();
        for line in text.lines() {
            if let Some(report) = collector::decode_report(line) {
                _ = self.aggregator.apply(self.now, Event::ReportReceived { connection, report });
            }
        }
        self.busy += thread_cpu_time() - began;
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

/// Measures a fleet of this size for `seconds` of virtual time.
pub fn measure(size: &Size, seconds: u64) -> Result<Figures, BenchError> {
    let parameters = Parameters::new(size.subset)?;
    let names = size.aggregators();
    let configuration = Configuration::new(&names[0], parameters, size.budget, members(size), &names)?;
    let now = Moment::default() + Span::ms(1_000_000);
    let aggregator = Aggregator::new(now, configuration, None);
    let (busy, longest_tick) = Default::default();
    let mut bench = Bench { aggregator, now, busy, longest_tick, bytes_in: 0 };
    let list = discovery::decode(&size.list())?.ok_or(BenchError::ListIsHeartbeat)?;
    bench.apply(Event::RegistryListed(list));
    for zone in 0..size.zones {
        let name = size.zone(zone);
        bench.apply(Event::CollectorJoined { connection: zone as u64, zone: &name });
    }
    simulate(&mut bench, size, WARM_UP_S);
    let start_tick = bench.longest_tick;
    let (busy_before, bytes_in_before) = (bench.busy, bench.bytes_in);
    let counters_before = bench.aggregator.counters();
    bench.longest_tick = Duration::ZERO;
    simulate(&mut bench, size, seconds);
    let (counters, status) = (bench.aggregator.counters(), bench.aggregator.status());
    let seconds_measured = seconds as f64;
    let kb_out = (counters.bytes_sent - counters_before.bytes_sent) as f64 / seconds_measured / 1000.0;
    Ok(Figures {
        size: *size,
        way: "in process, virtual time: decoding and the reducer, no sockets",
        seconds: seconds_measured,
        cores: (bench.busy - busy_before).as_secs_f64() / seconds_measured,
        memory_mb: memory_mb("self", "VmRSS")?,
        memory_peak_mb: memory_mb("self", "VmHWM")?,
        lines_in_per_second: (counters.reports - counters_before.reports) as f64 / seconds_measured,
        kb_in_per_second: (bench.bytes_in - bytes_in_before) as f64 / seconds_measured / 1000.0,
        controllers_served: status.controllers_connected,
        lines_out_per_second: (counters.lines_sent - counters_before.lines_sent) as f64 / seconds_measured,
        kb_out_per_second: kb_out,
        kb_out_per_second_each: kb_out / status.controllers_connected.max(1) as f64,
        budget_stretches: counters.over_budget_batches - counters_before.over_budget_batches,
        longest_tick_ms: Some(bench.longest_tick.as_secs_f64() * 1000.0),
        longest_start_tick_ms: Some(start_tick.as_secs_f64() * 1000.0),
    })
}

fn simulate(bench: &mut Bench, size: &Size, seconds: u64) {
    let ticks_per_second = 1_000_000_000 / TICK_PERIOD.as_ns();
    let ticks_per_heartbeat = HEARTBEAT_PERIOD.as_ns() / TICK_PERIOD.as_ns();
    for second in 0..seconds {
        // Each zone reports at a different tick of the second.
        let zones: BTreeMap<u64, usize> =
            (0..size.zones).map(|zone| (zone as u64 * ticks_per_second / size.zones as u64, zone)).collect();
        for tick in 0..ticks_per_second {
            bench.now = bench.now + TICK_PERIOD;
            if let Some(zone) = zones.get(&tick) {
                bench.apply_lines(*zone as u64, &size.collector_lines(*zone, second));
            }
            if tick % ticks_per_heartbeat == 0 {
                size.heartbeats()
                    .into_iter()
                    .for_each(|heartbeat| bench.apply(Event::HeartbeatReceived(heartbeat)));
                bench.apply(Event::RegistryAlive);
            }
            bench.apply(Event::Tick);
        }
    }
}
