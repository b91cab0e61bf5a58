//! One process's part in the leadership of one shard: standby or controller.
//!
//! A daemon keeps one [`Controller`] for each shard and drives it like this:
//!
//! 1. every few tens of milliseconds, and after each event, call [`Controller::step`] and carry
//!    out the actions, none of which waits for another;
//! 2. hand each outcome back: [`Controller::on_row_read`], [`Controller::on_write_outcome`],
//!    [`Controller::on_promise`], [`Controller::on_released`], [`Controller::on_closed`],
//!    [`Controller::on_status`], [`Controller::on_promoted`]; an action without an answer in time is
//!    handed back as unknown, or not at all where there is no such outcome;
//! 3. answer other processes: [`Controller::on_heartbeat`], [`Controller::release`],
//!    [`Controller::on_renewal`];
//! 4. tell it of changes: [`Controller::configure`], [`Controller::set_standby_candidates`].
//!
//! A new view is sent to each holder in [`Action::Publish`] and comes with the next grant
//! otherwise. After a restart everything starts from [`Controller::new`], with a new incarnation.

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

/// One process's part in the leadership of one shard.
#[derive(Debug)]
pub struct Controller {
    own_host: HostKey,
    incarnation: u64,
    started: Duration,
    role: Role,
    ledger: Ledger,
    /// Until when leases of an authority that this process replaced, and was then itself
    /// replaced, may run.
    inherited_until: Duration,
    groups: BTreeMap<ServiceKey, Group>,
    candidates: Vec<HostKey>,
    last_read_sent: Option<Duration>,
    last_claim_sent: Option<Duration>,
    /// Whether a claim's outcome is awaited.
    claim_pending: bool,
}

#[derive(Debug)]
enum Role {
    Standby(Box<Standby>),
    Lead(Box<Lead>),
}

/// The servers of one service, by configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Its servers, and whether each is to be emptied.
    pub servers: BTreeMap<ServerKey, Leaving>,
    /// The primary when the service is first created.
    pub first_primary: ServerKey,
}

/// Whether a server is to be emptied, by configuration or by the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    /// It stays.
    No,
    /// It gets no new work, and its service another primary.
    Yes,
}

/// A lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Renewal {
    /// Who asks.
    pub holder: Instance,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Version of the view that it acts by.
    pub version: Option<Version>,
    /// What it saw of backend servers.
    pub reports: BTreeMap<ServerKey, Report>,
    /// Whether it gives up its lease.
    pub stopping: bool,
}

/// The answer to a [`Renewal`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A lease.
    Granted {
        /// The version it is on.
        version: Version,
        /// How long, from the sending of the renewal; zero for a holder that is stopping.
        valid: Duration,
        /// The view, where the holder has an older one.
        view: Option<view::Shard>,
    },
    /// This process may not grant leases now; `controller` is the one last known.
    Refused {
        /// Host of the controller.
        controller: Option<HostKey>,
    },
}

/// What a daemon has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the shard's row; hand the result to [`Controller::on_row_read`].
    Read,
    /// Replace the row of revision `over` by `row`, by compare-and-set; `None`: there must be no
    /// row. Hand the outcome to [`Controller::on_write_outcome`].
    Write {
        /// The new row.
        row: Row,
        /// Revision of the row that it replaces.
        replaces: Option<u64>,
    },
    /// Send `heartbeat` to a host; hand the answer to [`Controller::on_promise`].
    Heartbeat {
        /// The host.
        host: HostKey,
        /// What it is asked.
        heartbeat: Heartbeat,
    },
    /// Ask a host to give up below `epoch`; hand the answer to [`Controller::on_released`].
    Release {
        /// The host.
        host: HostKey,
        /// Epoch of the successor.
        epoch: u32,
    },
    /// Send `view` to lease holders and have them close what it shows as closed; hand the
    /// answers to [`Controller::on_closed`].
    Close {
        /// The holders.
        to: Vec<Instance>,
        /// The view.
        view: view::Shard,
    },
    /// Send `view` to lease holders; no answer is needed.
    Publish {
        /// The holders.
        to: Vec<Instance>,
        /// The view.
        view: view::Shard,
    },
    /// Ask a server about itself; hand the answer to [`Controller::on_status`].
    QueryStatus(ServerKey),
    /// Promote a server; hand the outcome to [`Controller::on_promoted`].
    Promote {
        /// The server.
        server: ServerKey,
        /// The term it is to lead.
        term: Term,
        /// What its log has to contain.
        at_least: Position,
    },
    /// Let a server follow the primary of a term; no answer is needed.
    Follow {
        /// The server.
        server: ServerKey,
        /// The primary.
        primary: ServerKey,
        /// The term.
        term: Term,
    },
    /// Something worth a line in the log.
    Note(Note),
}

