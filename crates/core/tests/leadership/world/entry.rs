//! An entry host: renews its lease, probes servers and reports the results, and sends writes of its
//! callers.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::key::{ServerKey, ServiceKey};
use flamingopost_core::leadership::{Renewal, Reply};
use flamingopost_core::lease::{Acknowledge, Instance, Leader, LeaseHolder};
use flamingopost_core::position::Position;
use flamingopost_core::suspicion::Report;
use flamingopost_core::timing;
use flamingopost_core::view::{Shard, Version};
use rand::RngExt;

use super::{HOSTS, Place, SERVICES, World, ZONES};

const STEP: Duration = Duration::from_millis(30);
const PROBE: Duration = Duration::from_millis(200);
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug)]
pub struct Entry {
    holder: LeaseHolder,
    incarnation: u64,
    controller: usize,
    renewed: Option<Duration>,
    answered: Option<Duration>,
    probed: Option<Duration>,
    probes: BTreeMap<ServerKey, ProbeState>,
}

#[derive(Debug, Default)]
struct ProbeState {
    failures: u32,
    broken: u32,
    answered: Option<Duration>,
}

impl Entry {
    pub fn new(host: usize, boot: u64, _now: Duration) -> Entry {
        let incarnation = boot * 100 + host as u64;
        Entry {
            holder: LeaseHolder::new(incarnation),
            incarnation,
            controller: host,
            renewed: None,
            answered: None,
            probed: None,
            probes: BTreeMap::new(),
        }
    }

    pub fn close(&mut self, view: Shard) -> (u64, Version, BTreeMap<ServiceKey, Position>) {
        let acknowledged = self.holder.close(0, view);
        let version = self.holder.version(0).unwrap();
        (self.incarnation, version, acknowledged)
    }

    pub fn adopt(&mut self, view: Shard) {
        self.holder.adopt(0, view);
    }

    pub fn leader(&self, service: ServiceKey, now: Duration) -> Leader {
        self.holder.leader(service, now)
    }

    fn reports(&mut self, now: Duration) -> BTreeMap<ServerKey, Report> {
        let mut reports = BTreeMap::new();
        for (server, probes) in &mut self.probes {
            let report = Report {
                failures: probes.failures,
                broken: probes.broken,
                silent: probes.answered.map(|at| now.saturating_sub(at)),
            };
            (probes.failures, probes.broken) = (0, 0);
            reports.insert(*server, report);
        }
        reports
    }
}

impl World {
    pub fn entry_tick(&mut self, host: usize, boot: u64) {
        let jitter = Duration::from_millis(self.rng.random_range(0..10));
        self.at(Place::Entry(host), boot, STEP + jitter, move |world| {
            world.entry_step(host, boot);
            world.entry_tick(host, boot);
        });
    }

    fn entry_step(&mut self, host: usize, boot: u64) {
        let now = self.local(Place::Entry(host));
        let entry = &mut self.entries[host].1;
        if entry
            .renewed
            .is_none_or(|at| now >= at + timing::RENEWAL_INTERVAL)
        {
            self.renew(host, boot, false);
        }
        let entry = &mut self.entries[host].1;
        if entry.probed.is_none_or(|at| now >= at + PROBE) {
            entry.probed = Some(now);
            for index in 0..self.servers.len() {
                self.probe(host, boot, index);
            }
        }
        if self.writing {
            let service = self.rng.random_range(0..SERVICES);
            self.write(host, boot, service);
        }
    }

    /// Starts a graceful stop of the host, with requests still running.
    pub fn stop_entry(&mut self, host: usize) {
        let process = self.process_at(Place::Entry(host));
        if process.paused <= self.now {
            self.entries[host].1.holder.give_up(0);
            self.renew(host, process.boot, true);
        }
    }

