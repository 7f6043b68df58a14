//! Reads an experiment from XML.

use super::attributes::{lookup_name, parse_number, parse_positive, AttributeError};
use super::fault_xml::parse_fault;
use super::names::{FleetSize, VariedParameter, FLEET_SIZES, POLICIES, VARIED_PARAMETERS};
use super::write::VERSION;
use super::{Case, CaseFaults, Experiment};
use std::convert::Infallible;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::policy::Policy;
use whinwall_operator_config::xml::{self, Element};
use whinwall_operator_config::ConfigError;
use whinwall_overrides::text;

/// The maximum number of runs of an experiment, and also the maximum number of its seeds, so that a typing error does
/// not cause days of computation.
const MAX_RUNS: usize = 100_000;
/// The maximum number of replicas, of slices, of proxies and of controllers.
const MAX_FLEET_COUNT: usize = 100_000;

/// The fleet of an experiment.
struct Fleet {
    config: ScenarioConfig,
    size: FleetSize,
}

/// The varied parameter of an experiment and its values.
struct Variation {
    parameter: Option<VariedParameter>,
    values: Vec<f64>,
}

/// Parses an experiment.
///
/// # Errors
/// Returns an error if the XML is malformed, or if an element or attribute is unknown, missing or out of range.
pub fn parse(text: &str) -> Result<Experiment, ConfigError> {
    let root = xml::parse(text)?;
    if root.name != "experiment" {
        return Err(root.error("the root element must be <experiment>"));
    }
    root.allow_only(&["name", "version"], &["world", "seeds", "way", "case", "vary"])?;
    root.required("version", check_version)?;
    let name = root.required("name", parse_name)?;
    let default_fleet = Fleet { config: ScenarioConfig::small(), size: FleetSize::Small };
    let Fleet { config, size } =
        root.optional_child("world")?.map(parse_fleet).transpose()?.unwrap_or(default_fleet);
    let seeds =
        root.optional_child("seeds")?.map(parse_seeds).transpose()?.unwrap_or_else(|| (1..=5).collect());
    let Variation { parameter: varied, values } = parse_variation(root.optional_child("vary")?)?;
    let policies = parse_policies(&root)?;
    let cases = parse_cases(&root, &config)?;
    let runs = cases.len() * policies.len() * seeds.len() * values.len();
    if runs > MAX_RUNS {
        return Err(root.error(format!("{runs} runs, at most {MAX_RUNS} allowed")));
    }
    Ok(Experiment { name, config, size, seeds, policies, cases, varied, values })
}

fn check_version(text: &str) -> Result<(), AttributeError> {
    if text == VERSION {
        return Ok(());
    }
    Err(AttributeError::UnsupportedVersion { text: text.to_string(), supported: VERSION })
}

fn parse_name(text: &str) -> Result<String, AttributeError> {
    let is_allowed = |character: char| character.is_ascii_alphanumeric() || character == '-';
    let is_valid = !text.is_empty() && text.chars().all(is_allowed);
    is_valid.then(|| text.to_string()).ok_or_else(|| AttributeError::InvalidName(text.to_string()))
}

fn parse_variation(element: Option<&Element>) -> Result<Variation, ConfigError> {
    let Some(element) = element else { return Ok(Variation { parameter: None, values: vec![0.0] }) };
    element.allow_only(&["what", "values"], &[])?;
    let parse_values =
        |text: &str| text.split_whitespace().map(parse_positive).collect::<Result<Vec<_>, _>>();
    let values = element.required("values", parse_values)?;
    if values.is_empty() {
        return Err(element.error("values: must contain at least one number"));
    }
    let parameter = element.required("what", |text| lookup_name(text, &VARIED_PARAMETERS))?;
    Ok(Variation { parameter: Some(parameter), values })
}

fn parse_policies(root: &Element) -> Result<Vec<Policy>, ConfigError> {
    let mut policies = Vec::new();
    for element in root.children.iter().filter(|child| child.name == "way") {
        element.allow_only(&["policy"], &[])?;
        policies.push(element.required("policy", |text| lookup_name(text, &POLICIES))?);
    }
    if policies.is_empty() {
        policies.push(Policy::Controlled);
    }
    Ok(policies)
}

fn parse_cases(root: &Element, config: &ScenarioConfig) -> Result<Vec<Case>, ConfigError> {
    let mut cases: Vec<Case> = Vec::new();
    for element in root.children.iter().filter(|child| child.name == "case") {
        let case = parse_case(element, config)?;
        if cases.iter().any(|earlier| earlier.name == case.name) {
            return Err(element.error(format!("name: duplicate case name {:?}", case.name)));
        }
        cases.push(case);
    }
    if cases.is_empty() {
        cases.push(Case { name: "calm".into(), faults: CaseFaults::Given(Vec::new()) });
    }
    Ok(cases)
}

fn parse_fleet(world: &Element) -> Result<Fleet, ConfigError> {
    world.allow_only(&["size", "governors", "load", "lasts", "servers", "slices", "proxies"], &[])?;
    let size = world.required("size", |text| lookup_name(text, &FLEET_SIZES))?;
    let mut config = match size {
        FleetSize::Small => ScenarioConfig::small(),
        FleetSize::Large => ScenarioConfig::large(),
    };
    config.controllers = world.optional("governors", parse_number)?.unwrap_or(config.controllers);
    config.load = world.optional("load", parse_positive)?.unwrap_or(config.load);
    config.duration = world.optional("lasts", text::parse_duration)?.unwrap_or(config.duration);
    config.replicas = world.optional("servers", parse_number)?.unwrap_or(config.replicas);
    config.slices = world.optional("slices", parse_number)?.unwrap_or(config.slices);
    config.proxies = world.optional("proxies", parse_number)?.unwrap_or(config.proxies);
    let ScenarioConfig { controllers, replicas, slices, proxies, .. } = config;
    let counts = [controllers, replicas, slices, proxies];
    if counts.iter().any(|count| *count == 0 || *count > MAX_FLEET_COUNT) {
        return Err(world.error(format!(
            "{controllers} governors, {replicas} servers, {slices} slices, {proxies} proxies: each must be between 1 and {MAX_FLEET_COUNT}"
        )));
    }
    Ok(Fleet { config, size })
}

fn parse_seeds(seeds: &Element) -> Result<Vec<u64>, ConfigError> {
    seeds.allow_only(&["from", "to"], &[])?;
    let (from, to) =
        (seeds.required("from", parse_number::<u64>)?, seeds.required("to", parse_number::<u64>)?);
    if to < from || to - from >= MAX_RUNS as u64 {
        return Err(seeds.error(format!(
            "to: {to} must not be less than from, which is {from}, and at most {MAX_RUNS} seeds are allowed"
        )));
    }
    Ok((from..=to).collect())
}

fn parse_case(case: &Element, config: &ScenarioConfig) -> Result<Case, ConfigError> {
    case.allow_only(&["name", "drawn"], &["trouble"])?;
    let name = case.required("name", |text| Ok::<_, Infallible>(text.to_string()))?;
    if let Some(count) = case.optional("drawn", parse_number)? {
        if !case.children.is_empty() {
            return Err(case.error("drawn: a case with this attribute must not have <trouble> elements"));
        }
        return Ok(Case { name, faults: CaseFaults::Random(count) });
    }
    let faults: Result<_, _> = case.children.iter().map(|fault| parse_fault(fault, config)).collect();
    Ok(Case { name, faults: CaseFaults::Given(faults?) })
}
