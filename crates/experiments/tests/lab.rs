//! Experiments from their file to their table, runs that are broken off, pairs, the worst day and its
//! time-line.

use std::path::Path;
use std::process::{Command, Output};
use whinwall_experiments::experiment;
use whinwall_experiments::figures::{mean, pairs};
use whinwall_experiments::results::{append, read, Row};

const SMALL: &str = r#"<experiment name="small" version="1">
  <world size="small" lasts="15s" load="0.4"/>
  <seeds from="1" to="3"/>
  <way policy="governed"/>
  <way policy="hands-off"/>
  <case name="crash"><trouble kind="crash" server="3" begins="6s" lasts="5.5s"/></case>
  <case name="drawn" drawn="2"/>
</experiment>"#;

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_whinwall-experiments")).args(arguments).output().unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&[output.stdout.clone(), output.stderr.clone()].concat()).into_owned()
}

fn path(folder: &Path, name: &str) -> String {
    folder.join(name).to_str().unwrap().to_string()
}

fn row(seed: i64, service: f64) -> Row {
    Row {
        experiment: "e".into(),
        commit: "c".into(),
        case: "k".into(),
        way: "governed".into(),
        value: 0.0,
        seed,
        service,
        requests: 7,
        acked: 6,
        late: 1,
        rejected: 1,
        failed: 0,
        orders: 9,
        verdicts: 0,
        most_lines: 3.5,
        broken: 0,
    }
}

#[test]
fn a_file_is_read_and_written_again_the_same_and_errors_name_the_zone() {
    let experiment = experiment::read(SMALL).unwrap();
    assert_eq!(experiment.plays().len(), 2 * 2 * 3);
    let again = experiment::read(&experiment.write()).unwrap();
    assert_eq!((again.write(), again.hash()), (experiment.write(), experiment.hash()));
    assert_eq!(again.cases, experiment.cases);
    let drawn = whinwall_emulator::random_faults::random_faults(9, 40, &experiment.sizes);
    let all = experiment::Experiment {
        cases: vec![experiment::Case { name: "all".into(), troubles: experiment::Troubles::Given(drawn) }],
        ..experiment.clone()
    };
    assert_eq!(experiment::read(&all.write()).unwrap().cases, all.cases, "each kind survives its file");
    for (from, to, expected) in [
        ("kind=\"crash\"", "kind=\"crush\"", "line 6, column 22: <trouble>: kind: \"crush\" is none of"),
        ("server=\"3\"", "server=\"12\"", "12 is not below 12"),
        ("server=\"3\"", "slice=\"3\"", "no attribute \"slice\""),
        ("governed", "guided", "line 4, column 3: <way>"),
        ("from=\"1\" to=\"3\"", "from=\"3\" to=\"1\"", "<seeds>"),
        ("drawn=\"2\"/>", "drawn=\"2\"><trouble/></case>", "either drawn or given"),
        ("name=\"drawn\"", "name=\"crash\"", "twice"),
        ("5.5s", "soon", "lasts"),
    ] {
        let wrong = experiment::read(&SMALL.replace(from, to)).unwrap_err().to_string();
        assert!(wrong.contains(expected), "{wrong:?} lacks {expected:?}");
    }
}

#[test]
fn rows_come_back_as_they_were_and_a_draft_is_none() {
    let folder = tempfile::tempdir().unwrap();
    let rows: Vec<_> = (0..100).map(|n| row(n, n as f64 / 100.0)).collect();
    append(folder.path(), &rows[..60]).unwrap();
    append(folder.path(), &rows[60..]).unwrap();
    std::fs::write(folder.path().join("part-00002.draft"), "half a file").unwrap();
    assert_eq!(read(folder.path()).unwrap(), rows);
    std::fs::write(folder.path().join("part-00002.parquet"), "no file").unwrap();
    assert!(read(folder.path()).unwrap_err().contains("part-00002.parquet"));
}

