//! Tests of the exact key names of the file that `PROXY_CONFIG` names, and of the environment variables. The fixture
//! has every key, each with a value other than its default. Errors name the key that is wrong.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use tracing::level_filters::LevelFilter;
use whinwall_controller::program::configuration::{
    load, ControllerConfig, LoggingConfig, ProcessEnvironment,
};
use whinwall_protocol::discovery::{Entry, List, State};

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn config_with_every_key() -> Value {
    serde_json::from_slice(&std::fs::read(fixture("config.json")).unwrap()).unwrap()
}

/// Returns an environment that names the files of the fixture.
fn environment() -> ProcessEnvironment {
    ProcessEnvironment {
        config_file: Some(fixture("config.json")),
        operators_file: Some(fixture("operators.xml")),
        ..ProcessEnvironment::default()
    }
}

/// Loads the files. Returns errors as the text that is shown to the operator.
fn load_config(environment: ProcessEnvironment) -> Result<ControllerConfig, String> {
    load(environment).map_err(|error| error.to_string())
}

/// Loads a configuration file with this content.
fn config_from(file: &Value) -> Result<ControllerConfig, String> {
    let temporary_file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(temporary_file.path(), file.to_string()).unwrap();
    load_config(ProcessEnvironment {
        config_file: Some(temporary_file.path().into()),
        ..ProcessEnvironment::default()
    })
}

/// Returns the error for a file with `value` at `pointer`.
fn error_with(pointer: &str, value: Value) -> String {
    let mut file = config_with_every_key();
    *file.pointer_mut(pointer).unwrap() = value;
    config_from(&file).unwrap_err()
}

