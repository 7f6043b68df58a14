//! The events of a run, one after another, and what each has cost.

use super::catalog::Catalog;
use super::cost::{self, Cost};
use super::error::ManyError;
use super::plan::{ControllerId, Plan, DRAINED_DURING_PARTITION, DRAINED_WHILE_IDLE, PARTITIONED_REGION};
use super::process::Process;
use super::simulated::Environment;
use super::stand_ins::{self, Addresses, Link, StandInState};
use super::tracker::{Condition, EventProgress, Site, Tracker};
use super::workers::Workers;
use crate::process::machine_load;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Threads for the stand-ins' sockets.
const SOCKET_THREADS: usize = 2;
/// Time between two checks of the memory of this process.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// One replica in this many starts again while a region is partitioned from the network.
const RESTARTED_REPLICA_INTERVAL: usize = 100;

/// What controllers and harness have cost in a period.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// How long the period was.
    pub elapsed: Duration,
    /// All real controllers together.
    pub real: Cost,
    /// This process: stand-ins, and the reducers of the simulated controllers.
    pub harness: Cost,
    /// CPU time of these reducers.
    pub simulated: Duration,
}

/// One event.
#[derive(Debug)]
pub struct Outcome {
    /// Its name.
    pub event: &'static str,
    /// How long it took to trigger: to write files and signal, or to end processes.
    pub trigger_time: Duration,
    /// When controllers had completed it, and what was sent.
    pub progress: EventProgress,
    /// What it has cost.
    pub costs: Costs,
}

/// All events of a run.
#[derive(Debug)]
pub struct Results {
    /// In the order in which they were played.
    pub outcomes: Vec<Outcome>,
    /// What the controllers cost while nothing happened.
    pub idle: Costs,
    /// Memory of this process before the simulated controllers were started.
    pub bare_harness: Cost,
    /// Bytes of the complete list.
    pub list_bytes: usize,
    /// Real controllers that had a slice on the replica that was drained while idle, just before that.
    pub holders: usize,
    /// The machine's load over a minute, before the run and after it.
    pub machine_load: [f64; 2],
}

/// Plays all events. When it returns, every process that it started has ended.
///
/// # Errors
///
/// When a process or stand-in cannot be started, a process ends unasked, memory exceeds its limit, or a signal comes.
pub fn play(plan: &Plan) -> Result<Results, ManyError> {
    let runtime = Builder::new_multi_thread().worker_threads(SOCKET_THREADS).enable_all().build();
    let runtime = runtime.map_err(ManyError::io("runtime"))?;
    let limit_kb = plan.memory_limit_kb;
    let result = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(ManyError::io("signals"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(ManyError::io("signals"))?;
        tokio::select! {
            result = run(plan) => result,
            taken_kb = wait_for_memory_excess(limit_kb) => Err(ManyError::Memory { taken_kb, limit_kb }),
            _ = terminate.recv() => Err(ManyError::Signal),
            _ = interrupt.recv() => Err(ManyError::Signal),
        }
    });
    // Ends the tasks that still serve sockets.
    runtime.shutdown_background();
    result
}

/// Returns once this process holds more than it may.
async fn wait_for_memory_excess(limit_kb: u64) -> u64 {
    loop {
        let taken = cost::of_self().memory_kb;
        if taken > limit_kb {
            return taken;
        }
        sleep(MEMORY_POLL_INTERVAL).await;
    }
}

async fn run(plan: &Plan) -> Result<Results, ManyError> {
    let mut fleet = Fleet::open(plan).await?;
    let results = fleet.play().await;
    fleet.end().await;
    results
}

/// All controllers of a run with their stand-ins.
struct Fleet {
    plan: Arc<Plan>,
    catalog: Arc<Catalog>,
    tracker: Arc<Tracker>,
    /// The link to the region that is partitioned from the network.
    region: watch::Sender<Link>,
    /// The link to all others.
    elsewhere: watch::Sender<Link>,
    stand_in_states: Vec<Arc<StandInState>>,
    sites: Vec<BTreeMap<Site, Addresses>>,
    processes: Vec<Process>,
    workers: Workers,
    /// Holds the configuration files.
    folder: tempfile::TempDir,
}

impl Fleet {
    /// Opens all stand-ins; no controller runs yet.
    async fn open(plan: &Plan) -> Result<Self, ManyError> {
        let (catalog, tracker) = (Arc::new(Catalog::new(plan)), Arc::new(Tracker::new(plan.real)));
        let mut fleet = Fleet {
            plan: Arc::new(plan.clone()),
            catalog,
            tracker,
            region: watch::Sender::new(Link::Up),
            elsewhere: watch::Sender::new(Link::Up),
            stand_in_states: Vec::new(),
            sites: Vec::new(),
            processes: Vec::new(),
            workers: Workers::default(),
            folder: tempfile::tempdir().map_err(ManyError::io("temporary folder"))?,
        };
        let load = stand_ins::load_reports(plan);
        for controller in 0..plan.real {
            let partition = plan.region(controller) == PARTITIONED_REGION;
            let link = if partition { &fleet.region } else { &fleet.elsewhere };
            let state = StandInState::new(
                plan,
                controller,
                link.subscribe(),
                fleet.catalog.clone(),
                fleet.tracker.clone(),
            );
            let state = Arc::new(state);
            let mut sites = BTreeMap::new();
            for site in [Site::First, Site::Second] {
                sites
                    .insert(site, stand_ins::open_site(&state, site).await.map_err(ManyError::io("listen"))?);
            }
            let process = Process::new(controller, fleet.folder.path());
            for (zone, load) in load.iter().enumerate() {
                let (plan, state) = (fleet.plan.clone(), state.clone());
                tokio::spawn(stand_ins::run_collector(plan, state, zone, load.clone(), process.address()));
            }
            fleet.stand_in_states.push(state);
            fleet.sites.push(sites);
            fleet.processes.push(process);
        }
        Ok(fleet)
    }

