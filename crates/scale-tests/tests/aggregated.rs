//! One real controller behind two real aggregators at small size: it receives reports on its subset only, each replica and slice
//! in lines that it reads, and by both programs as their file says. Nothing here depends on how fast the machine is.

use std::time::Duration;
use whinwall_scale_tests::one::aggregated::{measure, Subsetting};
use whinwall_scale_tests::one::steady::Times;
use whinwall_scale_tests::one::test_bed::Setup;
use whinwall_scale_tests::process::{controller_program, program};
use whinwall_scale_tests::stand_ins::fleet::FleetSize;

const MEMORY_BOUND: u64 = 64 << 20;
const TIMES: Times = Times { warm_up: Duration::from_secs(2), measured: Duration::from_secs(4) };

#[test]
fn aggregators_send_a_controller_less_than_collectors_send_them() {
    let size =
        FleetSize { replicas: 60, zones: 3, slices: 6, proxies: 5, controllers: 20, ..FleetSize::target() };
    let setup = Setup::reported(size);
    let subsetting = Subsetting { aggregators: 2, subset: 8, bytes_per_second: 27_000 };
    let aggregator = program("whinwall-aggregation", "whinwall-aggregator").unwrap();
    let measured = measure(&controller_program().unwrap(), &aggregator, &setup, &subsetting, TIMES).unwrap();
    assert!(measured.first_report.is_some(), "{measured:?}");
    // 3 zones and 60 replicas become one line each for about 8 replicas: a small part, whatever came late.
    assert!(measured.reports * 2 * 2 < measured.sent_to_aggregators, "{measured:?}");
    assert!(measured.rate(measured.reports) < 27_000.0, "{measured:?}");
    assert!(measured.usage.resident_peak < MEMORY_BOUND, "{measured:?}");
    assert_eq!(measured.aggregators.len(), 2);
    assert!(
        !measured.log.iter().any(|line| line.contains(" warn ") || line.contains(" error ")),
        "{measured:?}"
    );
}
