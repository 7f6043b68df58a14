//! Runs the events of a run in sequence and measures the cost of each.

use super::catalog::Catalog;
use super::cost::{self, Cost};
use super::error::ManyError;
use super::fakes::{self, Addresses, FakePeersState, Link};
use super::plan::{ControllerId, Plan, DRAINED_DURING_PARTITION, DRAINED_WHILE_IDLE, PARTITIONED_REGION};
use super::process::Process;
use super::simulated::Environment;
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

/// Number of threads for the sockets of the fakes.
const SOCKET_THREADS: usize = 2;
/// Time between two checks of the memory of this process.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// One replica in 100 restarts while a region is partitioned from the network.
const RESTARTED_REPLICA_INTERVAL: usize = 100;

/// Resources used by controllers and harness in a period.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// The duration of the period.
    pub elapsed: Duration,
    /// The sum over all real controllers.
    pub real: Cost,
    /// This process: the fakes and the reducers of the simulated controllers.
    pub harness: Cost,
    /// CPU time of the reducers of the simulated controllers.
    pub simulated: Duration,
}

/// The result of one event.
#[derive(Debug)]
pub struct Outcome {
    /// The name of the event.
    pub event: &'static str,
    /// The time taken to trigger the event, by writing files and sending signals, or by ending processes.
    pub trigger_time: Duration,
    /// The times at which controllers completed the event, and the bytes sent meanwhile.
    pub progress: EventProgress,
    /// The cost of the event.
    pub costs: Costs,
}

/// The results of a run.
#[derive(Debug)]
pub struct Results {
    /// The results of the events, in the order in which they were run.
    pub outcomes: Vec<Outcome>,
    /// The cost of the controllers while no event took place.
    pub idle: Costs,
    /// Memory of this process before the simulated controllers were started.
    pub bare_harness: Cost,
    /// Size of the complete endpoint list, in bytes.
    pub list_bytes: usize,
    /// Number of real controllers that had a slice on the replica of the event "replica drained" just before the event.
    pub controllers_on_drained_replica: usize,
    /// The machine's load average over one minute, before and after the run.
    pub machine_load: [f64; 2],
}

/// Runs all events. All processes that it started have ended when it returns.
///
/// # Errors
///
/// When a process or fake cannot be started, a process exits unexpectedly, memory use exceeds its limit, or SIGTERM or
/// SIGINT arrives.
pub fn run_events(plan: &Plan) -> Result<Results, ManyError> {
    let runtime = Builder::new_multi_thread().worker_threads(SOCKET_THREADS).enable_all().build();
    let runtime = runtime.map_err(ManyError::io("runtime"))?;
    let limit_kb = plan.memory_limit_kb;
    let result = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(ManyError::io("signals"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(ManyError::io("signals"))?;
        tokio::select! {
            result = run(plan) => result,
            used_kb = wait_for_memory_excess(limit_kb) => Err(ManyError::Memory { used_kb, limit_kb }),
            _ = terminate.recv() => Err(ManyError::Signal),
            _ = interrupt.recv() => Err(ManyError::Signal),
        }
    });
    // Ends the tasks that still serve sockets.
    runtime.shutdown_background();
    result
}

/// Waits until the resident memory of this process exceeds the limit, and returns it in kB.
async fn wait_for_memory_excess(limit_kb: u64) -> u64 {
    loop {
        let used_kb = cost::of_self().memory_kb;
        if used_kb > limit_kb {
            return used_kb;
        }
        sleep(MEMORY_POLL_INTERVAL).await;
    }
}

async fn run(plan: &Plan) -> Result<Results, ManyError> {
    let mut fleet = Fleet::open(plan).await?;
    let results = fleet.run_events().await;
    fleet.end().await;
    results
}

/// All controllers of a run with their fakes.
struct Fleet {
    plan: Arc<Plan>,
    catalog: Arc<Catalog>,
    tracker: Arc<Tracker>,
    /// The state of the link to the region that is partitioned during the run.
    partitioned_region_link: watch::Sender<Link>,
    /// The state of the link to all other regions, which stays up.
    other_regions_link: watch::Sender<Link>,
    fake_peers_states: Vec<Arc<FakePeersState>>,
    sites: Vec<BTreeMap<Site, Addresses>>,
    processes: Vec<Process>,
    workers: Workers,
    /// The folder of the configuration files.
    folder: tempfile::TempDir,
}

