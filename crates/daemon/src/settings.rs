//! Settings of a host, read from an INI file. All problems of a file are reported at once.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::{Path, PathBuf};

use ini::{Ini, ParseOption};

use crate::token::Token;
use crate::value::Value;

mod log;
mod platform;

pub use log::Log;
pub use platform::Platform;

/// A problem in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1; 0 if the problem belongs to no line, such as a missing key.
    pub line: usize,
    /// What is wrong.
    pub kind: ProblemKind,
}

/// What is wrong in a settings file, and how to fix it.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ProblemKind {
    /// cannot be read: {0}
    Unreadable(String),
    /// is not valid INI: {0}
    Syntax(String),
    /// may be cut off: end the last line with a line break
    CutOff,
    /// [{section}] lacks `{key}`: add for example `{key} = {example}`
    Missing {
        /// Section that lacks the key.
        section: String,
        /// The missing key.
        key: String,
        /// Example of a valid value.
        example: String,
    },
    /// `{key} = {value}` in [{section}] is wrong: write {shape}
    Wrong {
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// The invalid value.
        value: String,
        /// Expected format of the value.
        shape: String,
    },
    /// `{key}` is unknown in [{section}]: remove it, or use one of {known}
    UnknownKey {
        /// Section.
        section: String,
        /// The unknown key.
        key: String,
        /// Valid keys of the section.
        known: String,
    },
    /// section [{section}] is unknown: remove it, or use one of {known}
    UnknownSection {
        /// The unknown section.
        section: String,
        /// Valid sections.
        known: String,
    },
    /// `{key} = {value}` in [{section}] names a file that cannot be read: {error}
    File {
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// Path of the file.
        value: String,
        /// Why the file cannot be read.
        error: String,
    },
    /// `{key}` appears twice in [{section}]: keep one
    Twice {
        /// Section.
        section: String,
        /// Key.
        key: String,
    },
    /// has values that do not fit each other
    Inconsistent,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.kind),
            line => write!(f, "{}:{}: {}", self.file, line, self.kind),
        }
    }
}

/// All problems of a file. They are displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl std::error::Error for Problems {}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let end = if index == 0 { "" } else { "\n" };
            write!(f, "{end}{problem}")?;
        }
        Ok(())
    }
}

/// Unquoted text of a key without a value, as in JSON.
const NULL: &str = "null";

/// Section and key.
type KeyPath = (String, String);

/// Reads values from one settings file and collects its problems.
///
/// [`Reader::finish`] rejects a file for any problem, [`Reader::finish_lenient`] only for problems
/// that a process cannot run with.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_daemon::settings::Reader;
///
/// let mut reader = Reader::parse("entry.ini", "[host]\nname = dumdum-1\n");
/// let name: Option<String> = reader.required("host", "name", "dumdum-1");
/// let wait = reader.optional("host", "wait", Duration::from_secs(3));
/// assert_eq!(wait, Duration::from_secs(3));
/// assert_eq!(reader.finish(name).unwrap(), "dumdum-1");
///
/// let mut reader = Reader::parse("entry.ini", "[host]\nnam = dumdum-1\n");
/// let name: Option<String> = reader.required("host", "name", "dumdum-1");
/// let problems = reader.finish(name).unwrap_err();
/// assert_eq!(
///     problems.to_string(),
///     "entry.ini: [host] lacks `name`: add for example `name = dumdum-1`\n\
///      entry.ini:2: `nam` is unknown in [host]: remove it, or use one of name"
/// );
/// ```
#[derive(Debug)]
pub struct Reader {
    file: String,
    values: BTreeMap<KeyPath, String>,
    lines: BTreeMap<KeyPath, usize>,
    duplicates: BTreeSet<KeyPath>,
    requested: BTreeSet<KeyPath>,
    problems: Vec<Problem>,
    /// Problems that a process can run with: of optional settings, and of unknown ones.
    tolerable: Vec<Problem>,
}

