//! What a session has left on its connection, so that it can go on over another one.

use std::collections::{BTreeMap, BTreeSet};

/// Why a session has to stay on one connection to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pin {
    /// It created a temporary table.
    TemporaryTable,
    /// It listens for notifications.
    Listen,
    /// It holds advisory locks.
    AdvisoryLock,
    /// It has a cursor WITH HOLD open.
    HeldCursor,
    /// It did something whose traces cannot be tracked, such as `set_config` or `LOAD`.
    Untracked,
}

/// Transaction status, as ReadyForQuery tells it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Transaction {
    /// None is open.
    #[default]
    Idle,
    /// One is open.
    Open,
    /// One is open and has failed.
    Failed,
}

/// A statement prepared by the caller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Prepared {
    /// Its text.
    pub sql: String,
    /// Object ids of the parameter types that the caller named.
    pub types: Vec<u32>,
}

/// What a statement that succeeded leaves behind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// `SET name = value`; `SET LOCAL` leaves nothing.
    Set {
        /// The parameter, in lower case.
        name: String,
        /// Its value, quoted as it has to be sent again.
        value: String,
    },
    /// `RESET name`, or `SET name TO DEFAULT`.
    Reset {
        /// The parameter, in lower case.
        name: String,
    },
    /// `RESET ALL`.
    ResetAll,
    /// `DISCARD ALL`.
    DiscardAll,
    /// `DEALLOCATE name`, or Close of a statement.
    Deallocate {
        /// The statement.
        name: String,
    },
    /// `DEALLOCATE ALL`.
    DeallocateAll,
    /// `PREPARE`, or Parse of a named statement.
    Prepare {
        /// The statement's name.
        name: String,
        /// What it is.
        prepared: Prepared,
    },
    /// `SAVEPOINT name`.
    Savepoint {
        /// The savepoint.
        name: String,
    },
    /// `RELEASE name`.
    Release {
        /// The savepoint.
        name: String,
    },
    /// `ROLLBACK TO name`.
    RollbackTo {
        /// The savepoint.
        name: String,
    },
    /// `COMMIT`; whether it committed is told by its command tag.
    Commit,
    /// `ROLLBACK`, or a `COMMIT` that rolled back.
    Rollback,
    /// Something that ties the session to its connection.
    Pin(Pin),
    /// Something that takes such a tie away, as `UNLISTEN *` does.
    Unpin(Pin),
}

/// What has to be sent on a connection before the session's next statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replay {
    /// `SET name = value`.
    Set {
        /// The parameter.
        name: String,
        /// Its value, quoted.
        value: String,
    },
    /// `RESET name`: another session left it.
    Reset {
        /// The parameter.
        name: String,
    },
}

/// What a pooled connection carries: the parameters last set on it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Carried {
    parameters: BTreeMap<String, String>,
}

/// Parameters set by a session.
type Parameters = BTreeMap<String, String>;

/// A savepoint and the parameters that hold again after a rollback to it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Savepoint {
    name: String,
    parameters: Parameters,
}

/// The tracked connection state of one session.
///
/// ```
/// use flamingopost_core::session::state::{Carried, Effect, Replay, State};
///
/// let mut state = State::default();
/// let (name, value) = ("search_path".to_owned(), "'yard'".to_owned());
/// state.apply(Effect::Set { name: name.clone(), value: value.clone() });
/// assert_eq!(state.replay(&Carried::default()), [Replay::Set { name, value }]);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    parameters: Parameters,
    /// Parameters as they were when the open transaction began; a rollback brings them back.
    before: Option<Parameters>,
    savepoints: Vec<Savepoint>,
    prepared: BTreeMap<String, Prepared>,
    pins: BTreeSet<Pin>,
    transaction: Transaction,
}

impl State {
    /// Takes note of what a statement that succeeded left behind.
    pub fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Set { name, value } => {
                self.parameters.insert(name, value);
            }
            Effect::Reset { name } => {
                self.parameters.remove(&name);
            }
            Effect::ResetAll => self.parameters.clear(),
            Effect::DiscardAll => *self = State::default(),
            Effect::Prepare { name, prepared } => {
                self.prepared.insert(name, prepared);
            }
            Effect::Deallocate { name } => {
                self.prepared.remove(&name);
            }
            Effect::DeallocateAll => self.prepared.clear(),
            Effect::Savepoint { name } => self.savepoints.push(Savepoint {
                name,
                parameters: self.parameters.clone(),
            }),
            Effect::Release { name } => self.release(&name),
            Effect::RollbackTo { name } => self.rollback_to(&name),
            Effect::Commit => self.before = None,
            Effect::Rollback => self.rollback(),
            Effect::Pin(pin) => {
                self.pins.insert(pin);
            }
            Effect::Unpin(pin) => {
                self.pins.remove(&pin);
            }
        }
    }

    /// Takes note of the transaction status that ReadyForQuery tells.
    pub fn ready(&mut self, transaction: Transaction) {
        match (self.transaction, transaction) {
            (Transaction::Idle, Transaction::Open | Transaction::Failed) => {
                self.before = Some(self.parameters.clone());
            }
            (_, Transaction::Idle) => {
                self.before = None;
                self.savepoints.clear();
            }
            _ => {}
        }
        self.transaction = transaction;
    }

    /// The transaction status.
    pub fn transaction(&self) -> Transaction {
        self.transaction
    }

    /// Whether the session must keep the connection it is on: inside a transaction, or pinned.
    pub fn is_bound(&self) -> bool {
        self.transaction != Transaction::Idle || !self.pins.is_empty()
    }

    /// What pins the session.
    pub fn pins(&self) -> impl Iterator<Item = Pin> + '_ {
        self.pins.iter().copied()
    }

    /// The statement that the caller prepared under `name`.
    pub fn prepared(&self, name: &str) -> Option<&Prepared> {
        self.prepared.get(name)
    }

    /// The value the session set for `name`, quoted.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.parameters.get(name).map(String::as_str)
    }

    /// What to send on a connection that carries `carried`, so that it is as the session left
    /// its last one.
    pub fn replay(&self, carried: &Carried) -> Vec<Replay> {
        let stale = carried
            .parameters
            .keys()
            .filter(|name| !self.parameters.contains_key(*name))
            .map(|name| Replay::Reset { name: name.clone() });
        let missing = self
            .parameters
            .iter()
            .filter(|(name, value)| carried.parameters.get(*name) != Some(value))
            .map(|(name, value)| Replay::Set {
                name: name.clone(),
                value: value.clone(),
            });
        stale.chain(missing).collect()
    }

    /// What a connection carries once this session is on it.
    pub fn carried(&self) -> Carried {
        Carried {
            parameters: self.parameters.clone(),
        }
    }

    fn rollback(&mut self) {
        if let Some(before) = self.before.take() {
            self.parameters = before;
        }
        self.savepoints.clear();
    }

    fn rollback_to(&mut self, name: &str) {
        let Some(index) = self.find(name) else {
            return;
        };
        self.parameters = self.savepoints[index].parameters.clone();
        self.savepoints.truncate(index + 1);
    }

    fn release(&mut self, name: &str) {
        if let Some(index) = self.find(name) {
            self.savepoints.truncate(index);
        }
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.savepoints.iter().rposition(|save| save.name == name)
    }
}
