//! Tasks with names, and a record of those that panic.

use std::any::Any;
use std::backtrace::Backtrace;
use std::fmt::Display;
use std::future::{Future, poll_fn};
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::task::Poll;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::event::{Daemon, Event as _};

/// Name of the counter of panics.
pub const PANICS: &str = "flamingopost_panics_total";

/// Name of the counter of tasks that ended although they run as long as the process.
pub const RESTARTS: &str = "flamingopost_tasks_restarted_total";

/// Pause before a task that has ended is started again, which doubles with each further end.
const MIN_RESTART_PAUSE: Duration = Duration::from_millis(20);

/// Longest such pause.
const MAX_RESTART_PAUSE: Duration = Duration::from_secs(5);

/// A task that has run for this long is started again after [`MIN_RESTART_PAUSE`].
const STABLE_AFTER: Duration = Duration::from_secs(30);

/// Name of code that runs outside of any task of [`spawn`].
const OUTSIDE: &str = "main";

/// Cause of a panic whose payload is no text.
const NO_MESSAGE: &str = "no message";

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

/// Runs the futures that `start` returns, one after the other, as a task of the current
/// [`tokio::task::LocalSet`]: the next one begins after a pause when one ends or panics, which is logged and
/// counted under `name`. The pause grows while ends follow each other closely. Aborting the task ends it.
///
/// # Panics
/// Panics outside of a `LocalSet`.
///
/// ```
/// use std::cell::Cell;
/// use std::rc::Rc;
/// use flamingopost_daemon::task;
/// use tokio::sync::Notify;
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// let local = tokio::task::LocalSet::new();
/// let starts = Rc::new(Cell::new(0));
/// let third = Rc::new(Notify::new());
/// let (counted, reached) = (Rc::clone(&starts), Rc::clone(&third));
/// local.block_on(&runtime, async move {
///     let kept = task::keep("counter", move || {
///         counted.set(counted.get() + 1);
///         if counted.get() == 3 {
///             reached.notify_one();
///         }
///         async {}
///     });
///     third.notified().await;
///     kept.abort();
/// });
/// assert_eq!(starts.get(), 3);
/// ```
pub fn keep<F>(name: &'static str, start: impl FnMut() -> F + 'static) -> JoinHandle<()>
where
    F: Future<Output: Into<End>> + 'static,
{
    spawn(name, run_again(name, start))
}

/// Runs the futures that `start` returns, one after the other, forever.
async fn run_again<F>(task: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output: Into<End>>,
{
    let mut pause = MIN_RESTART_PAUSE;
    loop {
        let started = Instant::now();
        let end = run_once(&mut start).await;
        if started.elapsed() >= STABLE_AFTER {
            pause = MIN_RESTART_PAUSE;
        }
        metrics::counter!(RESTARTS, "task" => task).increment(1);
        let millis = pause.as_millis();
        Daemon::TaskEnded { task, end, millis }.log();
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RESTART_PAUSE);
    }
}

/// Why a task that runs as long as the process has ended.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum End {
    /// it returned
    Returned,
    /// it failed: {0}
    Failed(String),
    /// it panicked: {0}
    Panicked(String),
}

impl From<()> for End {
    fn from((): ()) -> End {
        End::Returned
    }
}

impl<E: Display> From<Result<(), E>> for End {
    fn from(result: Result<(), E>) -> End {
        match result {
            Ok(()) => End::Returned,
            Err(error) => End::Failed(error.to_string()),
        }
    }
}

/// Runs the future that `start` returns until it returns or panics. It is dropped then, with all that it
/// holds.
async fn run_once<F>(start: &mut impl FnMut() -> F) -> End
where
    F: Future<Output: Into<End>>,
{
    let mut running = Box::pin(async { start().await });
    poll_fn(|context| {
        let polled = catch_unwind(AssertUnwindSafe(|| running.as_mut().poll(context)));
        match polled {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(end)) => Poll::Ready(end.into()),
            Err(payload) => Poll::Ready(End::Panicked(cause(&*payload).to_owned())),
        }
    })
    .await
}

/// Returns the message of a panic.
fn cause(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied())
        .unwrap_or(NO_MESSAGE)
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
    let cause = panic.payload_as_str().unwrap_or(NO_MESSAGE).to_owned();
    metrics::counter!(PANICS, "task" => task).increment(1);
    Daemon::Panicked { task, place, cause }.log();
    let stack = Backtrace::capture();
    if stack.status() == std::backtrace::BacktraceStatus::Captured {
        let stack = stack.to_string();
        Daemon::PanicStack { task, stack }.log();
    }
}
