//! Logs: one line an event, to standard error.

use std::sync::Arc;

use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

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

/// Sends events at `level` and above to standard error. May be called again: the last call
/// holds for the whole process.
///
/// # Errors
/// When the logger cannot be built.
pub fn start(level: Level, format: Format) -> Result<(), spdlog::Error> {
    let sink = match format {
        Format::Text => sink(FullFormatter::new())?,
        Format::Json => sink(JsonFormatter::new())?,
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level.into()))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn sink(formatter: impl Formatter + 'static) -> Result<Arc<dyn Sink>, spdlog::Error> {
    let builder = StdStreamSink::builder().std_stream(StdStream::Stderr);
    Ok(Arc::new(builder.formatter(formatter).build()?))
}
