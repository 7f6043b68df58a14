//! The program in the emulator's world, on loopback sockets and in real time: the checkers look on.

mod stand_ins;

use serde_json::json;
use stand_ins::{command, configuration, ConfigurationFile, Program};
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::{Fault, FaultKind};
use whinwall_emulator::real_time::StandIns;
use whinwall_emulator::scenario::Outcome;
use whinwall_policy::time::Span;

fn played(sizes: &ScenarioConfig, troubles: &[Fault]) -> Outcome {
    let stages = StandIns::open(sizes.controllers).unwrap();
    let programs: Vec<_> = stages
        .stand_ins
        .iter()
        .enumerate()
        .map(|(number, stage)| {
            let mut file = configuration();
            file["distributor"]["address"] = json!(stage.addresses.relay.to_string());
            file["discovery"] = json!(stage.addresses.discovery.to_string());
            file["settings"] = sizes.settings(number);
            let file = ConfigurationFile::write(&file.to_string());
            Program::spawn(command(&file), file)
        })
        .collect();
    let addresses: Vec<_> = programs.iter().map(|program| program.address).collect();
    stages.play(sizes, troubles, 7, &addresses).unwrap()
}

#[test]
fn a_day_with_drains_errors_and_a_silent_relay_keeps_the_rules() {
    let sizes = ScenarioConfig { duration: Span::ms(16_000), ..ScenarioConfig::small() };
    let troubles = [
        Fault::new(6000, 9000, FaultKind::Drain { replica: 3 }),
        Fault::new(7000, 6000, FaultKind::FastErrors { replica: 5, share: 0.9 }),
        Fault::new(9000, 1500, FaultKind::RelayUnresponsive),
    ];
    let day = played(&sizes, &troubles);
    assert!(day.violation_counts.is_empty(), "{:?}", day.violations);
    assert!(day.commands > 60 && day.ejections == 0 && day.service_level > 0.9, "{day:?}");
}

#[test]
fn two_programs_share_a_fleet_and_hand_slices_over() {
    let sizes = ScenarioConfig { duration: Span::ms(14_000), controllers: 2, ..ScenarioConfig::small() };
    let troubles = [
        Fault::new(6000, 4000, FaultKind::SlicesReassigned { from: 0, to: 20 }),
        Fault::new(7000, 6000, FaultKind::Crash { replica: 2 }),
    ];
    let day = played(&sizes, &troubles);
    assert!(day.violation_counts.is_empty(), "{:?}", day.violations);
    assert!(day.commands > 60 && day.service_level > 0.9, "{day:?}");
}
