//! Tests of experiment files, result files and statistics, and of the program's subcommands.

use std::path::Path;
use std::process::{Command, Output};
use whinwall_experiments::experiment;
use whinwall_experiments::results::{append, read, ResultRow};
use whinwall_experiments::statistics::{compare, mean, Comparison};

const SMALL_EXPERIMENT: &str = r#"<experiment name="small" version="1">
  <world size="small" lasts="15s" load="0.4"/>
  <seeds from="1" to="3"/>
  <way policy="governed"/>
  <way policy="hands-off"/>
  <case name="crash"><trouble kind="crash" server="3" begins="6s" lasts="5.5s"/></case>
  <case name="drawn" drawn="2"/>
</experiment>"#;

fn run_program(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_whinwall-experiments")).args(arguments).output().unwrap()
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&[output.stdout.clone(), output.stderr.clone()].concat()).into_owned()
}

fn path(folder: &Path, name: &str) -> String {
    folder.join(name).to_str().unwrap().to_string()
}

fn row(seed: i64, service_level: f64) -> ResultRow {
    ResultRow {
        experiment: "e".into(),
        commit: "c".into(),
        case: "k".into(),
        policy: "governed".into(),
        value: 0.0,
        seed,
        service_level,
        requests: 7,
        succeeded: 6,
        late: 1,
        rejected: 1,
        failed: 0,
        commands: 9,
        ejections: 0,
        peak_queued_lines: 3.5,
        violations: 0,
    }
}

#[test]
fn experiment_round_trips_through_xml_and_errors_name_the_position() {
    let experiment = experiment::parse(SMALL_EXPERIMENT).unwrap();
    assert_eq!(experiment.runs().len(), 2 * 2 * 3);
    let again = experiment::parse(&experiment.to_xml()).unwrap();
    assert_eq!((again.to_xml(), again.hash()), (experiment.to_xml(), experiment.hash()));
    assert_eq!(again.cases, experiment.cases);
    let drawn = whinwall_emulator::random_faults::random_faults(9, 40, &experiment.config);
    let all = experiment::Experiment {
        cases: vec![experiment::Case { name: "all".into(), faults: experiment::CaseFaults::Given(drawn) }],
        ..experiment.clone()
    };
    assert_eq!(
        experiment::parse(&all.to_xml()).unwrap().cases,
        all.cases,
        "the 40 random faults round-trip through XML"
    );
    for (from, to, expected) in [
        (
            "kind=\"crash\"",
            "kind=\"crush\"",
            "line 6, column 22: <trouble>: kind: unknown name \"crush\", expected one of",
        ),
        ("server=\"3\"", "server=\"12\"", "12 is out of range: must be less than 12"),
        ("server=\"3\"", "slice=\"3\"", "unknown attribute \"slice\""),
        ("governed", "guided", "line 4, column 3: <way>"),
        (
            "from=\"1\" to=\"3\"",
            "from=\"3\" to=\"1\"",
            "<seeds>: to: 1 must not be less than from, which is 3",
        ),
        (
            "drawn=\"2\"/>",
            "drawn=\"2\"><trouble/></case>",
            "drawn: a case with this attribute must not have <trouble> elements",
        ),
        ("name=\"drawn\"", "name=\"crash\"", "duplicate case name \"crash\""),
        (
            "name=\"small\"",
            "name=\"a b\"",
            "invalid name \"a b\", expected one or more letters, digits and dashes",
        ),
        ("load=\"0.4\"", "servers=\"0\"", "0 servers, 60 slices"),
        ("load=\"0.4\"", "proxies=\"100001\"", "100001 proxies: each must be between 1 and 100000"),
        (
            "kind=\"crash\" server=\"3\"",
            "kind=\"release\" from=\"3\" to=\"3\"",
            "to: 3 must be greater than from, which is 3",
        ),
        (
            "kind=\"crash\" server=\"3\"",
            "kind=\"list-lossy\" each=\"1\"",
            "each: 1 is out of range: must be at least 2",
        ),
        ("5.5s", "soon", "lasts"),
    ] {
        let error = experiment::parse(&SMALL_EXPERIMENT.replace(from, to)).unwrap_err().to_string();
        assert!(error.contains(expected), "{error:?} does not contain {expected:?}");
    }
}

