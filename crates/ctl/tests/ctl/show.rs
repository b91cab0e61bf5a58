//! `flamingopostctl show`

use serde_json::{Value, json};

use crate::fake::{Answer, Fake};
use crate::workdir::{TESFA, Workdir};

fn stored() -> Value {
    json!({"version": 3, "digest": "ab".repeat(32), "body": TESFA, "submitted_by": "asha", "submission": "s3"})
}

#[test]
fn the_body_comes_out_ready_to_be_edited() {
    let fake = Fake::new(&[Answer::Say(200, stored()), Answer::Say(200, stored())]);
    let workdir = Workdir::new();
    let run = workdir.run_at(fake.address, &["show"]);
    assert_eq!((run.code, run.out.as_str()), (0, TESFA));
    let run = workdir.run_at(fake.address, &["show", "--number", "3", "--json"]);
    assert_eq!(run.json(), stored());
    let asked: Vec<String> = fake.asked().into_iter().map(|asked| asked.what).collect();
    assert_eq!(asked, ["GET /v1/config", "GET /v1/config/3"]);
}

#[test]
fn a_version_that_never_was_is_a_failure() {
    let fake = Fake::new(&[]);
    let run = Workdir::new().run_at(fake.address, &["show", "--number", "99"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("has nothing at /v1/config/99"));
}
