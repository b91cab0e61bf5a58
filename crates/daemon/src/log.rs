//! Logs: one line an event, to standard error or standard output.

use std::sync::{Arc, mpsc};
use std::time::Duration;

use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// How important an event is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// The process cannot go on.
    Critical,
    /// Something was lost, refused or broken that an operator has to look at.
    Error,
    /// Something is not as it should be and is being coped with.
    Warn,
    /// A change of state in ordinary life.
    Info,
    /// What an operator wants to see while looking for a cause.
    Debug,
    /// Everything.
    Trace,
}

/// How a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line: `level`, `timestamp` in milliseconds, `payload`, `kv.event`.
    Json,
}

impl Level {
    /// The level called `name`.
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

    /// Its name, as in settings and in the catalogue of events.
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

/// Where lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Standard error, written by whoever logs.
    Error,
    /// Standard output, written by a thread of its own. A reader that stalls never holds up
    /// whoever logs: lines that do not fit into its queue are dropped.
    Output,
}

/// Lines that wait for a slow reader of standard output before new ones are dropped.
const QUEUE_LINES: usize = 1_024;

/// How long a process that ends waits for its last lines to be written: a reader that is alive takes
/// milliseconds.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends events at `level` and above to standard error. May be called again: the last call
/// holds for the whole process.
///
/// # Errors
/// When the logger cannot be built.
pub fn start(level: Level, format: Format) -> Result<(), spdlog::Error> {
    start_on(Target::Error, level, format)
}

/// As [`start`], to `target`.
///
/// # Errors
/// When the logger cannot be built.
pub fn start_on(target: Target, level: Level, format: Format) -> Result<(), spdlog::Error> {
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

/// Ends logging: waits until what was logged is written, at most [`FLUSH_TIMEOUT`]. What is logged after
/// that goes nowhere.
///
/// Guards against a process that does not end: at its exit the library waits for the thread that
/// writes to standard output, which stands still as long as nobody reads there. So that thread is
/// waited for here, within bounds, and the library is left with a logger that has nothing to write.
///
/// # Errors
/// When the logger that takes the place of the one before cannot be built.
pub fn finish() -> Result<(), spdlog::Error> {
    let silent = Arc::new(Logger::builder().build()?);
    let logger = spdlog::swap_default_logger(silent);
    let (done, written) = mpsc::channel();
    std::thread::spawn(move || {
        // The last reference to the pool: its queue is written to the end.
        drop(logger);
        // Whoever waits may have given up.
        let _ = done.send(());
    });
    // Lines that nobody reads are lost with the process.
    let _ = written.recv_timeout(FLUSH_TIMEOUT);
    Ok(())
}

fn sink(
    target: Target,
    formatter: impl Formatter + 'static,
) -> Result<Arc<dyn Sink>, spdlog::Error> {
    let stream = match target {
        Target::Error => StdStream::Stderr,
        Target::Output => StdStream::Stdout,
    };
    let builder = StdStreamSink::builder().std_stream(stream);
    let direct = Arc::new(builder.formatter(formatter).build()?);
    match target {
        Target::Error => Ok(direct),
        Target::Output => {
            let pool = ThreadPool::builder()
                .capacity(QUEUE_LINES.try_into().expect("the queue is not empty"))
                .build()?;
            let queued = AsyncPoolSink::builder()
                .sink(direct)
                .thread_pool(Arc::new(pool))
                .overflow_policy(OverflowPolicy::DropIncoming);
            Ok(Arc::new(queued.build()?))
        }
    }
}