/// Returns the file without `key` of the object at `pointer`.
fn without(pointer: &str, key: &str) -> Value {
    let mut file = config_with_every_key();
    file.pointer_mut(pointer).unwrap().as_object_mut().unwrap().remove(key).unwrap();
    file
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn every_key_of_the_file_is_read() {
    let config = load_config(environment()).unwrap();
    assert_eq!(config.name, "g0");
    assert_eq!(config.listen, address(7101));
    assert_eq!(config.targets.discovery, address(7102));
    assert_eq!(config.targets.relay, address(7103));
    assert_eq!(config.seed, 255);
    assert_eq!(config.cores, 2, "the lower of limits.cores and the maximum of the operators' file");
    assert_eq!(config.settings.request_classes, ["lookup"]);
    let entry = Entry {
        replica: "s-1".into(),
        zone: "a".into(),
        machine: "m".into(),
        state: State::Ready,
        weight: 2.5,
        started_ms: 7,
    };
    assert_eq!(config.known_endpoints, List { version: 41, is_complete: true, entries: vec![entry] });
}

#[test]
fn operators_file_is_loaded() {
    let config = load_config(environment()).unwrap();
    assert_eq!(config.operators.as_ref().and_then(|file| file.max_cores), Some(8));
    assert!(config.fleet.is_some());
}

#[test]
fn limits_of_sockets_and_memory_are_applied() {
    let without_cores = without("/limits", "cores");
    let config = config_from(&without_cores).unwrap();
    assert_eq!(config.line_memory_bytes, 64_000_000 / whinwall_transport::limits::LINE_MEMORY_DIVISOR);
    assert_eq!(config.max_connections, 500 - whinwall_transport::limits::RESERVED_DESCRIPTORS);
}

#[test]
fn missing_keys_have_defaults() {
    let config = config_from(&without("", "limits")).unwrap();
    assert_eq!(config.line_memory_bytes, 192_000_000 / whinwall_transport::limits::LINE_MEMORY_DIVISOR);
    assert_eq!(config.max_connections, 1024 - whinwall_transport::limits::RESERVED_DESCRIPTORS);
    assert_eq!(config_from(&without("", "known")).unwrap().known_endpoints, List::default());
    let seeds = [json!(255), json!("ff")].map(|seed| {
        let mut file = config_with_every_key();
        file["seed"] = seed;
        config_from(&file).unwrap().seed
    });
    assert_eq!(seeds, [255, 255]);
}

#[test]
fn environment_variables_take_precedence_over_the_file() {
    let config = load_config(ProcessEnvironment {
        name: Some("g1".into()),
        listen: Some("127.0.0.1:8101".into()),
        discovery: Some("127.0.0.1:8102".into()),
        ..environment()
    });
    let config = config.unwrap();
    assert_eq!(config.name, "g1");
    assert_eq!(config.listen, address(8101));
    assert_eq!(config.targets.discovery, address(8102));
}

#[test]
fn missing_required_key_is_named_in_the_error() {
    let missing = |pointer, key| config_from(&without(pointer, key)).unwrap_err();
    assert_eq!(missing("", "name"), "name is missing: set the key in the file or PROXY_NAME");
    assert_eq!(missing("", "listen"), "listen is missing: set the key in the file or PROXY_LISTEN");
    assert_eq!(missing("", "discovery"), "discovery is missing: set the key in the file or PROXY_DISCOVERY");
    assert_eq!(missing("", "distributor"), "missing field `distributor`");
    assert_eq!(missing("", "settings"), "missing field `settings`");
    assert_eq!(missing("/distributor", "address"), "distributor: missing field `address`");
}

#[test]
fn invalid_value_is_named_by_its_key_in_the_error() {
    let no_address = |key: &str| format!("{key}: invalid address \"x\": invalid socket address syntax");
    assert_eq!(error_with("/listen", json!("x")), no_address("listen"));
    assert_eq!(error_with("/discovery", json!("x")), no_address("discovery"));
    assert_eq!(error_with("/distributor/address", json!("x")), no_address("distributor.address"));
    let too_low = "limits.sockets: 0 is too low to accept connections, minimum 65";
    assert_eq!(error_with("/limits/sockets", json!(0)), too_low);
    let wrong_type = error_with("/limits/memory_mb", json!("x"));
    assert_eq!(wrong_type, "limits.memory_mb: invalid type: string \"x\", expected f64");
    let wrong_type = error_with("/limits/cores", json!("x"));
    assert_eq!(wrong_type, "limits.cores: invalid type: string \"x\", expected f64");
    assert_eq!(
        error_with("/seed", json!("x")),
        "seed: invalid hexadecimal number \"x\": invalid digit found in string"
    );
}

#[test]
fn unreadable_file_is_named_in_the_error() {
    let message = load_config(ProcessEnvironment::default()).unwrap_err();
    assert_eq!(message, "PROXY_CONFIG is not set; set it to the path of the configuration file");
    let message = load_config(ProcessEnvironment {
        config_file: Some("/absent/file".into()),
        ..ProcessEnvironment::default()
    });
    assert!(message.unwrap_err().starts_with("PROXY_CONFIG: /absent/file: "));
    let message =
        load_config(ProcessEnvironment { operators_file: Some("/absent/operators".into()), ..environment() });
    assert!(message.unwrap_err().starts_with("/absent/operators: "));
}

#[test]
fn changed_keys_that_need_a_restart_are_named() {
    let temporary_file = tempfile::NamedTempFile::new().unwrap();
    let mut file = config_with_every_key();
    std::fs::write(temporary_file.path(), file.to_string()).unwrap();
    let environment = ProcessEnvironment {
        config_file: Some(temporary_file.path().into()),
        ..ProcessEnvironment::default()
    };
    let mut config = load_config(environment).unwrap();
    file["name"] = json!("g1");
    file["listen"] = json!("127.0.0.1:9101");
    file["limits"]["sockets"] = json!(400);
    file["settings"]["membershipMode"] = json!("ask");
    std::fs::write(temporary_file.path(), file.to_string()).unwrap();
    assert_eq!(config.reload().unwrap(), ["name", "listen", "limits", "settings"]);
}

#[test]
fn invalid_log_variable_is_named_in_the_error() {
    let logging = |level: Option<&str>, lines: Option<&str>| {
        let (log_level, log_lines) = (level.map(str::to_string), lines.map(str::to_string));
        let environment = ProcessEnvironment { log_level, log_lines, ..ProcessEnvironment::default() };
        let values = |config: LoggingConfig| (config.level, config.lines_per_second);
        environment.logging().map(values).map_err(|error| error.to_string())
    };
    assert_eq!(logging(None, None), Ok((LevelFilter::INFO, 40)));
    assert_eq!(logging(Some("debug"), Some("7")), Ok((LevelFilter::DEBUG, 7)));
    let message = logging(Some("loud"), None).unwrap_err();
    assert_eq!(message, "WHINWALL_LOG: invalid log level \"loud\", expected error, warn, info or debug");
    let message = logging(None, Some("x")).unwrap_err();
    assert_eq!(message, "WHINWALL_LOG_LINES: invalid number \"x\": invalid digit found in string");
}

/// Environment variable that makes `process_environment_is_printed` print.
const PRINT_VARIABLE: &str = "TEST_SHOWS_ITS_ENVIRONMENT";

/// Prints the environment, but only in the process that the next test starts: all tests of this process share its
/// variables.
#[test]
fn process_environment_is_printed() {
    if std::env::var_os(PRINT_VARIABLE).is_some() {
        println!("{:?}", ProcessEnvironment::from_process());
    }
}

#[test]
fn environment_variables_are_read_by_their_names() {
    let output = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "process_environment_is_printed", "--nocapture"])
        .env_clear()
        .env(PRINT_VARIABLE, "1")
        .env("PROXY_NAME", "the-name")
        .env("PROXY_LISTEN", "the-listen")
        .env("PROXY_DISCOVERY", "the-discovery")
        .env("PROXY_CONFIG", "the-config")
        .env("WHINWALL_LOG", "the-level")
        .env("WHINWALL_LOG_LINES", "the-lines")
        .env("WHINWALL_OPERATORS", "the-operators")
        .output()
        .unwrap();
    let expected = ProcessEnvironment {
        name: Some("the-name".into()),
        listen: Some("the-listen".into()),
        discovery: Some("the-discovery".into()),
        config_file: Some("the-config".into()),
        log_level: Some("the-level".into()),
        log_lines: Some("the-lines".into()),
        operators_file: Some("the-operators".into()),
    };
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(printed.contains(&format!("{expected:?}")), "{printed}");
}
