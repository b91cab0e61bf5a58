//! Tests `flamingopost-capacity model` through the real program.

use std::fs;
use std::process::{Command, Output};

/// Path of the plan for the target size.
const TARGET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/target.ini");

fn model(plan: &str) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("plan.ini");
    fs::write(&file, plan).expect("the plan is written");
    Command::new(env!("CARGO_BIN_EXE_flamingopost-capacity"))
        .args(["model", "--json"])
        .arg(file)
        .output()
        .expect("the program starts")
}

fn cost(output: &Output, role: &str, what: &str) -> f64 {
    let figures: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let costs = figures["costs"].as_array().expect("costs");
    let found = costs
        .iter()
        .find(|cost| cost["role"] == role && cost["what"] == what);
    found.expect("the cost")["cost"].as_f64().expect("a number")
}

#[test]
fn doubling_the_hosts_nearly_doubles_table_reads() {
    let plan = fs::read_to_string(TARGET).expect("the example");
    let once = model(&plan);
    let twice = model(&plan.replace("nodes = 480", "nodes = 960"));
    let reads = |output| cost(output, "table service", "reads");
    assert!(reads(&twice) > reads(&once) * 1.5);
    assert!(reads(&twice) < reads(&once) * 2.0);
}

#[test]
fn error_names_a_missing_slope() {
    let plan = fs::read_to_string(TARGET).expect("the example");
    let output = model(&plan.replace("renewal_interval_s", "renewal_intervall_s"));
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("[slope] renewal_interval_s"), "{error}");
}
