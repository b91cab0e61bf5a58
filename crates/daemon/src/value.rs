//! Types of values in settings files, and their formats.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::log::{Format, Level};

/// A type that can be parsed from a settings file.
pub trait Value: Sized {
    /// Expected format, for the message about an invalid value.
    const SHAPE: &'static str;

    /// Parses `text`. Returns `None` if it does not have the expected format.
    fn read(text: &str) -> Option<Self>;
}

impl Value for String {
    const SHAPE: &'static str = "text";

    fn read(text: &str) -> Option<String> {
        (!text.is_empty()).then(|| text.to_owned())
    }
}

impl Value for PathBuf {
    const SHAPE: &'static str = "the path of a file";

    fn read(text: &str) -> Option<PathBuf> {
        (!text.is_empty()).then(|| PathBuf::from(text))
    }
}

impl Value for bool {
    const SHAPE: &'static str = "yes or no";

    fn read(text: &str) -> Option<bool> {
        match text {
            "yes" | "true" => Some(true),
            "no" | "false" => Some(false),
            _ => None,
        }
    }
}

impl Value for SocketAddr {
    const SHAPE: &'static str = "an IP address and a port, for example 10.1.2.3:6432";

    fn read(text: &str) -> Option<SocketAddr> {
        text.parse().ok()
    }
}

impl<V: Value> Value for Vec<V> {
    const SHAPE: &'static str = "a comma-separated list";

    fn read(text: &str) -> Option<Vec<V>> {
        text.split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(V::read)
            .collect()
    }
}

macro_rules! whole_numbers {
    ($($kind:ty),*) => {$(
        impl Value for $kind {
            const SHAPE: &'static str = "a whole number";

            fn read(text: &str) -> Option<$kind> {
                text.parse().ok()
            }
        }
    )*};
}

whole_numbers!(u16, u32, u64, usize);

impl Value for Duration {
    const SHAPE: &'static str = "a time with its unit, for example 250ms, 3s or 5m";

    /// ```
    /// use std::time::Duration;
    /// use flamingopost_daemon::value::Value;
    ///
    /// assert_eq!(Duration::read("250ms"), Some(Duration::from_millis(250)));
    /// assert_eq!(Duration::read("3"), None);
    /// ```
    fn read(text: &str) -> Option<Duration> {
        let unit = text.trim_start_matches(|c: char| c.is_ascii_digit());
        let count: u64 = text[..text.len() - unit.len()].parse().ok()?;
        match unit.trim() {
            "ms" => Some(Duration::from_millis(count)),
            "s" => Some(Duration::from_secs(count)),
            "m" => count.checked_mul(60).map(Duration::from_secs),
            _ => None,
        }
    }
}

impl Value for Level {
    const SHAPE: &'static str = "one of critical, error, warn, info, debug, trace";

    fn read(text: &str) -> Option<Level> {
        Level::parse(text)
    }
}

impl Value for Format {
    const SHAPE: &'static str = "text or json";

    fn read(text: &str) -> Option<Format> {
        match text {
            "text" => Some(Format::Text),
            "json" => Some(Format::Json),
            _ => None,
        }
    }
}
