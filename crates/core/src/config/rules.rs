//! When-then rules: reading one section and checking that its keys fit together.

use std::collections::BTreeSet;
use std::time::Duration;

use super::builder::deadline_of;
use super::reader::Reader;
use super::{Entry, Fault, Kind, value};
use crate::directory::Directory;
use crate::fleet::Fleet;
use crate::rule::{Access, Ack, Rule, Target, Then, When};

/// Greatest number of retries of a request.
const MAX_RETRIES: u16 = 10;
/// Greatest rate limit, in requests a second.
const MAX_RATE: u32 = 1_000_000;

/// Keys that have no effect if the rule refuses requests.
const UNUSED_WITH_REFUSE: [&str; 8] = [
    "then.target",
    "then.max_age",
    "then.repeatable",
    "then.deadline",
    "then.retries",
    "then.hedge",
    "then.rate",
    "then.ack",
];

/// Reads one rule. Returns `None` if anything in it is wrong: without one of its conditions, the
/// rule would seem to shadow the rules after it.
pub(super) fn read(
    mut reader: Reader<'_, '_>,
    directory: &mut Directory,
    fleet: &Fleet,
) -> Option<Rule> {
    let when = when(&mut reader, directory);
    check_combinations(&mut reader, when.access);
    let then = then(&mut reader, directory, fleet, when.access)?;
    check_times(&mut reader, &then);
    reader.is_valid().then(|| Rule {
        name: reader.name().to_owned(),
        line: reader.section.line,
        when,
        then,
    })
}

fn when(reader: &mut Reader<'_, '_>, directory: &mut Directory) -> When {
    let services = names(reader, "when.service", Kind::Service);
    let callers = names(reader, "when.caller", Kind::Caller);
    let roles = words(reader, "when.role");
    check_roles(reader, &roles);
    When {
        services: services
            .iter()
            .map(|name| directory.services.intern(name))
            .collect(),
        callers: callers
            .iter()
            .map(|name| directory.callers.intern(name))
            .collect(),
        roles,
        access: reader.choice("when.access", &ACCESSES),
        tags: words(reader, "when.tag"),
        tables: words(reader, "when.table"),
    }
}

const ACCESSES: [(&str, Access); 2] = [("read", Access::Read), ("write", Access::Write)];

fn names<'a>(reader: &mut Reader<'a, '_>, key: &str, kind: Kind) -> Vec<&'a str> {
    match reader.entry(key) {
        Some(entry) => reader.references(entry, kind),
        None => Vec::new(),
    }
}

fn words(reader: &mut Reader<'_, '_>, key: &str) -> BTreeSet<String> {
    let Some(entry) = reader.entry(key) else {
        return BTreeSet::new();
    };
    let words = reader.words(entry);
    words.into_iter().map(str::to_owned).collect()
}

// Reports roles that no caller has. A misspelt role would never match, and its requests would
// silently be treated by a later rule.
fn check_roles(reader: &mut Reader<'_, '_>, roles: &BTreeSet<String>) {
    let known = reader.values_of(Kind::Caller, "role");
    let line = line_of(reader, "when.role");
    for role in roles.iter().filter(|role| !known.contains(role.as_str())) {
        let fault = Fault::UnknownRole {
            role: role.clone(),
            nearest: value::nearest(role, known.iter().copied()),
        };
        reader.report(line, fault);
    }
}

fn then(
    reader: &mut Reader<'_, '_>,
    directory: &mut Directory,
    fleet: &Fleet,
    access: Option<Access>,
) -> Option<Then> {
    let class = match reader.entry("then.class") {
        Some(entry) => {
            let name = reader.reference(entry, Kind::Class);
            name.map(|name| directory.classes.intern(name))
        }
        None => Some(fleet.default_class),
    };
    let deadline = match reader.entry("then.deadline") {
        Some(entry) => reader.time(entry),
        None => class.and_then(|class| deadline_of(fleet, class)),
    };
    let target = reader.choice("then.target", &TARGETS);
    let ack = reader.choice("then.ack", &ACKS);
    let repeatable = reader.flag("then.repeatable");
    let retries = reader.entry("then.retries");
    let retries = retries.and_then(|entry| reader.number(entry, MAX_RETRIES));
    let rate = reader.entry("then.rate");
    let rate = rate.and_then(|entry| reader.number(entry, MAX_RATE));
    Some(Then {
        target: target.unwrap_or(Target::Primary),
        max_age: reader.optional_time("then.max_age"),
        repeatable: repeatable.unwrap_or(access == Some(Access::Read)),
        deadline: deadline?,
        class: class?,
        retries: retries.map_or(0, |retries| u8::try_from(retries).unwrap_or(u8::MAX)),
        hedge: reader.optional_time("then.hedge"),
        rate,
        ack: ack.unwrap_or(Ack::Primary),
        refuse: reader.entry("then.refuse").map(|entry| entry.value.clone()),
    })
}

