//! The role of one process in the leadership of one shard: standby or controller.
//!
//! A daemon keeps one [`Controller`] for each shard and drives it like this:
//!
//! 1. every few tens of milliseconds, and after each event, call [`Controller::step`] and carry
//!    out the returned actions, none of which waits for another;
//! 2. report each outcome: [`Controller::on_row_read`], [`Controller::on_write_outcome`],
//!    [`Controller::on_promise`], [`Controller::on_released`], [`Controller::on_closed`],
//!    [`Controller::on_status`], [`Controller::on_promoted`]; an action without an answer in time
//!    is reported as unknown, or not at all if it has no such outcome;
//! 3. answer requests of other processes: [`Controller::on_heartbeat`], [`Controller::release`],
//!    [`Controller::on_renewal`];
//! 4. report changes: [`Controller::configure`], [`Controller::set_standby_candidates`].
//!
//! A new view is sent to each lease holder in [`Action::Publish`]; a holder that misses it receives
//! it with its next grant. A restarted process starts from [`Controller::new`] with a new
//! incarnation.

#[path = "leadership_lead.rs"]
mod lead;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lead::Lead;

use crate::authority::{ClaimOutcome, Heartbeat, Promise, Released, ShardAuthority, Standby};
use crate::key::{HostKey, ServerKey, ServiceKey, ZoneKey};
use crate::lease::{Instance, Ledger};
use crate::position::Position;
use crate::promotion::{OrderOutcome, Reason, Status};
use crate::row::{Loss, Row, WriteOutcome};
use crate::suspicion::Report;
use crate::term::Term;
use crate::timing;
use crate::view::{self, Version};

/// The role of one process in the leadership of one shard, and its state.
#[derive(Debug)]
pub struct Controller {
    own_host: HostKey,
    incarnation: u64,
    started: Duration,
    role: Role,
    ledger: Ledger,
    /// Time until which leases of the authority that this process replaced may run. It still counts
    /// after this process is itself replaced.
    inherited_until: Duration,
    groups: BTreeMap<ServiceKey, Group>,
    candidates: Vec<HostKey>,
    last_read_sent: Option<Duration>,
    last_claim_sent: Option<Duration>,
    /// Whether the outcome of a claim is awaited.
    claim_pending: bool,
}

#[derive(Debug)]
enum Role {
    Standby(Box<Standby>),
    Lead(Box<Lead>),
}

/// The backend servers of one service, as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The servers, and whether each is to be drained.
    pub servers: BTreeMap<ServerKey, Leaving>,
    /// The first primary, for a service that is new.
    pub first_primary: ServerKey,
}

/// Whether a server is to be drained, according to the configuration or the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    /// The server stays.
    No,
    /// The server gets no new work. If it is a primary, its service gets another one.
    Yes,
}

/// An entry host's request to renew its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Renewal {
    /// The process that asks.
    pub holder: Instance,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Version of the view that it uses.
    pub version: Option<Version>,
    /// Its observations of backend servers.
    pub reports: BTreeMap<ServerKey, Report>,
    /// Whether it is stopping and gives up its lease.
    pub stopping: bool,
}

/// The answer to a [`Renewal`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The lease is granted.
    Granted {
        /// The view version that the lease is valid for.
        version: Version,
        /// Duration, counted from when the renewal was sent; zero for a holder that is stopping.
        valid: Duration,
        /// The view, if the holder has an older one.
        view: Option<view::Shard>,
    },
    /// This process may not grant leases now.
    Refused {
        /// Host of the last known controller.
        controller: Option<HostKey>,
    },
}

