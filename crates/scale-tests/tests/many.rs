//! A few controller processes beside some tens of simulated ones: every event completes at all of them. Times are
//! measured and printed, and not judged.

use std::time::Duration;
use whinwall_scale_tests::many::{find_program, play, table, Plan, Results, Traffic};

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
    outcome.unwrap_or_else(|| panic!("no event {event:?}")).progress.times.len()
}

#[test]
fn every_event_completes_at_all_controllers() {
    let plan = plan();
    let results = play(&plan).unwrap();
    println!("{}", table(&plan, &results));
    for outcome in &results.outcomes {
        assert!(outcome.progress.missing.is_empty(), "{}: {:?}", outcome.event, outcome.progress.missing);
    }
    assert_eq!(completed_count(&results, "all start together"), 30);
    assert_eq!(completed_count(&results, "configuration change"), 30);
    assert_eq!(completed_count(&results, "replica drained"), 30);
    // All but numbers 0, 10 and 20.
    assert_eq!(completed_count(&results, "nine in ten restarted"), 27);
    assert_eq!(completed_count(&results, "region cut off: noticed"), 10);
    assert_eq!(completed_count(&results, "replica drained meanwhile: other regions"), 20);
    assert_eq!(completed_count(&results, "region back: all agree"), 10);
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
    let failure = play(&plan).unwrap_err().to_string();
    assert!(failure.contains("/nowhere/whinwall-controller"), "{failure}");
}

#[test]
fn controller_that_does_not_serve_ends_the_run() {
    // It ends at once, without a word.
    let plan = Plan { program: "/bin/true".into(), ..plan() };
    let failure = play(&plan).unwrap_err().to_string();
    assert!(failure.contains("does not serve"), "{failure}");
}
