//! `flamingopostctl diff`: compares two configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;
use std::path::PathBuf;

use flamingopost_core::config::{Document, Section};
use flamingopost_core::directory::Directory;
use flamingopost_wire::submission::Stored;
use serde::Serialize;

use super::check;
use crate::client::{Access, Client};
use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Compares a configuration file, by section and key, with the configuration in force or with
    /// another file. The order of rules matters; the order of other sections does not.
    ///
    /// EXAMPLES:
    ///     flamingopostctl diff fleet.ini --admin 10.0.1.4:7080
    ///     flamingopostctl diff fleet.ini --against yesterday.ini
    cmd diff {
        /// Configuration file.
        required file: PathBuf
        /// Compare with this file instead of the configuration in force.
        optional --against path: PathBuf
        /// IP:PORT of a controller's operators' HTTP API.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// The result of a comparison.
#[derive(Debug, Serialize)]
struct Difference {
    /// Version in force, or none if the file was compared with another file.
    base: Option<u64>,
    changes: Vec<Change>,
}

/// One difference, from the old configuration to the file.
#[derive(Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Change {
    Added {
        section: String,
    },
    Removed {
        section: String,
    },
    Changed {
        section: String,
        key: String,
        old: Option<String>,
        new: Option<String>,
    },
    RulesMoved {
        order: Vec<String>,
    },
}

/// Sections by kind and name.
type Sections<'a> = BTreeMap<(&'a str, &'a str), &'a Section>;

fn sections(document: &Document) -> Sections<'_> {
    let sections = document.sections.iter();
    sections
        .map(|section| ((section.kind.as_str(), section.name.as_str()), section))
        .collect()
}

fn changes(old: &Document, new: &Document) -> Vec<Change> {
    let (before, after) = (sections(old), sections(new));
    let ids: BTreeSet<_> = before.keys().chain(after.keys()).copied().collect();
    let mut changes = Vec::new();
    for id in ids {
        match (before.get(&id), after.get(&id)) {
            (Some(old), Some(new)) => changes.extend(key_changes(old, new)),
            (None, Some(new)) => changes.push(Change::Added {
                section: heading(new),
            }),
            (Some(old), None) => changes.push(Change::Removed {
                section: heading(old),
            }),
            (None, None) => {}
        }
    }
    changes.extend(rules_moved(old, new));
    changes
}

fn key_changes(old: &Section, new: &Section) -> Vec<Change> {
    let entries = old.entries.iter().chain(&new.entries);
    let keys: BTreeSet<&str> = entries.map(|entry| entry.key.as_str()).collect();
    let changed = |key: &&str| value(old, key) != value(new, key);
    keys.into_iter()
        .filter(changed)
        .map(|key| Change::Changed {
            section: heading(new),
            key: key.to_owned(),
            old: value(old, key),
            new: value(new, key),
        })
        .collect()
}

fn value(section: &Section, key: &str) -> Option<String> {
    section.find(key).map(|entry| entry.value.clone())
}

/// Reports the new order of the rules if those that both documents contain changed their relative
/// order.
fn rules_moved(old: &Document, new: &Document) -> Option<Change> {
    let (before, after) = (rules(old), rules(new));
    let in_both = |all: &[String], others: &[String]| -> Vec<String> {
        let kept = all.iter().filter(|rule| others.contains(rule));
        kept.cloned().collect()
    };
    let moved = in_both(&before, &after) != in_both(&after, &before);
    moved.then_some(Change::RulesMoved { order: after })
}

fn rules(document: &Document) -> Vec<String> {
    let sections = document.sections.iter();
    sections
        .filter(|section| section.kind == "rule")
        .map(|section| section.name.clone())
        .collect()
}

fn heading(section: &Section) -> String {
    format!("{} {}", section.kind, section.name)
        .trim_end()
        .to_owned()
}

fn show(difference: &Difference) -> String {
    if difference.changes.is_empty() {
        return "no difference".to_owned();
    }
    let lines: Vec<String> = difference.changes.iter().map(show_change).collect();
    lines.join("\n")
}

fn show_change(change: &Change) -> String {
    match change {
        Change::Added { section } => format!("+ [{section}]"),
        Change::Removed { section } => format!("- [{section}]"),
        Change::Changed {
            section,
            key,
            old,
            new,
        } => {
            let (old, new) = (output::or_dash(old), output::or_dash(new));
            format!("~ [{section}] {key}: {old} -> {new}")
        }
        Change::RulesMoved { order } => format!("~ order of rules: {}", order.join(", ")),
    }
}

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Diff::from_vec(args)?;
    let text = check::read_file(&args.file)?;
    check::parse(&args.file, &text, &mut Directory::default())?;
    let (base, old) = match &args.against {
        Some(path) => (None, check::read_file(path)?),
        None => {
            let client = Client::open(Access {
                admin: args.admin,
                token_file: args.token_file,
            })?;
            let stored: Stored = client.get("/v1/config", &[])?;
            (Some(stored.version), stored.body)
        }
    };
    let document = |text: &str| Document::read(text, &mut Vec::new());
    let changes = changes(&document(&old), &document(&text));
    output::print(args.json, &Difference { base, changes }, show)
}
