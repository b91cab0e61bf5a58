//! Connection state of a session, tracked so that the session can move to another connection.

use std::collections::{BTreeMap, BTreeSet};

/// Why a session is pinned to one connection to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pin {
    /// The session created a temporary table.
    TemporaryTable,
    /// The session listens for notifications.
    Listen,
    /// The session holds advisory locks.
    AdvisoryLock,
    /// The session has an open cursor WITH HOLD.
    HeldCursor,
    /// The session changed state that is not tracked, such as with `set_config` or `LOAD`.
    Untracked,
}

/// Transaction status, as ReadyForQuery reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Transaction {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

/// A statement prepared by the caller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Prepared {
    /// Text of the statement.
    pub sql: String,
    /// Object ids of the parameter types that the caller specified.
    pub types: Vec<u32>,
}

/// Change of the connection state by a statement that succeeded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// `SET`. `SET LOCAL` has no effect beyond its transaction.
    Set {
        /// The parameter, in lower case.
        name: String,
        /// The statement, to be replayed on another connection.
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
    /// `DEALLOCATE name`, or a Close message for a statement.
    Deallocate {
        /// Name of the statement.
        name: String,
    },
    /// `DEALLOCATE ALL`.
    DeallocateAll,
    /// `PREPARE`, or a Parse message for a named statement.
    Prepare {
        /// Name of the statement.
        name: String,
        /// The prepared statement.
        prepared: Prepared,
    },
    /// `SAVEPOINT`, `RELEASE` or `ROLLBACK TO`.
    Savepoint,
    /// `COMMIT` that committed, according to its command tag.
    Commit,
    /// `ROLLBACK`, or a `COMMIT` that rolled back.
    Rollback,
    /// A change that pins the session to its connection.
    Pin(Pin),
    /// A change that removes a pin, such as `UNLISTEN *`.
    Unpin(Pin),
}

/// A statement to send on a connection before the session's next statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replay {
    /// The `SET` statement of a parameter.
    Set {
        /// The parameter.
        name: String,
        /// The statement.
        text: String,
    },
    /// `RESET name`, for a parameter that another session set.
    Reset {
        /// The parameter.
        name: String,
    },
}

/// Parameters that the last session set on a pooled connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionParameters {
    parameters: BTreeMap<String, String>,
}

/// Statements that set the parameters of a session, by name of the parameter.
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
    /// Parameters at the start of the open transaction, restored by a rollback.
    parameters_at_begin: Option<Parameters>,
    has_savepoint: bool,
    prepared: BTreeMap<String, Prepared>,
    pins: BTreeSet<Pin>,
    transaction: Transaction,
}

impl State {
    /// Applies the effect of a statement that succeeded.
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

    /// Sets the transaction status that ReadyForQuery reported.
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

    /// Returns the transaction status.
    pub fn transaction(&self) -> Transaction {
        self.transaction
    }

    /// Reports whether the session must keep its connection: inside a transaction, or pinned.
    pub fn is_bound(&self) -> bool {
        self.transaction != Transaction::Idle || !self.pins.is_empty()
    }

    /// Returns the reasons why the session is pinned.
    pub fn pins(&self) -> impl Iterator<Item = Pin> + '_ {
        self.pins.iter().copied()
    }

    /// Returns the statement that the caller prepared under `name`.
    pub fn prepared(&self, name: &str) -> Option<&Prepared> {
        self.prepared.get(name)
    }

    /// Returns the statement with which the session set the parameter `name`.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.parameters.get(name).map(String::as_str)
    }

    /// Returns the statements that bring a connection with the parameters `connection` to the
    /// state of this session.
    pub fn replay(&self, connection: &ConnectionParameters) -> Vec<Replay> {
        let leftover = connection
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
        leftover.chain(missing).collect()
    }

    /// Returns the parameters that are set on a connection used by this session.
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

    /// Pins the session if it changes a parameter after a savepoint.
    ///
    /// A rollback to a savepoint reverts every later `SET`, and which ones those are is not
    /// tracked. If they were replayed on another connection, a statement would run under a setting
    /// that the caller had reverted.
    fn pin_after_savepoint(&mut self) {
        if self.has_savepoint {
            self.pins.insert(Pin::Untracked);
        }
    }
}