impl Reader {
    /// Reads the file at `path`. An unreadable file is reported as a problem by [`Reader::finish`].
    pub fn open(path: &Path) -> Reader {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Reader::parse(&file, &text),
            Err(error) => {
                let mut reader = Reader::empty(&file);
                reader.report(0, ProblemKind::Unreadable(error.to_string()));
                reader
            }
        }
    }

    /// Parses `text`, the contents of `file`. [`Reader::finish`] reports text whose last value may be
    /// cut off: no line break follows it, and it is not in double quotes.
    pub fn parse(file: &str, text: &str) -> Reader {
        let mut reader = Reader {
            lines: line_numbers(text),
            ..Reader::empty(file)
        };
        if may_be_cut_off(text) {
            reader.report(text.lines().count(), ProblemKind::CutOff);
        }
        // Quoted texts are decoded here, since the library has no escapes that every text survives.
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(text, options) {
            Ok(ini) => reader.load(&ini),
            Err(error) => reader.report(error.line, ProblemKind::Syntax(error.msg.to_string())),
        }
        reader
    }

    fn empty(file: &str) -> Reader {
        Reader {
            file: file.to_owned(),
            values: BTreeMap::new(),
            lines: BTreeMap::new(),
            duplicates: BTreeSet::new(),
            requested: BTreeSet::new(),
            problems: Vec::new(),
            tolerable: Vec::new(),
        }
    }

    /// Returns a required value. If it is missing or empty, the problem shows `example`.
    pub fn required<V: Value>(&mut self, section: &str, key: &str, example: &str) -> Option<V> {
        let decoded = self.decode(section, key).and_then(|value| {
            value.ok_or_else(|| ProblemKind::Missing {
                section: section.to_owned(),
                key: key.to_owned(),
                example: example.to_owned(),
            })
        });
        decoded
            .map_err(|problem| self.report(self.line(section, key), problem))
            .ok()
    }

    /// Returns an optional value, or `default` if it is absent, empty or invalid.
    pub fn optional<V: Value>(&mut self, section: &str, key: &str, default: V) -> V {
        self.maybe(section, key).unwrap_or(default)
    }

    /// Returns an optional value, or `None` if it is absent, empty or invalid.
    pub fn maybe<V: Value>(&mut self, section: &str, key: &str) -> Option<V> {
        self.decode(section, key).unwrap_or_else(|problem| {
            let problem = self.problem(self.line(section, key), problem);
            self.tolerable.push(problem);
            None
        })
    }

    /// Returns an optional value, or `None` if it is absent or empty. Unlike with [`Reader::maybe`], an
    /// invalid value is never tolerated.
    ///
    /// ```
    /// use flamingopost_daemon::settings::Reader;
    ///
    /// let mut reader = Reader::parse("entry.ini", "[host]\nsessions = many\n");
    /// let sessions: Option<usize> = reader.valid_if_present("host", "sessions");
    /// assert!(reader.finish_lenient(Some(sessions)).is_err());
    /// ```
    pub fn valid_if_present<V: Value>(&mut self, section: &str, key: &str) -> Option<V> {
        self.decode(section, key).unwrap_or_else(|problem| {
            self.report(self.line(section, key), problem);
            None
        })
    }

    /// Reports that the file named by `key` cannot be read.
    pub fn unreadable(&mut self, section: &str, key: &str, error: &std::io::Error) {
        let kind = ProblemKind::File {
            section: section.to_owned(),
            key: key.to_owned(),
            value: self.text(section, key).unwrap_or_default().to_owned(),
            error: error.to_string(),
        };
        self.report(self.line(section, key), kind);
    }

    /// Returns the operators' token, read from the file named by `token_file` in `[operators]`.
    ///
    /// An empty file is a problem: the processes of a fleet without a token accept calls from
    /// anyone.
    pub fn token(&mut self) -> Option<Token> {
        let (section, key) = ("operators", "token_file");
        let path: PathBuf = self.required(section, key, "/etc/flamingopost/token")?;
        let error = match Token::load(&path) {
            Ok(token) if !token.is_empty() => return Some(token),
            Ok(_) => std::io::Error::other("it is empty"),
            Err(error) => error,
        };
        self.unreadable(section, key, &error);
        None
    }

    /// Returns the decoded settings if the file has no problem. Every key that was not requested is
    /// a problem.
    ///
    /// # Errors
    /// Returns all problems of the file, at least one.
    pub fn finish<T>(self, decoded: Option<T>) -> Result<T, Problems> {
        let (decoded, tolerated) = self.finish_lenient(decoded)?;
        match tolerated.0.is_empty() {
            true => Ok(decoded),
            false => Err(tolerated),
        }
    }

    /// Like [`Reader::finish`], but tolerates invalid values of optional settings, which take their
    /// defaults, and unknown keys and sections. These problems are returned with the settings.
    ///
    /// ```
    /// use flamingopost_daemon::settings::Reader;
    ///
    /// let mut reader = Reader::parse("entry.ini", "[host]\nname = a\nsessions = many\n");
    /// let name: Option<String> = reader.required("host", "name", "dumdum-1");
    /// let sessions = reader.optional("host", "sessions", 2_000_usize);
    /// let (settings, tolerated) = reader.finish_lenient(name.map(|name| (name, sessions))).unwrap();
    /// assert_eq!(settings, ("a".to_owned(), 2_000));
    /// assert_eq!(
    ///     tolerated.to_string(),
    ///     "entry.ini:3: `sessions = many` in [host] is wrong: write a whole number"
    /// );
    /// ```
    ///
    /// # Errors
    /// Returns all problems of the file, at least one, if one of them is not tolerated.
    pub fn finish_lenient<T>(mut self, decoded: Option<T>) -> Result<(T, Problems), Problems> {
        self.report_unknown();
        if decoded.is_none() && self.problems.is_empty() && self.tolerable.is_empty() {
            self.report(0, ProblemKind::Inconsistent);
        }
        match decoded {
            Some(decoded) if self.problems.is_empty() => Ok((decoded, Problems(self.tolerable))),
            _ => {
                self.problems.append(&mut self.tolerable);
                Err(Problems(self.problems))
            }
        }
    }

    fn load(&mut self, ini: &Ini) {
        for (section, properties) in ini {
            let section = section.unwrap_or_default();
            for (key, value) in properties {
                let path = (section.to_owned(), key.to_owned());
                let value = value.trim().to_owned();
                if self.values.insert(path.clone(), value).is_some() {
                    self.duplicates.insert(path);
                }
            }
        }
    }

    /// Returns the value of `key`, or `None` if it is absent or empty.
    ///
    /// # Errors
    /// Returns a problem if the value does not have the format of `V`, or if the key appears twice.
    fn decode<V: Value>(&mut self, section: &str, key: &str) -> Result<Option<V>, ProblemKind> {
        let path = (section.to_owned(), key.to_owned());
        let is_duplicate = self.duplicates.contains(&path);
        self.requested.insert(path);
        let (section, key) = (section.to_owned(), key.to_owned());
        if is_duplicate {
            return Err(ProblemKind::Twice { section, key });
        }
        let Some(text) = self.text(&section, &key) else {
            return Ok(None);
        };
        let wrong = |shape: &str| ProblemKind::Wrong {
            section,
            key,
            value: text.to_owned(),
            shape: shape.to_owned(),
        };
        match unquoted(text) {
            None => Err(wrong("text in double quotes, with escapes as in JSON")),
            Some(text) if text.is_empty() => Ok(None),
            Some(text) => V::read(&text).map(Some).ok_or_else(|| wrong(V::SHAPE)),
        }
    }

    fn text(&self, section: &str, key: &str) -> Option<&str> {
        let path = (section.to_owned(), key.to_owned());
        let text = self.values.get(&path)?;
        (!text.is_empty() && text != NULL).then_some(text)
    }

    fn line(&self, section: &str, key: &str) -> usize {
        let path = (section.to_owned(), key.to_owned());
        self.lines.get(&path).copied().unwrap_or_default()
    }

    fn problem(&self, line: usize, kind: ProblemKind) -> Problem {
        let file = self.file.clone();
        Problem { file, line, kind }
    }

    fn report(&mut self, line: usize, kind: ProblemKind) {
        let problem = self.problem(line, kind);
        self.problems.push(problem);
    }

    fn report_unknown(&mut self) {
        let unknown: Vec<KeyPath> = self
            .values
            .keys()
            .filter(|path| !self.requested.contains(*path))
            .cloned()
            .collect();
        for (section, key) in unknown {
            let line = self.line(&section, &key);
            let known = self.known_keys(&section);
            let kind = if known.is_empty() {
                let known = self.known_sections();
                ProblemKind::UnknownSection { section, known }
            } else {
                ProblemKind::UnknownKey {
                    section,
                    key,
                    known,
                }
            };
            let problem = self.problem(line, kind);
            self.tolerable.push(problem);
        }
    }

    fn known_keys(&self, section: &str) -> String {
        let keys = self
            .requested
            .iter()
            .filter(|(requested, _)| requested == section);
        join(keys.map(|(_, key)| key.as_str()))
    }

    fn known_sections(&self) -> String {
        let sections: BTreeSet<&str> = self
            .requested
            .iter()
            .map(|(requested, _)| requested.as_str())
            .collect();
        join(sections.into_iter())
    }
}

