//! Tables of an entry host's status, as the host itself reports it.

use comfy_table::Table;
use flamingopost_wire::host_status::Status;

use super::{join_tables, or_dash, table};

/// Returns every table that has rows.
pub fn show(host: &Status) -> String {
    join_tables([summary(host), leases(host), services(host), pools(host)])
}

fn summary(host: &Status) -> Table {
    let mut rows = table(&["host", "zone", "phase", "config", "heard of", "incarnation"]);
    rows.add_row([
        host.host.clone(),
        host.zone.clone(),
        host.phase.clone(),
        or_dash(&host.version),
        host.heard.to_string(),
        format!("{:x}", host.incarnation),
    ]);
    rows
}

fn leases(host: &Status) -> Table {
    let mut rows = table(&["shard", "lease left, ms", "view", "controller", "epoch"]);
    for shard in &host.shards {
        let controller = shard.controller.as_ref();
        rows.add_row([
            shard.shard.to_string(),
            shard.lease_left_ms.to_string(),
            or_dash(&shard.view),
            or_dash(&controller.map(|controller| &controller.rpc)),
            or_dash(&controller.map(|controller| controller.epoch)),
        ]);
    }
    rows
}

fn services(host: &Status) -> Table {
    let mut rows = table(&["service", "state", "term", "primary", "acknowledged"]);
    for service in &host.services {
        rows.add_row([
            service.service.clone(),
            service.state.clone(),
            or_dash(&service.term),
            or_dash(&service.primary),
            or_dash(&service.acknowledged),
        ]);
    }
    rows
}

fn pools(host: &Status) -> Table {
    let mut rows = table(&[
        "pool to", "allotted", "open", "idle", "waiting", "position", "leaving",
    ]);
    let servers = host.services.iter().flat_map(|service| &service.servers);
    for server in servers {
        rows.add_row([
            server.server.clone(),
            server.allotment.to_string(),
            server.open.to_string(),
            server.idle.to_string(),
            server.waiting.to_string(),
            or_dash(&server.position),
            if server.leaving { "yes" } else { "" }.to_owned(),
        ]);
    }
    rows
}
