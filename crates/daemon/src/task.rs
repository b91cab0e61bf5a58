//! Tasks with names, and a record of those that panic.

use std::backtrace::Backtrace;
use std::future::Future;
use std::panic::PanicHookInfo;

use tokio::task::JoinHandle;

use crate::event::{Daemon, Event as _};

/// Name of the counter of panics.
pub const PANICS: &str = "flamingopost_panics_total";

/// Name of code that runs outside of any task of [`spawn`].
const OUTSIDE: &str = "main";

tokio::task_local! {
    static NAME: &'static str;
}

/// Runs `future` as a task of the current [`tokio::task::LocalSet`]. A panic ends only that task, and
/// is logged and counted under `name` once [`record_panics`] has been called.
///
/// # Panics
/// Panics outside of a `LocalSet`.
///
/// ```
/// use flamingopost_daemon::task;
///
/// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
/// let local = tokio::task::LocalSet::new();
/// let sum = local.block_on(&runtime, async { task::spawn("sum", async { 1 + 1 }).await });
/// assert_eq!(sum.unwrap(), 2);
/// ```
pub fn spawn<F>(name: &'static str, future: F) -> JoinHandle<F::Output>
where
    F: Future + 'static,
    F::Output: 'static,
{
    tokio::task::spawn_local(NAME.scope(name, future))
}

/// Logs and counts each panic of this process with its task, place and cause, instead of writing it to
/// standard error. `RUST_BACKTRACE=1` adds the stack.
pub fn record_panics() {
    std::panic::set_hook(Box::new(record));
}

fn record(panic: &PanicHookInfo<'_>) {
    let task = NAME.try_with(|name| *name).unwrap_or(OUTSIDE);
    let place = panic
        .location()
        .map_or_else(String::new, ToString::to_string);
    let cause = panic.payload_as_str().unwrap_or("no message").to_owned();
    metrics::counter!(PANICS, "task" => task).increment(1);
    Daemon::Panicked { task, place, cause }.log();
    let stack = Backtrace::capture();
    if stack.status() == std::backtrace::BacktraceStatus::Captured {
        let stack = stack.to_string();
        Daemon::PanicStack { task, stack }.log();
    }
}
