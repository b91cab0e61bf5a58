//! Conversion of a document's sections to a fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::reader::{Declared, Reader};
use super::{Document, Entry, Fault, Kind, Problem, Section, rules, shadow, verifier};
use crate::directory::Directory;
use crate::fleet::{Caller, Class, Customer, Fleet, Server, Service, Zone};
use crate::key::{ClassKey, ServerKey, ServiceKey};

/// Number of shards of a fleet that does not set it.
const DEFAULT_SHARDS: u16 = 16;
/// Greatest number of shards.
const MAX_SHARDS: u16 = 1024;
/// Greatest weight of a customer or class.
const MAX_WEIGHT: u32 = 1_000_000;
/// Weight of a customer that does not set it.
const DEFAULT_CUSTOMER_WEIGHT: u32 = 1;
/// Name of the class that is the default class if the fleet does not name one.
const DEFAULT_CLASS: &str = "default";

/// Builds the fleet of `document`. The fleet is complete only if nothing was added to `problems`.
pub(super) fn build(
    document: &Document,
    directory: &mut Directory,
    problems: &mut Vec<Problem>,
) -> Fleet {
    let declared = Declared::new(document, problems);
    let mut builder = Builder {
        declared: &declared,
        servers: server_names(&declared),
        directory,
        problems,
        fleet: Fleet::default(),
    };
    builder.run();
    builder.fleet
}

struct Builder<'a, 'b> {
    declared: &'b Declared<'a>,
    servers: BTreeMap<&'a str, Vec<&'a str>>,
    directory: &'b mut Directory,
    problems: &'b mut Vec<Problem>,
    fleet: Fleet,
}

