//! Measures the cost of subsetting in the reducer when the registry or the fleet changes: 2,200 replicas in nine
//! zones, 20 slices of the controller, without a fleet (0) and with a fleet of 650 controllers.

use divan::Bencher;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use whinwall_operator_config::{AggregatorMember, ControllerMember, SubsettingConfig};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery;
use whinwall_protocol::relay::decode_event;
use whinwall_routing::subset::Fleet;
use whinwall_routing::{Effect, Event, Reducer};
use whinwall_transport::Targets;

const REPLICAS: usize = 2200;
const ZONES: usize = 9;
const SLICES: usize = 20;
const SUBSET_SIZE: usize = 48;
/// Numbers of controllers in the fleet; 0 is a controller without subsetting.
const FLEET_SIZES: [usize; 2] = [0, 650];
/// Time between two changes, long enough that each is computed separately.
const CHANGE_INTERVAL: Span = Span::ms(1100);

fn main() {
    divan::main();
}

struct Controller {
    reducer: Reducer,
    now: Moment,
    changes: usize,
}

fn build_fleet(controllers: usize, change: usize) -> Option<Fleet> {
    let controller = |number: usize| {
        let name = if number == 1 { format!("replacement-{change}") } else { format!("n{number}") };
        ControllerMember { name, address: None, slices: vec![] }
    };
    let config = SubsettingConfig {
        subset_size: SUBSET_SIZE,
        bytes_per_second: 27_000,
        controllers: (0..controllers).map(controller).collect(),
        aggregators: vec![AggregatorMember { name: "m1".into(), address: ([127, 0, 0, 1], 7001).into() }],
    };
    (controllers > 0).then(|| Fleet::new(&config, "n0").unwrap())
}

fn registry_entry(id: &str, number: usize, state: &str) -> Value {
    json!({"id": id, "zone": format!("zone-{}", number % ZONES), "kind": "m2", "state": state})
}

impl Controller {
    fn new(controllers: usize) -> Self {
        let example: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
        let mut settings = example["settings"].clone();
        settings["zones"] = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
        let settings = whinwall_settings::parse_settings(&settings).unwrap();
        let now = Moment::default() + Span::ms(1_800_000_000_000);
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let targets = Targets { discovery: local(8500), relay: local(6400) };
        let reducer = Reducer::new(settings, targets, 7, &discovery::List::default(), now);
        let mut controller = Controller { reducer, now, changes: 0 };
        controller.apply(Event::SubsettingConfigured(build_fleet(controllers, 0)));
        let entries = (0..REPLICAS).map(|number| registry_entry(&format!("s-{number}"), number, "active"));
        controller.apply_endpoint_list(1, true, entries.collect());
        let mut lines = vec!["OK".to_string(), "* SUBSCRIBE 0 zone-0 21.5 1".into()];
        for slice in 0..SLICES {
            lines.push(format!("* GRANT {slice} 1"));
            lines.push(format!("* ROW {slice} s-{slice} 1"));
        }
        lines.push("*".into());
        lines.iter().for_each(|line| controller.apply(Event::Relay(decode_event(line).unwrap())));
        controller.apply(Event::InputDrained);
        controller
    }

    fn apply(&mut self, event: Event) {
        let _: Vec<Effect> = self.reducer.apply(self.now, event);
    }

    fn apply_endpoint_list(&mut self, version: usize, is_complete: bool, replicas: Vec<Value>) {
        let line = json!({"version": version, "full": is_complete, "servers": replicas}).to_string();
        self.apply(Event::EndpointListReceived(discovery::decode(&line).unwrap().unwrap()));
    }

    /// Replaces one replica by another in the registry.
    fn replace_replica(&mut self) {
        self.now = self.now + CHANGE_INTERVAL;
        self.changes += 1;
        let number = 100 + self.changes;
        let gone = registry_entry(&format!("s-{number}"), number, "left");
        let new = registry_entry(&format!("new-{number}"), number, "active");
        self.apply_endpoint_list(1 + self.changes, false, vec![gone, new]);
        self.apply(Event::InputDrained);
    }
}

#[divan::bench(args = FLEET_SIZES, sample_count = 100, sample_size = 1)]
fn replace_replica(bencher: Bencher, controllers: usize) {
    let controller = RefCell::new(Controller::new(controllers));
    bencher.bench_local(|| controller.borrow_mut().replace_replica());
}

#[divan::bench(args = FLEET_SIZES, sample_count = 50, sample_size = 1)]
fn replace_controller(bencher: Bencher, controllers: usize) {
    let controller = RefCell::new(Controller::new(controllers));
    bencher.bench_local(|| {
        let mut controller = controller.borrow_mut();
        controller.now = controller.now + CHANGE_INTERVAL;
        controller.changes += 1;
        let fleet = build_fleet(controllers, controller.changes);
        controller.apply(Event::SubsettingConfigured(fleet));
        controller.apply(Event::InputDrained);
    });
}

#[divan::bench(args = FLEET_SIZES, sample_count = 20, sample_size = 1)]
fn start_controller(bencher: Bencher, controllers: usize) {
    bencher.bench_local(|| Controller::new(controllers));
}
