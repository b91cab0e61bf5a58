//! `flamingopostctl status`

use std::ffi::OsString;
use std::path::PathBuf;

use flamingopost_wire::status::{Service, Status as Fleet};
use serde_json::Value;

use crate::client::{Access, Client};
use crate::error::Error;
use crate::output;

xflags::xflags! {
    /// Shows hosts, services and controllers as a controller sees them, or one entry host as it
    /// sees itself.
    ///
    /// EXAMPLES:
    ///     flamingopostctl status --admin 10.0.1.4:7080
    ///     flamingopostctl status --json | jq '.services[] | select(.state != "open")'
    cmd status {
        /// IP:PORT of the operators' HTTP of a controller or an entry host.
        optional --admin address: String
        /// File with the operators' token.
        optional --token-file path: PathBuf
        /// Print JSON.
        optional --json
    }
}

// A controller's status has tables of its own; whatever else a host tells is shown as it is.
fn show(value: &Value) -> String {
    match serde_json::from_value::<Fleet>(value.clone()) {
        Ok(fleet) => show_fleet(&fleet),
        Err(_) => output::leaves(value).to_string(),
    }
}

fn show_fleet(fleet: &Fleet) -> String {
    let parts = [
        hosts(fleet),
        services(fleet),
        servers(fleet),
        controllers(fleet),
        losses(fleet),
    ];
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    parts.join("\n\n")
}

fn hosts(fleet: &Fleet) -> Option<String> {
    let mut rows = output::table(&[
        "host",
        "zone",
        "state",
        "config",
        "lease left, ms",
        "connections",
        "incarnation",
    ]);
    for host in &fleet.hosts {
        rows.add_row([
            host.host.clone(),
            host.zone.clone(),
            host.state.clone(),
            host.config.to_string(),
            host.lease_left_ms.to_string(),
            host.connections.to_string(),
            format!("{:x}", host.incarnation),
        ]);
    }
    Some(rows.to_string())
}

fn services(fleet: &Fleet) -> Option<String> {
    let mut rows = output::table(&["service", "shard", "term", "primary", "state"]);
    for service in &fleet.services {
        rows.add_row([
            service.service.clone(),
            service.shard.to_string(),
            service.term.clone(),
            output::or_dash(&service.primary),
            service.state.clone(),
        ]);
    }
    Some(rows.to_string())
}

fn servers(fleet: &Fleet) -> Option<String> {
    let mut rows = output::table(&[
        "server", "service", "zone", "role", "position", "age, ms", "leaving",
    ]);
    for service in &fleet.services {
        for server in &service.servers {
            rows.add_row([
                server.server.clone(),
                service.service.clone(),
                server.zone.clone(),
                output::or_dash(&server.role),
                output::or_dash(&server.position),
                output::or_dash(&server.age_ms),
                server.leaving.join(", "),
            ]);
        }
    }
    Some(rows.to_string())
}

fn controllers(fleet: &Fleet) -> Option<String> {
    let mut rows = output::table(&["shard", "epoch", "controller", "standbys"]);
    for controller in &fleet.controllers {
        rows.add_row([
            controller.shard.to_string(),
            controller.epoch.to_string(),
            controller.host.clone(),
            controller.standbys.join(", "),
        ]);
    }
    Some(rows.to_string())
}

fn losses(fleet: &Fleet) -> Option<String> {
    let mut rows = output::table(&["service that lost writes", "term", "acknowledged", "start"]);
    let lost = fleet.services.iter();
    let lost: Vec<(&Service, _)> = lost
        .flat_map(|service| service.lost.iter().map(move |loss| (service, loss)))
        .collect();
    for (service, loss) in &lost {
        rows.add_row([
            service.service.clone(),
            loss.term.clone(),
            loss.acknowledged.clone(),
            loss.start.to_string(),
        ]);
    }
    (!lost.is_empty()).then(|| rows.to_string())
}

/// Runs the subcommand.
pub fn run(args: Vec<OsString>) -> Result<(), Error> {
    let args = Status::from_vec(args)?;
    let client = Client::open(Access {
        admin: args.admin,
        token_file: args.token_file,
    })?;
    let value: Value = client.get("/v1/status", &[])?;
    output::print(args.json, &value, show)
}
