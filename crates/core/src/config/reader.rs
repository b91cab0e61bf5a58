//! Typed access to the keys of one section, which reports problems as it reads.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::value::{self, Expected};
use super::{Document, Entry, Fault, Kind, Problem, Section};

/// Every section that can be referred to, by kind and name. Of duplicate sections, the first
/// counts.
#[derive(Debug, Default)]
pub(super) struct Declared<'a> {
    sections: BTreeMap<(Kind, &'a str), &'a Section>,
    in_order: BTreeMap<Kind, Vec<&'a Section>>,
}

impl<'a> Declared<'a> {
    /// Collects the sections of `document` and reports invalid headings.
    pub(super) fn new(document: &'a Document, problems: &mut Vec<Problem>) -> Declared<'a> {
        let mut declared = Declared::default();
        for section in &document.sections {
            if let Err(fault) = declared.add(section) {
                let line = section.line;
                problems.push(Problem { line, fault });
            }
        }
        declared
    }

    fn add(&mut self, section: &'a Section) -> Result<(), Fault> {
        let kind = Kind::find(&section.kind).ok_or_else(|| unknown_kind(&section.kind))?;
        let name = section.name.clone();
        match (kind.is_named(), name.is_empty()) {
            (true, true) => return Err(Fault::Unnamed { kind }),
            (false, false) => return Err(Fault::Named { kind, name }),
            (true, false) if !value::is_name(&name) => return Err(Fault::BadName { kind, name }),
            _ => {}
        }
        let id = (kind, section.name.as_str());
        if let Some(first) = self.sections.get(&id) {
            let first = first.line;
            return Err(Fault::DuplicateSection { kind, name, first });
        }
        self.sections.insert(id, section);
        self.in_order.entry(kind).or_default().push(section);
        Ok(())
    }

    /// Returns the sections of `kind` in the order of the file.
    pub(super) fn of(&self, kind: Kind) -> &[&'a Section] {
        self.in_order.get(&kind).map_or(&[], Vec::as_slice)
    }

    /// Returns the section of `kind` with the name `name`.
    pub(super) fn find(&self, kind: Kind, name: &str) -> Option<&'a Section> {
        self.sections.get(&(kind, name)).copied()
    }

    fn names(&self, kind: Kind) -> impl Iterator<Item = &'a str> + use<'a, '_> {
        self.of(kind).iter().map(|section| section.name.as_str())
    }
}

fn unknown_kind(kind: &str) -> Fault {
    let kinds = Kind::ALL.map(|kind| kind.to_string());
    Fault::UnknownKind {
        kind: kind.to_owned(),
        nearest: value::nearest(kind, kinds.iter().map(String::as_str)),
    }
}

/// Returns `entry`, unless a comment follows its value.
fn without_trailing_comment(entry: &Entry) -> Option<&Entry> {
    (!entry.value.contains(" ;")).then_some(entry)
}

/// Reader of one section.
#[derive(Debug)]
pub(super) struct Reader<'a, 'p> {
    pub(super) kind: Kind,
    pub(super) section: &'a Section,
    declared: &'p Declared<'a>,
    problems: &'p mut Vec<Problem>,
    problems_before: usize,
}

impl<'a, 'p> Reader<'a, 'p> {
    /// Creates a reader of `section` and reports unknown and duplicate keys.
    pub(super) fn new(
        kind: Kind,
        section: &'a Section,
        declared: &'p Declared<'a>,
        problems: &'p mut Vec<Problem>,
    ) -> Reader<'a, 'p> {
        let mut reader = Reader::resume(kind, section, declared, problems);
        reader.check_keys();
        reader
    }

    /// Creates a reader of a `section` whose keys have been checked already.
    pub(super) fn resume(
        kind: Kind,
        section: &'a Section,
        declared: &'p Declared<'a>,
        problems: &'p mut Vec<Problem>,
    ) -> Reader<'a, 'p> {
        Reader {
            kind,
            section,
            declared,
            problems_before: problems.len(),
            problems,
        }
    }