    fn renew(&mut self, host: usize, boot: u64, stopping: bool) {
        let now = self.local(Place::Entry(host));
        let key = self.hosts[host];
        let zone = self.zones[host % ZONES];
        let entry = &mut self.entries[host].1;
        entry.renewed = Some(now);
        let ticket = entry.holder.renewal_sent(0, now);
        let to = entry.controller;
        let renewal = Renewal {
            holder: Instance {
                host: key,
                incarnation: entry.incarnation,
            },
            zone,
            version: entry.holder.version(0),
            reports: entry.reports(now),
            stopping,
        };
        self.at(Place::Entry(host), boot, RENEWAL_TIMEOUT, move |world| {
            let entry = &mut world.entries[host].1;
            if entry.answered.is_none_or(|at| at < now) && entry.controller == to {
                entry.controller = (to + 1) % HOSTS;
            }
        });
        let Some(delay) = self.host_message_delay(host, to) else {
            return;
        };
        let peer_boot = self.process_at(Place::Control(to)).boot;
        self.at(Place::Control(to), peer_boot, delay, move |world| {
            let local = world.local(Place::Control(to));
            let reply = world.controls[to].1.on_renewal(&renewal, local);
            world.step(to);
            if let Some(delay) = world.host_message_delay(to, host) {
                world.at(Place::Entry(host), boot, delay, move |world| {
                    let now = world.local(Place::Entry(host));
                    let known = match &reply {
                        Reply::Refused { controller } => controller.map(|key| world.host(key)),
                        Reply::Granted { .. } => None,
                    };
                    let entry = &mut world.entries[host].1;
                    match reply {
                        Reply::Granted {
                            version,
                            valid,
                            view,
                        } => {
                            entry.answered = Some(now);
                            let _granted =
                                entry.holder.on_granted(ticket, version, valid, view, now);
                        }
                        Reply::Refused { .. } => {
                            let next = known.filter(|known| *known != to);
                            entry.controller = next.unwrap_or((to + 1) % HOSTS);
                        }
                    }
                });
            }
        });
    }

    fn probe(&mut self, host: usize, boot: u64, index: usize) {
        let server = self.server_keys[index];
        let zone = self.servers[index].zone;
        let place = Place::Entry(host);
        let failed = move |world: &mut World, broken: u32| {
            let entry = &mut world.entries[host].1;
            let probes = entry.probes.entry(server).or_default();
            let first = probes.broken == 0 && broken > 0;
            probes.failures += 1;
            probes.broken += broken;
            let now = world.local(place);
            let entry = &world.entries[host].1;
            // A host renews at once when a server becomes unreachable.
            if first
                && entry
                    .renewed
                    .is_none_or(|at| now >= at + timing::RENEWAL_INTERVAL / 2)
            {
                world.renew(host, boot, false);
            }
        };
        let Some(delay) = self.message_delay(host, zone) else {
            return self.at(place, boot, PROBE_TIMEOUT, move |world| failed(world, 0));
        };
        self.schedule(delay, move |world| {
            let down = world.servers[index].down;
            match world.message_delay(host, zone) {
                None => world.at(place, boot, PROBE_TIMEOUT, move |world| failed(world, 0)),
                Some(delay) if down => {
                    world.at(place, boot, delay, move |world| failed(world, 1));
                }
                Some(delay) => world.at(place, boot, delay, move |world| {
                    let now = world.local(place);
                    let probes = world.entries[host].1.probes.entry(server).or_default();
                    probes.answered = Some(now);
                    (probes.failures, probes.broken) = (0, 0);
                }),
            }
        });
    }

    fn write(&mut self, host: usize, boot: u64, service: usize) {
        let place = Place::Entry(host);
        let now = self.local(place);
        let key = self.services[service];
        let Leader::Open { term, primary } = self.entries[host].1.leader(key, now) else {
            return;
        };
        let index = self.server(primary);
        let zone = self.servers[index].zone;
        self.writes += 1;
        let id = self.writes;
        let Some(delay) = self.message_delay(host, zone) else {
            return;
        };
        self.schedule(delay, move |world| {
            let server = &mut world.servers[index];
            let answer = match server.down {
                true => None,
                false => server.write(id),
            };
            let (Some(position), Some(delay)) = (answer, world.message_delay(host, zone)) else {
                return;
            };
            world.at(place, boot, delay, move |world| {
                let now = world.local(place);
                let holder = &mut world.entries[host].1.holder;
                if holder.acknowledge(key, term, position, now) == Acknowledge::Done {
                    world.acknowledge(service, id, position);
                }
            });
        });
    }
}
