//! Rows of other writers that no reader expects.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

/// Nesting that is more than most decoders take.
const DEEP: usize = 200;

/// Nesting that is far more than a stack holds.
const VERY_DEEP: usize = 100_000;

/// What is odd about a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Odd {
    /// Its value is nested 200 levels.
    Deep,
    /// Its value is nested 100,000 levels.
    VeryDeep,
    /// A number is too large for a floating-point number.
    Huge,
    /// A text has half of a surrogate pair.
    HalfPair,
    /// Its content is nested 200 levels.
    DeepContent,
    /// Its content has counts of 2^64 - 1 and an address without a valid port.
    OutOfRange,
}

impl Odd {
    /// Every kind of odd row.
    pub const ALL: [Odd; 6] = [
        Odd::Deep,
        Odd::VeryDeep,
        Odd::Huge,
        Odd::HalfPair,
        Odd::DeepContent,
        Odd::OutOfRange,
    ];

    /// Tables that hosts read: the platform's, and their own.
    pub const TABLES: [&str; 5] = [
        "op",
        "servers",
        "flamingopost-hosts",
        "flamingopost-claims",
        "flamingopost-written",
    ];

    /// Key of an odd row, after those of all others.
    pub const KEY: &str = "~odd";

    /// Returns the row of `table` as JSON, except where no JSON can be as odd.
    ///
    /// ```
    /// use flamingopost_standin::pooled::Odd;
    ///
    /// assert!(Odd::Huge.text("servers").contains("1e400"));
    /// ```
    pub fn text(self, table: &str) -> String {
        let (key, count) = (Odd::KEY, u64::MAX);
        let (value, version) = match self {
            Odd::Deep => (nested(DEEP), "3"),
            Odd::VeryDeep => (nested(VERY_DEEP), "3"),
            Odd::Huge => ("\"e30=\"".to_owned(), "1e400"),
            Odd::HalfPair => ("\"\\ud800\"".to_owned(), "3"),
            Odd::DeepContent => (encoded(&nested(DEEP)), "3"),
            Odd::OutOfRange => {
                let content = format!(
                    r#"{{"service":"ledger","address":"127.0.0.1:70000","born":{count},"zone":"zone-1",
                    "version":"v1","capacity":{count},"state":"ready","cold_left_ms":{count},
                    "sequence":{count},"reported_role":"replica","holder":"odd","count":{count},
                    "host":"odd","protocol":{count}}}"#
                );
                (encoded(&content), "3")
            }
        };
        format!(
            r#"{{"table_name":"{table}","part":"","key":"{key}","value":{value},"schema_version":{version}}}"#
        )
    }
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn encoded(content: &str) -> String {
    format!("\"{}\"", STANDARD.encode(content))
}
