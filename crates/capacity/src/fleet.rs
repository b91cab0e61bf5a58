//! Generates fleet configurations of a given size.

use std::fmt::Write as _;

use flamingopost_core::config;
use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;

use crate::error::Error;

/// Number of backend servers of each service.
const SERVERS_PER_SERVICE: usize = 3;

/// Number of availability zones.
pub const ZONES: usize = 6;

/// Number of services of one customer. They share the customer's callers and rules.
const SERVICES_PER_CUSTOMER: usize = 10;

/// A SCRAM verifier; only its length matters here.
const VERIFIER: &str = "SCRAM-SHA-256$4096:hFKnInoSdYW4yniZTY2UmQ==$mBvoG84KcVPnyHhI/pbKAtL31uontdpAJInLt6J3EqU=:GKE9PyduNqCFluQnVjw6AZUjimOZbEv3OV8jybu9afg=";

/// Generates the configuration of a fleet with `services` services: three servers each, spread
/// over six zones, and for every ten services one customer with two callers and four rules.
pub fn generate(services: usize) -> String {
    let mut text = String::from("[fleet]\nshards = 16\ndefault_class = other\n");
    for zone in 0..ZONES {
        let _ = write!(text, "[zone zone-{zone}]\nregion = region-{}\n", zone % 2);
    }
    text.push_str("[class bid]\nweight = 100\ndeadline = 400ms\n");
    text.push_str("[class other]\nweight = 10\ndeadline = 1s\n");
    for customer in 0..services.div_ceil(SERVICES_PER_CUSTOMER) {
        let customer_services = customer * SERVICES_PER_CUSTOMER..services;
        push_customer(
            &mut text,
            customer,
            customer_services.take(SERVICES_PER_CUSTOMER),
        );
    }
    text
}

/// Parses a configuration, for example one from [`generate`], and adds its names to `directory`.
///
/// # Errors
/// Returns an error if `text` is not a valid configuration. For a generated one this means that
/// [`generate`] no longer matches the format.
pub fn parse(services: usize, text: &str, directory: &mut Directory) -> Result<Fleet, Error> {
    config::parse("made.ini", text, directory)
        .map_err(|report| Error::Configuration { services, report })
}

fn push_customer(text: &mut String, customer: usize, services: impl Iterator<Item = usize>) {
    let services: Vec<usize> = services.collect();
    let names: Vec<String> = services
        .iter()
        .map(|service| format!("ledger-{service}"))
        .collect();
    let names = names.join(", ");
    let _ = write!(text, "[customer customer-{customer}]\nweight = 1\n");
    for service in services {
        push_service(text, customer, service);
    }
    for role in ["member", "clerk"] {
        let _ = write!(
            text,
            "[caller {role}-{customer}]\nverifier = {VERIFIER}\ncustomer = customer-{customer}\n\
             role = {role}\nservices = {names}\n"
        );
    }
    for rule in 0..2 {
        let _ = write!(
            text,
            "[rule writes-{customer}-{rule}]\nwhen.service = {names}\nwhen.access = write\n\
             when.table = table-{rule}\nthen.class = bid\nthen.repeatable = no\n\
             [rule reads-{customer}-{rule}]\nwhen.service = {names}\nwhen.access = read\n\
             when.table = table-{rule}\nthen.target = replica\nthen.max_age = 500ms\n\
             then.class = other\n"
        );
    }
}

fn push_service(text: &mut String, customer: usize, service: usize) {
    let _ = write!(
        text,
        "[service ledger-{service}]\ncustomer = customer-{customer}\nslots = 3\n\
         connections = 36\nconnect_cost = 30ms\n"
    );
    for server in 0..SERVERS_PER_SERVICE {
        let index = service * SERVERS_PER_SERVICE + server;
        let (high, low) = (index / 250, index % 250 + 1);
        let _ = write!(
            text,
            "[server ledger-{service}-{server}]\nservice = ledger-{service}\nzone = zone-{}\n\
             address = 127.0.{high}.{low}:7000\n",
            index % ZONES
        );
    }
}
