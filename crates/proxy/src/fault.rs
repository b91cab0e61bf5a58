//! Faults of entries that cannot be used.

/// Maximum length of a quotation from an entry, in characters. Entries have up to 64 KiB, and a log
/// line that quotes one has to stay readable.
const MAX_QUOTED_CHARS: usize = 80;

/// Fault of an entry in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Fault {
    /// its bytes are not correctly encoded
    Encoding,
    /// it is not a readable document
    Syntax,
    /// a field is missing or has the wrong type: {0}
    Field(String),
    /// its name `{0}` cannot be sent to a server
    Name(String),
    /// `{0}` is not an address
    Address(String),
    /// `{0}` is out of range
    Number(String),
    /// `{0}` is not a known state
    State(String),
    /// `{0}` is not a known role
    Role(String),
    /// `{0}` is not a known kind of route
    Kind(String),
    /// the configuration has no service `{0}`
    Service(String),
    /// the start time of the server is missing
    Start,
}

impl Fault {
    /// Returns the fault's value of a metric label.
    ///
    /// ```
    /// use flamingopost_proxy::fault::Fault;
    ///
    /// assert_eq!(Fault::State("failing".to_owned()).label(), "state");
    /// ```
    pub fn label(&self) -> &'static str {
        match self {
            Fault::Encoding => "encoding",
            Fault::Syntax => "syntax",
            Fault::Field(_) => "field",
            Fault::Name(_) => "name",
            Fault::Address(_) => "address",
            Fault::Number(_) => "number",
            Fault::State(_) => "state",
            Fault::Role(_) => "role",
            Fault::Kind(_) => "kind",
            Fault::Service(_) => "service",
            Fault::Start => "start",
        }
    }
}

/// Returns the beginning of `text`, which another writer wrote, escaped for a log line.
///
/// ```
/// use flamingopost_proxy::fault::quote;
///
/// assert_eq!(quote("ready\r\n"), "ready\\r\\n");
/// assert_eq!(quote(&"x".repeat(70_000)).len(), 83);
/// ```
pub fn quote(text: &str) -> String {
    let mut escaped = text.escape_debug();
    let mut quoted: String = escaped.by_ref().take(MAX_QUOTED_CHARS).collect();
    if escaped.next().is_some() {
        quoted.push_str("...");
    }
    quoted
}
