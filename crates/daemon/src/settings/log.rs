//! What a process writes to its log, and how.

use super::Reader;
use crate::log::{Format, Level};

/// What a process writes to its log, and how.
#[derive(Debug, Clone, Copy)]
pub struct Log {
    /// Least important level that is written.
    pub level: Level,
    /// How lines are written.
    pub format: Format,
}

impl Default for Log {
    fn default() -> Self {
        Log {
            level: Level::Info,
            format: Format::Text,
        }
    }
}

impl Log {
    /// Decodes the section `[log]`; what it does not give is at its default.
    pub fn read(reader: &mut Reader) -> Log {
        let Log { level, format } = Log::default();
        Log {
            level: reader.optional("log", "level", level),
            format: reader.optional("log", "format", format),
        }
    }
}
