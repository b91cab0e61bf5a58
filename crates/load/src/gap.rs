//! The failover gap: how long writes could land nowhere.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::history::{History, Operation};
use crate::outcome::Outcome;

/// How long after a fault its failover is looked for.
const WINDOW: Duration = Duration::from_secs(15);

/// The longest time without an acknowledged write after a fault.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Gap {
    /// How long, in ms.
    pub ms: f64,
    /// When it began, in ms from the start of arrivals.
    pub from_ms: f64,
    /// Writes that were due while it lasted.
    pub writes_due: usize,
    /// Whether a write was acknowledged at its end; else the arrivals ended first.
    pub over: bool,
}

#[derive(Debug, Clone, Copy)]
struct Write {
    intended: i64,
    end: i64,
    done: bool,
}

/// Finds the longest gap of any service after `fault`, a moment since the start of arrivals.
pub fn find(history: &History, fault: Duration) -> Option<Gap> {
    let mut services = BTreeMap::<&str, Vec<Write>>::new();
    for operation in &history.operations {
        let writes = services.entry(&operation.service).or_default();
        writes.extend(write(operation));
    }
    let gaps = services.into_values();
    gaps.filter_map(|writes| of_service(&writes, fault))
        .max_by(|one, other| one.ms.total_cmp(&other.ms))
}

///
/// It runs from the last write acknowledged before to the first one acknowledged after. Time in
/// which no write was due or waiting does not count: nobody could have noticed.
fn of_service(writes: &[Write], fault: Duration) -> Option<Gap> {
    let fault = fault.as_micros() as i64;
    let limit = fault + WINDOW.as_micros() as i64;
    let mut ends: Vec<i64> = writes
        .iter()
        .filter(|one| one.done)
        .map(|one| one.end)
        .collect();
    ends.sort_unstable();
    let last = writes.iter().map(|one| one.end).max()?;
    let before = ends.iter().rev().find(|end| **end <= fault).copied();
    let mut after: Vec<i64> = ends.into_iter().filter(|end| *end > fault).collect();
    let over = after.len();
    after.push(last.max(fault));
    let mut from = before.unwrap_or(fault);
    let mut longest: Option<Gap> = None;
    for (index, end) in after.into_iter().enumerate() {
        if from > limit {
            break;
        }
        let gap = between(writes, from, end, index < over);
        if longest.as_ref().is_none_or(|known| gap.ms > known.ms) {
            longest = Some(gap);
        }
        from = end;
    }
    longest
}

fn write(operation: &Operation) -> Option<Write> {
    operation.kind.writes().then(|| Write {
        intended: operation.intended_us,
        end: operation.end_us,
        done: operation.outcome() == Outcome::Done,
    })
}

fn between(writes: &[Write], from: i64, end: i64, over: bool) -> Gap {
    let waiting = writes
        .iter()
        .filter(|one| one.end > from && one.intended < end);
    let due: Vec<i64> = waiting.map(|one| one.intended.max(from)).collect();
    let from = due.iter().copied().min().unwrap_or(end);
    Gap {
        ms: (end - from) as f64 / 1e3,
        from_ms: from as f64 / 1e3,
        writes_due: due.len(),
        over,
    }
}
