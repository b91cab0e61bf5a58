//! Tables of a fleet's status, as a controller reports it.

use comfy_table::Table;
use flamingopost_wire::status::Status;

use super::{join_tables, or_dash, table};

/// Returns every table that has rows.
pub fn show(fleet: &Status) -> String {
    join_tables([
        hosts(fleet),
        services(fleet),
        servers(fleet),
        controllers(fleet),
        losses(fleet),
    ])
}

fn hosts(fleet: &Status) -> Table {
    let mut rows = table(&[
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
    rows
}

fn services(fleet: &Status) -> Table {
    let mut rows = table(&["service", "shard", "term", "primary", "state"]);
    for service in &fleet.services {
        rows.add_row([
            service.service.clone(),
            service.shard.to_string(),
            service.term.clone(),
            or_dash(&service.primary),
            service.state.clone(),
        ]);
    }
    rows
}

fn servers(fleet: &Status) -> Table {
    let mut rows = table(&[
        "server", "service", "zone", "role", "position", "age, ms", "leaving",
    ]);
    for service in &fleet.services {
        for server in &service.servers {
            rows.add_row([
                server.server.clone(),
                service.service.clone(),
                server.zone.clone(),
                or_dash(&server.role),
                or_dash(&server.position),
                or_dash(&server.age_ms),
                server.leaving.join(", "),
            ]);
        }
    }
    rows
}

fn controllers(fleet: &Status) -> Table {
    let mut rows = table(&["shard", "epoch", "controller", "standbys"]);
    for controller in &fleet.controllers {
        rows.add_row([
            controller.shard.to_string(),
            controller.epoch.to_string(),
            controller.host.clone(),
            controller.standbys.join(", "),
        ]);
    }
    rows
}

fn losses(fleet: &Status) -> Table {
    let mut rows = table(&["service that lost writes", "term", "acknowledged", "start"]);
    for service in &fleet.services {
        for loss in &service.lost {
            rows.add_row([
                service.service.clone(),
                loss.term.clone(),
                loss.acknowledged.clone(),
                loss.start.to_string(),
            ]);
        }
    }
    rows
}
