//! `flamingopostctl submit`: acceptance, conflicts and lost answers.

use serde_json::{Value, json};

use crate::fake_host::{Answer, FakeHost};
use crate::workdir::{Run, TESFA, Workdir};

const ID: &str = "0123456789abcdef";

/// Submits the example configuration, made from version 4, with the id `ID`.
fn submit(fake: &FakeHost) -> Run {
    let workdir = Workdir::new();
    workdir.file("fleet.ini", TESFA);
    let args = [
        "submit",
        "fleet.ini",
        "--base",
        "4",
        "--submission",
        ID,
        "--json",
    ];
    workdir.run_at(fake.address, &args)
}

/// Returns an entry of the history.
fn record(version: u64, submission: &str) -> Value {
    json!({"version": version, "digest": "", "submission": submission, "operator": "asha", "at": 0})
}

/// Returns the refusal of a submission that lost against `submission`.
fn conflict(submission: &str) -> Answer {
    let winner = json!({"version": 5, "operator": "bela", "submission": submission});
    Answer::Respond(409, json!({"type": "conflict", "winner": winner}))
}

#[test]
fn an_accepted_submission_prints_its_version() {
    let fake = FakeHost::new(&[Answer::Respond(200, json!({"version": 5}))]);
    let run = submit(&fake);
    assert_eq!(
        (run.code, run.json()),
        (0, json!({"version": 5, "submission": ID}))
    );
    let request = &fake.requests()[0];
    assert_eq!(request.method_and_uri, "POST /v1/config");
    assert_eq!(
        request.body,
        json!({"base": 4, "submission": ID, "operator": "asha", "body": TESFA})
    );
}

#[test]
fn each_submission_has_a_unique_id() {
    let accepted = Answer::Respond(200, json!({"version": 5}));
    let fake = FakeHost::new(&[accepted.clone(), accepted]);
    let workdir = Workdir::new();
    workdir.file("fleet.ini", TESFA);
    for _ in 0..2 {
        assert_eq!(
            workdir
                .run_at(fake.address, &["submit", "fleet.ini", "--base", "4"])
                .code,
            0
        );
    }
    let requests = fake.requests();
    assert_ne!(
        requests[0].body["submission"],
        requests[1].body["submission"]
    );
}

#[test]
fn an_invalid_file_is_not_sent() {
    let fake = FakeHost::new(&[]);
    let workdir = Workdir::new();
    workdir.file("fleet.ini", "[fleet]\n");
    assert_eq!(
        workdir
            .run_at(fake.address, &["submit", "fleet.ini", "--base", "4"])
            .code,
        3
    );
    assert!(fake.requests().is_empty());
}

// Two operators submit concurrently, both from version 4. The losing operator must see that another
// submission was accepted first, and whose; nothing of the losing submission may be in force.
#[test]
fn a_conflict_reports_the_winning_submission() {
    let fake = FakeHost::new(&[conflict("another")]);
    let run = submit(&fake);
    assert_eq!(run.code, 4);
    let error = run.json();
    assert_eq!(error["error"], "conflict");
    assert_eq!(error["winner"]["operator"], "bela");
    assert_eq!(error["winner"]["version"], 5);
}

// The controller accepts version 5 and the connection breaks before its answer arrives. The command
// must report success: after an error the operator would submit again.
#[test]
fn a_lost_answer_is_resolved_from_the_history() {
    let history = Answer::Respond(200, json!([record(5, ID), record(4, "another")]));
    let fake = FakeHost::new(&[Answer::Disconnect, history.clone()]);
    let run = submit(&fake);
    assert_eq!((run.code, run.json()["version"].clone()), (0, json!(5)));

    let unknown = Answer::Respond(503, json!({"type": "unknown"}));
    let fake = FakeHost::new(&[unknown, history]);
    assert_eq!(submit(&fake).code, 0);
}

// The answer is lost and the operator runs the command again with the same id, as the message asks.
// The first attempt was accepted, so the second one conflicts with its own submission.
#[test]
fn a_conflict_with_the_same_submission_id_means_accepted() {
    let run = submit(&FakeHost::new(&[conflict(ID)]));
    assert_eq!((run.code, run.json()["version"].clone()), (0, json!(5)));
}

// The answer is lost and the history does not list the submission yet. It may still be accepted, so
// reporting either "accepted" or "refused" could be wrong.
#[test]
fn an_unresolved_outcome_is_reported_as_unknown() {
    let history = Answer::Respond(200, json!([record(4, "another")]));
    let mut answers = vec![Answer::Disconnect];
    answers.extend(std::iter::repeat_n(history, 4));
    let run = submit(&FakeHost::new(&answers));
    assert_eq!(run.code, 7);
    assert_eq!(run.json()["submission"], ID);
}

#[test]
fn an_unavailable_platform_and_an_invalid_configuration_have_their_exit_codes() {
    let run = submit(&FakeHost::new(&[Answer::Respond(
        503,
        json!({"type": "unavailable"}),
    )]));
    assert_eq!(run.code, 5);
    let problem = json!({"file": "fleet.ini", "line": 1, "what": "w", "fix": "f"});
    let invalid = json!({"type": "invalid", "problems": [problem]});
    let run = submit(&FakeHost::new(&[Answer::Respond(422, invalid)]));
    assert_eq!(
        (run.code, run.json()["problems"][0]["line"].clone()),
        (3, json!(1))
    );
}
