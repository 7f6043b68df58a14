//! What subsetting adds to a change of the registry and of the fleet, in the reducer: 2,200 replicas in nine zones,
//! 20 own slices, without a fleet (0) and with one of 650 controllers.

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
const FLEETS: [usize; 2] = [0, 650];
/// From one change to the next: each is computed by itself.
const PAUSE: Span = Span::ms(1100);

fn main() {
    divan::main();
}

struct Controller {
    reducer: Reducer,
    now: Moment,
    changes: usize,
}

fn fleet(controllers: usize, change: usize) -> Option<Fleet> {
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

fn entry(id: &str, number: usize, state: &str) -> Value {
    json!({"id": id, "zone": format!("zone-{}", number % ZONES), "kind": "m2", "state": state})
}

impl Controller {
    fn new(controllers: usize) -> Self {
        let example: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
        let mut settings = example["settings"].clone();
        settings["zones"] = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
        let settings = whinwall_settings::parse_settings(&settings).unwrap();
        let now = Moment::default() + Span::ms(1_800_000_000_000);
        let here = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let targets = Targets { discovery: here(8500), relay: here(6400) };
        let reducer = Reducer::start(settings, targets, 7, &discovery::List::default(), now);
        let mut controller = Controller { reducer, now, changes: 0 };
        controller.tell(Event::SubsettingConfigured(fleet(controllers, 0)));
        let entries = (0..REPLICAS).map(|number| entry(&format!("s-{number}"), number, "active"));
        controller.list(1, true, entries.collect());
        let mut lines = vec!["OK".to_string(), "* SUBSCRIBE 0 zone-0 21.5 1".into()];
        for slice in 0..SLICES {
            lines.push(format!("* GRANT {slice} 1"));
            lines.push(format!("* ROW {slice} s-{slice} 1"));
        }
        lines.push("*".into());
        lines.iter().for_each(|line| controller.tell(Event::Relay(decode_event(line).unwrap())));
        controller.tell(Event::InputDrained);
        controller
    }

    fn tell(&mut self, event: Event) {
        let _: Vec<Effect> = self.reducer.apply(self.now, event);
    }

    fn list(&mut self, version: usize, whole: bool, replicas: Vec<Value>) {
        let line = json!({"version": version, "full": whole, "servers": replicas}).to_string();
        self.tell(Event::EndpointListReceived(discovery::decode(&line).unwrap().unwrap()));
    }

    /// A replica leaves and another comes.
    fn replace_replica(&mut self) {
        self.now = self.now + PAUSE;
        self.changes += 1;
        let number = 100 + self.changes;
        let gone = entry(&format!("s-{number}"), number, "left");
        let new = entry(&format!("new-{number}"), number, "active");
        self.list(1 + self.changes, false, vec![gone, new]);
        self.tell(Event::InputDrained);
    }
}

#[divan::bench(args = FLEETS, sample_count = 100, sample_size = 1)]
fn a_replica_replaced(bencher: Bencher, controllers: usize) {
    let controller = RefCell::new(Controller::new(controllers));
    bencher.bench_local(|| controller.borrow_mut().replace_replica());
}

#[divan::bench(args = FLEETS, sample_count = 50, sample_size = 1)]
fn a_controller_replaced(bencher: Bencher, controllers: usize) {
    let controller = RefCell::new(Controller::new(controllers));
    bencher.bench_local(|| {
        let mut controller = controller.borrow_mut();
        controller.now = controller.now + PAUSE;
        controller.changes += 1;
        let fleet = fleet(controllers, controller.changes);
        controller.tell(Event::SubsettingConfigured(fleet));
        controller.tell(Event::InputDrained);
    });
}

#[divan::bench(args = FLEETS, sample_count = 20, sample_size = 1)]
fn a_start(bencher: Bencher, controllers: usize) {
    bencher.bench_local(|| Controller::new(controllers));
}
