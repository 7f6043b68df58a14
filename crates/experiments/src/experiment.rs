//! What is played: a world, cases with their troubles, ways to decide, seeds, and what is varied. Read from
//! XML by the same elements that know their place as the operators' file; written again by `search`.

use std::fmt::Write;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::{Fault, FaultKind, ListAnomaly};
use whinwall_emulator::policy::Policy;
use whinwall_emulator::random_faults::random_faults;
use whinwall_operator_config::xml::{self, Element};
use whinwall_operator_config::ConfigError;
use whinwall_overrides::text;
use whinwall_policy::time::Span;

const VERSION: &str = "1";
/// Plays at the most, all together: a slip of the pen must not take days.
const MOST_PLAYS: usize = 100_000;

#[derive(Clone, Debug)]
pub struct Experiment {
    pub name: String,
    pub sizes: ScenarioConfig,
    pub large: bool,
    pub seeds: Vec<u64>,
    pub ways: Vec<Policy>,
    pub cases: Vec<Case>,
    /// The figure that is varied, and its values; one value of nothing where nothing is.
    pub varied: Option<Vary>,
    pub values: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    pub name: String,
    pub troubles: Troubles,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Troubles {
    Given(Vec<Fault>),
    /// So many, drawn anew for each seed.
    Drawn(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vary {
    Load,
    Proxies,
    Pace,
    Controllers,
}

/// One play of the plan.
#[derive(Clone, Debug)]
pub struct Play {
    pub case: String,
    pub value: f64,
    pub way: Policy,
    pub seed: u64,
    pub sizes: ScenarioConfig,
    pub troubles: Vec<Fault>,
}

pub const WAYS: [(&str, Policy); 5] = [
    ("governed", Policy::Controlled),
    ("hands-off", Policy::StaticTables),
    ("hashing", Policy::Hashing),
    ("two-choices", Policy::TwoChoices),
    ("least-loaded", Policy::LeastLoaded),
];
const VARIED: [(&str, Vary); 4] = [
    ("load", Vary::Load),
    ("proxies", Vary::Proxies),
    ("pace", Vary::Pace),
    ("governors", Vary::Controllers),
];

fn named<T: Copy>(text: &str, of: &[(&str, T)]) -> Result<T, String> {
    let found = of.iter().find(|(name, _)| *name == text).map(|(_, what)| *what);
    let names: Vec<_> = of.iter().map(|(name, _)| *name).collect();
    found.ok_or_else(|| format!("{text:?} is none of {}", names.join(", ")))
}

pub fn way_name(way: Policy) -> &'static str {
    WAYS.iter().find(|(_, known)| *known == way).map_or("", |(name, _)| name)
}

fn number<T: std::str::FromStr>(text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("{text:?} is no such number"))
}

fn share(text: &str) -> Result<f64, String> {
    let value: f64 = number(text)?;
    (value > 0.0 && value < 1e6).then_some(value).ok_or_else(|| format!("{text:?} is not over 0"))
}

pub fn read(text: &str) -> Result<Experiment, ConfigError> {
    let root = xml::parse(text)?;
    if root.name != "experiment" {
        return Err(root.error("the outermost element must be <experiment>"));
    }
    root.allow_only(&["name", "version"], &["world", "seeds", "way", "case", "vary"])?;
    root.required("version", |text| {
        (text == VERSION).then_some(()).ok_or(format!("{text:?} is not {VERSION:?}"))
    })?;
    let letters = |text: &str| text.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
    let name = root.required("name", |text| {
        (!text.is_empty() && letters(text)).then(|| text.to_string()).ok_or("letters, digits and dashes only")
    })?;
    let (sizes, large) =
        root.optional_child("world")?.map(world).transpose()?.unwrap_or((ScenarioConfig::small(), false));
    let seeds = root.optional_child("seeds")?.map(seeds).transpose()?.unwrap_or_else(|| (1..=5).collect());
    let (varied, values) = match root.optional_child("vary")? {
        None => (None, vec![0.0]),
        Some(vary) => {
            vary.allow_only(&["what", "values"], &[])?;
            let values = |text: &str| text.split_whitespace().map(share).collect::<Result<Vec<_>, _>>();
            let values = vary.required("values", values)?;
            if values.is_empty() {
                return Err(vary.error("values: there is none"));
            }
            (Some(vary.required("what", |text| named(text, &VARIED))?), values)
        }
    };
    let of = |name: &'static str| root.children.iter().filter(move |child| child.name == name);
    let mut ways = Vec::new();
    for way in of("way") {
        way.allow_only(&["policy"], &[])?;
        ways.push(way.required("policy", |text| named(text, &WAYS))?);
    }
    if ways.is_empty() {
        ways.push(Policy::Controlled);
    }
    let mut cases = Vec::new();
    for element in of("case") {
        let case = case(element, &sizes)?;
        if cases.iter().any(|known: &Case| known.name == case.name) {
            return Err(element.error(format!("name: {:?} is there twice", case.name)));
        }
        cases.push(case);
    }
    if cases.is_empty() {
        cases.push(Case { name: "calm".into(), troubles: Troubles::Given(vec![]) });
    }
    let plays = cases.len() * ways.len() * seeds.len() * values.len();
    if plays > MOST_PLAYS {
        return Err(root.error(format!("{plays} plays are more than {MOST_PLAYS}")));
    }
    Ok(Experiment { name, sizes, large, seeds, ways, cases, varied, values })
}

fn world(world: &Element) -> Result<(ScenarioConfig, bool), ConfigError> {
    world.allow_only(&["size", "governors", "load", "lasts", "servers", "slices", "proxies"], &[])?;
    let large = world.required("size", |text| named(text, &[("small", false), ("large", true)]))?;
    let mut sizes = if large { ScenarioConfig::large() } else { ScenarioConfig::small() };
    sizes.controllers = world.optional("governors", number)?.unwrap_or(sizes.controllers);
    sizes.load = world.optional("load", share)?.unwrap_or(sizes.load);
    sizes.duration = world.optional("lasts", text::parse_duration)?.unwrap_or(sizes.duration);
    sizes.replicas = world.optional("servers", number)?.unwrap_or(sizes.replicas);
    sizes.slices = world.optional("slices", number)?.unwrap_or(sizes.slices);
    sizes.proxies = world.optional("proxies", number)?.unwrap_or(sizes.proxies);
    let few = [sizes.controllers, sizes.replicas, sizes.slices, sizes.proxies];
    if few.contains(&0) || few.iter().any(|many| *many > 100_000) {
        return Err(world.error("there must be some of each, and no more than 100,000"));
    }
    Ok((sizes, large))
}

fn seeds(seeds: &Element) -> Result<Vec<u64>, ConfigError> {
    seeds.allow_only(&["from", "to"], &[])?;
    let (from, to) = (seeds.required("from", number::<u64>)?, seeds.required("to", number::<u64>)?);
    if to < from || to - from >= MOST_PLAYS as u64 {
        return Err(seeds.error("they end before they begin, or are too many"));
    }
    Ok((from..=to).collect())
}

fn case(case: &Element, sizes: &ScenarioConfig) -> Result<Case, ConfigError> {
    case.allow_only(&["name", "drawn"], &["trouble"])?;
    let name = case.required("name", |text| Ok::<_, std::convert::Infallible>(text.to_string()))?;
    if let Some(many) = case.optional("drawn", number)? {
        if !case.children.is_empty() {
            return Err(case.error("its troubles are either drawn or given"));
        }
        return Ok(Case { name, troubles: Troubles::Drawn(many) });
    }
    let troubles: Result<_, _> = case.children.iter().map(|one| trouble(one, sizes)).collect();
    Ok(Case { name, troubles: Troubles::Given(troubles?) })
}

/// The kinds of trouble, and what each takes beside its times.
const KINDS: [(&str, &[&str]); 27] = [
    ("crash", &["server"]),
    ("hang", &["server"]),
    ("silence", &["server"]),
    ("slow", &["server", "factor"]),
    ("fast-errors", &["server", "share"]),
    ("drain", &["server"]),
    ("release", &["from", "to"]),
    ("replaced", &["from", "to"]),
    ("place-lost", &["place"]),
    ("wrong-list", &["from", "to"]),
    ("list-late", &["by"]),
    ("list-again", &[]),
    ("list-back", &[]),
    ("list-lossy", &["each"]),
    ("hot-slice", &["slice", "factor"]),
    ("burst", &["factor"]),
    ("place-cut", &["place"]),
    ("relay-away", &[]),
    ("relay-mute", &[]),
    ("discovery-away", &[]),
    ("governor-killed", &["governor"]),
    ("herd", &["governors"]),
    ("slow-channel", &["share"]),
    ("proxies-leave", &["many"]),
    ("hand-over", &["from", "to"]),
    ("garbled", &["share"]),
    ("out-of-service", &["server"]),
];

fn trouble(one: &Element, sizes: &ScenarioConfig) -> Result<Fault, ConfigError> {
    let own = one.required("kind", |text| named(text, &KINDS))?;
    one.allow_only(&[&["kind", "begins", "lasts"], own].concat(), &[])?;
    let below = |name, most: usize| {
        one.required(name, |text| {
            let at: usize = number(text)?;
            (at < most).then_some(at).ok_or_else(|| format!("{at} is not below {most}"))
        })
    };
    let replica = || below("server", sizes.replicas);
    let range = |most: usize| -> Result<(usize, usize), ConfigError> {
        let (from, to) = (below("from", most)?, below("to", most + 1)?);
        if to <= from {
            return Err(one.error("to: it ends before it begins"));
        }
        Ok((from, to))
    };
    let figure = |name| one.required(name, share);
    let kind = match one.attribute("kind").unwrap_or_default() {
        "crash" => FaultKind::Crash { replica: replica()? },
        "hang" => FaultKind::Hang { replica: replica()? },
        "silence" => FaultKind::Silence { replica: replica()? },
        "slow" => FaultKind::Slow { replica: replica()?, factor: figure("factor")? },
        "fast-errors" => FaultKind::FastErrors { replica: replica()?, share: figure("share")? },
        "drain" => FaultKind::Drain { replica: replica()? },
        "release" => {
            let (from, to) = range(sizes.replicas)?;
            FaultKind::RollingRelease { from, to }
        }
        "replaced" => {
            let (from, to) = range(sizes.replicas)?;
            FaultKind::BatchReplacement { from, to }
        }
        "place-lost" => FaultKind::ZoneLost { zone: below("place", sizes.zones)? },
        "list-late" => FaultKind::ListAnomaly { anomaly: ListAnomaly::Delayed(one.required("by", millis)?) },
        "list-again" => FaultKind::ListAnomaly { anomaly: ListAnomaly::Repeated },
        "list-back" => FaultKind::ListAnomaly { anomaly: ListAnomaly::Reverted },
        "list-lossy" => {
            let each = below("each", sizes.replicas)?;
            if each < 2 {
                return Err(one.error("each: a list without any server tells nothing; 2 or more"));
            }
            FaultKind::ListAnomaly { anomaly: ListAnomaly::Partial(each) }
        }
        "wrong-list" => {
            let (from, to) = range(sizes.replicas)?;
            FaultKind::WrongList { from, to }
        }
        "hand-over" => {
            let (from, to) = range(sizes.slices)?;
            FaultKind::SlicesReassigned { from, to }
        }
        "garbled" => FaultKind::GarbledRelay { share: figure("share")? },
        "hot-slice" => {
            FaultKind::HotSlice { slice: below("slice", sizes.slices)?, factor: figure("factor")? }
        }
        "burst" => FaultKind::Burst { factor: figure("factor")? },
        "place-cut" => FaultKind::ZonePartitioned { zone: below("place", sizes.zones)? },
        "relay-away" => FaultKind::RelayUnreachable,
        "relay-mute" => FaultKind::RelayUnresponsive,
        "discovery-away" => FaultKind::DiscoveryUnreachable,
        "governor-killed" => {
            FaultKind::ControllerKilled { controller: below("governor", sizes.controllers)? }
        }
        "herd" => FaultKind::ControllersKilled { controllers: below("governors", sizes.controllers)? },
        "slow-channel" => FaultKind::SlowChannel { rate_factor: figure("share")? },
        "proxies-leave" => FaultKind::ProxiesDisconnected { proxies: below("many", sizes.proxies + 1)? },
        _ => FaultKind::OutOfService { replica: replica()? },
    };
    let starts_after = one.required("begins", millis)?;
    Ok(Fault { starts_after, duration: one.required("lasts", millis)?, kind })
}

/// A span in seconds with a fraction, as days need: `12.5s`, or as people write spans.
fn millis(text: &str) -> Result<Span, String> {
    let fraction = text.strip_suffix('s').and_then(|seconds| seconds.parse::<f64>().ok());
    match fraction.filter(|seconds| (0.0..1e6).contains(seconds)) {
        Some(seconds) => Ok(Span::ms((seconds * 1000.0).round() as u64)),
        None => text::parse_duration(text).map_err(|error| error.to_string()),
    }
}

fn write_trouble(text: &mut String, Fault { starts_after, duration, kind }: &Fault) {
    let attributes = match kind {
        FaultKind::Crash { replica } => format!("kind=\"crash\" server=\"{replica}\""),
        FaultKind::Hang { replica } => format!("kind=\"hang\" server=\"{replica}\""),
        FaultKind::Silence { replica } => format!("kind=\"silence\" server=\"{replica}\""),
        FaultKind::Slow { replica, factor } => {
            format!("kind=\"slow\" server=\"{replica}\" factor=\"{factor}\"")
        }
        FaultKind::FastErrors { replica, share } => {
            format!("kind=\"fast-errors\" server=\"{replica}\" share=\"{share}\"")
        }
        FaultKind::Drain { replica } => format!("kind=\"drain\" server=\"{replica}\""),
        FaultKind::RollingRelease { from, to } => format!("kind=\"release\" from=\"{from}\" to=\"{to}\""),
        FaultKind::BatchReplacement { from, to } => format!("kind=\"replaced\" from=\"{from}\" to=\"{to}\""),
        FaultKind::ZoneLost { zone } => format!("kind=\"place-lost\" place=\"{zone}\""),
        FaultKind::ListAnomaly { anomaly } => match anomaly {
            ListAnomaly::Delayed(by) => format!("kind=\"list-late\" by=\"{}s\"", by.seconds()),
            ListAnomaly::Repeated => "kind=\"list-again\"".into(),
            ListAnomaly::Reverted => "kind=\"list-back\"".into(),
            ListAnomaly::Partial(each) => format!("kind=\"list-lossy\" each=\"{each}\""),
        },
        FaultKind::WrongList { from, to } => format!("kind=\"wrong-list\" from=\"{from}\" to=\"{to}\""),
        FaultKind::HotSlice { slice, factor } => {
            format!("kind=\"hot-slice\" slice=\"{slice}\" factor=\"{factor}\"")
        }
        FaultKind::Burst { factor } => format!("kind=\"burst\" factor=\"{factor}\""),
        FaultKind::ZonePartitioned { zone } => format!("kind=\"place-cut\" place=\"{zone}\""),
        FaultKind::RelayUnreachable => "kind=\"relay-away\"".into(),
        FaultKind::RelayUnresponsive => "kind=\"relay-mute\"".into(),
        FaultKind::DiscoveryUnreachable => "kind=\"discovery-away\"".into(),
        FaultKind::ControllerKilled { controller } => {
            format!("kind=\"governor-killed\" governor=\"{controller}\"")
        }
        FaultKind::ControllersKilled { controllers } => format!("kind=\"herd\" governors=\"{controllers}\""),
        FaultKind::SlowChannel { rate_factor } => format!("kind=\"slow-channel\" share=\"{rate_factor}\""),
        FaultKind::ProxiesDisconnected { proxies } => format!("kind=\"proxies-leave\" many=\"{proxies}\""),
        FaultKind::SlicesReassigned { from, to } => format!("kind=\"hand-over\" from=\"{from}\" to=\"{to}\""),
        FaultKind::GarbledRelay { share } => format!("kind=\"garbled\" share=\"{share}\""),
        FaultKind::OutOfService { replica } => format!("kind=\"out-of-service\" server=\"{replica}\""),
    };
    let (begins, lasts) = (starts_after.seconds(), duration.seconds());
    _ = writeln!(text, "    <trouble {attributes} begins=\"{begins}s\" lasts=\"{lasts}s\"/>");
}

impl Experiment {
    /// All plays, each of which depends on nothing but itself.
    pub fn plays(&self) -> Vec<Play> {
        let mut plays = Vec::new();
        for case in &self.cases {
            for value in &self.values {
                let sizes = self.with(*value);
                for seed in &self.seeds {
                    let troubles = match &case.troubles {
                        Troubles::Given(troubles) => troubles.clone(),
                        Troubles::Drawn(many) => random_faults(*seed, *many, &sizes),
                    };
                    plays.extend(self.ways.iter().map(|way| Play {
                        case: case.name.clone(),
                        value: *value,
                        way: *way,
                        seed: *seed,
                        sizes: sizes.clone(),
                        troubles: troubles.clone(),
                    }));
                }
            }
        }
        plays
    }

