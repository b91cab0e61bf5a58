//! Settings of the log.

use super::Reader;
use crate::log::{Format, Level};

/// Settings of the log.
#[derive(Debug, Clone, Copy)]
pub struct Log {
    /// Minimum level of events that are written.
    pub level: Level,
    /// Format of the lines.
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
    /// Decodes the section `[log]`. Missing keys take their defaults.
    pub fn read(reader: &mut Reader) -> Log {
        let Log { level, format } = Log::default();
        Log {
            level: reader.optional("log", "level", level),
            format: reader.optional("log", "format", format),
        }
    }
}
