//! What an entry host tells operators of itself.

use std::collections::BTreeMap;

use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;
use flamingopost_core::key::ServerKey;
use flamingopost_core::lease::Leader;
use flamingopost_daemon::stop::Phase;
use flamingopost_wire::host_status::{Server, Service as Line, Shard, Status};

use super::Admin;
use crate::service::Service;

/// The status now.
pub fn of(admin: &Admin) -> Status {
    let shared = &admin.shared;
    let adopted = shared.adopted();
    let fleet = adopted.as_ref().map(|adopted| adopted.fleet.as_ref());
    Status {
        host: admin.host.clone(),
        zone: admin.zone.clone(),
        incarnation: shared.incarnation(),
        phase: phase(shared.stop().phase()).to_owned(),
        version: adopted.as_ref().map(|adopted| adopted.version),
        digest: adopted.as_ref().map(|adopted| adopted.digest.clone()),
        heard: shared.heard(),
        shards: fleet.map_or_else(Vec::new, |fleet| shards(admin, fleet)),
        services: fleet.map_or_else(Vec::new, |fleet| services(admin, fleet)),
    }
}

/// The status of a host that is about to drain.
pub fn draining(admin: &Admin) -> Status {
    Status {
        phase: phase(Phase::Draining).to_owned(),
        ..of(admin)
    }
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Running => "running",
        Phase::Draining => "draining",
        Phase::Stopped => "stopped",
    }
}

fn shards(admin: &Admin, fleet: &Fleet) -> Vec<Shard> {
    let mut controllers = admin.link.knowledge(u64::MAX).controllers;
    let now = admin.shared.now();
    let leases = admin.shared.leases();
    let shard = |shard| {
        let left = leases.time_left(shard, now).as_millis();
        let view = leases.version(shard);
        Shard {
            shard,
            controller: controllers.remove(&shard),
            view: view.map(|view| format!("{}.{}", view.epoch, view.change)),
            lease_left_ms: u64::try_from(left).unwrap_or(u64::MAX),
        }
    };
    fleet.shards_in_use().into_iter().map(shard).collect()
}

fn services(admin: &Admin, fleet: &Fleet) -> Vec<Line> {
    let directory = admin.shared.directory();
    let known = admin.context.services();
    let lines = known.iter().map(|service| {
        let facts = fleet.services.get(&service.key);
        line(
            admin,
            &directory,
            service,
            facts.map_or(0, |facts| facts.shard),
        )
    });
    lines.collect()
}

fn line(admin: &Admin, directory: &Directory, service: &Service, shard: u16) -> Line {
    let shared = &admin.shared;
    let (state, term, primary) = match shared.leader(service.key) {
        Leader::Open { term, primary } => ("open", Some(term), Some(primary)),
        Leader::Lapsed { term, primary, .. } => ("lapsed", Some(term), Some(primary)),
        Leader::Closed { term } => ("closed", Some(term), None),
        Leader::Unknown => ("unknown", None, None),
    };
    let acknowledged = shared.leases().acknowledged(service.key);
    Line {
        service: service.name.clone(),
        shard,
        state: state.to_owned(),
        term: term.map(|term| term.to_string()),
        primary: primary.map(|primary| name(directory, primary)),
        acknowledged: acknowledged.map(|position| position.to_string()),
        servers: servers(admin, directory, service),
    }
}

fn servers(admin: &Admin, directory: &Directory, service: &Service) -> Vec<Server> {
    let positions: BTreeMap<ServerKey, Option<String>> = service.with_table(|table, _| {
        let servers = table.servers().iter();
        servers
            .map(|(key, server)| (*key, server.position().map(|place| place.to_string())))
            .collect()
    });
    let servers = service.ways().into_iter().map(|(key, way)| {
        let counts = way.pool.counts();
        Server {
            server: name(directory, key),
            allotment: admin.shared.allotment(key),
            open: counts.open,
            idle: counts.idle,
            waiting: counts.waiting,
            position: positions.get(&key).cloned().flatten(),
            leaving: admin.shared.leaving(key),
        }
    });
    servers.collect()
}

fn name(directory: &Directory, server: ServerKey) -> String {
    directory
        .servers
        .name(server)
        .unwrap_or_default()
        .to_owned()
}
