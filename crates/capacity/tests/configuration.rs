//! Tests `flamingopost-capacity configuration` and `view` through the real program.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_flamingopost-capacity"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn json(arguments: &[&str]) -> serde_json::Value {
    let output = run(arguments);
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("one JSON object")
}

#[test]
fn configuration_size_grows_with_services() {
    let figures = json(&["configuration", "--sizes", "2,20", "--json"]);
    let bytes = |point: usize| figures["points"][point]["bytes"].as_f64().expect("bytes");
    assert!(bytes(1) > bytes(0) * 3.0);
    assert!(figures["bytes"]["each"].as_f64().expect("a slope") > 0.0);
}

#[test]
fn view_size_grows_with_services() {
    let figures = json(&["view", "--sizes", "2,20", "--json"]);
    let bytes = |point: usize| figures["points"][point]["bytes"].as_f64().expect("bytes");
    assert!(bytes(1) > bytes(0) * 5.0);
}

#[test]
fn invalid_size_lists_are_rejected() {
    for sizes in ["5", "5,5", "few,many"] {
        let output = run(&["view", "--sizes", sizes]);
        assert_eq!(output.status.code(), Some(2), "{sizes}: {output:?}");
    }
}
