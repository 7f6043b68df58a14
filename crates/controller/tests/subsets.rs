//! Tests of subsetting in the controller: the subset memberships equal those that the subsetting package computes for
//! the current registry and fleet. Subsetting is disabled without a fleet in the operators' file.

mod support;

use rustix::process::Signal;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Instant;
use support::managed_controller::ManagedController;
use support::rig::Rig;
use support::TEST_TIMEOUT;
use whinwall_management_api::messages::{Reply, Request, SubsettingStatus};
use whinwall_management_api::wire::SubsettingState;
use whinwall_operator_config::{AggregatorMember, ControllerMember, SubsettingConfig};
use whinwall_policy::api::SubsetMembership;
use whinwall_policy::time::Span;
use whinwall_protocol::discovery;
use whinwall_routing::subset::Fleet;
use whinwall_routing::Event;
use whinwall_subsetting::{Assignment, Membership, Parameters, Replica};

const OWN_NAME: &str = "n0";
const SUBSET_SIZE: usize = 8;
const CONTROLLERS: usize = 10;
const REPLICAS: usize = 60;
const ZONES: [&str; 3] = ["north", "south", "west"];

fn names(controllers: usize) -> Vec<String> {
    (0..controllers).map(|number| format!("n{number}")).collect()
}

fn config(names: &[String]) -> SubsettingConfig {
    let controller = |name: &String| ControllerMember { name: name.clone(), address: None, slices: vec![] };
    SubsettingConfig {
        subset_size: SUBSET_SIZE,
        bytes_per_second: 27_000,
        controllers: names.iter().map(controller).collect(),
        aggregators: vec![AggregatorMember { name: "m1".into(), address: ([127, 0, 0, 1], 7001).into() }],
    }
}

fn fleet(names: &[String]) -> Fleet {
    Fleet::new(&config(names), OWN_NAME).expect("the own name is in the fleet")
}

/// A replica as the registry lists it, convertible into the input of the subsetting package.
#[derive(Clone)]
struct ListedReplica {
    id: String,
    zone: &'static str,
    state: &'static str,
    weight: f64,
}

impl ListedReplica {
    fn as_replica(&self) -> Replica<'_> {
        Replica { id: &self.id, zone: self.zone, group: "m2", weight: self.weight }
    }
}

fn registry() -> Vec<ListedReplica> {
    let listed = |number: usize| ListedReplica {
        id: format!("s-{number}"),
        zone: ZONES[number % ZONES.len()],
        state: "active",
        weight: if number.is_multiple_of(10) { 2.0 } else { 1.0 },
    };
    (0..REPLICAS).map(listed).collect()
}

fn apply_list(rig: &mut Rig, version: u64, complete: bool, registry: &[ListedReplica]) {
    let entry = |listed: &ListedReplica| {
        let ListedReplica { id, zone, state, weight } = listed;
        json!({"id": id, "zone": zone, "kind": "m2", "state": state, "weight": weight})
    };
    // The fake store of the rig accepts commands on known replicas only.
    rig.replicas.extend(registry.iter().map(|listed| (listed.id.clone(), listed.state)));
    let replicas: Vec<_> = registry.iter().map(entry).collect();
    let line = json!({"version": version, "full": complete, "servers": replicas}).to_string();
    rig.apply(Event::EndpointListReceived(
        discovery::decode(&line).expect("invalid endpoint list").expect("no change in the endpoint list"),
    ));
}

/// Returns the memberships that the subsetting package computes for the controller under test, by replica.
fn expected(names: &[String], registry: &[ListedReplica]) -> BTreeMap<String, SubsetMembership> {
    let present = registry.iter().filter(|listed| listed.state != "left");
    let replicas: Vec<_> = present.map(ListedReplica::as_replica).collect();
    let membership = Membership::new(names.to_vec()).expect("duplicate controller names");
    let parameters = Parameters::new(SUBSET_SIZE).expect("invalid subset size");
    let assignment = Assignment::compute(&membership, &replicas, &parameters);
    let membership = |replica: &Replica| match assignment.position(replica.id, OWN_NAME) {
        Some(zone) => SubsetMembership::Subset { controllers: zone.controllers, position: zone.position },
        None => SubsetMembership::OtherControllers,
    };
    replicas.iter().map(|replica| (replica.id.to_string(), membership(replica))).collect()
}

