//! Runs all events with 3 controller processes and 27 simulated controllers. Every event must complete at all
//! controllers involved. Times are measured and printed, but not checked.

use std::time::Duration;
use whinwall_scale_tests::many::{find_program, run_events, table, Plan, Results, Traffic};

fn plan() -> Plan {
    Plan {
        real: 3,
        simulated: 27,
        replicas: 60,
        zones: 3,
        regions: 3,
        slices: 4,
        proxies: 3,
        workers: 2,
        report_period: Duration::from_secs(1),
        simulated_report_period: Duration::from_secs(1),
        idle: Duration::ZERO,
        partition_duration: Duration::ZERO,
        virtual_partition_duration: Duration::from_secs(3600),
        event_timeout: Duration::from_secs(120),
        memory_limit_kb: 4 << 20,
        program: find_program().unwrap(),
    }
}

fn completed_count(results: &Results, event: &str) -> usize {
    let outcome = results.outcomes.iter().find(|outcome| outcome.event == event);
    outcome.unwrap_or_else(|| panic!("event {event:?} missing in the results")).progress.times.len()
}

#[test]
fn every_event_completes_at_all_controllers() {
    let plan = plan();
    let results = run_events(&plan).unwrap();
    println!("{}", table(&plan, &results));
    for outcome in &results.outcomes {
        assert!(outcome.progress.missing.is_empty(), "{}: {:?}", outcome.event, outcome.progress.missing);
    }
    assert_eq!(completed_count(&results, "simultaneous start"), 30);
    assert_eq!(completed_count(&results, "configuration change"), 30);
    assert_eq!(completed_count(&results, "replica drained"), 30);
    // Controllers 0, 10 and 20 keep running.
    assert_eq!(completed_count(&results, "nine in ten restarted"), 27);
    assert_eq!(completed_count(&results, "region partitioned: detected"), 10);
    assert_eq!(completed_count(&results, "replica drained during partition: other regions"), 20);
    assert_eq!(completed_count(&results, "region reconnected: all converged"), 10);
    let started = &results.outcomes[0].progress;
    let [real, simulated] =
        [&started.real, &started.simulated].map(|sent_bytes| sent_bytes.bytes(Traffic::List) as usize);
    assert!(
        real >= 3 * results.list_bytes && simulated >= 27 * results.list_bytes,
        "{real} and {simulated} bytes"
    );
}

#[test]
fn missing_program_is_named_in_the_error() {
    let plan = Plan { program: "/nowhere/whinwall-controller".into(), ..plan() };
    let error = run_events(&plan).unwrap_err().to_string();
    assert!(error.contains("/nowhere/whinwall-controller"), "{error}");
}

#[test]
fn controller_that_does_not_serve_ends_the_run() {
    // The program exits immediately without logging an address.
    let plan = Plan { program: "/bin/true".into(), ..plan() };
    let error = run_events(&plan).unwrap_err().to_string();
    assert!(error.contains("did not start serving"), "{error}");
}
