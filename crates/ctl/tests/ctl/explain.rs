//! `flamingopostctl explain`: the treatment of a statement, by a file and by an entry host.

use serde_json::json;

use crate::fake_host::{Answer, FakeHost};
use crate::workdir::{TESFA, Workdir};

const SQL: &str = "SELECT * FROM lots";

/// Arguments that explain `sql` of `caller` as JSON.
fn args<'a>(caller: &'a str, sql: &'a str) -> Vec<&'a str> {
    vec![
        "explain",
        "--service",
        "auction-ledger",
        "--caller",
        caller,
        "--json",
        sql,
    ]
}

/// The same arguments, with a configuration file.
fn by_file<'a>(caller: &'a str, sql: &'a str) -> Vec<&'a str> {
    [args(caller, sql), vec!["--file", "fleet.ini"]].concat()
}

#[test]
fn a_file_shows_which_rule_applies() {
    let workdir = Workdir::new();
    workdir.file("fleet.ini", TESFA);
    let view = workdir.run(&by_file("member", SQL)).json();
    assert_eq!(view["rule"]["name"], "lot-views");
    assert_eq!(view["treatment"]["target"], "replica");
    assert_eq!(view["treatment"]["max_age_ms"], 500);
    assert_eq!(view["route"], json!(null));

    let marked = "/* flamingopost: deadline_ms=50 */ INSERT INTO bids VALUES (1)";
    let bid = workdir.run(&by_file("member", marked)).json();
    assert_eq!(bid["rule"]["name"], "bids");
    assert_eq!(bid["treatment"]["repeatable"], false);
    assert_eq!(bid["treatment"]["deadline_ms"], 50);

    let none = workdir
        .run(&by_file("yard-clerk", "DELETE FROM lots"))
        .json();
    assert_eq!(none["rule"], json!(null));
    assert_eq!(none["treatment"]["class"], "other");
}

#[test]
fn without_json_the_output_is_a_table() {
    let workdir = Workdir::new();
    workdir.file("fleet.ini", TESFA);
    let args = [
        "explain",
        "--file",
        "fleet.ini",
        "--service",
        "auction-ledger",
        "--caller",
        "buyer",
    ];
    let run = workdir.run(&[&args[..], &["UPDATE lots SET price = 1"]].concat());
    assert_eq!(run.code, 0);
    assert!(run.out.contains("buyers-only-read (line "), "{}", run.out);
    assert!(
        run.out
            .contains("buyers only read; bids are placed by members")
    );
}

#[test]
fn an_unknown_caller_fails() {
    let workdir = Workdir::new();
    workdir.file("fleet.ini", TESFA);
    assert_eq!(workdir.run(&by_file("nobody", SQL)).code, 1);
}

#[test]
fn an_entry_host_reports_where_the_statement_would_go() {
    let workdir = Workdir::new();
    workdir.file("fleet.ini", TESFA);
    let mut explanation = workdir.run(&by_file("member", SQL)).json();
    explanation["route"] = json!({"type": "go", "server": "auction-ledger-2", "part": "replica"});
    let fake = FakeHost::new(&[Answer::Respond(200, explanation.clone())]);
    let run = workdir.run_at(fake.address, &args("member", SQL));
    assert_eq!(run.json(), explanation);
    assert_eq!(
        fake.requests()[0].method_and_uri,
        "GET /v1/explain?service=auction-ledger&caller=member&sql=SELECT+*+FROM+lots"
    );
}
