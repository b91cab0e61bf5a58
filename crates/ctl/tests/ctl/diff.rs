//! `flamingopostctl diff`: comparison of two configurations.

use serde_json::json;

use crate::fake_host::{Answer, FakeHost};
use crate::workdir::{TESFA, Workdir};

/// Returns the example configuration with a changed key, a new section and a moved rule.
fn changed() -> String {
    let text = TESFA.replace("deadline = 400ms", "deadline = 300ms");
    let (head, tail) = text.split_once("[rule batch-writes]").expect("the rule");
    let (moved, rest) = tail.split_once("\n[rule").expect("a rule after it");
    format!("{head}[rule{rest}\n[rule batch-writes]{moved}\n[zone new]\nregion = addis-ababa\n")
}

const EXPECTED: &str = "\
~ [class bid] deadline: 400ms -> 300ms
+ [zone new]
~ order of rules: bids, settlements, settlement-transactions, lot-views, batch-reads, buyers-only-read, other-reads, batch-writes
";

#[test]
fn two_files_are_compared_by_section_and_key() {
    let workdir = Workdir::new();
    // No rule shadows the one that moved to the end: buyers and batch differ in role.
    workdir.file("old.ini", TESFA).file("new.ini", &changed());
    let run = workdir.run(&["diff", "new.ini", "--against", "old.ini"]);
    assert_eq!((run.code, run.out.as_str()), (0, EXPECTED), "{}", run.err);
    let same = workdir.run(&["diff", "old.ini", "--against", "old.ini", "--json"]);
    assert_eq!(same.json(), json!({"base": null, "changes": []}));
}

#[test]
fn a_file_is_compared_with_the_configuration_in_force() {
    let stored = json!({"version": 7, "digest": "", "body": TESFA, "submitted_by": "asha", "submission": "s"});
    let fake = FakeHost::new(&[Answer::Respond(200, stored)]);
    let workdir = Workdir::new();
    workdir.file("new.ini", &changed());
    let run = workdir.run_at(fake.address, &["diff", "new.ini", "--json"]);
    let difference = run.json();
    assert_eq!(difference["base"], 7);
    assert_eq!(
        difference["changes"][0],
        json!({"type": "changed", "section": "class bid", "key": "deadline", "old": "400ms", "new": "300ms"})
    );
}
