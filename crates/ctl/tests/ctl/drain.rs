//! `flamingopostctl drain`

use serde_json::{Value, json};

use crate::fake::{Answer, Fake};
use crate::workdir::Workdir;

fn status(host: &str, server: &str) -> Answer {
    let server = json!({"server": server, "zone": "z", "role": null, "position": null,
                        "age_ms": null, "leaving": []});
    let service = json!({"service": "s", "shard": 0, "term": "1.0", "primary": null,
                         "state": "open", "servers": [server], "lost": []});
    let host = json!({"host": host, "zone": "z", "incarnation": 1, "config": 1, "state": "live",
                      "lease_left_ms": 1, "connections": 1});
    Answer::Say(
        200,
        json!({"hosts": [host], "services": [service], "controllers": []}),
    )
}

fn done() -> Answer {
    Answer::Say(200, Value::Null)
}

#[test]
fn a_name_is_found_out_to_be_a_server_or_a_host() {
    let workdir = Workdir::new();
    for (name, body) in [
        ("ledger-1", json!({"server": "ledger-1"})),
        ("entry-1", json!({"host": "entry-1"})),
    ] {
        let fake = Fake::new(&[status("entry-1", "ledger-1"), done()]);
        let run = workdir.run_at(fake.address, &["drain", name]);
        assert_eq!(
            (run.code, run.out),
            (0, format!("{name} receives no new work\n"))
        );
        let order = &fake.asked()[1];
        assert_eq!(
            (order.what.as_str(), &order.body),
            ("POST /v1/drain", &body)
        );
    }
}

#[test]
fn nothing_is_ordered_for_a_name_of_nobody_or_of_two() {
    let workdir = Workdir::new();
    let nobody = Fake::new(&[status("entry-1", "ledger-1")]);
    assert_eq!(
        workdir.run_at(nobody.address, &["drain", "ledger-9"]).code,
        1
    );
    assert_eq!(nobody.asked().len(), 1);
    let two = Fake::new(&[status("twin", "twin"), done()]);
    assert_eq!(workdir.run_at(two.address, &["drain", "twin"]).code, 2);
    assert_eq!(two.asked().len(), 1);
    let run = workdir.run_at(two.address, &["drain", "twin", "--kind", "host", "--json"]);
    assert_eq!(run.json()["name"], json!({"host": "twin"}));
}

#[test]
fn a_drain_can_be_undone() {
    let fake = Fake::new(&[status("entry-1", "ledger-1"), done()]);
    let run = Workdir::new().run_at(fake.address, &["drain", "ledger-1", "--undo"]);
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "ledger-1 receives new work again\n")
    );
    let order = &fake.asked()[1];
    assert_eq!(
        (order.what.as_str(), &order.body),
        ("DELETE /v1/drain", &json!({"server": "ledger-1"}))
    );
}

// The platform takes the order and its answer is lost. Draining twice is harmless, so the operator
// is told to run the command again, with an exit code that a script can act on.
#[test]
fn a_lost_answer_asks_for_the_same_command_again() {
    let unknown = Answer::Say(503, json!({"type": "unknown"}));
    let fake = Fake::new(&[status("entry-1", "ledger-1"), unknown]);
    let run = Workdir::new().run_at(fake.address, &["drain", "ledger-1"]);
    assert_eq!(run.code, 7);
    assert!(run.err.contains("run the same command again"));
}