/// An action for the daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the shard's row; pass the result to [`Controller::on_row_read`].
    Read,
    /// Replace the row of revision `replaces` by `row`, by compare-and-set. With `None`, the write
    /// succeeds only if there is no row. Pass the outcome to [`Controller::on_write_outcome`].
    Write {
        /// The new row.
        row: Row,
        /// Revision of the row that is replaced.
        replaces: Option<u64>,
    },
    /// Send `heartbeat` to a host; pass the answer to [`Controller::on_promise`].
    Heartbeat {
        /// The host.
        host: HostKey,
        /// The message.
        heartbeat: Heartbeat,
    },
    /// Ask a host to release authority below `epoch`; pass the answer to
    /// [`Controller::on_released`].
    Release {
        /// The host.
        host: HostKey,
        /// Epoch of the successor.
        epoch: u32,
    },
    /// Send `view` to lease holders, which close the terms that it shows as closed; pass the
    /// answers to [`Controller::on_closed`].
    Close {
        /// The holders.
        to: Vec<Instance>,
        /// The view.
        view: view::Shard,
    },
    /// Send `view` to lease holders. No answer is needed.
    Publish {
        /// The holders.
        to: Vec<Instance>,
        /// The view.
        view: view::Shard,
    },
    /// Query the status of a server; pass the answer to [`Controller::on_status`].
    QueryStatus(ServerKey),
    /// Promote a server; pass the outcome to [`Controller::on_promoted`].
    Promote {
        /// The server.
        server: ServerKey,
        /// The term that it is to lead.
        term: Term,
        /// The position that its log must contain.
        at_least: Position,
    },
    /// Order a server to replicate from the primary of a term. No answer is needed.
    Follow {
        /// The server that is to follow.
        server: ServerKey,
        /// The primary.
        primary: ServerKey,
        /// The term.
        term: Term,
    },
    /// Write a log line.
    Note(Note),
}

/// An occurrence to log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// This process has claimed the shard and waits until the old authority is over.
    Claimed {
        /// The epoch of this process's authority.
        epoch: u32,
    },
    /// This process is the controller and grants leases from now on.
    Settled {
        /// The epoch of this process's authority.
        epoch: u32,
    },
    /// Another process has replaced this one as the controller.
    Replaced {
        /// The epoch of this process's authority.
        epoch: u32,
    },
    /// A promotion has begun.
    Promoting {
        /// The service.
        service: ServiceKey,
        /// The reason for the promotion.
        reason: Reason,
    },
    /// A new term is open.
    Opened {
        /// The service.
        service: ServiceKey,
        /// The term.
        term: Term,
        /// The primary of the term.
        primary: ServerKey,
        /// Time since the promotion began.
        took: Duration,
    },
    /// A promotion has lost acknowledged writes, or may have.
    Lost {
        /// The service.
        service: ServiceKey,
        /// What was lost.
        loss: Loss,
    },
}

impl Controller {
    /// Creates the state of a process that starts at `now` on `own_host`, as a standby.
    pub fn new(own_host: HostKey, incarnation: u64, now: Duration) -> Controller {
        Controller {
            own_host,
            incarnation,
            started: now,
            role: Role::Standby(Box::new(Standby::new(own_host, incarnation, now))),
            ledger: Ledger::default(),
            inherited_until: Duration::ZERO,
            groups: BTreeMap::new(),
            candidates: Vec::new(),
            last_read_sent: None,
            last_claim_sent: None,
            claim_pending: false,
        }
    }

    /// Sets the configured services of the shard and their servers.
    pub fn configure(&mut self, groups: BTreeMap<ServiceKey, Group>) {
        self.groups = groups;
    }

    /// Sets the hosts that may become standbys, best first.
    ///
    /// Hosts in availability zones other than this host's and each other's should come first.
    pub fn set_standby_candidates(&mut self, hosts: Vec<HostKey>) {
        self.candidates = hosts;
    }

    /// Sets the availability zones in which the platform lists hosts.
    pub fn set_listed_zones(&mut self, zones: BTreeSet<ZoneKey>) {
        if let Role::Lead(lead) = &mut self.role {
            lead.suspicion.set_listed_zones(zones);
        }
    }

    /// Allows this process to claim the shard at once; see [`Standby::force`].
    pub fn force(&mut self) {
        if let Role::Standby(standby) = &mut self.role {
            standby.force();
        }
    }