/// Three values with a mean of 2 and a deviation of 1: Student's quantile for two is 4.303.
#[test]
fn means_have_their_interval_and_pairs_their_verdict() {
    let three = mean(&[1.0, 2.0, 3.0]).unwrap();
    assert!((three.within - 4.303 / 3f64.sqrt()).abs() < 1e-3 && three.mean == 2.0 && three.least == 1.0);
    assert!(mean(&[5.0]).unwrap().within.is_infinite() && mean(&[]).is_none());
    let noise = |seed: i64| 0.01 * ((seed * 7) % 5) as f64;
    let before: Vec<_> = (0..10).map(|seed| row(seed, 0.5 + noise(seed))).collect();
    let better: Vec<_> =
        (0..9).map(|seed| row(seed, 0.6 + noise(seed) + 0.001 * (seed % 2) as f64)).collect();
    let (paired, alone) = pairs(&before, &better);
    assert!(alone == 1 && paired[0].stands_out() && paired[0].difference.many == 9);
    let same: Vec<_> =
        (0..10).map(|seed| row(seed, 0.5 + noise(seed) + 0.01 * (seed % 2 * 2 - 1) as f64)).collect();
    assert!(!pairs(&before, &same).0[0].stands_out());
}

#[test]
fn an_experiment_runs_goes_on_where_it_was_and_makes_its_report() {
    let folder = tempfile::tempdir().unwrap();
    let (file, out) = (path(folder.path(), "e.xml"), path(folder.path(), "rows"));
    std::fs::write(&file, SMALL).unwrap();
    let first = lab(&["run", &file, "--out", &out, "--commit", "abc"]);
    assert!(first.status.success() && said(&first).contains("12 days played"), "{}", said(&first));
    let rows = read(Path::new(&out)).unwrap();
    assert_eq!(rows.len(), 12);
    // Half of it is lost: only that is played again, and it comes to the same.
    std::fs::remove_dir_all(&out).unwrap();
    append(Path::new(&out), &rows[..5]).unwrap();
    let again = lab(&["run", &file, "--out", &out, "--commit", "abc"]);
    assert!(said(&again).contains("7 days played, 5 were there already"), "{}", said(&again));
    let sorted = |mut rows: Vec<Row>| {
        rows.sort_by_key(Row::key);
        rows
    };
    assert_eq!(sorted(read(Path::new(&out)).unwrap()), sorted(rows));
    let other = lab(&["run", &file, "--out", &out, "--commit", "def"]);
    assert!(other.status.code() == Some(2) && said(&other).contains("of abc, not"), "{}", said(&other));
    let report = lab(&["report", &file, "--results", &out, "--out", &out]);
    assert!(report.status.success() && said(&report).contains("| crash |"), "{}", said(&report));
    let text = std::fs::read_to_string(Path::new(&out).join("report.md")).unwrap();
    assert!(text.contains("![service.svg]"));
    assert!(std::fs::read_to_string(Path::new(&out).join("service.svg")).unwrap().contains("governed"));
    let same = lab(&["compare", &out, &out]);
    assert!(same.status.success() && said(&same).contains("within the spread"), "{}", said(&same));
    // Another build, played from the same file: this one, for want of one.
    let both = path(folder.path(), "both");
    let against =
        lab(&["against", &file, "--other", env!("CARGO_BIN_EXE_whinwall-experiments"), "--out", &both]);
    assert!(against.status.success() && said(&against).contains("0.000 ± 0.000"), "{}", said(&against));
    assert_eq!(lab(&["against", &file, "--other", "/nowhere", "--out", &both]).status.code(), Some(2));
}

#[test]
fn the_worst_day_is_shrunk_and_explained() {
    let folder = tempfile::tempdir().unwrap();
    let (file, out) = (path(folder.path(), "e.xml"), path(folder.path(), "worst.xml"));
    std::fs::write(&file, SMALL.replace("0.4", "0.7")).unwrap();
    let found = lab(&["worst", &file, "--days", "12", "--many", "4", "--out", &out]);
    assert!(said(&found).contains("the least that shows it"), "{}", said(&found));
    let shown = experiment::read(&std::fs::read_to_string(&out).unwrap()).unwrap();
    let experiment::Troubles::Given(troubles) = &shown.cases[0].troubles else { panic!("given ones") };
    assert!((1..=4).contains(&troubles.len()));
    // It says the same when it is played from its file.
    let told = lab(&["explain", &out, "--server", "3"]);
    let service =
        |text: &str| text.split("service ").last().unwrap().split([',', '\n']).next().unwrap().to_string();
    let least = said(&found);
    assert_eq!(service(said(&told).lines().next().unwrap()), service(least.trim_end()));
    assert!(said(&told).contains("trouble begins") && said(&told).contains("tries, "), "{}", said(&told));
    assert!(said(&lab(&["explain", &out, "--slice", "7"])).contains("came, "));
    assert_eq!(lab(&["explain", &out]).status.code(), Some(2));
}