/// What happened, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// This process has set the row and waits for the old authority to be over.
    Claimed {
        /// Its epoch.
        epoch: u32,
    },
    /// It grants leases from now on.
    Settled {
        /// Its epoch.
        epoch: u32,
    },
    /// Another process has replaced it.
    Replaced {
        /// Its epoch.
        epoch: u32,
    },
    /// A promotion has begun.
    Promoting {
        /// The service.
        service: ServiceKey,
        /// Why.
        reason: Reason,
    },
    /// A term is open.
    Opened {
        /// The service.
        service: ServiceKey,
        /// The term.
        term: Term,
        /// Its primary.
        primary: ServerKey,
        /// Time since the promotion began.
        took: Duration,
    },
    /// A promotion has lost acknowledged writes, or may have.
    Lost {
        /// The service.
        service: ServiceKey,
        /// What.
        loss: Loss,
    },
}

impl Controller {
    /// The part of a process that starts at `now` on host `own_host`.
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

    /// Sets the services of the shard and their servers.
    pub fn configure(&mut self, groups: BTreeMap<ServiceKey, Group>) {
        self.groups = groups;
    }

    /// Sets the hosts that may be named standbys, best first: some in other zones than this
    /// one's and each other's come first.
    pub fn set_standby_candidates(&mut self, hosts: Vec<HostKey>) {
        self.candidates = hosts;
    }

    /// Sets the zones in which the platform's list has hosts.
    pub fn set_listed_zones(&mut self, zones: BTreeSet<ZoneKey>) {
        if let Role::Lead(lead) = &mut self.role {
            lead.suspicion.list(zones);
        }
    }

    /// Lets this process claim at once; see [`Standby::force`].
    pub fn force(&mut self) {
        if let Role::Standby(standby) = &mut self.role {
            standby.force();
        }
    }

