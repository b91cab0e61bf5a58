//! What an entry host tells operators of itself.

use std::collections::BTreeMap;

use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;
use flamingopost_core::key::ServerKey;
use flamingopost_core::lease::Leader;
use flamingopost_daemon::stop::Phase;
use flamingopost_wire::knowledge::Controller;
use serde::Serialize;

use super::Admin;
use crate::service::Service;

/// `GET /v1/status`.
#[derive(Debug, Serialize)]
pub struct Status {
    host: String,
    zone: String,
    incarnation: u64,
    /// `running`, `draining` or `stopped`.
    phase: &'static str,
    /// Configuration version in force; absent where there is none yet.
    version: Option<u64>,
    digest: Option<String>,
    /// Highest configuration version heard of.
    heard: u64,
    shards: Vec<Shard>,
    services: Vec<Line>,
}

/// One lease.
#[derive(Debug, Serialize)]
struct Shard {
    shard: u16,
    controller: Option<Controller>,
    /// Version of the view acted by, `EPOCH.CHANGE`.
    view: Option<String>,
    lease_left_ms: u64,
}

/// One service.
#[derive(Debug, Serialize)]
struct Line {
    service: String,
    shard: u16,
    /// `open`, `lapsed`, `closed` or `unknown`.
    state: &'static str,
    term: Option<String>,
    primary: Option<String>,
    /// Highest position acknowledged by this process.
    acknowledged: Option<String>,
    servers: Vec<Server>,
}

/// One backend server.
#[derive(Debug, Serialize)]
struct Server {
    server: String,
    /// Connections that this host may have open now.
    allotment: u16,
    open: u16,
    idle: usize,
    waiting: usize,
    /// Position last heard of it.
    position: Option<String>,
    leaving: bool,
}

impl Status {
    /// The status now.
    pub fn of(admin: &Admin) -> Status {
        let shared = &admin.shared;
        let adopted = shared.adopted();
        let fleet = adopted.as_ref().map(|adopted| adopted.fleet.as_ref());
        Status {
            host: admin.host.clone(),
            zone: admin.zone.clone(),
            incarnation: shared.incarnation(),
            phase: phase(shared.stop().phase()),
            version: adopted.as_ref().map(|adopted| adopted.version),
            digest: adopted.as_ref().map(|adopted| adopted.digest.clone()),
            heard: shared.heard(),
            shards: fleet.map_or_else(Vec::new, |fleet| shards(admin, fleet)),
            services: fleet.map_or_else(Vec::new, |fleet| services(admin, fleet)),
        }
    }

    /// Says that the host drains, as it is about to.
    pub fn drains(&mut self) {
        self.phase = phase(Phase::Draining);
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
        let left = leases.left(shard, now).as_millis();
        let view = leases.version(shard);
        Shard {
            shard,
            controller: controllers.remove(&shard),
            view: view.map(|view| format!("{}.{}", view.epoch, view.change)),
            lease_left_ms: u64::try_from(left).unwrap_or(u64::MAX),
        }
    };
    (0..fleet.shards).map(shard).collect()
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
        state,
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