fn join<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.collect::<Vec<_>>().join(", ")
}

/// Returns whether the last value of `text` may lack its end.
fn may_be_cut_off(text: &str) -> bool {
    let last = text.lines().last().unwrap_or_default();
    let is_enclosed = last.split_once(['=', ':']).is_some_and(|(_, value)| {
        let value = value.trim();
        value.starts_with('"') && unquoted(value).is_some()
    });
    !text.ends_with('\n') && !is_enclosed
}

/// Returns `text` without its quotes, or `None` if a quote or an escape in them is invalid. Double
/// quotes enclose text with escapes as in JSON, single quotes enclose text without escapes.
fn unquoted(text: &str) -> Option<Cow<'_, str>> {
    if text.starts_with('"') {
        return serde_json::from_str(text).map(Cow::Owned).ok();
    }
    let enclosed = text
        .strip_prefix('\'')
        .and_then(|rest| rest.strip_suffix('\''));
    Some(Cow::Borrowed(enclosed.unwrap_or(text)))
}

/// Returns the line number of each key. The INI library provides them for syntax errors only.
fn line_numbers(text: &str) -> BTreeMap<KeyPath, usize> {
    let mut lines = BTreeMap::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            section = name.trim().to_owned();
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            lines.insert((section.clone(), key.trim().to_owned()), index + 1);
        }
    }
    lines
}