    fn with(&self, value: f64) -> ScenarioConfig {
        let mut sizes = self.sizes.clone();
        match self.varied {
            None => {}
            Some(Vary::Load) => sizes.load = value,
            Some(Vary::Proxies) => sizes.proxies = (value as usize).max(1),
            Some(Vary::Pace) => sizes.lines_per_second = value,
            Some(Vary::Controllers) => sizes.controllers = (value as usize).max(1),
        }
        sizes
    }

    pub fn varied_name(&self) -> &'static str {
        VARIED.iter().find(|(_, vary)| Some(*vary) == self.varied).map_or("", |(name, _)| name)
    }

    /// The file again, in one form: its hash names the experiment whatever its spaces.
    pub fn write(&self) -> String {
        let mut text = format!("<experiment name=\"{}\" version=\"{VERSION}\">\n", self.name);
        let ScenarioConfig { controllers, load, duration, replicas, slices, proxies, .. } = &self.sizes;
        let (size, lasts) = (if self.large { "large" } else { "small" }, text::format_duration(*duration));
        _ = writeln!(text, "  <world size=\"{size}\" governors=\"{controllers}\" load=\"{load}\" lasts=\"{lasts}\" servers=\"{replicas}\" slices=\"{slices}\" proxies=\"{proxies}\"/>");
        let (from, to) = (self.seeds.first().unwrap_or(&0), self.seeds.last().unwrap_or(&0));
        _ = writeln!(text, "  <seeds from=\"{from}\" to=\"{to}\"/>");
        for way in &self.ways {
            _ = writeln!(text, "  <way policy=\"{}\"/>", way_name(*way));
        }
        if self.varied.is_some() {
            let values: Vec<_> = self.values.iter().map(f64::to_string).collect();
            _ = writeln!(text, "  <vary what=\"{}\" values=\"{}\"/>", self.varied_name(), values.join(" "));
        }
        for Case { name, troubles } in &self.cases {
            match troubles {
                Troubles::Drawn(many) => _ = writeln!(text, "  <case name=\"{name}\" drawn=\"{many}\"/>"),
                Troubles::Given(troubles) => {
                    _ = writeln!(text, "  <case name=\"{name}\">");
                    troubles.iter().for_each(|trouble| write_trouble(&mut text, trouble));
                    text.push_str("  </case>\n");
                }
            }
        }
        text + "</experiment>\n"
    }

    pub fn hash(&self) -> u32 {
        crc32fast::hash(self.write().as_bytes())
    }
}