    /// Returns the name of the section.
    pub(super) fn name(&self) -> &'a str {
        &self.section.name
    }

    /// Reports whether this reader has found no problem in the section.
    pub(super) fn is_valid(&self) -> bool {
        self.problems.len() == self.problems_before
    }

    /// Returns the values of `key` in all sections of `kind`, valid or not.
    pub(super) fn values_of(&self, kind: Kind, key: &str) -> BTreeSet<&'a str> {
        let sections = self.declared.of(kind).iter();
        sections
            .filter_map(|section| section.find(key))
            .map(|entry| entry.value.as_str())
            .collect()
    }

    /// Reports a problem on `line`.
    pub(super) fn report(&mut self, line: usize, fault: Fault) {
        self.problems.push(Problem { line, fault });
    }

    fn check_keys(&mut self) {
        let mut seen = BTreeMap::new();
        for entry in &self.section.entries {
            let fault = match seen.get(entry.key.as_str()) {
                Some(first) => Some(Fault::DuplicateKey {
                    key: entry.key.clone(),
                    first: *first,
                }),
                None => self.check_key(entry),
            };
            seen.entry(entry.key.as_str()).or_insert(entry.line);
            if let Some(fault) = fault {
                self.report(entry.line, fault);
            }
        }
    }

    fn check_key(&self, entry: &Entry) -> Option<Fault> {
        let keys = self.kind.keys();
        let key = entry.key.clone();
        if keys.contains(&key.as_str()) {
            return match without_trailing_comment(entry) {
                Some(_) => None,
                None => Some(Fault::TrailingComment { key }),
            };
        }
        if self.kind == Kind::Caller && key.contains("password") {
            return Some(Fault::PlainPassword);
        }
        let nearest = value::nearest(&key, keys.iter().copied());
        let kind = self.kind;
        Some(Fault::UnknownKey { kind, key, nearest })
    }

    /// Returns the entry for `key`, unless a comment follows its value, which was reported already.
    pub(super) fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section.find(key).and_then(without_trailing_comment)
    }

    /// Returns the entry for `key` and reports it if it is missing.
    pub(super) fn required(&mut self, key: &'static str) -> Option<&'a Entry> {
        if self.section.find(key).is_none() {
            let fault = Fault::MissingKey {
                kind: self.kind,
                name: self.name().to_owned(),
                key,
            };
            self.report(self.section.line, fault);
        }
        self.entry(key)
    }

    /// Returns the entry for `key` or else that of the service, and reports it if both are missing.
    ///
    /// A comment that follows an inherited value is reported for the service, so it is not reported
    /// again here.
    pub(super) fn inherited(
        &mut self,
        key: &'static str,
        service: Option<&str>,
    ) -> Option<&'a Entry> {
        if self.section.find(key).is_some() {
            return self.entry(key);
        }
        let service = service.and_then(|name| self.declared.find(Kind::Service, name))?;
        match service.find(key) {
            Some(entry) => without_trailing_comment(entry),
            None => self.required(key),
        }
    }

    fn decode<T>(
        &mut self,
        entry: &Entry,
        expected: Expected,
        read: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = read(&entry.value);
        if value.is_none() {
            self.report_value(entry, expected);
        }
        value
    }

    fn report_value(&mut self, entry: &Entry, expected: Expected) {
        let fault = Fault::BadValue {
            key: entry.key.clone(),
            value: entry.value.clone(),
            expected,
        };
        self.report(entry.line, fault);
    }

    fn positive<T: Copy + Default + PartialEq>(
        &mut self,
        entry: &Entry,
        expected: Expected,
        read: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.decode(entry, expected.clone(), read)?;
        if value == T::default() {
            let key = entry.key.clone();
            self.report(entry.line, Fault::Zero { key, expected });
            return None;
        }
        Some(value)
    }

    /// Reads a time greater than zero.
    pub(super) fn time(&mut self, entry: &Entry) -> Option<Duration> {
        self.positive(entry, Expected::Time, value::time)
    }

    /// Reads a whole number from 1 to `max`.
    pub(super) fn number<T>(&mut self, entry: &Entry, max: T) -> Option<T>
    where
        T: Copy + Default + PartialOrd + std::str::FromStr + Into<u64>,
    {
        let expected = Expected::Number { max: max.into() };
        let read = |text: &str| text.parse().ok().filter(|number| *number <= max);
        self.positive(entry, expected, read)
    }

    /// Reads an IP address with a port other than zero.
    pub(super) fn address(&mut self, entry: &Entry) -> Option<SocketAddr> {
        let read = |text: &str| {
            let address: SocketAddr = text.parse().ok()?;
            (address.port() != 0).then_some(address)
        };
        self.decode(entry, Expected::Address, read)
    }

    /// Reads one of `words` and returns the value that belongs to it.
    pub(super) fn choice<T: Copy>(&mut self, key: &str, words: &[(&'static str, T)]) -> Option<T> {
        let entry = self.entry(key)?;
        let expected = Expected::OneOf(words.iter().map(|(word, _)| *word).collect());
        let read = |text: &str| {
            let mut words = words.iter();
            words.find(|(word, _)| *word == text).map(|(_, v)| *v)
        };
        self.decode(entry, expected, read)
    }

    /// Reads `yes` or `no`.
    pub(super) fn flag(&mut self, key: &str) -> Option<bool> {
        self.choice(key, &[("yes", true), ("no", false)])
    }

    /// Reads a time greater than zero, if the key is set.
    pub(super) fn optional_time(&mut self, key: &str) -> Option<Duration> {
        let entry = self.entry(key)?;
        self.time(entry)
    }

    /// Reads the name of a declared section of `kind`.
    pub(super) fn reference(&mut self, entry: &'a Entry, kind: Kind) -> Option<&'a str> {
        self.declared_name(entry, &entry.value, kind)
    }

    /// Returns `name` if a section of `kind` has it, else reports a problem.
    fn declared_name(&mut self, entry: &Entry, name: &'a str, kind: Kind) -> Option<&'a str> {
        if self.declared.find(kind, name).is_some() {
            return Some(name);
        }
        let fault = Fault::UnknownName {
            key: entry.key.clone(),
            kind,
            name: name.to_owned(),
            nearest: value::nearest(name, self.declared.names(kind)),
        };
        self.report(entry.line, fault);
        None
    }

    /// Reads the names of declared sections of `kind`; `*` stands for all of them.
    pub(super) fn references(&mut self, entry: &'a Entry, kind: Kind) -> Vec<&'a str> {
        if entry.value == "*" {
            return self.declared.names(kind).collect();
        }
        let words = self.words(entry);
        let known = words
            .iter()
            .map(|name| self.declared_name(entry, name, kind));
        known.flatten().collect()
    }

    /// Reads a list that must not be empty.
    pub(super) fn words(&mut self, entry: &'a Entry) -> BTreeSet<&'a str> {
        let words: BTreeSet<&'a str> = value::list_items(&entry.value).collect();
        if words.is_empty() {
            self.report_value(entry, Expected::List);
        }
        words
    }
}
