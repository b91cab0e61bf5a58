//! Parameters of a session: `SET`, `SHOW` and those that are reported on change.

use std::collections::BTreeMap;
use std::time::Duration;

use super::error::Error;
use super::sql::Setting;

const DEFAULTS: [(&str, &str); 22] = [
    ("application_name", ""),
    ("bytea_output", "hex"),
    ("client_encoding", "UTF8"),
    ("client_min_messages", "notice"),
    ("datestyle", "ISO, MDY"),
    ("default_transaction_isolation", "read committed"),
    ("default_transaction_read_only", "off"),
    ("extra_float_digits", "1"),
    ("idle_in_transaction_session_timeout", "0"),
    ("integer_datetimes", "on"),
    ("intervalstyle", "postgres"),
    ("is_superuser", "off"),
    ("lock_timeout", "0"),
    ("search_path", "public"),
    ("server_encoding", "UTF8"),
    ("server_version", "16.0"),
    ("standard_conforming_strings", "on"),
    ("statement_timeout", "0"),
    ("synchronous_commit", "on"),
    ("timezone", "UTC"),
    ("transaction_isolation", "read committed"),
    ("work_mem", "4MB"),
];

/// Parameters that callers are told of at start-up and on change, as they are spelt there.
const REPORTED: [&str; 11] = [
    "application_name",
    "client_encoding",
    "DateStyle",
    "default_transaction_read_only",
    "integer_datetimes",
    "IntervalStyle",
    "is_superuser",
    "server_encoding",
    "server_version",
    "standard_conforming_strings",
    "TimeZone",
];

type Values = BTreeMap<String, String>;

/// The parameters of one session.
#[derive(Debug, Default)]
pub(crate) struct Parameters {
    values: Values,
    /// What they were before the open transaction.
    before: Option<Values>,
    /// What they are after it, if it commits: the same without `SET LOCAL`.
    after: Values,
    reported: Values,
}

impl Parameters {
    /// Takes the parameters of a start-up message that the server knows.
    pub(crate) fn start(given: &BTreeMap<String, String>) -> Parameters {
        let mut values = Values::new();
        for (name, value) in given {
            let name = name.to_lowercase();
            if default_of(&name).is_some() || name.contains('.') {
                values.insert(name, value.clone());
            }
        }
        Parameters {
            values,
            ..Parameters::default()
        }
    }

    pub(crate) fn get(&self, name: &str) -> Result<String, Error> {
        let name = name.to_lowercase();
        self.values
            .get(&name)
            .cloned()
            .or_else(|| default_of(&name).map(str::to_owned))
            .ok_or(Error::Parameter(name))
    }

    pub(crate) fn set(&mut self, setting: &Setting) -> Result<(), Error> {
        let name = setting.name.to_lowercase();
        if name == "all" && setting.value.is_none() {
            self.values.clear();
            self.after.clear();
            return Ok(());
        }
        if default_of(&name).is_none() && !name.contains('.') {
            return Err(Error::Parameter(name));
        }
        change(&mut self.values, &name, setting.value.as_deref());
        if !setting.local {
            change(&mut self.after, &name, setting.value.as_deref());
        }
        Ok(())
    }

    /// Remembers what a rollback restores.
    pub(crate) fn begin(&mut self) {
        self.before = Some(self.values.clone());
        self.after = self.values.clone();
    }

    /// Ends the transaction that `begin` began, if any.
    pub(crate) fn end(&mut self, committed: bool) {
        if let Some(before) = self.before.take() {
            self.values = if committed {
                std::mem::take(&mut self.after)
            } else {
                before
            };
        }
    }

    pub(crate) fn statement_timeout(&self) -> Option<Duration> {
        let text = self.values.get("statement_timeout")?;
        let (number, unit) = match text.find(|letter: char| !letter.is_ascii_digit()) {
            Some(end) => text.split_at(end),
            None => (text.as_str(), "ms"),
        };
        let number: u64 = number.parse().ok().filter(|number| *number > 0)?;
        match unit.trim() {
            "s" => Some(Duration::from_secs(number)),
            "min" => Some(Duration::from_secs(number * 60)),
            _ => Some(Duration::from_millis(number)),
        }
    }

    /// The reported parameters whose value the caller does not know yet.
    pub(crate) fn unreported(&mut self) -> Vec<(&'static str, String)> {
        let mut news = Vec::new();
        for name in REPORTED {
            let value = self.get(name).unwrap_or_default();
            if self.reported.get(name) != Some(&value) {
                self.reported.insert(name.to_owned(), value.clone());
                news.push((name, value));
            }
        }
        news
    }
}

fn default_of(name: &str) -> Option<&'static str> {
    DEFAULTS
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, value)| *value)
}

fn change(values: &mut Values, name: &str, value: Option<&str>) {
    match value {
        Some(value) => values.insert(name.to_owned(), value.to_owned()),
        None => values.remove(name),
    };
}
