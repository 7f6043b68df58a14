//! The cases: what each one does in which order, and what it checks at the end.

use crate::net::{answers_ping, lock, start_discovery, RelaySocket, Shared};
use crate::platform::{Site, State, World};
use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A governor has to be ready within this time.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// The whole case ends after this time.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// A small deployment with a single owner a slice.
fn exclusive_site(governors: usize) -> Site {
    Site {
        governors,
        proxies: 12,
        replicas: 14,
        slices: 70,
        zones: vec!["north", "south", "west"],
        classes: vec![("read", 0.55, false, 1.0, 1000), ("vote", 0.45, true, 5.0, 400)],
        ops_per_s: 250.0,
        hot_share: 0.25,
        exclusive: true,
        lease_ms: 4000,
        write_life_ms: 620,
        work_ms: (60, 200),
        transit_ms: (130, 430),
        sync_ms: (94, 490),
        head: 16.0,
        lines_per_s: 7700.0,
        queue_cap: 11600.0,
        message_cap: 12,
        period_ms: 500,
        report_delay_ms: (650, 1600),
        grace_ms: 3900,
        cold_from: 0.15,
        warm_ms: 17_000,
        fall_multiple: 2.5,
        weights: "nominal",
    }
}

/// A small deployment whose slices may have several lines.
fn shared_site(governors: usize) -> Site {
    Site {
        governors,
        proxies: 12,
        replicas: 16,
        slices: 80,
        zones: vec!["north", "south", "west"],
        classes: vec![("lookup", 0.69, false, 2.0, 1200), ("post", 0.31, true, 5.0, 1200)],
        ops_per_s: 300.0,
        hot_share: 0.0,
        exclusive: false,
        lease_ms: 4000,
        write_life_ms: 20,
        work_ms: (150, 400),
        transit_ms: (91, 290),
        sync_ms: (150, 360),
        head: 8.0,
        lines_per_s: 40_000.0,
        queue_cap: 60_000.0,
        message_cap: 0,
        period_ms: 1000,
        report_delay_ms: (220, 980),
        grace_ms: 1500,
        cold_from: 0.21,
        warm_ms: 15_000,
        fall_multiple: 3.0,
        weights: "rough",
    }
}

/// The running deployment of a case.
struct Deployment {
    shared: Shared,
    relays: Vec<RelaySocket>,
    governors: Vec<Child>,
    /// The file with the ids of the governors.
    pids: PathBuf,
    begun: Instant,
}

impl Drop for Deployment {
    /// Ends the governors.
    fn drop(&mut self) {
        for governor in &mut self.governors {
            _ = governor.kill();
            _ = governor.wait();
        }
        _ = fs::remove_file(&self.pids);
    }
}

/// The case can't go on.
struct CannotRun(String);

fn free_address() -> std::io::Result<String> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