    /// Returns the actions that are due at `now`.
    pub fn step(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_read_due(now) {
            self.last_read_sent = Some(now);
            actions.push(Action::Read);
        }
        match &mut self.role {
            Role::Standby(standby) => {
                let pause = timing::RESEND_INTERVAL * 2;
                let paced = self.last_claim_sent.is_none_or(|sent| now >= sent + pause);
                // A process without a configuration has nothing to control.
                if !self.claim_pending
                    && paced
                    && !self.groups.is_empty()
                    && let Some(claim) = standby.claim(now)
                {
                    self.last_claim_sent = Some(now);
                    self.claim_pending = true;
                    let (row, replaces) = (claim.row, claim.replaces);
                    actions.push(Action::Write { row, replaces });
                }
            }
            Role::Lead(lead) => {
                lead.step(
                    &self.groups,
                    &self.candidates,
                    &self.ledger,
                    now,
                    &mut actions,
                );
            }
        }
        self.step_down(now, &mut actions);
        actions
    }

    /// Handles the result of a read that was sent at `sent`: the row, or `None` if there is none.
    ///
    /// Failed reads are not reported.
    pub fn on_row_read(&mut self, sent: Duration, row: Option<&Row>, now: Duration) {
        match &mut self.role {
            Role::Standby(standby) => {
                let outcome = standby.on_row_read(row, now);
                self.apply_claim_outcome(outcome, now);
            }
            Role::Lead(lead) => lead.authority.on_row_read(sent, row),
        }
    }

    /// Handles the outcome of the write of `revision`.
    pub fn on_write_outcome(&mut self, revision: u64, written: WriteOutcome, now: Duration) {
        if written != WriteOutcome::Done {
            self.last_read_sent = None;
        }
        match &mut self.role {
            Role::Standby(standby) => {
                self.claim_pending = false;
                let outcome = standby.on_claim_outcome(written);
                self.apply_claim_outcome(outcome, now);
            }
            Role::Lead(lead) => lead.authority.on_write_outcome(revision, written),
        }
    }

