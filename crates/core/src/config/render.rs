//! Rendering of a fleet as a configuration.

use std::collections::BTreeSet;
use std::fmt::{self, Write};

use slotmap::Key;

use super::value::format_time;
use crate::directory::Directory;
use crate::fleet::{Caller, Fleet, Server, Service};
use crate::names::Names;
use crate::rule::{Access, Ack, Rule, Target};

/// Renders `fleet` as a configuration with all values written out. [`super::parse`] returns the
/// same fleet from it, except for the line numbers of rules.
///
/// ```
/// use flamingopost_core::config;
/// use flamingopost_core::directory::Directory;
/// use flamingopost_core::fleet::Fleet;
///
/// let text = config::render(&Fleet::default(), &Directory::default());
/// assert!(text.starts_with("[fleet]\n"));
/// ```
pub fn render(fleet: &Fleet, directory: &Directory) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_all(&mut text, fleet, directory);
    text
}

fn write_all(out: &mut String, fleet: &Fleet, directory: &Directory) -> fmt::Result {
    writeln!(out, "[fleet]\nshards = {}", fleet.shards)?;
    if let Some(class) = directory.classes.name(fleet.default_class) {
        writeln!(out, "default_class = {class}")?;
    }
    for (key, zone) in &fleet.zones {
        let name = name(&directory.zones, *key);
        writeln!(out, "\n[zone {name}]\nregion = {}", zone.region)?;
    }
    for (key, customer) in &fleet.customers {
        let name = name(&directory.customers, *key);
        writeln!(out, "\n[customer {name}]\nweight = {}", customer.weight)?;
    }
    for (key, class) in &fleet.classes {
        let name = name(&directory.classes, *key);
        let deadline = format_time(class.deadline);
        writeln!(out, "\n[class {name}]\nweight = {}", class.weight)?;
        writeln!(out, "deadline = {deadline}")?;
    }
    for (key, service) in &fleet.services {
        write_service(out, name(&directory.services, *key), service, directory)?;
    }
    for (key, server) in &fleet.servers {
        write_server(out, name(&directory.servers, *key), server, directory)?;
    }
    for (key, caller) in &fleet.callers {
        write_caller(out, name(&directory.callers, *key), caller, directory)?;
    }
    for rule in &fleet.rules {
        write_rule(out, rule, directory)?;
    }
    Ok(())
}

fn write_service(
    out: &mut String,
    id: &str,
    service: &Service,
    directory: &Directory,
) -> fmt::Result {
    let customer = name(&directory.customers, service.customer);
    let primary = name(&directory.servers, service.first_primary);
    writeln!(out, "\n[service {id}]\ncustomer = {customer}")?;
    writeln!(out, "primary = {primary}")
}

fn write_server(out: &mut String, id: &str, server: &Server, directory: &Directory) -> fmt::Result {
    let service = name(&directory.services, server.service);
    let zone = name(&directory.zones, server.zone);
    writeln!(out, "\n[server {id}]\nservice = {service}\nzone = {zone}")?;
    writeln!(out, "address = {}", server.address)?;
    writeln!(out, "slots = {}", server.slots)?;
    writeln!(out, "connections = {}", server.connections)?;
    writeln!(out, "connect_cost = {}", format_time(server.connect_cost))?;
    if server.leaving {
        writeln!(out, "leaving = yes")?;
    }
    Ok(())
}

fn write_caller(out: &mut String, id: &str, caller: &Caller, directory: &Directory) -> fmt::Result {
    let customer = name(&directory.customers, caller.customer);
    writeln!(out, "\n[caller {id}]\nverifier = {}", caller.verifier)?;
    writeln!(out, "customer = {customer}\nrole = {}", caller.role)?;
    write_names(out, "services", &directory.services, &caller.services)
}

fn write_rule(out: &mut String, rule: &Rule, directory: &Directory) -> fmt::Result {
    writeln!(out, "\n[rule {}]", rule.name)?;
    let when = &rule.when;
    write_names(out, "when.service", &directory.services, &when.services)?;
    write_names(out, "when.caller", &directory.callers, &when.callers)?;
    write_words(out, "when.role", &when.roles)?;
    match when.access {
        Some(Access::Read) => writeln!(out, "when.access = read")?,
        Some(Access::Write) => writeln!(out, "when.access = write")?,
        None => {}
    }
    write_words(out, "when.tag", &when.tags)?;
    write_words(out, "when.table", &when.tables)?;
    write_then(out, rule, directory)
}

fn write_then(out: &mut String, rule: &Rule, directory: &Directory) -> fmt::Result {
    let then = &rule.then;
    let class = name(&directory.classes, then.class);
    writeln!(out, "then.class = {class}")?;
    if let Some(reason) = &then.refuse {
        return writeln!(out, "then.refuse = {reason}");
    }
    writeln!(out, "then.deadline = {}", format_time(then.deadline))?;
    let repeatable = if then.repeatable { "yes" } else { "no" };
    writeln!(out, "then.repeatable = {repeatable}")?;
    if then.target == Target::Replica {
        writeln!(out, "then.target = replica")?;
    }
    if let Some(age) = then.max_age {
        writeln!(out, "then.max_age = {}", format_time(age))?;
    }
    if then.retries > 0 {
        writeln!(out, "then.retries = {}", then.retries)?;
    }
    if let Some(hedge) = then.hedge {
        writeln!(out, "then.hedge = {}", format_time(hedge))?;
    }
    if let Some(rate) = then.rate {
        writeln!(out, "then.rate = {rate}")?;
    }
    if then.ack == Ack::Replica {
        writeln!(out, "then.ack = replica")?;
    }
    Ok(())
}

fn write_names<K: Key>(
    out: &mut String,
    key: &str,
    names: &Names<K>,
    keys: &BTreeSet<K>,
) -> fmt::Result {
    let words = keys.iter().map(|key| name(names, *key).to_owned());
    write_words(out, key, &words.collect())
}

fn write_words(out: &mut String, key: &str, words: &BTreeSet<String>) -> fmt::Result {
    if words.is_empty() {
        return Ok(());
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    writeln!(out, "{key} = {}", words.join(", "))
}

fn name<K: Key>(names: &Names<K>, key: K) -> &str {
    names.name(key).unwrap_or_default()
}
