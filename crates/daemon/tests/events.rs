//! `docs/EVENTS.md` lists exactly the numbered events.
//!
//! After adding an event, run this test with `BLESS=1` to rewrite the rows of the catalogue. Notes
//! are kept. Then write a note for the new event.

use std::collections::BTreeMap;
use std::fs;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use flamingopost_daemon::event::{Daemon, Kind};

/// The events of one crate.
struct Part {
    title: &'static str,
    numbers: RangeInclusive<u16>,
    kinds: &'static [Kind],
}

fn parts() -> [Part; 6] {
    [
        Part {
            title: "Every daemon",
            numbers: 100..=199,
            kinds: Daemon::ALL,
        },
        Part {
            title: "Entry host",
            numbers: 1000..=1999,
            kinds: flamingopost_entry::event::Event::ALL,
        },
        Part {
            title: "Control process",
            numbers: 2000..=2999,
            kinds: flamingopost_control::event::Event::ALL,
        },
        Part {
            title: "Stand-ins",
            numbers: 3000..=3999,
            kinds: flamingopost_standin::event::Event::ALL,
        },
        Part {
            title: "Load tool",
            numbers: 4000..=4999,
            kinds: flamingopost_load::event::Event::ALL,
        },
        Part {
            title: "Pooled data path",
            numbers: 5000..=5999,
            kinds: flamingopost_proxy::event::Event::ALL,
        },
    ]
}

fn catalogue() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md")
}

/// Returns the notes of the catalogue by event number.
fn notes(text: &str) -> BTreeMap<u16, String> {
    let rows = text.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| ")?.split(" | ");
        let number = cells.next()?.parse().ok()?;
        let note = cells.nth(2)?.trim_end_matches(" |").trim_end_matches('|');
        Some((number, note.trim().to_owned()))
    });
    rows.collect()
}

fn render(head: &str, notes: &BTreeMap<u16, String>) -> String {
    let mut text = head.trim_end().to_owned();
    text.push('\n');
    for part in parts() {
        text.push_str(&format!("\n## {}\n\n", part.title));
        text.push_str("| number | level | message | what it means, what to do |\n");
        text.push_str("| --- | --- | --- | --- |\n");
        for kind in part.kinds {
            let note = notes.get(&kind.number).map_or("", String::as_str);
            let (number, level) = (kind.number, kind.level.name());
            let message = kind.message.trim();
            text.push_str(&format!("| {number} | {level} | {message} | {note} |\n"));
        }
    }
    text
}

#[test]
fn catalogue_lists_every_event() {
    let text = fs::read_to_string(catalogue()).unwrap();
    let head = text.split("\n## ").next().unwrap_or_default();
    let wanted = render(head, &notes(&text));
    if std::env::var_os("BLESS").is_some() {
        fs::write(catalogue(), wanted).unwrap();
        return;
    }
    for (number, line) in wanted.lines().enumerate() {
        let found = text.lines().nth(number).unwrap_or_default();
        assert_eq!(found, line, "docs/EVENTS.md, line {}", number + 1);
    }
    assert_eq!(text.lines().count(), wanted.lines().count());
}

#[test]
fn every_event_has_a_note() {
    let text = fs::read_to_string(catalogue()).unwrap();
    let notes = notes(&text);
    for part in parts() {
        for kind in part.kinds {
            let note = notes.get(&kind.number).map_or("", String::as_str);
            assert!(!note.is_empty(), "event {} has no note", kind.number);
        }
    }
}

#[test]
fn numbers_ascend_within_the_range_of_their_crate() {
    for part in parts() {
        let numbers: Vec<u16> = part.kinds.iter().map(|kind| kind.number).collect();
        assert!(numbers.is_sorted_by(|one, next| one < next), "{numbers:?}");
        let outside = numbers.iter().find(|number| !part.numbers.contains(number));
        assert_eq!(outside, None, "{}", part.title);
    }
}