impl Deployment {
    /// Starts the stand-ins and the governors, and the traffic once all of them have answered a ping.
    fn start(site: Site, record: &str, run: &str, folder: &str, seed: u64) -> Result<Deployment, CannotRun> {
        let failed = |error: std::io::Error| CannotRun(format!("start failed: {error}"));
        let count = site.governors;
        let mut world = World::new(site, record, seed);
        for _ in 0..count {
            world.add_governor(free_address().map_err(failed)?);
        }
        let shared: Shared = Arc::new(Mutex::new(world));
        let mut deployment = Deployment {
            shared: shared.clone(),
            relays: Vec::new(),
            governors: Vec::new(),
            pids: Path::new(folder).join("pids"),
            begun: Instant::now(),
        };
        for number in 0..count {
            let relay = RelaySocket::start(&shared, number).map_err(failed)?;
            let discovery = start_discovery(&shared, number).map_err(failed)?;
            let config = lock(&shared).configuration(number, &discovery.to_string(), &relay.address.to_string());
            deployment.relays.push(relay);
            let home = Path::new(folder).join(format!("n{number}"));
            fs::create_dir_all(home.join("tmp")).map_err(failed)?;
            let file = home.join("config.json");
            fs::write(&file, config).map_err(failed)?;
            let output = File::create(home.join("log.txt")).map_err(failed)?;
            let child = Command::new("/bin/sh")
                .args(["-c", run])
                .env("PROXY_CONFIG", &file)
                .env("PROXY_NAME", format!("n{number}"))
                .env("PROXY_LISTEN", lock(&shared).governors[number].listen.clone())
                .env("PROXY_DISCOVERY", discovery.to_string())
                .env("TMPDIR", home.join("tmp"))
                .stdin(Stdio::null())
                .stdout(output.try_clone().map_err(failed)?)
                .stderr(output)
                .spawn()
                .map_err(failed)?;
            let pids = deployment.governors.iter().map(Child::id).chain([child.id()]);
            let pids: Vec<String> = pids.map(|pid| pid.to_string()).collect();
            deployment.governors.push(child);
            fs::write(&deployment.pids, pids.join("\n")).map_err(failed)?;
        }
        for number in 0..count {
            let address = lock(&shared).governors[number].listen.clone();
            while !answers_ping(&address) {
                if let Ok(Some(status)) = deployment.governors[number].try_wait() {
                    return Err(CannotRun(format!("n{number} did not start: {status}")));
                }
                if deployment.begun.elapsed() > READY_LIMIT {
                    return Err(CannotRun(format!("n{number} is not ready after 30 s")));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        lock(&shared).start_traffic();
        Ok(deployment)
    }

    /// Plays until the condition holds; returns false if it does not within the time.
    fn play_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&World) -> bool,
    ) -> Result<bool, CannotRun> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.begun.elapsed() > RUN_LIMIT {
                return Err(CannotRun("the case took too long".into()));
            }
            {
                let mut world = lock(&self.shared);
                world.run_due();
                if condition(&world) {
                    return Ok(true);
                }
            }
            for (number, governor) in self.governors.iter_mut().enumerate() {
                if let Ok(Some(status)) = governor.try_wait() {
                    lock(&self.shared).violated(format!("n{number} ended: {status}"));
                    return Ok(false);
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        Ok(false)
    }

    fn play_for(&mut self, seconds: f64) -> Result<(), CannotRun> {
        self.play_until(Duration::from_secs_f64(seconds), |_| false).map(|_| ())
    }
}

/// Plays a case; returns the exit code.
pub fn play(case: &str, record: &str, run: &str, folder: &str, trouble: bool) -> i32 {
    let seed = std::process::id() as u64 ^ 0x9e37_79b9_7f4a_7c15;
    let outcome = match case {
        "grant-returns" => grant_returns(record, run, folder, trouble, seed),
        "stale-line" => stale_line(record, run, folder, trouble, seed),
        "spent-messages" => spent_messages(record, run, folder, trouble, seed),
        _ => Err(CannotRun(format!("no case {case}"))),
    };
    match outcome {
        Ok(deployment) => {
            let mut world = lock(&deployment.shared);
            let (sends, refused, writes) = (world.sends, world.refused, world.writes);
            world.log(&format!("end: {sends} tries sent, {writes} of them writes, {refused} operations refused"));
            let count = world.violations.len();
            println!("{sends} tries sent, {writes} writes, {refused} refused, {count} violations");
            for text in world.violations.iter().take(3) {
                println!("  {text}");
            }
            world.flush_record();
            i32::from(count > 0)
        }
        Err(CannotRun(reason)) => {
            println!("could not run: {reason}");
            2
        }
    }
}

/// The governor that is cut off in the cases with two governors.
const CUT: usize = 0;
const OTHER: usize = 1;

/// The slices that the store keeps for the governor that is cut off.
fn own_slices(deployment: &Deployment) -> Vec<usize> {
    let world = lock(&deployment.shared);
    (0..world.slices.len()).filter(|slice| world.slices[*slice].holder == CUT).collect()
}

fn give_all(deployment: &Deployment, slices: &[usize], governor: usize) {
    let mut world = lock(&deployment.shared);
    let text = format!("the store gives the slices of {} to {}", world.governors[CUT].name, world.governors[governor].name);
    world.log(&text);
    for slice in slices {
        world.give(*slice, governor);
    }
}

/// The owner of a slice in the store.
fn owner_of(world: &World, slice: usize) -> Option<usize> {
    world.slices[slice].lines.iter().max_by(|one, other| one.1 .0.total_cmp(&other.1 .0)).map(|(replica, _)| *replica)
}

/// One owner a slice: a replica drains; once its slices are halted, the governor is cut off from the relay for 6 s.
/// The store gives its slices to the other governor after 2 s, and back when the cut ends.
fn grant_returns(record: &str, run: &str, folder: &str, trouble: bool, seed: u64) -> Result<Deployment, CannotRun> {
    let mut site = exclusive_site(2);
    site.ops_per_s = 450.0;
    let mut deployment = Deployment::start(site, record, run, folder, seed)?;
    deployment.play_for(12.0)?;
    let slices = own_slices(&deployment);
    let drained = {
        let mut world = lock(&deployment.shared);
        let drained = owner_of(&world, 0).ok_or(CannotRun("slice 0 has no owner".into()))?;
        world.change_state(&[drained], State::Leaving);
        drained
    };
    let told_at = lock(&deployment.shared).now();
    let halts = |world: &World| world.governors[CUT].halted.get(&0).is_some_and(|at| *at >= told_at);
    if !deployment.play_until(Duration::from_secs(10), halts)? {
        return Err(CannotRun("slice 0 was not halted".into()));
    }
    deployment.play_for(0.3)?;
    if owner_of(&lock(&deployment.shared), 0) != Some(drained) {
        return Err(CannotRun("slice 0 moved before the cut".into()));
    }
    if trouble {
        let shared = deployment.shared.clone();
        deployment.relays[CUT].cut(&shared);
        deployment.play_for(2.0)?;
        give_all(&deployment, &slices, OTHER);
        deployment.play_for(4.0)?;
        give_all(&deployment, &slices, CUT);
        deployment.relays[CUT].heal(&shared);
    } else {
        deployment.play_for(6.0)?;
    }
    deployment.play_for(15.0)?;
    Ok(deployment)
}

/// Several lines a slice: the governor is cut off from the relay for 8 s while replicas drain; the other governor
/// moves the slices meanwhile. Later a replica to which it moved one drains and goes.
fn stale_line(record: &str, run: &str, folder: &str, trouble: bool, seed: u64) -> Result<Deployment, CannotRun> {
    let mut deployment = Deployment::start(shared_site(2), record, run, folder, seed)?;
    deployment.play_for(14.0)?;
    let slices = own_slices(&deployment);
    let shared = deployment.shared.clone();
    if trouble {
        deployment.relays[CUT].cut(&shared);
    }
    deployment.play_for(0.5)?;
    lock(&shared).change_state(&[0, 1], State::Leaving);
    deployment.play_for(1.5)?;
    if trouble {
        give_all(&deployment, &slices, OTHER);
    }
    deployment.play_for(4.0)?;
    lock(&shared).change_state(&[0, 1], State::Left);
    deployment.play_for(2.0)?;
    if trouble {
        give_all(&deployment, &slices, CUT);
        deployment.relays[CUT].heal(&shared);
    }
    deployment.play_for(8.0)?;
    let leaving = {
        let mut world = lock(&shared);
        for slice in &slices {
            let lines: Vec<String> = world.slices[*slice]
                .lines
                .iter()
                .map(|(replica, (weight, by))| {
                    let by = by.map_or("start".into(), |governor| format!("n{governor}"));
                    format!("{} {weight} by {by}", world.replicas[*replica].id)
                })
                .collect();
            world.log(&format!("slice {slice} in the store: {}", lines.join(", ")));
        }
        let double = slices.iter().find_map(|slice| {
            let lines = &world.slices[*slice].lines;
            let owners = lines.iter().filter(|(_, (weight, _))| *weight >= 0.5);
            let by_other = owners.clone().find(|(_, (_, by))| *by == Some(OTHER)).map(|(replica, _)| *replica);
            by_other.filter(|_| owners.count() > 1)
        });
        let leaving = double.or_else(|| owner_of(&world, slices[0])).ok_or(CannotRun("no owner".into()))?;
        let text = format!("next to leave: {} (one of two owners: {})", world.replicas[leaving].id, double.is_some());
        world.log(&text);
        world.change_state(&[leaving], State::Leaving);
        leaving
    };
    deployment.play_for(5.0)?;
    lock(&shared).change_state(&[leaving], State::Left);
    deployment.play_for(45.0)?;
    Ok(deployment)
}

/// One owner a slice, at most 12 messages to a proxy in 10 s: a replica drains while the relay leaves calls without an
/// answer for 3 s.
fn spent_messages(record: &str, run: &str, folder: &str, trouble: bool, seed: u64) -> Result<Deployment, CannotRun> {
    let mut site = exclusive_site(1);
    site.grace_ms = 2000;
    site.hot_share = 0.0;
    let mut deployment = Deployment::start(site, record, run, folder, seed)?;
    let shared = deployment.shared.clone();
    deployment.play_for(14.0)?;
    {
        let mut world = lock(&shared);
        world.governors[CUT].loses_calls = trouble;
        let drained = owner_of(&world, 0).ok_or(CannotRun("slice 0 has no owner".into()))?;
        world.change_state(&[drained], State::Leaving);
    }
    deployment.play_for(3.0)?;
    lock(&shared).governors[CUT].loses_calls = false;
    deployment.play_for(15.0)?;
    Ok(deployment)
}
