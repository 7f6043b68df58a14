//! Stand-ins for the platform of a small deployment, for the review cases: relay and store, discovery agents,
//! collectors, proxies, replicas and clients. It starts the controllers as separate processes, plays one case in real
//! time, checks one rule, and ends all processes that it started.
//!
//! Usage: `world CASE RECORD_FILE RUN_COMMAND WORK_FOLDER`; `TROUBLE=0` leaves the disruption out.
//! Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod net;
mod platform;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, run, folder] = &arguments[..] else {
        eprintln!("usage: world CASE RECORD_FILE RUN_COMMAND WORK_FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    exit(cases::play(case, record, run, folder, trouble));
}
