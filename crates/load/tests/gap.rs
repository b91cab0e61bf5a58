//! The failover gap as callers see it.

mod common;

use std::time::Duration;

use common::{Change, history, operation};
use flamingopost_load::class::Kind;
use flamingopost_load::gap;
use flamingopost_load::history::Operation;
use flamingopost_load::outcome::Outcome;

/// A write due at `start` that is acknowledged at `end`, in ms.
fn write(sequence: i64, start: i64, end: i64) -> Operation {
    operation(1, sequence, Kind::Write, start, end)
}

/// A primary dies at 1 s. Writes due at 1.1 s and 1.5 s fail, one due at 2 s waits until it is
/// acknowledged at 2.6 s by the next primary: from the first write that waited to that answer
/// nobody could write.
#[test]
fn from_the_first_write_due_to_the_next_acknowledged() {
    let failed =
        |sequence, start| write(sequence, start, start + 50).refused(Outcome::Unknown, "broken");
    let history = history(
        vec![
            write(1, 900, 910),
            failed(2, 1100),
            failed(3, 1500),
            write(4, 2000, 2600),
            write(5, 2700, 2710),
        ],
        &[],
    );
    let gap = gap::find(&history, Duration::from_secs(1)).unwrap();
    assert_eq!((gap.ms, gap.from_ms, gap.writes_due), (1500.0, 1100.0, 3));
    assert!(gap.over);
}

/// With few writes the time between two of them is no outage: only waiting counts.
#[test]
fn time_without_writes_is_no_gap() {
    let history = history(vec![write(1, 900, 910), write(2, 4000, 4010)], &[]);
    let gap = gap::find(&history, Duration::from_secs(1)).unwrap();
    assert_eq!(gap.ms, 10.0);
}

/// The service never comes back: the gap lasts until the last write gave up, and says so.
#[test]
fn a_gap_that_does_not_end() {
    let lost = write(2, 1200, 3000).refused(Outcome::NotRun, "PF005");
    let history = history(vec![write(1, 900, 910), lost], &[]);
    let gap = gap::find(&history, Duration::from_secs(1)).unwrap();
    assert_eq!((gap.ms, gap.over), (1800.0, false));
}
