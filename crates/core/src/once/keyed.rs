//! A request with an idempotency key, recorded in the transaction of its effect.

use std::time::Duration;

use super::sql;
use crate::invariant::{self, Invariant};
use crate::refusal::{Doubt, Ran, Refusal};

/// Time after which a caller should retry a key that another attempt is still using.
const KEY_BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What to send to the primary next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A statement of the host itself, sent as a simple query.
    Internal(String),
    /// The statement of the caller.
    Statement,
}

/// The outcome of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The step succeeded.
    Done {
        /// The command tag; for several statements, that of the last one.
        tag: String,
    },
    /// The step failed.
    Failed {
        /// The SQLSTATE.
        sqlstate: String,
    },
    /// The look-up of the key returned this record, or none.
    Found(Option<Stored>),
    /// The connection was lost, or it was closed because the deadline had passed.
    Broken(Doubt),
}

/// The record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Digest of the request that used the key.
    pub request: String,
    /// Command tag of that request.
    pub tag: String,
}

/// What the host does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Directive {
    /// Send this step.
    Send(Step),
    /// The request ran and is committed. It may be acknowledged if the write lease of its term is
    /// valid *now*; otherwise the caller gets [`Keyed::unconfirmed`].
    Done {
        /// The command tag.
        tag: String,
    },
    /// The request ran in an earlier attempt and is committed.
    AlreadyDone {
        /// The command tag of that attempt.
        tag: String,
    },
    /// The request failed and was rolled back. The caller gets the error of the server.
    Failed,
    /// The request was rolled back, or a new attempt will find its outcome by the key. It may be
    /// retried from the start, by this host within its retry budget or by the caller. If the host
    /// does not retry, the caller gets the refusal.
    Retry(Refusal),
    /// The caller gets this refusal.
    Refuse(Refusal),
}

/// The step whose outcome is awaited.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Recording,
    CreatingTable,
    Running,
    Committing { tag: String },
    RollingBack(Rollback),
    LookingUp,
    Ended,
}

/// Reason for rolling back a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rollback {
    /// The key is recorded already.
    KeyRecorded,
    /// The table of keys does not exist.
    NoTable,
    /// The caller's statement or the commit failed.
    StatementFailed,
    /// Another statement of the host failed.
    InternalFailed,
}

/// State machine of one attempt at a request with a key.
///
/// ```
/// use flamingopost_core::once::keyed::{Directive, Event, Keyed, Step};
///
/// let (mut keyed, first) = Keyed::start("bid-77", "9f2c");
/// assert!(matches!(first, Step::Internal(_)));
/// let tag = "INSERT 0 1".to_owned();
/// assert_eq!(keyed.handle(Event::Done { tag: tag.clone() }), Directive::Send(Step::Statement));
/// assert!(matches!(keyed.handle(Event::Done { tag: tag.clone() }), Directive::Send(Step::Internal(_))));
/// assert_eq!(keyed.handle(Event::Done { tag: "COMMIT".to_owned() }), Directive::Done { tag });
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct Keyed {
    key: String,
    request: String,
    state: State,
    table_created: bool,
    /// Whether a commit was sent to the server and is not known to have failed.
    commit_sent: bool,
}

impl Keyed {
    /// Starts an attempt and returns its first step.
    ///
    /// `request` is a digest of the statement and its parameters. A key that was used for another
    /// request is refused.
    pub fn start(key: &str, request: &str) -> (Keyed, Step) {
        let keyed = Keyed {
            key: key.to_owned(),
            request: request.to_owned(),
            state: State::Recording,
            table_created: false,
            commit_sent: false,
        };
        let step = Step::Internal(sql::begin(key, request));
        (keyed, step)
    }

    /// Handles the outcome of the last step and returns what to do next.
    pub fn handle(&mut self, event: Event) -> Directive {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let directive = match event {
            Event::Done { tag } => self.done(state, tag),
            Event::Failed { sqlstate } => self.failed(state, &sqlstate),
            Event::Found(stored) => self.found(stored),
            Event::Broken(doubt) => self.broken(doubt),
        };
        self.check_refusal(&directive);
        directive
    }

