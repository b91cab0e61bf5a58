//! `flamingopostctl history`: the list of accepted versions.

use serde_json::json;

use crate::fake_host::{Answer, FakeHost};
use crate::workdir::Workdir;

#[test]
fn versions_are_listed_with_their_operators() {
    let records = json!([
        {"version": 2, "digest": "ab".repeat(32), "submission": "s2", "operator": "asha", "at": 1_764_700_000},
        {"version": 1, "digest": "cd".repeat(32), "submission": "s1", "operator": "bela", "at": null},
    ]);
    let fake = FakeHost::new(&[
        Answer::Respond(200, records.clone()),
        Answer::Respond(200, records.clone()),
    ]);
    let workdir = Workdir::new();
    let run = workdir.run_at(fake.address, &["history"]);
    assert_eq!(run.code, 0);
    let rows: Vec<&str> = run.out.lines().collect();
    assert_eq!(rows.len(), 3);
    assert!(
        rows[1].contains("asha") && rows[1].contains("Tue, 02 Dec 2025 18:26:40 GMT"),
        "{}",
        run.out
    );
    assert!(rows[2].contains("bela"));
    let run = workdir.run_at(fake.address, &["history", "--json"]);
    assert_eq!(run.json(), records);
    assert_eq!(fake.requests()[0].method_and_uri, "GET /v1/history");
}