impl Fleet {
    /// Starts all fakes. No controller runs yet.
    async fn open(plan: &Plan) -> Result<Self, ManyError> {
        let (catalog, tracker) = (Arc::new(Catalog::new(plan)), Arc::new(Tracker::new(plan.real)));
        let mut fleet = Fleet {
            plan: Arc::new(plan.clone()),
            catalog,
            tracker,
            partitioned_region_link: watch::Sender::new(Link::Up),
            other_regions_link: watch::Sender::new(Link::Up),
            fake_peers_states: Vec::new(),
            sites: Vec::new(),
            processes: Vec::new(),
            workers: Workers::default(),
            folder: tempfile::tempdir().map_err(ManyError::io("temporary folder"))?,
        };
        let load = fakes::load_reports(plan);
        for controller in 0..plan.real {
            let is_partitioned = plan.region(controller) == PARTITIONED_REGION;
            let link =
                if is_partitioned { &fleet.partitioned_region_link } else { &fleet.other_regions_link };
            let state = FakePeersState::new(
                plan,
                controller,
                link.subscribe(),
                fleet.catalog.clone(),
                fleet.tracker.clone(),
            );
            let state = Arc::new(state);
            let mut sites = BTreeMap::new();
            for site in [Site::First, Site::Second] {
                sites.insert(site, fakes::open_site(&state, site).await.map_err(ManyError::io("listen"))?);
            }
            let process = Process::new(controller, fleet.folder.path());
            for (zone, load) in load.iter().enumerate() {
                let (plan, state) = (fleet.plan.clone(), state.clone());
                tokio::spawn(fakes::run_collector(plan, state, zone, load.clone(), process.address()));
            }
            fleet.fake_peers_states.push(state);
            fleet.sites.push(sites);
            fleet.processes.push(process);
        }
        Ok(fleet)
    }

    async fn run_events(&mut self) -> Result<Results, ManyError> {
        let list_bytes = self.catalog.update_since(0).line.len();
        let (bare_harness, load_before) = (cost::of_self(), machine_load());
        let mut outcomes = vec![self.start().await?];
        let before = self.costs();
        sleep(self.plan.idle).await;
        let idle = self.costs_since(&before);
        outcomes.push(self.configure().await?);
        let controllers_on_drained_replica = self.controllers_on_drained_replica();
        outcomes.push(self.drain().await?);
        outcomes.push(self.restart().await?);
        outcomes.extend(self.run_partition_events().await?);
        self.check_all_running()?;
        let machine_load = [load_before, machine_load()];
        Ok(Results { outcomes, idle, bare_harness, list_bytes, controllers_on_drained_replica, machine_load })
    }

