//! The program in the emulator's world, on loopback sockets and in real time: the checkers look on.

mod support;

use serde_json::json;
use support::{command, example_config, ConfigFile, ControllerProcess};
use whinwall_emulator::day::Outcome;
use whinwall_emulator::live::Stages;
use whinwall_emulator::sizes::Sizes;
use whinwall_emulator::trouble::{at, Trouble, What};
use whinwall_policy::time::Span;

fn played(sizes: &Sizes, troubles: &[Trouble]) -> Outcome {
    let stages = Stages::open(sizes.controllers).unwrap();
    let programs: Vec<_> = stages
        .stages
        .iter()
        .enumerate()
        .map(|(number, stage)| {
            let mut file = example_config();
            file["distributor"]["address"] = json!(stage.found.relay.to_string());
            file["discovery"] = json!(stage.found.discovery.to_string());
            file["settings"] = sizes.settings(number);
            let file = ConfigFile::write(&file.to_string());
            ControllerProcess::spawn(command(&file), file)
        })
        .collect();
    let addresses: Vec<_> = programs.iter().map(|program| program.address).collect();
    stages.play(sizes, troubles, 7, &addresses).unwrap()
}

#[test]
fn rules_hold_with_drains_errors_and_a_silent_relay() {
    let sizes = Sizes { lasts: Span::ms(16_000), ..Sizes::small() };
    let troubles = [
        at(6000, 9000, What::Drain { replica: 3 }),
        at(7000, 6000, What::FastErrors { replica: 5, share: 0.9 }),
        at(9000, 1500, What::RelayMute),
    ];
    let day = played(&sizes, &troubles);
    assert!(day.broken.is_empty(), "{:?}", day.violations);
    assert!(day.orders > 60 && day.verdicts == 0 && day.service > 0.9, "{day:?}");
}

#[test]
fn two_controllers_share_a_fleet_and_migrate_slices() {
    let sizes = Sizes { lasts: Span::ms(14_000), controllers: 2, ..Sizes::small() };
    let troubles =
        [at(6000, 4000, What::HandOver { from: 0, to: 20 }), at(7000, 6000, What::Crash { replica: 2 })];
    let day = played(&sizes, &troubles);
    assert!(day.broken.is_empty(), "{:?}", day.violations);
    assert!(day.orders > 60 && day.service > 0.9, "{day:?}");
}