    async fn play(&mut self) -> Result<Results, ManyError> {
        let list_bytes = self.catalog.since(0).line.len();
        let (bare_harness, load_before) = (cost::of_self(), machine_load());
        let mut outcomes = vec![self.start().await?];
        let before = self.costs();
        sleep(self.plan.idle).await;
        let idle = self.costs_since(&before);
        outcomes.push(self.configure().await?);
        let holders = self.holders();
        outcomes.push(self.drain().await?);
        outcomes.push(self.restart().await?);
        outcomes.extend(self.play_partition_events().await?);
        self.check_all_running()?;
        let machine_load = [load_before, machine_load()];
        Ok(Results { outcomes, idle, bare_harness, list_bytes, holders, machine_load })
    }

    /// All controllers start together, without any state.
    async fn start(&mut self) -> Result<Outcome, ManyError> {
        let before = self.costs();
        for (process, sites) in self.processes.iter().zip(&self.sites) {
            write_configuration(process, &self.plan, sites, Site::First)?;
        }
        let ready =
            [Condition::PingAnswered, Condition::RelaySnapshotFrom(Site::First), Condition::ListVersion(1)];
        self.tracker.begin_event(0..self.plan.controllers(), &ready);
        let began = Instant::now();
        let environment = Environment::new(self.plan.clone(), self.catalog.clone(), self.tracker.clone());
        self.workers = Workers::start(&Arc::new(environment))?;
        self.start_processes(|_| true).await?;
        let trigger_time = began.elapsed();
        self.outcome("all start together", trigger_time, &before).await
    }

    /// Starts these processes at once and waits until they serve.
    async fn start_processes(&mut self, which: impl Fn(ControllerId) -> bool) -> Result<(), ManyError> {
        for (controller, process) in self.processes.iter_mut().enumerate() {
            if which(controller) {
                process.start(&self.plan)?;
            }
        }
        let mut serving = JoinSet::new();
        for (controller, mut process) in std::mem::take(&mut self.processes).into_iter().enumerate() {
            let (tracker, is_started, event_timeout) =
                (self.tracker.clone(), which(controller), self.plan.event_timeout);
            serving.spawn(async move {
                let served = match is_started {
                    true => timeout(event_timeout, process.wait_until_ready(&tracker)).await,
                    false => Ok(Ok(())),
                };
                let served = served.unwrap_or(Err(ManyError::NotServing { controller }));
                (controller, process, served)
            });
        }
        let mut processes = BTreeMap::new();
        let mut failed = None;
        while let Some(Ok((controller, process, served))) = serving.join_next().await {
            failed = failed.or(served.err());
            processes.insert(controller, process);
        }
        self.processes = processes.into_values().collect();
        failed.map_or(Ok(()), Err)
    }

    /// A change of the configuration that reaches all: relay and discovery have other addresses from now on.
    async fn configure(&mut self) -> Result<Outcome, ManyError> {
        let before = self.costs();
        let at_second_site = [Condition::RelaySnapshotFrom(Site::Second), Condition::ListFrom(Site::Second)];
        self.tracker.begin_event(0..self.plan.controllers(), &at_second_site);
        let began = Instant::now();
        self.workers.configure(Site::Second);
        for (process, sites) in self.processes.iter().zip(&self.sites) {
            write_configuration(process, &self.plan, sites, Site::Second)?;
            process.signal(Signal::HUP);
        }
        let trigger_time = began.elapsed();
        self.outcome("configuration change", trigger_time, &before).await
    }

    /// Real controllers with a slice on the replica that is drained while idle.
    fn holders(&self) -> usize {
        let replica = self.plan.replica(DRAINED_WHILE_IDLE);
        self.stand_in_states.iter().filter(|state| state.store().has_replica(&replica)).count()
    }

    /// A replica is drained, and the list sent to all.
    async fn drain(&mut self) -> Result<Outcome, ManyError> {
        let before = self.costs();
        self.tracker.set_drained_replica(self.plan.replica(DRAINED_WHILE_IDLE));
        self.tracker.begin_event(0..self.plan.controllers(), &[Condition::Withdrawn]);
        self.catalog.change(DRAINED_WHILE_IDLE, 0..0, 0);
        self.outcome("replica drained", Duration::ZERO, &before).await
    }

