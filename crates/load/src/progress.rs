//! How a run stands.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flamingopost_daemon::event::Event as _;

use crate::event::Event;
use crate::field::Field;
use crate::history::Operation;
use crate::outcome::Outcome;

/// Counts of operations that have ended.
#[derive(Debug, Default)]
pub struct Progress {
    in_time: AtomicU64,
    late: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
    failed: AtomicU64,
}

impl Progress {
    /// Counts `operation`.
    pub fn note(&self, operation: &Operation) {
        let counter = match operation.outcome() {
            Outcome::Done if operation.in_time() => &self.in_time,
            Outcome::Done => &self.late,
            Outcome::NotRun => &self.not_run,
            Outcome::Unknown => &self.unknown,
            Outcome::Failed => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Logs the counts each second, for ever.
    pub async fn report(field: &Field) {
        let mut ticks = tokio::time::interval(Duration::from_secs(1));
        ticks.tick().await;
        loop {
            ticks.tick().await;
            let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
            let counts = &field.progress;
            Event::Progress {
                way: if field.naive { "baseline" } else { "product" },
                seconds: field.start.elapsed().as_secs(),
                in_time: read(&counts.in_time),
                late: read(&counts.late),
                not_run: read(&counts.not_run),
                unknown: read(&counts.unknown),
                failed: read(&counts.failed),
            }
            .log();
        }
    }
}
