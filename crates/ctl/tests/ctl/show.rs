//! `flamingopostctl show`: printing a configuration.

use serde_json::{Value, json};

use crate::fake_host::{Answer, FakeHost};
use crate::workdir::{TESFA, Workdir};

fn stored() -> Value {
    json!({"version": 3, "digest": "ab".repeat(32), "body": TESFA, "submitted_by": "asha", "submission": "s3"})
}

#[test]
fn the_configuration_is_printed_unchanged() {
    let fake = FakeHost::new(&[
        Answer::Respond(200, stored()),
        Answer::Respond(200, stored()),
    ]);
    let workdir = Workdir::new();
    let run = workdir.run_at(fake.address, &["show"]);
    assert_eq!((run.code, run.out.as_str()), (0, TESFA));
    let run = workdir.run_at(fake.address, &["show", "--number", "3", "--json"]);
    assert_eq!(run.json(), stored());
    let requests: Vec<String> = fake
        .requests()
        .into_iter()
        .map(|request| request.method_and_uri)
        .collect();
    assert_eq!(requests, ["GET /v1/config", "GET /v1/config/3"]);
}

#[test]
fn an_unknown_version_fails() {
    let fake = FakeHost::new(&[]);
    let run = Workdir::new().run_at(fake.address, &["show", "--number", "99"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("has nothing at /v1/config/99"));
}