impl<'a> Builder<'a, '_> {
    fn run(&mut self) {
        self.check_presence();
        self.for_each_section(Kind::Zone, Builder::zone);
        self.for_each_section(Kind::Customer, Builder::customer);
        self.for_each_section(Kind::Class, Builder::class);
        self.fleet.shards = DEFAULT_SHARDS;
        self.for_each_section(Kind::Fleet, Builder::fleet);
        self.default_class();
        self.for_each_section(Kind::Server, Builder::server);
        self.check_addresses();
        self.for_each_section(Kind::Service, Builder::service);
        self.for_each_section(Kind::Caller, Builder::caller);
        self.for_each_section(Kind::Rule, Builder::rule);
        shadow::check(&self.fleet.rules, self.problems);
    }

    fn for_each_section(&mut self, kind: Kind, read: fn(&mut Self, &'a Section) -> Option<()>) {
        for section in self.declared.of(kind) {
            // The reader has reported what is wrong.
            let _ = read(self, section);
        }
    }

    fn check_presence(&mut self) {
        for kind in [Kind::Zone, Kind::Customer, Kind::Class, Kind::Service] {
            if self.declared.of(kind).is_empty() {
                let fault = Fault::MissingKind { kind };
                self.problems.push(Problem { line: 1, fault });
            }
        }
    }

    fn reader(&mut self, kind: Kind, section: &'a Section) -> Reader<'a, '_> {
        Reader::new(kind, section, self.declared, self.problems)
    }

    fn zone(&mut self, section: &'a Section) -> Option<()> {
        let region = self.reader(Kind::Zone, section).required("region")?;
        let key = self.directory.zones.intern(&section.name);
        let region = region.value.clone();
        self.fleet.zones.insert(key, Zone { region });
        Some(())
    }

    fn customer(&mut self, section: &'a Section) -> Option<()> {
        let mut reader = self.reader(Kind::Customer, section);
        let weight = match reader.entry("weight") {
            Some(entry) => reader.number(entry, MAX_WEIGHT)?,
            None => DEFAULT_CUSTOMER_WEIGHT,
        };
        let key = self.directory.customers.intern(&section.name);
        self.fleet.customers.insert(key, Customer { weight });
        Some(())
    }

    fn class(&mut self, section: &'a Section) -> Option<()> {
        let mut reader = self.reader(Kind::Class, section);
        let weight = reader.required("weight");
        let weight = weight.and_then(|entry| reader.number(entry, MAX_WEIGHT));
        let deadline = reader.required("deadline");
        let deadline = deadline.and_then(|entry| reader.time(entry));
        let key = self.directory.classes.intern(&section.name);
        let class = Class {
            weight: weight?,
            deadline: deadline?,
        };
        self.fleet.classes.insert(key, class);
        Some(())
    }

    fn fleet(&mut self, section: &'a Section) -> Option<()> {
        let mut reader = self.reader(Kind::Fleet, section);
        let shards = match reader.entry("shards") {
            Some(entry) => reader.number(entry, MAX_SHARDS),
            None => Some(DEFAULT_SHARDS),
        };
        self.fleet.shards = shards?;
        Some(())
    }

    fn default_class(&mut self) {
        let fleet = self.declared.find(Kind::Fleet, "");
        let entry = fleet.and_then(|section| section.find("default_class"));
        let name = match (entry, fleet) {
            (Some(entry), Some(section)) => self.default_class_named(entry, section),
            _ => self.default_class_implied(fleet),
        };
        if let Some(name) = name {
            self.fleet.default_class = self.directory.classes.intern(name);
        }
    }

    fn default_class_named(&mut self, entry: &'a Entry, section: &'a Section) -> Option<&'a str> {
        Reader::resume(Kind::Fleet, section, self.declared, self.problems)
            .reference(entry, Kind::Class)
    }

    fn default_class_implied(&mut self, fleet: Option<&Section>) -> Option<&'a str> {
        if self.declared.find(Kind::Class, DEFAULT_CLASS).is_some() {
            return Some(DEFAULT_CLASS);
        }
        if self.declared.of(Kind::Class).is_empty() {
            return None;
        }
        self.problems.push(Problem {
            line: fleet.map_or(1, |section| section.line),
            fault: Fault::NoDefaultClass,
        });
        None
    }

    fn server(&mut self, section: &'a Section) -> Option<()> {
        let mut reader = self.reader(Kind::Server, section);
        let service = reader.required("service");
        let service = service.and_then(|entry| reader.reference(entry, Kind::Service));
        let zone = reader.required("zone");
        let zone = zone.and_then(|entry| reader.reference(entry, Kind::Zone));
        let address = reader.required("address");
        let address = address.and_then(|entry| reader.address(entry));
        let leaving = reader.flag("leaving").unwrap_or(false);
        let limits = Limits::of_server(&mut reader, service)?;
        let server = Server {
            service: self.directory.services.intern(service?),
            zone: self.directory.zones.intern(zone?),
            address: address?,
            slots: limits.slots,
            connections: limits.connections,
            connect_cost: limits.connect_cost,
            leaving,
        };
        let key = self.directory.servers.intern(&section.name);
        self.fleet.servers.insert(key, server);
        Some(())
    }

    fn check_addresses(&mut self) {
        let mut seen = BTreeMap::new();
        for section in self.declared.of(Kind::Server) {
            let Some(entry) = section.find("address") else {
                continue;
            };
            let first = *seen.entry(entry.value.as_str()).or_insert((section, entry));
            if first.1.line != entry.line {
                let fault = Fault::DuplicateAddress {
                    address: entry.value.clone(),
                    other: first.0.name.clone(),
                    first: first.1.line,
                };
                let line = entry.line;
                self.problems.push(Problem { line, fault });
            }
        }
    }

    fn service(&mut self, section: &'a Section) -> Option<()> {
        let own = self
            .servers
            .remove(section.name.as_str())
            .unwrap_or_default();
        let mut reader = self.reader(Kind::Service, section);
        let customer = reader.required("customer");
        let customer = customer.and_then(|entry| reader.reference(entry, Kind::Customer));
        let primary = reader.entry("primary");
        let primary = match primary {
            Some(entry) => {
                let named = reader.reference(entry, Kind::Server);
                named.and_then(|name| check_primary(&mut reader, entry, name, &own))
            }
            None => own.first().copied(),
        };
        if own.is_empty() {
            let service = section.name.clone();
            reader.report(section.line, Fault::NoServers { service });
        }
        Limits::check_defaults(&mut reader);
        let servers = own.iter().map(|name| self.directory.servers.intern(name));
        let servers: BTreeSet<ServerKey> = servers.collect();
        let service = Service {
            customer: self.directory.customers.intern(customer?),
            shard: Service::shard_of(&section.name, self.fleet.shards),
            servers,
            first_primary: self.directory.servers.intern(primary?),
        };
        let key = self.directory.services.intern(&section.name);
        self.fleet.services.insert(key, service);
        Some(())
    }

    fn caller(&mut self, section: &'a Section) -> Option<()> {
        let mut reader = self.reader(Kind::Caller, section);
        let verifier = reader.required("verifier");
        if let Some(entry) = verifier
            && let Err(fault) = verifier::check(&entry.value)
        {
            reader.report(entry.line, fault);
        }
        let customer = reader.required("customer");
        let customer = customer.and_then(|entry| reader.reference(entry, Kind::Customer));
        let role = reader.required("role");
        let services = reader.required("services");
        let services = services.map(|entry| reader.references(entry, Kind::Service));
        let services: BTreeSet<ServiceKey> = services?
            .into_iter()
            .map(|name| self.directory.services.intern(name))
            .collect();
        let caller = Caller {
            verifier: verifier?.value.clone(),
            customer: self.directory.customers.intern(customer?),
            role: role?.value.clone(),
            services,
        };
        let key = self.directory.callers.intern(&section.name);
        self.fleet.callers.insert(key, caller);
        Some(())
    }

    fn rule(&mut self, section: &'a Section) -> Option<()> {
        let reader = Reader::new(Kind::Rule, section, self.declared, self.problems);
        let rule = rules::read(reader, self.directory, &self.fleet)?;
        self.fleet.rules.push(rule);
        Some(())
    }
}

