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

/// Pause after a panic before a task of [`spawn_or_else`] recovers.
pub const RECOVERY_PAUSE: Duration = Duration::from_millis(100);

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

/// Runs the future that `start` returns as a task of the current [`tokio::task::LocalSet`], and another one
/// after a pause if it panics, which is logged and counted as in [`keep`]. The task ends with the first value
/// that such a future returns.
///
/// # Panics
/// Panics outside of a `LocalSet`.
///
/// ```
/// use flamingopost_daemon::task;
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// let local = tokio::task::LocalSet::new();
/// let mut attempts = 0;
/// let complete = move || {
///     attempts += 1;
///     let attempt = attempts;
///     async move {
///         assert!(attempt > 1, "the first attempt panics");
///         attempt
///     }
/// };
/// let done = local.block_on(&runtime, async move { task::complete("sum", complete).await });
/// assert_eq!(done.unwrap(), 2);
/// ```
pub fn complete<F>(
    name: &'static str,
    mut start: impl FnMut() -> F + 'static,
) -> JoinHandle<F::Output>
where
    F: Future + 'static,
    F::Output: 'static,
{
    spawn(name, async move {
        let mut restarts = Restarts::default();
        loop {
            match catch(async { start().await }).await {
                Ok(value) => return value,
                Err(end) => restarts.pause(name, end).await,
            }
        }
    })
}

/// Runs `future` as [`spawn`] does, and `recover` if it panics, once all that it held is dropped: what only
/// the end of the task would undo. That is done after [`RECOVERY_PAUSE`], since the next such task may panic
/// as well.
///
/// # Panics
/// Panics outside of a `LocalSet`.
///
/// ```
/// use std::cell::Cell;
/// use std::rc::Rc;
/// use flamingopost_daemon::task;
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// let local = tokio::task::LocalSet::new();
/// let is_busy = Rc::new(Cell::new(true));
/// let end = {
///     let is_busy = Rc::clone(&is_busy);
///     move || is_busy.set(false)
/// };
/// let stumble = async { panic!("it stumbles") };
/// local.block_on(&runtime, async { task::spawn_or_else("walk", stumble, end).await }).unwrap();
/// assert!(!is_busy.get());
/// ```
pub fn spawn_or_else<F>(
    name: &'static str,
    future: F,
    recover: impl FnOnce() + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + 'static,
{
    spawn(name, async move {
        if catch(future).await.is_err() {
            tokio::time::sleep(RECOVERY_PAUSE).await;
            recover();
        }
    })
}

/// Runs the futures that `start` returns, one after the other, forever.
async fn run_again<F>(task: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output: Into<End>>,
{
    let mut restarts = Restarts::default();
    loop {
        let end = catch(async { start().await })
            .await
            .map_or_else(|end| end, Into::into);
        restarts.pause(task, end).await;
    }
}

/// The starts of one task.
#[derive(Debug)]
struct Restarts {
    started: Instant,
    pause: Duration,
}

impl Default for Restarts {
    fn default() -> Restarts {
        Restarts {
            started: Instant::now(),
            pause: MIN_RESTART_PAUSE,
        }
    }
}

impl Restarts {
    /// Logs and counts the `end` of `task`, and waits until it is to start again.
    async fn pause(&mut self, task: &'static str, end: End) {
        if self.started.elapsed() >= STABLE_AFTER {
            self.pause = MIN_RESTART_PAUSE;
        }
        metrics::counter!(RESTARTS, "task" => task).increment(1);
        let millis = self.pause.as_millis();
        Daemon::TaskEnded { task, end, millis }.log();
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(MAX_RESTART_PAUSE);
        self.started = Instant::now();
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

/// Runs `future` until it returns or panics. It is dropped then, with all that it holds.
///
/// # Errors
/// Returns [`End::Panicked`] if it panics.
async fn catch<F: Future>(future: F) -> Result<F::Output, End> {
    let mut running = Box::pin(future);
    poll_fn(|context| {
        let polled = catch_unwind(AssertUnwindSafe(|| running.as_mut().poll(context)));
        match polled {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(value)) => Poll::Ready(Ok(value)),
            Err(payload) => Poll::Ready(Err(End::Panicked(cause(&*payload).to_owned()))),
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
