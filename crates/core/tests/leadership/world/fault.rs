//! Faults and their random selection.

use std::time::Duration;

use rand::RngExt;

use super::{HOSTS, PLATFORM, Place, SERVICES, World, ZONES};

#[derive(Debug, Clone, Copy)]
pub enum Fault {
    ServerDown(usize),
    ServerLags(usize),
    ServerLeaves(usize),
    ZoneCut(usize),
    ZoneOffPlatform(usize),
    /// The zone can reach the platform, but not the other zones.
    ZoneAlone(usize),
    HostAlone(usize),
    TableDown,
    TableSlow,
    AnswersLost,
    Loss,
    Late,
    PauseControl(usize),
    PauseEntry(usize),
    RestartControl(usize),
    RestartEntry(usize),
    StopEntry(usize),
    RestartAll,
    SwitchOver(usize),
}

impl Fault {
    pub fn random(world: &mut World) -> Fault {
        let zone = world.rng.random_range(0..ZONES);
        let host = world.rng.random_range(0..HOSTS);
        let server = world.rng.random_range(0..SERVICES * ZONES);
        // Most faults hit the primary or the controller's host, where they have most effect.
        let server = match world.rng.random_range(0..3) {
            0 => server,
            _ => world.any_primary().unwrap_or(server),
        };
        let host = match world.rng.random_range(0..2) {
            0 => host,
            _ => world.controller_host().unwrap_or(host),
        };
        match world.rng.random_range(0..40) {
            0..=5 => Fault::ServerDown(server),
            6..=7 => Fault::ServerLags(server),
            8 => Fault::ServerLeaves(server),
            9..=12 => Fault::ZoneCut(zone),
            13..=14 => Fault::ZoneOffPlatform(zone),
            15..=16 => Fault::ZoneAlone(zone),
            17..=18 => Fault::HostAlone(host),
            19..=22 => Fault::TableDown,
            23 => Fault::TableSlow,
            24..=25 => Fault::AnswersLost,
            26 => Fault::Loss,
            27..=28 => Fault::Late,
            29..=31 => Fault::PauseControl(host),
            32..=33 => Fault::PauseEntry(host),
            34..=35 => Fault::RestartControl(host),
            36 => Fault::RestartEntry(host),
            37 => Fault::StopEntry(host),
            38 => Fault::RestartAll,
            _ => Fault::SwitchOver(server / ZONES),
        }
    }
}

impl World {
    /// Starts `fault` now and ends it after `span`.
    pub fn inject(&mut self, fault: Fault, span: Duration) {
        self.trace(format!("{fault:?} for {span:?}"));
        self.apply(fault, true, span);
        self.schedule(span, move |world| {
            world.trace(format!("{fault:?} is over"));
            world.apply(fault, false, span);
        });
    }

    fn apply(&mut self, fault: Fault, on: bool, span: Duration) {
        match fault {
            Fault::ServerDown(server) => self.servers[server].down = on,
            Fault::ServerLags(server) => self.servers[server].lagging = on,
            Fault::ServerLeaves(server) => self.servers[server].leaving = on,
            Fault::ZoneCut(zone) => (0..=ZONES).for_each(|to| self.set_cut(zone, to, on)),
            Fault::ZoneOffPlatform(zone) => self.set_cut(zone, PLATFORM, on),
            Fault::ZoneAlone(zone) => (0..ZONES).for_each(|to| self.set_cut(zone, to, on)),
            Fault::HostAlone(host) => self.isolated[host] = on,
            Fault::TableDown => self.table_down = on,
            Fault::TableSlow => {
                let slow = Duration::from_millis(if on { 1_500 } else { 0 });
                self.table_slow = slow;
            }
            Fault::AnswersLost => self.answers_lost = on,
            Fault::Loss => self.loss = if on { 150 } else { 0 },
            Fault::Late => self.late = if on { 60 } else { 0 },
            Fault::PauseControl(host) if on => self.controls[host].0.paused = self.now + span,
            Fault::PauseEntry(host) if on => self.entries[host].0.paused = self.now + span,
            Fault::RestartControl(host) if on => self.restart(Place::Control(host)),
            Fault::RestartEntry(host) if on => self.restart(Place::Entry(host)),
            Fault::StopEntry(host) if on => self.stop_entry(host),
            Fault::StopEntry(host) => self.restart(Place::Entry(host)),
            Fault::RestartAll if on => {
                for host in 0..HOSTS {
                    self.restart(Place::Control(host));
                    self.restart(Place::Entry(host));
                }
            }
            Fault::SwitchOver(service) if on => {
                if let Some(host) = self.controller_host() {
                    let local = self.local(Place::Control(host));
                    let key = self.services[service];
                    self.controls[host].1.switch_over(key, local);
                }
            }
            Fault::PauseControl(_)
            | Fault::PauseEntry(_)
            | Fault::RestartControl(_)
            | Fault::RestartEntry(_)
            | Fault::RestartAll
            | Fault::SwitchOver(_) => {}
        }
    }

    fn set_cut(&mut self, from: usize, to: usize, on: bool) {
        if from != to {
            self.cut[from][to] = on;
            self.cut[to][from] = on;
        }
    }

    /// Ends all faults at once.
    pub fn heal(&mut self) {
        self.trace("all faults end".to_owned());
        self.cut = [[false; ZONES + 1]; ZONES + 1];
        self.isolated = [false; HOSTS];
        (self.loss, self.late) = (0, 0);
        (self.table_down, self.answers_lost) = (false, false);
        self.table_slow = Duration::ZERO;
        for server in &mut self.servers {
            (server.down, server.lagging, server.leaving) = (false, false, false);
        }
        let now = self.now;
        for (process, _) in &mut self.controls {
            process.paused = process.paused.min(now);
        }
        for (process, _) in &mut self.entries {
            process.paused = process.paused.min(now);
        }
    }

    pub fn controller_host(&self) -> Option<usize> {
        (0..HOSTS).find(|host| {
            let local = self.local(Place::Control(*host));
            self.controls[*host].1.leading_epoch(local).is_some()
        })
    }

    pub fn any_primary(&mut self) -> Option<usize> {
        let service = self.rng.random_range(0..SERVICES);
        self.primary(service)
    }

    /// Returns the server that leads the newest open term of `service`.
    pub fn primary(&self, service: usize) -> Option<usize> {
        let term = self.opened[service];
        let servers = service * ZONES..(service + 1) * ZONES;
        servers.into_iter().find(|server| {
            let server = &self.servers[*server];
            server.leads && server.term == term
        })
    }
}
