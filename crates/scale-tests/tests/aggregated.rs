//! One real controller behind two real aggregators, with a small fleet. The controller must receive reports on its
//! subset only, within the budget, in lines that it accepts. No check depends on the speed of the machine.

use std::time::Duration;
use whinwall_scale_tests::fakes::fleet::FleetSize;
use whinwall_scale_tests::one::aggregated::{measure, Subsetting};
use whinwall_scale_tests::one::steady::Times;
use whinwall_scale_tests::one::test_bed::Setup;
use whinwall_scale_tests::programs::{controller_program, program};

const MEMORY_LIMIT_BYTES: u64 = 64 << 20;
const TIMES: Times = Times { warm_up: Duration::from_secs(2), measured: Duration::from_secs(4) };

#[test]
fn controller_receives_fewer_report_bytes_than_its_aggregators() {
    let size =
        FleetSize { replicas: 60, zones: 3, slices: 6, proxies: 5, controllers: 20, ..FleetSize::target() };
    let setup = Setup::reported(size);
    let subsetting = Subsetting { aggregators: 2, subset: 8, bytes_per_second: 27_000 };
    let aggregator = program("whinwall-aggregation", "whinwall-aggregator").unwrap();
    let measured = measure(&controller_program().unwrap(), &aggregator, &setup, &subsetting, TIMES).unwrap();
    assert!(measured.first_report.is_some(), "{measured:?}");
    // Reports on 60 replicas from 3 zones become one line each for about 8 replicas. The factor leaves room for late
    // reports.
    assert!(measured.report_bytes * 2 * 2 < measured.bytes_to_aggregators, "{measured:?}");
    assert!(measured.rate(measured.report_bytes) < 27_000.0, "{measured:?}");
    assert!(measured.usage.resident_peak < MEMORY_LIMIT_BYTES, "{measured:?}");
    assert_eq!(measured.aggregators.len(), 2);
    assert!(
        !measured.log.iter().any(|line| line.contains(" warn ") || line.contains(" error ")),
        "{measured:?}"
    );
}
