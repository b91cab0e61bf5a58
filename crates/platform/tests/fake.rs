//! The in-memory platform keeps the contract of the real services.

use flamingopost_platform::error::{Effect, Error};
use flamingopost_platform::fake::{Fault, Platform};
use flamingopost_platform::object::Store;
use flamingopost_platform::table::{Change, Condition, Outcome, Table, Tag};

fn change(key: &str, condition: Condition, body: &str) -> Change {
    Change {
        key: key.to_owned(),
        condition,
        body: body.to_owned(),
    }
}

fn done(tag: &str) -> Outcome {
    Outcome::Written(vec![Tag(tag.to_owned())])
}

#[tokio::test]
async fn second_of_two_concurrent_writes_conflicts() {
    let platform = Platform::default();
    let first = platform.write(vec![change("fleet/head", Condition::Absent, "1")]);
    assert_eq!(first.await, Ok(done("1")));
    let second = platform.write(vec![change("fleet/head", Condition::Absent, "2")]);
    assert_eq!(second.await, Ok(Outcome::Conflict));
    let row = platform.read("fleet/head").await.unwrap().unwrap();
    assert_eq!(row.body, "1");
    let third = platform.write(vec![change("fleet/head", Condition::Tag(row.tag), "3")]);
    assert_eq!(third.await, Ok(done("2")));
}

#[tokio::test]
async fn writes_of_several_rows_are_atomic() {
    let platform = Platform::default();
    let only = platform.write(vec![change("fleet/a", Condition::Absent, "1")]);
    assert_eq!(only.await, Ok(done("1")));
    let both = platform.write(vec![
        change("fleet/b", Condition::Absent, "1"),
        change("fleet/a", Condition::Absent, "2"),
    ]);
    assert_eq!(both.await, Ok(Outcome::Conflict));
    let rows = platform.list("fleet/").await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].body, "1");
}

/// Guards against a duplicate submission: an operator's submission takes effect, but its response
/// is lost. If the error implied no effect, the operator would submit again on top of their own
/// change.
#[tokio::test]
async fn lost_response_has_an_unknown_effect() {
    let platform = Platform::default();
    platform.set_fault(Fault {
        lost_answers: true,
        ..Fault::default()
    });
    let lost = platform.write(vec![change("fleet/head", Condition::Absent, "1")]);
    let error = lost.await.unwrap_err();
    assert_eq!(error.effect(), Effect::Unknown);
    let row = platform.read("fleet/head").await.unwrap();
    assert_eq!(row.map(|row| row.body), Some("1".to_owned()));
}

#[tokio::test]
async fn refused_requests_have_no_effect() {
    let platform = Platform::default();
    platform.set_fault(Fault {
        down: true,
        ..Fault::default()
    });
    assert_eq!(platform.put("k", vec![1]).await, Err(Error::Refused));
    assert_eq!(Error::Refused.effect(), Effect::None);
    platform.set_fault(Fault::default());
    assert_eq!(platform.get("k").await, Ok(None));
}