/// The attributes of each kind of fault, besides `begins` and `lasts`.
const FAULT_ATTRIBUTES: [&str; 27] = [
    r#"kind="crash" server="3""#,
    r#"kind="hang" server="3""#,
    r#"kind="silence" server="3""#,
    r#"kind="slow" server="3" factor="2.5""#,
    r#"kind="fast-errors" server="3" share="0.4""#,
    r#"kind="drain" server="3""#,
    r#"kind="release" from="3" to="5""#,
    r#"kind="replaced" from="3" to="5""#,
    r#"kind="place-lost" place="1""#,
    r#"kind="wrong-list" from="3" to="5""#,
    r#"kind="list-late" by="0.2s""#,
    r#"kind="list-again""#,
    r#"kind="list-back""#,
    r#"kind="list-lossy" each="2""#,
    r#"kind="hot-slice" slice="3" factor="2.5""#,
    r#"kind="burst" factor="2.5""#,
    r#"kind="place-cut" place="1""#,
    r#"kind="relay-away""#,
    r#"kind="relay-mute""#,
    r#"kind="discovery-away""#,
    r#"kind="governor-killed" governor="1""#,
    r#"kind="herd" governors="2""#,
    r#"kind="slow-channel" share="0.4""#,
    r#"kind="proxies-leave" many="2""#,
    r#"kind="hand-over" from="3" to="5""#,
    r#"kind="garbled" share="0.4""#,
    r#"kind="out-of-service" server="3""#,
];

#[test]
fn every_kind_of_fault_is_written_as_it_was_read() {
    for attributes in FAULT_ATTRIBUTES {
        let fault = format!("<trouble {attributes} begins=\"6s\" lasts=\"5.5s\"/>");
        let text = SMALL_EXPERIMENT
            .replace("<trouble kind=\"crash\" server=\"3\" begins=\"6s\" lasts=\"5.5s\"/>", &fault)
            .replace("size=\"small\"", "size=\"small\" governors=\"3\"");
        let experiment = experiment::parse(&text).unwrap();
        assert!(experiment.to_xml().contains(&fault), "{fault} is missing in {}", experiment.to_xml());
        let again = experiment::parse(&experiment.to_xml()).unwrap();
        assert_eq!(again.cases, experiment.cases, "{fault}");
    }
}

#[test]
fn rows_are_read_as_written_and_draft_files_are_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let rows: Vec<_> = (0..100).map(|n| row(n, n as f64 / 100.0)).collect();
    append(folder.path(), &rows[..60]).unwrap();
    append(folder.path(), &rows[60..]).unwrap();
    std::fs::write(folder.path().join("part-00002.draft"), "half a file").unwrap();
    assert_eq!(read(folder.path()).unwrap(), rows);
    std::fs::write(folder.path().join("part-00002.parquet"), "no file").unwrap();
    assert!(read(folder.path()).unwrap_err().to_string().contains("part-00002.parquet"));
}

/// The three values have a mean of 2 and a standard deviation of 1. Student's 97.5% quantile for two degrees of freedom
/// is 4.303.
#[test]
fn confidence_interval_uses_student_quantile_and_noise_is_not_significant() {
    let estimate = mean(&[1.0, 2.0, 3.0]).unwrap();
    assert!(
        (estimate.half_width - 4.303 / 3f64.sqrt()).abs() < 1e-3
            && estimate.mean == 2.0
            && estimate.min == 1.0
    );
    assert!(mean(&[5.0]).unwrap().half_width.is_infinite() && mean(&[]).is_none());
    let noise = |seed: i64| 0.01 * ((seed * 7) % 5) as f64;
    let before: Vec<_> = (0..10).map(|seed| row(seed, 0.5 + noise(seed))).collect();
    let better: Vec<_> =
        (0..9).map(|seed| row(seed, 0.6 + noise(seed) + 0.001 * (seed % 2) as f64)).collect();
    let Comparison { differences, unpaired_runs } = compare(&before, &better);
    assert!(unpaired_runs == 1 && differences[0].is_significant() && differences[0].difference.count == 9);
    let unchanged_on_average: Vec<_> =
        (0..10).map(|seed| row(seed, 0.5 + noise(seed) + 0.01 * (seed % 2 * 2 - 1) as f64)).collect();
    assert!(!compare(&before, &unchanged_on_average).differences[0].is_significant());
}

