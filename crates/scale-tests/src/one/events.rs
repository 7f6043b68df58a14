//! One controller in events: what it uses, how much is told, and how soon it acts, when some entries of the list change
//! at once, when the whole list is told again, and when it starts.

use super::rig::{Rig, Setup};
use super::steady::{machine_load, Times};
use super::MeasureError;
use crate::process::Usage;
use crate::stand_ins::discovery::Listed;
use crate::stand_ins::relay::Call;
use crate::stand_ins::TrafficCount;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A controller that has not acted by then is not going to.
const LONGEST: Duration = Duration::from_secs(20);

/// What the controller logs when it has read its files anew.
const RELOADED: &str = "configuration reloaded";

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Nothing: what the same time costs at rest.
    Nothing,
    /// The configuration file is read anew, on SIGHUP.
    Configured,
    /// So many replicas begin to drain at once, the first owners of slices among them.
    Drain(usize),
    /// So many replicas are back at once, cold.
    Back(usize),
    /// The whole list is told again, with one owner of a slice that drains.
    WholeList,
}

impl Event {
    /// A name for tables.
    pub fn name(&self) -> String {
        match self {
            Event::Nothing => "nothing".into(),
            Event::Configured => "SIGHUP, until it is logged as read".into(),
            Event::Drain(many) => format!("{many} replicas drain"),
            Event::Back(many) => format!("{many} replicas are back, cold"),
            Event::WholeList => "the whole list again, one owner drains".into(),
        }
    }
}

/// What an event came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What happened.
    pub name: String,
    /// Until the first call that withdraws a replica, where one must come, or until files were read anew.
    pub first_order: Option<Duration>,
    /// Until no slice is owned by a replica that drains, where one was.
    pub last_order: Option<Duration>,
    /// What went over its connections until it had settled.
    pub traffic: TrafficCount,
    /// Processor time until it had settled.
    pub processor: Duration,
    /// For how long that was taken.
    pub lasted: Duration,
    /// The most memory resident so far.
    pub resident_peak: u64,
    /// Orders made meanwhile.
    pub orders: usize,
    /// Average number of runnable processes on the machine in the last minute.
    pub machine_load: f64,
}

/// A start: from the process's creation until the first order that sets a line, which needs list and news.
pub fn start(program: &Path, setup: &Setup) -> Result<Outcome, MeasureError> {
    let rig = Rig::start(program, setup)?;
    let (first_order, orders) = rig.wait_for_first_order(LONGEST);
    let usage = rig.controller.usage()?;
    Ok(Outcome {
        name: format!("a start, ready after {:.1} ms", rig.time_to_ready.as_secs_f64() * 1e3),
        first_order,
        last_order: None,
        traffic: rig.traffic.read(),
        processor: usage.processor,
        lasted: rig.controller.started().elapsed(),
        resident_peak: usage.resident_peak,
        orders,
        machine_load: machine_load(),
    })
}

/// Plays the events in turn at one controller that is told reports all along.
pub fn play(
    program: &Path,
    setup: &Setup,
    events: &[Event],
    times: Times,
) -> Result<Vec<Outcome>, MeasureError> {
    let mut rig = Rig::start(program, setup)?;
    rig.report(setup)?;
    thread::sleep(times.warm_up);
    events.iter().map(|event| play_one(&rig, setup, *event, times.measured)).collect()
}

