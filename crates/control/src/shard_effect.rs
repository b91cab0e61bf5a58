//! Performs the actions of a shard's state machine and feeds their outcomes back to it.

use std::time::Duration;

use actix::fut::ActorFutureExt as _;
use actix::{AsyncContext as _, Context, WrapFuture as _};
use flamingopost_core::authority;
use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::leadership::Action;
use flamingopost_core::lease::Instance;
use flamingopost_core::position::Position;
use flamingopost_core::promotion::{OrderOutcome, Status};
use flamingopost_core::row::{Row, WriteOutcome};
use flamingopost_core::term::Term;
use flamingopost_core::view::Version;
use flamingopost_daemon::event::Event as _;
use flamingopost_platform::error::{Effect, Error};
use flamingopost_platform::group;
use flamingopost_platform::table::{Change, Condition, Outcome, Table as _, Tag};
use flamingopost_wire::authority::{PromiseRequest, Release};
use flamingopost_wire::close::{Close, Closed};
use flamingopost_wire::rpc::{ControlClient as _, EntryClient as _};
use flamingopost_wire::view;

use crate::event::Event as Log;
use crate::poll::{Participation, Read};
use crate::row;
use crate::shard::Shard;
use crate::shard_note;

type Ctx = Context<Shard>;

impl Shard {
    /// Starts `action`, whose outcome arrives later.
    pub(crate) fn perform(&mut self, action: Action, ctx: &mut Ctx) {
        match action {
            Action::Read => self.read_row(ctx),
            Action::Write { row, replaces } => self.write_row(&row, replaces, ctx),
            // A standby that no longer receives heartbeats claims the shard and requests its
            // release. Until then this process goes on granting leases, so writes are barely
            // interrupted.
            Action::Heartbeat { .. } if self.retiring => {}
            Action::Heartbeat { host, heartbeat } => self.send_heartbeat(host, heartbeat, ctx),
            Action::Release { host, epoch } => self.request_release(host, epoch, ctx),
            Action::Close { to, view } => {
                let message = self.view_message(&view);
                for holder in to {
                    self.send_close(holder, message.clone(), ctx);
                }
            }
            Action::Publish { to, view } => {
                let message = self.view_message(&view);
                for holder in to {
                    self.publish(holder, message.clone(), ctx);
                }
            }
            Action::QueryStatus(server) => self.query_status(server, ctx),
            Action::Promote {
                server,
                term,
                at_least,
            } => self.promote(server, term, at_least, ctx),
            Action::Follow {
                server,
                primary,
                term,
            } => self.follow(server, primary, term, ctx),
            Action::Note(note) => shard_note::log(self, note),
        }
    }

    fn read_row(&mut self, ctx: &mut Ctx) {
        let reader = self.reader.clone();
        let (key, participation) = (row::key(self.number), self.participation());
        let reading = async move { reader.read(&key, participation).await }.into_actor(self);
        ctx.spawn(reading.map(|read, shard, ctx| {
            shard.on_row_read(&read);
            shard.step(ctx);
        }));
    }

    fn participation(&self) -> Participation {
        let process = self.shared.process();
        let me = self.shared.directory().hosts.find(&process.host);
        let row = self.controller.row();
        let named = row.is_some_and(|row| {
            let hosts = row.standbys.iter().chain([&row.controller]);
            hosts.into_iter().any(|host| Some(*host) == me)
        });
        match named {
            true => Participation::Named,
            false => Participation::Unnamed,
        }
    }

    fn on_row_read(&mut self, read: &Read) {
        let Some(rows) = &read.rows else {
            return;
        };
        let now = self.shared.now();
        let Some(stored) = rows.get(&row::key(self.number)) else {
            self.tag = None;
            if self.defers_first_claim() {
                return;
            }
            return self.controller.on_row_read(read.sent, None, now);
        };
        match row::decode(self.number, &stored.body, &self.shared) {
            Ok(row) => {
                self.tag = Some((row.revision, stored.tag.clone()));
                self.controller.on_row_read(read.sent, Some(&row), now);
            }
            // The row was written by a newer program version. This process neither leads nor
            // claims.
            Err(error) => {
                let error = error.to_string();
                Log::BadRow { error }.log();
            }
        }
    }

