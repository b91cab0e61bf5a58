//! Sections and keys of a configuration with their lines, before anything is made of them.

use ini_core::{Item, Parser};

use super::{Fault, Problem};

/// A configuration as text in sections.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Its sections in order.
    pub sections: Vec<Section>,
}

/// `[kind name]` and what follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// First word of its heading.
    pub kind: String,
    /// The rest of its heading, empty where there is none.
    pub name: String,
    /// Line of its heading, from 1.
    pub line: usize,
    /// Its keys in order.
    pub entries: Vec<Entry>,
}

/// `key = value`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Its line, from 1.
    pub line: usize,
}

impl Document {
    /// Reads `text` and adds to `problems` what is no INI.
    ///
    /// ```
    /// use flamingopost_core::config::Document;
    ///
    /// let document = Document::read("[zone dumdum]\nregion = kolkata\n", &mut Vec::new());
    /// let section = &document.sections[0];
    /// assert_eq!((section.kind.as_str(), section.name.as_str()), ("zone", "dumdum"));
    /// assert_eq!(section.entries[0].line, 2);
    /// ```
    pub fn read(text: &str, problems: &mut Vec<Problem>) -> Document {
        let mut document = Document::default();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() as usize + 1;
            let Some(item) = parser.next() else {
                return document;
            };
            if let Err(fault) = document.add_item(item, line) {
                problems.push(Problem { line, fault });
            }
        }
    }

    fn add_item(&mut self, item: Item<'_>, line: usize) -> Result<(), Fault> {
        match item {
            Item::Section(heading) => {
                self.sections.push(Section::new(heading, line));
                Ok(())
            }
            Item::Property(key, value) => self.add_entry(key, value, line),
            Item::Error(text) => Err(Fault::Heading {
                text: text.to_owned(),
            }),
            Item::SectionEnd | Item::Comment(_) | Item::Blank => Ok(()),
        }
    }

    fn add_entry(&mut self, key: &str, value: Option<&str>, line: usize) -> Result<(), Fault> {
        if key.starts_with('#') {
            return Err(Fault::HashComment);
        }
        let key = key.to_owned();
        let Some(value) = value else {
            return Err(Fault::NoValue { text: key });
        };
        let Some(section) = self.sections.last_mut() else {
            return Err(Fault::OutsideSection { key });
        };
        section.entries.push(Entry {
            key,
            value: value.to_owned(),
            line,
        });
        Ok(())
    }
}

impl Section {
    fn new(heading: &str, line: usize) -> Section {
        let heading = heading.trim();
        let (kind, name) = heading
            .split_once(char::is_whitespace)
            .unwrap_or((heading, ""));
        Section {
            kind: kind.to_owned(),
            name: name.trim().to_owned(),
            line,
            entries: Vec::new(),
        }
    }

    /// The first entry called `key`.
    pub fn find(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}
