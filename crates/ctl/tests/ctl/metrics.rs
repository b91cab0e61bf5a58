//! `flamingopostctl metrics`: what a host has rejected, and its teams and connections.

use serde_json::json;

use crate::fake_host::{Answer, FakeHost};
use crate::workdir::Workdir;

const METRICS: &str = r#"# TYPE flamingopost_rejections_total counter
flamingopost_rejections_total{reason="no_primary",service="ledger",contact="majority"} 3
flamingopost_rejections_total{reason="team_limit",service="ledger",team="team \"A\", 1",contact="minority"} 41

flamingopost_team_operations_total{team="team \"A\", 1",outcome="admitted"} 100
flamingopost_team_operations_total{team="team \"A\", 1",outcome="over_limit"} 41
flamingopost_team_grant_seconds_bucket{team="team \"A\", 1",le="+Inf"} 141
flamingopost_team_grant_seconds_sum{team="team \"A\", 1"} 0.282
flamingopost_team_grant_seconds_count{team="team \"A\", 1"} 141
flamingopost_statements_total{database="bids",outcome="primary"} 97
flamingopost_server_connections_total{service="ledger"} 12
flamingopost_store_restores_total 1
"#;

/// Guards against rejections that operators do not see: log lines are suppressed under load.
#[test]
fn the_metrics_of_a_host_are_shown_in_tables() {
    let fake = FakeHost::new(&[Answer::Text(METRICS)]);
    let address = fake.address.to_string();
    let run = Workdir::new().run(&["metrics", "--metrics", &address]);
    assert_eq!(run.code, 0, "{run:?}");
    let lines: Vec<Vec<&str>> = run
        .out
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    for line in [
        &["no_primary", "ledger", "-", "majority", "3"][..],
        &[
            "team_limit",
            "ledger",
            "team",
            "\"A\",",
            "1",
            "minority",
            "41",
        ],
        &["team", "\"A\",", "1", "100", "41", "2.0"],
        &["bids", "primary", "97"],
        &["ledger", "12"],
    ] {
        assert!(lines.contains(&line.to_vec()), "{line:?} in {}", run.out);
    }
    assert_eq!(fake.requests()[0].method_and_uri, "GET /metrics");
}

/// Guards against a report for scripts whose fields change, and whose most frequent rejection is not
/// the first.
#[test]
fn the_metrics_of_a_host_are_printed_as_json() {
    let fake = FakeHost::new(&[Answer::Text(METRICS)]);
    let address = fake.address.to_string();
    let run = Workdir::new().run(&["metrics", "--metrics", &address, "--json"]);
    let report = run.json();
    assert_eq!(
        report["rejections"],
        json!([
            {"reason": "team_limit", "service": "ledger", "team": "team \"A\", 1",
             "contact": "minority", "count": 41},
            {"reason": "no_primary", "service": "ledger", "team": "", "contact": "majority",
             "count": 3},
        ])
    );
    assert_eq!(report["teams"][0]["over_limit"], 41);
    assert_eq!(
        report["connections"],
        json!([{"service": "ledger", "opened": 12}])
    );
}

/// Guards against an empty report from an address that serves something else.
#[test]
fn an_answer_without_metrics_fails() {
    for answer in [Answer::Text("<html>\n"), Answer::Respond(404, json!(null))] {
        let fake = FakeHost::new(&[answer]);
        let address = fake.address.to_string();
        let run = Workdir::new().run(&["metrics", "--metrics", &address]);
        assert_eq!(run.code, 1, "{run:?}");
        assert!(run.out.is_empty() && run.err.contains(&address), "{run:?}");
    }
}
