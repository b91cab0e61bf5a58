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
    /// `SET`; `SET LOCAL` leaves nothing.
    Set {
        /// The parameter, in lower case.
        name: String,
        /// The statement, fit for another connection.
        text: String,
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
    /// `SAVEPOINT`, `RELEASE` or `ROLLBACK TO`.
    Savepoint,
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
    /// The `SET` statement of a parameter.
    Set {
        /// The parameter.
        name: String,
        /// The statement.
        text: String,
    },
    /// `RESET name`: another session left it.
    Reset {
        /// The parameter.
        name: String,
    },
}

/// What a pooled connection carries: the parameters last set on it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionParameters {
    parameters: BTreeMap<String, String>,
}

/// Parameters set by a session, and the statements that set them.
type Parameters = BTreeMap<String, String>;

/// The tracked connection state of one session.
///
/// ```
/// use flamingopost_core::session::state::{ConnectionParameters, Effect, Replay, State};
///
/// let mut state = State::default();
/// let (name, text) = ("search_path".to_owned(), "SET search_path = yard".to_owned());
/// state.apply(Effect::Set { name: name.clone(), text: text.clone() });
/// assert_eq!(state.replay(&ConnectionParameters::default()), [Replay::Set { name, text }]);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    parameters: Parameters,
    /// Parameters as they were when the open transaction began; a rollback brings them back.
    parameters_at_begin: Option<Parameters>,
    has_savepoint: bool,
    prepared: BTreeMap<String, Prepared>,
    pins: BTreeSet<Pin>,
    transaction: Transaction,
}

impl State {
    /// Takes note of what a statement that succeeded left behind.
    pub fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Set { name, text } => {
                self.parameters.insert(name, text);
                self.pin_after_savepoint();
            }
            Effect::Reset { name } => {
                self.parameters.remove(&name);
                self.pin_after_savepoint();
            }
            Effect::ResetAll => {
                self.parameters.clear();
                self.pin_after_savepoint();
            }
            Effect::DiscardAll => *self = State::default(),
            Effect::Prepare { name, prepared } => {
                self.prepared.insert(name, prepared);
            }
            Effect::Deallocate { name } => {
                self.prepared.remove(&name);
            }
            Effect::DeallocateAll => self.prepared.clear(),
            Effect::Savepoint => self.has_savepoint = true,
            Effect::Commit => self.parameters_at_begin = None,
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
    pub fn set_transaction(&mut self, transaction: Transaction) {
        match (self.transaction, transaction) {
            (Transaction::Idle, Transaction::Open | Transaction::Failed) => {
                self.parameters_at_begin = Some(self.parameters.clone());
            }
            (_, Transaction::Idle) => {
                self.parameters_at_begin = None;
                self.has_savepoint = false;
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

    /// The statement by which the session set `name`.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.parameters.get(name).map(String::as_str)
    }

    /// What to send on a connection that carries `carried`, so that it is as the session left
    /// its last one.
    pub fn replay(&self, connection: &ConnectionParameters) -> Vec<Replay> {
        let stale = connection
            .parameters
            .keys()
            .filter(|name| !self.parameters.contains_key(*name))
            .map(|name| Replay::Reset { name: name.clone() });
        let missing = self
            .parameters
            .iter()
            .filter(|(name, text)| connection.parameters.get(*name) != Some(text))
            .map(|(name, text)| Replay::Set {
                name: name.clone(),
                text: text.clone(),
            });
        stale.chain(missing).collect()
    }

    /// What a connection carries once this session is on it.
    pub fn connection_parameters(&self) -> ConnectionParameters {
        ConnectionParameters {
            parameters: self.parameters.clone(),
        }
    }

    fn rollback(&mut self) {
        if let Some(parameters) = self.parameters_at_begin.take() {
            self.parameters = parameters;
        }
    }

    /// A rollback to a savepoint takes back the `SET`s since, and which those are is not
    /// tracked: replayed elsewhere, a statement would run under a setting that the caller had
    /// taken back. So a session that mixes the two stays on its connection.
    fn pin_after_savepoint(&mut self) {
        if self.has_savepoint {
            self.pins.insert(Pin::Untracked);
        }
    }
}