/// Returns the memberships in the reducer of the replicas in `expected`.
fn memberships(
    rig: &Rig,
    expected: &BTreeMap<String, SubsetMembership>,
) -> BTreeMap<String, SubsetMembership> {
    let memberships = rig.reducer.subset_memberships();
    expected.keys().filter_map(|id| Some((id.clone(), *memberships.get(id.as_str())?))).collect()
}

fn rig() -> Rig {
    let mut rig = Rig::new();
    apply_list(&mut rig, 41, true, &registry());
    rig.send_snapshot(&[]);
    rig
}

fn status(rig: &mut Rig) -> Option<SubsettingStatus> {
    rig.apply(Event::ManagementRequest { request_id: 1, request: Request::Status });
    match rig.replies.pop() {
        Some(Reply::Status(status)) => status.subsetting,
        other => panic!("no status: {other:?}"),
    }
}

#[test]
fn every_replica_belongs_to_all_controllers_without_a_fleet() {
    let mut rig = rig();
    rig.apply(Event::SubsettingConfigured(None));
    rig.drain_input();
    assert_eq!(rig.reducer.subset_memberships().len(), REPLICAS);
    assert!(rig
        .reducer
        .subset_memberships()
        .values()
        .all(|membership| *membership == SubsetMembership::AllControllers));
    assert_eq!(status(&mut rig), None);
}

#[test]
fn memberships_equal_the_subsetting_package_in_any_order_of_events() {
    let expected = expected(&names(CONTROLLERS), &registry());
    assert!(expected.values().any(|membership| *membership == SubsetMembership::OtherControllers));
    let mut list_first = rig();
    list_first.apply(Event::SubsettingConfigured(Some(fleet(&names(CONTROLLERS)))));
    assert_eq!(memberships(&list_first, &expected), expected);
    let mut fleet_first = Rig::new();
    fleet_first.apply(Event::SubsettingConfigured(Some(fleet(&names(CONTROLLERS)))));
    apply_list(&mut fleet_first, 41, true, &registry());
    fleet_first.drain_input();
    assert_eq!(memberships(&fleet_first, &expected), expected);
}

#[test]
fn status_shows_the_fleet_and_the_own_subset() {
    let mut rig = rig();
    rig.apply(Event::SubsettingConfigured(Some(fleet(&names(CONTROLLERS)))));
    let own = expected(&names(CONTROLLERS), &registry());
    let own = own.values().filter(|membership| matches!(membership, SubsetMembership::Subset { .. })).count();
    let expected = SubsettingStatus {
        controllers: CONTROLLERS,
        aggregators: 1,
        subset_size: SUBSET_SIZE,
        own_replicas: own,
        listed_replicas: REPLICAS,
        report_budget_bytes_per_second: 27_000,
    };
    assert_eq!(status(&mut rig), Some(expected));
}

#[test]
fn registry_change_changes_the_memberships() {
    let fleet_names = names(CONTROLLERS);
    let mut rig = rig();
    rig.apply(Event::SubsettingConfigured(Some(fleet(&fleet_names))));
    rig.advance_ms(2000);
    let mut registry = registry();
    registry[3].state = "left";
    registry[4].state = "leaving";
    let new = ListedReplica { id: "s-new".into(), ..registry[3].clone() };
    registry.push(ListedReplica { state: "active", ..new });
    apply_list(&mut rig, 42, false, &registry[3..]);
    rig.drain_input();
    let first = expected(&fleet_names, &registry);
    assert_eq!(memberships(&rig, &first), first);
    assert!(
        !first.contains_key("s-3") && first.contains_key("s-4"),
        "a draining replica stays in its subset until it has left"
    );

    // Further changes within a second are computed together. Until then a new replica belongs to other controllers.
    registry.push(ListedReplica { id: "s-newer".into(), ..registry[5].clone() });
    apply_list(&mut rig, 43, false, &registry[registry.len() - 1..]);
    rig.drain_input();
    assert_eq!(rig.reducer.subset_memberships()["s-newer"], SubsetMembership::OtherControllers);
    assert_eq!(memberships(&rig, &first), first);
    rig.advance_ms(1000);
    let second = expected(&fleet_names, &registry);
    assert_eq!(memberships(&rig, &second), second);
}

