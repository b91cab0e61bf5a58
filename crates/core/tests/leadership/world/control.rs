//! A control process: drives its state machine and carries out the actions.

use std::time::Duration;

use flamingopost_core::authority::Released;
use flamingopost_core::key::ServerKey;
use flamingopost_core::leadership::{Action, Note};
use flamingopost_core::lease::Instance;
use flamingopost_core::position::Position;
use flamingopost_core::promotion::OrderOutcome;
use flamingopost_core::row::{Row, WriteOutcome};
use flamingopost_core::term::Term;
use flamingopost_core::view::State;
use rand::RngExt;

use super::{HOSTS, PLATFORM, Place, Server, World};

const STEP: Duration = Duration::from_millis(40);
const TABLE_TIMEOUT: Duration = Duration::from_millis(700);
const RPC_TIMEOUT: Duration = Duration::from_millis(400);

impl World {
    pub fn control_tick(&mut self, host: usize, boot: u64) {
        let jitter = Duration::from_millis(self.rng.random_range(0..10));
        let place = Place::Control(host);
        self.at(place, boot, STEP + jitter, move |world| {
            world.step(host);
            world.control_tick(host, boot);
        });
    }

    pub fn step(&mut self, host: usize) {
        let local = self.local(Place::Control(host));
        let actions = self.controls[host].1.step(local);
        let boot = self.controls[host].0.boot;
        for action in actions {
            self.carry_out(host, boot, action);
        }
        self.check_authority();
    }

    fn check_authority(&mut self) {
        let mut controllers = Vec::new();
        for host in 0..HOSTS {
            let local = self.local(Place::Control(host));
            if let Some(epoch) = self.controls[host].1.leading_epoch(local) {
                controllers.push((host, epoch));
            }
        }
        assert!(controllers.len() <= 1, "two authorities: {controllers:?}");
        for (host, _) in controllers {
            let Some(view) = self.controls[host].1.view() else {
                continue;
            };
            for (key, service) in &view.services {
                if let State::Open { term, .. } = service.state {
                    let index = self
                        .services
                        .iter()
                        .position(|service| service == key)
                        .unwrap();
                    self.opened[index] = self.opened[index].max(term);
                }
            }
        }
    }

    fn carry_out(&mut self, host: usize, boot: u64, action: Action) {
        match action {
            Action::Read => self.read(host, boot),
            Action::Write { row, replaces } => self.write_row(host, boot, row, replaces),
            Action::Heartbeat {
                host: to,
                heartbeat,
            } => {
                let to = self.host(to);
                let sent = self.local(Place::Control(host));
                self.call_control(host, boot, to, move |world| {
                    let local = world.local(Place::Control(to));
                    let promise = world.controls[to].1.on_heartbeat(&heartbeat, local);
                    move |world: &mut World| {
                        let from = world.hosts[to];
                        let now = world.local(Place::Control(host));
                        world.controls[host].1.on_promise(from, sent, promise, now);
                    }
                });
            }
            Action::Release { host: to, epoch } => {
                let to = self.host(to);
                self.call_control(host, boot, to, move |world| {
                    let local = world.local(Place::Control(to));
                    let released: Released = world.controls[to].1.release(epoch, local);
                    move |world: &mut World| {
                        let local = world.local(Place::Control(host));
                        let from = world.hosts[to];
                        world.controls[host].1.on_released(from, &released, local);
                    }
                });
            }
            Action::Close { to, view } => {
                for holder in to {
                    self.send_close(host, boot, holder, view.clone());
                }
            }
            Action::Publish { to, view } => {
                for holder in to {
                    self.send_view(host, holder, view.clone());
                }
            }
            Action::QueryStatus(server) => {
                let index = self.server(server);
                let sent = self.local(Place::Control(host));
                let read = |server: &mut Server| server.status();
                self.call_server(host, boot, index, read, move |world, status| {
                    world.controls[host].1.on_status(server, sent, status);
                });
            }
            Action::Promote {
                server,
                term,
                at_least,
            } => self.promote(host, boot, server, term, at_least),
            Action::Follow {
                server,
                primary,
                term,
            } => {
                let (index, primary) = (self.server(server), self.server(primary));
                let follow = move |server: &mut Server| server.follow(primary, term);
                self.call_server(host, boot, index, follow, |_, _| {});
            }
            Action::Note(note) => self.note(host, note),
        }
    }

    fn note(&mut self, host: usize, note: Note) {
        self.trace(format!("h{host} {note:?}"));
    }

    fn promote(
        &mut self,
        host: usize,
        boot: u64,
        server: ServerKey,
        term: Term,
        at_least: Position,
    ) {
        let index = self.server(server);
        let service = self.servers[index].service;
        self.trace(format!(
            "h{host} orders b{index} to lead {term}, at least from {at_least}"
        ));
        let hop = self.message_delay(host, self.servers[index].zone);
        let answer = move |world: &mut World, order| {
            let local = world.local(Place::Control(host));
            world.controls[host]
                .1
                .on_promoted(server, term, order, local);
            world.step(host);
        };
        let place = Place::Control(host);
        let Some(delay) = hop else {
            return self.at(place, boot, RPC_TIMEOUT, move |w| {
                answer(w, OrderOutcome::Unknown)
            });
        };
        self.schedule(delay, move |world| {
            let order = match world.servers[index].down {
                true => OrderOutcome::Unknown,
                false => world.servers[index].promote(term, at_least),
            };
            if order == OrderOutcome::Done {
                world.trace(format!(
                    "b{index} leads {term} from {}",
                    world.servers[index].position()
                ));
                let primary = *world.promoted.entry((service, term)).or_insert(index);
                assert_eq!(primary, index, "two primaries of term {term}");
            }
            match world.message_delay(host, world.servers[index].zone) {
                Some(delay) => world.at(place, boot, delay, move |w| answer(w, order)),
                None => world.at(place, boot, RPC_TIMEOUT, move |w| {
                    answer(w, OrderOutcome::Unknown)
                }),
            }
        });
    }

