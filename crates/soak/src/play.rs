//! Plays a plan: starts hosts, has callers work, injects faults, heals them, and judges.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use tokio::task::JoinSet;

use crate::check::{self, Verdict};
use crate::plan::Plan;
use crate::stage::Stage;

/// File with all that callers did and servers ran, kept where a promise was broken.
const RECORD: &str = "record.txt";

/// Plays `plan` with `program`; settings and logs go to `folder`.
///
/// # Errors
/// Processes or relays cannot be started.
pub async fn play(plan: Plan, program: &Path, folder: &Path) -> io::Result<Verdict> {
    let stage = Arc::new(Stage::set(plan, program, folder).await?);
    stage.started().await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = stage.callers(&stop);
    let mut faults = JoinSet::new();
    let start = Instant::now();
    for (at, fault) in stage.plan.faults.clone() {
        let stage = Arc::clone(&stage);
        faults.spawn(async move {
            tokio::time::sleep(at.saturating_sub(start.elapsed())).await;
            stage.strike(fault).await;
        });
    }
    while faults.join_next().await.is_some() {}
    tokio::time::sleep(stage.plan.length.saturating_sub(start.elapsed())).await;
    stage.heal().await?;
    stage.recover().await;
    stop.store(true, Ordering::Relaxed);
    callers.join_all().await;
    stage.finish().await;
    let record = stage.record();
    let verdict = check::judge(&stage.ledger, &record);
    if !verdict.problems.is_empty() {
        let text = format!("{:#?}\n{record:#?}\n", stage.ledger);
        std::fs::write(folder.join(RECORD), text)?;
    }
    Ok(verdict)
}