/// Returns the names of the servers of each service, in the order of the file.
fn server_names<'a>(declared: &Declared<'a>) -> BTreeMap<&'a str, Vec<&'a str>> {
    let mut servers: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for section in declared.of(Kind::Server) {
        if let Some(entry) = section.find("service") {
            let service = servers.entry(entry.value.as_str()).or_default();
            service.push(&section.name);
        }
    }
    servers
}

/// Returns the configured primary `name` if it is one of the service's `own` servers, else reports
/// a problem.
fn check_primary<'a>(
    reader: &mut Reader<'a, '_>,
    entry: &Entry,
    name: &'a str,
    own: &[&'a str],
) -> Option<&'a str> {
    if own.contains(&name) {
        return Some(name);
    }
    let fault = Fault::ForeignPrimary {
        server: name.to_owned(),
        own: own.iter().map(|name| (*name).to_owned()).collect(),
    };
    reader.report(entry.line, fault);
    None
}

/// Limits of a server. Those that it does not set are inherited from its service.
struct Limits {
    slots: u16,
    connections: u16,
    connect_cost: Duration,
}

impl Limits {
    fn of_server(reader: &mut Reader<'_, '_>, service: Option<&str>) -> Option<Limits> {
        let slots = reader.inherited("slots", service);
        let connections = reader.inherited("connections", service);
        let connect_cost = reader.inherited("connect_cost", service);
        let slots = slots.and_then(|entry| reader.number(entry, u16::MAX));
        let connections = connections.and_then(|entry| reader.number(entry, u16::MAX));
        let connect_cost = connect_cost.and_then(|entry| reader.time(entry));
        let limits = Limits {
            slots: slots?,
            connections: connections?,
            connect_cost: connect_cost?,
        };
        if limits.slots > limits.connections {
            let (slots, connections) = (limits.slots, limits.connections);
            let line = reader.section.line;
            reader.report(line, Fault::SlotsBeyondConnections { slots, connections });
        }
        Some(limits)
    }

    // Reports an invalid default on its own line, once, even if no server inherits it.
    fn check_defaults(reader: &mut Reader<'_, '_>) {
        for key in ["slots", "connections"] {
            if let Some(entry) = reader.entry(key) {
                let _ = reader.number(entry, u16::MAX);
            }
        }
        let _ = reader.optional_time("connect_cost");
    }
}

/// Returns the deadline of a class that was read without problems.
pub(super) fn deadline_of(fleet: &Fleet, class: ClassKey) -> Option<Duration> {
    fleet.classes.get(&class).map(|class| class.deadline)
}
