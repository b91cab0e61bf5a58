//! `flamingopostctl drain`: draining hosts and servers, and undoing it.

use serde_json::{Value, json};

use crate::fake_host::{Answer, FakeHost};
use crate::workdir::Workdir;

/// Returns a fleet status with one host and one server.
fn status(host: &str, server: &str) -> Answer {
    let server = json!({"server": server, "zone": "z", "role": null, "position": null,
                        "age_ms": null, "leaving": []});
    let service = json!({"service": "s", "shard": 0, "term": "1.0", "primary": null,
                         "state": "open", "servers": [server], "lost": []});
    let host = json!({"host": host, "zone": "z", "incarnation": 1, "config": 1, "state": "live",
                      "lease_left_ms": 1, "connections": 1});
    Answer::Respond(
        200,
        json!({"hosts": [host], "services": [service], "controllers": []}),
    )
}

/// Returns the answer to an order that was carried out.
fn done() -> Answer {
    Answer::Respond(200, Value::Null)
}

#[test]
fn the_kind_of_a_name_is_looked_up_in_the_status() {
    let workdir = Workdir::new();
    for (name, body) in [
        ("ledger-1", json!({"server": "ledger-1"})),
        ("entry-1", json!({"host": "entry-1"})),
    ] {
        let fake = FakeHost::new(&[status("entry-1", "ledger-1"), done()]);
        let run = workdir.run_at(fake.address, &["drain", name]);
        assert_eq!(
            (run.code, run.out),
            (0, format!("{name} receives no new work\n"))
        );
        let order = &fake.requests()[1];
        assert_eq!(
            (order.method_and_uri.as_str(), &order.body),
            ("POST /v1/drain", &body)
        );
    }
}

#[test]
fn an_unknown_or_ambiguous_name_sends_no_order() {
    let workdir = Workdir::new();
    let unknown = FakeHost::new(&[status("entry-1", "ledger-1")]);
    assert_eq!(
        workdir.run_at(unknown.address, &["drain", "ledger-9"]).code,
        1
    );
    assert_eq!(unknown.requests().len(), 1);
    let ambiguous = FakeHost::new(&[status("twin", "twin"), done()]);
    assert_eq!(
        workdir.run_at(ambiguous.address, &["drain", "twin"]).code,
        2
    );
    assert_eq!(ambiguous.requests().len(), 1);
    let run = workdir.run_at(
        ambiguous.address,
        &["drain", "twin", "--kind", "host", "--json"],
    );
    assert_eq!(run.json()["name"], json!({"host": "twin"}));
}

#[test]
fn a_drain_can_be_undone() {
    let fake = FakeHost::new(&[status("entry-1", "ledger-1"), done()]);
    let run = Workdir::new().run_at(fake.address, &["drain", "ledger-1", "--undo"]);
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "ledger-1 receives new work again\n")
    );
    let order = &fake.requests()[1];
    assert_eq!(
        (order.method_and_uri.as_str(), &order.body),
        ("DELETE /v1/drain", &json!({"server": "ledger-1"}))
    );
}

// The platform carries out the order and its answer is lost. Draining is idempotent, so the message
// asks the operator to run the command again, with an exit code that a script can act on.
#[test]
fn an_unknown_outcome_asks_for_the_same_command_again() {
    let unknown_outcome = Answer::Respond(503, json!({"type": "unknown"}));
    let fake = FakeHost::new(&[status("entry-1", "ledger-1"), unknown_outcome]);
    let run = Workdir::new().run_at(fake.address, &["drain", "ledger-1"]);
    assert_eq!(run.code, 7);
    assert!(run.err.contains("run the same command again"));
}
