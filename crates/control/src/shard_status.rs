//! Reports a shard's state to operators.

use std::time::Duration;

use flamingopost_core::key::{ServerKey, ServiceKey};
use flamingopost_core::lease::Instance;
use flamingopost_core::membership::{Member, Process};
use flamingopost_core::row;
use flamingopost_core::view::State;
use flamingopost_platform::group;
use flamingopost_wire::status::{Controller, Host, Loss, Server, Service, Status};

use crate::shard::{Shard, millis};

/// Returns the state of `shard`, or `None` if this process does not lead it.
pub(crate) fn report(shard: &Shard) -> Option<Status> {
    let now = shard.shared.now();
    let epoch = shard.controller.leading_epoch(now)?;
    let members = shard.membership.members();
    let row = shard.controller.row()?;
    let config = shard.config.as_ref()?;
    let services = config.fleet.services.keys();
    let services = services.filter(|key| shard.serves(**key));
    Some(Status {
        hosts: members.map(|member| host(shard, member, now)).collect(),
        services: services.map(|key| service(shard, *key, row)).collect(),
        controllers: vec![Controller {
            shard: shard.number,
            epoch,
            host: shard.shared.process().host.clone(),
            standbys: standbys(shard, row),
        }],
    })
}

/// Reports whether `service` has a replica that is not leaving and could become its primary.
pub(crate) fn has_promotable_replica(shard: &Shard, service: ServiceKey) -> bool {
    let Some(config) = &shard.config else {
        return false;
    };
    let Some(service) = config.fleet.services.get(&service) else {
        return false;
    };
    let leaving = shard.leaving.servers();
    let mut servers = service.servers.iter();
    servers.any(|server| {
        let status = shard.statuses.get(server);
        let follows = status.is_some_and(|(_, status)| status.role == group::Role::Replica);
        follows && !leaving.contains(server)
    })
}

fn standbys(shard: &Shard, row: &row::Row) -> Vec<String> {
    let directory = shard.shared.directory();
    let names = row.standbys.iter();
    names
        .filter_map(|key| directory.hosts.name(*key))
        .map(str::to_owned)
        .collect()
}

fn host(shard: &Shard, (process, member): (Process, &Member), now: Duration) -> Host {
    let directory = shard.shared.directory();
    let instance = Instance {
        host: process.host,
        incarnation: process.incarnation,
    };
    let until = shard.lease_ends.get(&instance).copied().unwrap_or_default();
    let state = shard.membership.state(process, now);
    Host {
        host: name(directory.hosts.name(process.host)),
        zone: name(directory.zones.name(member.zone)),
        incarnation: process.incarnation,
        config: member.config,
        state: state.to_string(),
        lease_left_ms: millis(until.saturating_sub(now)),
        connections: shard
            .granted_connections
            .get(&instance)
            .copied()
            .unwrap_or_default(),
    }
}

fn service(shard: &Shard, key: ServiceKey, row: &row::Row) -> Service {
    let directory = shard.shared.directory();
    let known = row.services.get(&key);
    let state = known.map(|service| service.state);
    let primary = match state {
        Some(State::Open { primary, .. }) => Some(name(directory.servers.name(primary))),
        _ => None,
    };
    let losses = known.into_iter().flat_map(|service| &service.losses);
    Service {
        service: name(directory.services.name(key)),
        shard: shard.number,
        term: state.map_or_else(String::new, |state| state.term().to_string()),
        state: match primary {
            Some(_) => "open".to_owned(),
            None => "closed: a promotion is under way".to_owned(),
        },
        primary,
        servers: servers(shard, key),
        lost: losses.map(loss).collect(),
    }
}

fn loss(loss: &row::Loss) -> Loss {
    let acknowledged = loss.acknowledged;
    Loss {
        term: loss.opened.to_string(),
        acknowledged: acknowledged.map_or_else(|| "unknown".to_owned(), |p| p.to_string()),
        start: loss.start,
    }
}

fn servers(shard: &Shard, service: ServiceKey) -> Vec<Server> {
    let fleet = shard.config.as_ref().map(|config| &config.fleet);
    let service = fleet.and_then(|fleet| fleet.services.get(&service));
    let keys = service.into_iter().flat_map(|service| &service.servers);
    keys.map(|key| server(shard, *key)).collect()
}

fn server(shard: &Shard, key: ServerKey) -> Server {
    let directory = shard.shared.directory();
    let config = shard.config.as_ref();
    let known = config.and_then(|config| config.fleet.servers.get(&key));
    let status = shard.statuses.get(&key).map(|(_, status)| status);
    let role = status.map(|status| match status.role {
        group::Role::Primary => "primary",
        group::Role::Replica => "replica",
    });
    Server {
        server: name(directory.servers.name(key)),
        zone: name(known.and_then(|server| directory.zones.name(server.zone))),
        role: role.map(str::to_owned),
        position: status.map(|status| status.position.to_string()),
        age_ms: status.map(|status| millis(status.age)),
        leaving: shard.leaving.reasons(key).map(|r| r.to_string()).collect(),
    }
}

fn name(name: Option<&str>) -> String {
    name.unwrap_or_default().to_owned()
}