    fn write_row(&mut self, row: &Row, replaces: Option<u64>, ctx: &mut Ctx) {
        let revision = row.revision;
        let Some(change) = self.change(row, replaces) else {
            // Nothing is sent: the last seen row is not the one to replace. The state machine reads
            // the row immediately and retries.
            let now = self.shared.now();
            return self
                .controller
                .on_write_outcome(revision, WriteOutcome::NotDone, now);
        };
        let shared = self.shared.clone();
        let writing = async move { shared.platform().write(vec![change]).await };
        ctx.spawn(writing.into_actor(self).map(move |result, shard, ctx| {
            shard.on_written(revision, result);
            shard.step(ctx);
        }));
    }

    fn change(&self, row: &Row, replaces: Option<u64>) -> Option<Change> {
        let condition = match (replaces, &self.tag) {
            (None, _) => Condition::Absent,
            (Some(base), Some((revision, tag))) if base == *revision => Condition::Tag(tag.clone()),
            (Some(_), _) => return None,
        };
        match row::encode(row, &self.shared) {
            Ok(body) => Some(Change {
                key: row::key(self.number),
                condition,
                body,
            }),
            Err(error) => {
                let error = error.to_string();
                Log::BadRow { error }.log();
                None
            }
        }
    }

    fn on_written(&mut self, revision: u64, result: Result<Outcome, Error>) {
        let written = match result {
            Ok(Outcome::Written(tags)) => {
                let tag: Option<Tag> = tags.into_iter().next();
                self.tag = tag.map(|tag| (revision, tag));
                WriteOutcome::Done
            }
            Ok(Outcome::Conflict) => WriteOutcome::NotDone,
            Err(error) => match error.effect() {
                Effect::None => WriteOutcome::NotDone,
                Effect::Unknown => WriteOutcome::Unknown,
            },
        };
        let now = self.shared.now();
        self.controller.on_write_outcome(revision, written, now);
    }

    fn send_heartbeat(&mut self, host: HostKey, heartbeat: authority::Heartbeat, ctx: &mut Ctx) {
        let Some(address) = self.address(host) else {
            return;
        };
        let directory = self.shared.directory();
        let row = heartbeat.row.as_ref();
        let row = row.and_then(|row| flamingopost_wire::row::Row::encode(row, &directory).ok());
        let message = PromiseRequest {
            shard: self.number,
            epoch: heartbeat.epoch,
            controller: self.shared.process().host.clone(),
            rpc: self.shared.process().rpc.clone(),
            promise: heartbeat.wants_promise,
            revision: heartbeat.revision,
            row,
        };
        let shared = self.shared.clone();
        let sent = shared.now();
        let asking = async move {
            let client = shared.links().get(&address).ok()?;
            client.promise(message).await.ok()
        };
        ctx.spawn(asking.into_actor(self).map(move |promise, shard, ctx| {
            if let Some(promise) = promise {
                let now = shard.shared.now();
                shard
                    .controller
                    .on_promise(host, sent, (&promise).into(), now);
                shard.step(ctx);
            }
        }));
    }

    fn request_release(&mut self, host: HostKey, epoch: u32, ctx: &mut Ctx) {
        let Some(address) = self.address(host) else {
            return;
        };
        let shared = self.shared.clone();
        let shard = self.number;
        let releasing = async move {
            let client = shared.links().get(&address).ok()?;
            let released = client.release(Release { shard, epoch }).await.ok()?;
            let row = match &released.row {
                None => None,
                Some(row) => Some(shared.intern(|directory| row.decode(directory)).ok()?),
            };
            Some(authority::Released {
                incarnation: released.incarnation,
                leases: Duration::from_millis(released.leases_ms),
                witnessed_epoch: released.witness,
                row,
            })
        };
        ctx.spawn(releasing.into_actor(self).map(move |released, shard, ctx| {
            if let Some(released) = released {
                let now = shard.shared.now();
                shard.controller.on_released(host, &released, now);
                shard.step(ctx);
            }
        }));
    }

