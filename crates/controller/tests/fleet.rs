//! The controller process with the emulated fleet, on loopback sockets and in real time. The checkers of the emulator
//! verify the rules.

mod support;

use serde_json::json;
use support::{command, example_config, ConfigFile, ControllerProcess};
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::{Fault, FaultKind};
use whinwall_emulator::real_time::FakeEnvironment;
use whinwall_emulator::scenario::Outcome;
use whinwall_policy::time::Span;

fn run_scenario(config: &ScenarioConfig, faults: &[Fault]) -> Outcome {
    let emulated = FakeEnvironment::open(config.controllers).unwrap();
    let programs: Vec<_> = emulated
        .services
        .iter()
        .enumerate()
        .map(|(number, services)| {
            let mut file = example_config();
            file["distributor"]["address"] = json!(services.addresses.relay.to_string());
            file["discovery"] = json!(services.addresses.discovery.to_string());
            file["settings"] = config.settings(number);
            let file = ConfigFile::write(&file.to_string());
            ControllerProcess::spawn(command(&file), file)
        })
        .collect();
    let addresses: Vec<_> = programs.iter().map(|program| program.address).collect();
    emulated.run(config, faults, 7, &addresses).unwrap()
}

#[test]
fn rules_hold_with_drains_errors_and_a_silent_relay() {
    let config = ScenarioConfig { duration: Span::ms(16_000), ..ScenarioConfig::small() };
    let faults = [
        Fault::new(6000, 9000, FaultKind::Drain { replica: 3 }),
        Fault::new(7000, 6000, FaultKind::FastErrors { replica: 5, share: 0.9 }),
        Fault::new(9000, 1500, FaultKind::RelayUnresponsive),
    ];
    let outcome = run_scenario(&config, &faults);
    assert!(outcome.violation_counts.is_empty(), "{:?}", outcome.violations);
    assert!(outcome.commands > 60 && outcome.ejections == 0 && outcome.service_level > 0.9, "{outcome:?}");
}

#[test]
fn two_controllers_share_a_fleet_and_migrate_slices() {
    let config = ScenarioConfig { duration: Span::ms(14_000), controllers: 2, ..ScenarioConfig::small() };
    let faults = [
        Fault::new(6000, 4000, FaultKind::SlicesReassigned { from: 0, to: 20 }),
        Fault::new(7000, 6000, FaultKind::Crash { replica: 2 }),
    ];
    let outcome = run_scenario(&config, &faults);
    assert!(outcome.violation_counts.is_empty(), "{:?}", outcome.violations);
    assert!(outcome.commands > 60 && outcome.service_level > 0.9, "{outcome:?}");
}