    /// Nine in ten controllers end and start again at once.
    async fn restart(&mut self) -> Result<Outcome, ManyError> {
        let before = self.costs();
        let (began, plan) = (Instant::now(), self.plan.clone());
        let restarted = |controller| plan.is_restarted(controller);
        let ending = || self.processes.iter().enumerate().filter(|(controller, _)| restarted(*controller));
        ending().for_each(|(_, process)| process.signal(Signal::TERM));
        for (controller, process) in self.processes.iter_mut().enumerate() {
            if restarted(controller) {
                process.wait_for_exit().await;
            }
        }
        let trigger_time = began.elapsed();
        let version = self.catalog.version();
        let ready = [
            Condition::PingAnswered,
            Condition::RelaySnapshotFrom(Site::Second),
            Condition::ListVersion(version),
        ];
        self.tracker.begin_event((0..plan.controllers()).filter(|controller| restarted(*controller)), &ready);
        self.workers.restart();
        self.start_processes(restarted).await?;
        self.outcome("nine in ten restarted", trigger_time, &before).await
    }

    /// A region is partitioned from the network; meanwhile a replica is drained and others restart; then the region is
    /// connected again.
    async fn play_partition_events(&mut self) -> Result<Vec<Outcome>, ManyError> {
        let plan = self.plan.clone();
        let is_partitioned = |controller: &ControllerId| plan.region(*controller) == PARTITIONED_REGION;
        let partitioned = || (0..plan.controllers()).filter(is_partitioned);
        let connected = || (0..plan.controllers()).filter(|controller| !is_partitioned(controller));
        let before = self.costs();
        let began = Instant::now();
        self.tracker.begin_event(partitioned(), &[Condition::PartitionDetected]);
        self.region.send_replace(Link::Partitioned);
        self.workers.partition();
        let partition = self.outcome("region cut off: noticed", Duration::ZERO, &before).await?;

        let before = self.costs();
        let version = self.catalog.version() + 1;
        let agreed = [Condition::ListVersion(version), Condition::Withdrawn];
        self.tracker.set_drained_replica(plan.replica(DRAINED_DURING_PARTITION));
        self.tracker.begin_event(connected(), &agreed);
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let restarted = 2..2 + plan.replicas / RESTARTED_REPLICA_INTERVAL;
        self.catalog.change(DRAINED_DURING_PARTITION, restarted, now_ms);
        let drained_meanwhile =
            self.outcome("replica drained meanwhile: other regions", Duration::ZERO, &before).await?;

        sleep(plan.partition_duration.saturating_sub(began.elapsed())).await;
        let before = self.costs();
        let snapshot = Condition::RelaySnapshotFrom(Site::Second);
        self.tracker.begin_event(partitioned(), &[snapshot, agreed[0], agreed[1]]);
        self.region.send_replace(Link::Up);
        self.workers.reconnect();
        let reconnected = self.outcome("region back: all agree", Duration::ZERO, &before).await?;
        Ok(vec![partition, drained_meanwhile, reconnected])
    }

    async fn outcome(
        &mut self,
        event: &'static str,
        trigger_time: Duration,
        before: &Costs,
    ) -> Result<Outcome, ManyError> {
        let progress = self.tracker.wait_for_completion(self.plan.event_timeout).await;
        let costs = self.costs_since(before);
        let (taken_kb, limit_kb) =
            (costs.real.memory_kb + costs.harness.memory_kb, self.plan.memory_limit_kb);
        if taken_kb > limit_kb {
            return Err(ManyError::Memory { taken_kb, limit_kb });
        }
        let (completed, missing) = (progress.times.len(), progress.missing.len());
        eprintln!(
            "{event}: {completed} governors, {missing} missing, after {:.1} s",
            self.tracker.age().as_secs_f64()
        );
        Ok(Outcome { event, trigger_time, progress, costs })
    }

    /// All that was spent so far.
    fn costs(&self) -> Costs {
        let mut real = Cost::default();
        self.processes.iter().for_each(|process| real += process.cost());
        Costs { elapsed: self.tracker.age(), real, harness: cost::of_self(), simulated: self.workers.cost() }
    }

    fn costs_since(&self, before: &Costs) -> Costs {
        let now = self.costs();
        Costs {
            elapsed: now.elapsed.saturating_sub(before.elapsed),
            real: now.real - before.real,
            harness: now.harness - before.harness,
            simulated: now.simulated.saturating_sub(before.simulated),
        }
    }

    fn check_all_running(&mut self) -> Result<(), ManyError> {
        match self.processes.iter_mut().position(|process| !process.is_running()) {
            Some(controller) => Err(ManyError::Ended { controller }),
            None => Ok(()),
        }
    }

    /// Ends all controllers.
    async fn end(mut self) {
        self.processes.iter().for_each(|process| process.signal(Signal::TERM));
        for process in &mut self.processes {
            process.wait_for_exit().await;
        }
        self.workers.end();
    }
}

fn write_configuration(
    process: &Process,
    plan: &Plan,
    sites: &BTreeMap<Site, Addresses>,
    site: Site,
) -> Result<(), ManyError> {
    process.configure(plan, sites[&site]).map_err(ManyError::io("configuration"))
}