const TARGETS: [(&str, Target); 2] = [("primary", Target::Primary), ("replica", Target::Replica)];
const ACKS: [(&str, Ack); 2] = [("primary", Ack::Primary), ("replica", Ack::Replica)];

/// Reports keys that contradict each other or have no effect without another one.
fn check_combinations(reader: &mut Reader<'_, '_>, access: Option<Access>) {
    let reads = access == Some(Access::Read);
    let refuse = reader.entry("then.refuse");
    if refuse.is_some() {
        for key in UNUSED_WITH_REFUSE {
            check_contradiction(reader, key, None, "then.refuse");
        }
        return;
    }
    if !reads {
        check_needed(reader, "then.target", Some("replica"), "when.access = read");
        check_needed(reader, "then.hedge", None, "when.access = read");
    }
    if !has(reader, "then.target", "replica") {
        check_needed(reader, "then.max_age", None, "then.target = replica");
    }
    let repeatable = match reads {
        true => !has(reader, "then.repeatable", "no"),
        false => has(reader, "then.repeatable", "yes"),
    };
    if !repeatable {
        check_needed(reader, "then.retries", None, "then.repeatable = yes");
    }
    if has(reader, "then.repeatable", "no") {
        check_contradiction(reader, "then.hedge", None, "then.repeatable = no");
    }
    if reads {
        check_contradiction(reader, "then.ack", Some("replica"), "when.access = read");
    }
}

/// Reports a hedge delay that is not shorter than the deadline.
fn check_times(reader: &mut Reader<'_, '_>, then: &Then) {
    let Some(hedge) = then.hedge.filter(|hedge| *hedge >= then.deadline) else {
        return;
    };
    let line = line_of(reader, "then.hedge");
    let fault = Fault::PastDeadline {
        key: "then.hedge",
        time: format_time(hedge),
        deadline: format_time(then.deadline),
    };
    reader.report(line, fault);
}

fn format_time(time: Duration) -> String {
    value::format_time(time)
}

fn has(reader: &Reader<'_, '_>, key: &str, value: &str) -> bool {
    matching(reader, key, Some(value)).is_some()
}

/// Returns the entry for `key` if it has the given value, or any value if `value` is `None`.
fn matching<'a>(reader: &Reader<'a, '_>, key: &str, value: Option<&str>) -> Option<&'a Entry> {
    let entry = reader.entry(key)?;
    value
        .is_none_or(|value| entry.value == value)
        .then_some(entry)
}

/// Reports that the setting has no effect without `needs`, if it is there.
fn check_needed(reader: &mut Reader<'_, '_>, key: &str, value: Option<&str>, needs: &str) {
    if let Some(entry) = matching(reader, key, value) {
        let fault = Fault::Needs {
            setting: setting(entry),
            needs: needs.to_owned(),
        };
        reader.report(entry.line, fault);
    }
}

/// Reports that the setting contradicts `other`, if it is there.
fn check_contradiction(reader: &mut Reader<'_, '_>, key: &str, value: Option<&str>, other: &str) {
    if let Some(entry) = matching(reader, key, value) {
        let fault = Fault::Contradicts {
            setting: setting(entry),
            other: other.to_owned(),
        };
        reader.report(entry.line, fault);
    }
}

fn setting(entry: &Entry) -> String {
    format!("{} = {}", entry.key, entry.value)
}

/// Returns the line of the entry for `key`, else that of the section.
fn line_of(reader: &Reader<'_, '_>, key: &str) -> usize {
    reader
        .entry(key)
        .map_or(reader.section.line, |entry| entry.line)
}
