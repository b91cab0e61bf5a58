//! Typed access to the keys of one section, noting what is wrong on the way.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::value::{self, Expected};
use super::{Document, Entry, Fault, Kind, Problem, Section};

/// Every section that can be referred to, by kind and name; the first where a name stands twice.
#[derive(Debug, Default)]
pub(super) struct Declared<'a> {
    sections: BTreeMap<(Kind, &'a str), &'a Section>,
    in_order: BTreeMap<Kind, Vec<&'a Section>>,
}

impl<'a> Declared<'a> {
    /// Collects the sections of `document` and notes headings that cannot be.
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
        let place = (kind, section.name.as_str());
        if let Some(first) = self.sections.get(&place) {
            let first = first.line;
            return Err(Fault::DuplicateSection { kind, name, first });
        }
        self.sections.insert(place, section);
        self.in_order.entry(kind).or_default().push(section);
        Ok(())
    }

    /// The sections of `kind` in the order of the file.
    pub(super) fn of(&self, kind: Kind) -> &[&'a Section] {
        self.in_order.get(&kind).map_or(&[], Vec::as_slice)
    }

    /// The section of `kind` called `name`.
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

/// `entry`, unless a comment stands behind its value.
fn without_trailing_comment(entry: &Entry) -> Option<&Entry> {
    (!entry.value.contains(" ;")).then_some(entry)
}

/// One section being read.
#[derive(Debug)]
pub(super) struct Reader<'a, 'p> {
    pub(super) kind: Kind,
    pub(super) section: &'a Section,
    declared: &'p Declared<'a>,
    problems: &'p mut Vec<Problem>,
    problems_before: usize,
}

impl<'a, 'p> Reader<'a, 'p> {
    /// Starts on `section`; keys that it cannot have, or has twice, are noted at once.
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

    /// Goes on with a `section` whose keys have been checked.
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

    /// The name of the section.
    pub(super) fn name(&self) -> &'a str {
        &self.section.name
    }

    /// Whether nothing has been noted about this section.
    pub(super) fn is_valid(&self) -> bool {
        self.problems.len() == self.problems_before
    }

    /// Values of `key` in all sections of `kind`, sound or not.
    pub(super) fn values_of(&self, kind: Kind, key: &str) -> BTreeSet<&'a str> {
        let sections = self.declared.of(kind).iter();
        sections
            .filter_map(|section| section.find(key))
            .map(|entry| entry.value.as_str())
            .collect()
    }

    /// Notes that something is wrong on `line`.
    pub(super) fn note(&mut self, line: usize, fault: Fault) {
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
                self.note(entry.line, fault);
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

    /// The entry called `key`, unless a comment behind its value has been noted already.
    pub(super) fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section.find(key).and_then(without_trailing_comment)
    }

    /// The entry called `key`, whose absence is noted.
    pub(super) fn required(&mut self, key: &'static str) -> Option<&'a Entry> {
        if self.section.find(key).is_none() {
            let fault = Fault::MissingKey {
                kind: self.kind,
                name: self.name().to_owned(),
                key,
            };
            self.note(self.section.line, fault);
        }
        self.entry(key)
    }

    /// The entry called `key`, else that of the service; its absence in both is noted.
    ///
    /// A value inherited from the service is checked there, so here it counts only when it is good.
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
            self.note_value(entry, expected);
        }
        value
    }

    fn note_value(&mut self, entry: &Entry, expected: Expected) {
        let fault = Fault::BadValue {
            key: entry.key.clone(),
            value: entry.value.clone(),
            expected,
        };
        self.note(entry.line, fault);
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
            self.note(entry.line, Fault::Zero { key, expected });
            return None;
        }
        Some(value)
    }

    /// A time greater than zero.
    pub(super) fn time(&mut self, entry: &Entry) -> Option<Duration> {
        self.positive(entry, Expected::Time, value::time)
    }

    /// A whole number from 1 to `max`.
    pub(super) fn number<T>(&mut self, entry: &Entry, max: T) -> Option<T>
    where
        T: Copy + Default + PartialOrd + std::str::FromStr + Into<u64>,
    {
        let expected = Expected::Number { max: max.into() };
        let read = |text: &str| text.parse().ok().filter(|number| *number <= max);
        self.positive(entry, expected, read)
    }

    /// An address.
    pub(super) fn address(&mut self, entry: &Entry) -> Option<SocketAddr> {
        let read = |text: &str| {
            let address: SocketAddr = text.parse().ok()?;
            (address.port() != 0).then_some(address)
        };
        self.decode(entry, Expected::Address, read)
    }

    /// One of `words`, each standing for a value.
    pub(super) fn choice<T: Copy>(&mut self, key: &str, words: &[(&'static str, T)]) -> Option<T> {
        let entry = self.entry(key)?;
        let expected = Expected::OneOf(words.iter().map(|(word, _)| *word).collect());
        let read = |text: &str| {
            let mut words = words.iter();
            words.find(|(word, _)| *word == text).map(|(_, it)| *it)
        };
        self.decode(entry, expected, read)
    }

    /// `yes` or `no`.
    pub(super) fn flag(&mut self, key: &str) -> Option<bool> {
        self.choice(key, &[("yes", true), ("no", false)])
    }

    /// A time greater than zero, where the key is there.
    pub(super) fn optional_time(&mut self, key: &str) -> Option<Duration> {
        let entry = self.entry(key)?;
        self.time(entry)
    }

    /// The name of a described section of `kind`.
    pub(super) fn reference(&mut self, entry: &'a Entry, kind: Kind) -> Option<&'a str> {
        self.declared_name(entry, &entry.value, kind)
    }

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
        self.note(entry.line, fault);
        None
    }

    /// Names of described sections of `kind`; `*` stands for all of them.
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

    /// The words of a list that must not be empty.
    pub(super) fn words(&mut self, entry: &'a Entry) -> BTreeSet<&'a str> {
        let words: BTreeSet<&'a str> = value::list_items(&entry.value).collect();
        if words.is_empty() {
            self.note_value(entry, Expected::List);
        }
        words
    }
}