    /// What is due at `now`.
    pub fn step(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_read_due(now) {
            self.last_read_sent = Some(now);
            actions.push(Action::Read);
        }
        match &mut self.role {
            Role::Standby(standby) => {
                let pause = timing::RETRY * 2;
                let paced = self.last_claim_sent.is_none_or(|sent| now >= sent + pause);
                // A process that has no configuration yet has nothing to control.
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

    /// Takes the row that a read sent at `sent` found; `None` where there is none. A read that
    /// failed is not handed in.
    pub fn on_row_read(&mut self, sent: Duration, row: Option<&Row>, now: Duration) {
        match &mut self.role {
            Role::Standby(standby) => {
                let outcome = standby.on_row_read(row, now);
                self.apply_claim_outcome(outcome, now);
            }
            Role::Lead(lead) => lead.authority.on_row_read(sent, row),
        }
    }

    /// Takes the outcome of the write of `revision`.
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

    /// Answers a controller's ask.
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

    /// Takes the answer, at `now`, to an ask that was sent at `sent`.
    pub fn on_promise(&mut self, host: HostKey, sent: Duration, promise: Promise, now: Duration) {
        if let Role::Lead(lead) = &mut self.role {
            lead.authority.on_promise(host, sent, promise, now);
        }
    }

    /// Gives up below the successor's `epoch`, and tells it what to wait for and what is known.
    pub fn release(&mut self, epoch: u32, now: Duration) -> Released {
        let leases = self.ledger.longest_remaining(now);
        let leases = leases.max(self.inherited_until.saturating_sub(now));
        match &mut self.role {
            Role::Lead(lead) if lead.authority.epoch() < epoch => {
                lead.authority.release(leases, now)
            }
            Role::Lead(lead) => Released {
                incarnation: self.incarnation,
                leases: timing::AUTHORITY,
                witnessed_epoch: 0,
                row: Some(lead.authority.row().clone()),
            },
            Role::Standby(standby) => {
                standby.observe_epoch(epoch);
                Released {
                    incarnation: self.incarnation,
                    // A claim of this process may have taken effect without its knowledge, and what
                    // it replaced then is not over yet.
                    leases: match self.last_claim_sent {
                        Some(sent) => leases.max((sent + timing::AUTHORITY).saturating_sub(now)),
                        None => leases,
                    },
                    witnessed_epoch: standby.witnessed_epoch(),
                    row: standby.known_row().cloned(),
                }
            }
        }
    }

    /// Takes a host's answer to [`Action::Release`].
    pub fn on_released(&mut self, host: HostKey, released: &Released, now: Duration) {
        if let Role::Lead(lead) = &mut self.role {
            lead.on_released(host, released, now);
        }
    }

    /// Answers a lease renewal.
    pub fn on_renewal(&mut self, renewal: &Renewal, now: Duration) -> Reply {
        match &mut self.role {
            Role::Standby(standby) => Reply::Refused {
                controller: standby.known_row().map(|row| row.controller),
            },
            Role::Lead(lead) => lead.on_renewal(renewal, &mut self.ledger, now),
        }
    }

    /// Takes a holder's answer to [`Action::Close`]: the version it acts by now, and the highest
    /// positions that it has acknowledged.
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

    /// Takes a server's status, asked for at `sent`, or that it could not be asked.
    pub fn on_status(&mut self, server: ServerKey, sent: Duration, status: Option<Status>) {
        if let Role::Lead(lead) = &mut self.role {
            lead.on_status(&self.groups, server, sent, status);
        }
    }

    /// Takes the outcome of [`Action::Promote`].
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

    /// Moves `service` to another primary without losing anything, as if its primary were
    /// leaving.
    pub fn switch_over(&mut self, service: ServiceKey, now: Duration) {
        if let Role::Lead(lead) = &mut self.role {
            lead.switch_over(&self.groups, service, now);
        }
    }

    /// The epoch under which this process may grant leases and order promotions at `now`.
    pub fn leading_epoch(&self, now: Duration) -> Option<u32> {
        match &self.role {
            Role::Lead(lead) if lead.is_leading(now) => Some(lead.authority.epoch()),
            _ => None,
        }
    }

    /// The row as this process knows it.
    pub fn row(&self) -> Option<&Row> {
        match &self.role {
            Role::Standby(standby) => standby.known_row(),
            Role::Lead(lead) => Some(lead.authority.row()),
        }
    }

    /// The view that leases are granted on.
    pub fn view(&self) -> Option<&view::Shard> {
        match &self.role {
            Role::Standby(_) => None,
            Role::Lead(lead) => Some(lead.view()),
        }
    }

    fn is_read_due(&self, now: Duration) -> bool {
        let interval = match &self.role {
            Role::Standby(standby) => standby.read_interval(),
            Role::Lead(_) => timing::READ,
        };
        self.last_read_sent
            .is_none_or(|sent| now >= sent + interval)
    }

    fn apply_claim_outcome(&mut self, outcome: ClaimOutcome, now: Duration) {
        let ClaimOutcome::Won {
            row,
            predecessor,
            sent,
            replaced_epoch: replaced,
            witnessed,
        } = outcome
        else {
            return;
        };
        self.claim_pending = false;
        self.last_claim_sent = None;
        let authority = ShardAuthority::new(row, predecessor, sent, now);
        self.inherited_until = authority.settled_at();
        self.role = Role::Lead(Box::new(Lead::new(authority, replaced, witnessed, now)));
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