#[test]
fn experiment_is_run_resumed_reported_and_compared() {
    let folder = tempfile::tempdir().unwrap();
    let (file, out) = (path(folder.path(), "e.xml"), path(folder.path(), "rows"));
    std::fs::write(&file, SMALL_EXPERIMENT).unwrap();
    let first = run_program(&["run", &file, "--out", &out, "--commit", "abc"]);
    assert!(
        first.status.success() && output_text(&first).contains("12 runs completed"),
        "{}",
        output_text(&first)
    );
    let rows = read(Path::new(&out)).unwrap();
    assert_eq!(rows.len(), 12);
    // If a part of the rows is lost, only the missing runs are repeated, with the same results.
    std::fs::remove_dir_all(&out).unwrap();
    append(Path::new(&out), &rows[..5]).unwrap();
    let again = run_program(&["run", &file, "--out", &out, "--commit", "abc"]);
    assert!(output_text(&again).contains("7 runs completed, 5 already present"), "{}", output_text(&again));
    let sorted = |mut rows: Vec<ResultRow>| {
        rows.sort_by_key(ResultRow::key);
        rows
    };
    assert_eq!(sorted(read(Path::new(&out)).unwrap()), sorted(rows));
    let other = run_program(&["run", &file, "--out", &out, "--commit", "def"]);
    assert!(
        other.status.code() == Some(2) && output_text(&other).contains("at commit abc, expected experiment"),
        "{}",
        output_text(&other)
    );
    let report = run_program(&["report", &file, "--results", &out, "--out", &out]);
    assert!(
        report.status.success() && output_text(&report).contains("| crash |"),
        "{}",
        output_text(&report)
    );
    let text = std::fs::read_to_string(Path::new(&out).join("report.md")).unwrap();
    assert!(text.contains("![service.svg]"));
    assert!(std::fs::read_to_string(Path::new(&out).join("service.svg")).unwrap().contains("governed"));
    let same = run_program(&["compare", &out, &out]);
    assert!(
        same.status.success() && output_text(&same).contains("not significant"),
        "{}",
        output_text(&same)
    );
    // This build is also used as the other build, so that all differences are 0.
    let both = path(folder.path(), "both");
    let against = run_program(&[
        "against",
        &file,
        "--other",
        env!("CARGO_BIN_EXE_whinwall-experiments"),
        "--out",
        &both,
    ]);
    assert!(
        against.status.success() && output_text(&against).contains("0.000 ± 0.000"),
        "{}",
        output_text(&against)
    );
    assert_eq!(
        run_program(&["against", &file, "--other", "/nowhere", "--out", &both]).status.code(),
        Some(2)
    );
}

#[test]
fn worst_scenario_is_shrunk_and_explained() {
    let folder = tempfile::tempdir().unwrap();
    let (file, out) = (path(folder.path(), "e.xml"), path(folder.path(), "worst.xml"));
    std::fs::write(&file, SMALL_EXPERIMENT.replace("0.4", "0.7")).unwrap();
    let found = run_program(&["worst", &file, "--days", "12", "--many", "4", "--out", &out]);
    assert!(output_text(&found).contains("smallest scenario that reproduces it"), "{}", output_text(&found));
    let reproduction = experiment::parse(&std::fs::read_to_string(&out).unwrap()).unwrap();
    let experiment::CaseFaults::Given(faults) = &reproduction.cases[0].faults else {
        panic!("the faults must be listed")
    };
    assert!((1..=4).contains(&faults.len()));
    // The written scenario gives the same result when it is run from its file.
    let explained = run_program(&["explain", &out, "--server", "3"]);
    let service =
        |text: &str| text.split("service ").last().unwrap().split([',', '\n']).next().unwrap().to_string();
    let worst_output = output_text(&found);
    assert_eq!(service(output_text(&explained).lines().next().unwrap()), service(worst_output.trim_end()));
    assert!(
        output_text(&explained).contains("fault starts") && output_text(&explained).contains("attempts, "),
        "{}",
        output_text(&explained)
    );
    assert!(output_text(&run_program(&["explain", &out, "--slice", "7"])).contains("requests, "));
    assert_eq!(run_program(&["explain", &out]).status.code(), Some(2));
    let no_match = run_program(&["explain", &out, "--seed", "999", "--server", "3"]);
    assert!(
        no_match.status.code() == Some(2)
            && output_text(&no_match).contains("no run with policy governed has case (any) and seed 999"),
        "{}",
        output_text(&no_match)
    );
}