    /// Handles a controller's heartbeat and returns the answer.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Duration) -> Promise {
        match &mut self.role {
            Role::Standby(standby) => standby.on_heartbeat(heartbeat, now),
            Role::Lead(lead) => Promise {
                incarnation: self.incarnation,
                given: false,
                valid: Duration::ZERO,
                epoch: lead.authority.epoch(),
                revision: 0,
            },
        }
    }

    /// Handles the answer, received at `now`, to a heartbeat that was sent at `sent`.
    pub fn on_promise(&mut self, host: HostKey, sent: Duration, promise: Promise, now: Duration) {
        if let Role::Lead(lead) = &mut self.role {
            lead.authority.on_promise(host, sent, promise, now);
        }
    }

    /// Gives up any authority below the successor's `epoch`.
    ///
    /// Returns what the successor has to wait for and what this process knows of the shard.
    pub fn release(&mut self, epoch: u32, now: Duration) -> Released {
        let wait = self.ledger.longest_remaining(now);
        let wait = wait.max(self.inherited_until.saturating_sub(now));
        match &mut self.role {
            Role::Lead(lead) if lead.authority.epoch() < epoch => lead.authority.release(wait, now),
            Role::Lead(lead) => Released {
                incarnation: self.incarnation,
                leases: timing::AUTHORITY_DURATION,
                witnessed_epoch: 0,
                row: Some(lead.authority.row().clone()),
            },
            Role::Standby(standby) => {
                standby.observe_epoch(epoch);
                Released {
                    incarnation: self.incarnation,
                    // A claim of this process may have succeeded without its knowledge, and the
                    // authority that it replaced may not be over yet.
                    leases: match self.last_claim_sent {
                        Some(sent) => {
                            wait.max((sent + timing::AUTHORITY_DURATION).saturating_sub(now))
                        }
                        None => wait,
                    },
                    witnessed_epoch: standby.witnessed_epoch(),
                    row: standby.known_row().cloned(),
                }
            }
        }
    }

    /// Handles a host's answer to [`Action::Release`].
    pub fn on_released(&mut self, host: HostKey, released: &Released, now: Duration) {
        if let Role::Lead(lead) = &mut self.role {
            lead.on_released(host, released, now);
        }
    }

    /// Handles a lease renewal and returns the answer.
    pub fn on_renewal(&mut self, renewal: &Renewal, now: Duration) -> Reply {
        match &mut self.role {
            Role::Standby(standby) => Reply::Refused {
                controller: standby.known_row().map(|row| row.controller),
            },
            Role::Lead(lead) => lead.on_renewal(renewal, &mut self.ledger, now),
        }
    }

    /// Handles a holder's answer to [`Action::Close`]: the view version that it now uses, and the
    /// highest position that it has acknowledged for each service.
    pub fn on_closed(
        &mut self,
        holder: Instance,
        version: Version,
        acknowledged: &BTreeMap<ServiceKey, Position>,
    ) {
        if let Role::Lead(lead) = &mut self.role {
            lead.on_closed(holder, version, acknowledged);
        }
    }

    /// Handles the answer to a status query that was sent at `sent`; `None` if the query failed.
    pub fn on_status(&mut self, server: ServerKey, sent: Duration, status: Option<Status>) {
        if let Role::Lead(lead) = &mut self.role {
            lead.on_status(&self.groups, server, sent, status);
        }
    }

    /// Handles the outcome of [`Action::Promote`].
    pub fn on_promoted(
        &mut self,
        server: ServerKey,
        term: Term,
        order: OrderOutcome,
        now: Duration,
    ) {
        if let Role::Lead(lead) = &mut self.role {
            lead.on_promoted(server, term, order, now);
        }
    }

    /// Starts a planned switchover of `service`, which loses no writes, as if its primary were
    /// leaving.
    pub fn switch_over(&mut self, service: ServiceKey, now: Duration) {
        if let Role::Lead(lead) = &mut self.role {
            lead.switch_over(&self.groups, service, now);
        }
    }

    /// Returns the epoch under which this process may grant leases and order promotions at `now`,
    /// or `None` if it may not.
    pub fn leading_epoch(&self, now: Duration) -> Option<u32> {
        match &self.role {
            Role::Lead(lead) if lead.is_leading(now) => Some(lead.authority.epoch()),
            _ => None,
        }
    }

    /// Returns the row as this process knows it.
    pub fn row(&self) -> Option<&Row> {
        match &self.role {
            Role::Standby(standby) => standby.known_row(),
            Role::Lead(lead) => Some(lead.authority.row()),
        }
    }

    /// Returns the view that leases are granted for; `None` for a standby.
    pub fn view(&self) -> Option<&view::Shard> {
        match &self.role {
            Role::Standby(_) => None,
            Role::Lead(lead) => Some(lead.view()),
        }
    }

    fn is_read_due(&self, now: Duration) -> bool {
        let interval = match &self.role {
            Role::Standby(standby) => standby.read_interval(),
            Role::Lead(_) => timing::ROW_READ_INTERVAL,
        };
        self.last_read_sent
            .is_none_or(|sent| now >= sent + interval)
    }

    fn apply_claim_outcome(&mut self, outcome: ClaimOutcome, now: Duration) {
        let ClaimOutcome::Won {
            row,
            predecessor,
            sent,
            replaced_epoch,
            witnessed,
        } = outcome
        else {
            return;
        };
        self.claim_pending = false;
        self.last_claim_sent = None;
        let authority = ShardAuthority::new(row, predecessor, sent, now);
        self.inherited_until = authority.settled_at();
        self.role = Role::Lead(Box::new(Lead::new(
            authority,
            replaced_epoch,
            witnessed,
            now,
        )));
    }

    fn step_down(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Role::Lead(lead) = &self.role else {
            return;
        };
        if !lead.authority.is_replaced() {
            return;
        }
        let epoch = lead.authority.epoch();
        let known = lead.authority.row().clone();
        let mut standby = Standby::new(self.own_host, self.incarnation, self.started);
        standby.learn(&known);
        standby.restart_silence(now);
        self.role = Role::Standby(Box::new(standby));
        self.last_read_sent = None;
        actions.push(Action::Note(Note::Replaced { epoch }));
    }
}