    fn view_message(&self, view: &flamingopost_core::view::Shard) -> Close {
        Close {
            shard: self.number,
            view: view::Shard::encode(view, &self.shared.directory()),
            config: self.shared.highest_version(),
        }
    }

    fn send_close(&mut self, holder: Instance, message: Close, ctx: &mut Ctx) {
        let Some(address) = self.holder_addresses.get(&holder).cloned() else {
            return;
        };
        let shared = self.shared.clone();
        let closing = async move {
            let client = shared.links().get(&address).ok()?;
            client.close(message).await.ok()
        };
        ctx.spawn(closing.into_actor(self).map(move |closed, shard, ctx| {
            if let Some(closed) = closed {
                shard.on_closed(holder, &closed);
                shard.step(ctx);
            }
        }));
    }

    fn on_closed(&mut self, holder: Instance, closed: &Closed) {
        self.shared.observe_version(closed.config);
        // The host was restarted. The new process does not know which writes the previous one
        // acknowledged, so the previous one's lease has to lapse.
        if closed.incarnation != holder.incarnation {
            return;
        }
        let directory = self.shared.directory();
        let mut acknowledged = std::collections::BTreeMap::new();
        for (name, position) in &closed.acknowledged {
            let Some(service) = directory.services.find(name) else {
                continue;
            };
            // An answer that cannot be parsed is ignored; the lease lapses instead.
            let Ok(position) = position.parse::<Position>() else {
                return;
            };
            acknowledged.insert(service, position);
        }
        let version: Version = closed.version.into();
        self.controller.on_closed(holder, version, &acknowledged);
    }

    fn publish(&mut self, holder: Instance, message: Close, ctx: &mut Ctx) {
        let Some(address) = self.holder_addresses.get(&holder).cloned() else {
            return;
        };
        let shared = self.shared.clone();
        let publishing = async move {
            let Ok(client) = shared.links().get(&address) else {
                return;
            };
            if let Ok(config) = client.view(message).await {
                shared.observe_version(config);
            }
        };
        ctx.spawn(publishing.into_actor(self));
    }

    fn query_status(&mut self, server: ServerKey, ctx: &mut Ctx) {
        let servers = self.servers.clone();
        let sent = self.shared.now();
        let asking = async move { servers.status(server).await };
        ctx.spawn(asking.into_actor(self).map(move |status, shard, ctx| {
            shard.on_status(server, sent, status);
            shard.step(ctx);
        }));
    }

    fn on_status(&mut self, server: ServerKey, sent: Duration, status: Option<group::Status>) {
        match status {
            Some(status) => {
                self.statuses.insert(server, (sent, status));
                let reason = flamingopost_core::membership::Reason::Server;
                self.leaving.set_leaving(reason, server, status.leaving);
            }
            None => {
                self.statuses.remove(&server);
            }
        }
        let status = status.map(|status| Status {
            term: status.term,
            leads: status.role == group::Role::Primary,
            position: status.position,
            age: status.age,
            leaving: status.leaving,
        });
        self.controller.on_status(server, sent, status);
    }

    fn promote(&mut self, server: ServerKey, term: Term, at_least: Position, ctx: &mut Ctx) {
        let servers = self.servers.clone();
        let ordering = async move { servers.promote(server, term, at_least).await };
        ctx.spawn(
            ordering
                .into_actor(self)
                .map(move |order: OrderOutcome, shard, ctx| {
                    let now = shard.shared.now();
                    shard.controller.on_promoted(server, term, order, now);
                    shard.step(ctx);
                }),
        );
    }

    fn follow(&mut self, server: ServerKey, primary: ServerKey, term: Term, ctx: &mut Ctx) {
        let servers = self.servers.clone();
        let ordering = async move { servers.follow(server, primary, term).await };
        ctx.spawn(ordering.into_actor(self));
    }

    fn address(&self, host: HostKey) -> Option<String> {
        let directory = self.shared.directory();
        self.shared.rpc_of(directory.hosts.name(host)?)
    }
}