    /// Starts all controllers at the same time, without any state.
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
        self.outcome("simultaneous start", trigger_time, &before).await
    }

    /// Starts the selected processes at the same time and waits until they are ready.
    async fn start_processes(&mut self, is_selected: impl Fn(ControllerId) -> bool) -> Result<(), ManyError> {
        for (controller, process) in self.processes.iter_mut().enumerate() {
            if is_selected(controller) {
                process.start(&self.plan)?;
            }
        }
        let mut serving = JoinSet::new();
        for (controller, mut process) in std::mem::take(&mut self.processes).into_iter().enumerate() {
            let (tracker, is_started, event_timeout) =
                (self.tracker.clone(), is_selected(controller), self.plan.event_timeout);
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
        let mut first_error = None;
        while let Some(Ok((controller, process, served))) = serving.join_next().await {
            first_error = first_error.or(served.err());
            processes.insert(controller, process);
        }
        self.processes = processes.into_values().collect();
        first_error.map_or(Ok(()), Err)
    }

    /// Changes the configuration of all controllers to other addresses of relay and discovery.
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

    /// Returns the number of real controllers with a slice on the replica that is drained while idle.
    fn controllers_on_drained_replica(&self) -> usize {
        let replica = self.plan.replica(DRAINED_WHILE_IDLE);
        self.fake_peers_states.iter().filter(|state| state.store().has_replica(&replica)).count()
    }

    /// Drains a replica in a new version of the endpoint list, which is sent to all controllers.
    async fn drain(&mut self) -> Result<Outcome, ManyError> {
        let before = self.costs();
        self.tracker.set_drained_replica(self.plan.replica(DRAINED_WHILE_IDLE));
        self.tracker.begin_event(0..self.plan.controllers(), &[Condition::Withdrawn]);
        self.catalog.publish_change(DRAINED_WHILE_IDLE, 0..0, 0);
        self.outcome("replica drained", Duration::ZERO, &before).await
    }

    /// Ends nine in ten controllers and restarts them at the same time.
    async fn restart(&mut self) -> Result<Outcome, ManyError> {
        let before = self.costs();
        let (began, plan) = (Instant::now(), self.plan.clone());
        let restarted = |controller| plan.is_restarted(controller);
        let ended = self.processes.iter().enumerate().filter(|(controller, _)| restarted(*controller));
        ended.for_each(|(_, process)| process.signal(Signal::TERM));
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

    /// Partitions a region from the network. During the partition one replica is drained and others restart. Then the
    /// region is reconnected.
    async fn run_partition_events(&mut self) -> Result<Vec<Outcome>, ManyError> {
        let plan = self.plan.clone();
        let is_partitioned = |controller: &ControllerId| plan.region(*controller) == PARTITIONED_REGION;
        let partitioned = || (0..plan.controllers()).filter(is_partitioned);
        let connected = || (0..plan.controllers()).filter(|controller| !is_partitioned(controller));
        let before = self.costs();
        let began = Instant::now();
        self.tracker.begin_event(partitioned(), &[Condition::PartitionDetected]);
        self.partitioned_region_link.send_replace(Link::Partitioned);
        self.workers.partition();
        let partition = self.outcome("region partitioned: detected", Duration::ZERO, &before).await?;

        let before = self.costs();
        let version = self.catalog.version() + 1;
        let converged = [Condition::ListVersion(version), Condition::Withdrawn];
        self.tracker.set_drained_replica(plan.replica(DRAINED_DURING_PARTITION));
        self.tracker.begin_event(connected(), &converged);
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let restarted = 2..2 + plan.replicas / RESTARTED_REPLICA_INTERVAL;
        self.catalog.publish_change(DRAINED_DURING_PARTITION, restarted, now_ms);
        let drained_meanwhile =
            self.outcome("replica drained during partition: other regions", Duration::ZERO, &before).await?;

        sleep(plan.partition_duration.saturating_sub(began.elapsed())).await;
        let before = self.costs();
        let snapshot = Condition::RelaySnapshotFrom(Site::Second);
        self.tracker.begin_event(partitioned(), &[snapshot, converged[0], converged[1]]);
        self.partitioned_region_link.send_replace(Link::Up);
        self.workers.reconnect();
        let reconnected = self.outcome("region reconnected: all converged", Duration::ZERO, &before).await?;
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
        let (used_kb, limit_kb) = (costs.real.memory_kb + costs.harness.memory_kb, self.plan.memory_limit_kb);
        if used_kb > limit_kb {
            return Err(ManyError::Memory { used_kb, limit_kb });
        }
        let (completed, missing) = (progress.times.len(), progress.missing.len());
        eprintln!(
            "{event}: {completed} controllers completed, {missing} missing, after {:.1} s",
            self.tracker.age().as_secs_f64()
        );
        Ok(Outcome { event, trigger_time, progress, costs })
    }

    /// Returns the resources used since the start of the run.
    fn costs(&self) -> Costs {
        let mut real = Cost::default();
        self.processes.iter().for_each(|process| real += process.cost());
        Costs {
            elapsed: self.tracker.age(),
            real,
            harness: cost::of_self(),
            simulated: self.workers.processor_time(),
        }
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
