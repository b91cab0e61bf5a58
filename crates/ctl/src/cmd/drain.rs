//! `flamingopostctl drain`: takes an entry host or a backend server out of service.

use std::ffi::OsString;
use std::path::PathBuf;
use std::str::FromStr;

use flamingopost_wire::status::Status;
use flamingopost_wire::submission::Drain as Order;
use serde::Serialize;
use serde_json::Value;

use crate::client::{Access, Client, Reply};
use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Drains an entry host or a backend server so that it can be removed: it receives no new work,
    /// and the work that it has already begun runs to completion.
    ///
    /// EXAMPLES:
    ///     flamingopostctl drain auction-ledger-2 --admin 10.0.1.4:7080
    ///     flamingopostctl drain entry-3 --kind host
    ///     flamingopostctl drain auction-ledger-2 --undo
    cmd drain {
        /// Name of the host or server.
        required name: String
        /// Undo an earlier drain: the host or server receives new work again.
        optional --undo
        /// Kind of the name, `host` or `server`; required if a host and a server share it.
        optional --kind kind: Kind
        /// IP:PORT of a controller's operators' HTTP API.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// Kind of the drained process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Host,
    Server,
}

/// `{0}` is neither host nor server
#[derive(Debug, displaydoc::Display)]
pub struct ParseError(String);

impl FromStr for Kind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Kind, ParseError> {
        match text {
            "host" => Ok(Kind::Host),
            "server" => Ok(Kind::Server),
            _ => Err(ParseError(text.to_owned())),
        }
    }
}

/// The order and its answer, as printed.
#[derive(Debug, Serialize)]
struct DrainOutcome {
    name: Order,
    undone: bool,
    answer: Value,
}

/// Looks `name` up in the status of the fleet.
///
/// # Errors
///
/// Fails if the status cannot be read, no host or server has the name, or both have it.
fn resolve_kind(client: &Client, name: &str) -> Result<Kind, Error> {
    let status: Status = client.get("/v1/status", &[])?;
    let host = status.hosts.iter().any(|host| host.host == name);
    let mut servers = status.services.iter().flat_map(|service| &service.servers);
    let server = servers.any(|server| server.server == name);
    match (host, server) {
        (true, false) => Ok(Kind::Host),
        (false, true) => Ok(Kind::Server),
        (true, true) => Err(Error::AmbiguousName(name.to_owned())),
        (false, false) => Err(Error::NameNotFound(name.to_owned())),
    }
}

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Drain::from_vec(args)?;
    let client = Client::open(Access {
        admin: args.admin,
        token_file: args.token_file,
    })?;
    let kind = match args.kind {
        Some(kind) => kind,
        None => resolve_kind(&client, &args.name)?,
    };
    let order = match kind {
        Kind::Host => Order::Host(args.name.clone()),
        Kind::Server => Order::Server(args.name.clone()),
    };
    let reply = match args.undo {
        true => client.delete("/v1/drain", &order)?,
        false => client.post("/v1/drain", &order)?,
    };
    let answer = match reply {
        Reply::Done(answer) => answer,
        Reply::Refused(refused) => return Err(Error::from_refusal(refused, client.address())),
    };
    let outcome = DrainOutcome {
        name: order,
        undone: args.undo,
        answer,
    };
    output::print(args.json, &outcome, |_| {
        let work = if args.undo {
            "new work again"
        } else {
            "no new work"
        };
        format!("{} receives {work}", args.name)
    })
}
