//! `flamingopostctl check`: validation of a configuration file.

use crate::workdir::{TESFA, Workdir};

#[test]
fn a_valid_file_prints_a_summary() {
    let run = Workdir::new()
        .file("fleet.ini", TESFA)
        .run(&["check", "fleet.ini"]);
    assert_eq!(run.code, 0);
    assert_eq!(
        run.out,
        "fleet.ini: valid, 3 services, 9 servers, 4 callers, 8 rules\n"
    );
}

#[test]
fn every_problem_is_reported_with_its_fix() {
    let bad = TESFA
        .replace("zone = akaki-hall", "zone = akaki")
        .replace("then.max_age = 500ms", "then.max_age = 500");
    let workdir = Workdir::new();
    let run = workdir.file("fleet.ini", &bad).run(&["check", "fleet.ini"]);
    assert_eq!(run.code, 3);
    assert!(run.out.is_empty());
    let lines: Vec<&str> = run.err.lines().collect();
    assert_eq!(lines.len(), 4, "{}", run.err);
    assert!(lines[0].ends_with("write `akaki-hall`, the nearest zone there is"));
    assert!(lines[2].contains("write a time with its unit"));

    let json = workdir.run(&["check", "--json", "fleet.ini"]);
    assert_eq!(json.code, 3);
    let report = json.json();
    assert_eq!(report["error"], "invalid");
    assert_eq!(report["problems"].as_array().map(Vec::len), Some(3));
    assert_eq!(report["problems"][0]["file"], "fleet.ini");
}

#[test]
fn a_missing_file_fails() {
    let run = Workdir::new().run(&["check", "none.ini"]);
    assert_eq!(run.code, 1);
    assert!(run.err.starts_with("flamingopostctl: none.ini: "));
}
