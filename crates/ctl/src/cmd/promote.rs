//! `flamingopostctl promote`: orders a planned promotion.

use std::ffi::OsString;
use std::path::PathBuf;

use flamingopost_wire::status::Ordered;
use serde::Serialize;

use crate::client::{Access, Client, Reply};
use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Promotes the replica of a service that has the most data, for example before the machine of
    /// the current primary is removed. Writes wait during the promotion.
    ///
    /// EXAMPLES:
    ///     flamingopostctl promote auction-ledger --admin 10.0.1.4:7080
    cmd promote {
        /// Name of the service.
        required service: String
        /// IP:PORT of a controller's operators' HTTP API.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

/// Body of the request.
#[derive(Debug, Serialize)]
struct Order {
    service: String,
}

/// Runs the subcommand with its arguments.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Promote::from_vec(args)?;
    let client = Client::open(Access {
        admin: args.admin,
        token_file: args.token_file,
    })?;
    let order = Order {
        service: args.service,
    };
    let ordered: Ordered = match client.post("/v1/promote", &order)? {
        Reply::Done(ordered) => ordered,
        Reply::Refused(refused) => return Err(Error::from_refusal(refused, client.address())),
    };
    output::print(args.json, &ordered, |_| {
        format!("promotion of {} has begun", order.service)
    })
}
