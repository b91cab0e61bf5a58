//! Logging: one line per event, to standard error or standard output.

use std::sync::{Arc, mpsc};
use std::time::Duration;
use std::{panic, thread};

use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// Severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// The process cannot continue, or an invariant is violated.
    Critical,
    /// Something was lost, refused or broken and needs an operator's attention.
    Error,
    /// Something is wrong, and the process handles it.
    Warn,
    /// A state change in normal operation.
    Info,
    /// Details for diagnosing a problem.
    Debug,
    /// Everything.
    Trace,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Plain text for people.
    Text,
    /// One JSON object per line: `level`, `timestamp` in milliseconds, `payload`, `kv.event`.
    Json,
}

impl Level {
    /// Returns the level with the given name.
    pub fn parse(name: &str) -> Option<Level> {
        match name {
            "critical" => Some(Level::Critical),
            "error" => Some(Level::Error),
            "warn" => Some(Level::Warn),
            "info" => Some(Level::Info),
            "debug" => Some(Level::Debug),
            "trace" => Some(Level::Trace),
            _ => None,
        }
    }

    /// Returns the level's name, as used in settings and in the event catalogue.
    pub fn name(self) -> &'static str {
        match self {
            Level::Critical => "critical",
            Level::Error => "error",
            Level::Warn => "warn",
            Level::Info => "info",
            Level::Debug => "debug",
            Level::Trace => "trace",
        }
    }
}

impl From<Level> for spdlog::Level {
    fn from(level: Level) -> spdlog::Level {
        match level {
            Level::Critical => spdlog::Level::Critical,
            Level::Error => spdlog::Level::Error,
            Level::Warn => spdlog::Level::Warn,
            Level::Info => spdlog::Level::Info,
            Level::Debug => spdlog::Level::Debug,
            Level::Trace => spdlog::Level::Trace,
        }
    }
}

/// Where log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Standard error, written synchronously by the logging thread.
    Error,
    /// Standard output, written asynchronously by a separate thread. A stalled reader never blocks
    /// a logging thread: lines that do not fit into the queue are dropped.
    Output,
}

/// Why the process does not log.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {0}
    Logger(spdlog::Error),
    /// the thread that writes lines does not start
    Thread,
}

impl std::error::Error for Error {}

impl From<spdlog::Error> for Error {
    fn from(error: spdlog::Error) -> Error {
        Error::Logger(error)
    }
}

/// Capacity of the queue for standard output, in lines. Lines beyond it are dropped.
const QUEUE_LINES: usize = 1_024;

/// How long [`finish`] waits for queued lines to be written. An active reader takes
/// milliseconds.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts logging events of `level` and above to standard error.
///
/// May be called again: the last call applies to the whole process.
///
/// # Errors
/// Returns an error if the logger cannot be built.
pub fn start(level: Level, format: Format) -> Result<(), Error> {
    start_on(Target::Error, level, format)
}

/// Like [`start`], with the given target.
///
/// # Errors
/// Returns an error if the logger cannot be built. The process then logs nothing.
pub fn start_on(target: Target, level: Level, format: Format) -> Result<(), Error> {
    // In the place of the library's own default, which writes in the thread that logs.
    spdlog::set_default_logger(Arc::new(Logger::builder().build()?));
    let sink = match format {
        Format::Text => sink(target, FullFormatter::new())?,
        Format::Json => sink(target, JsonFormatter::new())?,
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level.into()))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Stops logging and flushes queued lines, for at most `FLUSH_TIMEOUT`. Later events are
/// discarded.
///
/// Guards against a process that hangs at exit: the logging library joins the thread that writes to
/// standard output, which blocks while nobody reads from there. This function therefore waits for
/// that thread with a timeout, and leaves the library with a logger that has nothing to write.
///
/// # Errors
/// Returns an error if the replacement logger cannot be built.
pub fn finish() -> Result<(), spdlog::Error> {
    let silent = Arc::new(Logger::builder().build()?);
    let logger = spdlog::swap_default_logger(silent);
    let (hand_over, received) = mpsc::channel();
    let (done, written) = mpsc::channel();
    let thread = thread::Builder::new().spawn(move || {
        // Dropping the last reference to the pool flushes its queue.
        drop(received.recv());
        // The receiver may have timed out.
        let _ = done.send(());
    });
    match thread {
        Ok(_) => {
            // The thread waits for it.
            let _ = hand_over.send(logger);
            // After a timeout, lines that were not written are lost.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        // Dropped here, it might block the process.
        Err(_) => std::mem::forget(logger),
    }
    Ok(())
}

fn sink(target: Target, formatter: impl Formatter + 'static) -> Result<Arc<dyn Sink>, Error> {
    let stream = match target {
        Target::Error => StdStream::Stderr,
        Target::Output => StdStream::Stdout,
    };
    let builder = StdStreamSink::builder().std_stream(stream);
    let direct = Arc::new(builder.formatter(formatter).build()?);
    match target {
        Target::Error => Ok(direct),
        Target::Output => {
            let capacity = QUEUE_LINES.try_into().expect("the queue is not empty");
            let pool = || ThreadPool::builder().capacity(capacity).build();
            // The library panics if no thread can be created.
            let pool = panic::catch_unwind(pool).map_err(|_| Error::Thread)??;
            let queued = AsyncPoolSink::builder()
                .sink(direct)
                .thread_pool(Arc::new(pool))
                .overflow_policy(OverflowPolicy::DropIncoming);
            Ok(Arc::new(queued.build()?))
        }
    }
}