fn play_one(rig: &Rig, setup: &Setup, event: Event, settling: Duration) -> Result<Outcome, MeasureError> {
    rig.relay.calls();
    rig.controller.logged();
    let change = concerned(rig, setup, event);
    let (usage, traffic, began) = (rig.controller.usage()?, rig.traffic.read(), Instant::now());
    let mut first_order = None;
    match event {
        Event::Nothing => {}
        Event::Configured => {
            rig.controller.process.reload()?;
            first_order = rig.controller.process.logs(RELOADED, LONGEST).then(|| began.elapsed());
        }
        Event::WholeList => rig.discovery.change_and_tell_all(change.entries()),
        Event::Drain(_) | Event::Back(_) => rig.discovery.change(change.entries()),
    }
    let names: Vec<String> = change.replicas.iter().map(|replica| setup.size.replica(*replica)).collect();
    let drains = !names.is_empty() && change.listed.state == "leaving";
    let (mut calls, mut last_order) = (Vec::new(), None);
    while began.elapsed() < settling || (drains && last_order.is_none() && began.elapsed() < LONGEST) {
        calls.extend(rig.relay.next_call(Duration::from_millis(20)));
        let is_left = drains && !rig.relay.owners().values().any(|owner| names.contains(owner));
        last_order = last_order.or(is_left.then(|| began.elapsed()));
    }
    if drains {
        first_order = first_withdrawal(&calls, &names).map(|call| call.at - began);
    }
    let after = rig.controller.usage()?;
    Ok(Outcome {
        name: event.name(),
        first_order,
        last_order,
        traffic: rig.traffic.read().since(traffic),
        processor: after.processor - usage.processor,
        lasted: began.elapsed(),
        resident_peak: after.resident_peak,
        orders: calls.iter().map(|call| call.orders.len()).sum(),
        machine_load: machine_load(),
    })
}

/// Replicas that change, and to what.
struct Change {
    replicas: Vec<usize>,
    listed: Listed,
}

impl Change {
    fn entries(&self) -> impl Iterator<Item = (usize, Listed)> + '_ {
        self.replicas.iter().map(|replica| (*replica, self.listed))
    }
}

/// Which replicas change, and to what.
fn concerned(rig: &Rig, setup: &Setup, event: Event) -> Change {
    let cold = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let leaving = Listed { state: "leaving", started_ms: 0 };
    let (many, listed) = match event {
        Event::Nothing | Event::Configured => (0, leaving),
        Event::Drain(many) => (many, leaving),
        Event::WholeList => (1, leaving),
        Event::Back(many) => (many, Listed { state: "active", started_ms: cold() }),
    };
    Change { replicas: owners_first(rig, setup, many, listed.state == "leaving"), listed }
}

/// Replicas that own slices now come first, so that a drain asks for action; those that are back are the same
/// positions of the list whoever owns what.
fn owners_first(rig: &Rig, setup: &Setup, many: usize, owners: bool) -> Vec<usize> {
    let owned = rig.relay.owners();
    let owned = |at: &usize| owned.values().any(|owner| *owner == setup.size.replica(*at));
    let first = (0..setup.size.replicas).find(|at| owners && owned(at));
    let rest = (0..setup.size.replicas).filter(|at| Some(*at) != first);
    first.into_iter().chain(rest).take(many).collect()
}

fn first_withdrawal<'a>(calls: &'a [Call], names: &[String]) -> Option<&'a Call> {
    let withdraws =
        |order: &String| order.strip_prefix("OUT,").is_some_and(|name| names.iter().any(|n| n == name));
    calls.iter().find(|call| call.orders.iter().any(withdraws))
}

/// Floods the controller with lines and returns lines a second and processor time a line in seconds.
pub fn flood(program: &Path, setup: &Setup, times: usize) -> Result<(f64, f64, Usage), MeasureError> {
    let rig = Rig::start(program, setup)?;
    // Reports on what is not listed yet would be passed over.
    rig.wait_for_first_order(LONGEST);
    let schedules = setup.schedules();
    // Once without being measured: names, windows and buffers are there then.
    crate::stand_ins::collectors::flood(rig.controller.address(), &schedules, 1, &rig.traffic)?;
    let before = rig.controller.usage()?;
    let (lines, took) =
        crate::stand_ins::collectors::flood(rig.controller.address(), &schedules, times, &rig.traffic)?;
    let after = rig.controller.usage()?;
    let processor = (after.processor - before.processor).as_secs_f64();
    Ok((lines as f64 / took.as_secs_f64(), processor / lines as f64, after))
}