#[test]
fn small_change_does_not_delay_a_large_one() {
    let fleet_names = names(CONTROLLERS);
    let mut rig = Rig::new();
    rig.apply(Event::SubsettingConfigured(Some(fleet(&fleet_names))));
    let mut registry = registry();
    apply_list(&mut rig, 41, true, &registry[..10]);
    rig.drain_input();
    apply_list(&mut rig, 42, true, &registry);
    registry[0].state = "leaving";
    apply_list(&mut rig, 43, false, &registry[..1]);
    rig.drain_input();
    let expected = expected(&fleet_names, &registry);
    assert_eq!(memberships(&rig, &expected), expected);
}

/// Zones without a configured name count by their names in the registry. Aggregators compute the same subsets from the
/// registry alone.
#[test]
fn unnamed_zones_count_by_the_names_of_the_registry() {
    let mut rig = rig();
    let mut replicas = registry();
    for (number, listed) in replicas.iter_mut().enumerate().filter(|(number, _)| number % 2 == 0) {
        listed.zone = ["islands", "harbour", "valley", "coast", "hills"][number / 2 % 5];
    }
    apply_list(&mut rig, 42, true, &replicas);
    let names = names(CONTROLLERS);
    let mut merged_zones = replicas.clone();
    let unnamed = |listed: &&mut ListedReplica| !ZONES.contains(&listed.zone);
    merged_zones.iter_mut().filter(unnamed).for_each(|listed| listed.zone = "");
    assert_ne!(
        expected(&names, &replicas),
        expected(&names, &merged_zones),
        "the zone names do not affect the subsets"
    );
    rig.apply(Event::SubsettingConfigured(Some(fleet(&names))));
    let expected = expected(&names, &replicas);
    assert_eq!(memberships(&rig, &expected), expected);
}

#[test]
fn lost_zone_that_returns_leaves_the_memberships_unchanged() {
    let fleet_names = names(CONTROLLERS);
    let mut rig = rig();
    rig.apply(Event::SubsettingConfigured(Some(fleet(&fleet_names))));
    let rest: Vec<_> = registry().into_iter().filter(|listed| listed.zone != "west").collect();
    for (version, registry) in [(42, rest), (43, registry())] {
        apply_list(&mut rig, version, true, &registry);
        rig.advance_ms(2000);
        let expected = expected(&fleet_names, &registry);
        assert_eq!(memberships(&rig, &expected), expected);
    }
}

#[test]
fn fleet_change_applies_at_once_and_no_fleet_disables_subsetting() {
    let mut rig = rig();
    for controllers in [CONTROLLERS, CONTROLLERS - 1, 1] {
        rig.apply(Event::SubsettingConfigured(Some(fleet(&names(controllers)))));
        let expected = expected(&names(controllers), &registry());
        assert_eq!(memberships(&rig, &expected), expected);
        assert!(rig
            .logs
            .pop()
            .is_some_and(|line| line.contains(&format!("subset assigned controllers={controllers} "))));
    }
    rig.logs.clear();
    rig.apply(Event::SubsettingConfigured(Some(fleet(&names(1)))));
    assert_eq!(rig.logs, [""; 0], "an unchanged fleet is logged again");
    rig.apply(Event::SubsettingConfigured(None));
    assert!(rig
        .reducer
        .subset_memberships()
        .values()
        .all(|membership| *membership == SubsetMembership::AllControllers));
}

#[test]
fn memberships_stay_exact_over_many_changes() {
    let (mut registry, mut fleet_names) = (registry(), names(CONTROLLERS));
    let mut rig = rig();
    rig.apply(Event::SubsettingConfigured(Some(fleet(&fleet_names))));
    for change in 0..470_usize {
        rig.now = rig.now + Span::ms(1000);
        if change % 3 == 0 {
            fleet_names[1 + change % (CONTROLLERS - 1)] = format!("replacement-{change}");
            rig.apply(Event::SubsettingConfigured(Some(fleet(&fleet_names))));
        } else {
            let replaced = change * 7 % registry.len();
            registry[replaced].id = format!("s-{}", REPLICAS + change);
            apply_list(&mut rig, 42 + change as u64, true, &registry);
        }
        rig.advance_ms(1000);
        let expected = expected(&fleet_names, &registry);
        assert_eq!(memberships(&rig, &expected), expected, "change {change}");
    }
}

