//! Types of values in settings files, and their formats.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::log::{Format, Level};

/// Longest time in a settings file, in seconds: 100 years. Times that are added to the time of a
/// clock do not overflow below it.
const MAX_TIME_SECONDS: f64 = 100.0 * 365.25 * 24.0 * 60.0 * 60.0;

/// Largest number below which all whole numbers are floats without rounding.
const MAX_EXACT: f64 = (1_u64 << f64::MANTISSA_DIGITS) as f64;

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

impl Value for f64 {
    const SHAPE: &'static str = "a number that is not negative, for example 0.25";

    /// ```
    /// use flamingopost_daemon::value::Value;
    ///
    /// assert_eq!(f64::read("2.5e-1"), Some(0.25));
    /// assert_eq!(f64::read("-1"), None);
    /// assert_eq!(f64::read("inf"), None);
    /// ```
    fn read(text: &str) -> Option<f64> {
        // Excludes a sign and the words for infinity and for what is not a number.
        let is_number = text.starts_with(|first: char| first.is_ascii_digit() || first == '.');
        let number: f64 = text.parse().ok().filter(|_| is_number)?;
        number.is_finite().then_some(number)
    }
}

macro_rules! whole_numbers {
    ($($kind:ty),*) => {$(
        impl Value for $kind {
            const SHAPE: &'static str = "a whole number";

            /// Other notations of a whole number, such as `4300.0` and `4.3e3`, have the format
            /// too.
            fn read(text: &str) -> Option<$kind> {
                text.parse().ok().or_else(|| {
                    let number = f64::read(text)?;
                    let is_whole = number.fract() == 0.0 && number < MAX_EXACT;
                    is_whole.then_some(number as u64)?.try_into().ok()
                })
            }
        }
    )*};
}

whole_numbers!(u16, u32, u64, usize);

impl Value for Duration {
    const SHAPE: &'static str = "a time with its unit, for example 250ms, 3s or 5m";

    /// Times of more than 100 years do not have the format.
    ///
    /// ```
    /// use std::time::Duration;
    /// use flamingopost_daemon::value::Value;
    ///
    /// assert_eq!(Duration::read("250ms"), Some(Duration::from_millis(250)));
    /// assert_eq!(Duration::read("0.5m"), Some(Duration::from_secs(30)));
    /// assert_eq!(Duration::read("7e3ms"), Some(Duration::from_secs(7)));
    /// assert_eq!(Duration::read("3"), None);
    /// assert_eq!(Duration::read("1e300s"), None);
    /// ```
    fn read(text: &str) -> Option<Duration> {
        let number = |unit| text.strip_suffix(unit).map(str::trim_end);
        let seconds = if let Some(count) = number("ms") {
            f64::read(count)? / 1_000.0
        } else if let Some(count) = number("s") {
            f64::read(count)?
        } else {
            f64::read(number("m")?)? * 60.0
        };
        let is_bounded = seconds <= MAX_TIME_SECONDS;
        is_bounded.then(|| Duration::try_from_secs_f64(seconds).ok())?
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
