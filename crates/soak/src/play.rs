//! Plays a plan: starts hosts and callers, injects faults, ends them, and checks the run.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use tokio::task::JoinSet;

use crate::check::{self, Verdict};
use crate::plan::Plan;
use crate::testbed::Testbed;

/// File for the complete history of callers and servers, written if a guarantee was broken.
const RECORD_FILE: &str = "record.txt";

/// Plays `plan` with `program` and returns the verdict. Settings and logs go to `folder`.
///
/// # Errors
/// Processes or relays cannot be started, or the history cannot be written.
pub async fn play(plan: Plan, program: &Path, folder: &Path) -> io::Result<Verdict> {
    let testbed = Arc::new(Testbed::start(plan, program, folder).await?);
    testbed.wait_until_ready().await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = testbed.start_callers(&stop);
    let mut faults = JoinSet::new();
    let start = Instant::now();
    for (at, fault) in testbed.plan.faults.clone() {
        let testbed = Arc::clone(&testbed);
        faults.spawn(async move {
            tokio::time::sleep(at.saturating_sub(start.elapsed())).await;
            testbed.inject(fault).await;
        });
    }
    while faults.join_next().await.is_some() {}
    tokio::time::sleep(testbed.plan.length.saturating_sub(start.elapsed())).await;
    testbed.heal().await;
    testbed.wait_until_recovered().await;
    stop.store(true, Ordering::Relaxed);
    callers.join_all().await;
    testbed.stop_hosts().await;
    let record = testbed.record();
    let verdict = check::verify(&testbed.history, &record);
    if !verdict.problems.is_empty() {
        let text = format!("{:#?}\n{record:#?}\n", testbed.history);
        std::fs::write(folder.join(RECORD_FILE), text)?;
    }
    Ok(verdict)
}
