//! The start of a session after authentication: what the caller brought, what it is told.

use std::collections::BTreeMap;

use bytes::BytesMut;
use flamingopost_core::refusal::Refusal;
use flamingopost_core::session::state::Effect;
use flamingopost_core::session::{MAX_AGE, POSITION, TAG};
use pgwire::messages::startup::BackendKeyData;

use crate::cancel;
use crate::local;
use crate::reply;
use crate::session::Session;

/// Parameters told before a server of the service has told its own.
const DEFAULTS: [(&str, &str); 9] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("application_name", ""),
];

/// Parameter that only names the program; it is told back and does not travel to servers, where
/// it would have to be set anew each time a connection changes hands.
const PROGRAM: &str = "application_name";

/// Takes the parameters of the caller's start-up packet and greets it.
///
/// # Errors
/// A parameter of this host has no valid value.
pub fn greet(session: &mut Session, parameters: &BTreeMap<String, String>) -> Result<(), Refusal> {
    let known = session.service.parameters();
    let known = known
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let mut told: Vec<(String, String)> = known
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    if told.is_empty() {
        let defaults = DEFAULTS.iter();
        told = defaults
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
    }
    for (name, value) in brought(parameters) {
        take(session, &mut told, &name, &value)?;
    }
    let mut out = BytesMut::new();
    for (name, value) in &told {
        reply::parameter(&mut out, name, value);
    }
    let secret = cancel::secret_key(session.handle.secret);
    reply::put(&mut out, &BackendKeyData::new(session.handle.pid, secret));
    session.front.out.extend_from_slice(&out);
    session.ready();
    Ok(())
}

fn take(
    session: &mut Session,
    told: &mut [(String, String)],
    name: &str,
    value: &str,
) -> Result<(), Refusal> {
    match name {
        POSITION => return local::take_position(session, value),
        MAX_AGE => return session.writes.set_max_age(value),
        TAG => {
            session.writes.set_tag(value);
            return Ok(());
        }
        _ => {}
    }
    let place = told
        .iter()
        .position(|(known, _)| known.eq_ignore_ascii_case(name));
    let usual = place.is_some_and(|place| told[place].1.eq_ignore_ascii_case(value));
    if let Some(place) = place {
        value.clone_into(&mut told[place].1);
    }
    // A value that servers have anyway needs no `SET` on each connection.
    if !usual && name != PROGRAM {
        session.state.apply(Effect::Set {
            name: name.to_ascii_lowercase(),
            text: format!("SET {name} TO '{}'", value.replace('\'', "''")),
        });
    }
    Ok(())
}

/// Parameters of the start-up packet and of its `options`, in which `-c NAME=VALUE` and
/// `--NAME=VALUE` stand as on a server's command line.
fn brought(parameters: &BTreeMap<String, String>) -> Vec<(String, String)> {
    let mut brought = Vec::new();
    for (name, value) in parameters {
        match name.as_str() {
            "options" => brought.extend(options(value)),
            "replication" => {}
            _ if name.starts_with("_pq_.") => {}
            _ => brought.push((name.clone(), value.clone())),
        }
    }
    brought
}

fn options(text: &str) -> Vec<(String, String)> {
    let mut found = Vec::new();
    let mut words = text.split_whitespace();
    while let Some(word) = words.next() {
        let pair = match word {
            "-c" => words.next(),
            _ => word.strip_prefix("--").or_else(|| word.strip_prefix("-c")),
        };
        if let Some((name, value)) = pair.and_then(|pair| pair.split_once('=')) {
            found.push((name.to_owned(), value.to_owned()));
        }
    }
    found
}