    /// Returns whether the request ran, as far as this attempt can prove.
    pub fn ran(&self) -> Ran {
        if self.commit_sent {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// Returns the refusal for a commit that cannot be confirmed.
    pub fn unconfirmed(&self, doubt: Doubt) -> Refusal {
        Refusal::OutcomeUnknown { doubt }
    }

    fn done(&mut self, state: State, tag: String) -> Directive {
        match state {
            State::Recording => self.send(State::Running, Step::Statement),
            State::CreatingTable => self.restart(),
            State::Running => {
                let commit = sql::commit(&self.key, &tag);
                self.commit_sent = true;
                self.send(State::Committing { tag }, Step::Internal(commit))
            }
            State::Committing { tag: request_tag } => self.commit_answered(request_tag, &tag),
            State::RollingBack(reason) => self.rolled_back(reason),
            State::LookingUp | State::Ended => Directive::Refuse(self.key_busy()),
        }
    }

    /// Handles the answer to COMMIT. The server answers the COMMIT of a failed transaction with the
    /// tag ROLLBACK.
    fn commit_answered(&mut self, request_tag: String, tag: &str) -> Directive {
        if tag == "COMMIT" {
            return Directive::Done { tag: request_tag };
        }
        self.commit_sent = false;
        Directive::Retry(Refusal::TransactionLost)
    }

    fn failed(&mut self, state: State, sqlstate: &str) -> Directive {
        // The server has answered, so nothing of this transaction is committed.
        self.commit_sent = false;
        let reason = match (&state, sqlstate) {
            (State::Recording, sql::UNIQUE_VIOLATION) => Rollback::KeyRecorded,
            (State::Recording, sql::UNDEFINED_TABLE) if !self.table_created => Rollback::NoTable,
            (State::Running | State::Committing { .. }, _) => Rollback::StatementFailed,
            (State::RollingBack(reason), _) => return self.rolled_back(*reason),
            _ => Rollback::InternalFailed,
        };
        let rollback = Step::Internal(sql::ROLLBACK.to_owned());
        self.send(State::RollingBack(reason), rollback)
    }

    fn rolled_back(&mut self, reason: Rollback) -> Directive {
        match reason {
            Rollback::KeyRecorded => {
                let look_up = sql::look_up(&self.key);
                self.send(State::LookingUp, Step::Internal(look_up))
            }
            Rollback::NoTable => {
                self.table_created = true;
                let create_table = sql::CREATE_TABLE.to_owned();
                self.send(State::CreatingTable, Step::Internal(create_table))
            }
            Rollback::StatementFailed => Directive::Failed,
            Rollback::InternalFailed => Directive::Retry(Refusal::TransactionLost),
        }
    }

    /// Handles the looked-up record. The record of another request never proves that this one ran.
    fn found(&self, stored: Option<Stored>) -> Directive {
        match stored {
            Some(run) if run.request == self.request => Directive::AlreadyDone { tag: run.tag },
            Some(_) => Directive::Refuse(Refusal::KeyMismatch {
                key: self.key.clone(),
            }),
            None => Directive::Retry(self.key_busy()),
        }
    }

    /// Handles a lost connection.
    ///
    /// Before the commit is sent, the server rolls the transaction back: the request did not run.
    /// After that its outcome is unknown. A retry is still safe: it waits at the record of the key
    /// until the old transaction has ended, and finds its outcome there.
    fn broken(&self, doubt: Doubt) -> Directive {
        match self.ran() {
            Ran::No => Directive::Retry(Refusal::TransactionLost),
            _ => Directive::Retry(Refusal::OutcomeUnknown { doubt }),
        }
    }

    /// Begins the transaction again, after the table of keys was created.
    fn restart(&mut self) -> Directive {
        let begin = sql::begin(&self.key, &self.request);
        self.send(State::Recording, Step::Internal(begin))
    }

    fn send(&mut self, state: State, step: Step) -> Directive {
        self.state = state;
        Directive::Send(step)
    }

    fn key_busy(&self) -> Refusal {
        Refusal::KeyBusy {
            key: self.key.clone(),
            retry_after: KEY_BUSY_RETRY_AFTER,
        }
    }

    /// Checks the invariant that a request is reported as not run only if no commit was sent.
    fn check_refusal(&self, directive: &Directive) {
        if let Directive::Retry(refusal) | Directive::Refuse(refusal) = directive {
            let is_true = refusal.ran() != Ran::No || !self.commit_sent;
            invariant::check(Invariant::TrueRefusal, is_true, || {
                format!(
                    "{refusal} is reported after a commit was sent for key {}",
                    self.key
                )
            });
        }
    }
}
