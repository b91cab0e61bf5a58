//! History files.

mod common;

use common::{Change, history, loss, operation};
use flamingopost_load::class::Kind;
use flamingopost_load::error::Error;
use flamingopost_load::history::History;
use flamingopost_load::outcome::Outcome;

#[test]
fn written_and_read_again() {
    let mut history = history(
        vec![
            operation(1, 1, Kind::Write, 0, 1).at("1.0/11"),
            operation(2, 1, Kind::RegisterRead, 2, 3).register(4),
            operation(3, 1, Kind::Transaction, 2, 3).refused(Outcome::NotRun, "PF005"),
        ],
        &[("r-1-1", 1)],
    );
    history.push(loss("1.1", 10, "1.0/11"));
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("history.jsonl");
    history.write(&path).unwrap();
    assert_eq!(History::read(&path).unwrap(), history);
}

/// A history that was cut off in the middle of a line is refused with the line's number: checked
/// without its end it would prove nothing.
#[test]
fn a_torn_line_is_named() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("history.jsonl");
    std::fs::write(
        &path,
        "{\"entry\":\"final\",\"list\":0,\"key\":\"a\",\"count\":1}\n{\"ent",
    )
    .unwrap();
    let error = History::read(&path).unwrap_err();
    assert!(matches!(error, Error::History { line: 2, .. }));
}