fn subsetting_element(names: &[&str]) -> String {
    let controllers: String = names.iter().map(|name| format!("<governor name=\"{name}\"/>")).collect();
    format!(
        "<subsetting subset=\"4\" bytes-per-second=\"27000\">{controllers}\
         <aggregator name=\"m1\" address=\"127.0.0.1:7001\"/></subsetting>"
    )
}

/// Requests the status until it shows this number of controllers and all replicas.
fn wait_for_subsetting(managed: &ManagedController, controllers: Option<usize>) -> Option<SubsettingState> {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        let status =
            managed.request(async |client| client.status().await).expect("the status request failed");
        let listed = status.subsetting.as_ref().is_none_or(|subsetting| subsetting.listed_replicas == 12);
        if status.subsetting.as_ref().map(|subsetting| subsetting.controllers) == controllers && listed {
            return status.subsetting;
        }
        assert!(
            Instant::now() < end,
            "timed out waiting for {controllers:?} controllers, last status {status:?}"
        );
    }
}

/// Returns the size of this controller's subset as the subsetting package computes it, for the registry of the fake
/// discovery agent.
fn own_subset_size(names: &[&str]) -> usize {
    let membership = Membership::new(names.iter().map(std::string::ToString::to_string))
        .expect("duplicate controller names");
    let ids: Vec<_> = (0..12).map(|number| format!("s-{number}")).collect();
    let replica = |id| Replica { id, zone: "north", group: "m2", weight: 1.0 };
    let replicas: Vec<_> = ids.iter().map(String::as_str).map(replica).collect();
    Assignment::compute(&membership, &replicas, &Parameters { subset_size: 4 }).subset_of(OWN_NAME).len()
}

#[test]
fn program_applies_a_changed_fleet_on_sighup() {
    let mut managed = ManagedController::start(12, 24);
    assert_eq!(wait_for_subsetting(&managed, None), None);
    let fleets: [&[&str]; 3] = [&["n0", "n1", "n2"], &["n0", "n1", "n2", "n3", "n4"], &["n4", "n0"]];
    for names in fleets {
        managed.write_operators_file(&subsetting_element(names));
        managed.program().signal(Signal::HUP);
        managed.wait_for_log(&format!("subset assigned controllers={} ", names.len()));
        let subsetting =
            wait_for_subsetting(&managed, Some(names.len())).expect("no subsetting in the status");
        assert_eq!((subsetting.own_replicas, subsetting.aggregators), (own_subset_size(names), 1));
    }
    // A fleet without this controller is rejected.
    managed.write_operators_file(&subsetting_element(&["n1", "n2"]));
    managed.program().signal(Signal::HUP);
    let log_line = managed.wait_for_log("configuration reload failed, keeping the previous configuration");
    let expected = "<subsetting>: this governor's own name, \"n0\", is not among its governors";
    assert!(log_line.contains(expected), "{log_line}");
    assert_eq!(
        wait_for_subsetting(&managed, Some(2)).map(|subsetting| subsetting.own_replicas),
        Some(own_subset_size(fleets[2]))
    );
    // After a restart the fleet applies from the start.
    managed.write_operators_file(&subsetting_element(fleets[0]));
    managed.restart();
    assert_eq!(
        wait_for_subsetting(&managed, Some(3)).map(|subsetting| subsetting.own_replicas),
        Some(own_subset_size(fleets[0]))
    );
    managed.write_operators_file("<overrides/>");
    managed.program().signal(Signal::HUP);
    managed.wait_for_log("subsetting disabled");
    assert_eq!(wait_for_subsetting(&managed, None), None);
}

#[test]
fn start_rejects_a_fleet_without_this_controller() {
    let managed = ManagedController::start(3, 6);
    managed.write_operators_file(&subsetting_element(&["n1", "n2"]));
    let (mut command, _file) = managed.command();
    let output = command.arg("--check").output().expect("failed to run the program");
    let printed = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    assert!(printed.contains("this governor's own name, \"n0\", is not among its governors"), "{printed}");
}