    /// Sends an order to a server and passes on its answer, or `None` if either message is lost.
    pub fn call_server<T: 'static>(
        &mut self,
        host: usize,
        boot: u64,
        index: usize,
        order: impl FnOnce(&mut Server) -> T + 'static,
        answer: impl FnOnce(&mut World, Option<T>) + 'static,
    ) {
        let place = Place::Control(host);
        let zone = self.servers[index].zone;
        let Some(delay) = self.message_delay(host, zone) else {
            return self.at(place, boot, RPC_TIMEOUT, move |world| answer(world, None));
        };
        self.schedule(delay, move |world| {
            if world.servers[index].down {
                return world.at(place, boot, delay, move |world| answer(world, None));
            }
            let result = order(&mut world.servers[index]);
            match world.message_delay(host, zone) {
                Some(delay) => world.at(place, boot, delay, move |world| {
                    answer(world, Some(result));
                    world.step(host);
                }),
                None => world.at(place, boot, RPC_TIMEOUT, move |world| answer(world, None)),
            }
        });
    }

    /// Sends a request to another control process and handles its answer. Either may be lost.
    fn call_control<A: FnOnce(&mut World) + 'static>(
        &mut self,
        host: usize,
        boot: u64,
        to: usize,
        act: impl FnOnce(&mut World) -> A + 'static,
    ) {
        let Some(delay) = self.host_message_delay(host, to) else {
            return;
        };
        let there = Place::Control(to);
        let peer_boot = self.process_at(there).boot;
        self.at(there, peer_boot, delay, move |world| {
            let answer = act(world);
            world.step(to);
            if let Some(delay) = world.host_message_delay(to, host) {
                world.at(Place::Control(host), boot, delay, move |world| {
                    answer(world);
                    world.step(host);
                });
            }
        });
    }

    fn table_delay(&mut self, host: usize) -> Option<Duration> {
        if self.table_down {
            return None;
        }
        let slow = self.table_slow.as_millis() as u64;
        let extra = Duration::from_millis(self.rng.random_range(0..=slow));
        Some(self.message_delay(host, PLATFORM)? + extra)
    }

    fn read(&mut self, host: usize, boot: u64) {
        let sent = self.local(Place::Control(host));
        let Some(delay) = self.table_delay(host) else {
            return;
        };
        self.schedule(delay, move |world| {
            let row = world.table.clone();
            let Some(delay) = world.table_delay(host) else {
                return;
            };
            world.at(Place::Control(host), boot, delay, move |world| {
                let local = world.local(Place::Control(host));
                world.controls[host]
                    .1
                    .on_row_read(sent, row.as_ref(), local);
                world.step(host);
            });
        });
    }

    fn write_row(&mut self, host: usize, boot: u64, row: Row, replaces: Option<u64>) {
        let revision = row.revision;
        let place = Place::Control(host);
        let report = move |world: &mut World, written| {
            let local = world.local(place);
            world.controls[host]
                .1
                .on_write_outcome(revision, written, local);
            world.step(host);
        };
        let timeout = move |world: &mut World| {
            world.at(place, boot, TABLE_TIMEOUT, move |w| {
                report(w, WriteOutcome::Unknown)
            });
        };
        let Some(delay) = self.table_delay(host) else {
            return timeout(self);
        };
        self.schedule(delay, move |world| {
            let accepted = world.table.as_ref().map(|row| row.revision) == replaces;
            if accepted {
                world.table = Some(row);
            }
            let written = match accepted {
                true => WriteOutcome::Done,
                false => WriteOutcome::NotDone,
            };
            let lost = world.answers_lost && world.rng.random_range(0..2) == 0;
            match world.table_delay(host) {
                Some(delay) if !lost => world.at(place, boot, delay, move |w| report(w, written)),
                _ => timeout(world),
            }
        });
    }

    fn send_close(
        &mut self,
        host: usize,
        boot: u64,
        holder: Instance,
        view: flamingopost_core::view::Shard,
    ) {
        let to = self.host(holder.host);
        let Some(delay) = self.host_message_delay(host, to) else {
            return;
        };
        let peer_boot = self.process_at(Place::Entry(to)).boot;
        self.at(Place::Entry(to), peer_boot, delay, move |world| {
            let (incarnation, version, acknowledged) = world.entries[to].1.close(view);
            let Some(delay) = world.host_message_delay(to, host) else {
                return;
            };
            world.at(Place::Control(host), boot, delay, move |world| {
                let holder = Instance {
                    host: world.hosts[to],
                    incarnation,
                };
                let controller = &mut world.controls[host].1;
                controller.on_closed(holder, version, &acknowledged);
                world.step(host);
            });
        });
    }

    fn send_view(&mut self, host: usize, holder: Instance, view: flamingopost_core::view::Shard) {
        let to = self.host(holder.host);
        if let Some(delay) = self.host_message_delay(host, to) {
            let boot = self.process_at(Place::Entry(to)).boot;
            self.at(Place::Entry(to), boot, delay, move |world| {
                world.entries[to].1.adopt(view);
            });
        }
    }
}
